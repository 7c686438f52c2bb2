#include "front.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge::control {

namespace {

// Detail of kConnectionFailed if the call was certainly not sent.
constexpr std::string_view kNotSent = "refused";

bool IsRead(const peer_call& call) {
  return std::holds_alternative<state_call>(call) || std::holds_alternative<pending_call>(call);
}

// The process that was asked does not own the cell, not yet, or not any more.
bool IsElsewhere(errc code) {
  return code == errc::kNotOwner || code == errc::kNotReady || code == errc::kOutcomeUnknown;
}

}  // namespace

front::front(const ports& port, front_options options, local_call local, unanswered_call unanswered)
    : port_(port),
      options_(std::move(options)),
      local_(std::move(local)),
      unanswered_(std::move(unanswered)) {}

void front::Change(const std::function<void(table&, effects&)>& change) {
  state_.Apply(change, [](const effect& run) { run(); });
}

void front::Call(peer_call call, time_point deadline, peer_reply reply) {
  const time_point now = port_.now();
  Change([&](table& state, effects& out) {
    const std::uint64_t id = state.next_call++;
    open_call& open = state.calls[id];
    open.call = std::make_shared<const peer_call>(std::move(call));
    open.arrived = now;
    open.deadline = deadline;
    open.reply = std::move(reply);
    out.push_back([this, id, deadline] { port_.at(deadline, [this, id] { GiveUp(id); }); });
    Try(state, id, out);
  });
}

void front::Try(table& state, std::uint64_t id, effects& out) {
  open_call& open = state.calls.at(id);
  const bool local = state.owner.address == options_.address;
  std::string address = state.owner.address;
  if (address.empty() && !state.peers.empty()) {
    // Any peer may know the owner and names it in its answer.
    address = state.peers[state.next_peer++ % state.peers.size()];
  }
  if (address.empty()) return RetryLater(id, out);
  open.trying = true;
  open.tried = address;
  const auto done = [this, id](const result<peer_answer>& outcome) { OnTried(id, outcome); };
  if (local) {
    out.push_back([this, call = open.call, done] {
      local_(*call, [done](peer_answer answer) { done(std::move(answer)); });
    });
    return;
  }
  const duration timeout = std::min(options_.try_timeout, open.deadline - port_.now());
  out.push_back([this, address, call = open.call, timeout, done] {
    port_.call_peer(address, *call, timeout, done);
  });
}

void front::OnTried(std::uint64_t id, const result<peer_answer>& outcome) {
  const time_point now = port_.now();
  Change([&](table& state, effects& out) {
    const auto found = state.calls.find(id);
    bool learned = false;
    if (outcome) learned = LearnInto(state, outcome->owner, out);
    if (found == state.calls.end()) return;
    open_call& open = found->second;
    open.trying = false;
    if (outcome && !IsElsewhere(outcome->code)) {
      state.failing_since = time_point::max();
      return Finish(state, id, *outcome, out);
    }
    const bool lost = !outcome && outcome.detail() != kNotSent;
    if (lost || (outcome && outcome->code == errc::kOutcomeUnknown)) open.sent = true;
    state.failing_since = std::min(state.failing_since, now);
    if (learned) return Try(state, id, out);
    // What was taken for the owner may be gone or have lost the cell, and know no newer one if the
    // store turns it away: let others tell.
    if (open.tried == state.owner.address) state.owner.address.clear();
    if (!open.sent && !IsRead(*open.call) && now - open.arrived > options_.hold) {
      return Refuse(state, id, errc::kNotReady, out);
    }
    RetryLater(id, out);
  });
}

void front::RetryLater(std::uint64_t id, effects& out) {
  out.push_back(
      [this, id] { port_.at(port_.now() + options_.retry_pause, [this, id] { Retry(id); }); });
}

void front::Retry(std::uint64_t id) {
  Change([&](table& state, effects& out) {
    const auto found = state.calls.find(id);
    if (found != state.calls.end() && !found->second.trying) Try(state, id, out);
  });
}

void front::GiveUp(std::uint64_t id) {
  Change([&](table& state, effects& out) {
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) return;
    const open_call& open = found->second;
    const bool unknown = (open.sent || open.trying) && !IsRead(*open.call);
    Refuse(state, id, unknown ? errc::kOutcomeUnknown : errc::kNotReady, out);
  });
}

void front::Refuse(table& state, std::uint64_t id, errc code, effects& out) {
  const open_call& open = state.calls.at(id);
  out.push_back([this, call = open.call, code, held = port_.now() - open.arrived,
                 owner = state.owner] { unanswered_(*call, code, held, owner); });
  Finish(state, id, Refusal(code, options_.retry_after), out);
}

void front::Finish(table& state, std::uint64_t id, peer_answer answer, effects& out) {
  const auto found = state.calls.find(id);
  out.push_back(
      [reply = std::move(found->second.reply), answer = std::move(answer)] { reply(answer); });
  state.calls.erase(found);
}

bool front::LearnInto(table& state, const owner_info& owner, effects& out) {
  const bool newer = owner.epoch > state.owner.epoch ||
                     (owner.epoch == state.owner.epoch && state.owner.address.empty());
  if (!newer || owner.address.empty()) return false;
  state.owner = owner;
  for (const auto& [id, open] : state.calls) {
    if (!open.trying) out.push_back([this, id = id] { Retry(id); });
  }
  return true;
}

void front::LearnOwner(const owner_info& owner) {
  Change([&](table& state, effects& out) { LearnInto(state, owner, out); });
}

void front::ForgetOwner(std::string_view address) {
  Change([&](table& state, effects&) {
    if (state.owner.address == address) state.owner.address.clear();
  });
}

owner_info front::Owner() const {
  return state_.View([](const table& state) { return state.owner; });
}

void front::SetPeers(std::vector<std::string> addresses) {
  Change([&](table& state, effects&) { state.peers = std::move(addresses); });
}

std::size_t front::Open() const {
  return state_.View([](const table& state) { return state.calls.size(); });
}

bool front::Reachable() const {
  const time_point now = port_.now();
  return state_.View([&](const table& state) {
    return state.failing_since == time_point::max() ||
           now - state.failing_since < options_.silence_limit;
  });
}

}  // namespace sycamorehinge::control
