// What the owner of a partition knows beyond its records: calls that wait, room that is wanted,
// what was sent to hosts, and timers.
#ifndef SYCAMOREHINGE_CORE_SRC_PARTITION_STATE_H_
#define SYCAMOREHINGE_CORE_SRC_PARTITION_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "partition_ledger.h"
#include "sycamorehinge/core/partition.h"

namespace sycamorehinge {

// Room for one work item: wanted from the pools, or to be wanted at `due`.
struct wanted_room {
  bool sent = false;
  time_point due;
  // Sequence that must be durable before the pools may be asked.
  std::uint64_t after_sequence = 0;
};

enum class attempt_phase {
  // Waits for its record; the start was not sent.
  kRecording,
  // The start was sent and not answered.
  kStarting,
  kRunning,
  // Only the host knows.
  kUnknown,
};

struct live_attempt {
  attempt_phase phase = attempt_phase::kUnknown;
  // The attempt shall end: its job ended or its gang starts anew.
  bool stopping = false;
  // Last record that assigned or adopted the attempt.
  std::uint64_t sequence = 0;
  // Last time its holder told something of it.
  time_point heard;
  // Next time to ask the host; max() if a report is awaited.
  time_point resolve_at = time_point::max();
  std::uint32_t resolves = 0;
  // Next time to check whether the holder has fallen silent.
  time_point silence_at = time_point::max();
  // While suspected: when the attempt may be closed.
  time_point close_at = time_point::max();
};

struct waiting_call {
  call_number call = 0;
  time_point deadline;
};

enum class request_phase {
  // Wants room; nothing is recorded, or only attempts that never ran.
  kWaiting,
  // The intent waits for its record; the run was not sent.
  kIntending,
  kRunning,
  // Only the target knows.
  kUnknown,
};

// A keyed request that has not ended.
struct live_request {
  keyed_request request;
  std::string key;
  attempt_id id;
  request_phase phase = request_phase::kWaiting;
  std::uint64_t sequence = 0;
  std::int64_t accepted_ms = 0;
  std::vector<waiting_call> calls;
  // Next time to ask for room (kWaiting) or to ask the target (kRunning, kUnknown).
  time_point next_at = time_point::max();
  std::uint32_t resolves = 0;
  // Attempts of this live request that never ran.
  std::uint32_t refused = 0;
  bool room_wanted = false;
  // The target said that the request was running.
  bool seen_running = false;
  // Since when nobody knows whether the request ran.
  time_point unknown_since;
};

enum class timer_kind { kWantRoom, kResolve, kSilence, kRequest, kDeadline, kExpire };

struct timer {
  time_point at;
  timer_kind kind = timer_kind::kResolve;
  attempt_id id;

  friend bool operator>(const timer& a, const timer& b) { return a.at > b.at; }
};

// An action that is decided only when its record is durable: until then the attempt may have been
// cancelled or its deadline may have passed.
struct deferred_start {
  attempt_id id;
};
struct deferred_keep {
  attempt_id id;
};
struct deferred_run {
  attempt_id id;
};
struct deferred_reply {
  call_number call = 0;
  job_id job;
};
using deferred_action = std::variant<deferred_start, deferred_keep, deferred_run, deferred_reply>;

struct partition::state {
  state(partition_number home, process_id process, partition_options settings)
      : number(home), self(std::move(process)), options(settings) {}

  using actions = std::vector<partition_action>;

  // partition.cc
  void Handle(const partition_event& event);
  void On(const ownership_taken& event);
  void On(const ownership_lost& event);
  void On(const records_durable& event);
  void On(const log_availability& event);
  void On(const document_changed& event);
  void On(const partition_tick& event);
  void Do(std::uint64_t after, partition_effect effect);
  // Applies the record to the ledger and emits it; returns its sequence.
  std::uint64_t Emit(partition_record record);
  std::uint64_t EmitUnapplied(partition_record record);
  void Defer(std::uint64_t sequence, const deferred_action& action);
  void RunDeferred();
  void ReplyError(call_number call, errc code, std::string_view detail = {});
  void SetTimer(time_point at, timer_kind kind, const attempt_id& id);
  void FireTimers();
  void Fire(const timer& timer);
  void ExpireAfter(const job_id& id, duration retention);
  void Expire(const timer& timer);
  void DropUnanswerableCalls();
  void EmitSnapshotIfDue();
  const environment_document* Document(const environment_id& environment) const;
  retry_rule RetryRule(const environment_id& environment) const;
  duration Backoff(const retry_rule& rule, std::uint32_t attempt, const attempt_id& id) const;
  bool IsDurable(std::uint64_t sequence) const { return sequence <= durable; }

  // partition_replay.cc
  void Replay(const stored_batch& stored);
  void ReplayRecord(const partition_record& record);

  // partition_jobs.cc
  void On(const submit_requested& event);
  void On(const cancel_requested& event);
  void Accept(const submit_requested& event);
  void WantItem(const job_row& job, std::uint32_t index, time_point due, std::uint64_t after);
  void SendWant(const attempt_id& id);
  work_item MakeItem(const job_row& job, std::uint32_t index) const;
  void AfterClose(job_row& job, std::uint32_t index, std::uint64_t after);
  void AdvanceTask(job_row& job, std::uint32_t index, std::uint64_t after);
  void AdvanceGang(job_row& job, std::uint64_t after);
  void FinishJob(job_row& job, errc outcome);
  void CloseDown(job_row& job, std::uint64_t after);
  void ResumeJob(job_row& job);
  duration RetryAfter(const job_row& job, std::uint32_t index) const;
  void OnJobRoomRefused(const room_refused& event);

  // partition_attempts.cc
  void On(const room_reserved& event);
  void On(const room_refused& event);
  void On(const attempt_reported& event);
  void On(const attempt_lost& event);
  void On(const attempt_preempted& event);
  void OnJobRoom(const room_reserved& event);
  void ReturnPlaces(const room_reserved& event);
  void StartDeferred(const attempt_id& id, std::uint64_t sequence);
  void KeepDeferred(const attempt_id& id, std::uint64_t sequence);
  void OnRunning(job_row& job, live_attempt& live, const attempt_reported& event);
  void OnUnreachable(const job_row& job, live_attempt& live, const attempt_id& id);
  void Acknowledge(const attempt_reported& event);
  void StopOrphan(const attempt_reported& event);
  void CloseAttempt(job_row& job, const attempt_id& id, finish_kind outcome);
  // Ends an attempt that was not started at once, without AfterClose; asks the host otherwise.
  void StopAttempt(job_row& job, const attempt_id& id, std::uint64_t after);
  void EmitClosed(const attempt_id& id, finish_kind outcome);
  void ArmSilence(const job_row& job, live_attempt& live, const attempt_id& id);
  void SetResolve(live_attempt& live, const attempt_id& id, duration delay);
  void AskHost(const job_row& job, live_attempt& live, const attempt_id& id, std::uint64_t after);
  void Resolve(const timer& timer);
  void CheckSilence(const timer& timer);

  // partition_keys.cc
  void On(const keyed_request_arrived& event);
  void On(const request_answered& event);
  errc RefusalOf(const keyed_request_arrived& event) const;
  void OpenRequest(const keyed_request_arrived& event, key_row* row);
  void JoinRequest(live_request& live, const keyed_request_arrived& event);
  void AddCall(live_request& live, const keyed_request_arrived& event);
  void WantRequestRoom(live_request& live);
  void OnRequestRoom(live_request& live, const room_reserved& event);
  void OnRequestRoomRefused(live_request& live, const room_refused& event);
  void RunDeferredRequest(const attempt_id& id, std::uint64_t sequence);
  void SendRun(live_request& live, std::uint64_t after);
  void OnRequestFact(const attempt_id& id, attempt_fact fact, std::optional<std::string> answer);
  void OnRequestNever(live_request& live);
  void OnRequestUnreachable(live_request& live);
  void EndRequest(const job_id& id, errc outcome, std::string answer);
  // Ends a request that did not run and never will; a later call may run its key.
  void DropRequest(const job_id& id);
  void ExpireCalls(live_request& live);
  void OnRequestTimer(const timer& timer);
  void VoidRequest(live_request& live);
  void ResumeRequest(const key_row& row);
  void ReplyAll(live_request& live, errc code, std::string_view answer);
  live_request* FindRequest(const attempt_id& id);

  partition_number number;
  process_id self;
  partition_options options;

  // Durable state and its reader.
  partition_ledger ledger;
  std::optional<partition_ledger> frame;
  std::uint64_t read_epoch = 0;
  std::uint64_t read_sequence = 0;
  std::uint64_t records_since_snapshot = 0;

  // State of the owner.
  bool owner = false;
  std::uint64_t epoch = 0;
  std::uint64_t last_sequence = 0;
  std::uint64_t durable = 0;
  std::uint64_t next_number = 1;
  bool log_available = true;
  // Wall clock at `wall_at`.
  std::int64_t wall_ms = 0;
  time_point wall_at;
  time_point last_emit;
  time_point snapshot_due;
  std::uint64_t snapshot_records = 0;
  std::unordered_map<attempt_id, wanted_room> wanted;
  std::unordered_map<attempt_id, live_attempt> attempts;
  std::unordered_map<job_id, live_request> requests;
  std::unordered_map<std::string, job_id> requests_by_key;
  // Live requests whose key is not in the ledger.
  std::size_t unrecorded_keys = 0;
  // Accepted jobs whose record is not durable yet.
  std::unordered_map<job_id, std::uint64_t> accepting;
  std::unordered_map<job_id, time_point> expire_at;
  // By the sequence that each waits for.
  std::multimap<std::uint64_t, deferred_action> deferred;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
  std::map<environment_id, std::shared_ptr<const environment_document>> documents;

  // Time and output of the event in hand.
  time_point now;
  actions* out = nullptr;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SRC_PARTITION_STATE_H_
