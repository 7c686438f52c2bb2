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
  // Round trips to the store below this are near.
  duration near = std::chrono::milliseconds(25);
  // Round trips above this say nothing about the distance: the store is slow.
  duration slow = std::chrono::milliseconds(150);
  // Answers between two judgements of the distance.
  std::uint32_t judge_after = 12;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_MEMBERSHIP_OPTIONS_H_
