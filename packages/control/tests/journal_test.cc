// What the journal holds of a job, across a change of owner and at the limits of a record.
#include <catch2/catch.hpp>

#include "cluster.h"

namespace sycamorehinge::control::testing {
namespace {

// Guards against tasks that run again after a takeover, since the progress of a periodic job with a
// long backlog could be written but not read (review/8).
TEST_CASE("A new owner knows the progress of a periodic job with a long backlog") {
  cluster group(2);
  group.store.hosts.run_time = milliseconds(100);
  group.store.Run(seconds(3));
  submit_call call = Job(1);
  call.spec.occurrences = 20'000;
  call.spec.interval_ms = 1000;
  call.spec.first_start_ms = group.store.PortsOf("").wall_ms() - 20'000'000;
  REQUIRE(group.Call("p1", call) == errc::kOk);
  group.store.Run(seconds(2));
  const std::uint32_t starts = group.store.hosts.starts;
  CHECK(starts > 20);
  group.Kill("p0");
  group.store.Run(seconds(14));
  CHECK(group.store.hosts.starts > starts + 20);
  CHECK(group.store.hosts.runs_after_success == 0);
  CHECK(group.store.hosts.double_runs == 0);
}

// Guards against accepted work that is forgotten, or done work that runs again, because a new owner
// cannot read a record of its job, such as one of another version.
TEST_CASE("A job of which a record cannot be read stays known and does not start again") {
  cluster group(2);
  group.store.hosts.run_time = milliseconds(100);
  group.store.Run(seconds(3));
  const std::string kind = GENERATE("j", "s");
  submit_call call = Job(0xab);
  call.spec.occurrences = 2;
  call.spec.interval_ms = 3'600'000;
  call.spec.first_start_ms = group.store.PortsOf("").wall_ms();
  REQUIRE(group.Call("p1", call) == errc::kOk);
  group.store.Run(seconds(1));
  REQUIRE(group.store.hosts.starts == 1);
  group.store.Put(stream_name::kJournal, kind + "00000000000000ab", "\xff");
  group.Kill("p0");
  group.store.Run(seconds(14));
  CHECK(group.store.hosts.starts == 1);
  CHECK(group.Call("p1", job_state_call{0xab}) == errc::kOk);
  CHECK(group.Call("p1", call) == errc::kOk);
  CHECK(group.store.hosts.starts == 1);
  CHECK(group.Call("p1", cancel_call{0xab}) == errc::kOk);
  CHECK(group.Call("p1", Job(0xac)) == errc::kOk);
  CHECK(group.store.hosts.starts == 2);
}

// Guards against a job whose records are larger than the store takes: the journal sent the append
// again for ever, and with it the records of all other jobs.
TEST_CASE("A job that the journal cannot store is refused, and others are accepted") {
  cluster group(2);
  group.store.Run(seconds(3));
  submit_call call = Job(1);
  SECTION("its description is too large") { call.spec.payload.assign(300'000, 'x'); }
  SECTION("it has too many tasks") {
    call.spec.steps.assign(cell::kMaxSteps, call.spec.steps[0]);
    for (cell::step_spec& step : call.spec.steps) step.count = cell::kMaxTasksPerStep;
  }
  CHECK(group.Call("p1", call) == errc::kTooLarge);
  CHECK(group.Call("p1", Job(2)) == errc::kOk);
  CHECK(group.Call("p1", job_state_call{1}) == errc::kUnknownJob);
}

}  // namespace
}  // namespace sycamorehinge::control::testing
