// Timing of the membership in the store's group.
#ifndef SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_
#define SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::control {

struct membership_options {
  // The group drops a member that has not joined again within this time.
  duration ttl = std::chrono::milliseconds(1200);
  duration join_interval = std::chrono::milliseconds(350);
  // Interval between reads of the members while the generation does not change.
  duration refresh_interval = std::chrono::seconds(2);
  // Processes that join the group. One of them owns the cell, the others take over from it.
  std::size_t max_candidates = 8;
  // The store is near if a connection opens faster. Links between regions take 30 ms one way.
  duration near_limit = std::chrono::milliseconds(40);
  // Processor cores of this machine, and those that the owner of a large cell needs.
  double processor_cores = 1;
  double owner_cores = 0.25;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_
