// The claim shards: claims on hosts, the tasks that run on them, and the calls to them.
#ifndef SYCAMOREHINGE_NODE_SRC_HOST_CLAIMS_H_
#define SYCAMOREHINGE_NODE_SRC_HOST_CLAIMS_H_

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "node_fwd.h"
#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/shard.h"
#include "sycamorehinge/node/ports.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

struct execute_outcome {
  errc code = errc::kOk;
  attempt_fact fact = attempt_fact::kUnreachable;
  std::string answer;
};
using execute_handler = std::function<void(const execute_outcome&)>;

class host_claims {
 public:
  explicit host_claims(entry_node::parts& parts) : parts_(parts) {}

  // Reads the host list, claims, renews and releases what is due.
  void Tick(time_point now);

  // Starts a task of a job on a host held here; the outcome is reported to the partition's owner.
  void Start(const attempt_id& id, const placement& place, const job_spec& spec);
  // Runs a request on a target held here.
  void Execute(const attempt_id& id, const placement& place, const caller_request& request,
               execute_handler handler);
  // The partition's owner allows the lease of the attempt to be renewed.
  void Keep(const host_id& host, const attempt_id& id, std::uint64_t term);
  // Stops a running attempt, or acknowledges an ended one.
  void StopTask(const host_id& host, const attempt_id& id, bool checkpoint);
  void VoidTask(const host_id& host, const attempt_id& id);
  void Preempt(const host_id& host, const attempt_id& id);
  void ReturnHold(const host_id& host, const attempt_id& id);

  std::optional<listed_host> Find(const host_id& host) const;
  // Requests that run on targets held here.
  std::size_t Executing() const;
  // Gives every claim back at once, for a graceful stop.
  void ReleaseAll();

 private:
  struct claimed_task {
    held_work work;
    // The partition's owner allowed the renewal, or this claim started the task.
    bool kept = false;
    bool ended = false;
    attempt_fact fact = attempt_fact::kRunning;
    time_point started{};
    time_point reported{};
    // When the oldest report without an answer was sent; zero if all were answered.
    time_point unanswered{};
    // Last contact with the partition's owner about this task, at the latest by its own clock.
    time_point contact{};
  };
  struct claim_entry {
    listed_host row;
    std::uint64_t term = 0;
    bool held = false;
    bool calling = false;
    bool releasing = false;
    bool leaving = false;
    time_point next_call{};
    // When the last successful claim call was sent; the host counts from later.
    time_point last_granted{};
    // When the last call that renewed task leases was sent, answered or not.
    time_point last_kept{};
    std::unordered_map<attempt_id, claimed_task> tasks;
    std::vector<attempt_id> ack;
  };
  struct claim_table {
    std::unordered_map<host_id, claim_entry> hosts;
  };
  // What a change causes outside the lock: calls to the host, the pools and partition owners.
  using notice = std::function<void()>;
  using claim_shard = shard<claim_table, notice>;
  static constexpr std::size_t kShards = 4;

  claim_shard& Shard(const host_id& host);
  const claim_shard& Shard(const host_id& host) const;
  static void Deliver(notice& item) { item(); }
  // Runs `change` on the entry of the host under its lock, if there is one.
  template <class Change>
  bool OnEntry(const host_id& host, Change&& change) {
    bool found = false;
    Shard(host).Apply(
        [&](claim_table& table, std::vector<notice>& out) {
          const auto entry = table.hosts.find(host);
          found = entry != table.hosts.end();
          if (found) change(entry->second, out);
        },
        Deliver);
    return found;
  }

  void ReadList();
  void OnList(const std::vector<listed_host>& rows);
  void TickEntry(claim_entry& entry, time_point now, std::vector<notice>& out);
  void CallClaim(claim_entry& entry, time_point now, std::vector<notice>& out);
  void Release(claim_entry& entry, std::vector<notice>& out);
  void Lapse(claim_entry& entry, std::vector<notice>& out);
  void ReportLost(claim_entry& entry, std::vector<notice>& out);
  std::vector<attempt_id> LeasesToRenew(const claim_entry& entry, time_point now) const;

  void OnClaimed(const host_id& host, time_point sent, const std::vector<attempt_id>& acked,
                 const result<host_answer>& answer);
  void OnGranted(claim_entry& entry, time_point sent, const claim_granted& granted,
                 std::vector<notice>& out);
  void AdoptHost(claim_entry& entry, const claim_granted& granted, std::vector<notice>& out);
  void UpdateTasks(claim_entry& entry, const claim_granted& granted, std::vector<notice>& out);
  void TaskEnded(claim_entry& entry, claimed_task& task, host_task_state state,
                 std::vector<notice>& out);
  void ReportDue(claim_entry& entry, time_point now, std::vector<notice>& out);

  void OnStarted(const listed_host& row, const attempt_id& id, std::uint64_t term,
                 const result<host_answer>& answer);
  void OnExecuted(const listed_host& row, const attempt_id& id, std::uint64_t term,
                  const result<host_answer>& answer, const execute_handler& handler);
  // Asks the host what became of an attempt until it answers; frees the room then.
  void Resolve(const host_id& host, const attempt_id& id, std::uint64_t term, std::uint32_t tries,
               const std::function<void(attempt_fact, std::string)>& handler);
  std::optional<listed_host> Admit(const placement& place, held_work work);
  // The attempt left the host: frees its room in the pool.
  void Forget(const host_id& host, const attempt_id& id, finish_kind outcome);
  void FinishInPool(const listed_host& row, const attempt_id& id, finish_kind outcome,
                    duration ran);
  // Zero if the start is not known.
  duration RunTimeOf(const claimed_task& task) const;
  void RecordRun(const claimed_task& task) const;
  void Report(const attempt_id& id, const host_id& host, std::uint64_t term, attempt_fact fact);
  void SendToOwner(const attempt_id& id, const peer_message& message, const partition_event& event);

  entry_node::parts& parts_;
  std::array<claim_shard, kShards> shards_;
  std::mutex list_mutex_;
  time_point next_list_{};
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_HOST_CLAIMS_H_
