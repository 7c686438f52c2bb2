// Runs: start and stop calls, unanswered calls, and end reports.
#include <algorithm>
#include <string>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// An unanswered start is sent again. Hosts ignore a repeated start of the same run.
constexpr std::uint32_t kMaxStartAttempts = 3;
constexpr duration kStartRetryDelay = std::chrono::milliseconds(100);
// Run numbers that are skipped at a time after a host refused one.
constexpr std::uint32_t kMaxSkippedRuns = 1U << 16U;
// The progress of a run is compared with that of others over at least this time.
constexpr duration kMinPaceTime = std::chrono::milliseconds(400);
// Time for which a host that refused a start is avoided.
constexpr duration kRefusedAvoidTime = std::chrono::milliseconds(1000);
constexpr duration kNoRoomAvoidTime = std::chrono::milliseconds(300);
// After consecutive failures of this many different jobs, the host is assumed to be at fault.
constexpr std::uint32_t kFailuresToAvoid = 2;

// Log text and metric label.
std::string_view ToString(end_kind kind) {
  switch (kind) {
    case end_kind::kDone:
      return "done";
    case end_kind::kFailed:
      return "failed";
    case end_kind::kStopped:
      return "stopped";
    case end_kind::kLeaseExpired:
      return "lapsed";
    case end_kind::kGangMemberEnded:
      return "broken";
    case end_kind::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

}  // namespace

std::string_view ToString(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kDone:
      return "done";
    case call_outcome::kFenced:
      return "fenced";
    case call_outcome::kStaleRun:
      return "old run";
    case call_outcome::kLeaseExpired:
      return "lease over";
    case call_outcome::kNoRoom:
      return "no room";
    case call_outcome::kInvalidTicket:
      return "ticket does not hold";
    case call_outcome::kRefused:
      return "host is unhealthy";
    case call_outcome::kConnectionRefused:
      return "connection refused";
    case call_outcome::kUnreachable:
      return "no connection";
    case call_outcome::kNoAnswer:
      return "no answer";
    case call_outcome::kRejected:
      return "call cannot be read";
  }
  return "unknown";
}

run_id scheduler::state::FindRun(host_slot slot, const task_ref& ref, std::uint32_t number) const {
  for (const run_id id : hosts[slot].runs) {
    const run_state& run = runs.at(id);
    if (run.number == number && run.task == ref) return id;
  }
  return kNoRun;
}

run_id scheduler::state::OpenRun(const task_ref& ref, const job_entry& job, host_slot slot,
                                 std::uint32_t number, run_phase phase) {
  const step_spec& spec = SpecOf(job, ref.step);
  const run_id id = next_run++;
  run_state& run = runs[id];
  run.task = ref;
  run.number = number;
  run.host = slot;
  run.size = ChargedResources(spec);
  run.tenant = job.tenant;
  run.quota_size = spec.size;
  run.long_running = spec.long_running;
  run.phase = phase;
  run.started = now;
  run.last_progress = now;
  tenants.Acquire(run.tenant, run.quota_size);
  hosts[slot].allocated += run.size;
  if (run.long_running) hosts[slot].allocated_to_services += run.size;
  hosts[slot].runs.push_back(id);
  return id;
}

// Frees the resources of an ended run and queues its task again unless it has succeeded.
void scheduler::state::CloseRun(run_id id, std::string_view cause) {
  const auto found = runs.find(id);
  if (found == runs.end()) return;
  const run_state run = std::move(found->second);
  runs.erase(found);
  host_state& host = hosts[run.host];
  host.allocated -= run.size;
  if (run.long_running) host.allocated_to_services -= run.size;
  tenants.Release(run.tenant, run.quota_size);
  std::erase(host.runs, id);
  pass_needed = true;
  std::erase(superfluous_runs, id);
  job_entry* job = FindJob(run.task.job);
  step_state* step = FindStep(run.task);
  if (!job || !step) return;
  task_state& task = step->tasks[run.task.index];
  if (task.active_run != id) return;
  task.active_run = kNoRun;
  --step->active_runs;
  if (task.done) return;
  WaitForSuperfluousRun(run.task, *step);
  if (!run.checkpoint.empty()) task.checkpoint = run.checkpoint;
  EnqueueReadySteps(run.task.job, *job, run.task.occurrence);
  if (SpecOf(*job, run.task.step).gang && step->active_runs > 0) AbortGang(run.task, cause);
}

// Lets a task whose active run has ended wait for another run of it that is being stopped.
void scheduler::state::WaitForSuperfluousRun(const task_ref& ref, step_state& step) {
  const auto found = std::find_if(superfluous_runs.begin(), superfluous_runs.end(),
                                  [&](run_id id) { return runs.at(id).task == ref; });
  if (found == superfluous_runs.end()) return;
  step.tasks[ref.index].active_run = *found;
  ++step.active_runs;
  superfluous_runs.erase(found);
}

void scheduler::state::SendStart(run_id id) {
  run_state& run = runs.at(id);
  host_state& host = hosts[run.host];
  const job_entry* job = FindJob(run.task.job);
  if (!job || !job->payload) return SendStop(id, "the job has ended");
  // A start renews the lease of its host.
  if (!MayGrantLeases()) return ScheduleRetry(id, now + kStartRetryDelay);
  ++run.start_attempts;
  ++open_starts;
  run.next_retry = time_point::max();
  start_task start;
  start.host = host.entry.id;
  start.address = host.entry.address;
  start.token = token;
  start.task = run.task;
  start.run = run.number;
  start.payload = job->payload;
  start.deadline_ms = ExtendLease(host);
  start.ticket = run.ticket;
  start.checkpoint = run.checkpoint;
  actions.emplace_back(std::move(start));
}

void scheduler::state::SendStop(run_id id, std::string_view cause) {
  run_state& run = runs.at(id);
  const host_state& host = hosts[run.host];
  if (run.phase != run_phase::kStopping) {
    LogDecision(decision_kind::kTaskStopped, run.task, run.number, host.entry.id.value, cause);
    run.phase = run_phase::kStopping;
    run.stop_answered = false;
  }
  ScheduleRetry(id, now + options.stop_timeout / 2);
  actions.emplace_back(stop_task{host.entry.id, host.entry.address, token, run.task, run.number});
}

void scheduler::state::OnStart(host_slot slot, const task_ref& ref, std::uint32_t number,
                               time_point sent, const start_report& answer) {
  // Steps may wait for this answer.
  if (open_starts-- == options.max_open_starts) pass_needed = true;
  const call_outcome outcome = answer.outcome;
  OnRenewalResult(hosts[slot], sent, outcome);
  if (outcome == call_outcome::kNoAnswer) KeepUnansweredStart(hosts[slot], {ref, number, sent});
  if (answer.clock_ms != 0 && hosts[slot].lease.IsBehind(rules, sent, answer.clock_ms)) {
    SuspectRestart(hosts[slot]);
  }
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  const run_id id = FindRun(slot, ref, number);
  if (id == kNoRun) return;
  run_state& run = runs.at(id);
  if (run.phase != run_phase::kStarting && run.phase != run_phase::kUncertain) return;
  if (outcome == call_outcome::kDone) {
    ConfirmRun(id);
    run.confirmed = hosts[slot].polled;
    return;
  }
  LogDecision(decision_kind::kStartFailed, ref, number, hosts[slot].entry.id.value,
              ToString(outcome));
  if (outcome == call_outcome::kNoAnswer) return StartUnanswered(id);
  StartRefused(id, sent, outcome);
}

void scheduler::state::KeepUnansweredStart(host_state& host, const unanswered_start& start) const {
  std::erase_if(host.unanswered_starts, [this](const unanswered_start& row) {
    return now >= row.sent + options.max_call_delay;
  });
  host.unanswered_starts.push_back(start);
}

// The host has the run, so its job counts as running.
void scheduler::state::ConfirmRun(run_id id) {
  run_state& run = runs.at(id);
  run.phase = run_phase::kRunning;
  run.confirmed = true;
  run.reports_valid_after = now;
  job_entry* job = FindJob(run.task.job);
  if (job && job->phase == job_phase::kQueued) SetPhase(*job, job_phase::kRunning);
  if (job && !job->Ended() && SpecOf(*job, run.task.step).gang) LogGangStarted(run.task);
}

void scheduler::state::StartUnanswered(run_id id) {
  run_state& run = runs.at(id);
  if (run.start_attempts >= kMaxStartAttempts) return MarkUncertain(id);
  run.phase = run_phase::kUncertain;
  ScheduleRetry(id, now + kStartRetryDelay);
}

// Later polls decide: either one shows the run, or a stop call prevents it from starting.
void scheduler::state::MarkUncertain(run_id id) {
  run_state& run = runs.at(id);
  if (run.phase == run_phase::kStopping) {
    run.stop_answered = false;
    return ScheduleRetry(id, now);
  }
  run.phase = run_phase::kUncertain;
  run.reports_valid_after = now;
  run.next_retry = time_point::max();
}

void scheduler::state::StartRefused(run_id id, time_point sent, call_outcome outcome) {
  const run_state& run = runs.at(id);
  host_state& host = hosts[run.host];
  const host_slot slot = run.host;
  if (outcome == call_outcome::kNoRoom) AvoidHost(host, kNoRoomAvoidTime, "no room");
  if (outcome == call_outcome::kRefused) AvoidHost(host, kRefusedAvoidTime, "refused a start");
  if (!MayHaveArrived(outcome)) OnPollFailure(slot, sent, outcome);
  if (outcome == call_outcome::kInvalidTicket) {
    step_state* step = FindStep(run.task);
    if (step && slot < step->verdicts.size()) step->verdicts[slot].valid_until = {};
  }
  // An earlier attempt may have taken effect, or a run may have ended unseen: stop the run, and let
  // later polls decide.
  if (outcome == call_outcome::kStaleRun) SkipRunNumbers(run.task);
  if (run.start_attempts > 1 || outcome == call_outcome::kStaleRun) {
    return SendStop(id, "the start may have taken effect");
  }
  const task_ref ref = run.task;
  CloseRun(id, "the start was refused");
  job_entry* job = FindJob(ref.job);
  if (outcome == call_outcome::kRejected && job && !job->Ended()) {
    FinishJob(ref.job, *job, job_phase::kFailed, "a host cannot parse the start call");
  }
}

// A host refused a run number, since an earlier owner used a higher one. Skips twice as many
// numbers each time, so that few starts are refused.
void scheduler::state::SkipRunNumbers(const task_ref& ref) {
  step_state* step = FindStep(ref);
  if (!step || ref.index >= step->tasks.size()) return;
  task_state& task = step->tasks[ref.index];
  task.starts += std::clamp(task.starts, kRunsPerTerm, kMaxSkippedRuns);
}

void scheduler::state::OnStop(host_slot slot, const task_ref& ref, std::uint32_t number,
                              call_outcome outcome) {
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  const run_id id = FindRun(slot, ref, number);
  // kOldRun means that the run has ended on the host and cannot start again.
  const bool answered = outcome == call_outcome::kDone || outcome == call_outcome::kStaleRun;
  if (id == kNoRun || !answered) return;
  run_state& run = runs.at(id);
  if (run.phase != run_phase::kStopping || run.stop_answered) return;
  run.stop_answered = true;
  run.reports_valid_after = now;
  run.next_retry = time_point::max();
}

// Handles a run that is missing from the answer to a poll sent at `poll_sent`.
void scheduler::state::ResolveUncertain(run_id id, time_point poll_sent) {
  const run_state& run = runs.at(id);
  if (poll_sent <= run.reports_valid_after) return;
  switch (run.phase) {
    case run_phase::kStarting:
      return;
    case run_phase::kUncertain:
      if (run.next_retry == time_point::max()) SendStop(id, "the start has no answer");
      return;
    case run_phase::kRunning:
      LogDecision(decision_kind::kTaskLost, run.task, run.number, hosts[run.host].entry.id.value,
                  "the host no longer reports the run");
      return CloseRun(id, "a member was lost");
    case run_phase::kStopping:
      if (run.stop_answered) CloseRun(id, "a member was stopped");
      return;
  }
}

void scheduler::state::ScheduleRetry(run_id id, time_point when) {
  runs.at(id).next_retry = when;
  retries.emplace(when, id);
}

void scheduler::state::TickRuns() {
  std::vector<run_id> due;
  while (!retries.empty() && retries.begin()->first <= now) {
    const auto [when, id] = *retries.begin();
    retries.erase(retries.begin());
    const auto found = runs.find(id);
    if (found != runs.end() && found->second.next_retry == when) due.push_back(id);
  }
  for (const run_id id : due) {
    if (!runs.contains(id)) continue;
    if (runs.at(id).phase == run_phase::kStopping) {
      SendStop(id, "the stop has no answer");
    } else {
      SendStart(id);
    }
  }
}

void scheduler::state::OnEnd(host_slot slot, const end_report& end) {
  const run_id id = FindRun(slot, end.task, end.run);
  const duration took = id == kNoRun ? duration() : now - runs.at(id).started;
  LogDecision(decision_kind::kTaskEnded, end.task, end.run, hosts[slot].entry.id.value,
              ToString(end.kind), took);
  job_entry* job = FindJob(end.task.job);
  step_state* step = FindStep(end.task);
  if (!job || !step || end.task.index >= step->tasks.size()) {
    CloseRun(id, ToString(end.kind));
    return;
  }
  OnEndOfTask(slot, end, *job, *step);
}

void scheduler::state::OnEndOfTask(host_slot slot, const end_report& end, job_entry& job,
                                   step_state& step) {
  const step_spec& spec = SpecOf(job, end.task.step);
  task_state& task = step.tasks[end.task.index];
  const run_id id = FindRun(slot, end.task, end.run);
  const bool done = end.kind == end_kind::kDone && !spec.long_running && !task.done;
  const bool failed = end.kind == end_kind::kFailed && !task.done && !task.HasFailed(end.run);
  if (!end.checkpoint.empty() && !task.done) task.checkpoint = end.checkpoint;
  if (id != kNoRun) runs.at(id).checkpoint.clear();
  bool attempts_exhausted = false;
  if (done || failed) MarkDirty(end.task.job, job);
  if (done && id != kNoRun) SamplePace(id, 100);
  if (done) MarkDone(end.task, spec, step);
  if (failed) {
    attempts_exhausted = RecordTaskFailure(slot, end, job, step);
    RecordHostFailure(slot, end.task.job);
  }
  if (end.kind == end_kind::kDone) hosts[slot].consecutive_failures = 0;
  CloseRun(id, ToString(end.kind));
  if (attempts_exhausted) {
    return FinishJob(end.task.job, job, job_phase::kFailed, "a task failed too often");
  }
  if (done) CompleteStepIfDone(end.task, job);
}

void scheduler::state::MarkDone(const task_ref& ref, const step_spec& spec, step_state& step) {
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    // The success of one member completes the whole gang.
    if (!spec.gang && i != ref.index) continue;
    task_state& task = step.tasks[i];
    if (task.done) continue;
    task.done = true;
    task.maybe_running = false;
    ++step.tasks_done;
  }
}

// False if the queue is not configured: no limit is known then, and no task of the job starts.
bool scheduler::state::AttemptsExhausted(job_entry& job, const task_state& task) const {
  const queue_settings* queue = QueueOf(job);
  return queue && !task.done && task.failed_runs.size() >= std::max(queue->max_attempts, 1U);
}

// Returns true if the job must fail. A failure of one member counts for every member of a gang.
bool scheduler::state::RecordTaskFailure(host_slot slot, const end_report& end, job_entry& job,
                                         step_state& step) {
  const step_spec& spec = SpecOf(job, end.task.step);
  if (spec.long_running) return false;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    task_state& task = step.tasks[i];
    if ((!spec.gang && i != end.task.index) || task.HasFailed(end.run)) continue;
    task.failed_runs.push_back(end.run);
  }
  task_state& task = step.tasks[end.task.index];
  task.failed_on.push_back(slot);
  return AttemptsExhausted(job, task);
}

void scheduler::state::RecordHostFailure(host_slot slot, job_number job) {
  host_state& host = hosts[slot];
  if (host.last_failed_job != job) ++host.consecutive_failures;
  host.last_failed_job = job;
  if (host.consecutive_failures >= kFailuresToAvoid) {
    AvoidHost(host, options.avoid_time, "tasks of several jobs failed in a row");
  }
}

// Compares the progress of the run since the last sample with that of the other tasks of its step.
// Members of a gang proceed together, whatever the speed of their hosts.
void scheduler::state::SamplePace(run_id id, std::uint32_t percent) {
  run_state& run = runs.at(id);
  job_entry* job = FindJob(run.task.job);
  step_state* step = FindStep(run.task);
  if (!job || job->spec.steps.empty() || !step) return;
  const step_spec& spec = SpecOf(*job, run.task.step);
  if (spec.gang || spec.long_running || spec.fills) return;
  if (run.sampled_at == time_point()) {
    // The progress of a resumed run includes that of earlier runs.
    const bool resumed = !run.checkpoint.empty();
    run.sampled_at = resumed ? now : run.started;
    run.sampled_percent = resumed ? percent : 0;
  }
  const duration time = now - run.sampled_at;
  if (percent < run.sampled_percent || (percent < 100 && time < kMinPaceTime)) return;
  const task_pace own{static_cast<double>(percent - run.sampled_percent), time};
  task_pace others = step->pace;
  others -= run.pace;
  hosts[run.host].speed.Add(own, others, now);
  run.pace += own;
  step->pace += own;
  run.sampled_at = now;
  run.sampled_percent = percent;
}

void scheduler::state::CheckStall(run_id id) {
  const run_state& run = runs.at(id);
  if (run.phase != run_phase::kRunning || run.percent >= 100) return;
  const job_entry* job = FindJob(run.task.job);
  if (!job || job->spec.steps.empty()) return;
  const step_spec& spec = SpecOf(*job, run.task.step);
  const duration limit = std::max(options.stall_timeout, spec.run_time / 10);
  if (spec.long_running || now - run.last_progress < limit) return;
  host_state& host = hosts[run.host];
  // A stalled gang makes no progress on any of its hosts. A host is not at fault if other runs on
  // it make progress.
  const bool moves = std::any_of(host.runs.begin(), host.runs.end(), [&](run_id other) {
    return now - runs.at(other).last_progress < limit && runs.at(other).percent > 0;
  });
  if (!moves) AvoidHost(host, 2 * options.avoid_time, "a task makes no progress");
  SendStop(id, "no progress");
  if (spec.gang) AbortGang(run.task, "a member makes no progress");
}

}  // namespace sycamorehinge::cell
