#include "sycamorehinge/cell/locality.h"

#include <algorithm>

namespace sycamorehinge::cell {

namespace {

// Estimates of run times are often wrong. A step waits beyond the time that it first expected for
// this part of what it would lose elsewhere, which bounds the cost of a wrong estimate.
constexpr double kOvertime = 0.5;

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(static_cast<double>(time.count()) * factor));
}

}  // namespace

locality_decision DecideLocality(const locality_request& request) {
  const duration loss = Scale(request.run_time, std::max(request.far_factor - 1, 0.0));
  if (request.expected_wait >= loss) return start_now{};
  const duration limit = request.first_expected_wait + Scale(loss, kOvertime);
  if (request.waited >= limit) return start_now{};
  return wait_for_room{limit - request.waited};
}

}  // namespace sycamorehinge::cell
