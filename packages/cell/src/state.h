// State of the scheduler: jobs with their steps and tasks, hosts, runs and policy requests.
#ifndef SYCAMOREHINGE_CELL_SRC_STATE_H_
#define SYCAMOREHINGE_CELL_SRC_STATE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "host_lease.h"
#include "host_speed.h"
#include "sycamorehinge/cell/admission.h"
#include "sycamorehinge/cell/locality.h"
#include "sycamorehinge/cell/scheduler.h"
#include "tenants.h"

namespace sycamorehinge::cell {

// Index into state::hosts. Slots are never reused, so they stay valid for a whole term.
using host_slot = std::uint32_t;
inline constexpr host_slot kNoHost = 0xffffffff;
// Identifies a run within this process, unlike run_state::number, which hosts and the journal use.
using run_id = std::uint64_t;
inline constexpr run_id kNoRun = 0;

// Runs of a task are numbered from (term - 1) * kRunsPerTerm + 1 in each term, since a new owner
// does not know the last number that the previous owner used. A task that was started more often in
// one term takes numbers of the next ones; a new owner learns of them when a host refuses a number.
inline constexpr std::uint32_t kRunsPerTerm = 64;

enum class run_phase {
  // The start call was sent.
  kStarting,
  // The start call was not answered: the run may be active, or still become active.
  kUncertain,
  kRunning,
  kStopping,
};

// A run holds its resources on the host until the host reports its end or the lease expires.
struct run_state {
  task_ref task;
  std::uint32_t number = 0;
  host_slot host = kNoHost;
  resources size;
  bool long_running = false;
  // What the run takes of the quota of its tenant.
  tenant_index tenant = tenant_ledger::kNoTenant;
  resources quota_size;
  run_phase phase = run_phase::kStarting;
  time_point started;
  // Polls sent before this time do not show whether the run is active.
  time_point reports_valid_after = time_point::max();
  // Reported progress in percent.
  std::uint32_t percent = 0;
  time_point last_progress;
  // Progress that counts in the pace of the step, and its state at the last sample.
  task_pace pace;
  std::uint32_t sampled_percent = 0;
  time_point sampled_at;
  std::string checkpoint;
  std::string ticket;
  std::uint32_t start_attempts = 0;
  // Time to resend an unanswered start or stop.
  time_point next_retry = time_point::max();
  bool stop_answered = false;
  // The host, in its life known to the owner, has reported or acknowledged the run. Otherwise the
  // run may be in a later life.
  bool confirmed = false;

  // An earlier attempt of a repeated start may yet be carried out in a later life.
  bool IsOnlyInKnownLife() const { return confirmed && start_attempts <= 1; }
};

struct task_state {
  bool done = false;
  std::vector<std::uint32_t> failed_runs;
  std::uint32_t starts = 0;
  // The run that has not been closed yet; kNoRun if there is none.
  run_id active_run = kNoRun;
  // A host that has not been polled yet may run the task, or hold the end of a run that counts
  // against its attempts.
  bool maybe_running = false;
  std::string checkpoint;
  std::vector<host_slot> failed_on;

  bool HasFailed(std::uint32_t run) const {
    return std::find(failed_runs.begin(), failed_runs.end(), run) != failed_runs.end();
  }
};

// Answer of the policy service for one step on one host.
struct policy_verdict {
  bool known = false;
  bool approved = false;
  std::string ticket;
  time_point valid_until;
};

struct step_state {
  std::vector<task_state> tasks;
  std::uint32_t tasks_done = 0;
  std::uint32_t active_runs = 0;
  // Progress of all its runs together.
  task_pace pace;
  bool waiting = false;
  time_point ready_since;
  // A job whose step starts later is not expected to complete within the target of its queue.
  time_point latest_start = time_point::max();
  // Time since which tasks wait for room near their data or group, and for how long they expected
  // to wait then.
  time_point near_wait_since;
  duration near_wait_expected{};
  // The result of a job whose step starts later is of no use to the caller.
  time_point latest_useful_start = time_point::max();
  // Last time that the reason for the wait was logged.
  time_point wait_logged_at;
  // Indexed by host slot.
  std::vector<policy_verdict> verdicts;
  // Numbers of the open requests to the policy service.
  std::vector<std::uint64_t> advice_requests;
  time_point next_advice_at;
  // Unknown hosts are chosen for a request again from this time on.
  time_point next_host_choice_at;
  // Resources reserved while tickets for a gang are requested: host and number of tasks.
  std::vector<std::pair<host_slot, std::uint32_t>> reserved_capacity;
};

struct occurrence_state {
  std::vector<step_state> steps;
  std::uint32_t steps_done = 0;
};

struct job_entry {
  std::string queue;
  tenant_index tenant = tenant_ledger::kNoTenant;
  // Empty if the job has no tenant.
  std::string tenant_name;
  // Cached settings of the queue, and the configuration generation that they come from.
  const queue_settings* settings = nullptr;
  std::uint64_t settings_generation = 0;
  job_phase phase = job_phase::kQueued;
  std::int64_t accepted_ms = 0;
  std::uint64_t order = 0;
  job_spec spec;
  std::shared_ptr<const std::string> payload;
  std::map<std::uint32_t, occurrence_state> occurrences;
  std::uint32_t next_occurrence = 0;
  // Journal sequences of the accepted_record and of the newest progress_record.
  std::uint64_t accepted_sequence = 0;
  std::uint64_t phase_sequence = 0;
  std::int64_t ended_ms = 0;
  bool active = false;
  bool dirty = false;
  // A record of the job could not be read, so the results of its tasks are unknown.
  bool unreadable = false;

  bool Ended() const { return phase >= job_phase::kCompleted; }
  bool IsPeriodic() const { return spec.occurrences > 0; }
};

// Cancelling of a job that has not been submitted.
struct early_cancel {
  std::int64_t cancelled_ms = 0;
  // Journal sequence of its record.
  std::uint64_t sequence = 0;
  // Tenant that cancelled it; empty if there is none.
  std::string tenant;
};

// Start that got no answer.
struct unanswered_start {
  task_ref task;
  std::uint32_t run = 0;
  time_point sent;
};

struct host_state {
  host_entry entry;
  bool listed = false;
  // The journal has a host_record of it, or will once it holds the one with this sequence.
  bool journaled = false;
  std::uint64_t record_sequence = 0;
  // Has answered a poll in this term and since its last restart.
  bool polled = false;
  resources allocated;
  // Part of it that tasks hold that last until their job is cancelled.
  resources allocated_to_services;
  std::vector<run_id> runs;
  // They may yet be carried out, also if their runs are closed.
  std::vector<unanswered_start> unanswered_starts;
  // Number of reported runs that belong to no job. The host takes no tasks while there are any.
  std::size_t orphan_runs = 0;
  // Tenants of these runs.
  std::vector<tenant_index> orphan_tenants;

  // Highest end number processed here, and highest one whose records the journal holds.
  std::uint64_t processed_end = 0;
  std::uint64_t journaled_end = 0;
  // Highest end number that the host knows to be in the journal, and the one sent with the
  // open poll.
  std::uint64_t acknowledged_end = 0;
  std::uint64_t polled_acknowledged_end = 0;
  // The last answer did not list all ends, so a run that it does not mention may have ended.
  bool more_ended = false;
  // The last poll acknowledged nothing, since the host may have restarted.
  bool acknowledgement_withheld = false;
  // Journal sequence, 0 until known, and the highest end number that it covers.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unjournaled_ends;

  bool poll_open = false;
  bool poll_renews_lease = false;
  time_point poll_sent;
  time_point next_poll;
  std::uint32_t poll_failures = 0;
  time_point unreachable_since;
  // Time of the last call that its address refused, if it has not answered since.
  time_point refused_at = time_point::min();
  time_point restarted_at;
  // The list shows a later start time than the last answered poll, which was sent before this time.
  bool restart_listed = false;
  time_point restart_listed_at;

  host_lease lease;

  // Earliest time at which a draining host goes away; max() if that is not known.
  time_point leaves_at = time_point::max();

  time_point avoid_until;
  std::uint32_t consecutive_failures = 0;
  job_number last_failed_job = 0;
  host_speed speed;
  // Class of the speed at the start of the last pass.
  int speed_class = 0;
  // Step of the gang that the host is reserved for. Only steps of a more urgent queue than
  // `reserved_priority` may use it meanwhile.
  const step_state* reserved_for = nullptr;
  std::uint32_t reserved_priority = 0;
  // Thousandths of cores that steps with open requests to the policy service are expected to take.
  std::int64_t expected_cores = 0;

  bool HoldsRuns() const { return !runs.empty() || orphan_runs > 0; }
  resources Free() const { return entry.capacity - allocated; }
  // Resources that are free once all tasks have ended that do end.
  resources Reclaimable() const { return entry.capacity - allocated_to_services; }
};

// Sort key of waiting steps: priority, then order of acceptance.
struct waiting_key {
  std::uint32_t priority = 0;
  std::uint64_t order = 0;
  job_number job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
};

// Requirements of a step, as used by placement.
struct demand {
  const step_spec* spec = nullptr;
  const queue_settings* queue = nullptr;
  const step_state* step = nullptr;
  resources task_size;

  bool NeedsAdvice() const { return queue->advice.has_value(); }
};

// A host that fits members of a gang, in the order of preference.
struct gang_candidate {
  // Tasks failed there lately, or it is slow.
  bool suspect = false;
  int speed_class = 0;
  // Thousandths of cores left when it is full of members.
  std::int64_t left = 0;
  host_slot slot = kNoHost;
  std::uint32_t copies = 0;

  friend auto operator<=>(const gang_candidate&, const gang_candidate&) = default;
};

// Tasks of this size, of a queue of this service and priority, found no room in the present pass.
struct unplaced_size {
  std::string service;
  std::string label;
  std::uint32_t priority = 0;
  resources size;
};

struct advice_request_state {
  task_ref step;
  std::vector<host_slot> hosts;
  // Thousandths of cores that the step is expected to take on each host, and estimated service
  // time.
  std::vector<std::int64_t> expected_cores;
  duration cost{};
  // The step has reserved capacity on the hosts until the answer.
  bool reserves_capacity = false;
};

// Time by which all members of a gang must have started in this run. `index` is unused.
struct gang_deadline {
  time_point at;
  task_ref step;
  std::uint32_t run = 0;

  friend auto operator<=>(const gang_deadline&, const gang_deadline&) = default;
};

// Starts of tasks of one priority, weighted by an exponential decay.
struct start_rate {
  double cores_milli = 0;
  double tasks = 0;
};

// Steps of a queue that started, and the times for which refused callers of it were told to return.
struct queue_rate {
  // Steps per second, weighted by an exponential decay.
  double starts = 0;
  time_point updated;
  return_schedule returns;

  void Decay(time_point now);
  void CountStart(time_point now);
};

// Queues with these in common compete for the same hosts and are served alike.
struct service_priority {
  std::string service;
  std::uint32_t priority = 0;

  friend auto operator<=>(const service_priority&, const service_priority&) = default;
};

// Capacity that steps of one service and priority leave free for more urgent ones of the service.
struct headroom {
  // Thousandths of cores that more urgent queues are expected to need soon.
  double needed = 0;
  // Thousandths of cores that more urgent gangs wait for.
  double needed_by_gangs = 0;
  // Thousandths of cores that are free in pieces of the mean size of their tasks, that are free at
  // all, and of all usable hosts of the service.
  double available = 0;
  double free = 0;
  double capacity = 0;
};

// A host on which the policy service has given no verdict for a step.
struct unknown_host {
  // Tasks of the step that fit there now, and on the empty host.
  std::uint32_t copies = 0;
  int speed_class = 0;
  std::int64_t free = 0;
  host_slot slot = kNoHost;
  std::uint32_t copies_when_empty = 0;
};

// How many members of a gang are expected to fit on approved hosts now, on the same hosts when they
// are empty, and now on hosts without a verdict.
struct gang_outlook {
  double fit = 0;
  double fit_when_empty = 0;
  double fit_on_unknown = 0;
  std::vector<unknown_host> unknown;
};

// Moving average of the fraction of hosts that the policy service approves, for one queue.
struct approval_rate {
  double average = 0.5;
};

// Resources that a task is charged. A task with `fills` set is charged no cores, since it uses only
// processor time that others leave.
resources ChargedResources(const step_spec& spec);
// Returns how many tasks of this size fit into the free resources.
std::uint32_t CopiesThatFit(const resources& free, const resources& size);
bool HasLabel(const host_state& host, const std::string& label);
// Log text and metric label.
std::string_view ToString(call_outcome outcome);
// Returns whether a call with this outcome may have arrived at its host.
constexpr bool MayHaveArrived(call_outcome outcome) {
  return outcome != call_outcome::kUnreachable && outcome != call_outcome::kConnectionRefused;
}

struct scheduler::state {
  explicit state(scheduler_options given)
      : options(given),
        rules{given.lease, given.max_lease, given.max_call_delay, given.clock_drift} {}

  // --- jobs (jobs.cc) ---
  void SetConfig(std::shared_ptr<const fleet_config> next);
  void Load(journal_record record);
  void Submit(call_number call, job_number job, std::string_view queue, std::string_view tenant,
              job_spec spec, std::int64_t wall_ms);
  void Cancel(call_number call, job_number job, std::string_view tenant, std::int64_t wall_ms);
  void State(call_number call, job_number job, std::string_view tenant);
  void Pending(call_number call, std::string_view queue);
  std::vector<std::uint64_t> OpenSubmissions() const;
  void RefuseSubmissions(std::span<const std::uint64_t> records, duration retry_after);
  void SetPhase(job_entry& job, job_phase phase);
  void Activate(job_number number, job_entry& job);
  void OpenOccurrence(job_number number, job_entry& job, std::uint32_t occurrence);
  bool FitsJournal(const accepted_record& record) const;
  bool FitsMemory(const accepted_record& record) const;
  void UpdateJobBytes();
  bool QuotaCouldAllow(tenant_index tenant, const job_spec& spec) const;
  bool MayOpenOccurrence(const job_entry& job) const;
  void OpenDueOccurrences(std::int64_t wall);
  void EnqueueReadySteps(job_number number, job_entry& job, std::uint32_t occurrence);
  bool StepReady(const job_entry& job, const occurrence_state& occurrence,
                 std::uint32_t step) const;
  void FinishJob(job_number number, job_entry& job, job_phase phase, std::string_view cause);
  void ReleaseStepResources(const task_ref& ref, job_entry& job);
  void CompleteStepIfDone(const task_ref& ref, job_entry& job);
  void RemoveExpiredJobs(std::int64_t wall);
  std::int64_t DueMs(const job_entry& job, std::uint32_t occurrence) const;

  // --- targets and admission (targets.cc) ---
  answer_call Admit(call_number call, const accepted_record& record);
  queue_load LoadOf(std::string_view queue, tenant_index tenant);
  void SetLatestStarts(job_entry& job, std::uint32_t occurrence, std::uint32_t index);

  // --- cancelled jobs that are not known (cancels.cc) ---
  void RestoreCancel(const cancelled_record& record);
  void CancelUnknown(call_number call, job_number number, std::string_view tenant);
  bool SubmitCancelled(call_number call, job_number number, std::string_view queue,
                       std::string_view tenant);
  void RemoveExpiredCancels();

  // --- journal and answers (journal.cc) ---
  std::uint64_t Write(journal_record record);
  void WriteProgress(job_number number, job_entry& job);
  void MarkDirty(job_number number, job_entry& job);
  void WriteDirtyJobs();
  bool AdvanceJournaledEnd(host_state& host);
  void Answer(const answer_call& answer, std::uint64_t after);
  void OnDurable(std::uint64_t upto);
  void LogDecision(decision_kind kind, const task_ref& task, std::uint32_t run,
                   std::string_view host, std::string_view cause, duration age = {});
  void LogRefusal(job_number job, std::string_view tenant, errc code);

  // --- hosts (hosts.cc) ---
  host_slot SlotOf(const host_id& host);
  host_state* FindHost(const host_id& host);
  void SetHost(const host_entry& entry);
  void RemoveHost(const host_id& host);
  void OnStartTime(host_state& host, std::int64_t started_ms);
  void OnHostRestart(host_state& host);
  void SuspectRestart(host_state& host);
  bool MayAcknowledgeEnds(const host_state& host) const;
  bool IsUsable(const host_state& host) const;
  void TickHost(host_slot slot);
  bool NeedsPoll(const host_state& host) const;
  void SendPoll(host_slot slot);
  void OnPollResult(host_slot slot, time_point sent, call_outcome outcome,
                    const host_report* answer);
  void OnPollFailure(host_slot slot, time_point sent, call_outcome outcome);
  void ProcessRunningReports(host_slot slot, time_point sent, const host_report& answer);
  void AdoptRun(host_slot slot, const run_report& report);
  void StopOrphan(host_slot slot, const run_report& report);
  void StopUnansweredStarts(host_slot slot);
  void WriteHostRecord(host_state& host);
  void ForgetUnusedHost(host_state& host);
  void RemoveHostRecord(host_state& host);
  void AvoidHost(host_state& host, duration time, std::string_view cause);
  void UpdateLeaveTime(host_state& host) const;
  void EvacuateLeaving(host_slot slot);
  void CheckRecovery();

  // --- leases (leases.cc) ---
  void BeginLeases(std::string_view address);
  void WriteGranters();
  void FenceEarlierOwners();
  void OnOwnerFenced(std::string_view address);
  void OnOwnershipConfirmed(time_point at);
  bool TermRecorded() const { return owner && durable >= term_sequence; }
  bool MayGrantLeases() const;
  void CheckGrants();
  std::int64_t ExtendLease(host_state& host);
  void OnRenewalResult(host_state& host, time_point sent, call_outcome outcome);
  time_point LastEarlierGrant() const;
  time_point EarlierLeaseExpiry(const host_state& host) const;
  void CloseExpiredRuns(host_slot slot);

  // --- runs (runs.cc) ---
  run_id OpenRun(const task_ref& ref, const job_entry& job, host_slot slot, std::uint32_t number,
                 run_phase phase);
  void CloseRun(run_id id, std::string_view cause);
  void WaitForSuperfluousRun(const task_ref& ref, step_state& step);
  void SendStart(run_id id);
  void SendStop(run_id id, std::string_view cause);
  void OnStart(host_slot slot, const task_ref& ref, std::uint32_t number, time_point sent,
               const start_report& answer);
  void OnStop(host_slot slot, const task_ref& ref, std::uint32_t number, call_outcome outcome);
  void OnEnd(host_slot slot, const end_report& end);
  void OnEndOfTask(host_slot slot, const end_report& end, job_entry& job, step_state& step);
  bool AttemptsExhausted(job_entry& job, const task_state& task) const;
  bool RecordTaskFailure(host_slot slot, const end_report& end, job_entry& job, step_state& step);
  void RecordHostFailure(host_slot slot, job_number job);
  void MarkDone(const task_ref& ref, const step_spec& spec, step_state& step);
  void ScheduleRetry(run_id id, time_point when);
  void ResolveUncertain(run_id id, time_point poll_sent);
  void TickRuns();
  void CheckStall(run_id id);
  void SamplePace(run_id id, std::uint32_t percent);
  void ConfirmRun(run_id id);
  void MarkUncertain(run_id id);
  void StartUnanswered(run_id id);
  void KeepUnansweredStart(host_state& host, const unanswered_start& start) const;
  void StartRefused(run_id id, time_point sent, call_outcome outcome);
  void SkipRunNumbers(const task_ref& ref);
  run_id FindRun(host_slot slot, const task_ref& ref, std::uint32_t number) const;

  // --- quotas (quotas.cc) ---
  void UpdateTenants();
  void UpdateUncertainUsage();
  void UpdateEarlierUsage();
  resources LargestCapacity() const;
  std::vector<tenant_usage> TenantUsage(std::size_t most) const;
  bool QuotaAllows(const demand& wanted, const job_entry& job, std::uint32_t count);
  void KeepQuotaForGang(const demand& wanted, const job_entry& job);
  bool IsQuotaClosed(const job_entry& job) const;

  // --- gangs (gangs.cc) ---
  duration GangStartLimit() const { return options.gang_timeout / 2; }
  void ExpectGang(const task_ref& ref, std::uint32_t run, time_point deadline);
  bool HasRun(const task_ref& ref, std::uint32_t number);
  void CheckGang(const task_ref& ref, std::string_view cause);
  void TickGangs();
  void AbortGang(const task_ref& ref, std::string_view cause);
  void LogGangStarted(const task_ref& ref);
  std::string MemberStates(const step_state& step) const;

  // --- placement (placement.cc) ---
  void Pass();
  std::vector<std::size_t> ConsideredSteps(std::size_t count);
  void UpdateHosts();
  int SpeedRank(const demand& wanted, const host_state& host) const;
  void LogWait(const task_ref& ref, job_entry& job, step_state& step);
  std::string WaitReason(const task_ref& ref, job_entry& job, const step_state& step) const;
  void TryPlace(const waiting_key& key);
  void PlaceTasks(const task_ref& ref, job_entry& job, step_state& step);
  void PlaceGang(const task_ref& ref, job_entry& job, step_state& step);
  std::vector<std::uint32_t> WaitingTasks(const step_state& step) const;
  demand DemandOf(const task_ref& ref, job_entry& job, const step_state& step) const;
  bool MightFit(const demand& wanted) const;
  void NoteUnplaced(const demand& wanted);
  static bool IsEligible(const demand& wanted, const host_state& host);
  std::uint32_t FitCount(const demand& wanted, host_slot slot,
                         bool include_reserved_capacity) const;
  std::uint32_t UnclaimedCopies(const demand& wanted, host_slot slot) const;
  bool TicketHolds(const step_state& step, host_slot slot) const;
  bool IsFar(const demand& wanted, host_slot slot) const;
  host_slot BestHost(const demand& wanted, const task_state& task) const;
  std::vector<gang_candidate> GangCandidates(const demand& wanted, bool need_ticket) const;
  std::vector<std::pair<host_slot, std::uint32_t>> ChooseGangHosts(const demand& wanted,
                                                                   bool need_ticket) const;
  void StartTask(const task_ref& ref, job_entry& job, step_state& step, host_slot slot,
                 std::uint32_t number);
  void ReserveCapacity(step_state& step, const step_spec& spec,
                       const std::vector<std::pair<host_slot, std::uint32_t>>& chosen);
  void ReleaseReservedCapacity(step_state& step, const step_spec& spec);
  void ReserveHosts(const demand& wanted);
  bool ReservedHostsSuffice(const demand& wanted) const;
  void ReleaseHostsOfOtherServices(const demand& wanted);
  void ReleaseReservedHosts(const step_state& step);

  // --- room near data or group (near_room.cc) ---
  time_point ExpectedEnd(const run_state& run) const;
  void AddExpectedRoom(const demand& wanted, host_slot slot, time_point until,
                       std::vector<time_point>& times) const;
  std::vector<time_point> ExpectedRoom(const demand& wanted, std::string_view rack) const;
  duration ExtraTime(const step_spec& spec) const;
  bool PaysToWait(const demand& wanted, step_state& step, time_point at);
  std::uint32_t TasksThatWaitForRack(const demand& wanted, step_state& step, std::uint32_t tasks);
  bool GangWaitsForRack(const demand& wanted, step_state& step);
  bool IsNear(const step_spec& spec,
              std::span<const std::pair<host_slot, std::uint32_t>> chosen) const;

  // --- headroom (headroom.cc) ---
  bool LeavesHeadroom(const demand& wanted) const;
  void UpdateHeadroom();
  std::map<service_priority, double> WaitingGangCores();
  void DecayStartRates();

  // --- advice (advice.cc) ---
  void RequestAdviceForTasks(const task_ref& ref, const demand& wanted, step_state& step,
                             std::uint32_t tasks);
  void RequestAdviceForGang(const task_ref& ref, const demand& wanted, step_state& step);
  void RequestAdviceForUnknownHosts(const task_ref& ref, const demand& wanted, step_state& step);
  gang_outlook OutlookOf(const demand& wanted, double rate);
  std::vector<host_slot> ChooseUnknownHosts(const demand& wanted);
  bool RequestAdvice(const task_ref& ref, const demand& wanted, step_state& step,
                     std::span<const host_slot> slots, std::uint32_t tasks);
  bool MayRequestAdvice(const demand& wanted, duration cost) const;
  std::optional<advice_request_state> RemoveAdviceRequest(std::uint64_t request);
  void OnAdvice(std::uint64_t request, bool answered,
                std::span<const std::pair<host_id, std::string>> approved);

  // --- lookups ---
  job_entry* FindJob(job_number number);
  const queue_settings* QueueOf(job_entry& job) const;
  step_state* FindStep(const task_ref& ref);
  const step_spec& SpecOf(const job_entry& job, std::uint32_t step) const {
    return job.spec.steps[step];
  }
  std::uint32_t PriorityOf(job_entry& job) const;
  void Dequeue(const waiting_key& key, step_state& step) {
    waiting.erase(key);
    step.waiting = false;
  }
  waiting_key KeyOf(const task_ref& ref, job_entry& job) const;

  scheduler_options options;
  lease_rules rules;
  std::shared_ptr<const fleet_config> config = std::make_shared<fleet_config>();
  std::uint64_t config_generation = 1;
  std::uint64_t loaded_term = 0;
  std::vector<std::string> loaded_granters;
  std::uint64_t term = 0;
  std::uint64_t token = 0;
  // Sequence of the term_record, which follows the first lease_granters_record. No task starts and
  // no lease is renewed before it is durable, since the next owner derives its run numbers and the
  // time by which all leases have expired from them.
  std::uint64_t term_sequence = 0;
  bool owner = false;
  bool may_start = true;
  bool recovering = false;
  bool pass_needed = false;
  time_point next_pass;
  time_point next_full_pass;
  // What found no room in the present pass, and so will not find any later in it.
  std::vector<unplaced_size> unplaced;
  // Position of the next step whose turn it is, while not all steps are considered in a pass.
  std::size_t next_turn = 0;
  // Per-resource maximum of the free resources over all usable hosts at the start of the pass.
  resources max_free;
  time_point now;
  std::int64_t wall_ms = 0;
  time_point term_began;

  std::string own_address;
  // Earlier owners that may still renew leases, and the time by which all others had stopped.
  std::vector<std::string> earlier_owners;
  time_point earlier_owners_stopped_at;
  time_point next_fence_at;
  // Time of the last confirmation that no newer owner had written to the journal.
  time_point confirmed_at;
  // Result of the last CheckGrants().
  bool grants_leases = false;

  tenant_ledger tenants;
  // Tenants whose quota is kept for a step that has waited for it, in the present pass.
  std::vector<bool> closed_quotas;
  // While recovering: resources of the tasks of each tenant that an earlier owner may have started,
  // and the tenants whose ended jobs may still have runs, of unknown size.
  std::vector<resources> earlier_usage;
  std::vector<bool> earlier_usage_unknown;
  // Cores of those of these tasks that fill hosts.
  std::vector<std::int64_t> earlier_filling;
  time_point next_earlier_usage_at;

  std::unordered_map<job_number, job_entry> jobs;
  // Approximate memory of the jobs that have not ended, as of the last count.
  std::size_t job_bytes = 0;
  time_point next_job_bytes_at;
  std::uint64_t next_order = 1;
  std::vector<job_number> dirty_jobs;
  // End time in Unix milliseconds and job, oldest first.
  std::deque<std::pair<std::int64_t, job_number>> ended_jobs;
  std::unordered_map<job_number, early_cancel> early_cancels;
  // Time of the cancelling in Unix milliseconds, and job.
  std::set<std::pair<std::int64_t, job_number>> early_cancel_times;
  // Due time of the next occurrence in Unix milliseconds, and job. A job with too many open tasks
  // is missing until one of its occurrences ends.
  std::set<std::pair<std::int64_t, job_number>> periodic_jobs;
  std::set<waiting_key> waiting;
  // Number of jobs of each queue of which no task has started.
  std::unordered_map<std::string, std::uint64_t> queued_jobs;

  std::vector<host_state> hosts;
  std::unordered_map<host_id, host_slot> host_slots;
  std::unordered_map<run_id, run_state> runs;
  // Adopted runs of tasks that have another, active run. They are being stopped.
  std::vector<run_id> superfluous_runs;
  // Times to resend calls. An entry counts only while its run has the same `next_retry`.
  std::set<std::pair<time_point, run_id>> retries;
  std::set<gang_deadline> gang_deadlines;
  // Start calls without an answer.
  std::size_t open_starts = 0;
  run_id next_run = 1;

  std::unordered_map<std::uint64_t, advice_request_state> advice_requests;
  std::uint64_t next_advice_request = 1;
  // Hosts examined to choose those that gangs ask about.
  std::uint64_t examined_hosts = 0;
  std::size_t policy_clients = 1;
  // Total service time of the open advice requests, indexed by whether they are long.
  std::array<duration, 2> pending_advice_time{};
  std::unordered_map<std::string, approval_rate> approval;
  std::map<service_priority, start_rate> start_rates;
  time_point start_rates_updated;
  std::map<service_priority, headroom> headrooms;
  std::unordered_map<std::string, queue_rate> queue_rates;

  // Steps that waited for room near their data or group, and tasks that started away from it.
  std::uint64_t near_waits = 0;
  std::uint64_t far_starts = 0;

  std::uint64_t sequence = 0;
  std::uint64_t durable = 0;
  // Sequence of the newest host_record.
  std::uint64_t host_record_sequence = 0;
  // Answers sent once the journal holds the record with this sequence.
  std::deque<std::pair<std::uint64_t, answer_call>> deferred_answers;
  // Accepted jobs that start once the journal holds the record with this sequence.
  std::deque<std::pair<std::uint64_t, job_number>> deferred_jobs;
  std::vector<action> actions;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SRC_STATE_H_
