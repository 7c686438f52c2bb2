// What every part of the node needs to name its siblings.
#ifndef SYCAMOREHINGE_NODE_SRC_NODE_FWD_H_
#define SYCAMOREHINGE_NODE_SRC_NODE_FWD_H_

#include <compare>

#include "sycamorehinge/core/types.h"
#include "sycamorehinge/node/entry_node.h"

namespace sycamorehinge {

// Names a pool: the workers of an environment (empty service) or the targets of a service.
struct pool_key {
  environment_id environment;
  service_id service;
  friend auto operator<=>(const pool_key&, const pool_key&) = default;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_NODE_FWD_H_
