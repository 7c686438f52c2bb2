// Jobs: acceptance, wanted room, retries, ends and cancellation.
#include <algorithm>
#include <set>
#include <utility>

#include "partition_state.h"

namespace sycamorehinge {

namespace {

bool SameSpec(const job_spec& a, const job_spec& b) {
  return a.environment == b.environment && a.tenant == b.tenant && a.work_class == b.work_class &&
         a.key == b.key && a.kind == b.kind && a.tasks == b.tasks && a.size == b.size &&
         a.run_time == b.run_time && a.deadline == b.deadline && a.idempotent == b.idempotent &&
         a.preemptible == b.preemptible && a.payload == b.payload;
}

std::uint32_t NewestAttempt(const job_row& job) {
  std::uint32_t newest = 0;
  for (const task_status& task : job.status.tasks) newest = std::max(newest, task.attempts);
  return newest;
}

// The work item that the task waits with; a gang's item carries its first task.
attempt_id ItemId(const job_row& job, std::uint32_t index) {
  if (job.IsGang()) return {job.status.tasks.front().task, NewestAttempt(job) + 1};
  return {job.status.tasks[index].task, job.status.tasks[index].attempts + 1};
}

// Whether the outcome of the task's last attempt ends the job; kOk if the task may run again.
errc VerdictOf(const job_row& job, std::uint32_t index, std::uint32_t max_failed_hosts,
               std::uint32_t max_attempts) {
  const task_status& task = job.status.tasks[index];
  if (job.IsService() || task.open || task.attempts == 0) return errc::kOk;
  if (task.last == finish_kind::kSucceeded || task.last == finish_kind::kNeverRan) return errc::kOk;
  // Work that must run at most once is not repeated once it may have run.
  if (!job.status.spec.idempotent) {
    return task.last == finish_kind::kFailed ? errc::kFailed : errc::kHostLost;
  }
  if (task.last != finish_kind::kFailed) return errc::kOk;
  std::set<host_id> job_hosts;
  std::set<host_id> task_hosts;
  std::uint32_t failures = 0;
  for (const task_failure& failure : job.failures) {
    job_hosts.insert(failure.host);
    if (failure.id.task != task.task) continue;
    task_hosts.insert(failure.host);
    ++failures;
  }
  // A job with a finished task does run somewhere; then only one task's own failures count.
  const std::size_t hosts = job.status.done > 0 ? task_hosts.size() : job_hosts.size();
  if (hosts >= max_failed_hosts) return errc::kFailsEverywhere;
  return failures >= max_attempts ? errc::kFailed : errc::kOk;
}

errc MalformedSpec(const job_spec& spec, std::uint32_t max_tasks) {
  if (spec.tasks == 0 || spec.kind == work_kind::kRequest) return errc::kMalformed;
  return spec.tasks > max_tasks ? errc::kTooLarge : errc::kOk;
}

}  // namespace

void partition::state::On(const submit_requested& event) {
  if (!owner) return ReplyError(event.call, errc::kNotOwner);
  const job_spec& spec = event.spec;
  const errc malformed = MalformedSpec(spec, options.max_tasks);
  if (malformed != errc::kOk) return ReplyError(event.call, malformed);
  const job_id* known =
      spec.key.empty() ? nullptr : ledger.FindJobKey(JoinKey(spec.tenant, spec.key));
  if (known == nullptr) {
    if (!log_available) return ReplyError(event.call, errc::kLogUnavailable);
    return Accept(event);
  }
  if (!SameSpec(ledger.FindJob(*known)->status.spec, spec)) {
    return ReplyError(event.call, errc::kKeyReused, ToString(*known));
  }
  const auto pending = accepting.find(*known);
  if (pending != accepting.end() && !log_available) {
    return ReplyError(event.call, errc::kOutcomeUnknown, "the log did not confirm the record");
  }
  Defer(pending == accepting.end() ? 0 : pending->second, deferred_reply{event.call, *known});
}

void partition::state::Accept(const submit_requested& event) {
  wall_ms = event.wall_ms;
  wall_at = now;
  const job_id id{number, epoch, next_number++};
  const std::uint64_t sequence = Emit(job_accepted{id, event.spec, event.wall_ms});
  accepting.emplace(id, sequence);
  Defer(sequence, deferred_reply{event.call, id});
  const job_row& job = *ledger.FindJob(id);
  const std::uint32_t items = job.IsGang() ? 1 : job.status.spec.tasks;
  // The pools may search for room before the record is durable: only the start waits for it.
  for (std::uint32_t index = 0; index < items; ++index) WantItem(job, index, now, 0);
}

void partition::state::WantItem(const job_row& job, std::uint32_t index, time_point due,
                                std::uint64_t after) {
  const attempt_id id = ItemId(job, index);
  wanted.insert_or_assign(id, wanted_room{false, due, after});
  if (due <= now) {
    SendWant(id);
  } else {
    SetTimer(due, partition_timer_kind::kWantRoom, id);
  }
}

void partition::state::SendWant(const attempt_id& id) {
  const auto found = wanted.find(id);
  // While the log is down a placement could not be recorded, so the pools are not asked.
  if (found == wanted.end() || found->second.sent || !log_available) return;
  const job_row* job = ledger.FindJob(id.task.job);
  if (job == nullptr) return;
  found->second.sent = true;
  Do(found->second.after_sequence,
     want_room{MakeItem(*job, id.task.index), job->status.spec.environment, {}});
}

work_item partition::state::MakeItem(const job_row& job, std::uint32_t index) const {
  const job_spec& spec = job.status.spec;
  work_item item;
  item.id = ItemId(job, index);
  item.kind = spec.kind;
  item.tenant = spec.tenant;
  item.work_class = spec.work_class;
  item.size = spec.size;
  item.count = job.IsGang() ? spec.tasks : 1;
  item.run_time = spec.run_time;
  if (spec.deadline > duration::zero()) {
    const duration age = std::chrono::milliseconds(wall_ms - job.accepted_ms) + (now - wall_at);
    item.deadline = now + spec.deadline - std::max(age, duration::zero());
  }
  // Work that must run at most once is not stopped halfway to be run again.
  item.preemptible = spec.preemptible && (spec.idempotent || job.IsService());
  for (const task_failure& failure : job.failures) {
    if (job.IsGang() || failure.id.task.index == index) item.avoid.push_back(failure.host);
  }
  return item;
}

duration partition::state::RetryAfter(const job_row& job, std::uint32_t index) const {
  const task_status& task = job.status.tasks[index];
  switch (task.last) {
    // The host or the scheduler ended these; the task itself gives no reason to wait.
    case finish_kind::kLost:
    case finish_kind::kPreempted:
    case finish_kind::kCancelled:
      return duration::zero();
    case finish_kind::kSucceeded:
    case finish_kind::kFailed:
    case finish_kind::kNeverRan:
      break;
  }
  if (task.attempts == 0) return duration::zero();
  return Backoff(RetryRule(job.status.spec.environment), task.attempts - 1, job.LastAttempt(index));
}

void partition::state::AfterClose(job_row& job, std::uint32_t index, std::uint64_t after) {
  if (job.closing) {
    if (job.open_count > 0) return;
    Do(after, job_ended{job.status.job});
    return ExpireAfter(job.status.job, std::max(options.job_retention, options.key_retention));
  }
  if (job.IsGang()) return AdvanceGang(job, after);
  AdvanceTask(job, index, after);
}

void partition::state::AdvanceTask(job_row& job, std::uint32_t index, std::uint64_t after) {
  const task_status& task = job.status.tasks[index];
  if (task.open) return;
  if (job.IsDone(task)) {
    if (job.status.done == job.status.tasks.size()) FinishJob(job, errc::kOk);
    return;
  }
  const errc verdict = VerdictOf(job, index, options.max_failed_hosts,
                                 RetryRule(job.status.spec.environment).max_attempts);
  if (verdict != errc::kOk) return FinishJob(job, verdict);
  WantItem(job, index, now + RetryAfter(job, index), after);
}

void partition::state::AdvanceGang(job_row& job, std::uint64_t after) {
  const std::uint32_t round = NewestAttempt(job);
  duration delay{};
  bool broken = false;
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) {
    const task_status& task = job.status.tasks[index];
    if (task.open || (job.IsDone(task) && task.attempts == round)) continue;
    broken = true;
    const errc verdict = VerdictOf(job, index, options.max_failed_hosts,
                                   RetryRule(job.status.spec.environment).max_attempts);
    if (verdict != errc::kOk) return FinishJob(job, verdict);
    delay = std::max(delay, RetryAfter(job, index));
  }
  if (!broken) {
    if (job.open_count == 0) FinishJob(job, errc::kOk);
    return;
  }
  if (job.open_count == 0) return WantItem(job, 0, now + delay, after);
  // The tasks need each other: the others stop, and the gang starts again when all have ended.
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) {
    const attempt_id id = job.LastAttempt(index);
    const auto live = attempts.find(id);
    if (!job.status.tasks[index].open || live == attempts.end() || live->second.stopping) continue;
    StopAttempt(job, id, after);
  }
  if (job.open_count == 0) WantItem(job, 0, now + delay, last_sequence);
}

void partition::state::FinishJob(job_row& job, errc outcome) {
  const std::uint64_t sequence = Emit(job_finished{job.status.job, outcome});
  CloseDown(job, sequence);
}

void partition::state::CloseDown(job_row& job, std::uint64_t after) {
  const std::uint32_t items = job.IsGang() ? 1 : job.status.spec.tasks;
  for (std::uint32_t index = 0; index < items; ++index) {
    const auto want = wanted.find(ItemId(job, index));
    if (want == wanted.end()) continue;
    if (want->second.sent) Do(want->second.after_sequence, withdraw_room{want->first});
    wanted.erase(want);
  }
  if (job.open_count == 0) return AfterClose(job, 0, after);
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) {
    if (job.status.tasks[index].open) StopAttempt(job, job.LastAttempt(index), after);
  }
  if (job.open_count == 0) AfterClose(job, 0, last_sequence);
}

void partition::state::On(const cancel_requested& event) {
  if (!owner) return ReplyError(event.call, errc::kNotOwner);
  job_row* job = ledger.FindJob(event.job);
  if (job == nullptr) return ReplyError(event.call, errc::kUnknownJob, ToString(event.job));
  if (!log_available) return ReplyError(event.call, errc::kLogUnavailable);
  if (job->closing) return Defer(last_sequence, deferred_reply{event.call, event.job});
  const std::uint64_t sequence = Emit(job_cancelled{event.job});
  Defer(sequence, deferred_reply{event.call, event.job});
  CloseDown(*job, sequence);
}

// Continues a job that an earlier owner left.
void partition::state::ResumeJob(job_row& job) {
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) {
    if (!job.status.tasks[index].open) continue;
    const attempt_id id = job.LastAttempt(index);
    live_attempt& live = attempts[id];
    live.phase = attempt_phase::kUnknown;
    live.heard = now;
    live.stopping = job.closing;
    // The full wait starts again: this owner does not know when the suspicion began.
    ArmSilence(job, live, id);
    if (!job.open[index].suspected) AskHost(job, live, id, 0);
  }
  if (job.closing) {
    if (job.open_count == 0) AfterClose(job, 0, 0);
    return;
  }
  if (job.IsGang()) return AdvanceGang(job, 0);
  for (std::uint32_t index = 0; index < job.status.tasks.size() && !job.closing; ++index) {
    AdvanceTask(job, index, 0);
  }
}

void partition::state::OnJobRoomRefused(const room_refused& event) {
  const auto want = wanted.find(event.id);
  job_row* job = ledger.FindJob(event.id.task.job);
  if (want == wanted.end() || !want->second.sent || job == nullptr) return;
  const std::uint64_t after = want->second.after_sequence;
  wanted.erase(want);
  if (event.reason == errc::kFitsNowhere || event.reason == errc::kDeadlinePassed) {
    // "Not run" is true only of a job that never had an attempt.
    return FinishJob(*job, NewestAttempt(*job) == 0 ? event.reason : errc::kFailed);
  }
  // An accepted job waits for room however often a pool refuses it.
  const retry_rule rule = RetryRule(job->status.spec.environment);
  WantItem(*job, event.id.task.index, now + rule.max_backoff, after);
}

}  // namespace sycamorehinge
