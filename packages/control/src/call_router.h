// Routes calls to the owner of the cell, in this process or another one, and retries until there is
// an answer or the deadline passes. Calls are idempotent: the owner recognises a job by its number.
#ifndef SYCAMOREHINGE_CONTROL_SRC_CALL_ROUTER_H_
#define SYCAMOREHINGE_CONTROL_SRC_CALL_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/core/shard.h"

namespace sycamorehinge::control {

using peer_reply = std::function<void(peer_answer)>;

// Timeout of one attempt, so that a dead connection does not use up the caller's deadline.
inline constexpr duration kAttemptTimeout = std::chrono::milliseconds(1200);

struct call_router_options {
  // Address of this process for calls between processes.
  std::string address;
  // Delay before the next attempt when no owner is known or the last attempt failed.
  duration retry_pause = std::chrono::milliseconds(60);
  // A call is given up after this long whatever its deadline, so that a submission whose job has
  // been cancelled meanwhile arrives while the owner knows of the cancelling
  // (early_cancel_retention).
  duration max_call_time = std::chrono::seconds(30);
  // A call that reached no owner is refused with kNotReady after this long.
  duration unsent_hold_limit = std::chrono::milliseconds(2000);
  // The same while the store does not answer this process: time to ask some peers for the owner.
  duration storeless_hold_limit = std::chrono::milliseconds(300);
  // Retry hint for refused callers.
  duration retry_after = std::chrono::milliseconds(1000);
  // After failures for this long without an answer, Reachable() is false.
  duration failure_limit = std::chrono::milliseconds(1500);
};

struct call_router_handlers {
  // Passes a call to the cell owner of this process.
  std::function<void(const routed_call&, peer_reply)> call_local;
  // A call ended without an answer: its error, which tells whether an owner may have acted on it,
  // the time it was held, and the last known owner.
  std::function<void(const cell_call&, errc, duration held, const owner_info&)> on_unanswered;
  // An owner refused a call, and an earlier attempt of the call got no answer.
  std::function<void(const cell_call&, errc, duration held, const owner_info&)> on_refused;
  // The owner does not answer (true), or answers again.
  std::function<void(bool silent, const owner_info&)> on_owner_silence;
};

class call_router {
 public:
  call_router(const ports& port, call_router_options options, call_router_handlers handlers);

  // Calls `reply` exactly once, at the latest at `deadline`.
  void Call(cell_call call, time_point deadline, peer_reply reply);
  // Sets the owner; an epoch older than the known one is ignored.
  void LearnOwner(const owner_info& owner);
  // Reports that the process at the address has answered a message other than a call.
  void OnOwnerAnswer(std::string_view address);
  // Reports whether the store answers this process.
  void SetStoreAvailable(bool available);
  // Newest owner that this process knows, whether it answers or not. The epoch is 0 if none is
  // known.
  owner_info Owner() const;
  // Processes to ask for a newer owner.
  void SetPeers(std::vector<std::string> addresses);
  std::size_t OpenCallCount() const;
  // Ends all open calls, and every later one at once, before the process exits.
  void Close();
  // False while calls have been failing for longer than `failure_limit`.
  bool Reachable() const;

 private:
  struct open_call {
    std::shared_ptr<const cell_call> call;
    time_point arrived;
    time_point deadline;
    peer_reply reply;
    std::uint32_t attempts = 0;
    // An earlier attempt may have reached an owner that acted on it.
    bool may_have_effect = false;
    bool in_flight = false;
    // Time of the last attempt.
    time_point sent_at;
    // The owner has not ended the last attempt, so a peer is asked next.
    bool ask_peer = false;
    // Target of the last attempt.
    owner_info target;
    // Newest owner that an attempt was meant for.
    std::uint64_t newest_epoch = 0;
  };
  struct routing_state {
    // Newest known owner. It stays known until there is a newer one, since no other message names
    // it again.
    owner_info owner;
    time_point owner_answered_at;
    // The owner has answered no message since the last unanswered call was sent. Calls ask the
    // peers for a newer one meanwhile, since an attempt that may reach the owner cannot be refused.
    bool owner_silent = false;
    bool store_available = true;
    // Average time until the owner has answered a submission or cancellation.
    duration answer_time{};
    std::vector<std::string> peers;
    std::size_t next_peer = 0;
    std::map<std::uint64_t, open_call> calls;
    // Deadlines of these calls, and the time at which the next timer for them fires; max() if none
    // is pending.
    std::set<std::pair<time_point, std::uint64_t>> deadlines;
    time_point next_deadline_timer = time_point::max();
    std::uint64_t next_call = 1;
    bool closed = false;
    // First failed attempt since the last answer; max() if none.
    time_point failing_since = time_point::max();
  };
  using effect = std::function<void()>;
  using effects = std::vector<effect>;

  void Update(const std::function<void(routing_state&, effects&)>& change);
  void SendAttempt(routing_state& state, std::uint64_t id, effects& out);
  void SendAttemptTo(routing_state& state, std::uint64_t id, const owner_info& target,
                     effects& out);
  static bool IsFinal(const routing_state& state, const open_call& open, errc code);
  void OnAttemptDone(std::uint64_t id, const result<peer_answer>& outcome);
  void RetryLater(const routing_state& state, std::uint64_t id, effects& out);
  // Sends the next attempt unless there have been others than `attempts` meanwhile.
  void Retry(std::uint64_t id, std::uint32_t attempts);
  void ScheduleDeadline(routing_state& state, effects& out);
  void OnDeadline(time_point at);
  void Finish(routing_state& state, std::uint64_t id, peer_answer answer, effects& out);
  void Refuse(routing_state& state, std::uint64_t id, errc code, effects& out);
  void GiveUp(routing_state& state, std::uint64_t id, effects& out);
  void ReportRefusal(const open_call& open, errc code, effects& out);
  // True if `owner` is newer than the known one; retries waiting calls then.
  bool UpdateOwner(routing_state& state, const owner_info& owner, effects& out);
  void NoteOwnerAnswer(routing_state& state, effects& out);
  void SetOwnerSilent(routing_state& state, bool silent, effects& out);

  const ports& port_;
  const call_router_options options_;
  const call_router_handlers handlers_;
  // Identifies this process in its attempts.
  const std::string sender_;
  shard<routing_state, effect> state_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_CALL_ROUTER_H_
