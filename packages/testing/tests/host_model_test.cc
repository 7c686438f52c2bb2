#include "sycamorehinge/testing/host_model.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace sycamorehinge::testing {
namespace {

constexpr duration kTtl = std::chrono::seconds(2);

time_point At(std::int64_t ms) { return time_point(std::chrono::milliseconds(ms)); }

attempt_id Attempt(std::uint64_t job, std::uint32_t number = 1) {
  return {{{3, 120, job}, 0}, number};
}

host_model Worker() {
  host_settings settings;
  settings.host.value = "worker-1";
  settings.capacity = {4'000, 1'000, 0, 0};
  settings.usage_lag = std::chrono::seconds(1);
  return {settings, At(0)};
}

host_model Target() {
  host_settings settings;
  settings.host.value = "target-1";
  settings.capacity = {0, 0, 0, 2};
  settings.service_time = std::chrono::milliseconds(10);
  return {settings, At(0)};
}

claim_reply Claim(host_model& host, const char* holder, std::uint64_t term, std::int64_t ms,
                  std::vector<attempt_id> keep = {}, std::vector<attempt_id> ack = {}) {
  return host.Claim({{holder}, term, kTtl, std::move(keep), std::move(ack)}, At(ms));
}

// Term of a granted claim; 0 if it was refused.
std::uint64_t TermOf(const claim_reply& reply) {
  const auto* grant = std::get_if<claim_grant>(&reply);
  return grant == nullptr ? 0 : grant->term;
}

start_order Task(std::uint64_t term, const attempt_id& id, std::int64_t run_ms,
                 std::int64_t cores_milli = 1'000, std::string payload = {}) {
  start_order order;
  order.holder.value = "e1";
  order.term = term;
  order.id = id;
  order.size = {cores_milli, 10, 0, 0};
  order.lease = std::chrono::seconds(10);
  order.run_time = std::chrono::milliseconds(run_ms);
  order.payload = std::move(payload);
  return order;
}

template <class T>
std::size_t CountOf(const std::vector<history_event>& events) {
  return static_cast<std::size_t>(std::count_if(
      events.begin(), events.end(),
      [](const history_event& event) { return std::holds_alternative<T>(event.body); }));
}

const reported_task& OnlyTask(const claim_reply& reply) {
  const auto& grant = std::get<claim_grant>(reply);
  REQUIRE(grant.tasks.size() == 1);
  return grant.tasks.front();
}

// Guards against two holders at once, which would overfill the host.
TEST_CASE("A claim excludes others until it lapses, and each change of holder has a new term") {
  host_model host = Worker();
  CHECK(TermOf(Claim(host, "e1", 0, 0)) == 1);
  const auto refused = Claim(host, "e2", 0, 1'500);
  const auto* refusal = std::get_if<claim_refusal>(&refused);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->holder.value == "e1");
  CHECK(refusal->term == 1);
  CHECK(refusal->remaining == std::chrono::milliseconds(500));
  CHECK(TermOf(Claim(host, "e1", 1, 1'500)) == 1);
  CHECK(TermOf(Claim(host, "e2", 0, 3'400)) == 0);
  CHECK(TermOf(Claim(host, "e2", 0, 3'500)) == 2);
  CHECK(TermOf(Claim(host, "e1", 1, 3'600)) == 0);
}

// Guards against a paused holder that renews a claim after it has lapsed.
TEST_CASE("A lapsed claim cannot be renewed or used") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(host.Start(Task(1, Attempt(1), 100), At(2'000)) == errc::kStaleTerm);
  const auto refused = Claim(host, "e1", 1, 2'000);
  REQUIRE(std::holds_alternative<claim_refusal>(refused));
  CHECK(std::get<claim_refusal>(refused).remaining == duration::zero());
  CHECK(TermOf(Claim(host, "e1", 0, 2'000)) == 2);
}

// Guards against starts that an earlier life of a restarted process still has under way.
TEST_CASE("A new claim of the same holder has a new term") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(TermOf(Claim(host, "e1", 0, 100)) == 2);
  CHECK(host.Start(Task(1, Attempt(1), 100), At(200)) == errc::kStaleTerm);
  CHECK(host.Start(Task(2, Attempt(1), 100), At(200)) == errc::kOk);
}

// Guards against a released claim that others must wait for.
TEST_CASE("A released claim can be taken at once") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(host.Release({"e2"}, 1, At(10)) == errc::kStaleTerm);
  CHECK(host.Release({"e1"}, 1, At(10)) == errc::kOk);
  CHECK(TermOf(Claim(host, "e2", 0, 20)) == 2);
}

// Guards against a stand-in that hides overfilling by refusing it.
TEST_CASE("A start beyond the capacity runs and is recorded as an overfill") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(host.Start(Task(1, Attempt(1), 100, 3'000), At(1)) == errc::kOk);
  CHECK(CountOf<host_overfilled>(host.TakeEvents()) == 0);
  CHECK(host.Start(Task(1, Attempt(2), 100, 1'001), At(2)) == errc::kOk);
  const auto events = host.TakeEvents();
  CHECK(CountOf<host_overfilled>(events) == 1);
  CHECK(CountOf<attempt_started>(events) == 1);
  CHECK(std::get<claim_grant>(Claim(host, "e1", 1, 3)).tasks.size() == 2);
}

// Guards against ended tasks that the holder never hears of, or hears of for ever.
TEST_CASE("Ended tasks are reported until they are acknowledged") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 100), At(0)) == errc::kOk);
  CHECK(OnlyTask(Claim(host, "e1", 1, 99)).state == run_state::kRunning);
  CHECK(OnlyTask(Claim(host, "e1", 1, 100)).state == run_state::kSucceeded);
  CHECK(OnlyTask(Claim(host, "e1", 1, 200)).state == run_state::kSucceeded);
  CHECK(std::get<claim_grant>(Claim(host, "e1", 1, 300, {}, {Attempt(1)})).tasks.empty());
  CHECK(host.Void(1, Attempt(1), At(310))->state == "succeeded");
}

// Guards against an acknowledgement that drops a running task from the reports.
TEST_CASE("A running task cannot be acknowledged away") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 1'000), At(0)) == errc::kOk);
  CHECK(OnlyTask(Claim(host, "e1", 1, 10, {}, {Attempt(1)})).state == run_state::kRunning);
}

// Guards against a task that outlives its lease on a host that nobody reaches.
TEST_CASE("A task stops when its lease lapses, and renewals extend it") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 60'000), At(0)) == errc::kOk);
  REQUIRE(TermOf(Claim(host, "e1", 1, 1'000, {Attempt(1)})) == 1);
  host.Advance(At(10'999));
  CHECK(host.Taken().cores_milli == 1'000);
  host.Advance(At(20'000));
  CHECK(host.Taken().cores_milli == 0);
  const auto events = host.TakeEvents();
  CHECK(events.back().at == At(11'000));
  CHECK(std::get<attempt_ended>(events.back().body).state == "lapsed");
  CHECK(OnlyTask(Claim(host, "e2", 0, 20'001)).state == run_state::kLapsed);
}

// Guards against a void that a delayed start overtakes.
TEST_CASE("A voided attempt never starts") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(host.Void(2, Attempt(1), At(1)).code() == errc::kStaleTerm);
  CHECK(host.Void(1, Attempt(1), At(1))->state == "never");
  CHECK(host.Start(Task(1, Attempt(1), 100), At(2)) == errc::kVoided);
  CHECK(host.Start(Task(1, Attempt(1, 2), 100), At(2)) == errc::kOk);
  CHECK(host.Void(1, Attempt(1, 2), At(3))->state == "running");
}

// Guards against a repeated start that runs the task twice.
TEST_CASE("A repeated start runs nothing") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  CHECK(host.Start(Task(1, Attempt(1), 100), At(0)) == errc::kOk);
  CHECK(host.Start(Task(1, Attempt(1), 100), At(1)) == errc::kOk);
  CHECK(host.Start(Task(1, Attempt(1), 100), At(500)) == errc::kOk);
  CHECK(CountOf<attempt_started>(host.TakeEvents()) == 1);
}

// Guards against payloads whose deviations are ignored, which would test nothing.
TEST_CASE("A payload changes run time, usage and outcome") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 100, 1'000,
                          R"({"fail":true,"actual_run_ms":1500,"actual_cores_milli":2000})"),
                     At(0)) == errc::kOk);
  CHECK(OnlyTask(Claim(host, "e1", 1, 999)).used == resources{});
  CHECK(OnlyTask(Claim(host, "e1", 1, 1'000)).used.cores_milli == 2'000);
  CHECK(OnlyTask(Claim(host, "e1", 1, 1'500)).state == run_state::kFailed);
}

// Guards against stop and throttle that only answer.
TEST_CASE("Stop frees the room and throttle slows the rest of a task") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 1'000), At(0)) == errc::kOk);
  REQUIRE(host.Start(Task(1, Attempt(2), 1'000), At(0)) == errc::kOk);
  CHECK(host.Stop(1, Attempt(1), At(100)) == errc::kOk);
  CHECK(host.Taken().cores_milli == 1'000);
  CHECK(host.Throttle(1, Attempt(2), 50, At(500)) == errc::kOk);
  host.Advance(At(1'499));
  CHECK(host.Taken().cores_milli == 1'000);
  host.Advance(At(1'500));
  CHECK(host.Taken().cores_milli == 0);
  CHECK(host.Throttle(1, Attempt(2), 0, At(1'500)) == errc::kMalformed);
}

execute_order Request(std::uint64_t term, std::uint64_t number, std::string body) {
  return {term, {{{kNoPartition, 9, number}, 0}, 1}, "", std::move(body)};
}

// Guards against an answer that is not derived from the request's own body.
TEST_CASE("A target answers after its service time") {
  host_model host = Target();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  const auto order = Request(1, 1, "pay 5");
  const auto pending = host.Execute(order, At(0));
  REQUIRE(std::holds_alternative<execute_pending>(pending));
  CHECK(std::get<execute_pending>(pending).until == At(10));
  CHECK(std::holds_alternative<execute_pending>(host.ExecuteResult(order.id, At(9))));
  const auto done = host.ExecuteResult(order.id, At(10));
  REQUIRE(std::holds_alternative<execute_done>(done));
  CHECK(std::get<execute_done>(done).body == "done:pay 5");
  CHECK(host.Void(1, order.id, At(20))->answer == "done:pay 5");
}

// Guards against a repeated execute that runs the request twice.
TEST_CASE("A repeated execute gets the answer of the first one") {
  host_model host = Target();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  const auto order = Request(1, 1, "a");
  (void)host.Execute(order, At(0));
  CHECK(std::holds_alternative<execute_pending>(host.Execute(order, At(5))));
  CHECK(std::holds_alternative<execute_done>(host.Execute(order, At(15))));
  CHECK(CountOf<attempt_started>(host.TakeEvents()) == 1);
}

// Guards against a target that runs more requests than it has slots without anyone noticing.
TEST_CASE("More requests than slots are an overfill") {
  host_model host = Target();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  for (std::uint64_t i = 1; i <= 3; ++i) (void)host.Execute(Request(1, i, "a"), At(0));
  CHECK(CountOf<host_overfilled>(host.TakeEvents()) == 1);
}

// Guards against a new holder that cannot learn when requests of its predecessor end.
TEST_CASE("Claims report ended requests only of earlier terms") {
  host_model host = Target();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  const auto first = Request(1, 1, "a");
  (void)host.Execute(first, At(0));
  CHECK(std::get<claim_grant>(Claim(host, "e1", 1, 100)).tasks.empty());
  const auto second = Request(1, 2, "b");
  (void)host.Execute(second, At(200));
  REQUIRE(host.Release({"e1"}, 1, At(201)) == errc::kOk);
  CHECK(OnlyTask(Claim(host, "e2", 0, 202)).state == run_state::kRunning);
  CHECK(OnlyTask(Claim(host, "e2", 2, 300)).state == run_state::kSucceeded);
  CHECK(std::get<claim_grant>(Claim(host, "e2", 2, 400, {}, {second.id})).tasks.empty());
}

// Guards against a failing host that looks healthy or unreachable.
TEST_CASE("A failing host fails all new work") {
  host_model worker = Worker();
  worker.SetFailing(true);
  REQUIRE(TermOf(Claim(worker, "e1", 0, 0)) == 1);
  REQUIRE(worker.Start(Task(1, Attempt(1), 60'000), At(0)) == errc::kOk);
  CHECK(OnlyTask(Claim(worker, "e1", 1, 100)).state == run_state::kFailed);
  host_model target = Target();
  target.SetFailing(true);
  REQUIRE(TermOf(Claim(target, "e1", 0, 0)) == 1);
  const auto order = Request(1, 1, "a");
  (void)target.Execute(order, At(0));
  const auto reply = target.ExecuteResult(order.id, At(100));
  REQUIRE(std::holds_alternative<errc>(reply));
  CHECK(std::get<errc>(reply) == errc::kFailed);
}

// Guards against a restart that keeps work running or repeats a term.
TEST_CASE("A restarted host has lost its work and its claim, but not its term") {
  host_model host = Worker();
  REQUIRE(TermOf(Claim(host, "e1", 0, 0)) == 1);
  REQUIRE(host.Start(Task(1, Attempt(1), 60'000), At(0)) == errc::kOk);
  host.Restart(At(100));
  CHECK(host.Taken() == resources{});
  CHECK(host.Start(Task(1, Attempt(2), 100), At(110)) == errc::kStaleTerm);
  CHECK(TermOf(Claim(host, "e2", 0, 120)) == 2);
  CHECK(host.Void(2, Attempt(1), At(130))->state == "failed");
}

// Guards against a leaving host that the claim does not tell of.
TEST_CASE("Claims tell that the host is leaving") {
  host_model host = Worker();
  host.SetLeaving(true, At(0));
  CHECK(std::get<claim_grant>(Claim(host, "e1", 0, 1)).leaving);
}

}  // namespace
}  // namespace sycamorehinge::testing
