// Attempts on hosts: start, reports, unknown outcomes, silence and stop.
#include <algorithm>
#include <utility>

#include "partition_state.h"

namespace sycamorehinge {

namespace {

// Shortest wait for an answer of a host: a question and its answer cross regions twice (120 ms).
constexpr duration kMinResolveDelay = std::chrono::milliseconds(500);

// Checks of a running attempt within one contact_ttl of silence, so that lost reports alone do
// not make it suspected.
constexpr int kProbesPerContactTtl = 3;

}  // namespace

void partition::state::On(const room_reserved& event) {
  if (!owner) return;
  if (live_request* live = FindRequest(event.id)) return OnRequestRoom(*live, event);
  OnJobRoom(event);
}

void partition::state::On(const room_refused& event) {
  if (!owner) return;
  if (live_request* live = FindRequest(event.id)) return OnRequestRoomRefused(*live, event);
  OnJobRoomRefused(event);
}

void partition::state::ReturnPlaces(const room_reserved& event) {
  attempt_id id = event.id;
  for (const placement& place : event.places) {
    const job_row* job = ledger.FindOpen(id);
    // A repeated answer may name the room that the attempt already has.
    const bool in_use = job != nullptr && job->status.tasks[id.task.index].host == place.host &&
                        job->open[id.task.index].holder == event.holder;
    if (!in_use) Do(0, return_room{id, event.holder, place.host});
    ++id.task.index;
  }
}

void partition::state::OnJobRoom(const room_reserved& event) {
  const auto want = wanted.find(event.id);
  job_row* job = ledger.FindJob(event.id.task.job);
  if (want == wanted.end() || !want->second.sent || job == nullptr) return ReturnPlaces(event);
  const std::uint32_t count = job->IsGang() ? job->status.spec.tasks : 1;
  if (!log_available || event.places.size() != count) {
    ReturnPlaces(event);
    // Asked again when the log is back; the next tick asks if the answer was malformed.
    want->second.sent = false;
    want->second.due = now;
    return SetTimer(now, partition_timer_kind::kWantRoom, event.id);
  }
  wanted.erase(want);
  attempt_id id = event.id;
  for (const placement& place : event.places) {
    Emit(attempt_assigned{id, place.host, place.term, event.holder});
    ++id.task.index;
  }
  // All tasks of a gang wait for the last record, so none starts without the others.
  for (id = event.id; id.task.index < event.id.task.index + count; ++id.task.index) {
    live_attempt& live = attempts[id];
    live.phase = attempt_phase::kRecording;
    live.sequence = last_sequence;
    live.heard = now;
    if (options.unsafe_start_before_durable) {
      StartDeferred(id, 0);
    } else {
      Defer(last_sequence, deferred_start{id});
    }
  }
}

void partition::state::StartDeferred(const attempt_id& id, std::uint64_t sequence) {
  const job_row* job = ledger.FindOpen(id);
  const auto live = attempts.find(id);
  if (job == nullptr || live == attempts.end()) return;
  if (live->second.phase != attempt_phase::kRecording) return;
  const open_attempt& open = job->open[id.task.index];
  const placement place{job->status.tasks[id.task.index].host, open.term};
  Do(sequence, start_attempt{id, open.holder, place, job->status.spec});
  live->second.phase = attempt_phase::kStarting;
  live->second.heard = now;
  SetResolve(live->second, id, options.start_timeout);
  ArmSilence(*job, live->second, id);
}

void partition::state::KeepDeferred(const attempt_id& id, std::uint64_t sequence) {
  const job_row* job = ledger.FindOpen(id);
  const auto live = attempts.find(id);
  if (job == nullptr || live == attempts.end()) return;
  if (live->second.sequence != sequence || live->second.stopping) return;
  const open_attempt& open = job->open[id.task.index];
  Do(sequence, keep_attempt{id, open.holder, job->status.tasks[id.task.index].host, open.term});
}

void partition::state::On(const attempt_reported& event) {
  if (!owner) return;
  if (FindRequest(event.id) != nullptr) return OnRequestFact(event.id, event.fact, std::nullopt);
  if (ledger.FindKeyOf(event.id.task.job) != nullptr) return Acknowledge(event);
  job_row* job = ledger.FindOpen(event.id);
  const auto live = attempts.find(event.id);
  if (job == nullptr || live == attempts.end()) return Acknowledge(event);
  if (!event.host.empty() && event.host != job->status.tasks[event.id.task.index].host) {
    if (event.fact == attempt_fact::kRunning) StopOrphan(event);
    return;
  }
  // Nothing was sent yet, so nothing but a refusal can be true.
  const bool unsent = live->second.phase == attempt_phase::kRecording;
  switch (event.fact) {
    case attempt_fact::kNever:
      // A host that forgot an attempt it had running lost it.
      return CloseAttempt(*job, event.id,
                          live->second.phase == attempt_phase::kRunning ? finish_kind::kLost
                                                                        : finish_kind::kNeverRan);
    case attempt_fact::kSucceeded:
      if (!unsent) CloseAttempt(*job, event.id, finish_kind::kSucceeded);
      return;
    case attempt_fact::kFailed:
      if (unsent) return;
      // A stopped task ends without success, which says nothing about the task or the host.
      return CloseAttempt(*job, event.id,
                          live->second.stopping ? finish_kind::kCancelled : finish_kind::kFailed);
    case attempt_fact::kRunning:
      if (!unsent) OnRunning(*job, live->second, event);
      return;
    case attempt_fact::kUnreachable:
      if (!unsent) OnUnreachable(*job, live->second, event.id);
      return;
  }
}

void partition::state::OnRunning(job_row& job, live_attempt& live, const attempt_reported& event) {
  const open_attempt& open = job.open[event.id.task.index];
  // A holder whose claim was replaced may not have its lease renewals approved.
  if (event.term < open.term) return;
  const process_id holder = event.holder.empty() ? open.holder : event.holder;
  live.heard = now;
  live.phase = attempt_phase::kRunning;
  live.resolves = 0;
  live.resolve_at = time_point::max();
  if (event.term > open.term || holder != open.holder || open.suspected) {
    live.sequence = Emit(attempt_adopted{event.id, event.term, holder});
    ArmSilence(job, live, event.id);
  }
  if (live.stopping) return AskHost(job, live, event.id, live.sequence);
  Defer(live.sequence, deferred_keep{event.id});
}

void partition::state::OnUnreachable(const job_row& job, live_attempt& live, const attempt_id& id) {
  if (job.open[id.task.index].suspected) return;
  if (live.phase != attempt_phase::kStarting) return;
  live.phase = attempt_phase::kUnknown;
  // Later questions follow from the timer alone, so repeated answers do not put them off.
  AskHost(job, live, id, 0);
}

// The attempt is closed: a host that still runs it stops it, and one that reports its end need not
// repeat the report.
void partition::state::Acknowledge(const attempt_reported& event) {
  if (event.fact != attempt_fact::kUnreachable) StopOrphan(event);
}

void partition::state::StopOrphan(const attempt_reported& event) {
  // An attempt of an unknown job may be a newer owner's. The keepalive is durable only if this
  // process still is the owner, so a replaced owner stops nothing.
  const bool known = ledger.FindJob(event.id.task.job) != nullptr;
  const std::uint64_t after = known ? last_sequence : Emit(owner_alive{});
  Do(after, stop_attempt{event.id, event.holder, event.host, false});
}

void partition::state::On(const attempt_lost& event) {
  if (!owner) return;
  if (live_request* live = FindRequest(event.id)) {
    // The request may have run before the target was lost: only the target can tell.
    if (live->phase != request_phase::kRunning && live->phase != request_phase::kUnknown) return;
    live->phase = request_phase::kUnknown;
    return ReplyAll(*live, errc::kOutcomeUnknown, {});
  }
  job_row* job = ledger.FindOpen(event.id);
  const auto live = attempts.find(event.id);
  if (job == nullptr || live == attempts.end()) return;
  // Only the holder of the recorded term has waited out the leases that it renewed.
  if (job->open[event.id.task.index].term != event.term) return;
  CloseAttempt(*job, event.id,
               live->second.phase == attempt_phase::kRecording ? finish_kind::kNeverRan
                                                               : finish_kind::kLost);
}

void partition::state::On(const attempt_preempted& event) {
  if (!owner) return;
  job_row* job = ledger.FindOpen(event.id);
  const auto live = attempts.find(event.id);
  if (job == nullptr || live == attempts.end()) return;
  CloseAttempt(*job, event.id,
               live->second.phase == attempt_phase::kRecording ? finish_kind::kNeverRan
                                                               : finish_kind::kPreempted);
}

void partition::state::EmitClosed(const attempt_id& id, finish_kind outcome) {
  attempts.erase(id);
  Emit(attempt_closed{id, outcome});
}

void partition::state::CloseAttempt(job_row& job, const attempt_id& id, finish_kind outcome) {
  const std::uint32_t index = id.task.index;
  const attempt_id closed = id;
  EmitClosed(closed, outcome);
  AfterClose(job, index, last_sequence);
}

void partition::state::StopAttempt(job_row& job, const attempt_id& id, std::uint64_t after) {
  const auto live = attempts.find(id);
  if (live == attempts.end()) return;
  if (live->second.phase == attempt_phase::kRecording) {
    Do(0, return_room{id, job.open[id.task.index].holder, job.status.tasks[id.task.index].host});
    return EmitClosed(id, finish_kind::kNeverRan);
  }
  live->second.stopping = true;
  if (!job.open[id.task.index].suspected) AskHost(job, live->second, id, after);
}

void partition::state::AskHost(const job_row& job, live_attempt& live, const attempt_id& id,
                               std::uint64_t after) {
  const process_id& holder = job.open[id.task.index].holder;
  const host_id& host = job.status.tasks[id.task.index].host;
  if (live.stopping && live.phase == attempt_phase::kRunning) {
    Do(after, stop_attempt{id, holder, host, false});
  } else {
    Do(after, void_attempt{id, holder, host});
  }
  const duration backoff = Backoff(RetryRule(job.status.spec.environment), live.resolves, id);
  ++live.resolves;
  SetResolve(live, id, std::max(kMinResolveDelay, backoff));
}

void partition::state::SetResolve(live_attempt& live, const attempt_id& id, duration delay) {
  live.resolve_at = now + delay;
  SetTimer(live.resolve_at, partition_timer_kind::kResolve, id);
}

void partition::state::Resolve(const partition_timer& timer) {
  const job_row* job = ledger.FindOpen(timer.id);
  const auto live = attempts.find(timer.id);
  if (job == nullptr || live == attempts.end() || live->second.resolve_at != timer.at) return;
  if (job->open[timer.id.task.index].suspected) return;
  if (live->second.phase == attempt_phase::kStarting) live->second.phase = attempt_phase::kUnknown;
  AskHost(*job, live->second, timer.id, 0);
}

void partition::state::ArmSilence(const job_row& job, live_attempt& live, const attempt_id& id) {
  if (job.open[id.task.index].suspected) {
    // A holder stops renewing after contact_ttl without contact; then the lease runs out, with
    // 10% for the drift between the clocks.
    live.close_at = now + options.contact_ttl + options.task_lease + options.task_lease / 10;
    live.silence_at = live.close_at;
  } else {
    live.close_at = time_point::max();
    live.silence_at = now + options.contact_ttl / kProbesPerContactTtl;
  }
  SetTimer(live.silence_at, partition_timer_kind::kSilence, id);
}

void partition::state::CheckSilence(const partition_timer& timer) {
  job_row* job = ledger.FindOpen(timer.id);
  const auto found = attempts.find(timer.id);
  if (job == nullptr || found == attempts.end() || found->second.silence_at != timer.at) return;
  live_attempt& live = found->second;
  if (now >= live.close_at) return CloseAttempt(*job, timer.id, finish_kind::kLost);
  const duration silent = now - live.heard;
  if (silent >= options.contact_ttl) {
    // From here on nothing is sent about the attempt: contact would let the holder renew it.
    Emit(attempt_suspected{timer.id});
    return ArmSilence(*job, live, timer.id);
  }
  const duration step = options.contact_ttl / kProbesPerContactTtl;
  if (silent >= step && live.phase == attempt_phase::kRunning && !live.stopping) {
    Do(0, void_attempt{timer.id, job->open[timer.id.task.index].holder,
                       job->status.tasks[timer.id.task.index].host});
  }
  live.silence_at = std::min(now + step, live.heard + options.contact_ttl);
  SetTimer(live.silence_at, partition_timer_kind::kSilence, timer.id);
}

}  // namespace sycamorehinge
