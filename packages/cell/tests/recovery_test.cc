#include <catch2/catch.hpp>

#include "cell_world.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

void Furnish(cell_world& world, int hosts, std::uint32_t max_attempts = 3) {
  world.AddQueue("q", 0, max_attempts);
  for (int i = 0; i < hosts; ++i) world.AddHost("h" + std::to_string(i), kHost);
  world.Begin();
}

// Guards against a second run of what the last owner started.
TEST_CASE("A new owner adopts what runs and starts only what does not") {
  cell_world world;
  Furnish(world, 3);
  for (job_number job = 1; job <= 8; ++job) {
    world.Submit(job, "q", OneStep(4, 1500, seconds(1)));
  }
  world.Run(milliseconds(700));
  world.ReplaceOwner();
  REQUIRE(world.RunUntil(
      [&] {
        for (job_number job = 1; job <= 8; ++job) {
          if (world.Phase(job) != job_phase::kCompleted) return false;
        }
        return true;
      },
      seconds(20)));
  for (const auto& [task, history] : world.tasks) CHECK(history.starts == 1);
  CHECK(world.violations.empty());
}

// Guards against work of an earlier owner on a host that the new one cannot reach.
TEST_CASE("Tasks of an earlier owner wait until a silent host cannot run them any more") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(10, 1500, seconds(30)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 10; }, seconds(1)));
  world.KillOwner();
  world.Host("h0").cut = true;
  world.ReplaceOwner();
  world.Submit(2, "q", OneStep(1, 500, seconds(1)));
  // New jobs do not wait.
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  world.Run(seconds(12));
  CHECK(world.violations.empty());
  CHECK(world.Running(1) > 0);
}

// Guards against a third run: the old failure was reported, the run after it was not yet (TWICE of
// trouble-1).
TEST_CASE("An end of an earlier run does not free a task whose next run is not known") {
  cell_world world;
  Furnish(world, 2);
  world.run_time = [](const task_ref&, duration) { return seconds(3); };
  world.outcome = [](const task_ref&, std::uint32_t run) {
    return run == 1 ? end_kind::kFailed : end_kind::kDone;
  };
  world.Submit(1, "q", OneStep(1, 6000, seconds(3)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.journal_available = false;
  const std::string first = world.Host("h0").running.empty() ? "h1" : "h0";
  const std::string second = first == "h0" ? "h1" : "h0";
  REQUIRE(world.RunUntil([&] { return !world.Host(second).running.empty(); }, seconds(6)));
  world.KillOwner();
  world.journal_available = true;
  world.Host(second).cut = true;
  world.ReplaceOwner();
  world.Run(seconds(2));
  world.Host(second).cut = false;
  CHECK(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(12)));
  CHECK(world.violations.empty());
}

// Guards against a failure that is not counted because a later one was reported before it (BUDGET
// of trouble-3).
TEST_CASE("Failures count once each in whatever order they are reported") {
  cell_world world;
  Furnish(world, 2, 2);
  world.outcome = [](const task_ref&, std::uint32_t) { return end_kind::kFailed; };
  world.Submit(1, "q", OneStep(1, 6000, milliseconds(200)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.journal_available = false;
  // Both attempts fail while nothing can be written.
  REQUIRE(world.RunUntil([&] { return world.tasks[{1, 0, 0, 0}].failed.size() == 2; }, seconds(5)));
  world.KillOwner();
  world.journal_available = true;
  // The host of the later failure answers first.
  world.Host("h0").cut = world.Host("h0").highest_ended[{1, 0, 0, 0}] == 1;
  world.Host("h1").cut = !world.Host("h0").cut;
  world.ReplaceOwner();
  world.Run(seconds(1));
  world.Host("h0").cut = false;
  world.Host("h1").cut = false;
  world.Run(seconds(5));
  CHECK(world.violations.empty());
  CHECK(world.Phase(1) == job_phase::kFailed);
}

// Guards against a new owner that counts the processor time of tasks that fill, for which the room
// of the host is not enough.
TEST_CASE("Tasks that fill take no cores after a takeover either") {
  cell_world world;
  Furnish(world, 1);
  job_spec spec = OneStep(1, 6000, seconds(60));
  spec.steps[0].fills = true;
  world.Submit(1, "q", spec);
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.ReplaceOwner();
  world.Submit(2, "q", OneStep(1, 6000, seconds(1)));
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(5)));
  CHECK(world.violations.empty());
}

// Guards against the start of a run that the loss of its host has not ended yet.
TEST_CASE("Tasks on a silent host run again when its lease is over, not before") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(1, 6000, seconds(60)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  const std::string name = world.Host("h0").running.empty() ? "h1" : "h0";
  world.Run(seconds(1));
  world.Host(name).cut = true;
  world.Run(seconds(3));
  CHECK(world.tasks[{1, 0, 0, 0}].starts == 1);
  REQUIRE(world.RunUntil([&] { return world.tasks[{1, 0, 0, 0}].starts == 2; }, seconds(5)));
  CHECK(world.violations.empty());
}

// Guards against a start without an answer that takes effect beside its replacement.
TEST_CASE("A start without an answer is settled before its task starts elsewhere") {
  cell_world world;
  Furnish(world, 2);
  world.Run(milliseconds(100));
  world.Host("h0").late_starts = seconds(3);
  world.Host("h1").late_starts = seconds(3);
  world.Submit(1, "q", OneStep(4, 3000, seconds(1)));
  world.Run(milliseconds(500));
  world.Host("h0").late_starts = {};
  world.Host("h1").late_starts = {};
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(20)));
  world.Run(seconds(5));
  CHECK(world.violations.empty());
}

// Guards against a host that lost everything with its restart and is still counted as busy.
TEST_CASE("Tasks of a host that starts anew run again at once") {
  cell_world world;
  Furnish(world, 1);
  world.Submit(1, "q", OneStep(2, 4000, seconds(2)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 2; }, seconds(1)));
  world.RestartHost("h0");
  world.owner->SetHost(world.Host("h0").entry, world.now);
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 2; }, seconds(2)));
  CHECK(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(4)));
  CHECK(world.violations.empty());
}

// Guards against an owner that goes on beside a newer one.
TEST_CASE("A host that has seen a newer owner makes the old one step down") {
  cell_world world;
  Furnish(world, 1);
  world.Submit(1, "q", OneStep(1, 1000, seconds(5)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.Host("h0").token += 10;
  world.Run(seconds(3));
  CHECK(world.stepped_down);
}

// Guards against ended jobs that come back as unknown, or run again, after a change of owner.
TEST_CASE("A new owner knows the jobs that have ended") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(1, 1000, milliseconds(300)));
  world.Submit(2, "q", OneStep(1, 1000, seconds(30)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(3)));
  world.Cancel(2);
  world.Run(seconds(1));
  world.ReplaceOwner();
  world.Run(milliseconds(500));
  CHECK(world.Phase(1) == job_phase::kCompleted);
  CHECK(world.Phase(2) == job_phase::kCancelled);
  world.Submit(1, "q", OneStep(1, 1000, milliseconds(300)));
  world.Run(seconds(1));
  CHECK(world.tasks[{1, 0, 0, 0}].starts == 1);
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
