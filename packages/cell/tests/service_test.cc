// Services share an owner, but no hosts: what waits in one takes nothing from another.
#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};
constexpr duration kForever = std::chrono::hours(1);

// Two services of two hosts each, with queues "a", of priority 0, and "b".
void StartCell(simulated_cell& cell, std::uint32_t priority_of_b = 0) {
  for (const char* name : {"a", "b"}) {
    cell.AddQueue(name, *name == 'a' ? 0 : priority_of_b).service = name;
    for (const char* number : {"0", "1"}) {
      cell.AddHost(std::string(name) + number, kHost).entry.service = name;
    }
  }
  cell.StartFirstOwner();
}

job_spec Gang(std::uint32_t count, std::int64_t cores_milli, duration run_time) {
  job_spec spec = OneStep(count, cores_milli, run_time);
  spec.steps[0].gang = true;
  return spec;
}

// Returns a job with a lasting task on each of two hosts.
job_spec OneEach(std::int64_t cores_milli) {
  job_spec spec = OneStep(2, cores_milli, kForever);
  spec.steps[0].spread_limit = 1;
  return spec;
}

// Takes cores of each host of service "a", so that a gang of 6 cores a task waits there, until it
// has reserved the hosts.
void LetGangWait(simulated_cell& cell, std::int64_t taken_cores_milli) {
  cell.Submit(1, "a", OneEach(taken_cores_milli));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 2; }, seconds(1)));
  cell.Submit(2, "a", Gang(2, 6000, seconds(1)));
  cell.Run(seconds(2));
  REQUIRE(cell.Running(2) == 0);
}

// Guards against jobs that never start beside idle hosts: a gang that waits for one service
// reserved the hosts of another (review/10).
TEST_CASE("A waiting gang reserves no host of another service") {
  simulated_cell cell;
  StartCell(cell);
  LetGangWait(cell, 3000);
  cell.Submit(3, "b", OneStep(2, 2000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Running(3) == 2; }, seconds(1)));
  CHECK(cell.violations.empty());
}

// Guards against a gang that starves because a gang of another service holds reservations.
TEST_CASE("Gangs of several services reserve hosts at the same time") {
  simulated_cell cell;
  StartCell(cell);
  LetGangWait(cell, 3000);
  job_number next = 100;
  for (int i = 0; i < 8; ++i) cell.Submit(next++, "b", OneStep(2, 1000, seconds(1)));
  cell.Run(milliseconds(300));
  cell.Submit(3, "b", Gang(2, 6000, seconds(1)));
  bool started = false;
  for (int i = 0; i < 60 && !started; ++i) {
    cell.Submit(next++, "b", OneStep(2, 1000, seconds(1)));
    cell.Run(milliseconds(150));
    started = cell.Running(3) == 2 || cell.Phase(3) == job_phase::kCompleted;
  }
  CHECK(started);
  CHECK(cell.violations.empty());
}

// Guards against a host that stays reserved for a gang that cannot use it any more.
TEST_CASE("A reserved host that moves to another service takes its tasks") {
  simulated_cell cell;
  StartCell(cell);
  LetGangWait(cell, 3000);
  cell.Submit(3, "b", OneStep(2, 8000, kForever));
  REQUIRE(cell.RunUntil([&] { return cell.Running(3) == 2; }, seconds(1)));
  fake_host& host = cell.Host("a1");
  host.entry.service = "b";
  cell.owner->SetHost(host.entry, cell.now);
  cell.Submit(4, "b", OneStep(2, 2000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Running(4) == 2; }, seconds(1)));
  CHECK(cell.violations.empty());
}

// Guards against idle capacity that is kept for more urgent gangs of another service.
TEST_CASE("No capacity is kept for more urgent steps of another service") {
  simulated_cell cell;
  StartCell(cell, 1);
  LetGangWait(cell, kHost.cores_milli);
  cell.Submit(3, "b", OneEach(4000));
  REQUIRE(cell.RunUntil([&] { return cell.Running(3) == 2; }, seconds(1)));
  cell.Submit(4, "b", OneStep(2, 4000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Running(4) == 2; }, seconds(1)));
  CHECK(cell.violations.empty());
}

// Guards against requests to the policy service, which handles one at a time, about hosts that the
// gang can never use.
TEST_CASE("A gang asks the policy service about hosts of its service only") {
  simulated_cell cell;
  for (const char* name : {"a", "b"}) {
    queue_settings& queue = cell.AddQueue(name);
    queue.service = name;
    queue.advice = advice_settings{milliseconds(10), std::chrono::microseconds(500), seconds(2)};
    for (const char* number : {"0", "1"}) {
      cell.AddHost(std::string(name) + number, kHost).entry.service = name;
    }
  }
  cell.StartFirstOwner();
  std::set<std::string> asked;
  cell.approve = [&asked](const task_ref& task, const host_id& host) {
    if (task.job == 2) asked.insert(host.value);
    return true;
  };
  LetGangWait(cell, 3000);
  cell.Run(seconds(3));
  CHECK(asked == std::set<std::string>{"a0", "a1"});
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
