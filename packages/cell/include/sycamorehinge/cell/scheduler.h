// The scheduler of one cell: its jobs, its hosts and their room, under one owner.
//
// It decides only; time, answers and configuration are handed in, and actions are handed out. An
// owner loads the journal, calls BeginTerm and looks at every host under its token before it
// trusts anything about the runs that earlier owners started.
#ifndef SYCAMOREHINGE_CELL_SCHEDULER_H_
#define SYCAMOREHINGE_CELL_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <span>
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
  // Lease that each look and start gives to all tasks of the host.
  duration lease = std::chrono::seconds(5);
  // Longest lease that hosts grant, whatever they are asked for.
  duration longest_lease = std::chrono::seconds(10);
  // Share by which the clocks of hosts may be slow.
  double clock_drift = 0.02;
  // Longest time that a host holds back its answer to a look.
  duration look_wait = std::chrono::milliseconds(1000);
  // Shortest time between the answer of a look and the next look, so that ends are collected.
  duration look_gap = std::chrono::milliseconds(60);
  // Time for which a host without an answer is left alone, doubled up to `look_retry_most`.
  duration look_retry = std::chrono::milliseconds(200);
  duration look_retry_most = std::chrono::milliseconds(1000);
  // Time that a stop takes at most; one without an answer is sent again after half of it.
  duration stop_timeout = std::chrono::milliseconds(900);
  // Ended jobs are kept this long for questions about their state.
  duration job_retention = std::chrono::seconds(150);
  // Tickets are used only with this much of their validity left.
  duration ticket_margin = std::chrono::milliseconds(200);
  // Most hosts in one question to the policy service.
  std::size_t advice_hosts = 100;
  // Most time of open questions to the policy service, for each machine that asks it.
  duration advice_backlog = std::chrono::milliseconds(400);
  // Waiting time of a gang after which it asks about hosts without room too.
  duration learn_after = std::chrono::milliseconds(400);
  // A host is avoided this long after failures that its tasks do not explain.
  duration avoid_time = std::chrono::seconds(5);
  // A run without progress for this long is stopped and its host avoided.
  duration stall_time = std::chrono::milliseconds(3500);
  // Most steps considered in one pass over the waiting work.
  std::size_t pass_limit = 400;
  // Waiting time of a gang after which hosts are kept free for it.
  duration reserve_after = std::chrono::milliseconds(800);
};

struct scheduler_summary {
  std::size_t jobs = 0;
  std::size_t open_jobs = 0;
  std::size_t waiting_steps = 0;
  // Questions to the policy service without an answer.
  std::size_t questions = 0;
  std::size_t runs = 0;
  std::size_t hosts = 0;
  std::size_t unreachable_hosts = 0;
  // Hosts kept free for a gang.
  std::size_t kept_hosts = 0;
  resources capacity;
  resources taken;
  bool recovering = false;
};

class scheduler {
 public:
  explicit scheduler(scheduler_options options);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // --- ownership ---
  // Restores one record of the journal; any order.
  void Load(journal_record record);
  // Starts to act as the owner. `token` fences earlier owners at the hosts; `term` is above the
  // term of every earlier owner.
  void BeginTerm(std::uint64_t term, std::uint64_t token, time_point now, std::int64_t wall_ms);
  // Term of the newest owner that the journal names.
  std::uint64_t LoadedTerm() const;
  // Records up to this sequence are in the journal.
  void Durable(std::uint64_t sequence);
  // While false, nothing is started: this process may have been replaced.
  void SetMayStart(bool may_start);

  // Number of machines that can ask the policy service.
  void SetAdviceMachines(std::size_t machines);

  // --- what the platform says ---
  void SetConfig(std::shared_ptr<const fleet_config> config);
  void SetHost(const host_entry& entry, time_point now);
  // The list does not hold the host any more.
  void RemoveHost(const host_id& host, time_point now);

  // --- callers ---
  void Submit(call_number call, job_number job, std::string_view queue, job_spec spec,
              time_point now, std::int64_t wall_ms);
  void Cancel(call_number call, job_number job, std::int64_t wall_ms);
  void State(call_number call, job_number job);
  void Pending(call_number call, std::string_view queue);

  // --- answers ---
  // A look that was sent at `sent`; null if there is no usable answer.
  void OnLook(const host_id& host, time_point sent, call_outcome outcome, const host_look* look,
              time_point now);
  void OnStart(const host_id& host, const task_ref& task, std::uint32_t run, call_outcome outcome,
               time_point now);
  void OnStop(const host_id& host, const task_ref& task, std::uint32_t run, call_outcome outcome,
              time_point now);
  // Hosts that may run the step, with their tickets; empty with `answered` false if there was no
  // answer.
  void OnAdvice(std::uint64_t question, bool answered,
                std::span<const std::pair<host_id, std::string>> approved, time_point now);

  // Does what is due; call it often.
  void Tick(time_point now, std::int64_t wall_ms);
  // Time at which Tick has something to do.
  time_point NextTick() const;

  // Moves the actions since the last call to `out`.
  void TakeActions(std::vector<action>& out);

  scheduler_summary Summary() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SCHEDULER_H_
