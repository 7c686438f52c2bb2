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

// The pool that gives out the room of a host.
inline pool_key PoolOf(const listed_host& row) {
  return {row.environment, row.kind == host_kind::kTarget ? row.service : service_id{}};
}

// Interval at which a call looks again for the owner of its partition.
inline constexpr duration kOwnerRetry = std::chrono::milliseconds(100);

// True if a call to a partition's owner did nothing there and may be routed again: it was not sent,
// or the peer answered that it is not the owner.
inline bool MayRouteAgain(errc sent, const errc* answered) {
  if (answered == nullptr) return sent == errc::kConnectionFailed;
  return *answered == errc::kHomeUnreachable || *answered == errc::kNotOwner;
}

// What a caller learns if a call to the owner got no answer.
inline errc RefusalOfUnanswered(errc sent) {
  return sent == errc::kConnectionFailed ? errc::kHomeUnreachable : errc::kOutcomeUnknown;
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_NODE_FWD_H_
