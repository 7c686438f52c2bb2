// Chooses the processes to ask for capacity when work does not fit into the local pool.
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
  // Region of the requesting process.
  region_id region;
  // Processes that have already refused the work.
  std::span<const process_id> refused;
  // Random number that selects the two sampled candidates.
  std::uint64_t random = 0;
};

// Returns the candidates in the order in which to ask them. Two random candidates come first, the
// one with more free capacity before the other, then the rest in descending order of free capacity.
// Peers of other regions are used only if no peer of the own region has enough free capacity.
std::vector<process_id> OverflowCandidates(const route_request& request,
                                           std::span<const process_status> peers);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ROUTING_H_
