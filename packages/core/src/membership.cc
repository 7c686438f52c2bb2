#include "sycamorehinge/core/membership.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sycamorehinge {

namespace {

bool SameDataCentre(const location& a, const location& b) {
  return a.region == b.region && a.data_centre == b.data_centre;
}

template <class Predicate>
std::vector<const process_status*> Select(std::span<const process_status* const> candidates,
                                          Predicate predicate) {
  std::vector<const process_status*> selected;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(selected), predicate);
  return selected;
}

std::vector<region_id> Sorted(std::span<const region_id> regions) {
  std::vector<region_id> sorted(regions.begin(), regions.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

}  // namespace

membership::membership(process_status self, membership_options options)
    : self_(std::move(self)), options_(options) {}

errc membership::RecordHeartbeat(const process_status& status, time_point now) {
  if (status.process == self_.process) {
    if (status.incarnation > self_.incarnation) return errc::kDuplicateName;
    return status.incarnation < self_.incarnation ? errc::kReplayed : errc::kOk;
  }
  const auto found = std::find_if(peers_.begin(), peers_.end(), [&](const peer& known) {
    return known.status.process == status.process;
  });
  if (found == peers_.end()) {
    peers_.push_back({status, now});
    return errc::kOk;
  }
  if (status.incarnation < found->status.incarnation) return errc::kReplayed;
  *found = {status, now};
  return errc::kOk;
}

void membership::UpdateSelf(process_status self) { self_ = std::move(self); }

duration membership::SuspectAfter(const process_status& status) const {
  return status.where.region == self_.where.region ? options_.suspect_after_in_region
                                                   : options_.suspect_after_elsewhere;
}

bool membership::IsAlive(const process_id& process, time_point now) const {
  if (process == self_.process) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const peer& known) {
    return known.status.process == process &&
           now - known.last_heartbeat < SuspectAfter(known.status);
  });
}

// Returns pointers because a holder or owner is chosen for each host and partition several times a
// second, and copying each status with its lists would be too slow.
std::vector<const process_status*> membership::AliveProcesses(time_point now,
                                                              bool include_draining) const {
  std::vector<const process_status*> alive;
  if (include_draining || !self_.draining) alive.push_back(&self_);
  for (const peer& known : peers_) {
    if (now - known.last_heartbeat >= SuspectAfter(known.status)) continue;
    if (include_draining || !known.status.draining) alive.push_back(&known.status);
  }
  std::sort(alive.begin(), alive.end(), [](const process_status* a, const process_status* b) {
    return a->process < b->process;
  });
  return alive;
}

std::vector<process_status> membership::Alive(time_point now, bool include_draining) const {
  std::vector<process_status> alive;
  for (const process_status* status : AliveProcesses(now, include_draining))
    alive.push_back(*status);
  return alive;
}

std::optional<time_point> membership::LastHeartbeat(const process_id& process) const {
  const auto found = std::find_if(peers_.begin(), peers_.end(), [&](const peer& known) {
    return known.status.process == process;
  });
  if (found == peers_.end()) return std::nullopt;
  return found->last_heartbeat;
}

process_id membership::Rendezvous(std::string_view key,
                                  std::span<const process_status* const> candidates) const {
  const std::uint64_t seed = StableHash(key);
  const process_status* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const process_status* candidate : candidates) {
    const std::uint64_t hash = StableHash(candidate->process.value, seed);
    // For equal hashes the first name wins, so that all processes agree.
    if (best != nullptr && hash <= best_hash) continue;
    best = candidate;
    best_hash = hash;
  }
  return best == nullptr ? process_id{} : best->process;
}

process_id membership::PreferredHolder(const host_id& host, const location& where,
                                       time_point now) const {
  const auto ready = Select(AliveProcesses(now, false), [](const auto* p) { return p->ready; });
  auto candidates = Select(ready, [&](const auto* p) { return SameDataCentre(p->where, where); });
  if (candidates.empty()) {
    candidates = Select(ready, [&](const auto* p) { return p->where.region == where.region; });
  }
  return Rendezvous("host/" + host.value, candidates.empty() ? ready : candidates);
}

process_id membership::PreferredOwner(partition_number partition, const region_id& region,
                                      time_point now) const {
  const auto ready = Select(AliveProcesses(now, false), [](const auto* p) { return p->ready; });
  const auto candidates = Select(ready, [&](const auto* p) { return p->where.region == region; });
  return Rendezvous("partition/" + std::to_string(partition),
                    candidates.empty() ? ready : candidates);
}

process_id membership::KnownOwner(partition_number partition, time_point now) const {
  process_id owner;
  std::uint64_t newest = 0;
  for (const process_status* status : AliveProcesses(now, true)) {
    for (const owned_partition& owned : status->partitions) {
      if (owned.number != partition || (!owner.empty() && owned.epoch <= newest)) continue;
      owner = status->process;
      newest = owned.epoch;
    }
  }
  return owner;
}

region_id RegionOfPartition(partition_number partition, std::span<const region_id> regions) {
  if (regions.empty()) return {};
  return Sorted(regions)[partition % regions.size()];
}

partition_number PartitionOfKey(const tenant_id& tenant, std::string_view key,
                                const region_id& home, std::span<const region_id> regions,
                                partition_number partitions) {
  if (partitions == 0) return kNoPartition;
  const std::uint64_t hash = StableHash(key, StableHash(tenant.value));
  const std::vector<region_id> sorted = Sorted(regions);
  const auto found = std::lower_bound(sorted.begin(), sorted.end(), home);
  const auto index = static_cast<partition_number>(found - sorted.begin());
  // The keys of a tenant whose home has no partition are spread over all partitions.
  if (found == sorted.end() || *found != home || index >= partitions) {
    return static_cast<partition_number>(hash % partitions);
  }
  const auto stride = static_cast<partition_number>(sorted.size());
  const partition_number home_partitions = (partitions - index + stride - 1) / stride;
  return index + static_cast<partition_number>(hash % home_partitions) * stride;
}

}  // namespace sycamorehinge
