// Waiting for room near the data or the group of a step.
#include "sycamorehinge/cell/locality.h"

#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

bool Waits(const locality_request& request) {
  return std::holds_alternative<wait_for_room>(DecideLocality(request));
}

scheduler_options OptionsWith(double far_factor) {
  scheduler_options options;
  options.far_factor = far_factor;
  return options;
}

// Two racks of two hosts. A job that takes `busy` fills the hosts of rack "near" but for `free`
// cores on each.
void StartCell(simulated_cell& cell, duration busy, std::int64_t free = 0) {
  cell.AddQueue("q").stretch = 4;
  for (const char* rack : {"near", "far"}) {
    for (const char* number : {"0", "1"}) cell.AddHost(std::string(rack) + number, kHost, rack);
  }
  cell.StartFirstOwner();
  job_spec filler = OneStep(2, 8000 - free, busy);
  filler.steps[0].rack = "near";
  filler.steps[0].spread_limit = 1;
  cell.Submit(1, "q", filler);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 2; }, seconds(1)));
}

std::size_t RunningOnRack(const simulated_cell& cell, const std::string& rack, job_number job) {
  std::size_t count = 0;
  for (const auto& [name, host] : cell.hosts) {
    for (const auto& [key, run] : host.running) {
      if (host.entry.rack.value == rack && key.first.job == job) ++count;
    }
  }
  return count;
}

// Guards against waits that cost more than they gain, and against starts elsewhere that cost more
// than a short wait.
TEST_CASE("A wait pays while it is shorter than the time lost elsewhere") {
  locality_request request{seconds(4), milliseconds(3900), {}, milliseconds(3900)};
  CHECK(Waits(request));
  request.expected_wait = seconds(4);
  CHECK_FALSE(Waits(request));
  request.expected_wait = duration::max();
  CHECK_FALSE(Waits(request));
  request = {duration(), duration(), {}, {}};
  CHECK_FALSE(Waits(request));
}

// Guards against a step that waits for ever for room that is always about to appear.
TEST_CASE("A wrong expectation costs at most half of the time lost elsewhere") {
  locality_request request{seconds(4), milliseconds(500), seconds(2), milliseconds(500)};
  CHECK(Waits(request));
  request.waited = milliseconds(2500);
  CHECK_FALSE(Waits(request));
}

// Guards against a far start just before room near the data appears.
TEST_CASE("A task waits for room near its data that is expected soon") {
  simulated_cell cell(OptionsWith(2));
  StartCell(cell, seconds(2));
  cell.Run(seconds(1));
  job_spec local = OneStep(1, 4000, seconds(4));
  local.steps[0].rack = "near";
  cell.Submit(2, "q", local);
  cell.Run(milliseconds(500));
  CHECK(cell.Running(2) == 0);
  cell.Run(seconds(1));
  CHECK(RunningOnRack(cell, "near", 2) == 1);
  CHECK(cell.owner->Summary().near_waits == 1);
}

// Guards against tasks that wait longer than a run elsewhere would take.
TEST_CASE("A task starts elsewhere at once if the wait would take longer") {
  simulated_cell cell(OptionsWith(2));
  StartCell(cell, seconds(30));
  job_spec local = OneStep(1, 4000, seconds(4));
  local.steps[0].rack = "near";
  cell.Submit(2, "q", local);
  cell.Run(milliseconds(300));
  CHECK(RunningOnRack(cell, "far", 2) == 1);
  CHECK(cell.owner->Summary().far_starts == 1);
}

// Guards against a deployment that is served otherwise although distance costs nothing there.
TEST_CASE("Without a far factor no task waits") {
  simulated_cell cell;
  StartCell(cell, seconds(2));
  job_spec local = OneStep(1, 4000, seconds(4));
  local.steps[0].rack = "near";
  cell.Submit(2, "q", local);
  cell.Run(milliseconds(300));
  CHECK(RunningOnRack(cell, "far", 2) == 1);
}

// Guards against a wide step of which all tasks wait for the few that fit near the data.
TEST_CASE("Tasks that do not fit near the data start elsewhere") {
  simulated_cell cell(OptionsWith(2));
  StartCell(cell, milliseconds(1500));
  job_spec local = OneStep(8, 4000, seconds(4));
  local.steps[0].rack = "near";
  cell.Submit(2, "q", local);
  cell.Run(milliseconds(300));
  CHECK(RunningOnRack(cell, "far", 2) == 4);
  CHECK(RunningOnRack(cell, "near", 2) == 0);
  cell.Run(seconds(2));
  CHECK(RunningOnRack(cell, "near", 2) == 4);
}

// Guards against a gang that starts on several racks just before one of them has room for it.
TEST_CASE("A gang waits for one rack that is expected to be free soon") {
  simulated_cell cell(OptionsWith(2));
  StartCell(cell, seconds(1), 2000);
  job_spec filler = OneStep(2, 6000, seconds(20));
  filler.steps[0].rack = "far";
  cell.Submit(2, "q", filler);
  cell.Run(milliseconds(200));
  job_spec gang = OneStep(4, 2000, seconds(4));
  gang.steps[0].gang = gang.steps[0].same_rack = true;
  cell.Submit(3, "q", gang);
  cell.Run(milliseconds(400));
  CHECK(cell.Running(3) == 0);
  cell.Run(milliseconds(900));
  CHECK(RunningOnRack(cell, "near", 3) == 4);
  CHECK(cell.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
