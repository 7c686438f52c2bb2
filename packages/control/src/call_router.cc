#include "call_router.h"

#include <algorithm>
#include <utility>

#include "return_time.h"

namespace sycamorehinge::control {

namespace {

// Weight of an answer in the moving average of the time until one arrives.
constexpr int kAnswerTimeParts = 8;
// A call is not refused for lack of time while it has more time left than this.
constexpr duration kMaxShortTime = std::chrono::milliseconds(200);

bool IsRead(const cell_call& call) {
  return std::holds_alternative<job_state_call>(call) ||
         std::holds_alternative<pending_jobs_call>(call);
}

// The asked process does not own the cell, does not own it yet, or lost it during the call; or the
// attempt was replaced on its way.
bool ShouldAskAgain(errc code) {
  return code == errc::kNotOwner || code == errc::kNotReady || code == errc::kOutcomeUnknown ||
         code == errc::kVoided;
}

// An attempt that names no owner has no effect.
bool NamesOwner(const owner_info& target) { return target.epoch != 0; }

// The steady clock tells processes apart that start at the same time of a wall clock that was set
// back.
std::string MakeSenderName(const ports& port, std::string_view address) {
  return std::string(address) + "/" + std::to_string(port.wall_ms()) + "/" +
         std::to_string(port.now().time_since_epoch().count());
}

}  // namespace

call_router::call_router(const ports& port, call_router_options options,
                         call_router_handlers handlers)
    : port_(port),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      sender_(MakeSenderName(port, options_.address)) {}

void call_router::Update(const std::function<void(routing_state&, effects&)>& change) {
  state_.Apply(change, [](const effect& run) { run(); });
}

void call_router::Call(cell_call call, time_point deadline, peer_reply reply) {
  const time_point now = port_.now();
  deadline = std::min(deadline, now + options_.max_call_time);
  Update([&](routing_state& state, effects& out) {
    const std::uint64_t id = state.next_call++;
    open_call& open = state.calls[id];
    open.call = std::make_shared<const cell_call>(std::move(call));
    open.arrived = now;
    open.deadline = deadline;
    open.reply = std::move(reply);
    if (state.closed) return GiveUp(state, id, out);
    // An attempt would only make the outcome unknown.
    const duration needed = std::min(state.answer_time, kMaxShortTime);
    if (deadline - now < needed && !IsRead(*open.call)) {
      return Refuse(state, id, errc::kNotReady, out);
    }
    state.deadlines.emplace(deadline, id);
    ScheduleDeadline(state, out);
    SendAttempt(state, id, out);
  });
}

void call_router::SendAttempt(routing_state& state, std::uint64_t id, effects& out) {
  const bool ask_peer = std::exchange(state.calls.at(id).ask_peer, false) || state.owner_silent;
  const bool owner_known = !state.owner.address.empty();
  if (owner_known && (!ask_peer || state.peers.empty())) {
    return SendAttemptTo(state, id, state.owner, out);
  }
  if (state.peers.empty()) return RetryLater(state, id, out);
  // A peer names the owner that it knows, or itself, in its answer.
  SendAttemptTo(state, id, {0, state.peers[state.next_peer++ % state.peers.size()]}, out);
}

void call_router::SendAttemptTo(routing_state& state, std::uint64_t id, const owner_info& target,
                                effects& out) {
  open_call& open = state.calls.at(id);
  open.in_flight = true;
  open.sent_at = port_.now();
  open.target = target;
  open.newest_epoch = std::max(open.newest_epoch, target.epoch);
  const call_attempt attempt{
      target.epoch, sender_, id, ++open.attempts, state.calls.begin()->first, port_.wall_ms()};
  const auto done = [this, id](const result<peer_answer>& outcome) { OnAttemptDone(id, outcome); };
  if (target.address == options_.address) {
    out.push_back([this, attempt, call = open.call, done] {
      handlers_.call_local({attempt, *call},
                           [done](peer_answer answer) { done(std::move(answer)); });
    });
    return;
  }
  const duration timeout = std::min(kAttemptTimeout, open.deadline - port_.now());
  out.push_back([this, address = target.address, attempt, call = open.call, timeout, done] {
    port_.call_peer(address, routed_call{attempt, *call}, timeout, done);
  });
}

void call_router::OnAttemptDone(std::uint64_t id, const result<peer_answer>& outcome) {
  const time_point now = port_.now();
  Update([&](routing_state& state, effects& out) {
    const bool learned = outcome && UpdateOwner(state, outcome->owner, out);
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) return;
    open_call& open = found->second;
    open.in_flight = false;
    const bool asked_owner = open.target.address == state.owner.address;
    if (asked_owner && outcome) NoteOwnerAnswer(state, out);
    if (outcome && outcome->code == errc::kOk && !IsRead(*open.call)) {
      state.answer_time += (now - open.sent_at - state.answer_time) / kAnswerTimeParts;
    }
    // An owner that answers other messages is slow, not gone: some calls wait for the store.
    if (asked_owner && !outcome && state.owner_answered_at < open.sent_at) {
      SetOwnerSilent(state, true, out);
    }
    if (outcome && IsFinal(state, open, outcome->code)) {
      state.failing_since = time_point::max();
      ReportRefusal(open, outcome->code, out);
      return Finish(state, id, *outcome, out);
    }
    const bool lost =
        !outcome && outcome.detail() != kNoListenerDetail && outcome.detail() != kCallNotSentDetail;
    const bool unknown = outcome && outcome->code == errc::kOutcomeUnknown;
    if ((lost || unknown) && NamesOwner(open.target)) open.may_have_effect = true;
    state.failing_since = std::min(state.failing_since, now);
    // A claim that came to nothing is newer than the owner, which still answers.
    if (outcome && outcome->acting_epoch != 0) {
      return SendAttemptTo(state, id, {outcome->acting_epoch, open.target.address}, out);
    }
    if (learned) return SendAttempt(state, id, out);
    // Without the store nobody can become the owner, but a peer may know one.
    const duration limit =
        state.store_available ? options_.unsent_hold_limit : options_.storeless_hold_limit;
    if (!open.may_have_effect && !IsRead(*open.call) && now - open.arrived > limit) {
      return Refuse(state, id, errc::kNotReady, out);
    }
    // The supposed owner may have lost the cell, and without a connection to the store it knows no
    // newer owner, so a peer is asked before the owner is asked again.
    open.ask_peer = asked_owner;
    if (!asked_owner && !state.owner.address.empty() && !state.owner_silent) {
      return SendAttempt(state, id, out);
    }
    RetryLater(state, id, out);
  });
}

// An error of an owner older than the newest known one does not end a call: it does not know which
// calls the newer one has taken. The newest owner knows what earlier ones took, from the journal. A
// call may know a newer owner than the router, if the owner named no address.
bool call_router::IsFinal(const routing_state& state, const open_call& open, errc code) {
  if (ShouldAskAgain(code)) return false;
  return code == errc::kOk || open.target.epoch >= std::max(state.owner.epoch, open.newest_epoch);
}

void call_router::RetryLater(const routing_state& state, std::uint64_t id, effects& out) {
  out.push_back([this, id, attempts = state.calls.at(id).attempts] {
    port_.run_at(port_.now() + options_.retry_pause, [this, id, attempts] { Retry(id, attempts); });
  });
}

void call_router::Retry(std::uint64_t id, std::uint32_t attempts) {
  Update([&](routing_state& state, effects& out) {
    const auto found = state.calls.find(id);
    if (found == state.calls.end() || found->second.in_flight) return;
    if (found->second.attempts == attempts) SendAttempt(state, id, out);
  });
}

// Schedules a timer for the earliest deadline unless one is pending that fires no later. A timer
// for each call would outlive the call, and take memory in proportion to the rate of calls.
void call_router::ScheduleDeadline(routing_state& state, effects& out) {
  if (state.deadlines.empty() || state.deadlines.begin()->first >= state.next_deadline_timer)
    return;
  const time_point at = state.next_deadline_timer = state.deadlines.begin()->first;
  out.push_back([this, at] { port_.run_at(at, [this, at] { OnDeadline(at); }); });
}

void call_router::OnDeadline(time_point at) {
  const time_point now = port_.now();
  Update([&](routing_state& state, effects& out) {
    // A timer for an earlier deadline has taken over from this one.
    if (at != state.next_deadline_timer) return;
    state.next_deadline_timer = time_point::max();
    while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
      GiveUp(state, state.deadlines.begin()->second, out);
    }
    ScheduleDeadline(state, out);
  });
}

void call_router::Close() {
  Update([&](routing_state& state, effects& out) {
    state.closed = true;
    while (!state.calls.empty()) GiveUp(state, state.calls.begin()->first, out);
  });
}

// Ends a call without an answer of the owner; the error tells whether it may have had an effect.
void call_router::GiveUp(routing_state& state, std::uint64_t id, effects& out) {
  const open_call& open = state.calls.at(id);
  const bool sent = open.in_flight && NamesOwner(open.target);
  const bool unknown = (open.may_have_effect || sent) && !IsRead(*open.call);
  Refuse(state, id, unknown ? errc::kOutcomeUnknown : errc::kNotReady, out);
}

void call_router::Refuse(routing_state& state, std::uint64_t id, errc code, effects& out) {
  const open_call& open = state.calls.at(id);
  out.push_back([this, call = open.call, code, held = port_.now() - open.arrived,
                 owner = state.owner] { handlers_.on_unanswered(*call, code, held, owner); });
  Finish(state, id, ErrorAnswer(code, options_.retry_after), out);
}

void call_router::ReportRefusal(const open_call& open, errc code, effects& out) {
  const bool refused = code != errc::kOk && OutcomeOf(code) == work_outcome::kNotRun;
  if (!refused || !open.may_have_effect || IsRead(*open.call)) return;
  out.push_back([this, call = open.call, code, held = port_.now() - open.arrived,
                 target = open.target] { handlers_.on_refused(*call, code, held, target); });
}

void call_router::Finish(routing_state& state, std::uint64_t id, peer_answer answer, effects& out) {
  const auto found = state.calls.find(id);
  if (answer.code == errc::kLogUnavailable || answer.code == errc::kNotReady) {
    answer.retry_after = ReturnTime(answer.retry_after, found->second.deadline - port_.now(), id);
  }
  out.push_back(
      [reply = std::move(found->second.reply), answer = std::move(answer)] { reply(answer); });
  state.deadlines.erase({found->second.deadline, id});
  state.calls.erase(found);
}

bool call_router::UpdateOwner(routing_state& state, const owner_info& owner, effects& out) {
  if (owner.epoch <= state.owner.epoch || owner.address.empty()) return false;
  state.owner = owner;
  state.owner_silent = false;
  for (auto& [id, open] : state.calls) {
    open.ask_peer = false;
    if (open.in_flight) continue;
    out.push_back([this, id = id, attempts = open.attempts] { Retry(id, attempts); });
  }
  return true;
}

void call_router::SetOwnerSilent(routing_state& state, bool silent, effects& out) {
  if (std::exchange(state.owner_silent, silent) == silent) return;
  out.push_back([this, silent, owner = state.owner] { handlers_.on_owner_silence(silent, owner); });
}

void call_router::NoteOwnerAnswer(routing_state& state, effects& out) {
  state.owner_answered_at = port_.now();
  SetOwnerSilent(state, false, out);
}

void call_router::LearnOwner(const owner_info& owner) {
  Update([&](routing_state& state, effects& out) { UpdateOwner(state, owner, out); });
}

void call_router::SetStoreAvailable(bool available) {
  Update([&](routing_state& state, effects&) { state.store_available = available; });
}

void call_router::OnOwnerAnswer(std::string_view address) {
  Update([&](routing_state& state, effects& out) {
    if (state.owner.address == address) NoteOwnerAnswer(state, out);
  });
}

owner_info call_router::Owner() const {
  return state_.View([](const routing_state& state) { return state.owner; });
}

void call_router::SetPeers(std::vector<std::string> addresses) {
  Update([&](routing_state& state, effects&) { state.peers = std::move(addresses); });
}

std::size_t call_router::OpenCallCount() const {
  return state_.View([](const routing_state& state) { return state.calls.size(); });
}

bool call_router::Reachable() const {
  const time_point now = port_.now();
  return state_.View([&](const routing_state& state) {
    return state.failing_since == time_point::max() ||
           now - state.failing_since < options_.failure_limit;
  });
}

}  // namespace sycamorehinge::control
