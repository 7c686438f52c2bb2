// The scheduler of one cell: places the tasks of jobs on hosts.
//
// It performs no I/O and reads no clock: time, answers and configuration are passed in, and the
// resulting actions are collected with TakeActions. A new owner loads the journal, calls BeginTerm
// and polls every host under its fencing token before it relies on the state of runs that earlier
// owners started.
#ifndef SYCAMOREHINGE_CELL_SCHEDULER_H_
#define SYCAMOREHINGE_CELL_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/cell/actions.h"
#include "sycamorehinge/cell/fleet_config.h"
#include "sycamorehinge/cell/host.h"
#include "sycamorehinge/cell/records.h"
#include "sycamorehinge/cell/work.h"

namespace sycamorehinge::cell {

struct scheduler_options {
  // Lease that each poll and each start grants to all tasks of the host.
  duration lease = std::chrono::seconds(5);
  // Time after the last confirmation of its ownership for which an owner renews leases and starts
  // tasks. A later owner relies on it, so all processes of a cell must use the same value. Running
  // work survives an outage of the store that is shorter than this and a lease together.
  duration grant_period = std::chrono::seconds(4);
  // Hosts cap every requested lease at this time.
  duration max_lease = std::chrono::seconds(10);
  // A call to a host that gets no answer is carried out no later than this after it was sent, also
  // if the host has restarted meanwhile.
  duration max_call_delay = std::chrono::seconds(12);
  // Fraction by which the clock of a host may run slow.
  double clock_drift = 0.02;
  // Maximum time that a host delays its answer to a poll until a task ends.
  duration max_poll_hold = std::chrono::milliseconds(1000);
  // Minimum time between the answer to a poll and the next poll, so that one poll returns several
  // ends.
  duration min_poll_interval = std::chrono::milliseconds(60);
  // Interval between polls of a host that answers at once: its last ends are not in the journal yet
  // and are reported again, or the polls renew no lease.
  duration undelayed_poll_interval = std::chrono::milliseconds(300);
  // Delay before an unreachable host is polled again. It grows by this amount with each failure, up
  // to `max_poll_retry_delay`.
  duration poll_retry_delay = std::chrono::milliseconds(200);
  duration max_poll_retry_delay = std::chrono::milliseconds(1000);
  // Timeout of a stop call. An unanswered stop is resent after half of this timeout.
  duration stop_timeout = std::chrono::milliseconds(900);
  // Hosts end the members of a gang that have waited this long for the others.
  duration gang_timeout = std::chrono::milliseconds(3000);
  // Time for which the state of an ended job can still be queried.
  duration job_retention = std::chrono::seconds(150);
  // Time for which the cancelling of an unknown job is kept. A submission is on its way for 30 s at
  // most in a process that runs; the rest allows for processes that are paused.
  duration early_cancel_retention = std::chrono::seconds(60);
  // Maximum number of such cancellings, each a record that a new owner reads. More are refused.
  std::size_t max_early_cancels = 4000;
  // A ticket must remain valid for at least this long when it is used.
  duration ticket_margin = std::chrono::milliseconds(200);
  // Maximum number of hosts in one request to the policy service.
  std::size_t max_hosts_per_advice_request = 100;
  // Maximum time for which a request to the policy service waits for earlier ones.
  duration max_advice_wait = std::chrono::milliseconds(400);
  // A gang that has waited this long requests advice on hosts without free capacity too.
  duration gang_advice_delay = std::chrono::milliseconds(400);
  // Time for which no tasks are placed on a host after failures that are probably its own fault.
  duration avoid_time = std::chrono::seconds(5);
  // A run without progress for this long is stopped, and its host avoided.
  duration stall_timeout = std::chrono::milliseconds(3500);
  // Maximum number of waiting steps considered in one placement pass.
  std::size_t max_steps_per_pass = 400;
  // No step is placed while this many start calls have no answer. Calls that wait in this process
  // until they time out would all be repeated.
  std::size_t max_open_starts = 500;
  // A gang that has waited this long gets hosts reserved for it.
  duration gang_reserve_delay = std::chrono::milliseconds(800);
  // Run time of a task away from the rack of its data, and of a gang that wants one rack on
  // several, as a multiple of the time near it. At 1 no step waits for such room.
  double far_factor = 1;
  // Memory for jobs that have not ended and their tasks. More jobs are refused, and periodic jobs
  // open no further occurrence meanwhile.
  std::size_t max_job_bytes = std::size_t{256} << 20;
  // Largest value of a record that the journal stores.
  std::size_t max_record_bytes = 262'000;
};

struct scheduler_summary {
  std::size_t jobs = 0;
  std::size_t open_jobs = 0;
  std::size_t waiting_steps = 0;
  // Requests to the policy service that are still open.
  std::size_t advice_requests = 0;
  std::size_t runs = 0;
  std::size_t hosts = 0;
  std::size_t unreachable_hosts = 0;
  // Hosts examined so far to choose those that gangs ask the policy service about.
  std::uint64_t examined_hosts = 0;
  // Hosts reserved for a gang.
  std::size_t reserved_hosts = 0;
  // Steps that waited for room near their data or group so far, and tasks that started away from
  // it.
  std::uint64_t near_waits = 0;
  std::uint64_t far_starts = 0;
  resources capacity;
  resources allocated;
  bool recovering = false;
};

// Resources that the runs of a tenant hold, its quota (0 for none), and its waiting steps.
struct tenant_usage {
  std::string name;
  resources held;
  resources quota;
  std::uint64_t waiting_steps = 0;
  // It held more than its share at the last placement pass.
  bool over_share = false;
};

class scheduler {
 public:
  explicit scheduler(scheduler_options options);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // --- ownership ---
  // Restores one journal record. Records may come in any order.
  void Load(journal_record record);
  // Reports that a record of the job cannot be read. The job stays known, and can be cancelled, but
  // none of its tasks start, since they may have succeeded. Its records stay as they are.
  void LoadUnreadable(job_number job);
  // Starts to act as the owner. `token` fences off earlier owners at the hosts; `term` must exceed
  // the term of every earlier owner. `address` identifies this process to later owners.
  void BeginTerm(std::uint64_t term, std::uint64_t token, std::string_view address, time_point now,
                 std::int64_t wall_ms);
  // Reports that no newer owner had written to the journal at `at`.
  void OnOwnershipConfirmed(time_point at);
  // Reports that the process at this address renews no lease as an earlier owner any more.
  void OnOwnerFenced(std::string_view address, time_point now);
  // Returns the term of the last owner in the loaded records; 0 if there was none.
  std::uint64_t LoadedTerm() const;
  // Reports that the journal holds all records up to this sequence.
  void OnDurable(std::uint64_t sequence);
  // Returns whether the journal holds the record of this term. Before that no task starts and no
  // call is answered.
  bool TermRecorded() const;
  // While false, no task is started, since another process may have become the owner.
  void SetStartsAllowed(bool may_start);

  // Number of machines that can send requests to the policy service.
  void SetPolicyClientCount(std::size_t machines);

  // --- platform events ---
  void SetConfig(std::shared_ptr<const fleet_config> config);
  void SetHost(const host_entry& entry, time_point now);
  // Reports that the platform no longer lists the host.
  void RemoveHost(const host_id& host, time_point now);

  // --- calls ---
  // Each produces one answer_call with the given number. `tenant` is the tenant of the caller, or
  // empty if there is none; jobs of another tenant are unknown to the caller.
  // Errors: kNotReady, kMalformed, kTooLarge, kForbidden (another tenant has submitted the job),
  // kQuotaExceeded (the job needs more at once than the quota of its tenant).
  void Submit(call_number call, job_number job, std::string_view queue, std::string_view tenant,
              job_spec spec, time_point now, std::int64_t wall_ms);
  // The answer kUnknownJob means that a submission of the job that arrives later will not run.
  // Errors: kUnknownJob, kNotReady, kOverloaded.
  void Cancel(call_number call, job_number job, std::string_view tenant, std::int64_t wall_ms);
  void State(call_number call, job_number job, std::string_view tenant);
  // Returns whether the job was submitted before, and has not been removed since.
  bool Knows(job_number job) const;
  // Returns whether the job was cancelled before its submission.
  bool KnowsCancel(job_number job) const;
  void Pending(call_number call, std::string_view queue);
  // Returns the sequences of the records of submissions that are neither durable nor cancelled.
  std::vector<std::uint64_t> OpenSubmissions() const;
  // Forgets submissions whose records, in ascending order, were not and will not be stored, and
  // refuses their calls with kLogUnavailable. `retry_after` is spread so that the callers do not
  // return at the same time.
  void RefuseSubmissions(std::span<const std::uint64_t> sequences, duration retry_after,
                         time_point now);

  // --- results of actions ---
  // Result of a poll_host sent at `sent`; `answer` is null if there is no usable answer.
  void OnPollResult(const host_id& host, time_point sent, call_outcome outcome,
                    const host_report* answer, time_point now);
  // Result of a start_task sent at `sent`.
  void OnStart(const host_id& host, const task_ref& task, std::uint32_t run, time_point sent,
               const start_report& answer, time_point now);
  void OnStop(const host_id& host, const task_ref& task, std::uint32_t run, call_outcome outcome,
              time_point now);
  // Result of request_advice: the approved hosts with their tickets. `answered` is false, and the
  // list empty, if no answer arrived.
  void OnAdvice(std::uint64_t question, bool answered,
                std::span<const std::pair<host_id, std::string>> approved, time_point now);

  // Performs all work that is due at `now`.
  void Tick(time_point now, std::int64_t wall_ms);
  // Time of the next call to Tick.
  time_point NextTick() const;

  // Appends the actions since the last call to `out`.
  void TakeActions(std::vector<action>& out);

  scheduler_summary Summary() const;
  // Returns at most this many tenants, those that hold most first; none without tenants in the
  // configuration.
  std::vector<tenant_usage> TenantUsage(std::size_t most) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SCHEDULER_H_
