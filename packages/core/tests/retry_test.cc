#include "sycamorehinge/core/retry.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

// Guards against retry storms: retries above their share of the first attempts.
TEST_CASE("Retries stay within their share of first attempts") {
  retry_budget budget(budgeted_retries{0.1, 10});
  int retries = 0;
  for (int n = 0; n < 10'000; ++n) {
    budget.CountFirstAttempt();
    if (n % 5 == 0 && budget.TryRetry()) ++retries;
  }
  CHECK(retries <= 1010);
  CHECK(retries >= 990);
  retry_budget unlimited{unlimited_retries{}};
  for (int n = 0; n < 100; ++n) CHECK(unlimited.TryRetry());
}

// Guards against retries saved up in quiet times that worsen a later retry storm.
TEST_CASE("The budget saves up at most one burst of retries") {
  retry_budget budget(budgeted_retries{0.1, 10});
  for (int n = 0; n < 10'000; ++n) budget.CountFirstAttempt();
  int retries = 0;
  while (budget.TryRetry()) ++retries;
  CHECK(retries == 10);
}

// Guards against delays above the maximum, overflow for high attempt numbers, and missing jitter.
TEST_CASE("The retry delay doubles with full jitter up to its maximum") {
  retry_rule rule;
  rule.backoff = std::chrono::milliseconds(50);
  rule.max_backoff = std::chrono::seconds(5);
  const std::uint64_t bounds[] = {50'000, 100'000, 200'000};
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
    const std::uint64_t bound = bounds[attempt - 1];
    CHECK(RetryDelay(rule, attempt, bound) == duration(static_cast<std::int64_t>(bound)));
    CHECK(RetryDelay(rule, attempt, bound + 1) == duration(0));
  }
  for (const std::uint32_t attempt : {8U, 60U, 4'000'000'000U}) {
    CHECK(RetryDelay(rule, attempt, 5'000'000) == rule.max_backoff);
  }
  rule.backoff = duration(0);
  CHECK(RetryDelay(rule, 3, 12345) == duration(0));
}

}  // namespace
}  // namespace sycamorehinge
