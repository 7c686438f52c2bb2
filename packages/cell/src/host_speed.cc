#include "host_speed.h"

#include <algorithm>
#include <cmath>

namespace sycamorehinge::cell {

namespace {

constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 4;
constexpr double kClassStep = 1.25;
// Run time over which the speed is averaged. The tasks of a step differ by a fifth or so, and this
// covers several of them.
constexpr duration kAveragingTime = std::chrono::seconds(40);
// The speed counts once tasks of the host have run for this long.
constexpr duration kMinObserved = std::chrono::seconds(15);
// Others of the step have to have run for this long.
constexpr duration kMinReference = std::chrono::milliseconds(500);
// A host that got no work since is tried again.
constexpr duration kForgetTime = std::chrono::seconds(15);

double Seconds(duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void host_speed::Add(const task_pace& own, const task_pace& others, time_point now) {
  if (others.time < kMinReference || others.percent <= 0 || own.time <= duration::zero()) return;
  const double reference = others.percent / Seconds(others.time);
  const double ratio =
      std::clamp(own.percent / Seconds(own.time) / reference, kMinSpeed, kMaxSpeed);
  if (now - updated_ > kForgetTime) *this = {};
  observed_ += own.time;
  // A plain mean at first.
  const double weight = std::max(1 - std::exp(-Seconds(own.time) / Seconds(kAveragingTime)),
                                 Seconds(own.time) / Seconds(observed_));
  value_ += weight * (ratio - value_);
  updated_ = now;
}

double host_speed::Value(time_point now) const {
  const bool known = observed_ >= kMinObserved && now - updated_ <= kForgetTime;
  return known ? value_ : 1;
}

int host_speed::Class(time_point now) const {
  return static_cast<int>(std::lround(std::log(Value(now)) / std::log(kClassStep)));
}

}  // namespace sycamorehinge::cell
