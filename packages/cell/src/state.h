// The tables behind the scheduler: jobs with their steps and tasks, hosts, and runs.
#ifndef SYCAMOREHINGE_CELL_SRC_STATE_H_
#define SYCAMOREHINGE_CELL_SRC_STATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/cell/scheduler.h"

namespace sycamorehinge::cell {

using host_slot = std::uint32_t;
inline constexpr host_slot kNoHost = 0xffffffff;
using run_number = std::uint64_t;
inline constexpr run_number kNoRun = 0;

// Runs of one term are numbered from term * kRunsPerTerm + 1: a new owner does not know how far
// the one before it came.
inline constexpr std::uint32_t kRunsPerTerm = 64;

enum class run_phase {
  // The start was sent.
  kStarting,
  // The start has no answer: the run may be there, or come later.
  kUncertain,
  kRunning,
  kStopping,
};

// A run holds its room on the host until its end is listed or the host's lease is over.
struct run_state {
  task_ref task;
  std::uint32_t number = 0;
  host_slot host = kNoHost;
  resources size;
  run_phase phase = run_phase::kStarting;
  time_point started;
  // Looks sent before this time say nothing about the run.
  time_point settled = time_point::max();
  std::uint32_t percent = 0;
  time_point progressed;
  std::string saved;
  std::string ticket;
  std::uint32_t tries = 0;
  // Next try of an unanswered start or stop.
  time_point next_try = time_point::max();
  bool stop_answered = false;
  // The host has had the run.
  bool confirmed = false;
};

struct task_state {
  bool done = false;
  std::vector<std::uint32_t> failed_runs;
  std::uint32_t starts = 0;
  run_number open = kNoRun;
  // An earlier owner may have started it on a host that was not looked at yet.
  bool unknown = false;
  std::string saved;
  std::vector<host_slot> failed_on;

  bool HasFailed(std::uint32_t run) const {
    return std::find(failed_runs.begin(), failed_runs.end(), run) != failed_runs.end();
  }
};

struct host_verdict {
  bool known = false;
  bool approved = false;
  std::string ticket;
  time_point valid_until;
};

struct step_state {
  std::vector<task_state> tasks;
  std::uint32_t done = 0;
  std::uint32_t open = 0;
  bool waiting = false;
  time_point ready_since;
  // Last time that the log was told why it waits.
  time_point explained;
  // By host slot.
  std::vector<host_verdict> verdicts;
  std::uint64_t question = 0;
  time_point ask_again;
  // Room kept while tickets for a gang are asked for: host and number of tasks.
  std::vector<std::pair<host_slot, std::uint32_t>> reserved;
};

struct occurrence_state {
  std::vector<step_state> steps;
  std::uint32_t steps_done = 0;
};

struct job_entry {
  std::string queue;
  // The queue's settings, and the number of the configuration that they were looked up in.
  const queue_settings* settings = nullptr;
  std::uint64_t settings_of = 0;
  job_phase phase = job_phase::kQueued;
  std::int64_t accepted_ms = 0;
  std::uint64_t order = 0;
  job_spec spec;
  std::shared_ptr<const std::string> payload;
  std::map<std::uint32_t, occurrence_state> occurrences;
  std::uint32_t next_occurrence = 0;
  // Journal sequence of the acceptance, and of the newest phase.
  std::uint64_t accepted_sequence = 0;
  std::uint64_t phase_sequence = 0;
  std::int64_t ended_ms = 0;
  bool active = false;
  bool dirty = false;

  bool Ended() const { return phase >= job_phase::kCompleted; }
  bool Timed() const { return spec.occurrences > 0; }
};

struct host_state {
  host_entry entry;
  bool listed = false;
  bool journaled = false;
  // Looked at in this term and this life.
  bool looked = false;
  resources taken;
  std::vector<run_number> runs;
  // Runs that no job explains; the host takes no work while it has some.
  std::size_t foreign = 0;

  // Ends processed here, and those of them that are in the journal.
  std::uint64_t processed = 0;
  std::uint64_t acknowledged = 0;
  // Ends that the host knows to be in the journal.
  std::uint64_t told = 0;
  std::uint64_t telling = 0;
  // Last end of a lease that was sent, on the host's clock.
  std::int64_t deadline_ms = 0;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> unacknowledged;

  bool look_open = false;
  time_point look_sent;
  time_point next_look;
  std::uint32_t look_failures = 0;
  time_point silent_since;
  time_point restarted_at;

  // The host's clock at a moment of ours; zero clock if unknown.
  std::int64_t clock_ms = 0;
  time_point clock_read;
  // No task runs on the host after this time without a new lease.
  time_point lease_over;

  time_point avoid_until;
  std::uint32_t failures_in_row = 0;
  job_number last_failed_job = 0;
  // Step of a gang that the host is kept free for.
  const step_state* kept_for = nullptr;
  std::uint32_t kept_priority = 0;

  bool HasClock() const { return clock_ms != 0; }
  resources Free() const { return entry.capacity - taken; }
};

// Order in which waiting steps are considered.
struct waiting_key {
  std::uint32_t priority = 0;
  std::uint64_t order = 0;
  job_number job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
};

// What a step wants, as placement sees it.
struct demand {
  const step_spec* spec = nullptr;
  const queue_settings* queue = nullptr;
  const step_state* step = nullptr;
  resources room;

  bool Advised() const { return queue->advice.has_value(); }
};

struct question_state {
  task_ref step;
  std::vector<host_slot> hosts;
  // Cores of the tasks that it is for, and time that the service needs.
  std::int64_t cores = 0;
  duration cost{};
};

// Share of hosts that the policy service approved lately, for one queue.
struct approval_rate {
  double value = 0.5;
};

// Room that a task takes: what fills uses only processor time that others leave.
resources RoomOf(const step_spec& spec);
bool HasLabel(const host_state& host, const std::string& label);

struct scheduler::state {
  explicit state(scheduler_options given) : options(given) {}

  // --- jobs (jobs.cc) ---
  void SetConfig(std::shared_ptr<const fleet_config> next);
  void Load(journal_record record);
  void Submit(call_number call, job_number job, std::string_view queue, job_spec spec,
              std::int64_t wall_ms);
  void Cancel(call_number call, job_number job, std::int64_t wall_ms);
  void State(call_number call, job_number job);
  void Pending(call_number call, std::string_view queue);
  void Activate(job_number number, job_entry& job);
  void OpenOccurrence(job_number number, job_entry& job, std::uint32_t occurrence);
  void OpenDueOccurrences(std::int64_t wall);
  void EnqueueReadySteps(job_number number, job_entry& job, std::uint32_t occurrence);
  bool StepReady(const job_entry& job, const occurrence_state& occurrence,
                 std::uint32_t step) const;
  void FinishJob(job_number number, job_entry& job, job_phase phase, std::string_view cause);
  void CloseStep(const task_ref& ref, job_entry& job);
  void StepMayBeDone(const task_ref& ref, job_entry& job);
  void ForgetOldJobs(std::int64_t wall);
  std::int64_t DueMs(const job_entry& job, std::uint32_t occurrence) const;

  // --- journal and answers (journal.cc) ---
  std::uint64_t Write(journal_record record);
  void WriteProgress(job_number number, job_entry& job);
  void MarkDirty(job_number number, job_entry& job);
  void WriteDirtyJobs();
  bool ReleaseEnds(host_state& host);
  void Answer(const answer_call& answer, std::uint64_t after);
  void Durable(std::uint64_t upto);
  void Note(decision_kind kind, const task_ref& task, std::uint32_t run, std::string_view host,
            std::string_view cause, duration age = {});

  // --- hosts (hosts.cc) ---
  host_slot SlotOf(const host_id& host);
  host_state* FindHost(const host_id& host);
  void SetHost(const host_entry& entry);
  void RemoveHost(const host_id& host);
  void Restarted(host_state& host, std::int64_t born);
  bool Usable(const host_state& host) const;
  void TickHost(host_slot slot);
  bool WantsLook(const host_state& host) const;
  void SendLook(host_slot slot);
  std::int64_t Deadline(host_state& host);
  void OnLook(host_slot slot, time_point sent, call_outcome outcome, const host_look* look);
  void LookFailed(host_slot slot, call_outcome outcome);
  void ReadClock(host_state& host, std::int64_t clock_ms);
  void ReadRunning(host_slot slot, time_point sent, const host_look& look);
  void AdoptRun(host_slot slot, const run_report& report);
  void StopForeign(host_slot slot, const run_report& report);
  time_point EarlierLeasesOver() const;
  void DropLapsedRuns(host_slot slot);
  void ForgetHost(host_state& host);
  void Avoid(host_state& host, duration time, std::string_view cause);
  void CheckRecovery();

  // --- runs (runs.cc) ---
  run_number OpenRun(const task_ref& ref, host_slot slot, const resources& size,
                     std::uint32_t number, run_phase phase);
  void CloseRun(run_number id, std::string_view cause);
  void SendStart(run_number id);
  void SendStop(run_number id, std::string_view cause);
  void OnStart(host_slot slot, const task_ref& ref, std::uint32_t number, call_outcome outcome);
  void OnStop(host_slot slot, const task_ref& ref, std::uint32_t number, call_outcome outcome);
  void OnEnd(host_slot slot, const end_report& end);
  void OnEndOfTask(host_slot slot, const end_report& end, job_entry& job, step_state& step);
  bool OutOfAttempts(job_entry& job, const task_state& task) const;
  bool CountFailure(host_slot slot, const end_report& end, job_entry& job, step_state& step);
  void BlameHost(host_slot slot, job_number job);
  void MarkDone(const task_ref& ref, const step_spec& spec, step_state& step);
  void AbortGang(const task_ref& ref, std::string_view cause);
  void ResolveUncertain(run_number id, time_point look_sent);
  void TickRuns();
  void CheckStall(run_number id);
  void Settle(run_number id);
  void Doubt(run_number id);
  void StartUnanswered(run_number id);
  void StartRefused(run_number id, call_outcome outcome);
  run_number FindRun(host_slot slot, const task_ref& ref, std::uint32_t number) const;

  // --- placement (placement.cc) ---
  void Pass();
  void MeasureRoom();
  void ExplainWait(const task_ref& ref, job_entry& job, step_state& step);
  std::string_view WhyWaiting(const task_ref& ref, job_entry& job, const step_state& step) const;
  void TryPlace(const waiting_key& key);
  void PlaceTasks(const task_ref& ref, job_entry& job, step_state& step);
  void PlaceGang(const task_ref& ref, job_entry& job, step_state& step);
  std::vector<std::uint32_t> WaitingTasks(const step_state& step) const;
  demand DemandOf(const task_ref& ref, job_entry& job, const step_state& step) const;
  bool MightFit(const demand& wanted) const;
  std::uint32_t FitCount(const demand& wanted, host_slot slot, bool with_reserved) const;
  bool TicketHolds(const step_state& step, host_slot slot) const;
  host_slot BestHost(const demand& wanted, const task_state& task) const;
  std::vector<std::pair<host_slot, std::uint32_t>> ChooseGangHosts(const demand& wanted,
                                                                   bool need_ticket) const;
  void StartTask(const task_ref& ref, job_entry& job, step_state& step, host_slot slot,
                 std::uint32_t number);
  void Reserve(step_state& step, const step_spec& spec,
               const std::vector<std::pair<host_slot, std::uint32_t>>& chosen);
  void Unreserve(step_state& step, const step_spec& spec);
  void KeepHostsFor(const demand& wanted);
  void ReleaseKept(const step_state& step);

  // --- advice (advice.cc) ---
  void AskForTasks(const task_ref& ref, const demand& wanted, step_state& step,
                   std::uint32_t tasks);
  void AskForGang(const task_ref& ref, const demand& wanted, step_state& step);
  void AskUnknown(const task_ref& ref, const demand& wanted, step_state& step);
  bool Ask(const task_ref& ref, const demand& wanted, step_state& step,
           std::vector<host_slot> slots, std::uint32_t tasks);
  bool MayAsk(const demand& wanted, std::uint32_t tasks, duration cost) const;
  std::optional<question_state> TakeQuestion(std::uint64_t question);
  void OnAdvice(std::uint64_t question, bool answered,
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
  std::shared_ptr<const fleet_config> config = std::make_shared<fleet_config>();
  std::uint64_t config_changes = 1;
  std::uint64_t loaded_term = 0;
  std::uint64_t term = 0;
  std::uint64_t token = 0;
  // Nothing starts before the journal has the term: the next owner counts on from it.
  std::uint64_t term_sequence = 0;
  bool owner = false;
  bool may_start = true;
  bool recovering = false;
  bool pass_needed = false;
  time_point next_pass;
  time_point next_full_pass;
  // Room of usable hosts at the start of the pass, and the most of it on one host.
  std::int64_t free_cores = 0;
  resources most_free;
  time_point now;
  std::int64_t wall_ms = 0;
  time_point term_began;

  std::unordered_map<job_number, job_entry> jobs;
  std::uint64_t next_order = 1;
  std::vector<job_number> dirty_jobs;
  // Ended jobs, oldest first.
  std::deque<std::pair<std::int64_t, job_number>> ended_jobs;
  std::set<std::pair<std::int64_t, job_number>> timed_jobs;
  std::set<waiting_key> waiting;

  std::vector<host_state> hosts;
  std::unordered_map<host_id, host_slot> host_slots;
  std::unordered_map<run_number, run_state> runs;
  run_number next_run = 1;

  std::unordered_map<std::uint64_t, question_state> questions;
  std::uint64_t next_question = 1;
  std::size_t advice_machines = 1;
  // Sums over the open questions.
  std::int64_t asked_cores = 0;
  duration asked_cost{};
  std::unordered_map<std::string, approval_rate> approval;

  std::uint64_t sequence = 0;
  std::uint64_t durable = 0;
  std::deque<std::pair<std::uint64_t, answer_call>> gated_answers;
  // Accepted jobs that start once their record is in the journal.
  std::deque<std::pair<std::uint64_t, job_number>> gated_jobs;
  std::vector<action> actions;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SRC_STATE_H_
