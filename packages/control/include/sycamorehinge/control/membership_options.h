// Times of the membership in the store's group.
#ifndef SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_
#define SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_

#include <cstdint>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::control {

struct membership_options {
  // The group drops a member after this silence.
  duration ttl = std::chrono::milliseconds(1200);
  duration join_interval = std::chrono::milliseconds(350);
  // The members are read this often even if the generation stays.
  duration refresh = std::chrono::seconds(2);
  // The store is near if a connection takes less: links between regions take 30 ms one way.
  duration near = std::chrono::milliseconds(40);
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_
