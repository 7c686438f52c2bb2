#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

void StartCell(simulated_cell& cell, int hosts, duration decision) {
  queue_settings& queue = cell.AddQueue("q");
  queue.advice = advice_settings{decision, std::chrono::microseconds(500), seconds(2)};
  for (int i = 0; i < hosts; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
}

bool IsEven(const host_id& host) { return (host.value.back() - '0') % 2 == 0; }

// Guards against starts on hosts that the policy service has not approved for the step.
TEST_CASE("Tasks run only where the policy service approves") {
  simulated_cell cell;
  StartCell(cell, 6, milliseconds(10));
  cell.approve = [](const task_ref&, const host_id& host) { return IsEven(host); };
  cell.Submit(1, "q", OneStep(12, 2000, milliseconds(500)));
  job_spec gang = OneStep(6, 3000, milliseconds(500));
  gang.steps[0].gang = true;
  cell.Submit(2, "q", gang);
  REQUIRE(cell.RunUntil(
      [&] {
        return cell.Phase(1) == job_phase::kCompleted && cell.Phase(2) == job_phase::kCompleted;
      },
      seconds(10)));
  for (const auto& [name, host] : cell.hosts) {
    if (!IsEven(host.entry.id)) CHECK(host.starts == 0);
  }
  CHECK(cell.violations.empty());
}

// Guards against a backlog of requests in which every ticket arrives too late to be used. Without
// the limit, 370 requests were open in the trial trouble-1 while most cores were idle.
TEST_CASE("Open advice requests stay within what the policy service can answer in time") {
  simulated_cell cell;
  StartCell(cell, 4, milliseconds(50));
  for (job_number job = 1; job <= 100; ++job) {
    cell.Submit(job, "q", OneStep(2, 2000, milliseconds(500)));
  }
  cell.Run(seconds(2));
  // Requests of 50 ms within a backlog of 400 ms, and half as much again for the highest priority.
  CHECK(cell.max_open_advice_requests <= 12);
  CHECK(cell.RunUntil([&] { return cell.Phase(100) == job_phase::kCompleted; }, seconds(30)));
}

// Guards against a step that waits forever after its ticket expired or a request had no answer.
TEST_CASE("A step requests advice again when a ticket expires or an answer is missing") {
  simulated_cell cell;
  StartCell(cell, 1, milliseconds(10));
  cell.Submit(1, "q", OneStep(8, 1000, seconds(4)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 8; }, seconds(1)));
  // The hosts are approved while full, and the tickets expire before there is free capacity.
  cell.Submit(2, "q", OneStep(2, 4000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Phase(2) == job_phase::kCompleted; }, seconds(9)));
  CHECK(cell.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
