// Entry nodes against the platform's models on a paused clock: the guarantees under failure.
#include <catch2/catch.hpp>

#include "node_world.h"

namespace sycamorehinge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// No host over its room, no task in two places, no key twice: read from what the hosts recorded.
void CheckHistory(node_world& world) {
  const testing::check_report report = world.Check();
  INFO(testing::ToString(report));
  for (const std::string_view promise :
       {testing::kRoomPromise, testing::kSinglePromise, testing::kOncePromise}) {
    CHECK(report.Find(promise)->broken == 0);
  }
}

// Guards against a path that works for only one kind of request.
TEST_CASE("Requests with and without a key are answered through any node") {
  node_world world({});
  world.Boot();
  for (std::size_t node = 0; node < 3; ++node) {
    const auto plain = world.Send(node, "", "hello");
    const auto keyed = world.Send(node, "k" + std::to_string(node), "order");
    REQUIRE(world.RunUntil(
        [&] { return node_world::Answered(plain) && node_world::Answered(keyed); }, seconds(3)));
    CHECK(plain->code == errc::kOk);
    CHECK(plain->body == "done:hello");
    CHECK(keyed->body == "done:order");
  }
  CheckHistory(world);
}

// Guards against a retry through another entry host that runs the order again.
TEST_CASE("A key that is sent through every node runs once") {
  node_world world({});
  world.Boot();
  std::vector<std::shared_ptr<request_answer>> answers;
  for (std::size_t i = 0; i < 6; ++i) answers.push_back(world.Send(i % 3, "k", "order"));
  world.Run(seconds(3));
  for (const auto& answer : answers) {
    CHECK(node_world::Answered(answer));
    CHECK(answer->body == "done:order");
  }
  CHECK(world.Starts("k") == 1);
  CheckHistory(world);
}

// Guards against taking a lost answer for "not run" and sending the order to another target.
TEST_CASE("A lost answer of a target is settled at the target") {
  node_world world({});
  world.Boot();
  world.LoseHostAnswers(1);
  const auto answer = world.Send(0, "k", "order");
  REQUIRE(world.RunUntil([&] { return node_world::Answered(answer); }, seconds(5)));
  CHECK(answer->body == "done:order");
  CHECK(world.Starts("k") == 1);
}

// Guards against a lost answer of the log that loses or doubles an accepted job.
TEST_CASE("Jobs run once while half of the log's answers are lost") {
  node_world world({});
  world.Boot();
  world.Log().Settings().lose_answers = 0.5;
  // A caller that is told "unknown" asks again with the same key, through another node.
  const auto submit = [&](std::size_t i, std::size_t node) {
    return world.Submit(node, node_world::Job("j" + std::to_string(i), 2, milliseconds(500)));
  };
  std::vector<std::shared_ptr<job_answer>> jobs;
  for (std::size_t i = 0; i < 6; ++i) jobs.push_back(submit(i, i % 3));
  world.Run(seconds(20));
  for (std::size_t round = 1; round < 4; ++round) {
    for (std::size_t i = 0; i < 6; ++i) {
      REQUIRE(node_world::Answered(jobs[i]));
      if (jobs[i]->code != errc::kOk) jobs[i] = submit(i, (i + round) % 3);
    }
    if (round == 2) world.Log().Settings().lose_answers = 0;
    world.Run(seconds(10));
  }
  for (const auto& job : jobs) {
    REQUIRE(job->code == errc::kOk);
    CHECK(world.StateOf(job->status.job) == job_state::kSucceeded);
  }
  CHECK(world.Starts("") == 12);
  CheckHistory(world);
}

// Guards against a node that wakes after its leases lapsed and still acts on what it believed. The
// pause falls into every step of appends, starts and their answers.
TEST_CASE("A node paused for 40 s starts nothing that another node has started") {
  for (std::uint32_t step = 0; step < 24; ++step) {
    const std::size_t paused = step % 3;
    world_options options;
    options.seed = step + 1;
    node_world world(options);
    world.Boot();
    std::vector<std::shared_ptr<job_answer>> jobs;
    std::vector<std::shared_ptr<request_answer>> orders;
    for (std::size_t i = 0; i < 9; ++i) {
      const std::string number = std::to_string(i);
      jobs.push_back(world.Submit(i % 3, node_world::Job("j" + number, 2, seconds(3))));
      orders.push_back(world.Send(i % 3, "k" + number, "order"));
    }
    world.Run(std::chrono::microseconds(250 * step));
    world.Pause(paused);
    world.Run(seconds(40));
    for (std::size_t i = 0; i < 9; ++i) {
      world.Send((paused + 1) % 3, "k" + std::to_string(i), "order");
      world.Submit((paused + 1) % 3, node_world::Job("j" + std::to_string(i), 2, seconds(3)));
    }
    world.Run(milliseconds(20));
    world.Resume(paused);
    world.Run(seconds(60));
    CheckHistory(world);
    for (const auto& job : jobs) {
      if (!node_world::Answered(job) || job->code != errc::kOk) continue;
      CHECK(world.StateOf(job->status.job) == job_state::kSucceeded);
    }
  }
}

// Guards against accepted work that dies with the process that accepted it.
TEST_CASE("Jobs of a killed node go on, and its hosts get work again within 3 s") {
  node_world world({});
  world.Boot();
  std::vector<std::shared_ptr<job_answer>> jobs;
  for (std::size_t i = 0; i < 9; ++i) {
    jobs.push_back(world.Submit(i % 3, node_world::Job("j" + std::to_string(i), 2, seconds(2))));
  }
  world.Run(milliseconds(100));
  world.Kill(1);
  world.Run(seconds(3));
  std::vector<std::shared_ptr<request_answer>> answers;
  for (std::size_t i = 0; i < 12; ++i)
    answers.push_back(world.Send(0, "k" + std::to_string(i), "x"));
  world.Run(seconds(1));
  for (const auto& answer : answers) CHECK(answer->body == "done:x");
  world.Run(seconds(60));
  for (const auto& job : jobs) {
    if (!node_world::Answered(job) || job->code != errc::kOk) continue;
    CHECK(world.StateOf(job->status.job) == job_state::kSucceeded);
  }
  CheckHistory(world);
}

// Guards against a task that is lost with its worker, or started again while it may still run.
TEST_CASE("Tasks of a dead worker run again elsewhere after their leases") {
  node_world world({});
  world.Boot();
  const auto job = world.Submit(0, node_world::Job("j", 4, seconds(20)));
  world.Run(seconds(2));
  REQUIRE(job->code == errc::kOk);
  for (const char* host : {"w0", "w1"}) world.KillHost(host);
  world.Run(seconds(60));
  CHECK(world.StateOf(job->status.job) == job_state::kSucceeded);
  CheckHistory(world);
}

// Guards against accepting what cannot be kept, and against refusing what can be served.
TEST_CASE("While the log is down idempotent requests go on and orders are refused as not run") {
  node_world world({});
  world.Boot();
  world.Log().Settings().down = true;
  // The first order finds the outage out; its own fate may be unknown.
  const auto first = world.Send(0, "first", "order");
  world.Run(seconds(6));
  CHECK(node_world::Answered(first));
  const auto plain = world.Send(0, "", "hello");
  const auto order = world.Send(0, "first", "order");
  const auto job = world.Submit(0, node_world::Job("j", 1, seconds(1)));
  world.Run(seconds(6));
  CHECK(plain->body == "done:hello");
  CHECK(order->code != errc::kOk);
  CHECK(job->code != errc::kOk);
  world.Log().Settings().down = false;
  world.Run(seconds(10));
  const auto again = world.Send(1, "first", "order");
  world.Run(seconds(3));
  CHECK(again->body == "done:order");
  CHECK(world.Starts("first") == 1);
}

// Guards against a stop that cuts off requests in flight or leaves its hosts idle.
TEST_CASE("A drained node finishes its requests and hands its hosts over within 1 s") {
  // Longer than the rest of a stop takes, so that only waiting for the requests saves them.
  world_options options;
  options.service_time = seconds(2);
  node_world world(options);
  world.Boot();
  std::vector<std::shared_ptr<request_answer>> answers;
  answers.reserve(8);
  for (int i = 0; i < 8; ++i) answers.push_back(world.Send(1, "", "hello"));
  world.Run(milliseconds(20));
  bool drained = false;
  world.Node(1).Drain(seconds(30), [&] { drained = true; });
  REQUIRE(world.RunUntil([&] { return drained; }, seconds(5)));
  for (const auto& answer : answers) CHECK(answer->body == "done:hello");
  world.Kill(1);
  world.Run(seconds(1));
  std::size_t held = world.Node(0).Hosts().size() + world.Node(2).Hosts().size();
  CHECK(held == 7);
  CheckHistory(world);
}

// Guards against two operators who both believe that their document won.
TEST_CASE("Of two racing documents one wins everywhere and the loser learns the winner") {
  node_world world({});
  world.Boot();
  const config_key key{{"sutepuu"}, stage_name::kProduction};
  const std::uint64_t base = world.Node(0).InForce(key)->version;
  std::vector<proposal_answer> answers(2);
  for (std::size_t i = 0; i < 2; ++i) {
    world.Node(i).Propose(
        {key.environment, key.stage, base, 0, "op" + std::to_string(i), "text", 0},
        [&answers, i](const proposal_answer& answer) { answers[i] = answer; });
  }
  world.Run(seconds(2));
  const std::size_t winner = answers[0].code == errc::kOk ? 0 : 1;
  CHECK(answers[winner].code == errc::kOk);
  CHECK(answers[1 - winner].code == errc::kVersionConflict);
  CHECK(answers[1 - winner].version.version == answers[winner].version.version);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(world.Node(i).InForce(key)->author == "op" + std::to_string(winner));
  }
}

// Guards against new work on a target that its host list names as leaving.
TEST_CASE("A leaving target gets no request after 5 s") {
  node_world world({});
  world.Boot();
  REQUIRE(world.RunUntil(
      [&] {
        for (std::size_t node = 0; node < 3; ++node) world.Send(node, "", "hello");
        return world.StartsOn("t0", time_point{}) > 0;
      },
      seconds(5)));
  world.SetListed("t0", true);
  world.Run(seconds(5));
  const time_point after = world.Now();
  for (std::size_t i = 0; i < 60; ++i) {
    world.Send(i % 3, "", "hello");
    world.Run(milliseconds(2));
  }
  world.Run(seconds(1));
  CHECK(world.StartsOn("t0", after) == 0);
  CHECK(world.StartsOn("t1", after) + world.StartsOn("t2", after) == 60);
}

}  // namespace
}  // namespace sycamorehinge
