// Runs: starts and stops with or without an answer, and ends.
#include <algorithm>
#include <string>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// An unanswered start is sent again, which is harmless: the host knows the run.
constexpr std::uint32_t kStartTries = 3;
constexpr duration kStartRetry = std::chrono::milliseconds(100);
// Pause after a host refused a start.
constexpr duration kRefusedPause = std::chrono::milliseconds(1000);
constexpr duration kNoRoomPause = std::chrono::milliseconds(300);
// Failures of different jobs in a row that no longer look like the jobs' own fault.
constexpr std::uint32_t kFailuresToAvoid = 2;

std::string_view ToString(end_kind how) {
  switch (how) {
    case end_kind::kDone:
      return "done";
    case end_kind::kFailed:
      return "failed";
    case end_kind::kStopped:
      return "stopped";
    case end_kind::kLapsed:
      return "lapsed";
    case end_kind::kBroken:
      return "broken";
    case end_kind::kAlone:
      return "alone";
  }
  return "unknown";
}

std::string_view ToString(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kDone:
      return "done";
    case call_outcome::kFenced:
      return "fenced";
    case call_outcome::kOldRun:
      return "old run";
    case call_outcome::kLate:
      return "lease over";
    case call_outcome::kNoRoom:
      return "no room";
    case call_outcome::kTicket:
      return "ticket does not hold";
    case call_outcome::kRefused:
      return "host is unhealthy";
    case call_outcome::kUnreachable:
      return "nobody listens";
    case call_outcome::kUnknown:
      return "no answer";
    case call_outcome::kRejected:
      return "call cannot be read";
  }
  return "unknown";
}

}  // namespace

run_number scheduler::state::FindRun(host_slot slot, const task_ref& ref,
                                     std::uint32_t number) const {
  for (const run_number id : hosts[slot].runs) {
    const run_state& run = runs.at(id);
    if (run.number == number && run.task == ref) return id;
  }
  return kNoRun;
}

run_number scheduler::state::OpenRun(const task_ref& ref, host_slot slot, const resources& size,
                                     std::uint32_t number, run_phase phase) {
  const run_number id = next_run++;
  run_state& run = runs[id];
  run.task = ref;
  run.number = number;
  run.host = slot;
  run.size = size;
  run.phase = phase;
  run.started = now;
  run.progressed = now;
  hosts[slot].taken += size;
  hosts[slot].runs.push_back(id);
  return id;
}

// Frees the room of a run that is over, and lets its task wait again if it has not succeeded.
void scheduler::state::CloseRun(run_number id, std::string_view cause) {
  const auto found = runs.find(id);
  if (found == runs.end()) return;
  const run_state run = std::move(found->second);
  runs.erase(found);
  host_state& host = hosts[run.host];
  host.taken -= run.size;
  std::erase(host.runs, id);
  pass_needed = true;
  job_entry* job = FindJob(run.task.job);
  step_state* step = FindStep(run.task);
  if (!job || !step) return;
  task_state& task = step->tasks[run.task.index];
  if (task.open != id) return;
  task.open = kNoRun;
  --step->open;
  if (task.done) return;
  if (!run.saved.empty()) task.saved = run.saved;
  EnqueueReadySteps(run.task.job, *job, run.task.occurrence);
  if (SpecOf(*job, run.task.step).gang && step->open > 0) AbortGang(run.task, cause);
}

void scheduler::state::SendStart(run_number id) {
  run_state& run = runs.at(id);
  host_state& host = hosts[run.host];
  const job_entry* job = FindJob(run.task.job);
  if (!job || !job->payload) return SendStop(id, "the job has ended");
  ++run.tries;
  run.next_try = time_point::max();
  start_task start;
  start.host = host.entry.id;
  start.address = host.entry.address;
  start.token = token;
  start.task = run.task;
  start.run = run.number;
  start.payload = job->payload;
  start.deadline_ms = Deadline(host);
  start.ticket = run.ticket;
  start.checkpoint = run.saved;
  actions.emplace_back(std::move(start));
}

void scheduler::state::SendStop(run_number id, std::string_view cause) {
  run_state& run = runs.at(id);
  const host_state& host = hosts[run.host];
  if (run.phase != run_phase::kStopping) {
    Note(decision_kind::kTaskStopped, run.task, run.number, host.entry.id.value, cause);
    run.phase = run_phase::kStopping;
    run.stop_answered = false;
  }
  run.next_try = now + options.stop_timeout / 2;
  actions.emplace_back(stop_task{host.entry.id, host.entry.address, token, run.task, run.number});
}

void scheduler::state::OnStart(host_slot slot, const task_ref& ref, std::uint32_t number,
                               call_outcome outcome) {
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  const run_number id = FindRun(slot, ref, number);
  if (id == kNoRun) return;
  run_state& run = runs.at(id);
  if (run.phase != run_phase::kStarting && run.phase != run_phase::kUncertain) return;
  if (outcome == call_outcome::kDone) return Settle(id);
  Note(decision_kind::kStartFailed, ref, number, hosts[slot].entry.id.value, ToString(outcome));
  if (outcome == call_outcome::kUnknown) return StartUnanswered(id);
  StartRefused(id, outcome);
}

// The host has the run: its job has begun.
void scheduler::state::Settle(run_number id) {
  run_state& run = runs.at(id);
  run.phase = run_phase::kRunning;
  run.confirmed = true;
  run.settled = now;
  job_entry* job = FindJob(run.task.job);
  if (job && job->phase == job_phase::kQueued) job->phase = job_phase::kRunning;
}

void scheduler::state::StartUnanswered(run_number id) {
  run_state& run = runs.at(id);
  if (run.tries >= kStartTries) return Doubt(id);
  run.phase = run_phase::kUncertain;
  run.next_try = now + kStartRetry;
}

// From now on looks decide: either the run is there, or a stop makes it impossible.
void scheduler::state::Doubt(run_number id) {
  run_state& run = runs.at(id);
  if (run.phase == run_phase::kStopping) {
    run.stop_answered = false;
    run.next_try = now;
    return;
  }
  run.phase = run_phase::kUncertain;
  run.settled = now;
  run.next_try = time_point::max();
}

void scheduler::state::StartRefused(run_number id, call_outcome outcome) {
  const run_state& run = runs.at(id);
  host_state& host = hosts[run.host];
  const host_slot slot = run.host;
  if (outcome == call_outcome::kNoRoom) Avoid(host, kNoRoomPause, "no room");
  if (outcome == call_outcome::kRefused) Avoid(host, kRefusedPause, "refused a start");
  if (outcome == call_outcome::kUnreachable) LookFailed(slot, outcome);
  if (outcome == call_outcome::kTicket) {
    step_state* step = FindStep(run.task);
    if (step && slot < step->verdicts.size()) step->verdicts[slot].valid_until = {};
  }
  // An earlier try without an answer, or an end that is not known here, leaves its trace to looks.
  if (run.tries > 1 || outcome == call_outcome::kOldRun) {
    return SendStop(id, "the start is in doubt");
  }
  const task_ref ref = run.task;
  CloseRun(id, "the start was refused");
  job_entry* job = FindJob(ref.job);
  if (outcome == call_outcome::kRejected && job && !job->Ended()) {
    FinishJob(ref.job, *job, job_phase::kFailed, "a host cannot read its start");
  }
}

void scheduler::state::OnStop(host_slot slot, const task_ref& ref, std::uint32_t number,
                              call_outcome outcome) {
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  const run_number id = FindRun(slot, ref, number);
  // A host that knows the run as an old one has stopped it for good.
  const bool answered = outcome == call_outcome::kDone || outcome == call_outcome::kOldRun;
  if (id == kNoRun || !answered) return;
  run_state& run = runs.at(id);
  if (run.phase != run_phase::kStopping || run.stop_answered) return;
  run.stop_answered = true;
  run.settled = now;
  run.next_try = time_point::max();
}

// A look that was sent at `look_sent` does not show the run.
void scheduler::state::ResolveUncertain(run_number id, time_point look_sent) {
  const run_state& run = runs.at(id);
  if (look_sent <= run.settled) return;
  switch (run.phase) {
    case run_phase::kStarting:
      return;
    case run_phase::kUncertain:
      if (run.next_try == time_point::max()) SendStop(id, "the start has no answer");
      return;
    case run_phase::kRunning:
      Note(decision_kind::kTaskLost, run.task, run.number, hosts[run.host].entry.id.value,
           "the host does not report it any more");
      return CloseRun(id, "a member was lost");
    case run_phase::kStopping:
      if (run.stop_answered) CloseRun(id, "a member was stopped");
      return;
  }
}

void scheduler::state::TickRuns() {
  std::vector<run_number> due;
  for (const auto& [id, run] : runs) {
    if (run.next_try <= now) due.push_back(id);
  }
  for (const run_number id : due) {
    if (!runs.contains(id)) continue;
    if (runs.at(id).phase == run_phase::kStopping) {
      SendStop(id, "the stop has no answer");
    } else {
      SendStart(id);
    }
  }
}

void scheduler::state::OnEnd(host_slot slot, const end_report& end) {
  const run_number id = FindRun(slot, end.task, end.run);
  const duration took = id == kNoRun ? duration() : now - runs.at(id).started;
  Note(decision_kind::kTaskEnded, end.task, end.run, hosts[slot].entry.id.value, ToString(end.how),
       took);
  job_entry* job = FindJob(end.task.job);
  step_state* step = FindStep(end.task);
  if (!job || !step || end.task.index >= step->tasks.size()) {
    CloseRun(id, ToString(end.how));
    return;
  }
  OnEndOfTask(slot, end, *job, *step);
}

void scheduler::state::OnEndOfTask(host_slot slot, const end_report& end, job_entry& job,
                                   step_state& step) {
  const step_spec& spec = SpecOf(job, end.task.step);
  task_state& task = step.tasks[end.task.index];
  const run_number id = FindRun(slot, end.task, end.run);
  const bool done = end.how == end_kind::kDone && !spec.long_running && !task.done;
  const bool failed = end.how == end_kind::kFailed && !task.done && !task.HasFailed(end.run);
  if (!end.saved.empty() && !task.done) task.saved = end.saved;
  if (id != kNoRun) runs.at(id).saved.clear();
  bool hopeless = false;
  if (done || failed) MarkDirty(end.task.job, job);
  if (done) MarkDone(end.task, spec, step);
  if (failed) {
    hopeless = CountFailure(slot, end, job, step);
    BlameHost(slot, end.task.job);
  }
  if (end.how == end_kind::kDone) hosts[slot].failures_in_row = 0;
  CloseRun(id, ToString(end.how));
  if (hopeless) {
    return FinishJob(end.task.job, job, job_phase::kFailed, "a task failed too often");
  }
  if (done) StepMayBeDone(end.task, job);
}

void scheduler::state::MarkDone(const task_ref& ref, const step_spec& spec, step_state& step) {
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    // One end stands for all members of a gang.
    if (!spec.gang && i != ref.index) continue;
    task_state& task = step.tasks[i];
    if (task.done) continue;
    task.done = true;
    task.unknown = false;
    ++step.done;
  }
}

// Without its queue no limit is known and nothing starts, so the job stays.
bool scheduler::state::OutOfAttempts(job_entry& job, const task_state& task) const {
  const queue_settings* queue = QueueOf(job);
  return queue && !task.done && task.failed_runs.size() >= std::max(queue->max_attempts, 1U);
}

// True if the job must fail. The failure of one member is one of the whole gang.
bool scheduler::state::CountFailure(host_slot slot, const end_report& end, job_entry& job,
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
  return OutOfAttempts(job, task);
}

void scheduler::state::BlameHost(host_slot slot, job_number job) {
  host_state& host = hosts[slot];
  if (host.last_failed_job != job) ++host.failures_in_row;
  host.last_failed_job = job;
  if (host.failures_in_row >= kFailuresToAvoid) {
    Avoid(host, options.avoid_time, "tasks of several jobs failed in a row");
  }
}

// Stops what runs of a gang that cannot go on; the step waits again when all members have ended.
void scheduler::state::AbortGang(const task_ref& ref, std::string_view cause) {
  step_state* step = FindStep(ref);
  if (!step) return;
  for (task_state& task : step->tasks) {
    if (task.open == kNoRun) continue;
    if (runs.at(task.open).phase != run_phase::kStopping) SendStop(task.open, cause);
  }
}

void scheduler::state::CheckStall(run_number id) {
  const run_state& run = runs.at(id);
  if (run.phase != run_phase::kRunning || run.percent >= 100) return;
  const job_entry* job = FindJob(run.task.job);
  if (!job || job->spec.steps.empty()) return;
  const step_spec& spec = SpecOf(*job, run.task.step);
  const duration limit = std::max(options.stall_time, spec.run_time / 10);
  if (spec.long_running || now - run.progressed < limit) return;
  host_state& host = hosts[run.host];
  // A gang stands still on all its hosts; those with other work that moves are sound.
  const bool moves = std::any_of(host.runs.begin(), host.runs.end(), [&](run_number other) {
    return now - runs.at(other).progressed < limit && runs.at(other).percent > 0;
  });
  if (!moves) Avoid(host, 2 * options.avoid_time, "a task stands still");
  SendStop(id, "no progress");
  if (spec.gang) AbortGang(run.task, "a member makes no progress");
}

}  // namespace sycamorehinge::cell
