// Jobs: submission, activation, ready steps, completion and queries.
#include <algorithm>
#include <utility>

#include "state.h"
#include "sycamorehinge/cell/access.h"

namespace sycamorehinge::cell {

namespace {

// Approximate memory of a job, of each of its steps, and of each task with its run.
constexpr std::size_t kJobBytes = 2048;
constexpr std::size_t kStepBytes = 512;
constexpr std::size_t kTaskBytes = 256;
constexpr duration kJobBytesInterval = std::chrono::milliseconds(250);
// A job that is wider than the quota of its tenant can be accepted once the operators change one of
// them.
constexpr duration kQuotaRetryAfter = std::chrono::seconds(60);

void Restore(job_entry& job, const progress_record& record) {
  job.next_occurrence = record.next_occurrence;
  for (const occurrence_progress& open : record.open) {
    occurrence_state& occurrence = job.occurrences[open.number];
    occurrence.steps.resize(open.steps.size());
    for (std::size_t i = 0; i < open.steps.size(); ++i) {
      step_state& step = occurrence.steps[i];
      for (const task_progress& task : open.steps[i]) {
        task_state& state = step.tasks.emplace_back();
        state.done = task.done;
        state.failed_runs = task.failed_runs;
        if (task.done) ++step.tasks_done;
      }
      if (!step.tasks.empty() && step.tasks_done == step.tasks.size()) ++occurrence.steps_done;
    }
  }
}

// Checks that restored progress has the shape of the job. If not, the progress is discarded and all
// tasks run again.
bool Matches(const job_entry& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.steps.size() != job.spec.steps.size()) return false;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      if (occurrence.steps[i].tasks.size() != job.spec.steps[i].count) return false;
    }
  }
  return true;
}

std::size_t TaskCount(const job_spec& spec) {
  std::size_t tasks = 0;
  for (const step_spec& step : spec.steps) tasks += step.count;
  return tasks;
}

std::size_t JobBytes(const job_spec& spec, std::size_t payload_bytes, std::size_t occurrences) {
  return kJobBytes + payload_bytes + kStepBytes * spec.steps.size() +
         kTaskBytes * TaskCount(spec) * std::max<std::size_t>(occurrences, 1);
}

}  // namespace

void scheduler::state::Load(journal_record record) {
  std::visit(
      overloaded{[&](term_record& row) { loaded_term = std::max(loaded_term, row.term); },
                 [&](lease_granters_record& row) { loaded_granters = std::move(row.addresses); },
                 [&](accepted_record& row) {
                   job_entry& job = jobs[row.job];
                   job.queue = std::move(row.queue);
                   job.accepted_ms = row.accepted_ms;
                   job.spec = std::move(row.spec);
                   job.payload = std::make_shared<std::string>(std::move(job.spec.payload));
                   job.order = next_order++;
                   job.tenant = tenants.IndexOf(row.tenant);
                   job.tenant_name = std::move(row.tenant);
                 },
                 [&](progress_record& row) {
                   job_entry& job = jobs[row.job];
                   job.queue = std::move(row.queue);
                   job.phase = row.phase;
                   job.ended_ms = row.ended_ms;
                   job.tenant = tenants.IndexOf(row.tenant);
                   job.tenant_name = std::move(row.tenant);
                   if (job.Ended()) {
                     ended_jobs.emplace_back(job.ended_ms, row.job);
                   } else {
                     Restore(job, row);
                   }
                 },
                 [&](cancelled_record& row) { RestoreCancel(row); },
                 [&](host_record& row) {
                   host_state& host = hosts[SlotOf(row.host)];
                   host.journaled = true;
                   if (host.listed) return;
                   host.entry.address = std::move(row.address);
                   host.entry.service = std::move(row.service);
                 },
                 [](const auto&) {}},
      record);
}

job_entry* scheduler::state::FindJob(job_number number) {
  const auto found = jobs.find(number);
  return found == jobs.end() ? nullptr : &found->second;
}

void scheduler::state::SetConfig(std::shared_ptr<const fleet_config> next) {
  config = std::move(next);
  ++config_generation;
  tenants.SetTenants(config->tenants);
  // The priority of a queue may have changed.
  for (waiting_key key : std::exchange(waiting, {})) {
    job_entry* job = FindJob(key.job);
    if (!job) continue;
    key.priority = PriorityOf(*job);
    waiting.insert(key);
  }
  pass_needed = true;
}

const queue_settings* scheduler::state::QueueOf(job_entry& job) const {
  if (job.settings_generation != config_generation) {
    job.settings = config->FindQueue(job.queue);
    job.settings_generation = config_generation;
  }
  return job.settings;
}

std::uint32_t scheduler::state::PriorityOf(job_entry& job) const {
  const queue_settings* queue = QueueOf(job);
  return queue ? queue->priority : 0;
}

step_state* scheduler::state::FindStep(const task_ref& ref) {
  job_entry* job = FindJob(ref.job);
  if (!job) return nullptr;
  const auto found = job->occurrences.find(ref.occurrence);
  if (found == job->occurrences.end() || ref.step >= found->second.steps.size()) return nullptr;
  return &found->second.steps[ref.step];
}

waiting_key scheduler::state::KeyOf(const task_ref& ref, job_entry& job) const {
  return {PriorityOf(job), job.order, ref.job, ref.occurrence, ref.step};
}

void scheduler::state::Submit(call_number call, job_number number, std::string_view queue,
                              std::string_view tenant, job_spec spec, std::int64_t wall) {
  wall_ms = wall;
  if (!owner) return Answer({call, errc::kNotReady}, 0);
  if (const job_entry* known = FindJob(number)) {
    if (!MayReach(tenant, known->tenant_name)) return Answer({call, errc::kForbidden}, 0);
    return Answer({call, errc::kOk, known->phase}, known->accepted_sequence);
  }
  const bool known_queue = config->FindQueue(queue) != nullptr;
  errc code = known_queue ? ValidateSpec(spec) : errc::kNotReady;
  if (code == errc::kOk && !QuotaCouldAllow(tenants.IndexOf(tenant), spec)) {
    code = errc::kQuotaExceeded;
  }
  accepted_record record{number, std::string(queue), wall, std::move(spec), std::string(tenant)};
  if (code == errc::kOk && !FitsJournal(record)) code = errc::kTooLarge;
  answer_call refusal{call, code};
  if (code == errc::kOk) refusal = Admit(call, record);
  if (code == errc::kQuotaExceeded) refusal.retry_after = kQuotaRetryAfter;
  if (refusal.code != errc::kOk) {
    LogRefusal(number, tenant, refusal.code);
    return Answer(refusal, 0);
  }
  if (SubmitCancelled(call, number, queue, tenant)) return;
  job_bytes += JobBytes(record.spec, record.spec.payload.size(), 1);
  job_entry& job = jobs[number];
  job.queue = record.queue;
  job.accepted_ms = wall;
  job.order = next_order++;
  job.tenant = tenants.IndexOf(tenant);
  job.tenant_name = tenant;
  ++queued_jobs[job.queue];
  job.spec = record.spec;
  job.payload = std::make_shared<std::string>(std::move(job.spec.payload));
  job.accepted_sequence = Write(std::move(record));
  deferred_jobs.emplace_back(job.accepted_sequence, number);
  Answer({call, errc::kOk, job.phase}, job.accepted_sequence);
  LogDecision(decision_kind::kJobAccepted, {number}, 0, {}, queue);
}

// Returns whether the quota of the tenant is large enough for each task of the job, and for all
// members of each gang at the same time.
bool scheduler::state::QuotaCouldAllow(tenant_index tenant, const job_spec& spec) const {
  return std::all_of(spec.steps.begin(), spec.steps.end(), [&](const step_spec& step) {
    return tenants.CouldAllow(tenant, {step.size, step.gang ? step.count : 1});
  });
}

// Returns whether the journal can store the job and its progress. Half of a record is left for the
// numbers of failed runs.
bool scheduler::state::FitsJournal(const accepted_record& record) const {
  return MaxEncodedBytes(record) <= options.max_record_bytes &&
         MaxOccurrenceBytes(record.spec) <= options.max_record_bytes / 2;
}

std::int64_t scheduler::state::DueMs(const job_entry& job, std::uint32_t occurrence) const {
  return job.spec.first_start_ms + static_cast<std::int64_t>(occurrence) * job.spec.interval_ms;
}

// Starts scheduling a job whose accepted_record is in the journal.
void scheduler::state::Activate(job_number number, job_entry& job) {
  // The accepted_record is missing from the journal although the job has not ended, so its tasks
  // are unknown.
  if (job.unreadable || job.spec.steps.empty()) return;
  job.active = true;
  if (!Matches(job)) job.occurrences.clear();
  for (auto& [index, occurrence] : job.occurrences) {
    for (step_state& step : occurrence.steps) {
      for (task_state& task : step.tasks) task.maybe_running = recovering && !task.done;
      if (step.tasks_done > 0 && job.phase == job_phase::kQueued) {
        SetPhase(job, job_phase::kRunning);
      }
    }
  }
  if (!job.IsPeriodic() && job.occurrences.empty()) OpenOccurrence(number, job, 0);
  if (job.IsPeriodic()) {
    periodic_jobs.emplace(DueMs(job, job.next_occurrence), number);
    OpenDueOccurrences(wall_ms);
  }
  std::vector<std::uint32_t> open;
  for (const auto& [index, occurrence] : job.occurrences) open.push_back(index);
  for (const std::uint32_t index : open) EnqueueReadySteps(number, job, index);
}

void scheduler::state::OpenOccurrence(job_number number, job_entry& job, std::uint32_t index) {
  occurrence_state& occurrence = job.occurrences[index];
  occurrence.steps.resize(job.spec.steps.size());
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(job.spec.steps[i].count);
    // A job restored without progress may still have been started by an earlier owner.
    for (task_state& task : occurrence.steps[i].tasks) {
      task.maybe_running = recovering && job.accepted_sequence == 0;
    }
  }
  job.next_occurrence = std::max(job.next_occurrence, index + 1);
  EnqueueReadySteps(number, job, index);
}

bool scheduler::state::FitsMemory(const accepted_record& record) const {
  return job_bytes + JobBytes(record.spec, record.spec.payload.size(), 1) <= options.max_job_bytes;
}

void scheduler::state::UpdateJobBytes() {
  if (now < next_job_bytes_at) return;
  next_job_bytes_at = now + kJobBytesInterval;
  job_bytes = 0;
  for (const auto& [number, job] : jobs) {
    if (job.Ended()) continue;
    job_bytes += JobBytes(job.spec, job.payload ? job.payload->size() : 0, job.occurrences.size());
  }
}

// Returns whether the job may open its next occurrence beside those that are open.
bool scheduler::state::MayOpenOccurrence(const job_entry& job) const {
  const std::size_t open = job.occurrences.size() + 1;
  const std::size_t tasks = TaskCount(job.spec);
  if (job_bytes > options.max_job_bytes && open > 1) return false;
  return open == 1 || (open * tasks <= kMaxOpenTasks &&
                       open * MaxOccurrenceBytes(job.spec) <= options.max_record_bytes / 2);
}

// A job with too many open tasks opens its next occurrence when one of them ends.
void scheduler::state::OpenDueOccurrences(std::int64_t wall) {
  while (!periodic_jobs.empty() && periodic_jobs.begin()->first <= wall) {
    const job_number number = periodic_jobs.begin()->second;
    periodic_jobs.erase(periodic_jobs.begin());
    job_entry* job = FindJob(number);
    if (!job || job->Ended() || job->next_occurrence >= job->spec.occurrences) continue;
    if (!MayOpenOccurrence(*job)) continue;
    OpenOccurrence(number, *job, job->next_occurrence);
    MarkDirty(number, *job);
    if (job->next_occurrence < job->spec.occurrences) {
      periodic_jobs.emplace(DueMs(*job, job->next_occurrence), number);
    }
  }
}

bool scheduler::state::StepReady(const job_entry& job, const occurrence_state& occurrence,
                                 std::uint32_t index) const {
  const step_state& step = occurrence.steps[index];
  if (step.tasks_done == step.tasks.size()) return false;
  const std::vector<std::uint32_t>& after = job.spec.steps[index].after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    const step_state& before = occurrence.steps[earlier];
    return before.tasks_done == before.tasks.size();
  });
}

void scheduler::state::EnqueueReadySteps(job_number number, job_entry& job, std::uint32_t index) {
  if (job.Ended()) return;
  occurrence_state& occurrence = job.occurrences[index];
  for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    step_state& step = occurrence.steps[i];
    if (step.waiting || !StepReady(job, occurrence, i)) continue;
    const bool idle = std::any_of(step.tasks.begin(), step.tasks.end(), [](const auto& task) {
      return !task.done && task.active_run == kNoRun;
    });
    if (!idle) continue;
    step.waiting = true;
    step.ready_since = now;
    SetLatestStarts(job, index, i);
    waiting.insert(KeyOf({number, index, i, 0}, job));
    pass_needed = true;
  }
}

// Releases everything a step holds for its placement: reserved capacity and hosts, its advice
// request and its queue position.
void scheduler::state::ReleaseStepResources(const task_ref& ref, job_entry& job) {
  step_state& step = *FindStep(ref);
  ReleaseReservedCapacity(step, SpecOf(job, ref.step));
  ReleaseReservedHosts(step);
  for (const std::uint64_t request : std::exchange(step.advice_requests, {})) {
    RemoveAdviceRequest(request);
  }
  if (step.waiting) Dequeue(KeyOf({ref.job, ref.occurrence, ref.step, 0}, job), step);
}

// Called after a task of the step succeeded.
void scheduler::state::CompleteStepIfDone(const task_ref& ref, job_entry& job) {
  occurrence_state& occurrence = job.occurrences[ref.occurrence];
  const step_state& step = occurrence.steps[ref.step];
  if (step.tasks_done < step.tasks.size()) return;
  ReleaseStepResources(ref, job);
  if (++occurrence.steps_done < occurrence.steps.size()) {
    return EnqueueReadySteps(ref.job, job, ref.occurrence);
  }
  job.occurrences.erase(ref.occurrence);
  const bool last = !job.IsPeriodic() || job.next_occurrence >= job.spec.occurrences;
  if (!last) periodic_jobs.emplace(DueMs(job, job.next_occurrence), ref.job);
  if (!last || !job.occurrences.empty()) return;
  FinishJob(ref.job, job, job_phase::kCompleted, "all tasks succeeded");
}

void scheduler::state::FinishJob(job_number number, job_entry& job, job_phase phase,
                                 std::string_view cause) {
  for (auto& [index, occurrence] : job.occurrences) {
    for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
      ReleaseStepResources({number, index, i, 0}, job);
      for (task_state& task : occurrence.steps[i].tasks) {
        if (task.active_run != kNoRun)
          SendStop(std::exchange(task.active_run, kNoRun), "the job has ended");
      }
    }
  }
  SetPhase(job, phase);
  job.ended_ms = wall_ms;
  const auto kind =
      phase == job_phase::kCancelled ? decision_kind::kJobCancelled : decision_kind::kJobEnded;
  LogDecision(kind, {number}, 0, {}, cause, std::chrono::milliseconds(wall_ms - job.accepted_ms));
  job.occurrences.clear();
  job.payload.reset();
  job.spec = {};
  WriteProgress(number, job);
  Write(remove_accepted_job{number});
  ended_jobs.emplace_back(job.ended_ms, number);
}

void scheduler::state::Cancel(call_number call, job_number number, std::string_view tenant,
                              std::int64_t wall) {
  wall_ms = wall;
  if (!owner) return Answer({call, errc::kNotReady}, 0);
  job_entry* job = FindJob(number);
  if (!job) return CancelUnknown(call, number, tenant);
  if (!MayReach(tenant, job->tenant_name)) return Answer({call, errc::kUnknownJob}, 0);
  if (!job->Ended()) {
    FinishJob(number, *job, job_phase::kCancelled, "the caller cancelled it");
  }
  Answer({call, errc::kOk, job->phase}, job->phase_sequence);
}

void scheduler::state::State(call_number call, job_number number, std::string_view tenant) {
  if (!owner) return Answer({call, errc::kNotReady}, 0);
  const job_entry* job = FindJob(number);
  if (!job || !MayReach(tenant, job->tenant_name)) return Answer({call, errc::kUnknownJob}, 0);
  // A new owner would not know of an end that is not yet in the journal, so such a job is still
  // reported as running.
  const bool early = job->Ended() && job->phase_sequence > durable;
  Answer({call, errc::kOk, early ? job_phase::kRunning : job->phase}, 0);
}

void scheduler::state::Pending(call_number call, std::string_view queue) {
  if (!owner) return Answer({call, errc::kNotReady}, 0);
  answer_call answer{call};
  const auto found = queued_jobs.find(std::string(queue));
  if (found != queued_jobs.end()) answer.pending = found->second;
  Answer(answer, 0);
}

void scheduler::state::SetPhase(job_entry& job, job_phase phase) {
  if (job.phase == job_phase::kQueued) --queued_jobs[job.queue];
  job.phase = phase;
  if (job.phase == job_phase::kQueued) ++queued_jobs[job.queue];
}

void scheduler::state::RemoveExpiredJobs(std::int64_t wall) {
  const auto keep = std::chrono::duration_cast<std::chrono::milliseconds>(options.job_retention);
  while (!ended_jobs.empty() && ended_jobs.front().first + keep.count() < wall) {
    const job_number number = ended_jobs.front().second;
    ended_jobs.pop_front();
    jobs.erase(number);
    Write(remove_job{number});
  }
}

}  // namespace sycamorehinge::cell
