#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

job_spec Gang(std::uint32_t members, std::int64_t cores, duration time) {
  job_spec spec = OneStep(members, cores, time);
  spec.steps[0].gang = true;
  return spec;
}

void StartCell(simulated_cell& cell, int hosts) {
  cell.AddQueue("q");
  for (int i = 0; i < hosts; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
}

// Guards against a partly started gang that holds capacity while its other members cannot start.
TEST_CASE("A gang starts only when all members fit") {
  simulated_cell cell;
  StartCell(cell, 2);
  cell.Submit(1, "q", OneStep(9, 1000, seconds(2)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 9; }, seconds(1)));
  cell.Submit(2, "q", Gang(8, 1000, seconds(1)));
  cell.Run(seconds(1));
  CHECK(cell.Running(2) == 0);
  REQUIRE(cell.RunUntil([&] { return cell.Running(2) > 0; }, seconds(3)));
  cell.Run(milliseconds(50));
  CHECK(cell.Running(2) == 8);
  CHECK(cell.RunUntil([&] { return cell.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  CHECK(cell.violations.empty());
}

// Guards against members with different run numbers, which cannot form a gang.
TEST_CASE("All members of a gang have the same run number, also after a retry") {
  simulated_cell cell;
  StartCell(cell, 2);
  std::map<std::uint32_t, int> members;
  cell.outcome = [&](const task_ref& task, std::uint32_t run) {
    ++members[run];
    return members.size() == 1 && task.index == 3 ? end_kind::kFailed : end_kind::kDone;
  };
  cell.run_time = [](const task_ref& task, duration declared) {
    return task.index == 3 ? declared / 2 : declared;
  };
  cell.Submit(1, "q", Gang(6, 2000, seconds(1)));
  REQUIRE(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(10)));
  CHECK(members.size() == 2);
  for (const auto& [run, count] : members) CHECK(count == 6);
  CHECK(cell.violations.empty());
}

// Guards against members that keep running after another is lost with its host.
TEST_CASE("A gang that loses a member is stopped and restarted as a whole") {
  simulated_cell cell;
  StartCell(cell, 3);
  cell.Submit(1, "q", Gang(4, 4000, seconds(30)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(1)));
  std::string used;
  for (const auto& [name, host] : cell.hosts) {
    if (!host.running.empty()) used = name;
  }
  cell.RestartHost(used);
  cell.owner->SetHost(cell.Host(used).entry, cell.now);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) < 2; }, seconds(3)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(3)));
  CHECK(cell.violations.empty());
}

// Guards against gangs of which a new owner finds only some members, since its polls have fenced
// off the starts of the others, and that it leaves waiting until hosts end them.
TEST_CASE("A new owner stops gangs whose other members cannot start any more") {
  simulated_cell cell;
  constexpr job_number kGangs = 20;
  cell.AddQueue("q");
  for (int i = 0; i < 350; ++i) {
    cell.AddHost("h" + std::to_string(i), resources{32'000, 64'000, 0, 0});
  }
  cell.StartFirstOwner();
  cell.Run(seconds(1));
  int index = 0;
  for (auto& [name, host] : cell.hosts) {
    if (++index % 2 == 0) host.start_delay = milliseconds(300);
  }
  for (job_number job = 1; job <= kGangs; ++job) cell.Submit(job, "q", Gang(8, 9000, seconds(5)));
  cell.Run(milliseconds(50));
  std::uint32_t running = 0;
  for (job_number job = 1; job <= kGangs; ++job) running += cell.Running(job);
  REQUIRE(running > 0);
  REQUIRE(running < 8 * kGangs);
  cell.ReplaceOwner();
  for (auto& [name, host] : cell.hosts) host.start_delay = {};
  cell.Run(seconds(8));
  CHECK(cell.lone_members == 0);
  for (job_number job = 1; job <= kGangs; ++job) CHECK(cell.Phase(job) == job_phase::kCompleted);
  CHECK(cell.violations.empty());
}

// Guards against a gang that waits for a member whose start is lost for longer than hosts let the
// other members wait.
TEST_CASE("A gang is stopped before its host gives up on a member that does not start") {
  simulated_cell cell;
  StartCell(cell, 4);
  cell.Run(seconds(1));
  int index = 0;
  for (auto& [name, host] : cell.hosts) {
    if (++index % 2 == 0) host.start_delay = seconds(30);
  }
  cell.Submit(1, "q", Gang(4, 7000, seconds(1)));
  cell.Run(milliseconds(100));
  REQUIRE(cell.Running(1) == 2);
  for (auto& [name, host] : cell.hosts) host.start_delay = {};
  for (auto& [name, host] : cell.hosts) host.drops_starts = host.running.empty();
  cell.Run(seconds(6));
  CHECK(cell.lone_members == 0);
  for (auto& [name, host] : cell.hosts) host.drops_starts = false;
  CHECK(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(10)));
  CHECK(cell.violations.empty());
}

// Guards against starvation of a gang by smaller tasks that take all freed capacity.
TEST_CASE("Hosts are reserved for a gang that has waited") {
  simulated_cell cell;
  StartCell(cell, 2);
  job_number next = 100;
  for (int i = 0; i < 8; ++i) cell.Submit(next++, "q", OneStep(2, 1000, seconds(1)));
  cell.Run(milliseconds(300));
  cell.Submit(1, "q", Gang(2, 6000, seconds(1)));
  bool started = false;
  for (int i = 0; i < 60 && !started; ++i) {
    cell.Submit(next++, "q", OneStep(2, 1000, seconds(1)));
    cell.Run(milliseconds(150));
    started = cell.Running(1) == 2 || cell.Phase(1) == job_phase::kCompleted;
  }
  CHECK(started);
  CHECK(cell.violations.empty());
}

// Guards against hosts that stay reserved after their gang has ended without another start.
TEST_CASE("Hosts reserved for a gang are released when its last run turns out to have succeeded") {
  simulated_cell cell;
  StartCell(cell, 4);
  cell.Submit(1, "q", Gang(2, 7000, seconds(2)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 2; }, seconds(1)));
  std::vector<std::string> used;
  for (const auto& [name, host] : cell.hosts) {
    if (!host.running.empty()) used.push_back(name);
  }
  REQUIRE(used.size() == 2);
  cell.Submit(2, "q", OneStep(4, 3000, seconds(60)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(2) == 4; }, seconds(1)));
  for (const std::string& name : used) cell.Host(name).partitioned = true;
  const auto keeps = [&] { return cell.owner->Summary().reserved_hosts > 0; };
  REQUIRE(cell.RunUntil(keeps, seconds(20)));
  for (const std::string& name : used) cell.Host(name).partitioned = false;
  REQUIRE(cell.RunUntil([&] { return cell.Phase(1) == job_phase::kCompleted; }, seconds(5)));
  CHECK(cell.owner->Summary().reserved_hosts == 0);
  cell.Submit(3, "q", OneStep(10, 2000, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Running(3) == 10; }, seconds(2)));
  CHECK(cell.violations.empty());
}

// Guards against spreading a gang over several racks when one rack has the capacity.
TEST_CASE("A gang that requests one rack gets a rack that fits it") {
  simulated_cell cell;
  cell.AddQueue("q");
  for (int i = 0; i < 6; ++i) {
    cell.AddHost("h" + std::to_string(i), kHost, "r" + std::to_string(i % 2));
  }
  cell.StartFirstOwner();
  job_spec spec = Gang(6, 4000, seconds(1));
  spec.steps[0].same_rack = true;
  cell.Submit(1, "q", spec);
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 6; }, seconds(1)));
  std::set<std::string> racks;
  for (const auto& [name, host] : cell.hosts) {
    if (!host.running.empty()) racks.insert(host.entry.rack.value);
  }
  CHECK(racks.size() == 1);
}

job_spec Service(std::uint32_t tasks, std::int64_t cores) {
  job_spec spec = OneStep(tasks, cores, seconds(1));
  spec.steps[0].long_running = true;
  spec.steps[0].spread_limit = 1;
  return spec;
}

// Guards against hosts that are kept for a gang although tasks that last never leave it room there.
TEST_CASE("A gang reserves no hosts that tasks that last keep too full") {
  simulated_cell cell;
  cell.AddQueue("q", 1);
  cell.AddQueue("other", 2);
  for (int i = 0; i < 4; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
  cell.run_time = [](const task_ref& task, duration declared) {
    return task.job == 1 ? seconds(1000) : declared;
  };
  cell.Submit(1, "q", Service(4, 3000));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(2)));
  cell.Submit(2, "q", Gang(4, 6000, seconds(1)));
  cell.Run(seconds(2));
  cell.Submit(3, "other", OneStep(2, 500, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Phase(3) == job_phase::kCompleted; }, seconds(4)));
  CHECK(cell.violations.empty());
}

// Guards against a reservation that is kept although tasks that last have taken the hosts since.
TEST_CASE("Reserved hosts are released once tasks that last leave the gang too little") {
  simulated_cell cell;
  cell.AddQueue("urgent", 0);
  cell.AddQueue("q", 1);
  cell.AddQueue("other", 2);
  for (int i = 0; i < 4; ++i) cell.AddHost("h" + std::to_string(i), kHost);
  cell.StartFirstOwner();
  cell.run_time = [](const task_ref& task, duration declared) {
    return task.job == 3 ? seconds(1000) : declared;
  };
  cell.Submit(1, "q", OneStep(4, 5000, seconds(4)));
  REQUIRE(cell.RunUntil([&] { return cell.Running(1) == 4; }, seconds(2)));
  cell.Submit(2, "q", Gang(4, 6000, seconds(1)));
  REQUIRE(cell.RunUntil([&] { return cell.owner->Summary().reserved_hosts == 4; }, seconds(3)));
  cell.Submit(3, "urgent", Service(4, 3000));
  REQUIRE(cell.RunUntil([&] { return cell.Running(3) == 4; }, seconds(3)));
  cell.Submit(4, "other", OneStep(2, 500, seconds(1)));
  CHECK(cell.RunUntil([&] { return cell.Phase(4) == job_phase::kCompleted; }, seconds(8)));
  CHECK(cell.owner->Summary().reserved_hosts == 0);
  CHECK(cell.violations.empty());
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
