#include "sycamorehinge/cell/evacuation.h"

#include <algorithm>
#include <chrono>

namespace sycamorehinge::cell {

namespace {

// Hosts often stay a little longer than they say, and estimates of run times are often too long. A
// run that is expected to end this much too late stays.
constexpr duration kMinOvertime = std::chrono::milliseconds(500);
constexpr int kOvertimeParts = 4;

}  // namespace

evacuation_decision DecideEvacuation(const leaving_run& run) {
  if (run.left == duration::max()) return move_run{};
  const duration overtime = std::max(kMinOvertime, run.host_left / kOvertimeParts);
  if (run.left <= run.host_left + overtime) return keep_run{};
  return move_run{};
}

}  // namespace sycamorehinge::cell
