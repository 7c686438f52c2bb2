#include "partition_ledger.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge {

std::string JoinKey(const tenant_id& tenant, std::string_view key) {
  // The length prefix keeps ("a", "b:c") and ("a:b", "c") apart.
  std::string joined = std::to_string(tenant.value.size());
  joined.append(":").append(tenant.value).append(":").append(key);
  return joined;
}

job_row* partition_ledger::FindJob(const job_id& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

const job_row* partition_ledger::FindJob(const job_id& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

job_row* partition_ledger::FindOpen(const attempt_id& id) {
  job_row* job = FindJob(id.task.job);
  if (job == nullptr || id.task.index >= job->status.tasks.size()) return nullptr;
  const task_status& task = job->status.tasks[id.task.index];
  return task.open && task.attempts == id.number ? job : nullptr;
}

const job_id* partition_ledger::FindJobKey(const std::string& joined_key) const {
  const auto found = job_keys_.find(joined_key);
  return found == job_keys_.end() ? nullptr : &found->second;
}

key_row* partition_ledger::FindKey(const std::string& joined_key) {
  const auto found = keys_.find(joined_key);
  return found == keys_.end() ? nullptr : &found->second;
}

key_row* partition_ledger::FindKeyOf(const job_id& request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : FindKey(found->second);
}

void partition_ledger::EraseJob(const job_id& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  const job_spec& spec = found->second.status.spec;
  const auto key = job_keys_.find(JoinKey(spec.tenant, spec.key));
  // A later job may have taken the key over after the retention of this one.
  if (key != job_keys_.end() && key->second == job) job_keys_.erase(key);
  jobs_.erase(found);
}

void partition_ledger::EraseKey(const job_id& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  keys_.erase(found->second);
  requests_.erase(found);
}

void partition_ledger::Apply(const partition_record& record) {
  std::visit(overloaded{[this](const job_accepted& r) { Accept(r); },
                        [this](const attempt_assigned& r) { Assign(r); },
                        [this](const attempt_adopted& r) { Adopt(r); },
                        [this](const attempt_suspected& r) { Suspect(r); },
                        [this](const attempt_closed& r) { Close(r); },
                        [this](const job_cancelled& r) { Cancel(r); },
                        [this](const job_finished& r) { Finish(r); },
                        [this](const request_intended& r) { Intend(r); },
                        [this](const request_finished& r) { FinishRequest(r); },
                        // Ownership and snapshot frames concern the reader, not the ledger.
                        [](const auto&) {}},
             record);
}

void partition_ledger::Accept(const job_accepted& record) {
  const auto [place, inserted] = jobs_.try_emplace(record.job);
  if (!inserted) return;
  job_row& job = place->second;
  job.status.job = record.job;
  job.status.spec = record.spec;
  job.accepted_ms = record.accepted_ms;
  job.open.resize(record.spec.tasks);
  job.status.tasks.resize(record.spec.tasks);
  for (std::uint32_t index = 0; index < record.spec.tasks; ++index) {
    job.status.tasks[index].task = {record.job, index};
  }
  if (!record.spec.key.empty()) {
    job_keys_.insert_or_assign(JoinKey(record.spec.tenant, record.spec.key), record.job);
  }
}

void partition_ledger::Assign(const attempt_assigned& record) {
  job_row* job = FindJob(record.id.task.job);
  const std::uint32_t index = record.id.task.index;
  if (job == nullptr || index >= job->status.tasks.size()) return;
  task_status& task = job->status.tasks[index];
  // A task of a gang that had succeeded runs again when the gang is restarted.
  if (job->IsDone(task)) --job->status.done;
  if (!task.open) ++job->open_count;
  task.open = true;
  task.attempts = std::max(task.attempts, record.id.number);
  task.host = record.host;
  job->open[index] = {record.term, record.holder, false};
  if (!job->closing) job->status.state = job_state::kRunning;
}

void partition_ledger::Adopt(const attempt_adopted& record) {
  job_row* job = FindOpen(record.id);
  if (job == nullptr) return;
  job->open[record.id.task.index] = {record.term, record.holder, false};
}

void partition_ledger::Suspect(const attempt_suspected& record) {
  job_row* job = FindOpen(record.id);
  if (job != nullptr) job->open[record.id.task.index].suspected = true;
}

void partition_ledger::Close(const attempt_closed& record) {
  job_row* job = FindOpen(record.id);
  if (job == nullptr) return;
  task_status& task = job->status.tasks[record.id.task.index];
  task.open = false;
  task.last = record.outcome;
  --job->open_count;
  if (record.outcome == finish_kind::kFailed && !job->IsService()) {
    job->failures.push_back({record.id, task.host});
  }
  if (job->IsDone(task)) ++job->status.done;
  task.host = {};
  if (!job->closing && job->open_count == 0) job->status.state = job_state::kQueued;
}

void partition_ledger::Cancel(const job_cancelled& record) {
  job_row* job = FindJob(record.job);
  if (job == nullptr || job->closing) return;
  job->closing = true;
  job->status.state = job_state::kCancelled;
  job->status.outcome = errc::kCancelled;
}

void partition_ledger::Finish(const job_finished& record) {
  job_row* job = FindJob(record.job);
  if (job == nullptr || job->closing) return;
  job->closing = true;
  job->status.state = record.outcome == errc::kOk ? job_state::kSucceeded : job_state::kFailed;
  job->status.outcome = record.outcome;
}

void partition_ledger::Intend(const request_intended& record) {
  key_row& row = keys_[record.key];
  if (row.id.task.job != record.id.task.job) requests_.erase(row.id.task.job);
  row.key = record.key;
  row.id = record.id;
  row.place = {record.host, record.term};
  row.holder = record.holder;
  row.body_hash = record.body_hash;
  row.accepted_ms = record.accepted_ms;
  row.state = key_state::kIntended;
  row.outcome = errc::kOk;
  row.answer.clear();
  requests_.insert_or_assign(record.id.task.job, record.key);
}

void partition_ledger::FinishRequest(const request_finished& record) {
  key_row* row = FindKey(record.key);
  if (row == nullptr || row->state == key_state::kFinished) return;
  row->state = record.outcome == errc::kVoided ? key_state::kVoided : key_state::kFinished;
  row->outcome = record.outcome;
  row->answer = record.answer;
}

}  // namespace sycamorehinge
