// Keyed requests, which run at most once.
#include <algorithm>
#include <utility>

#include "partition_state.h"

namespace sycamorehinge {

namespace {

// Time beyond the service's own timeout before a silent run is resolved at the target.
constexpr duration kRunMargin = std::chrono::seconds(5);
// Shortest and longest time between two questions to a target that does not tell the outcome.
constexpr duration kMinVoidDelay = std::chrono::seconds(1);
constexpr duration kMaxVoidDelay = std::chrono::seconds(60);

// The same key with the same body for another service is another request.
std::uint64_t RequestHash(const keyed_request& request) {
  return StableHash(request.environment.value,
                    StableHash(request.service.value, request.body_hash));
}

bool IsUnsent(request_phase phase) {
  return phase == request_phase::kWaiting || phase == request_phase::kIntending;
}

}  // namespace

live_request* partition::state::FindRequest(const attempt_id& id) {
  const auto found = requests.find(id.task.job);
  return found == requests.end() ? nullptr : &found->second;
}

errc partition::state::RefusalOf(const keyed_request_arrived& event) const {
  const keyed_request& request = event.request;
  if (!owner) return errc::kNotOwner;
  if (request.key.empty()) return errc::kMalformed;
  if (request.deadline <= now) return errc::kDeadlinePassed;
  const environment_document* document = Document(request.environment);
  if (document != nullptr && document->FindService(request.service.value) == nullptr) {
    return errc::kUnknownService;
  }
  return errc::kOk;
}

void partition::state::On(const keyed_request_arrived& event) {
  const errc refusal = RefusalOf(event);
  if (refusal != errc::kOk) return ReplyError(event.call, refusal);
  const std::string key = JoinKey(event.request.tenant, event.request.key);
  const std::uint64_t hash = RequestHash(event.request);
  const auto known = requests_by_key.find(key);
  key_row* row = ledger.FindKey(key);
  if (known != requests_by_key.end()) {
    live_request& live = requests.at(known->second);
    if (live.request.body_hash != hash) return ReplyError(event.call, errc::kKeyReused);
    return JoinRequest(live, event);
  }
  if (row == nullptr) return OpenRequest(event, nullptr);
  if (row->body_hash != hash) return ReplyError(event.call, errc::kKeyReused);
  if (row->state != key_state::kFinished) return OpenRequest(event, row);
  if (row->outcome != errc::kOk) return ReplyError(event.call, row->outcome, row->answer);
  Do(0, reply_answer{event.call, row->answer});
}

void partition::state::OpenRequest(const keyed_request_arrived& event, key_row* row) {
  if (!log_available) return ReplyError(event.call, errc::kLogUnavailable);
  if (row == nullptr && ledger.Keys().size() + unrecorded_keys >= options.max_keys) {
    return ReplyError(event.call, errc::kOverloaded, "too many idempotency keys are kept");
  }
  wall_ms = event.wall_ms;
  wall_at = now;
  const attempt_id id = row == nullptr ? attempt_id{{{number, epoch, next_number++}, 0}, 1}
                                       : attempt_id{row->id.task, row->id.number + 1};
  if (row == nullptr) ++unrecorded_keys;
  live_request& live = requests[id.task.job];
  live.request = event.request;
  live.request.body_hash = RequestHash(event.request);
  live.key = JoinKey(event.request.tenant, event.request.key);
  live.id = id;
  live.accepted_ms = event.wall_ms;
  requests_by_key.emplace(live.key, id.task.job);
  AddCall(live, event);
  WantRequestRoom(live);
}

void partition::state::JoinRequest(live_request& live, const keyed_request_arrived& event) {
  const std::uint64_t hash = live.request.body_hash;
  // A resumed request learns from its next caller what it is about.
  live.request = event.request;
  live.request.body_hash = hash;
  AddCall(live, event);
  if (live.phase == request_phase::kUnknown) VoidRequest(live);
}

void partition::state::AddCall(live_request& live, const keyed_request_arrived& event) {
  live.calls.push_back({event.call, event.request.deadline});
  SetTimer(event.request.deadline, partition_timer_kind::kDeadline, live.id);
}

void partition::state::WantRequestRoom(live_request& live) {
  const environment_document* document = Document(live.request.environment);
  const service_rule* service =
      document == nullptr ? nullptr : document->FindService(live.request.service.value);
  work_item item;
  item.id = live.id;
  item.kind = work_kind::kRequest;
  item.tenant = live.request.tenant;
  item.work_class = live.request.work_class;
  item.size.slots = service == nullptr ? 1 : service->slots;
  item.deadline = time_point::min();
  for (const waiting_call& call : live.calls)
    item.deadline = std::max(item.deadline, call.deadline);
  live.phase = request_phase::kWaiting;
  live.room_wanted = true;
  Do(0, want_room{std::move(item), live.request.environment, live.request.service});
}

void partition::state::OnRequestRoom(live_request& live, const room_reserved& event) {
  const bool wants =
      live.phase == request_phase::kWaiting && live.room_wanted && live.id == event.id;
  if (!wants) {
    const key_row* row = ledger.FindKey(live.key);
    const bool in_use = live.id == event.id && row != nullptr && row->id == event.id &&
                        !event.places.empty() && row->place.host == event.places.front().host &&
                        row->holder == event.holder;
    if (!in_use) ReturnPlaces(event);
    return;
  }
  live.room_wanted = false;
  if (event.places.empty()) return OnRequestRoomRefused(live, {event.id, errc::kNoRoom});
  const job_id request = live.id.task.job;
  ExpireCalls(live);
  if (!requests.contains(request)) return ReturnPlaces(event);
  if (ledger.FindKey(live.key) == nullptr) --unrecorded_keys;
  const placement& place = event.places.front();
  live.sequence = Emit(request_intended{live.key, live.id, place.host, place.term, event.holder,
                                        live.request.body_hash, live.accepted_ms});
  live.phase = request_phase::kIntending;
  if (options.unsafe_start_before_durable) return SendRun(live, 0);
  Defer(live.sequence, deferred_run{live.id});
}

void partition::state::OnRequestRoomRefused(live_request& live, const room_refused& event) {
  if (live.phase != request_phase::kWaiting || live.id != event.id) return;
  live.room_wanted = false;
  const job_id request = live.id.task.job;
  ExpireCalls(live);
  if (!requests.contains(request)) return;
  // The pool knew an earlier deadline than that of a caller who joined later.
  if (event.reason == errc::kDeadlinePassed) return WantRequestRoom(live);
  // Nothing was sent, so the callers get a refusal even if the pool's own error is less certain.
  const bool not_run = OutcomeOf(event.reason) == work_outcome::kNotRun;
  ReplyAll(live, not_run ? event.reason : errc::kNoRoom, {});
  DropRequest(request);
}

void partition::state::RunDeferredRequest(const attempt_id& id, std::uint64_t sequence) {
  live_request* live = FindRequest(id);
  if (live == nullptr || live->phase != request_phase::kIntending) return;
  if (live->id != id || live->sequence != sequence) return;
  ExpireCalls(*live);
  live = FindRequest(id);
  if (live != nullptr) SendRun(*live, sequence);
}

void partition::state::SendRun(live_request& live, std::uint64_t after) {
  const key_row& row = *ledger.FindKey(live.key);
  const environment_document* document = Document(live.request.environment);
  const service_rule* service =
      document == nullptr ? nullptr : document->FindService(live.request.service.value);
  live.phase = request_phase::kRunning;
  live.unknown_since = now;
  live.next_at = now + (service == nullptr ? service_rule{} : *service).timeout + kRunMargin;
  SetTimer(live.next_at, partition_timer_kind::kRequest, live.id);
  Do(after, run_request{live.calls.front().call, live.id, row.holder, row.place});
}

void partition::state::On(const request_answered& event) {
  if (owner) OnRequestFact(event.id, event.fact, event.answer);
}

void partition::state::OnRequestFact(const attempt_id& id, attempt_fact fact,
                                     std::optional<std::string> answer) {
  live_request* live = FindRequest(id);
  if (live == nullptr || live->id != id || IsUnsent(live->phase)) return;
  switch (fact) {
    case attempt_fact::kSucceeded:
      if (answer.has_value()) return EndRequest(id.task.job, errc::kOk, std::move(*answer));
      // A report has no answer; the target gives it when the attempt is voided.
      if (live->phase == request_phase::kUnknown) return;
      live->phase = request_phase::kUnknown;
      return VoidRequest(*live);
    case attempt_fact::kFailed:
      return EndRequest(id.task.job, errc::kFailed, std::move(answer).value_or(std::string()));
    case attempt_fact::kNever:
      return OnRequestNever(*live);
    case attempt_fact::kRunning:
      live->seen_running = true;
      return;
    case attempt_fact::kUnreachable:
      return OnRequestUnreachable(*live);
  }
}

void partition::state::OnRequestNever(live_request& live) {
  const job_id request = live.id.task.job;
  // A target that forgot a request it was running cannot tell whether it ran to its end.
  if (live.seen_running) return EndRequest(request, errc::kOutcomeUnknown, {});
  ++live.id.number;
  live.phase = request_phase::kWaiting;
  live.room_wanted = false;
  live.resolves = 0;
  ExpireCalls(live);
  if (!requests.contains(request)) return;
  const retry_rule rule = RetryRule(live.request.environment);
  ++live.refused;
  if (live.calls.empty() || !log_available || live.refused >= rule.max_attempts) {
    ReplyAll(live, log_available ? errc::kOverloaded : errc::kLogUnavailable, {});
    return DropRequest(request);
  }
  live.next_at = now + Backoff(rule, live.refused - 1, live.id);
  SetTimer(live.next_at, partition_timer_kind::kRequest, live.id);
}

void partition::state::OnRequestUnreachable(live_request& live) {
  if (live.phase == request_phase::kRunning) {
    live.phase = request_phase::kUnknown;
    return VoidRequest(live);
  }
  ReplyAll(live, errc::kOutcomeUnknown, {});
  if (now - live.unknown_since >= options.unknown_retention) {
    EndRequest(live.id.task.job, errc::kOutcomeUnknown, {});
  }
}

void partition::state::VoidRequest(live_request& live) {
  const key_row* row = ledger.FindKey(live.key);
  if (row == nullptr) return;
  Do(0, void_attempt{live.id, row->holder, row->place.host});
  const duration backoff = Backoff({.max_backoff = kMaxVoidDelay}, live.resolves, live.id);
  ++live.resolves;
  live.next_at = now + std::max(kMinVoidDelay, backoff);
  SetTimer(live.next_at, partition_timer_kind::kRequest, live.id);
}

void partition::state::OnRequestTimer(const partition_timer& timer) {
  live_request* live = FindRequest(timer.id);
  if (live == nullptr || live->id != timer.id || live->next_at != timer.at) return;
  switch (live->phase) {
    case request_phase::kWaiting:
      if (!live->room_wanted) WantRequestRoom(*live);
      return;
    case request_phase::kIntending:
      return;
    case request_phase::kRunning:
      live->phase = request_phase::kUnknown;
      return VoidRequest(*live);
    case request_phase::kUnknown:
      // The question before this one was not answered at all.
      OnRequestUnreachable(*live);
      if ((live = FindRequest(timer.id)) != nullptr) VoidRequest(*live);
      return;
  }
}

void partition::state::ExpireCalls(live_request& live) {
  const auto expired = [&](const waiting_call& call) { return call.deadline <= now; };
  const auto count = std::count_if(live.calls.begin(), live.calls.end(), expired);
  if (count == 0) return;
  const bool last = static_cast<std::size_t>(count) == live.calls.size();
  // "Not run" is true only if the run was not sent and no other caller of the key waits for it.
  const errc code = last && IsUnsent(live.phase) ? errc::kDeadlinePassed : errc::kOutcomeUnknown;
  for (const waiting_call& call : live.calls) {
    if (expired(call)) ReplyError(call.call, code);
  }
  std::erase_if(live.calls, expired);
  if (last && IsUnsent(live.phase)) DropRequest(live.id.task.job);
}

// The reply does not wait for request_finished: the intent is durable, so if the record is lost a
// later owner gets the same answer from the target by void_attempt, and never runs the key again.
void partition::state::EndRequest(const job_id& id, errc outcome, std::string answer) {
  live_request& live = requests.at(id);
  ReplyAll(live, outcome, answer);
  Emit(request_finished{live.key, outcome, std::move(answer)});
  requests_by_key.erase(live.key);
  requests.erase(id);
  ExpireAfter(id, options.key_retention);
}

void partition::state::DropRequest(const job_id& id) {
  live_request& live = requests.at(id);
  const key_row* row = ledger.FindKey(live.key);
  if (live.room_wanted) Do(0, withdraw_room{live.id});
  if (live.phase == request_phase::kIntending && row != nullptr) {
    Do(0, return_room{live.id, row->holder, row->place.host});
  }
  if (row == nullptr) {
    --unrecorded_keys;
  } else {
    if (row->state == key_state::kIntended) Emit(request_finished{live.key, errc::kVoided, {}});
    ExpireAfter(id, options.key_retention);
  }
  requests_by_key.erase(live.key);
  requests.erase(id);
}

void partition::state::ReplyAll(live_request& live, errc code, std::string_view answer) {
  for (const waiting_call& call : live.calls) {
    if (code == errc::kOk) {
      Do(0, reply_answer{call.call, std::string(answer)});
    } else {
      ReplyError(call.call, code, answer);
    }
  }
  live.calls.clear();
}

// Continues a key that an earlier owner left; its callers are gone.
void partition::state::ResumeRequest(const key_row& row) {
  const job_id& id = row.id.task.job;
  if (row.state != key_state::kIntended) return ExpireAfter(id, options.key_retention);
  live_request& live = requests[id];
  live.key = row.key;
  live.id = row.id;
  live.request.body_hash = row.body_hash;
  live.accepted_ms = row.accepted_ms;
  live.phase = request_phase::kUnknown;
  live.unknown_since = now;
  requests_by_key.emplace(live.key, id);
  VoidRequest(live);
}

}  // namespace sycamorehinge
