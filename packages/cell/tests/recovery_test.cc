#include <algorithm>
#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

void StartCell(simulated_cell& cell, int hosts, std::uint32_t max_attempts = 3) {
  cell.AddQueue("q", 0, max_attempts);
  for (int i = 0; i < hosts; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
}

// Guards against a second run of tasks that the previous owner started.
TEST_CASE("A new owner adopts active runs and starts only the other tasks") {
  simulated_cell cell;
  StartCell(cell, 3);
  for (job_number job = 1; job <= 8; ++job) {
    cell.Submit(job, "q", OneStep(4, 1500, seconds(1)));
  }
  cell.Run(milliseconds(700));
  cell.ReplaceOwner();
  REQUIRE(cell.RunUntil(
      [&] {
        for (job_number job = 1; job <= 8; ++job) {
          if (cell.Phase(job) != job_phase::kCompleted) return false;
        }
        return true;
      },
      seconds(20)));
  for (const auto& [task, history] : cell.tasks) CHECK(history.starts == 1);
  CHECK(cell.violations.empty());
}

// Guards against a second run of a task that an earlier owner started on a host that the new owner
// cannot reach.
TEST_CASE("Tasks of an earlier owner wait until an unreachable host can no longer run them") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Submit(1, "q", OneStep(10, 1500, seconds(30)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 10; }, seconds(1)));
  cell.KillOwner();
  cell.Host("h0").partitioned = true;
  cell.ReplaceOwner();
  cell.Submit(2, "q", OneStep(1, 500, seconds(1)));
  // New jobs do not wait.
  CHECK(cell.RunUntil([&] { return cell.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  cell.Run(seconds(12));
  CHECK(cell.violations.empty());
  CHECK(cell.Running(1) > 0);
}

// Guards against a start beyond the allowed attempts: a new owner sees an adopted run fail before
// the host of an earlier failure, which is not in the journal, has answered its first poll.
TEST_CASE("A task of an adopted run that fails waits for the failures on all other hosts") {
  simulated_cell cell;
  cell.AddQueue("q", 0, 2);
  for (int i = 0; i < 350; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
  cell.run_time = [](const task_ref&, duration) { return seconds(3); };
  cell.outcome = [](const task_ref&, std::uint32_t) { return end_kind::kFailed; };
  cell.Submit(1, "q", OneStep(1, 6000, seconds(3)));
  const auto host_of_run = [&]() -> fake_host* {
    for (auto& [name, host] : cell.hosts) {
      if (!host.running.empty()) return &host;
    }
    return nullptr;
  };
  REQUIRE(cell.RunUntil([&] { return host_of_run() != nullptr; }, seconds(1)));
  fake_host* first = host_of_run();
  cell.journal_available = false;
  REQUIRE(cell.RunUntil([&] { return host_of_run() && host_of_run() != first; }, seconds(6)));
  cell.KillOwner();
  cell.journal_available = true;
  first->partitioned = true;
  cell.ReplaceOwner();
  cell.Run(seconds(4));
  first->partitioned = false;
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kFailed; }, seconds(12)));
  CHECK(cell.tasks.at({1, 0, 0, 0}).starts == 2);
  CHECK(cell.violations.empty());
}

// Guards against a duplicate run when a host reports an old failure before the next run of the task
// is known, as check TWICE of the trial trouble-1 showed.
TEST_CASE("The end of an earlier run does not release a task whose next run is unknown") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.run_time = [](const task_ref&, duration) { return seconds(3); };
  cell.outcome = [](const task_ref&, std::uint32_t run) {
    return run == 1 ? end_kind::kFailed : end_kind::kDone;
  };
  cell.Submit(1, "q", OneStep(1, 6000, seconds(3)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  cell.journal_available = false;
  const std::string first = cell.Host("h0").running.empty() ? "h1" : "h0";
  const std::string second = first == "h0" ? "h1" : "h0";
  REQUIRE(cell.RunUntil([&] { return !cell.Host(second).running.empty(); }, seconds(6)));
  cell.KillOwner();
  cell.journal_available = true;
  cell.Host(second).partitioned = true;
  cell.ReplaceOwner();
  cell.Run(seconds(2));
  cell.Host(second).partitioned = false;
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(12)));
  CHECK(cell.violations.empty());
}

// Guards against ignoring a failure because a later one was reported first, as check BUDGET of the
// trial trouble-3 showed.
TEST_CASE("Each failure counts once in any order of reports") {
  simulated_cell cell;
  StartCell(cell, 2, 2);
  cell.outcome = [](const task_ref&, std::uint32_t) { return end_kind::kFailed; };
  cell.Submit(1, "q", OneStep(1, 6000, milliseconds(200)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  cell.journal_available = false;
  // Both attempts fail while nothing can be written.
  REQUIRE(cell.RunUntil([&] { return cell.tasks[{1, 0, 0, 0}].failed.size() == 2; }, seconds(5)));
  cell.KillOwner();
  cell.journal_available = true;
  // The host of the later failure answers first.
  cell.Host("h0").partitioned = cell.Host("h0").highest_ended[{1, 0, 0, 0}] == 1;
  cell.Host("h1").partitioned = !cell.Host("h0").partitioned;
  cell.ReplaceOwner();
  cell.Run(seconds(1));
  cell.Host("h0").partitioned = false;
  cell.Host("h1").partitioned = false;
  cell.Run(seconds(5));
  CHECK(cell.violations.empty());
  CHECK(cell.Phase(1) == job_phase::kFailed);
}

// Guards against a new owner that charges cores for adopted tasks with `fills` set, which would
// exceed the capacity of the host.
TEST_CASE("Adopted tasks with fills set are charged no cores") {
  simulated_cell cell;
  StartCell(cell, 1);
  job_spec spec = OneStep(1, 6000, seconds(60));
  spec.steps[0].fills = true;
  cell.Submit(1, "q", spec);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  cell.ReplaceOwner();
  cell.Submit(2, "q", OneStep(1, 6000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Phase(2) == job_phase::kCompleted; }, seconds(5)));
  CHECK(cell.violations.empty());
}

// Guards against a second run of a task before the lease of its unreachable host has expired.
TEST_CASE("Tasks on an unreachable host run again after its lease expires, not before") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Submit(1, "q", OneStep(1, 6000, seconds(60)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  const std::string name = cell.Host("h0").running.empty() ? "h1" : "h0";
  cell.Run(seconds(1));
  cell.Host(name).partitioned = true;
  cell.Run(seconds(3));
  CHECK(cell.tasks[{1, 0, 0, 0}].starts == 1);
  REQUIRE(cell.RunUntil([&] { return cell.tasks[{1, 0, 0, 0}].starts == 2; }, seconds(5)));
  CHECK(cell.violations.empty());
}

// Guards against a second run of a task on a host that the next owner does not know: the host list
// has lost its entry in an outage of the store, and its record is not in the journal.
TEST_CASE("No task starts on a host before the journal holds its record") {
  simulated_cell cell;
  cell.AddQueue("q");
  cell.AddHost("h0", {1000, 16'000, 0, 0});
  cell.StartFirstOwner();
  cell.Submit(1, "q", OneStep(1, 6000, seconds(20)));
  cell.Run(milliseconds(200));
  SECTION("the host is new") {
    cell.journal_available = false;
    cell.AddHost("h1", kHost);
  }
  SECTION("the host was not listed for a while") {
    fake_host& host = cell.AddHost("h1", kHost);
    host.entry.draining = true;
    cell.owner->SetHost(host.entry, cell.now);
    cell.Run(milliseconds(200));
    cell.owner->RemoveHost(host.entry.id, cell.now);
    cell.Run(milliseconds(200));
    cell.journal_available = false;
    host.entry.draining = false;
    cell.owner->SetHost(host.entry, cell.now);
  }
  cell.Run(seconds(1));
  CHECK(cell.Running(1) == 0);
  cell.KillOwner();
  cell.Host("h1").listed = false;
  cell.AddHost("h2", kHost);
  cell.journal_available = true;
  cell.ReplaceOwner();
  cell.Run(seconds(1));
  CHECK(cell.Running(1) == 1);
  CHECK(cell.violations == std::vector<std::string>());
}

// Guards against a lease that is longer than the next owner assumes: the host had been idle for so
// long that its slow clock was far behind the expected one.
TEST_CASE("The lease of a host that was idle for long is not longer than those of others") {
  simulated_cell cell;
  cell.AddQueue("q");
  const double drift = GENERATE(0.0, 0.02);
  cell.AddHost("h0", kHost).clock_drift = drift;
  cell.StartFirstOwner();
  cell.Run(std::chrono::minutes(10));
  cell.Submit(1, "q", OneStep(1, 6000, seconds(60)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  CHECK(cell.LeaseLeft("h0") <= scheduler_options{}.lease);
  cell.Run(seconds(30));
  CHECK(cell.Running(1) == 1);
  CHECK(cell.tasks[{1, 0, 0, 0}].starts == 1);
}

// Guards against an unanswered start that takes effect while its task runs elsewhere.
TEST_CASE("An unanswered start is resolved before its task starts elsewhere") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Run(milliseconds(100));
  cell.Host("h0").start_delay = seconds(3);
  cell.Host("h1").start_delay = seconds(3);
  cell.Submit(1, "q", OneStep(4, 3000, seconds(1)));
  cell.Run(milliseconds(500));
  cell.Host("h0").start_delay = {};
  cell.Host("h1").start_delay = {};
  REQUIRE(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(20)));
  cell.Run(seconds(5));
  CHECK(cell.violations.empty());
}

// Guards against treating runs as active after their host has restarted and lost them.
TEST_CASE("Tasks of a restarted host run again immediately") {
  simulated_cell cell;
  StartCell(cell, 1);
  cell.Submit(1, "q", OneStep(2, 4000, seconds(2)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 2; }, seconds(1)));
  cell.RestartHost("h0");
  cell.owner->SetHost(cell.Host("h0").entry, cell.now);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 2; }, seconds(2)));
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(4)));
  CHECK(cell.violations.empty());
}

// Guards against an owner that continues to act after a newer one has taken over.
TEST_CASE("A host that has seen a newer owner makes the old one step down") {
  simulated_cell cell;
  StartCell(cell, 1);
  cell.Submit(1, "q", OneStep(1, 1000, seconds(5)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  cell.Host("h0").token += 10;
  cell.Run(seconds(3));
  CHECK(cell.stepped_down);
}

// Guards against answers of an owner that a newer one has fenced before its term was recorded.
TEST_CASE("A new owner answers calls once the journal holds the record of its term") {
  simulated_cell cell;
  StartCell(cell, 1);
  cell.Submit(1, "q", OneStep(1, 1000, seconds(30)));
  cell.Run(milliseconds(100));
  cell.journal_available = false;
  cell.ReplaceOwner();
  cell.Submit(1, "q", OneStep(1, 1000, seconds(30)));
  cell.Cancel(1);
  cell.Run(milliseconds(500));
  CHECK(cell.AnswerTo(1) == errc::kInternal);
  cell.journal_available = true;
  cell.Run(milliseconds(100));
  CHECK(cell.AnswerTo(1) == errc::kOk);
  CHECK(cell.Phase(1) == job_phase::kCancelled);
}

// Guards against ended jobs that become unknown or run again after a change of owner.
TEST_CASE("A new owner knows the jobs that have ended") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Submit(1, "q", OneStep(1, 1000, milliseconds(300)));
  cell.Submit(2, "q", OneStep(1, 1000, seconds(30)));
  REQUIRE(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(3)));
  cell.Cancel(2);
  cell.Run(seconds(1));
  cell.ReplaceOwner();
  cell.Run(milliseconds(500));
  CHECK(cell.Phase(1) == job_phase::kCompleted);
  CHECK(cell.Phase(2) == job_phase::kCancelled);
  cell.Submit(1, "q", OneStep(1, 1000, milliseconds(300)));
  cell.Run(seconds(1));
  CHECK(cell.tasks[{1, 0, 0, 0}].starts == 1);
}

// Guards against a task that lasts and stays down under the next owner, whose run numbers are lower
// than those that the hosts have seen. Each refused number costs a stop and a poll.
TEST_CASE("A task that was started often in one term starts under the next owner") {
  simulated_cell cell;
  cell.AddQueue("q");
  for (int i = 0; i < 3; ++i) cell.AddHost("h" + std::to_string(i), resources{8000, 16'000, 0, 0});
  cell.StartFirstOwner();
  bool fails = true;
  cell.outcome = [&](const task_ref&, std::uint32_t) {
    return fails ? end_kind::kFailed : end_kind::kDone;
  };
  cell.run_time = [&](const task_ref&, duration) {
    return fails ? duration(milliseconds(20)) : duration(seconds(1000));
  };
  job_spec lasting = OneStep(1, 1000, seconds(1));
  lasting.steps[0].long_running = true;
  cell.Submit(1, "q", lasting);
  const task_ref task{1, 0, 0, 0};
  REQUIRE(cell.RunUntil([&] { return cell.tasks[task].starts > 300; }, seconds(120)));
  cell.decisions.clear();
  cell.ReplaceOwner();
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 0; }, seconds(1)));
  fails = false;
  CHECK(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(15)));
  const auto refused = std::count_if(
      cell.decisions.begin(), cell.decisions.end(),
      [](const log_decision& row) { return row.kind == decision_kind::kStartFailed; });
  CHECK(refused < 10);
  CHECK(cell.violations.empty());
}

// Guards against tasks that run again because the list of ends that their host sends is full while
// the journal is away.
TEST_CASE("A run whose end is not listed yet is not taken for lost") {
  simulated_cell cell;
  cell.AddQueue("q");
  cell.AddHost("h0", resources{8000, 64'000, 0, 0}).max_listed_ends = 5;
  cell.StartFirstOwner();
  cell.Submit(1, "q", OneStep(40, 500, milliseconds(400)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 16; }, seconds(1)));
  cell.journal_available = false;
  cell.Run(seconds(3));
  cell.journal_available = true;
  SECTION("under the same owner") {}
  SECTION("under the next one") { cell.ReplaceOwner(); }
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(15)));
  for (const auto& [task, history] : cell.tasks) CHECK(history.starts == 1);
  CHECK(cell.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
