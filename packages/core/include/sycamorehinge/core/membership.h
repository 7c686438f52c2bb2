// Process membership by heartbeat, and the choice of the process that should hold a host or own a
// partition.
#ifndef SYCAMOREHINGE_CORE_MEMBERSHIP_H_
#define SYCAMOREHINGE_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

struct owned_partition {
  partition_number number = 0;
  std::uint64_t epoch = 0;
};

// Load of the pool for one service; an empty service means workers.
struct pool_load {
  environment_id environment;
  service_id service;
  resources free;
  resources largest_free;
  resources largest_host;
  duration expected_wait{};
};

// Status that a process sends in each heartbeat.
struct process_status {
  process_id process;
  std::uint64_t incarnation = 0;
  location where;
  std::uint64_t config_version = 0;
  bool ready = false;
  bool draining = false;
  std::vector<owned_partition> partitions;
  std::vector<pool_load> loads;
};

struct membership_options {
  duration suspect_after_in_region = std::chrono::milliseconds(1500);
  duration suspect_after_elsewhere = std::chrono::seconds(6);
};

class membership {
 public:
  membership(process_status self, membership_options options);

  // Records a heartbeat. Returns kDuplicateName if it carries this process's own name with a higher
  // incarnation, and kReplayed if its incarnation is older than the known one.
  errc RecordHeartbeat(const process_status& status, time_point now);

  void UpdateSelf(process_status self);
  const process_status& Self() const { return self_; }

  bool IsAlive(const process_id& process, time_point now) const;
  // Alive processes, including this one, sorted by name; draining ones only if `include_draining`.
  std::vector<process_status> Alive(time_point now, bool include_draining = false) const;
  // Time of the last heartbeat of the process; nullopt if there was none.
  std::optional<time_point> LastHeartbeat(const process_id& process) const;

  // Process that should hold the host: rendezvous hash over the alive and ready processes that are
  // not draining, in the host's data centre if it has any, else in its region, else everywhere.
  process_id PreferredHolder(const host_id& host, const location& where, time_point now) const;
  // Process that should own the partition: the same choice in the partition's region, else
  // everywhere.
  process_id PreferredOwner(partition_number partition, const region_id& region,
                            time_point now) const;
  // Alive process that reports to own the partition with the highest epoch; empty if there is none.
  process_id KnownOwner(partition_number partition, time_point now) const;

 private:
  struct peer {
    process_status status;
    time_point last_heartbeat;
  };
  duration SuspectAfter(const process_status& status) const;
  // Pointers are valid until the next change.
  std::vector<const process_status*> AliveProcesses(time_point now, bool include_draining) const;
  process_id Rendezvous(std::string_view key,
                        std::span<const process_status* const> candidates) const;

  process_status self_;
  membership_options options_;
  std::vector<peer> peers_;
};

// Region of a partition: partitions are assigned to the sorted regions round-robin.
region_id RegionOfPartition(partition_number partition, std::span<const region_id> regions);
// Partition that stores the idempotency key of a tenant with home region `home`.
partition_number PartitionOfKey(const tenant_id& tenant, std::string_view key,
                                const region_id& home, std::span<const region_id> regions,
                                partition_number partitions);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_MEMBERSHIP_H_
