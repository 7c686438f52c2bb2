#include "sycamorehinge/core/pool.h"

#include <catch2/catch.hpp>
#include <map>

#include "pool_fixture.h"

namespace sycamorehinge {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using jobs = std::vector<std::uint64_t>;

// Guards against work that is placed where it does not fit, or not placed when room comes back.
TEST_CASE("Work waits for room and starts when room is freed") {
  pool_driver pool;
  pool.Claim("h1", Cores(2));
  pool.Send(work_offered{Item(1, Cores(2))});
  CHECK(pool.Placed() == jobs{1});
  pool.Send(work_offered{Item(2, Cores(1))});
  CHECK(pool.actions.empty());
  pool.Finish(1, "h1");
  CHECK(pool.Placed() == jobs{2});
}

// Guards against a second placement of the same attempt after a repeated offer.
TEST_CASE("A repeated offer is ignored") {
  pool_driver pool;
  pool.Claim("h1", Cores(4));
  pool.Send(work_offered{Item(1, Cores(1))});
  pool.Send(work_offered{Item(1, Cores(1))});
  CHECK(pool.actions.empty());
}

// Guards against waiting for ever for a host that does not exist, and against refusing work
// before the first host is known.
TEST_CASE("Work that fits no known host is refused") {
  pool_driver pool;
  pool.Send(work_offered{Item(1, Cores(64))});
  CHECK(pool.actions.empty());
  pool.Claim("h1", Cores(4));
  pool.Send(work_offered{Item(2, Cores(64))});
  CHECK(pool.Refused() == errc::kFitsNowhere);
  CHECK(pool.Of<work_refused>().front().retry_after.count() == 0);
  pool.Tick(25'000);
  CHECK(pool.Refused() == errc::kFitsNowhere);
}

// Guards against overcommitting a host that another holder used before, and against keeping room
// for work that the host does not know under the new term.
TEST_CASE("A new term replaces what was known of the host") {
  pool_driver pool;
  pool.Claim("h1", Cores(4), 1);
  pool.Send(hold_requested{Item(1, Cores(4)), std::chrono::seconds(1)});
  REQUIRE(pool.Placed() == jobs{1});
  pool.Claim("h1", Cores(4), 2, {held_work{Id(9), {"t1"}, {"batch"}, Cores(3), false}});
  CHECK(pool.target.PlaceOf(Id(1)) == std::nullopt);
  CHECK(pool.target.Summary().taken == Cores(3));
  pool.Send(work_offered{Item(2, Cores(2))});
  CHECK(pool.actions.empty());
  pool.Finish(9, "h1");
  REQUIRE(pool.Placed() == jobs{2});
  CHECK(pool.Of<work_placed>().front().places.front().term == 2);
}

// Guards against freeing room for a start that a renewal's report does not yet show.
TEST_CASE("A renewal under the same term keeps reservations") {
  pool_driver pool;
  pool.Claim("h1", Cores(4));
  pool.Send(work_offered{Item(1, Cores(4))});
  pool.Claim("h1", Cores(4));
  CHECK(pool.target.Summary().taken == Cores(4));
  pool.Send(host_released{{"h1"}});
  CHECK(pool.target.Summary().taken == resources());
  CHECK(pool.target.Summary().capacity == resources());
  CHECK(pool.target.Hosts().empty());
}

// Guards against P6: new work on a leaving host.
TEST_CASE("A leaving host gets no new work") {
  pool_driver pool;
  pool.Claim("h1", Cores(4));
  pool.Send(host_leaving{{"h1"}, true});
  pool.Send(work_offered{Item(1, Cores(1))});
  CHECK(pool.actions.empty());
  pool.Send(host_leaving{{"h1"}, false});
  CHECK(pool.Placed() == jobs{1});
}

// Guards against holds that outlive a peer that never answered, and against the loss of
// confirmed ones.
TEST_CASE("A hold expires unless it is confirmed") {
  pool_driver pool;
  pool.Claim("h1", Cores(2));
  const duration hold = std::chrono::milliseconds(500);
  pool.Send(hold_requested{Item(1, Cores(1)), hold});
  CHECK(pool.Placed() == jobs{1});
  pool.Send(hold_requested{Item(2, Cores(1)), hold});
  pool.Send(hold_requested{Item(3, Cores(1)), hold});
  CHECK(pool.Refused() == errc::kNoRoom);
  pool.Send(hold_confirmed{Id(1)});
  CHECK(pool.target.NextTick() == At(500));
  pool.Tick(500);
  CHECK(pool.target.PlaceOf(Id(1)).has_value());
  CHECK_FALSE(pool.target.PlaceOf(Id(2)).has_value());
  pool.Send(hold_requested{Item(4, Cores(1)), hold});
  pool.Send(hold_released{Id(4)});
  CHECK(pool.target.Summary().taken == Cores(1));
}

// Guards against work that runs although its caller has given up, and against a caller that
// sleeps past a deadline.
TEST_CASE("Waiting work is refused at its deadline and asks peers before") {
  pool_driver pool;
  pool.Claim("h1", Cores(1));
  pool.Send(work_offered{Item(1, Cores(1))});
  work_item late = Item(2, Cores(1));
  late.deadline = At(100);
  // Short, so that the work behind it is not refused for its expected wait.
  late.run_time = std::chrono::milliseconds(1);
  pool.Send(work_offered{late});
  CHECK(pool.target.NextTick() == At(5));
  pool.Tick(5);
  CHECK(pool.Of<overflow_wanted>().size() == 1);
  CHECK(pool.target.NextTick() == At(40));
  work_item later = Item(3, Cores(1));
  later.deadline = At(150);
  pool.Send(work_offered{later});
  pool.Tick(100);
  CHECK(pool.Refused() == errc::kDeadlinePassed);
  // Room that is freed after a deadline but before the tick is of no use.
  pool.now = At(150);
  pool.Finish(1, "h1");
  CHECK(pool.Placed().empty());
  pool.Tick(150);
  CHECK(pool.Refused() == errc::kDeadlinePassed);
  CHECK(pool.target.NextTick() == time_point::max());
}

// Guards against a class that takes the room of one that has less than its guaranteed share.
TEST_CASE("Freed room goes to the class furthest below its share") {
  pool_driver pool;
  pool.Rules({Class("urgent", 0.2, 9), Class("batch", 0.6, 1)});
  pool.Claim("h1", Cores(10));
  for (std::uint64_t job = 1; job <= 6; ++job) pool.Send(work_offered{Item(job, Cores(1))});
  for (std::uint64_t job = 11; job <= 12; ++job) {
    pool.Send(work_offered{Item(job, Cores(1), "urgent")});
  }
  // Both classes have their shares; only preemptible work may borrow the rest.
  pool.Send(work_offered{Item(7, Cores(1))});
  CHECK(pool.Placed().empty());
  work_item borrower = Item(8, Cores(2));
  borrower.preemptible = true;
  pool.Send(work_offered{borrower});
  CHECK(pool.Placed() == jobs{8});
  pool.Send(work_offered{Item(13, Cores(1), "urgent")});
  CHECK(pool.Placed().empty());
  pool.Finish(11, "h1");
  CHECK(pool.Placed() == jobs{13});
}

// Guards against guaranteed shares that exist on paper only while borrowed room is not returned.
TEST_CASE("Borrowed room is preempted for a class below its share") {
  pool_driver pool;
  pool.Rules({Class("urgent", 0.5, 9), Class("batch", 0.5, 1)});
  pool.Claim("h1", Cores(4));
  for (std::uint64_t job = 1; job <= 4; ++job) {
    work_item item = Item(job, Cores(1));
    item.preemptible = true;
    pool.Send(work_offered{item});
  }
  REQUIRE(pool.target.Summary().taken == Cores(4));
  pool.Send(work_offered{Item(11, Cores(1), "urgent")});
  pool.Tick(199);
  CHECK(pool.Of<preemption_wanted>().empty());
  CHECK(pool.target.NextTick() == At(200));
  pool.Tick(200);
  REQUIRE(pool.Of<preemption_wanted>().size() == 1);
  CHECK(pool.Of<preemption_wanted>().front().id == Id(4));
  pool.Finish(4, "h1", finish_kind::kPreempted);
  CHECK(pool.Placed() == jobs{11});
}

// Guards against gangs that are placed in part, or that never get room while small work flows.
TEST_CASE("A gang is placed as a whole and does not starve") {
  pool_driver pool;
  for (int host = 0; host < 8; ++host) pool.Claim("h" + std::to_string(host), Cores(4));
  std::vector<std::pair<std::uint64_t, std::string>> running;
  std::uint64_t next = 100;
  const auto collect = [&] {
    bool gang = false;
    for (const work_placed& placed : pool.Of<work_placed>()) {
      if (placed.item.count > 1) {
        CHECK(placed.places.size() == 6);
        gang = true;
        continue;
      }
      running.emplace_back(placed.item.id.task.job.number, placed.places.front().host.value);
    }
    return gang;
  };
  for (int n = 0; n < 40; ++n) {
    pool.Send(work_offered{Item(next++, Cores(1))});
    collect();
  }
  work_item gang = Item(1, Cores(4));
  gang.kind = work_kind::kGang;
  gang.count = 6;
  pool.Send(work_offered{gang});
  CHECK(pool.Placed().empty());
  bool placed = false;
  for (int step = 1; step < 400 && !placed; ++step) {
    pool.Tick(std::int64_t{step} * 10);
    placed = collect();
    const auto [job, host] = running.front();
    running.erase(running.begin());
    pool.Finish(job, host);
    placed = collect() || placed;
    pool.Send(work_offered{Item(next++, Cores(1))});
    placed = collect() || placed;
  }
  CHECK(placed);
}

// Guards against gangs of a class below its share that wait for borrowed room without end.
TEST_CASE("Work is preempted for a gang below its class's share") {
  pool_driver pool;
  pool.Rules({Class("gangs", 0.5, 9), Class("batch", 0.5, 1)});
  for (int host = 0; host < 8; ++host) pool.Claim("h" + std::to_string(host), Cores(4));
  std::map<std::uint64_t, std::string> hosts;
  for (std::uint64_t job = 1; job <= 32; ++job) {
    work_item item = Item(job, Cores(1));
    item.preemptible = true;
    item.run_time = std::chrono::hours(9);
    pool.Send(work_offered{item});
    REQUIRE(pool.Placed() == jobs{job});
    hosts[job] = pool.Of<work_placed>().front().places.front().host.value;
  }
  work_item gang = Item(100, Cores(4), "gangs");
  gang.kind = work_kind::kGang;
  gang.count = 3;
  pool.Send(work_offered{gang});
  std::vector<std::uint64_t> preempted;
  bool placed = false;
  for (int step = 1; step <= 100 && !placed; ++step) {
    pool.Tick(std::int64_t{step} * 10);
    for (const preemption_wanted& wanted : pool.Of<preemption_wanted>()) {
      preempted.push_back(wanted.id.task.job.number);
    }
    placed = pool.Placed() == jobs{100};
    if (preempted.empty()) continue;
    pool.Finish(preempted.back(), hosts[preempted.back()], finish_kind::kPreempted);
    preempted.pop_back();
    placed = placed || pool.Placed() == jobs{100};
  }
  CHECK(placed);
  CHECK(pool.target.Summary().taken == Cores(32));
}

// Guards against a retry on the host that just failed it, and against waiting for a host that
// does not exist.
TEST_CASE("Hosts to avoid are avoided while another host could do the work") {
  pool_driver pool;
  pool.Claim("h1", Cores(4));
  pool.Claim("h2", Cores(2));
  work_item item = Item(1, Cores(2));
  item.avoid = {{"h1"}};
  pool.Send(work_offered{item});
  CHECK(pool.Of<work_placed>().front().places.front().host.value == "h2");
  item.id = Id(2);
  pool.Send(work_offered{item});
  CHECK(pool.actions.empty());
  item.id = Id(3);
  item.size = Cores(3);
  pool.Send(work_offered{item});
  CHECK(pool.Placed() == jobs{3});
}

// Guards against large work that starves because small work takes every bit of freed room.
TEST_CASE("Large work of a class is not starved by small work") {
  pool_driver pool;
  pool.Rules({Class("batch", 1, 1)});
  for (int host = 0; host < 4; ++host) pool.Claim("h" + std::to_string(host), Cores(4));
  std::vector<std::pair<std::uint64_t, std::string>> running;
  bool large = false;
  const auto collect = [&] {
    for (const work_placed& placed : pool.Of<work_placed>()) {
      const std::uint64_t job = placed.item.id.task.job.number;
      large = large || job == 1;
      running.emplace_back(job, placed.places.front().host.value);
    }
  };
  std::uint64_t next = 100;
  for (; next < 116; ++next) {
    pool.Send(work_offered{Item(next, Cores(1))});
    collect();
  }
  pool.Send(work_offered{Item(1, Cores(4))});
  for (int step = 1; step < 1000 && !large; ++step) {
    pool.Tick(std::int64_t{step} * 10);
    collect();
    pool.Finish(running.front().first, running.front().second);
    running.erase(running.begin());
    collect();
    pool.Send(work_offered{Item(next++, Cores(1))});
    collect();
  }
  CHECK(large);
}

// Guards against memory that grows without bound while no host is claimed.
TEST_CASE("The number of waiting items is bounded") {
  pool_options options;
  options.max_waiting = 3;
  pool_driver pool(options);
  for (std::uint64_t job = 1; job <= 4; ++job) pool.Send(work_offered{Item(job, Cores(1))});
  CHECK(pool.Refused() == errc::kOverloaded);
}

// Guards against usage above the declared size that lets more work onto a full host.
TEST_CASE("Reported usage above the declared size takes room") {
  pool_driver pool;
  pool.Claim("h1", Cores(4, 1000));
  pool.Send(work_offered{Item(1, Cores(1, 100))});
  pool.Send(usage_reported{{"h1"}, Id(1), Cores(1, 950)});
  pool.Send(work_offered{Item(2, Cores(1, 100))});
  CHECK(pool.actions.empty());
  pool.Send(usage_reported{{"h1"}, Id(1), Cores(1, 50)});
  CHECK(pool.Placed() == jobs{2});
  CHECK(pool.target.Summary().taken == Cores(2, 200));
}

// Guards against an explanation that is missing or names the wrong obstacle.
TEST_CASE("The pool explains why work waits") {
  pool_driver pool;
  tenant_rule tenant;
  tenant.name = {"t1"};
  tenant.quota = Cores(1);
  pool.Rules({Class("batch", 1, 1)}, {tenant});
  pool.Claim("h1", Cores(4));
  pool.Send(work_offered{Item(1, Cores(1))});
  pool.Send(work_offered{Item(2, Cores(1))});
  CHECK(pool.target.Explain(Id(1)).find("h1") != std::string::npos);
  CHECK(pool.target.Explain(Id(2)).find("quota") != std::string::npos);
  CHECK(pool.target.Explain(Id(3)).empty());
}

}  // namespace
}  // namespace sycamorehinge
