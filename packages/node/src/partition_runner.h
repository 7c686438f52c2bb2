// One partition shard: the decisions of the partition, its log stream and the group commit.
#ifndef SYCAMOREHINGE_NODE_SRC_PARTITION_RUNNER_H_
#define SYCAMOREHINGE_NODE_SRC_PARTITION_RUNNER_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "node_fwd.h"
#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/shard.h"

namespace sycamorehinge {

class partition_runner {
 public:
  partition_runner(entry_node::parts& parts, partition_number number);

  void Handle(const partition_event& event);
  // Takes, keeps or gives up the ownership, as membership asks.
  void Tick(time_point now);
  // Ends the ownership once everything pending is durable; for a graceful stop.
  void Retire();

  bool IsOwner() const;
  std::uint64_t Epoch() const;
  std::optional<job_status> FindJob(const job_id& job) const;
  std::vector<job_status> Jobs() const;

 private:
  // Reading: replays the stream. Taking: the ownership record is being appended.
  enum class phase { kIdle, kReading, kTaking, kOwner, kRetiring };

  struct state {
    state(partition_number number, process_id self, partition_options options)
        : core(number, std::move(self), options) {}

    phase now = phase::kIdle;
    partition core;
    // Counts attempts to own, so that answers to calls of an earlier attempt are recognized.
    std::uint64_t generation = 0;
    std::uint64_t next_offset = 1;
    std::vector<partition_record> pending;
    std::uint64_t pending_first = 0;
    // Effects that wait until their sequence is durable.
    std::multimap<std::uint64_t, partition_effect> held;
    std::uint64_t durable = 0;
    bool appending = false;
    // Appends in a row without an answer.
    std::uint32_t failures = 0;
    bool log_down = false;
    std::string sending;
    std::uint64_t sending_last = 0;
    bool flush_scheduled = false;
    std::vector<partition_action> actions;
    // For a take-over from another region: the stream's end when it was last seen to move.
    std::uint64_t silent_offset = 0;
    time_point silent_since{};
    bool checking = false;
    time_point next_attempt{};
    time_point unpreferred_since{};
  };
  struct flush_wanted {};
  using delivery = std::variant<partition_effect, flush_wanted>;

  template <class Change>
  void Apply(Change&& change);
  void Step(state& s, const partition_event& event, std::vector<delivery>& out);
  void Collect(state& s, std::vector<delivery>& out);
  void ReleaseHeld(state& s, std::vector<delivery>& out);
  void Deliver(delivery& item);
  void DeliverEffect(partition_effect& effect);

  // --- ownership ---
  void Acquire();
  void CheckSilence(time_point now);
  void ReadOn(std::uint64_t generation, std::uint64_t until);
  void OnPage(std::uint64_t generation, std::uint64_t until, const result<log_page>& page);
  void AppendOwnership(std::uint64_t generation);
  void OnOwnershipAppended(std::uint64_t generation, const result<std::uint64_t>& offset);
  void BecomeOwner(state& s, std::uint64_t epoch, std::vector<delivery>& out);
  void Lose(state& s, std::vector<delivery>& out);
  void GiveUp(std::uint64_t generation);
  void LoseToNewerOwner(std::uint64_t epoch);

  // --- group commit ---
  void ScheduleFlush();
  void Flush();
  static record_batch TakeBatch(state& s);
  void Send(std::uint64_t generation);
  void OnAppended(std::uint64_t generation, const result<std::uint64_t>& offset);
  void OnDurable(state& s, std::uint64_t offset, std::vector<delivery>& out);
  void ReportLog(event_number number) const;
  void ReadGap(std::uint64_t generation, std::uint64_t offset);
  void OnGap(std::uint64_t generation, std::uint64_t offset, const result<log_page>& page);

  std::string Stream() const { return "p" + std::to_string(number_); }

  entry_node::parts& parts_;
  const partition_number number_;
  const region_id region_;
  shard<state, delivery> shard_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_PARTITION_RUNNER_H_
