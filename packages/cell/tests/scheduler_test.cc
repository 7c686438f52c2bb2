#include <algorithm>
#include <catch2/catch.hpp>

#include "cell_world.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kSmallHost = {8000, 16'000, 0, 0};

// A world with `hosts` hosts of eight cores and one queue "q".
void Furnish(cell_world& world, int hosts, std::uint32_t max_attempts = 3) {
  world.AddQueue("q", 0, max_attempts);
  for (int i = 0; i < hosts; ++i) world.AddHost("h" + std::to_string(i), kSmallHost);
  world.Begin();
}

// Guards against an acknowledged job that a loss of power erases, and against work for a job that
// was never acknowledged.
TEST_CASE("A job is acknowledged and started only when the journal has it") {
  cell_world world;
  Furnish(world, 1);
  world.Run(milliseconds(100));
  world.journal_available = false;
  world.Submit(1, "q", OneStep(1, 1000, seconds(1)));
  world.Run(seconds(2));
  CHECK(world.AnswerTo(1) == errc::kInternal);
  CHECK(world.tasks.empty());
  world.journal_available = true;
  REQUIRE(world.RunUntil([&] { return world.AnswerTo(1) == errc::kOk; }, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(3)));
  CHECK(world.violations.empty());
}

// Guards against a second job, or a second run, for a submission that comes twice.
TEST_CASE("The same job sent twice is one job") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(2, 1000, seconds(1)));
  world.Submit(1, "q", OneStep(2, 1000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(4)));
  world.Submit(1, "q", OneStep(2, 1000, seconds(1)));
  world.Run(seconds(2));
  CHECK(world.AnswerTo(1) == errc::kOk);
  for (const auto& [task, history] : world.tasks) CHECK(history.starts == 1);
}

// Guards against an end that is shown and then undone by the loss of its owner.
TEST_CASE("A job is shown as completed only when the journal has its end") {
  cell_world world;
  Furnish(world, 1);
  world.Submit(1, "q", OneStep(1, 1000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.journal_available = false;
  world.Run(seconds(3));
  CHECK(world.Running(1) == 0);
  CHECK(world.Phase(1) == job_phase::kRunning);
  CHECK_FALSE(world.Host("h0").ended.empty());
  world.journal_available = true;
  CHECK(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(1)));
  // The host may forget the end only then.
  CHECK(world.RunUntil([&] { return world.Host("h0").ended.empty(); }, seconds(2)));
}

// Guards against more work on a host than it has room for, in any mix of sizes.
TEST_CASE("Tasks wait while there is no room and take what others leave") {
  cell_world world;
  Furnish(world, 2);
  for (job_number job = 1; job <= 20; ++job) {
    world.Submit(job, "q", OneStep(3, 1000 + 500 * static_cast<int>(job % 5), milliseconds(700)));
  }
  REQUIRE(world.RunUntil(
      [&] {
        for (job_number job = 1; job <= 20; ++job) {
          if (world.Phase(job) != job_phase::kCompleted) return false;
        }
        return true;
      },
      seconds(40)));
  CHECK(world.violations.empty());
}

// Guards against a step that starts before the steps that it needs.
TEST_CASE("A step waits for the steps before it") {
  cell_world world;
  Furnish(world, 2);
  job_spec spec = OneStep(3, 1000, milliseconds(500));
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  world.outcome = [&](const task_ref& task, std::uint32_t) {
    if (task.step == 1) {
      for (std::uint32_t i = 0; i < 3; ++i) CHECK(world.tasks[{1, 0, 0, i}].done);
    }
    return end_kind::kDone;
  };
  world.Submit(1, "q", spec);
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(5)));
}

// Guards against jobs that are retried without end, or given up too early.
TEST_CASE("A job fails after the allowed attempts of a task and not before") {
  cell_world world;
  Furnish(world, 4, 3);
  world.outcome = [](const task_ref&, std::uint32_t) { return end_kind::kFailed; };
  world.Submit(1, "q", OneStep(1, 1000, milliseconds(100)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kFailed; }, seconds(30)));
  CHECK(world.tasks[{1, 0, 0, 0}].starts == 3);
  CHECK(world.violations.empty());
}

// Guards against tasks that run on after their job was cancelled, and against late starts.
TEST_CASE("A cancelled job stops and starts nothing more") {
  cell_world world;
  Furnish(world, 1);
  world.Submit(1, "q", OneStep(20, 2000, seconds(2)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 4; }, seconds(1)));
  world.Cancel(1);
  REQUIRE(world.RunUntil([&] { return world.AnswerTo(1) == errc::kOk; }, seconds(1)));
  const std::uint32_t starts = world.Host("h0").starts;
  world.Run(seconds(2));
  CHECK(world.Running(1) == 0);
  CHECK(world.Host("h0").starts == starts);
  CHECK(world.Phase(1) == job_phase::kCancelled);
  // The room is free again.
  world.Submit(2, "q", OneStep(4, 2000, milliseconds(500)));
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  world.Cancel(3);
  CHECK(world.AnswerTo(3) == errc::kUnknownJob);
  CHECK(world.StateCode(3) == errc::kUnknownJob);
}

// Guards against jobs counted as begun although their hosts are silent (MIXED of scale-2).
TEST_CASE("A job counts as pending until a host has a run of it") {
  cell_world world;
  Furnish(world, 1);
  world.Run(milliseconds(100));
  world.Host("h0").cut = true;
  world.Submit(1, "q", OneStep(1, 1000, seconds(1)));
  world.Run(seconds(3));
  CHECK(world.PendingJobs("q") == 1);
  CHECK(world.Phase(1) == job_phase::kQueued);
  world.Host("h0").cut = false;
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(10)));
  world.Run(milliseconds(100));
  CHECK(world.PendingJobs("q") == 0);
}

// Guards against occurrences that start early, are skipped or run twice.
TEST_CASE("Occurrences run at their times and may overlap") {
  cell_world world;
  Furnish(world, 2);
  job_spec spec = OneStep(1, 1000, milliseconds(1500));
  spec.occurrences = 3;
  spec.first_ms = world.wall_ms + 1000;
  spec.interval_ms = 1000;
  const std::int64_t first = spec.first_ms;
  world.outcome = [&](const task_ref& task, std::uint32_t) {
    CHECK(world.wall_ms >= first + 1000 * static_cast<std::int64_t>(task.occurrence));
    return end_kind::kDone;
  };
  world.Submit(1, "q", spec);
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(8)));
  CHECK(world.tasks.size() == 3);
  for (const auto& [task, history] : world.tasks) CHECK(history.starts == 1);
}

// Guards against a task on a host without its label, beyond its spread limit or far from its data
// although there is room near it.
TEST_CASE("Labels, spread limits and racks decide between hosts") {
  cell_world world;
  world.AddQueue("q");
  world.AddHost("near", kSmallHost, "r1").entry.labels = {"b", "r1"};
  world.AddHost("far", kSmallHost, "r2");
  world.AddHost("other", kSmallHost, "r3");
  world.Begin();
  job_spec labelled = OneStep(3, 1000, milliseconds(300));
  labelled.steps[0].label = "b";
  world.Submit(1, "q", labelled);
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(3)));
  CHECK(world.Host("near").starts == 3);
  job_spec spread = OneStep(3, 1000, milliseconds(300));
  spread.steps[0].spread_limit = 1;
  world.Submit(2, "q", spread);
  REQUIRE(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  CHECK(world.Host("near").starts == 4);
  CHECK(world.Host("far").starts == 1);
  CHECK(world.Host("other").starts == 1);
  job_spec local = OneStep(4, 1000, milliseconds(300));
  local.steps[0].rack = "r2";
  world.Submit(3, "q", local);
  REQUIRE(world.RunUntil([&] { return world.Phase(3) == job_phase::kCompleted; }, seconds(3)));
  CHECK(world.Host("far").starts == 5);
}

// Guards against new work on a host that is leaving.
TEST_CASE("A draining host gets no new work and keeps what it has") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(16, 1000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 16; }, seconds(1)));
  fake_host& leaving = world.Host("h0");
  leaving.entry.draining = true;
  world.owner->SetHost(leaving.entry, world.now);
  const std::uint32_t starts = leaving.starts;
  world.Submit(2, "q", OneStep(4, 1000, milliseconds(500)));
  REQUIRE(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(4)));
  CHECK(leaving.starts == starts);
  CHECK(world.Phase(1) == job_phase::kCompleted);
}

// Guards against work that stands still on a host whose health looks good.
TEST_CASE("A run without progress is stopped and runs elsewhere") {
  cell_world world;
  Furnish(world, 2);
  world.Host("h0").stands_still = true;
  world.Submit(1, "q", OneStep(16, 1000, seconds(2)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(20)));
  CHECK(world.violations.empty());
}

// Guards against a host that fails all it starts and, being free again at once, attracts all work.
TEST_CASE("A host that fails tasks of several jobs is avoided") {
  cell_world world;
  Furnish(world, 4, 4);
  world.Host("h0").fails_all = true;
  for (job_number job = 1; job <= 30; ++job) {
    world.Submit(job, "q", OneStep(1, 4000, milliseconds(200)));
  }
  REQUIRE(world.RunUntil(
      [&] {
        for (job_number job = 1; job <= 30; ++job) {
          if (world.Phase(job) != job_phase::kCompleted) return false;
        }
        return true;
      },
      seconds(20)));
  CHECK(world.Host("h0").starts < 12);
}

// Guards against a look at every host all the time: each one is paid for.
TEST_CASE("An idle host is looked at once, a busy one about once for each end") {
  cell_world world;
  Furnish(world, 4);
  world.Run(seconds(5));
  CHECK(world.looks == 4);
  world.Submit(1, "q", OneStep(1, 1000, milliseconds(900)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(4)));
  world.Run(seconds(3));
  CHECK(world.looks <= 8);
}

// Guards against a job that fails by a limit that nobody set, and against a start beyond the limit
// once the queue is back.
TEST_CASE("Failures count against the limit of the queue, not without one") {
  cell_world world;
  world.AddQueue("q", 0, 3);
  world.AddHost("h0", kSmallHost);
  world.Begin();
  world.outcome = [](const task_ref&, std::uint32_t) { return end_kind::kFailed; };
  world.Submit(1, "q", OneStep(1, 1000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  const auto starts = [&] { return world.tasks[{1, 0, 0, 0}].starts; };
  SECTION("the queue is gone") {
    world.RemoveQueue("q");
    world.Run(seconds(3));
    CHECK(world.Phase(1) == job_phase::kRunning);
  }
  SECTION("the limit is lowered") {
    REQUIRE(world.RunUntil([&] { return starts() == 2; }, seconds(3)));
    world.RemoveQueue("q");
    world.Run(seconds(2));
    world.AddQueue("q", 0, 2);
    world.ChangePriority("q", 1);
    world.Run(seconds(2));
    CHECK(world.Phase(1) == job_phase::kFailed);
    CHECK(starts() == 2);
  }
  CHECK(world.violations.empty());
}

// Guards against waiting work that keeps the priority that its queue had at its submission.
TEST_CASE("A new priority of a queue holds for work that waits already") {
  cell_world world;
  world.AddQueue("a", 1);
  world.AddQueue("b", 2);
  world.AddHost("h0", kSmallHost);
  world.Begin();
  world.Submit(1, "a", OneStep(1, 8000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 1; }, seconds(1)));
  world.Submit(2, "a", OneStep(1, 8000, seconds(1)));
  world.Submit(3, "b", OneStep(1, 8000, seconds(1)));
  world.Run(milliseconds(100));
  world.ChangePriority("b", 0);
  REQUIRE(world.RunUntil([&] { return world.Running(2) + world.Running(3) > 0; }, seconds(3)));
  CHECK(world.Running(3) == 1);
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(5)));
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
