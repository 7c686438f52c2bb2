#include "sycamorehinge/core/retry.h"

#include <algorithm>

namespace sycamorehinge {

retry_budget::retry_budget(retry_policy policy) : policy_(policy) {
  if (const auto* budgeted = std::get_if<budgeted_retries>(&policy_)) tokens_ = budgeted->burst;
}

void retry_budget::CountFirstAttempt() {
  if (const auto* budgeted = std::get_if<budgeted_retries>(&policy_)) {
    // The cap keeps a long time without failures from saving up retries for a later retry storm.
    tokens_ = std::min(budgeted->burst, tokens_ + budgeted->share);
  }
}

bool retry_budget::TryRetry() {
  return std::visit(overloaded{[this](const budgeted_retries&) {
                                 if (tokens_ < 1) return false;
                                 tokens_ -= 1;
                                 return true;
                               },
                               [](const unlimited_retries&) { return true; }},
                    policy_);
}

duration RetryDelay(const retry_rule& rule, std::uint32_t attempt, std::uint64_t random) {
  constexpr std::uint32_t kMaxDoublings = 30;
  const std::uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, kMaxDoublings);
  const std::int64_t largest = std::max<std::int64_t>(rule.max_backoff.count(), 0);
  const std::int64_t base = std::clamp<std::int64_t>(rule.backoff.count(), 0, largest);
  const std::int64_t bound =
      base > (largest >> doublings) ? largest : base * (std::int64_t{1} << doublings);
  // Full jitter: a uniform delay up to the bound, so that attempts that failed together are not
  // retried together.
  return duration(static_cast<std::int64_t>(random % (static_cast<std::uint64_t>(bound) + 1)));
}

}  // namespace sycamorehinge
