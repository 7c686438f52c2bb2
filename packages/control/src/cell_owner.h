// Owns the cell while the store's group assigns it here: fences earlier owners, reads the journal,
// runs the scheduler, and steps down when a newer owner exists.
#ifndef SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_
#define SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "advice_router.h"
#include "front.h"
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
    std::function<void(const owner_info&)> on_owned;
    std::function<void()> on_lost;
    // A newer owner has shut this one out.
    std::function<void()> on_fenced;
    // The journal has not taken records for some time.
    std::function<void()> on_stalled;
  };

  cell_owner(const ports& port, const control_options& options, decision_log& log, hooks hooks);

  // What the group says.
  void OnMembers(const std::vector<member_info>& members, standing own, time_point asked);
  // The newest claim in the directory.
  void OnClaim(const owner_info& claim);
  // Gives up the cell for good.
  void Retire();
  void SetConfig(std::shared_ptr<const cell::fleet_config> config);
  // Answers kNotOwner unless this process owns the cell.
  void Call(const peer_call& call, peer_reply reply);
  cell::scheduler_summary Summary() const;
  bool Owns() const;

 private:
  enum class phase { kIdle, kClaiming, kFencing, kLoading, kActive };
  struct state {
    phase now = phase::kIdle;
    std::uint64_t epoch = 0;
    // Counts the claims, since one without an answer has no epoch yet.
    std::uint64_t claim = 0;
    time_point claim_began;
    // Older news from the group do not bring the cell back.
    time_point stepped_down;
    bool retired = false;
    time_point last_tick;
    // End of the last standstill of the process.
    time_point resumed;
    time_point status_logged;
    // Last time that the cell was offered to another process.
    time_point offered;
    std::unique_ptr<cell::scheduler> scheduler;
    std::shared_ptr<const cell::fleet_config> config;
    std::shared_ptr<journal_writer> journal;
    std::shared_ptr<stream_follower> hosts;
    std::vector<host_id> listed;
    // Parts of loading that are done.
    bool journal_read = false;
    bool hosts_read = false;
    std::unordered_map<cell::call_number, peer_reply> calls;
    cell::call_number next_call = 1;
    advice_router advice;
    std::size_t members = 1;
    std::vector<cell::action> actions;

    explicit state(member_info self) : advice(std::move(self)) {}
  };
  // An action of one epoch, or an answer to deliver.
  struct effect {
    std::uint64_t epoch = 0;
    std::optional<cell::action> what;
    std::function<void()> run;
  };
  using effects = std::vector<effect>;

  void Change(const std::function<void(state&, effects&)>& change);
  // Changes the scheduler if this process still owns the cell under that epoch.
  void Schedule(std::uint64_t epoch, const std::function<void(cell::scheduler&)>& change);
  void Collect(state& s, effects& out);
  void Carry(const effect& item);

  void Claim(state& s, effects& out);
  void SendClaim(std::uint64_t claim);
  void OnClaimed(std::uint64_t claim, const result<std::uint64_t>& offset);
  void Begin(state& s, std::uint64_t epoch, effects& out);
  void OnFenced(std::uint64_t epoch, errc code);
  void LoadJournal(std::uint64_t epoch, const std::string& after);
  void OnJournalPage(std::uint64_t epoch, const result<stream_page>& page,
                     const std::string& after);
  void LoadHosts(std::uint64_t epoch);
  void OnHosts(std::uint64_t epoch, const std::vector<stream_record>& records);
  void OnHostChange(std::uint64_t epoch, const stream_record& record);
  void MayActivate(state& s, effects& out);
  void SetHosts(state& s, const std::vector<stream_record>& records);
  void SetHost(state& s, const stream_record& record);
  void StepDown(state& s, std::uint64_t epoch, std::string_view cause, effects& out);
  void Lose(std::uint64_t epoch, std::string_view cause);
  void Tick(std::uint64_t epoch);
  void ClaimAgain(std::uint64_t epoch);
  void OnFenceTried(std::uint64_t epoch, errc code);
  void ScheduleTick(std::uint64_t epoch);
  void CheckPause(state& s);
  void LogStatus(state& s);
  void LogStage(const state& s, event_number number, std::string_view stream = {}) const;

  void Note(std::uint64_t epoch, const cell::note_decision& note);
  void Look(std::uint64_t epoch, const cell::look_host& look);
  void Start(std::uint64_t epoch, const cell::start_task& start);
  void Stop(std::uint64_t epoch, const cell::stop_task& stop);
  void Ask(std::uint64_t epoch, const cell::ask_advice& ask);
  void OnAdvised(std::uint64_t epoch, std::uint64_t question, const std::string& member,
                 const result<std::vector<approved_host>>& outcome);

  const ports& port_;
  const control_options& options_;
  decision_log& log_;
  const hooks hooks_;
  shard<state, effect> state_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_CELL_OWNER_H_
