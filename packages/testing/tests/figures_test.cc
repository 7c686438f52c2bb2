#include "sycamorehinge/testing/figures.h"

#include <catch2/catch.hpp>

#include "sycamorehinge/testing/load_stats.h"

namespace sycamorehinge::testing {
namespace {

time_point At(std::int64_t ms) { return time_point(std::chrono::milliseconds(ms)); }

// Guards against waits that count from a retry, which would hide the wait before it.
TEST_CASE("Waits count from the first sending to the first start") {
  std::vector<history_event> events;
  events.push_back({At(10), request_sent{"r1", "e1", "r1", "confirmation", false, 7}});
  events.push_back({At(50), request_sent{"r1", "e2", "r1", "confirmation", false, 7}});
  events.push_back({At(90), attempt_started{"t1", "p1-1-1.0/1", "r1", 1, 7, {0, 0, 0, 1}}});
  events.push_back({At(95), attempt_started{"t1", "p1-1-1.0/2", "r1", 1, 7, {0, 0, 0, 1}}});
  const figures measured = Measure(events);
  REQUIRE(measured.waits.size() == 1);
  CHECK(measured.waits.at("confirmation") == std::vector<duration>{std::chrono::milliseconds(80)});
}

// Guards against packing that ignores hosts without work or work without an end.
TEST_CASE("Packing is the share of all workers' room over time") {
  std::vector<history_event> events;
  events.push_back({At(0), host_present{"w1", {1'000, 100, 0, 0}}});
  events.push_back({At(0), host_present{"w2", {1'000, 100, 0, 0}}});
  events.push_back({At(0), host_present{"t1", {0, 0, 0, 8}}});
  events.push_back({At(0), attempt_started{"w1", "p1-1-1.0/1", "", 1, 1, {1'000, 10, 0, 0}}});
  events.push_back({At(50), attempt_ended{"w1", "p1-1-1.0/1", "succeeded"}});
  events.push_back({At(50), attempt_started{"w2", "p1-1-2.0/1", "", 1, 2, {500, 10, 0, 0}}});
  events.push_back({At(100), attempt_started{"w1", "p1-1-3.0/1", "", 1, 3, {1'000, 10, 0, 0}}});
  CHECK(Measure(events).packing == Approx(0.375));
}

// Guards against percentiles that are off by one at the ends.
TEST_CASE("Percentiles are samples") {
  std::vector<duration> samples;
  for (int i = 100; i >= 1; --i) samples.emplace_back(i);
  CHECK(Percentile(samples, 0.5) == duration(50));
  CHECK(Percentile(samples, 0.99) == duration(99));
  CHECK(Percentile(samples, 1) == duration(100));
  CHECK(Percentile({duration(7)}, 0.01) == duration(7));
  CHECK(Percentile({}, 0.5) == duration::zero());
}

}  // namespace
}  // namespace sycamorehinge::testing
