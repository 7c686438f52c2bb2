#include "sycamorehinge/core/ejection.h"

#include <catch2/catch.hpp>

#include "pool_fixture.h"

namespace sycamorehinge {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

outlier_ejection TenHosts() {
  outlier_ejection ejection(true);
  for (host_slot host = 0; host < 10; ++host) ejection.AddHost(host);
  return ejection;
}

void CountOutcomes(outlier_ejection& ejection, host_slot host, std::uint64_t job, bool failed,
                   int times, time_point now) {
  for (int n = 0; n < times; ++n) {
    ejection.RecordOutcome(host, {1, 1, job + static_cast<std::uint64_t>(n)}, failed, false, now);
  }
}

// Guards against a host that fails every task at once and, as it is always free, attracts new work.
TEST_CASE("A host that fails far more than its peers is ejected") {
  outlier_ejection ejection = TenHosts();
  for (host_slot host = 1; host < 10; ++host) CountOutcomes(ejection, host, 1, false, 10, At(1000));
  CountOutcomes(ejection, 0, 100, true, 3, At(1000));
  CHECK_FALSE(ejection.IsEjected(0));
  CountOutcomes(ejection, 0, 200, true, 1, At(1000));
  CHECK(ejection.IsEjected(0));
}

// Guards against ejecting hosts because of jobs that fail on every host.
TEST_CASE("No host is ejected for one failing job or for failures on all hosts") {
  outlier_ejection ejection = TenHosts();
  for (host_slot host = 1; host < 10; ++host) CountOutcomes(ejection, host, 1, false, 10, At(1000));
  for (int n = 0; n < 20; ++n) ejection.RecordOutcome(0, {1, 1, 7}, true, false, At(1000));
  CHECK_FALSE(ejection.IsEjected(0));
  for (std::uint64_t round = 0; round < 20; ++round) {
    for (host_slot host = 1; host < 10; ++host)
      CountOutcomes(ejection, host, 50 + round, true, 1, At(2000));
  }
  for (host_slot host = 1; host < 10; ++host) CHECK_FALSE(ejection.IsEjected(host));
}

// Guards against ejecting most hosts, and so losing most capacity, when failures are widespread.
TEST_CASE("At most 30% of the hosts are ejected") {
  outlier_ejection ejection = TenHosts();
  for (host_slot host = 6; host < 10; ++host)
    CountOutcomes(ejection, host, 1, false, 500, At(1000));
  int ejected = 0;
  for (host_slot host = 0; host < 6; ++host) {
    CountOutcomes(ejection, host, 1000, true, 20, At(1000));
    if (ejection.IsEjected(host)) ++ejected;
  }
  CHECK(ejected == 3);
}

// Guards against a repaired host that is never reinstated, and against bursts of probes.
TEST_CASE("An ejected host gets one probe every 5 s and is reinstated after two successes") {
  outlier_ejection ejection = TenHosts();
  for (host_slot host = 1; host < 10; ++host) CountOutcomes(ejection, host, 1, false, 10, At(1000));
  CountOutcomes(ejection, 0, 100, true, 5, At(1000));
  REQUIRE(ejection.IsEjected(0));
  CHECK(ejection.ProbeDue(At(5999)) == kNoSlot);
  REQUIRE(ejection.ProbeDue(At(6000)) == 0);
  ejection.ProbeStarted(0, Id(1), At(6000));
  CHECK(ejection.ProbeDue(At(6001)) == kNoSlot);
  CHECK_FALSE(ejection.RecordOutcome(0, {1, 1, 1}, false, true, At(6100)));
  CHECK(ejection.ProbeDue(At(10'999)) == kNoSlot);
  ejection.ProbeStarted(0, Id(2), At(11'000));
  std::vector<host_slot> reinstated;
  ejection.Tick(ejection.NextTick(), reinstated);
  CHECK(reinstated == std::vector<host_slot>{0});
  CHECK_FALSE(ejection.IsEjected(0));
}

// Guards against a pool that keeps sending work to a failing host, or ejects one although its
// options disable ejection.
TEST_CASE("The pool gives an ejected host only probes") {
  for (const bool enabled : {true, false}) {
    pool_options options;
    options.eject_failing_hosts = enabled;
    options.placement = placement_kind::kFirstFit;
    pool_driver pool(options);
    for (int host = 0; host < 4; ++host) pool.Claim("h" + std::to_string(host), Cores(2));
    int starts = 0;
    for (std::uint64_t job = 1; job <= 100; ++job) {
      pool.now += std::chrono::milliseconds(10);
      pool.Send(work_offered{Item(job, Cores(1))});
      const std::string host = pool.Of<work_placed>().front().places.front().host.value;
      if (host == "h0") ++starts;
      pool.Finish(job, host, host == "h0" ? finish_kind::kFailed : finish_kind::kSucceeded);
    }
    CHECK(starts == (enabled ? 4 : 100));
  }
}

}  // namespace
}  // namespace sycamorehinge
