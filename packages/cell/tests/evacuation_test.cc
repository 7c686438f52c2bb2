#include "sycamorehinge/cell/evacuation.h"

#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

void StartCell(simulated_cell& cell, int hosts) {
  cell.AddQueue("q");
  for (int i = 0; i < hosts; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
}

bool Moves(duration left, duration host_left) {
  return std::holds_alternative<move_run>(DecideEvacuation({left, host_left}));
}

// Guards against runs that are stopped although they would end in time.
TEST_CASE("A run moves only if it would be lost with its host") {
  CHECK_FALSE(Moves(seconds(2), seconds(3)));
  CHECK_FALSE(Moves(milliseconds(3400), seconds(3)));
  CHECK(Moves(seconds(5), seconds(3)));
  CHECK(Moves(duration::max(), seconds(3)));
  CHECK(Moves(seconds(1), milliseconds(100)));
}

void Announce(simulated_cell& cell, const std::string& name, duration remaining) {
  fake_host& host = cell.Host(name);
  host.entry.draining = true;
  host.entry.remaining = remaining;
  cell.owner->SetHost(host.entry, cell.now);
}

// Guards against tasks that are lost with a host that said when it would go, and that start again
// only when its lease has expired.
TEST_CASE("Tasks that cannot end before their host leaves start elsewhere at once") {
  simulated_cell cell;
  StartCell(cell, 2);
  // Both fit on one host, the fuller one.
  cell.Submit(1, "q", OneStep(1, 1000, seconds(8)));
  cell.Submit(2, "q", OneStep(1, 1000, seconds(2)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) + cell.Running(2) == 2; }, seconds(1)));
  const std::string leaving = cell.Host("h0").running.empty() ? "h1" : "h0";
  const std::string other = leaving == "h0" ? "h1" : "h0";
  REQUIRE(cell.Host(leaving).running.size() == 2);
  Announce(cell, leaving, seconds(3));
  cell.Run(milliseconds(1500));
  CHECK(cell.Host(other).running.size() == 1);
  CHECK(cell.Host(leaving).running.size() == 1);
  cell.Run(milliseconds(1500));
  CHECK(cell.Phase(2) == job_phase::kCompleted);
  cell.Host(leaving).down_until = cell.now + seconds(100);
  cell.Host(leaving).running.clear();
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(8)));
  CHECK(cell.tasks[{2, 0, 0, 0}].starts == 1);
  CHECK(cell.violations.empty());
}

// Guards against members of a gang that go on alone when another one moves.
TEST_CASE("A gang with a member on a leaving host moves as a whole") {
  simulated_cell cell;
  StartCell(cell, 3);
  job_spec gang = OneStep(4, 4000, seconds(10));
  gang.steps[0].gang = true;
  cell.Submit(1, "q", gang);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(1)));
  const auto used = std::find_if(cell.hosts.begin(), cell.hosts.end(),
                                 [](const auto& row) { return !row.second.running.empty(); });
  Announce(cell, used->first, seconds(2));
  REQUIRE(cell.RunUntil([&] { return used->second.running.empty(); }, seconds(2)));
  CHECK(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(2)));
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(12)));
  CHECK(cell.lone_members == 0);
  CHECK(cell.violations.empty());
}

// Guards against moves from a host that does not say when it goes away.
TEST_CASE("Tasks stay on a draining host whose time to leave is not known") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Submit(1, "q", OneStep(1, 1000, seconds(8)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 1; }, seconds(1)));
  for (const char* name : {"h0", "h1"}) Announce(cell, name, {});
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(9)));
  CHECK(cell.tasks[{1, 0, 0, 0}].starts == 1);
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
