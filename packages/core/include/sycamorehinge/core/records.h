// Records in the log stream of a partition.
//
// A batch contains consecutive records of one epoch. Readers ignore batches whose epoch is older
// than that of the latest `owner_changed` before them, and records whose sequence they have already
// applied.
#ifndef SYCAMOREHINGE_CORE_RECORDS_H_
#define SYCAMOREHINGE_CORE_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// A job as submitted with POST /v1/jobs.
struct job_spec {
  environment_id environment;
  tenant_id tenant;
  class_id work_class;
  std::string key;
  work_kind kind = work_kind::kBatch;
  std::uint32_t tasks = 1;
  resources size;
  duration run_time{};
  // Time from acceptance to the deadline; zero for no deadline.
  duration deadline{};
  bool idempotent = true;
  bool preemptible = true;
  std::string payload;
};

// A process becomes owner. The owner's epoch is the offset of the batch that contains this record.
struct owner_changed {
  process_id owner;
  std::uint64_t incarnation = 0;
};
// Keep-alive, which shows that the owner can still append.
struct owner_alive {};
struct job_accepted {
  job_id job;
  job_spec spec;
  // Unix time in milliseconds, for display and for deadlines that outlive one owner.
  std::int64_t accepted_ms = 0;
};
struct attempt_assigned {
  attempt_id id;
  host_id host;
  std::uint64_t term = 0;
  process_id holder;
};
struct attempt_adopted {
  attempt_id id;
  std::uint64_t term = 0;
  process_id holder;
};
// First of two steps that close an attempt whose holder is silent; see docs/design.md, "lost host".
struct attempt_suspected {
  attempt_id id;
};
struct attempt_closed {
  attempt_id id;
  finish_kind outcome = finish_kind::kSucceeded;
};
struct job_cancelled {
  job_id job;
};
struct job_finished {
  job_id job;
  errc outcome = errc::kOk;
};
// Written before a keyed request is sent to a target.
struct request_intended {
  std::string key;
  attempt_id id;
  host_id host;
  std::uint64_t term = 0;
  process_id holder;
  std::uint64_t body_hash = 0;
  std::int64_t accepted_ms = 0;
};
struct request_finished {
  std::string key;
  errc outcome = errc::kOk;
  std::string answer;
};
// Mark a snapshot: the records between them rebuild the complete state.
struct snapshot_begun {
  std::uint64_t next_number = 0;
};
struct snapshot_ended {};

using partition_record =
    std::variant<owner_changed, owner_alive, job_accepted, attempt_assigned, attempt_adopted,
                 attempt_suspected, attempt_closed, job_cancelled, job_finished, request_intended,
                 request_finished, snapshot_begun, snapshot_ended>;

struct record_batch {
  // 0 in the batch that contains owner_changed, whose epoch is its offset.
  std::uint64_t epoch = 0;
  // Sequence number of the first record; the others have consecutive numbers.
  std::uint64_t first_sequence = 0;
  std::vector<partition_record> records;
};

struct stored_batch {
  std::uint64_t offset = 0;
  record_batch batch;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_RECORDS_H_
