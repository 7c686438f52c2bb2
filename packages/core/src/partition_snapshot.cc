// Snapshot records and digest of a ledger.
#include <algorithm>
#include <bit>
#include <utility>

#include "partition_ledger.h"

namespace sycamorehinge {

namespace {

void AddClosed(const attempt_id& id, const host_id& host, finish_kind outcome,
               std::vector<partition_record>& out) {
  out.emplace_back(attempt_assigned{id, host, 0, {}});
  out.emplace_back(attempt_closed{id, outcome});
}

void AddTask(const job_row& job, std::uint32_t index, std::vector<partition_record>& out) {
  const task_status& task = job.status.tasks[index];
  if (task.attempts == 0) return;
  const attempt_id id = job.LastAttempt(index);
  const open_attempt& open = job.open[index];
  if (task.open) {
    out.emplace_back(attempt_assigned{id, task.host, open.term, open.holder});
    if (open.suspected) out.emplace_back(attempt_suspected{id});
  } else if (task.last != finish_kind::kFailed || job.IsService()) {
    AddClosed(id, {}, task.last, out);
  }
}

void AddJob(const job_row& job, std::vector<partition_record>& out) {
  out.emplace_back(job_accepted{job.status.job, job.status.spec, job.accepted_ms});
  // Failures come first: a task's newest attempt must be the last one that is applied.
  for (const task_failure& failure : job.failures) {
    AddClosed(failure.id, failure.host, finish_kind::kFailed, out);
  }
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) AddTask(job, index, out);
  if (!job.closing) return;
  if (job.status.state == job_state::kCancelled) {
    out.emplace_back(job_cancelled{job.status.job});
  } else {
    out.emplace_back(job_finished{job.status.job, job.status.outcome});
  }
}

void AddKey(const key_row& row, std::vector<partition_record>& out) {
  out.emplace_back(request_intended{row.key, row.id, row.place.host, row.place.term, row.holder,
                                    row.body_hash, row.accepted_ms});
  if (row.state == key_state::kIntended) return;
  const errc outcome = row.state == key_state::kVoided ? errc::kVoided : row.outcome;
  out.emplace_back(request_finished{row.key, outcome, row.answer});
}

// Chains values into one hash; sums of such hashes do not depend on the order of rows.
class hasher {
 public:
  hasher& Add(std::uint64_t value) {
    hash_ = (std::rotl(hash_, 23) ^ value) * 0x9e3779b97f4a7c15ULL;
    hash_ ^= hash_ >> 29;
    return *this;
  }
  hasher& Add(std::string_view text) { return Add(StableHash(text)); }
  hasher& Add(const job_id& job) { return Add(job.partition).Add(job.epoch).Add(job.number); }
  hasher& Add(const attempt_id& id) { return Add(id.task.job).Add(id.task.index).Add(id.number); }
  template <class Enum>
  hasher& AddEnum(Enum value) {
    return Add(static_cast<std::uint64_t>(value));
  }
  std::uint64_t Value() const { return hash_; }

 private:
  std::uint64_t hash_ = 0x51ab3c0ffee;
};

void AddSpec(const job_spec& spec, hasher& hash) {
  hash.Add(spec.environment.value).Add(spec.tenant.value).Add(spec.work_class.value);
  hash.Add(spec.key).AddEnum(spec.kind).Add(spec.tasks).Add(spec.payload);
  hash.AddEnum(spec.size.cores_milli).AddEnum(spec.size.memory_mb);
  hash.AddEnum(spec.size.accelerators).AddEnum(spec.size.slots);
  hash.AddEnum(spec.run_time.count()).AddEnum(spec.deadline.count());
  hash.Add(spec.idempotent ? 1U : 0U).Add(spec.preemptible ? 1U : 0U);
}

std::uint64_t HashJob(const job_row& job) {
  hasher hash;
  hash.Add(job.status.job);
  AddSpec(job.status.spec, hash);
  hash.AddEnum(job.accepted_ms).AddEnum(job.status.state).AddEnum(job.status.outcome);
  hash.Add(job.closing ? 1U : 0U).Add(job.status.done).Add(job.open_count);
  for (std::uint32_t index = 0; index < job.status.tasks.size(); ++index) {
    const task_status& task = job.status.tasks[index];
    hash.Add(task.attempts).Add(task.open ? 1U : 0U);
    if (!task.open) {
      hash.AddEnum(task.last);
      continue;
    }
    // Outcomes before an open attempt have no effect any more and are left out of snapshots.
    const open_attempt& open = job.open[index];
    hash.Add(task.host.value).Add(open.term).Add(open.holder.value);
    hash.Add(open.suspected ? 1U : 0U);
  }
  for (const task_failure& failure : job.failures) hash.Add(failure.id).Add(failure.host.value);
  return hash.Value();
}

std::uint64_t HashKey(const key_row& row) {
  hasher hash;
  hash.Add(row.key).Add(row.id).Add(row.place.host.value).Add(row.place.term);
  hash.Add(row.holder.value).Add(row.body_hash).AddEnum(row.accepted_ms);
  hash.AddEnum(row.state).AddEnum(row.outcome).Add(row.answer);
  return hash.Value();
}

}  // namespace

std::vector<partition_record> partition_ledger::Records() const {
  std::vector<const job_row*> jobs;
  for (const auto& [id, job] : jobs_) jobs.push_back(&job);
  // Of two jobs with one key the later keeps it, so the order of acceptance matters.
  std::sort(jobs.begin(), jobs.end(),
            [](const job_row* a, const job_row* b) { return a->status.job < b->status.job; });
  std::vector<partition_record> records;
  for (const job_row* job : jobs) AddJob(*job, records);
  for (const auto& [key, row] : keys_) AddKey(row, records);
  return records;
}

std::uint64_t partition_ledger::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [id, job] : jobs_) digest += HashJob(job);
  for (const auto& [key, row] : keys_) digest += HashKey(row);
  return digest;
}

}  // namespace sycamorehinge
