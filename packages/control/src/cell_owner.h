// Owns the cell while this process is the preferred member of the store's group: claims the cell,
// fences earlier owners, loads the journal, runs the scheduler, and steps down for a newer owner.
#ifndef SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_
#define SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "advice_router.h"
#include "attempt_register.h"
#include "call_router.h"
#include "journal_writer.h"
#include "membership.h"
#include "stream_follower.h"
#include "sycamorehinge/cell/scheduler.h"
#include "sycamorehinge/control/control_node.h"
#include "sycamorehinge/core/shard.h"

namespace sycamorehinge::control {

class cell_owner {
 public:
  struct hooks {
    // Returns the name of this process as a member.
    std::function<std::string()> member_name;
    // The store has accepted the claim of this process.
    std::function<void(std::uint64_t epoch)> on_claimed;
    // Calls can be sent to this process.
    std::function<void(const owner_info&)> on_owned;
    // A newer owner has fenced this process, which owned the cell under `epoch`.
    std::function<void(std::uint64_t epoch)> on_fenced;
    // Appends to the journal have had no success for some time.
    std::function<void()> on_journal_stalled;
  };

  cell_owner(const ports& port, const control_options& options, decision_log& log, hooks hooks);

  // Handles what a list of members that was requested at `requested_at` says of this process.
  void OnMembers(owner_candidacy candidacy, time_point requested_at);
  // Handles the announcement of a process that can ask the policy service.
  void OnAnnounced(const member_info& member);
  // Gives up the cell if this process claimed it under an epoch before `epoch`, and calls `reply`
  // once it renews no lease under it any more.
  void OnFenceCall(std::uint64_t epoch, peer_reply reply);
  // Handles the newest claim in the directory.
  void OnClaim(const owner_info& claim);
  // Gives up ownership of the cell permanently: this process does not claim it again.
  void Retire();
  void SetConfig(std::shared_ptr<const cell::fleet_config> config);
  // Answers kNotOwner unless this process owns the cell under the epoch that the attempt names, and
  // kVoided if the sender does not wait for the attempt any more.
  void Call(const routed_call& call, peer_reply reply);
  cell::scheduler_summary Summary() const;
  std::vector<cell::tenant_usage> TenantUsage(std::size_t most) const;
  bool Owns() const;

 private:
  // Calls sent since the last status log.
  struct call_counts {
    std::uint64_t polls = 0;
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t policy_requests = 0;
    std::uint64_t records = 0;
    std::uint64_t answers = 0;
  };
  enum class phase {
    kIdle,
    kClaiming,
    kFencing,
    kLoading,
    // The scheduler has begun its term. It asks the hosts for their runs and takes calls, but
    // starts no task and answers no call.
    kBeginning,
    // The journal holds the record of the term: no other owner has the same one.
    kActive,
  };
  enum class read_kind { kNone, kJobState, kCount };
  struct open_call {
    peer_reply reply;
    time_point arrived;
    read_kind kind = read_kind::kNone;
  };
  struct state {
    phase current_phase = phase::kIdle;
    std::uint64_t epoch = 0;
    // Identifies a claim until its answer gives the epoch.
    std::uint64_t claim_number = 0;
    // Newest epoch in the directory.
    std::uint64_t newest_claim = 0;
    time_point claim_started;
    // Last time at which the journal was known to have no newer owner.
    time_point confirmed_at;
    // Member lists requested before this time do not lead to a new claim.
    time_point stepped_down_at;
    bool retired = false;
    time_point last_tick;
    // Time at which the last pause of the process was noticed.
    time_point resumed_at;
    time_point last_status_log;
    // Since the last status log: time spent with the state locked, and the longest delay of a tick.
    duration busy{};
    duration longest_tick_delay{};
    call_counts sent;
    // Last time the cell was offered to another process.
    time_point last_offer;
    std::unique_ptr<cell::scheduler> scheduler;
    std::shared_ptr<const cell::fleet_config> config;
    std::shared_ptr<journal_writer> journal;
    std::shared_ptr<stream_follower> host_follower;
    std::vector<host_id> listed_hosts;
    bool journal_read = false;
    bool hosts_read = false;
    std::unordered_map<cell::call_number, open_call> open_calls;
    // Answers that wait until the journal confirms that this process still owns the cell.
    std::vector<cell::answer_call> unconfirmed_answers;
    cell::call_number next_call = 1;
    // Attempts that were sent to this owner in its epoch.
    attempt_register attempts;
    advice_router advice;
    // Processes that can ask the policy service, by name, and the time of their last announcement.
    std::map<std::string, std::pair<member_info, time_point>> policy_clients;
    std::vector<cell::action> actions;

    explicit state(member_info self) : advice(std::move(self)) {}
    bool HasBegun() const {
      return current_phase == phase::kBeginning || current_phase == phase::kActive;
    }
  };
  // Runs after the lock is released: an action of the scheduler in `epoch`, or a function.
  struct effect {
    std::uint64_t epoch = 0;
    std::optional<cell::action> action;
    std::function<void()> run;
  };
  using effects = std::vector<effect>;

  void Update(const std::function<void(state&, effects&)>& change);
  // Applies `change` if the scheduler has begun its term under `epoch`.
  void UpdateScheduler(std::uint64_t epoch, const std::function<void(cell::scheduler&)>& change);
  void CollectActions(state& s, effects& out);
  static read_kind KindOf(const cell_call& call);
  static time_point NeededConfirmation(const open_call& call, errc code);
  static void SendAnswer(state& s, const cell::answer_call& answer, effects& out);
  void EndUnconfirmedReads(state& s, effects& out);
  void RefuseInOutage(state& s, time_point now);
  void ReleaseUnsentSubmissions(state& s, effects& out);
  static void CountAction(const cell::action& action, call_counts& sent);
  void Execute(const effect& item);

  void Claim(state& s, effects& out);
  void SendClaim(std::uint64_t claim);
  void OnClaimed(std::uint64_t claim, const result<std::uint64_t>& offset);
  void StartFencing(state& s, std::uint64_t epoch, effects& out);
  void OnConfirmed(std::uint64_t epoch, time_point at);
  void OnFenced(std::uint64_t epoch, errc code);
  void LoadJournal(std::uint64_t epoch, const std::string& after);
  void OnJournalPage(std::uint64_t epoch, const result<stream_page>& page,
                     const std::string& after);
  void LoadHosts(std::uint64_t epoch);
  void OnHostSnapshot(std::uint64_t epoch, const std::vector<stream_record>& records);
  void OnHostChange(std::uint64_t epoch, const stream_record& record);
  void BeginTermIfLoaded(state& s, effects& out);
  void OnDurable(std::uint64_t epoch, std::uint64_t sequence);
  void ApplyHostSnapshot(state& s, const std::vector<stream_record>& records);
  void ApplyHostRecord(state& s, const stream_record& record);
  void StepDown(state& s, std::uint64_t epoch, std::string_view cause, effects& out);
  void OnFencedOut(std::uint64_t epoch, std::string_view cause);
  void Tick(std::uint64_t epoch, time_point due);
  void ScheduleFenceCheck(const state& s, effects& out);
  void CheckFence(std::uint64_t epoch);
  void OnFenceChecked(std::uint64_t epoch, errc code);
  void ScheduleTick(std::uint64_t epoch);
  void CheckTickDelay(state& s);
  void LogStatus(state& s);
  static errc CheckAttempt(state& s, const call_attempt& attempt);
  void LogIfLate(const routed_call& call, errc outcome) const;
  static void UpdatePolicyClients(state& s);
  void LogTakeoverStage(const state& s, event_number number, std::string_view stream = {}) const;

  void LogDecision(std::uint64_t epoch, const cell::log_decision& note);
  void PollHost(std::uint64_t epoch, const cell::poll_host& poll);
  void StartTask(std::uint64_t epoch, const cell::start_task& start);
  void StopTask(std::uint64_t epoch, const cell::stop_task& stop);
  void FenceOwner(std::uint64_t epoch, const cell::fence_owner& call);
  void RequestAdvice(std::uint64_t epoch, const cell::request_advice& ask);
  void OnAdvised(std::uint64_t epoch, std::uint64_t question, const std::string& member,
                 const result<std::vector<approved_host>>& outcome);

  const ports& port_;
  const control_options& options_;
  decision_log& log_;
  const hooks hooks_;
  // Identifies this process among earlier ones of the same name.
  const std::int64_t started_ms_;
  shard<state, effect> state_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_
