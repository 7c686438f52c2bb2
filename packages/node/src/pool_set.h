// The pool shards: one pool for the workers of each environment and the targets of each service.
#ifndef SYCAMOREHINGE_NODE_SRC_POOL_SET_H_
#define SYCAMOREHINGE_NODE_SRC_POOL_SET_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "node_fwd.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/shard.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

// Who offered an item and hears what becomes of it.
struct request_work {
  std::uint64_t request = 0;
};
struct partition_work {
  partition_number partition = 0;
};
struct peer_hold {
  process_id from;
  call_id call = 0;
};
using work_owner = std::variant<request_work, partition_work, peer_hold>;

class pool_set {
 public:
  explicit pool_set(entry_node::parts& parts) : parts_(parts) {}

  void Offer(const pool_key& key, work_item item, work_owner owner);
  // True if the item waited here and no longer does.
  bool Withdraw(const attempt_id& id);
  void Hold(const pool_key& key, work_item item, duration hold_time, peer_hold owner);
  void Handle(const pool_key& key, const pool_event& event);
  // Confirms the room of work that is about to start. False if the room is no longer reserved
  // there, for example because the hold expired: the work must not start then.
  bool Confirm(const pool_key& key, const attempt_id& id, const placement& place);
  void RulesChanged(const std::shared_ptr<const environment_document>& document);
  // Notes the largest hosts of other processes.
  void LearnPeers(std::span<const process_status> alive);

  std::vector<pool_load> Loads() const;
  std::vector<std::pair<pool_load, pool_summary>> Summaries() const;
  std::vector<host_summary> Hosts() const;
  std::string Explain(const attempt_id& id) const;

 private:
  struct pool_state {
    pool_state(pool_options options, pool_key name) : core(options), key(std::move(name)) {}
    pool core;
    pool_key key;
    std::unordered_map<attempt_id, work_owner> owners;
    std::vector<pool_action> actions;
    time_point tick_at = time_point::max();
    resources elsewhere;
  };
  // An action with the owner of its item; a preemption has none.
  struct delivery {
    pool_action action;
    std::optional<work_owner> owner;
  };
  using pool_shard = shard<pool_state, delivery>;

  pool_shard& Shard(const pool_key& key);
  std::vector<pool_shard*> Shards() const;
  void Apply(pool_shard& target, const pool_event& event,
             std::optional<std::pair<attempt_id, work_owner>> owner);
  void Collect(pool_state& s, std::vector<delivery>& out);
  void ScheduleTick(pool_shard& target);
  void Deliver(const pool_key& key, delivery& item);
  void DeliverPlaced(const work_placed& placed, const work_owner& owner);
  void DeliverRefused(const work_refused& refused, const work_owner& owner);

  entry_node::parts& parts_;
  mutable std::mutex mutex_;
  std::map<pool_key, std::unique_ptr<pool_shard>> shards_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_POOL_SET_H_
