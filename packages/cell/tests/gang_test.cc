#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cell_world.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

job_spec Gang(std::uint32_t members, std::int64_t cores, duration time) {
  job_spec spec = OneStep(members, cores, time);
  spec.steps[0].gang = true;
  return spec;
}

void Furnish(cell_world& world, int hosts) {
  world.AddQueue("q");
  for (int i = 0; i < hosts; ++i) world.AddHost("h" + std::to_string(i), kHost);
  world.Begin();
}

// Guards against half a gang that holds room while the other half cannot start.
TEST_CASE("A gang starts only when there is room for all members") {
  cell_world world;
  Furnish(world, 2);
  world.Submit(1, "q", OneStep(9, 1000, seconds(2)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 9; }, seconds(1)));
  world.Submit(2, "q", Gang(8, 1000, seconds(1)));
  world.Run(seconds(1));
  CHECK(world.Running(2) == 0);
  REQUIRE(world.RunUntil([&] { return world.Running(2) > 0; }, seconds(3)));
  world.Run(milliseconds(50));
  CHECK(world.Running(2) == 8);
  CHECK(world.RunUntil([&] { return world.Phase(2) == job_phase::kCompleted; }, seconds(3)));
  CHECK(world.violations.empty());
}

// Guards against members with different runs, which never find each other.
TEST_CASE("All members of a gang carry the same run, also when it is tried again") {
  cell_world world;
  Furnish(world, 2);
  std::map<std::uint32_t, int> members;
  world.outcome = [&](const task_ref& task, std::uint32_t run) {
    ++members[run];
    return members.size() == 1 && task.index == 3 ? end_kind::kFailed : end_kind::kDone;
  };
  world.run_time = [](const task_ref& task, duration declared) {
    return task.index == 3 ? declared / 2 : declared;
  };
  world.Submit(1, "q", Gang(6, 2000, seconds(1)));
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(10)));
  CHECK(members.size() == 2);
  for (const auto& [run, count] : members) CHECK(count == 6);
  CHECK(world.violations.empty());
}

// Guards against members that run on after one of them is lost with its host.
TEST_CASE("A gang that loses a member is stopped and starts anew as a whole") {
  cell_world world;
  Furnish(world, 3);
  world.Submit(1, "q", Gang(4, 4000, seconds(30)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 4; }, seconds(1)));
  std::string used;
  for (const auto& [name, host] : world.hosts) {
    if (!host.running.empty()) used = name;
  }
  world.RestartHost(used);
  world.owner->SetHost(world.Host(used).entry, world.now);
  REQUIRE(world.RunUntil([&] { return world.Running(1) < 2; }, seconds(3)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 4; }, seconds(3)));
  CHECK(world.violations.empty());
}

// Guards against a gang that waits without end because smaller work takes each piece of room.
TEST_CASE("Hosts are kept free for a gang that has waited") {
  cell_world world;
  Furnish(world, 2);
  job_number next = 100;
  for (int i = 0; i < 8; ++i) world.Submit(next++, "q", OneStep(2, 1000, seconds(1)));
  world.Run(milliseconds(300));
  world.Submit(1, "q", Gang(2, 6000, seconds(1)));
  bool started = false;
  for (int i = 0; i < 60 && !started; ++i) {
    world.Submit(next++, "q", OneStep(2, 1000, seconds(1)));
    world.Run(milliseconds(150));
    started = world.Running(1) == 2 || world.Phase(1) == job_phase::kCompleted;
  }
  CHECK(started);
  CHECK(world.violations.empty());
}

// Guards against hosts that stay closed for smaller work after the gang they were kept for has
// ended without a new start.
TEST_CASE("Hosts kept for a gang are given back when its last run turns out to have succeeded") {
  cell_world world;
  Furnish(world, 4);
  world.Submit(1, "q", Gang(2, 7000, seconds(2)));
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 2; }, seconds(1)));
  std::vector<std::string> used;
  for (const auto& [name, host] : world.hosts) {
    if (!host.running.empty()) used.push_back(name);
  }
  REQUIRE(used.size() == 2);
  world.Submit(2, "q", OneStep(4, 3000, seconds(60)));
  REQUIRE(world.RunUntil([&] { return world.Running(2) == 4; }, seconds(1)));
  for (const std::string& name : used) world.Host(name).cut = true;
  const auto keeps = [&] { return world.owner->Summary().kept_hosts > 0; };
  REQUIRE(world.RunUntil(keeps, seconds(20)));
  for (const std::string& name : used) world.Host(name).cut = false;
  REQUIRE(world.RunUntil([&] { return world.Phase(1) == job_phase::kCompleted; }, seconds(5)));
  CHECK(world.owner->Summary().kept_hosts == 0);
  world.Submit(3, "q", OneStep(10, 2000, seconds(1)));
  CHECK(world.RunUntil([&] { return world.Running(3) == 10; }, seconds(2)));
  CHECK(world.violations.empty());
}

// Guards against a gang over several racks although one of them holds it.
TEST_CASE("A gang that wants one rack gets one that holds it") {
  cell_world world;
  world.AddQueue("q");
  for (int i = 0; i < 6; ++i) {
    world.AddHost("h" + std::to_string(i), kHost, "r" + std::to_string(i % 2));
  }
  world.Begin();
  job_spec spec = Gang(6, 4000, seconds(1));
  spec.steps[0].same_rack = true;
  world.Submit(1, "q", spec);
  REQUIRE(world.RunUntil([&] { return world.Running(1) == 6; }, seconds(1)));
  std::set<std::string> racks;
  for (const auto& [name, host] : world.hosts) {
    if (!host.running.empty()) racks.insert(host.entry.rack.value);
  }
  CHECK(racks.size() == 1);
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
