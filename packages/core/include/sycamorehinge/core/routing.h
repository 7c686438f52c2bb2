// Chooses the process whose pool should take work that does not fit locally.
#ifndef SYCAMOREHINGE_CORE_ROUTING_H_
#define SYCAMOREHINGE_CORE_ROUTING_H_

#include <cstdint>
#include <span>
#include <vector>

#include "sycamorehinge/core/membership.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

struct route_request {
  environment_id environment;
  service_id service;
  resources size;
  std::uint32_t count = 1;
  // Region of the process that asks.
  region_id region;
  // Processes that already refused.
  std::span<const process_id> refused;
  // Random number of the caller, to spread equal candidates.
  std::uint64_t random = 0;
};

// Candidates in the order in which to ask them: peers of the region with room by free room (two
// sampled candidates, the freer first), then other regions only if no peer of the region has room.
std::vector<process_id> Candidates(const route_request& request,
                                   std::span<const process_status> peers);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ROUTING_H_
