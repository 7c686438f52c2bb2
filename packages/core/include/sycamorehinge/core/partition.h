// A partition: the jobs, tasks, attempts and idempotency keys of one log stream.
//
// The owner changes its state in memory and emits records; every action names the sequence of the
// last record that must be durable before the action may be carried out.
#ifndef SYCAMOREHINGE_CORE_PARTITION_H_
#define SYCAMOREHINGE_CORE_PARTITION_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/records.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Names the caller's waiting call within this process.
using call_number = std::uint64_t;

enum class job_state { kQueued, kRunning, kSucceeded, kFailed, kCancelled };

struct task_status {
  task_id task;
  std::uint32_t attempts = 0;
  // True while an attempt is open; `host` is then its host.
  bool open = false;
  host_id host;
  finish_kind last = finish_kind::kNeverRan;
};

struct job_status {
  job_id job;
  job_spec spec;
  job_state state = job_state::kQueued;
  errc outcome = errc::kOk;
  std::uint32_t done = 0;
  std::vector<task_status> tasks;
};

// A request that must run at most once.
struct keyed_request {
  environment_id environment;
  tenant_id tenant;
  class_id work_class;
  service_id service;
  std::string key;
  std::uint64_t body_hash = 0;
  time_point deadline = time_point::max();
};

// What is known about an attempt on a host.
enum class attempt_fact { kNever, kRunning, kSucceeded, kFailed, kUnreachable };

// --- events ---

// The stream was read to its end and owner_changed was appended at offset `epoch`.
struct ownership_taken {
  std::uint64_t epoch = 0;
  std::int64_t wall_ms = 0;
};
// A newer owner exists; every pending action is void.
struct ownership_lost {};
// Records up to and including `sequence` are durable.
struct records_durable {
  std::uint64_t sequence = 0;
};
struct log_availability {
  bool available = true;
};
struct submit_requested {
  call_number call = 0;
  job_spec spec;
  std::int64_t wall_ms = 0;
};
struct cancel_requested {
  call_number call = 0;
  job_id job;
};
struct keyed_request_arrived {
  call_number call = 0;
  keyed_request request;
  std::int64_t wall_ms = 0;
};
// A pool reserved room for all tasks of the item; `holder` is the process of the pool.
struct room_reserved {
  attempt_id id;
  process_id holder;
  std::vector<placement> places;
};
struct room_refused {
  attempt_id id;
  errc reason = errc::kOverloaded;
};
// Answer to start_attempt, void_attempt, or a report of the holder.
struct attempt_reported {
  attempt_id id;
  host_id host;
  std::uint64_t term = 0;
  process_id holder;
  attempt_fact fact = attempt_fact::kUnreachable;
};
// The holder's claim lapsed with the host unreachable, and all task leases on it after that.
struct attempt_lost {
  attempt_id id;
  std::uint64_t term = 0;
};
// The holder stopped the attempt to give its room to other work.
struct attempt_preempted {
  attempt_id id;
};
// Answer to run_request, or to void_attempt of a keyed request.
struct request_answered {
  attempt_id id;
  attempt_fact fact = attempt_fact::kUnreachable;
  std::string answer;
};
struct document_changed {
  std::shared_ptr<const environment_document> document;
};
struct partition_tick {
  std::int64_t wall_ms = 0;
};

using partition_event =
    std::variant<ownership_taken, ownership_lost, records_durable, log_availability,
                 submit_requested, cancel_requested, keyed_request_arrived, room_reserved,
                 room_refused, attempt_reported, attempt_lost, attempt_preempted, request_answered,
                 document_changed, partition_tick>;

// --- actions ---

struct emit_record {
  std::uint64_t sequence = 0;
  partition_record record;
};
struct want_room {
  work_item item;
  // Environment and service name the pool; an empty service means workers.
  environment_id environment;
  service_id service;
};
struct withdraw_room {
  attempt_id id;
};
// Room reserved for an attempt that will not start.
struct return_room {
  attempt_id id;
  process_id holder;
  host_id host;
};
struct start_attempt {
  attempt_id id;
  process_id holder;
  placement place;
  job_spec spec;
};
struct stop_attempt {
  attempt_id id;
  process_id holder;
  host_id host;
  // Checkpoint before the stop.
  bool checkpoint = false;
};
// Makes a start impossible from now on and learns what happened so far.
struct void_attempt {
  attempt_id id;
  process_id holder;
  host_id host;
};
// The holder may renew the lease of the attempt.
struct keep_attempt {
  attempt_id id;
  process_id holder;
  host_id host;
  std::uint64_t term = 0;
};
// The body is kept by the caller's call, not by the partition.
struct run_request {
  call_number call = 0;
  attempt_id id;
  process_id holder;
  placement place;
};
struct reply_job {
  call_number call = 0;
  job_id job;
};
struct reply_answer {
  call_number call = 0;
  std::string answer;
};
struct reply_error {
  call_number call = 0;
  errc code = errc::kInternal;
  std::string detail;
  duration retry_after{};
};
// The job reached its end; wakes callers that wait for it.
struct job_ended {
  job_id job;
};

using partition_effect = std::variant<emit_record, want_room, withdraw_room, return_room,
                                      start_attempt, stop_attempt, void_attempt, keep_attempt,
                                      run_request, reply_job, reply_answer, reply_error, job_ended>;

struct partition_action {
  // Carry out only after this sequence is durable; 0 for at once.
  std::uint64_t after_sequence = 0;
  partition_effect effect;
};

struct partition_options {
  // Answers of keyed requests are kept this long for retries of the same key.
  duration key_retention = std::chrono::minutes(15);
  // Finished jobs are kept this long for status queries.
  duration job_retention = std::chrono::hours(1);
  // Most keys kept; new keyed requests are refused above it, none is dropped early.
  std::uint32_t max_keys = 100'000;
  // Failures on different hosts after which a job is failed.
  std::uint32_t max_failed_hosts = 3;
  duration keepalive = std::chrono::seconds(5);
  // Silence of a holder after which its attempts are suspected.
  duration contact_ttl = std::chrono::seconds(60);
  duration task_lease = std::chrono::seconds(10);
  // Records since the last snapshot after which the stream is rewritten.
  std::uint32_t snapshot_after_records = 20'000;
  duration snapshot_after = std::chrono::minutes(30);
  // Silence of a holder after a start, beyond which the attempt is resolved.
  duration start_timeout = std::chrono::seconds(5);
  // Keyed requests whose target has not told their outcome for this long end as outcome_unknown.
  duration unknown_retention = std::chrono::hours(24);
  // Largest number of tasks of one job.
  std::uint32_t max_tasks = 10'000;
  // Measured baseline only: start attempts and requests without waiting for the record.
  bool unsafe_start_before_durable = false;
};

class partition {
 public:
  partition(partition_number number, process_id self, partition_options options);
  ~partition();
  partition(partition&&) noexcept;
  partition& operator=(partition&&) noexcept;

  // Applies one batch read from the stream, in offset order, before ownership_taken. After
  // ownership_lost the state is empty, and the stream is replayed from its oldest batch.
  void Replay(const stored_batch& stored);

  void Handle(const partition_event& event, time_point now, std::vector<partition_action>& out);

  // Earliest time at which a partition_tick would do something; time_point::max() if none.
  time_point NextTick() const;

  bool IsOwner() const;
  std::uint64_t Epoch() const;
  // Null if the job is unknown.
  const job_status* FindJob(const job_id& job) const;
  std::vector<job_status> Jobs() const;
  // Order-independent digest of the durable state, to compare two replays.
  std::uint64_t Digest() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_PARTITION_H_
