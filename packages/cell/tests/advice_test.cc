#include <catch2/catch.hpp>

#include "cell_world.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

void Furnish(cell_world& world, int hosts, duration decision) {
  queue_settings& queue = world.AddQueue("q");
  queue.advice = advice_settings{decision, std::chrono::microseconds(500), seconds(2)};
  for (int i = 0; i < hosts; ++i) world.AddHost("h" + std::to_string(i), kHost);
  world.Begin();
}

bool IsEven(const host_id& host) { return (host.value.back() - '0') % 2 == 0; }

// Guards against work on a host that the policy does not allow for the step.
TEST_CASE("Tasks run only where the policy service approves") {
  cell_world world;
  Furnish(world, 6, milliseconds(10));
  world.approve = [](const task_ref&, const host_id& host) { return IsEven(host); };
  world.Submit(1, "q", OneStep(12, 2000, milliseconds(500)));
  job_spec gang = OneStep(6, 3000, milliseconds(500));
  gang.steps[0].gang = true;
  world.Submit(2, "q", gang);
  REQUIRE(world.RunUntil(
      [&] {
        return world.Phase(1) == job_phase::kCompleted && world.Phase(2) == job_phase::kCompleted;
      },
      seconds(10)));
  for (const auto& [name, host] : world.hosts) {
    if (!IsEven(host.entry.id)) CHECK(host.starts == 0);
  }
  CHECK(world.violations.empty());
}

// Guards against questions that pile up until every ticket comes too late (trouble-1: 370 open
// questions with most cores idle).
TEST_CASE("Open questions stay within what the service can answer in time") {
  cell_world world;
  Furnish(world, 4, milliseconds(50));
  for (job_number job = 1; job <= 100; ++job) {
    world.Submit(job, "q", OneStep(2, 2000, milliseconds(500)));
  }
  world.Run(seconds(2));
  // Questions of 50 ms each within a backlog of 400 ms and its urgent share.
  CHECK(world.most_open_questions <= 12);
  CHECK(world.RunUntil([&] { return world.Phase(100) == job_phase::kCompleted; }, seconds(30)));
}

// Guards against a step that waits for ever after the service gave no answer.
TEST_CASE("A step asks again when a ticket lapses or an answer is missing") {
  cell_world world;
  Furnish(world, 1, milliseconds(10));
  world.Submit(1, "q", OneStep(8, 1000, seconds(4)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 8; }, seconds(1)));
  // Approved while there was no room; the ticket lapses before there is.
  world.Submit(2, "q", OneStep(2, 4000, seconds(1)));
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(9)));
  CHECK(world.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
