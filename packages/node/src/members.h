// The membership shard: heartbeats in and out.
#ifndef SYCAMOREHINGE_NODE_SRC_MEMBERS_H_
#define SYCAMOREHINGE_NODE_SRC_MEMBERS_H_

#include <mutex>
#include <vector>

#include "node_fwd.h"
#include "sycamorehinge/core/membership.h"

namespace sycamorehinge {

class members {
 public:
  explicit members(entry_node::parts& parts);

  // Sends the heartbeats that are due.
  void Tick(time_point now);
  // Sends a heartbeat to every peer at once, for example when draining begins.
  void Announce();
  errc RecordHeartbeat(const process_status& status);

  bool IsAlive(const process_id& process) const;
  std::vector<process_status> Alive() const;
  process_id PreferredHolder(const host_id& host, const location& where) const;
  process_id PreferredOwner(partition_number partition, const region_id& region) const;
  // Live process that owns the partition under the highest epoch; empty if there is none.
  process_id KnownOwner(partition_number partition) const;

 private:
  process_status Describe() const;

  entry_node::parts& parts_;
  mutable std::mutex mutex_;
  membership core_;
  std::vector<time_point> next_send_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_MEMBERS_H_
