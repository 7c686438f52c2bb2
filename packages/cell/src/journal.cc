// Journal writes, and the answers and jobs that wait until their records are durable.
#include <algorithm>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

duration SpreadRetry(duration retry_after, std::uint64_t key) {
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step = StableHash(std::to_string(key)) % kSteps;
  return retry_after + retry_after * static_cast<std::int64_t>(step) / kSteps;
}

std::uint64_t scheduler::state::Write(journal_record record) {
  actions.emplace_back(write_record{++sequence, std::move(record)});
  return sequence;
}

void scheduler::state::WriteProgress(job_number number, job_entry& job) {
  progress_record record;
  record.job = number;
  record.queue = job.queue;
  record.phase = job.phase;
  record.ended_ms = job.ended_ms;
  record.next_occurrence = job.next_occurrence;
  record.tenant = job.tenant_name;
  if (!job.Ended()) {
    for (const auto& [index, occurrence] : job.occurrences) {
      occurrence_progress open{index, {}};
      for (const step_state& step : occurrence.steps) {
        std::vector<task_progress>& tasks = open.steps.emplace_back();
        for (const task_state& task : step.tasks) {
          tasks.push_back({task.done, task.failed_runs});
        }
      }
      record.open.push_back(std::move(open));
    }
  }
  job.dirty = false;
  // A record that the journal refuses would keep all later ones of all jobs from being stored.
  if (!job.Ended() && MaxEncodedBytes(record) > options.max_record_bytes) {
    return FinishJob(number, job, job_phase::kFailed, "its progress exceeds the size of a record");
  }
  job.phase_sequence = Write(std::move(record));
}

void scheduler::state::MarkDirty(job_number number, job_entry& job) {
  if (std::exchange(job.dirty, true)) return;
  dirty_jobs.push_back(number);
}

void scheduler::state::WriteDirtyJobs() {
  for (const job_number number : std::exchange(dirty_jobs, {})) {
    job_entry* job = FindJob(number);
    if (job && job->dirty) WriteProgress(number, *job);
  }
  // The ends of one poll are journaled once the newest of their records is durable.
  for (host_state& host : hosts) {
    if (host.unjournaled_ends.empty() || host.unjournaled_ends.back().first != 0) continue;
    host.unjournaled_ends.back().first = sequence;
    AdvanceJournaledEnd(host);
  }
}

// Advances `journaled_end` up to the durable records. Returns true if it changed.
bool scheduler::state::AdvanceJournaledEnd(host_state& host) {
  bool moved = false;
  while (!host.unjournaled_ends.empty() && host.unjournaled_ends.front().first <= durable) {
    host.journaled_end = host.unjournaled_ends.front().second;
    host.unjournaled_ends.pop_front();
    moved = true;
  }
  return moved;
}

// Sends the answer once the journal holds the record with the sequence `after`. No answer is sent
// before the record of the term is durable, as a newer owner may have fenced this one.
void scheduler::state::Answer(const answer_call& answer, std::uint64_t after) {
  after = std::max(after, term_sequence);
  if (after <= durable) {
    actions.emplace_back(answer);
  } else {
    deferred_answers.emplace_back(after, answer);
  }
}

void scheduler::state::OnDurable(std::uint64_t upto) {
  if (upto <= durable) return;
  // Hosts whose records are durable now can be used.
  pass_needed = pass_needed || durable < host_record_sequence;
  durable = upto;
  while (!deferred_answers.empty() && deferred_answers.front().first <= durable) {
    actions.emplace_back(deferred_answers.front().second);
    deferred_answers.pop_front();
  }
  while (!deferred_jobs.empty() && deferred_jobs.front().first <= durable) {
    const job_number number = deferred_jobs.front().second;
    deferred_jobs.pop_front();
    job_entry* job = FindJob(number);
    if (job && !job->Ended() && !job->active) Activate(number, *job);
  }
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (AdvanceJournaledEnd(hosts[slot])) TickHost(slot);
  }
}

std::vector<std::uint64_t> scheduler::state::OpenSubmissions() const {
  std::vector<std::uint64_t> records;
  for (const auto& [record, number] : deferred_jobs) {
    const auto found = jobs.find(number);
    if (found != jobs.end() && !found->second.Ended()) records.push_back(record);
  }
  return records;
}

void scheduler::state::RefuseSubmissions(std::span<const std::uint64_t> records,
                                         duration retry_after) {
  const auto refused = [&](std::uint64_t record) {
    return std::binary_search(records.begin(), records.end(), record);
  };
  // Ends of tasks may wait until the newest record is durable.
  if (refused(sequence)) Write(term_record{term});
  std::erase_if(deferred_answers, [&](const auto& entry) {
    if (!refused(entry.first)) return false;
    answer_call answer{entry.second.call, errc::kLogUnavailable};
    answer.retry_after = SpreadRetry(retry_after, answer.call);
    actions.emplace_back(answer);
    return true;
  });
  std::erase_if(deferred_jobs, [&](const auto& entry) {
    if (!refused(entry.first)) return false;
    const auto found = jobs.find(entry.second);
    LogRefusal(entry.second, found->second.tenant_name, errc::kLogUnavailable);
    --queued_jobs[found->second.queue];
    jobs.erase(found);
    return true;
  });
}

void scheduler::state::LogDecision(decision_kind kind, const task_ref& task, std::uint32_t run,
                                   std::string_view host, std::string_view cause, duration age) {
  log_decision decision{kind, task, run, std::string(host), std::string(cause), age};
  if (kind == decision_kind::kJobAccepted || kind == decision_kind::kTaskStarted) {
    if (const job_entry* job = FindJob(task.job)) decision.tenant = job->tenant_name;
  }
  actions.emplace_back(std::move(decision));
}

void scheduler::state::LogRefusal(job_number job, std::string_view tenant, errc code) {
  log_decision decision{decision_kind::kJobRefused, {job}, 0, {}, std::string(ErrorName(code)), {}};
  decision.tenant = tenant;
  actions.emplace_back(std::move(decision));
}

}  // namespace sycamorehinge::cell
