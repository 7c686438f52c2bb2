#include "host_speed.h"

#include <catch2/catch.hpp>
#include <string>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};
constexpr time_point kNow(std::chrono::hours(1));

task_pace Pace(double percent, duration time) { return {percent, time}; }

// Guards against a speed that depends on the declared run times, or on a single task.
TEST_CASE("The speed of a host is learned from its progress beside that of others") {
  host_speed speed;
  CHECK(speed.Value(kNow) == 1);
  speed.Add(Pace(50, seconds(2)), Pace(400, seconds(10)), kNow);
  CHECK(speed.Value(kNow) == 1);
  for (int i = 0; i < 20; ++i) speed.Add(Pace(50, seconds(2)), Pace(400, seconds(10)), kNow);
  CHECK(speed.Value(kNow) == Approx(0.625));
  CHECK(speed.Class(kNow) == -2);
  SECTION("a host that recovers is noticed") {
    for (int i = 0; i < 40; ++i) speed.Add(Pace(80, seconds(2)), Pace(400, seconds(10)), kNow);
    CHECK(speed.Class(kNow) == 0);
  }
  SECTION("a host without work is tried again") {
    CHECK(speed.Value(kNow + seconds(16)) == 1);
    speed.Add(Pace(80, seconds(2)), Pace(400, seconds(10)), kNow + seconds(17));
    CHECK(speed.Value(kNow + seconds(17)) == 1);
  }
}

// Guards against division by nothing, and against speeds without bounds.
TEST_CASE("Samples without a reference are ignored, and the speed is bounded") {
  host_speed speed;
  for (int i = 0; i < 10; ++i) {
    speed.Add(Pace(100, seconds(2)), Pace(0, seconds(10)), kNow);
    speed.Add(Pace(100, seconds(2)), Pace(100, milliseconds(100)), kNow);
    speed.Add(Pace(100, {}), Pace(100, seconds(10)), kNow);
  }
  CHECK(speed.Value(kNow) == 1);
  for (int i = 0; i < 50; ++i) speed.Add(Pace(0, seconds(2)), Pace(100, seconds(10)), kNow);
  CHECK(speed.Value(kNow) == Approx(0.25).margin(0.05));
  for (int i = 0; i < 300; ++i) speed.Add(Pace(100, seconds(1)), Pace(1, seconds(10)), kNow);
  CHECK(speed.Value(kNow) == Approx(4).margin(0.05));
}

// Half of the hosts run at `slow`, the others at the usual speed. Runs tasks on all of them until
// their speeds are known.
void StartUnevenCell(simulated_cell& cell, double slow) {
  cell.AddQueue("q").stretch = 20;
  for (int i = 0; i < 8; ++i) {
    cell.AddHost("h" + std::to_string(i), kHost).speed = i % 2 == 0 ? slow : 1;
  }
  cell.StartFirstOwner();
  cell.Submit(1, "q", OneStep(128, 1000, seconds(2)));
  REQUIRE(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(60)));
}

std::uint32_t RunningAtSpeed(const simulated_cell& cell, job_number job, double speed) {
  std::uint32_t count = 0;
  for (const auto& [name, host] : cell.hosts) {
    for (const auto& [key, run] : host.running) {
      count += key.first.job == job && run.speed == speed ? 1 : 0;
    }
  }
  return count;
}

// Guards against gangs that hold fast hosts at the pace of a slow one.
TEST_CASE("A gang runs on hosts of similar speed if they fit it") {
  simulated_cell cell;
  StartUnevenCell(cell, 0.7);
  job_spec gang = OneStep(12, 2000, seconds(4));
  gang.steps[0].gang = true;
  cell.Submit(2, "q", gang);
  REQUIRE(cell.RunUntil([&] { return cell.Running(2) == 12; }, seconds(2)));
  CHECK(RunningAtSpeed(cell, 2, 1) == 12);
  // The rest of the fast hosts does not fit the second one.
  cell.Submit(3, "q", gang);
  REQUIRE(cell.RunUntil([&] { return cell.Running(3) == 12; }, seconds(2)));
  CHECK(RunningAtSpeed(cell, 3, 0.7) == 12);
  CHECK(cell.violations.empty());
}

// Guards against tasks that miss their target on a slow host while fast ones are free.
TEST_CASE("A step that would miss its target on a slow host starts on a fast one") {
  simulated_cell cell;
  queue_settings& urgent = cell.AddQueue("urgent");
  urgent.stretch = 1.1;
  StartUnevenCell(cell, 0.75);
  cell.Submit(3, "urgent", OneStep(4, 1000, seconds(2)));
  cell.Run(milliseconds(200));
  CHECK(RunningAtSpeed(cell, 3, 1) == 4);
  CHECK(cell.violations.empty());
}

// Guards against work for a host that has become very slow while its health is good.
TEST_CASE("A host that has become very slow gets work only if no other has room") {
  simulated_cell cell;
  StartUnevenCell(cell, 0.2);
  cell.Submit(2, "q", OneStep(32, 1000, seconds(2)));
  cell.Run(milliseconds(200));
  CHECK(RunningAtSpeed(cell, 2, 1) == 32);
  cell.Submit(3, "q", OneStep(4, 1000, seconds(2)));
  cell.Run(milliseconds(200));
  CHECK(RunningAtSpeed(cell, 3, 0.2) == 4);
  CHECK(cell.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
