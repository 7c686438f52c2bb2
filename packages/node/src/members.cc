#include "members.h"

#include "parts.h"

namespace sycamorehinge {

members::members(entry_node::parts& parts)
    : parts_(parts),
      core_({parts.options.self,
             parts.options.incarnation,
             parts.options.where,
             0,
             false,
             false,
             {},
             {}},
            parts.options.membership),
      next_send_(parts.options.peers.size()) {}

process_status members::Describe() const {
  process_status status;
  status.process = parts_.options.self;
  status.incarnation = parts_.options.incarnation;
  status.where = parts_.options.where;
  status.config_version = parts_.documents.NewestVersion();
  status.draining = parts_.draining;
  status.ready = !status.draining && parts_.documents.Loaded();
  status.partitions = parts_.partitions.Owned();
  status.loads = parts_.pools.Loads();
  return status;
}

void members::Tick(time_point now) {
  const process_status status = Describe();
  std::vector<process_id> due;
  {
    const std::lock_guard lock(mutex_);
    core_.UpdateSelf(status);
    for (std::size_t i = 0; i < next_send_.size(); ++i) {
      if (next_send_[i] > now) continue;
      const peer_row& peer = parts_.options.peers[i];
      const heartbeat_options& every = parts_.options.heartbeat;
      const bool near = peer.region == parts_.options.where.region;
      next_send_[i] = now + (near ? every.in_region : every.elsewhere);
      due.push_back(peer.process);
    }
  }
  for (const process_id& peer : due) parts_.port.send_heartbeat(peer, status);
}

void members::Announce() {
  {
    const std::lock_guard lock(mutex_);
    for (time_point& next : next_send_) next = time_point{};
  }
  Tick(parts_.Now());
}

errc members::RecordHeartbeat(const process_status& status) {
  const std::lock_guard lock(mutex_);
  return core_.RecordHeartbeat(status, parts_.Now());
}

bool members::IsAlive(const process_id& process) const {
  const std::lock_guard lock(mutex_);
  return core_.IsAlive(process, parts_.Now());
}

std::vector<process_status> members::Alive() const {
  const std::lock_guard lock(mutex_);
  return core_.Alive(parts_.Now(), true);
}

process_id members::PreferredHolder(const host_id& host, const location& where) const {
  const std::lock_guard lock(mutex_);
  return core_.PreferredHolder(host, where, parts_.Now());
}

process_id members::PreferredOwner(partition_number partition, const region_id& region) const {
  const std::lock_guard lock(mutex_);
  return core_.PreferredOwner(partition, region, parts_.Now());
}

process_id members::KnownOwner(partition_number partition) const {
  const std::lock_guard lock(mutex_);
  return core_.KnownOwner(partition, parts_.Now());
}

}  // namespace sycamorehinge
