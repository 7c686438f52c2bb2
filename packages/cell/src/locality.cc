#include "sycamorehinge/cell/locality.h"

namespace sycamorehinge::cell {

namespace {

// Estimates of run times are often wrong. A step waits beyond the time that it first expected for
// this part of what it would lose elsewhere, which bounds the cost of a wrong estimate.
constexpr double kOvertime = 0.5;

}  // namespace

locality_decision DecideLocality(const locality_request& request) {
  if (request.expected_wait >= request.loss) return start_now{};
  const duration limit = request.first_expected_wait + ScaleTime(request.loss, kOvertime);
  if (request.waited >= limit) return start_now{};
  return wait_for_room{};
}

}  // namespace sycamorehinge::cell
