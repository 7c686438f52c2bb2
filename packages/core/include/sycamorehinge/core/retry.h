// Retry budget and backoff.
#ifndef SYCAMOREHINGE_CORE_RETRY_H_
#define SYCAMOREHINGE_CORE_RETRY_H_

#include <cstdint>
#include <variant>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Token bucket filled by first attempts: retries stay below `share` of them.
struct budgeted_retries {
  double share = 0.1;
  // Retries allowed in a burst before first attempts have filled the bucket.
  double burst = 10;
};
// Measured baseline: always retries.
struct unlimited_retries {};
using retry_policy = std::variant<budgeted_retries, unlimited_retries>;

class retry_budget {
 public:
  explicit retry_budget(retry_policy policy);

  void CountFirstAttempt();
  // Takes one retry out of the budget; false if there is none.
  bool TryRetry();

 private:
  retry_policy policy_;
  double tokens_ = 0;
};

// Delay before attempt number `attempt` (1 is the first retry): exponential with full jitter
// drawn from `random`, never above the rule's maximum.
duration RetryDelay(const retry_rule& rule, std::uint32_t attempt, std::uint64_t random);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_RETRY_H_
