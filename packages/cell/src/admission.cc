#include "sycamorehinge/cell/admission.h"

#include <algorithm>

namespace sycamorehinge::cell {

namespace {

// Ages of fewer steps say little about the wait of the next one.
constexpr std::size_t kMinWaitingSteps = 4;
// A job is in time if it ends within this multiple of its target, as a later result is of no use to
// the caller.
constexpr double kInTime = 3;
// The same for jobs beyond the rate of their tenant.
constexpr double kInTimeOverRate = 1;

constexpr duration kMinReturn = std::chrono::milliseconds(500);
constexpr duration kMaxReturn = std::chrono::seconds(5);
constexpr double kMinStartsPerSecond = 1;

}  // namespace

duration ExpectedWait(const queue_load& load) {
  return load.waiting_steps < kMinWaitingSteps ? duration() : 2 * load.mean_age;
}

admission_decision DecideAdmission(const admission_request& request, const queue_load& load) {
  const duration limit = ScaleTime(request.target, request.over_rate ? kInTimeOverRate : kInTime);
  const duration wait = ExpectedWait(load);
  const duration excess = wait + request.run_time - limit;
  // A job that is too long for its target by itself gains nothing from a later submission.
  if (wait == duration::zero() || excess <= duration::zero()) return admitted{};
  return refused{excess};
}

duration return_schedule::NextReturn(const refused& decision, const queue_load& load,
                                     time_point now) {
  const double rate = std::max(load.starts_per_second, kMinStartsPerSecond);
  const duration earliest = std::clamp(decision.excess, kMinReturn, kMaxReturn / 2);
  next_ = std::max(next_ + ScaleTime(std::chrono::seconds(1), 1 / rate), now + earliest);
  // The schedule is full: the next callers share its times.
  if (next_ > now + kMaxReturn) next_ = now + earliest;
  return next_ - now;
}

}  // namespace sycamorehinge::cell
