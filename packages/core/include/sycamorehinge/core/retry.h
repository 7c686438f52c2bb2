// Retry budget and backoff.
#ifndef SYCAMOREHINGE_CORE_RETRY_H_
#define SYCAMOREHINGE_CORE_RETRY_H_

#include <cstdint>
#include <variant>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Token bucket that each first attempt fills by `share`, so that retries stay below that share.
struct budgeted_retries {
  double share = 0.1;
  // Size of the bucket, which starts full.
  double burst = 10;
};
// Baseline for measurements: always retries.
struct unlimited_retries {};
using retry_policy = std::variant<budgeted_retries, unlimited_retries>;

class retry_budget {
 public:
  explicit retry_budget(retry_policy policy);

  void CountFirstAttempt();
  // Takes one retry from the budget; returns false if the budget is exhausted.
  bool TryRetry();

 private:
  retry_policy policy_;
  double tokens_ = 0;
};

// Delay before retry number `attempt` (1 is the first): exponential backoff with full jitter drawn
// from `random`, at most the rule's maximum.
duration RetryDelay(const retry_rule& rule, std::uint32_t attempt, std::uint64_t random);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_RETRY_H_
