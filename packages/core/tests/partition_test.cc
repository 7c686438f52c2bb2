#include "sycamorehinge/core/partition.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

namespace sycamorehinge {
namespace {

using std::chrono::seconds;

process_id Holder() { return {"holder"}; }

// One owner whose records become durable only when the test says so.
class owner_fixture {
 public:
  explicit owner_fixture(partition_options options = {}) : options_(options) {
    Handle(ownership_taken{1, 0});
  }

  std::vector<partition_action> Handle(const partition_event& event) {
    std::vector<partition_action> out;
    core.Handle(event, now, out);
    for (const partition_action& action : out) {
      if (const auto* emit = std::get_if<emit_record>(&action.effect)) {
        last = emit->sequence;
        records.push_back(emit->record);
      }
    }
    return out;
  }
  std::vector<partition_action> Durable() { return Handle(records_durable{last}); }
  std::vector<partition_action> Tick(duration by) {
    now += by;
    return Handle(partition_tick{});
  }
  attempt_id Want(const std::vector<partition_action>& actions) {
    for (const partition_action& action : actions) {
      if (const auto* want = std::get_if<want_room>(&action.effect)) return want->item.id;
    }
    return {};
  }
  // Submits a job of one task and starts its first attempt on `host`.
  attempt_id Start(const job_spec& spec, const host_id& host = {"a"}) {
    const attempt_id id = Want(Handle(submit_requested{++call, spec, 0}));
    Handle(room_reserved{id, Holder(), {{host, 5}}});
    Durable();
    return id;
  }
  std::vector<partition_action> Fact(const attempt_id& id, attempt_fact fact,
                                     std::uint64_t term = 5, const host_id& host = {}) {
    return Handle(attempt_reported{id, host, term, Holder(), fact});
  }
  std::vector<partition_action> Request(const std::string& key, std::uint64_t body = 1,
                                        time_point deadline = time_point::max()) {
    keyed_request request;
    request.tenant = {"t"};
    request.key = key;
    request.body_hash = body;
    request.deadline = deadline;
    return Handle(keyed_request_arrived{++call, request, 0});
  }
  // A reader of all records so far.
  partition Reader(std::size_t count) const {
    partition reader(0, {"b"}, options_);
    reader.Replay({1, {0, 0, {owner_changed{}}}});
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
    reader.Replay({2, {1, 1, {records.begin(), end}}});
    return reader;
  }

  partition_options options_;
  partition core{0, {"a"}, options_};
  time_point now{seconds(100)};
  std::uint64_t last = 0;
  call_number call = 0;
  std::vector<partition_record> records;
};

template <class Effect>
std::optional<Effect> Find(const std::vector<partition_action>& actions) {
  for (const partition_action& action : actions) {
    if (const auto* effect = std::get_if<Effect>(&action.effect)) return *effect;
  }
  return std::nullopt;
}

template <class Record>
bool HasRecord(const std::vector<partition_action>& actions) {
  return std::any_of(actions.begin(), actions.end(), [](const partition_action& action) {
    const auto* emit = std::get_if<emit_record>(&action.effect);
    return emit != nullptr && std::holds_alternative<Record>(emit->record);
  });
}

errc ErrorOf(const std::vector<partition_action>& actions) {
  const auto error = Find<reply_error>(actions);
  return !error ? errc::kOk : error->code;
}

job_spec Spec(std::string key = {}) {
  job_spec spec;
  spec.tenant = {"t"};
  spec.key = std::move(key);
  return spec;
}

// Guards against "accepted" and starts that a crash would take back.
TEST_CASE("Answers and starts wait for their record, the search for room does not") {
  owner_fixture owner;
  const auto submitted = owner.Handle(submit_requested{7, Spec(), 0});
  CHECK_FALSE(Find<reply_job>(submitted));
  const attempt_id id = owner.Want(submitted);
  const auto placed = owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  CHECK(HasRecord<attempt_assigned>(placed));
  CHECK_FALSE(Find<start_attempt>(placed));
  const auto durable = owner.Durable();
  REQUIRE(Find<reply_job>(durable));
  CHECK(Find<reply_job>(durable)->call == 7);
  CHECK(Find<start_attempt>(durable));
}

// Guards against a second job for a retried submission.
TEST_CASE("A job key names one job") {
  owner_fixture owner;
  const attempt_id id = owner.Start(Spec("k"));
  const auto again = owner.Handle(submit_requested{8, Spec("k"), 0});
  REQUIRE(Find<reply_job>(again));
  CHECK(Find<reply_job>(again)->job == id.task.job);
  CHECK_FALSE(Find<want_room>(again));
  job_spec other = Spec("k");
  other.payload = "x";
  CHECK(ErrorOf(owner.Handle(submit_requested{9, other, 0})) == errc::kKeyReused);
}

// Guards against work that is accepted into a log that is down, and against callers that wait.
TEST_CASE("While the log is down new work is refused and unconfirmed work is unknown") {
  owner_fixture owner;
  owner.Handle(submit_requested{1, Spec("pending"), 0});
  owner.Request("waiting");
  const auto down = owner.Handle(log_availability{false});
  CHECK(ErrorOf(down) == errc::kOutcomeUnknown);
  CHECK(Find<withdraw_room>(down));
  const auto refused = owner.Handle(submit_requested{3, Spec("new"), 0});
  CHECK(ErrorOf(refused) == errc::kLogUnavailable);
  CHECK(refused.size() == 1);
  CHECK(ErrorOf(owner.Request("new")) == errc::kLogUnavailable);
  CHECK(ErrorOf(owner.Handle(submit_requested{5, Spec("pending"), 0})) == errc::kOutcomeUnknown);
}

// Guards against a holder with a replaced claim ending an attempt that its successor keeps alive.
TEST_CASE("Loss counts only under the recorded term, and a keep waits for the adoption") {
  owner_fixture owner;
  const attempt_id id = owner.Start(Spec());
  CHECK(Find<keep_attempt>(owner.Fact(id, attempt_fact::kRunning)));
  const auto adopted = owner.Fact(id, attempt_fact::kRunning, 6);
  CHECK(HasRecord<attempt_adopted>(adopted));
  CHECK_FALSE(Find<keep_attempt>(adopted));
  const auto keep = Find<keep_attempt>(owner.Durable());
  REQUIRE(keep);
  CHECK(keep->term == 6);
  CHECK(owner.Fact(id, attempt_fact::kRunning, 5).empty());
  CHECK(owner.Handle(attempt_lost{id, 5}).empty());
  const auto lost = owner.Handle(attempt_lost{id, 6});
  REQUIRE(HasRecord<attempt_closed>(lost));
  CHECK(owner.Want(lost).number == 2);
  // The new attempt may not even be placed before the loss is durable.
  CHECK(lost.back().after_sequence == owner.last);
}

// Guards against a silent holder that still renews because the owner keeps talking to it.
TEST_CASE("A silent attempt is suspected, left alone, and closed after contact and lease end") {
  owner_fixture owner;
  const attempt_id id = owner.Start(Spec());
  owner.Fact(id, attempt_fact::kRunning);
  owner.Tick(seconds(20));
  CHECK(HasRecord<attempt_suspected>(owner.Tick(seconds(40))));
  for (int i = 0; i < 70; ++i) {
    const auto quiet = owner.Tick(seconds(1));
    CHECK_FALSE(Find<void_attempt>(quiet));
    CHECK_FALSE(HasRecord<attempt_closed>(quiet));
  }
  CHECK(HasRecord<attempt_closed>(owner.Tick(seconds(1))));
}

// Guards against a suspicion that survives the holder's return.
TEST_CASE("A report ends the suspicion") {
  owner_fixture owner;
  const attempt_id id = owner.Start(Spec());
  owner.Tick(seconds(60));
  CHECK(HasRecord<attempt_adopted>(owner.Fact(id, attempt_fact::kRunning)));
  owner.Durable();
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(HasRecord<attempt_closed>(owner.Tick(seconds(10))));
    owner.Fact(id, attempt_fact::kRunning);
  }
}

// Guards against a job that is retried for ever, and against one bad host failing it.
TEST_CASE("A job that fails on three hosts fails, and avoids them before") {
  owner_fixture owner;
  attempt_id id = owner.Start(Spec());
  for (const char* host : {"a", "b", "c"}) {
    if (id.number > 1) {
      const auto retry = owner.Tick(seconds(1));
      REQUIRE(Find<want_room>(retry));
      CHECK(Find<want_room>(retry)->item.avoid.size() == id.number - 1);
      owner.Handle(room_reserved{id, Holder(), {{{host}, 5}}});
      owner.Durable();
    }
    owner.Fact(id, attempt_fact::kFailed);
    ++id.number;
  }
  CHECK(owner.core.FindJob(id.task.job)->outcome == errc::kFailsEverywhere);
}

// Guards against repeating work that must run at most once.
TEST_CASE("Work that is not idempotent is not repeated after a loss") {
  owner_fixture owner;
  job_spec spec = Spec();
  spec.idempotent = false;
  const attempt_id id = owner.Start(spec);
  CHECK_FALSE(Find<want_room>(owner.Handle(attempt_lost{id, 5})));
  CHECK(owner.core.FindJob(id.task.job)->outcome == errc::kHostLost);
  const attempt_id never = owner.Start(spec, {"b"});
  owner.Fact(never, attempt_fact::kNever);
  CHECK(owner.Want(owner.Tick(seconds(1))).task == never.task);
}

// Guards against a cancel that leaves reservations, waiting items or running tasks behind.
TEST_CASE("Cancel withdraws, returns and stops") {
  owner_fixture owner;
  job_spec spec = Spec();
  spec.tasks = 3;
  const auto submitted = owner.Handle(submit_requested{1, spec, 0});
  attempt_id id = owner.Want(submitted);
  owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  owner.Durable();
  owner.Fact(id, attempt_fact::kRunning);
  attempt_id second = id;
  second.task.index = 1;
  owner.Handle(room_reserved{second, Holder(), {{{"b"}, 5}}});
  const auto cancelled = owner.Handle(cancel_requested{2, id.task.job});
  CHECK(Find<withdraw_room>(cancelled));
  REQUIRE(Find<return_room>(cancelled));
  CHECK(Find<return_room>(cancelled)->id == second);
  REQUIRE(Find<stop_attempt>(cancelled));
  CHECK(Find<stop_attempt>(cancelled)->id == id);
  const auto durable = owner.Durable();
  CHECK_FALSE(Find<start_attempt>(durable));
  CHECK(Find<reply_job>(durable));
  CHECK(Find<job_ended>(owner.Fact(id, attempt_fact::kFailed)));
}

// Guards against a key that runs again, or whose second caller gets another answer.
TEST_CASE("A key runs once and gives every caller the same answer") {
  owner_fixture owner;
  const attempt_id id = owner.Want(owner.Request("k"));
  CHECK(owner.Request("k").empty());
  CHECK(ErrorOf(owner.Request("k", 2)) == errc::kKeyReused);
  const auto intended = owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  CHECK_FALSE(Find<run_request>(intended));
  REQUIRE(Find<run_request>(owner.Durable()));
  const auto answered = owner.Handle(request_answered{id, attempt_fact::kSucceeded, "yes"});
  CHECK(std::count_if(answered.begin(), answered.end(), [](const partition_action& action) {
          return std::holds_alternative<reply_answer>(action.effect);
        }) == 2);
  const auto again = owner.Request("k");
  REQUIRE(Find<reply_answer>(again));
  CHECK(Find<reply_answer>(again)->answer == "yes");
}

// Guards against "not run" for a request whose run was sent, and a run after "not run".
TEST_CASE("A passed deadline is 'not run' only before the run is sent") {
  owner_fixture owner;
  const attempt_id id = owner.Want(owner.Request("k", 1, owner.now + seconds(1)));
  owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  CHECK(ErrorOf(owner.Tick(seconds(2))) == errc::kDeadlinePassed);
  CHECK_FALSE(Find<run_request>(owner.Durable()));

  const attempt_id sent = owner.Want(owner.Request("k", 1, owner.now + seconds(1)));
  CHECK(sent.number == 2);
  owner.Handle(room_reserved{sent, Holder(), {{{"a"}, 5}}});
  CHECK(Find<run_request>(owner.Durable()));
  CHECK(ErrorOf(owner.Tick(seconds(2))) == errc::kOutcomeUnknown);
}

// Guards against a second run while the target cannot tell whether the first one happened.
TEST_CASE("An unknown outcome is resolved at the target and never run again") {
  owner_fixture owner;
  const attempt_id id = owner.Want(owner.Request("k"));
  owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  owner.Durable();
  const auto lost = owner.Handle(request_answered{id, attempt_fact::kUnreachable, {}});
  CHECK(Find<void_attempt>(lost));
  CHECK(ErrorOf(owner.Handle(request_answered{id, attempt_fact::kUnreachable, {}})) ==
        errc::kOutcomeUnknown);
  const auto joined = owner.Request("k");
  CHECK_FALSE(Find<want_room>(joined));
  CHECK(Find<void_attempt>(joined));
  owner.Handle(request_answered{id, attempt_fact::kNever, {}});
  CHECK(owner.Want(owner.Tick(seconds(1))).number == 2);
}

// Guards against keys without bound, and against keys that are dropped while retries may come.
TEST_CASE("Keys are bounded and expire after their retention") {
  partition_options options;
  options.max_keys = 1;
  owner_fixture owner(options);
  const attempt_id id = owner.Want(owner.Request("k"));
  CHECK(ErrorOf(owner.Request("other")) == errc::kOverloaded);
  owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}}});
  owner.Durable();
  owner.Handle(request_answered{id, attempt_fact::kSucceeded, "yes"});
  owner.Tick(options.key_retention - seconds(1));
  CHECK(ErrorOf(owner.Request("other")) == errc::kOverloaded);
  owner.Tick(seconds(1));
  CHECK(ErrorOf(owner.Request("other")) == errc::kOk);
}

// Guards against a snapshot that an owner did not finish replacing the state.
TEST_CASE("An incomplete snapshot is ignored") {
  owner_fixture owner;
  owner.Start(Spec("one"));
  const std::size_t before = owner.records.size();
  owner.Tick(seconds(11));
  REQUIRE(std::holds_alternative<snapshot_ended>(owner.records.back()));
  partition reader = owner.Reader(owner.records.size() - 1);
  CHECK(reader.Digest() == owner.Reader(before).Digest());
  CHECK(owner.Reader(owner.records.size()).Digest() == owner.core.Digest());
  // A newer owner's records go on from the state before the unfinished snapshot.
  reader.Replay({9, {0, 0, {owner_changed{}}}});
  reader.Replay({10, {9, 1, {job_accepted{{0, 9, 1}, Spec("two"), 0}}}});
  CHECK(reader.Jobs().size() == 2);
  reader.Replay({11, {1, 99, {job_accepted{{0, 1, 99}, Spec("stale"), 0}}}});
  CHECK(reader.Jobs().size() == 2);
}

// Guards against a stream that looks abandoned while its owner is idle.
TEST_CASE("An idle owner shows that it is alive") {
  owner_fixture owner;
  owner.Durable();
  CHECK_FALSE(HasRecord<owner_alive>(owner.Tick(seconds(4))));
  CHECK(HasRecord<owner_alive>(owner.Tick(seconds(1))));
}

// Guards against one lost task leaving the rest of a gang running for nothing.
TEST_CASE("A gang stops and starts as a whole") {
  owner_fixture owner;
  job_spec spec = Spec();
  spec.kind = work_kind::kGang;
  spec.tasks = 2;
  attempt_id id = owner.Want(owner.Handle(submit_requested{1, spec, 0}));
  owner.Handle(room_reserved{id, Holder(), {{{"a"}, 5}, {{"b"}, 5}}});
  owner.Durable();
  owner.Fact(id, attempt_fact::kRunning);
  const auto lost = owner.Handle(attempt_lost{id, 5});
  CHECK_FALSE(Find<want_room>(lost));
  REQUIRE(Find<void_attempt>(lost));
  id.task.index = 1;
  CHECK(Find<void_attempt>(lost)->id == id);
  const auto want = Find<want_room>(owner.Fact(id, attempt_fact::kFailed));
  REQUIRE(want);
  CHECK(want->item.count == 2);
  CHECK(want->item.id.number == 2);
}

}  // namespace
}  // namespace sycamorehinge
