// The durable state of a partition: what its records say, and nothing else.
//
// The owner applies each record as it emits it and a reader applies each record that it reads, so
// both hold the same ledger after the same records.
#ifndef SYCAMOREHINGE_CORE_SRC_PARTITION_LEDGER_H_
#define SYCAMOREHINGE_CORE_SRC_PARTITION_LEDGER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/records.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

struct task_failure {
  attempt_id id;
  host_id host;
};

// What the records say of a task's open attempt beyond its public status.
struct open_attempt {
  std::uint64_t term = 0;
  process_id holder;
  bool suspected = false;
};

struct job_row {
  job_status status;
  std::int64_t accepted_ms = 0;
  // A finished or cancelled job may have open attempts until they are stopped.
  bool closing = false;
  std::uint32_t open_count = 0;
  // One for each task; meaningful while the task's attempt is open.
  std::vector<open_attempt> open;
  // Failed attempts of batch and gang tasks, in the order of their records.
  std::vector<task_failure> failures;

  bool IsGang() const { return status.spec.kind == work_kind::kGang; }
  bool IsService() const { return status.spec.kind == work_kind::kService; }
  // A service task is never done: it is restarted until the job is cancelled.
  bool IsDone(const task_status& task) const {
    return !IsService() && !task.open && task.attempts > 0 && task.last == finish_kind::kSucceeded;
  }
  attempt_id LastAttempt(std::uint32_t index) const {
    return {status.tasks[index].task, status.tasks[index].attempts};
  }
};

enum class key_state {
  // The intent is recorded; whether the request ran is not.
  kIntended,
  // The intended attempt did not run and never will; the key may be run again.
  kVoided,
  kFinished,
};

struct key_row {
  // Unambiguous join of tenant and the tenant's key.
  std::string key;
  attempt_id id;
  placement place;
  process_id holder;
  std::uint64_t body_hash = 0;
  std::int64_t accepted_ms = 0;
  key_state state = key_state::kIntended;
  errc outcome = errc::kOk;
  std::string answer;
};

// Unambiguous join of a tenant's name and one of its keys.
std::string JoinKey(const tenant_id& tenant, std::string_view key);

class partition_ledger {
 public:
  void Apply(const partition_record& record);

  job_row* FindJob(const job_id& job);
  const job_row* FindJob(const job_id& job) const;
  // Null unless `id` is the open attempt of its task.
  job_row* FindOpen(const attempt_id& id);
  const job_id* FindJobKey(const std::string& joined_key) const;
  key_row* FindKey(const std::string& joined_key);
  // The key whose request has this number.
  key_row* FindKeyOf(const job_id& request);

  const std::unordered_map<job_id, job_row>& Jobs() const { return jobs_; }
  const std::unordered_map<std::string, key_row>& Keys() const { return keys_; }

  void EraseJob(const job_id& job);
  void EraseKey(const job_id& request);

  // Records that rebuild this ledger from nothing.
  std::vector<partition_record> Records() const;
  std::uint64_t Digest() const;

 private:
  void Accept(const job_accepted& record);
  void Assign(const attempt_assigned& record);
  void Adopt(const attempt_adopted& record);
  void Suspect(const attempt_suspected& record);
  void Close(const attempt_closed& record);
  void Cancel(const job_cancelled& record);
  void Finish(const job_finished& record);
  void Intend(const request_intended& record);
  void FinishRequest(const request_finished& record);

  std::unordered_map<job_id, job_row> jobs_;
  std::unordered_map<std::string, job_id> job_keys_;
  std::unordered_map<std::string, key_row> keys_;
  std::unordered_map<job_id, std::string> requests_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SRC_PARTITION_LEDGER_H_
