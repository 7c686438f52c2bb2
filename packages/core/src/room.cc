#include "sycamorehinge/core/room.h"

#include <algorithm>

namespace sycamorehinge {

host_slot resource_ledger::Claim(const host_id& host, std::uint64_t term, const resources& capacity,
                                 const location& where, bool leaving,
                                 std::vector<reservation>& dropped) {
  const auto [found, added] = host_slots_.try_emplace(host, static_cast<host_slot>(hosts_.size()));
  if (added) {
    hosts_.emplace_back();
    hosts_.back().id = host;
  }
  const host_slot slot = found->second;
  ledger_host& entry = hosts_[slot];
  if (entry.claimed && entry.term != term) RemoveAll(slot, dropped);
  if (entry.claimed) capacity_ -= entry.capacity;
  capacity_ += capacity;
  entry.term = term;
  entry.capacity = capacity;
  entry.where = where;
  entry.claimed = true;
  entry.leaving = leaving;
  return slot;
}

void resource_ledger::Release(host_slot host, std::vector<reservation>& dropped) {
  ledger_host& entry = hosts_[host];
  if (!entry.claimed) return;
  RemoveAll(host, dropped);
  capacity_ -= entry.capacity;
  entry.claimed = false;
  entry.capacity = resources();
}

reservation_slot resource_ledger::Reserve(host_slot host, const reservation& work) {
  const ledger_host& entry = hosts_[host];
  if (!entry.claimed || entry.leaving || !Free(host).CanFit(work.size)) return kNoSlot;
  return Insert(host, work);
}

reservation_slot resource_ledger::RecordRunning(host_slot host, const reservation& work) {
  return Insert(host, work);
}

reservation_slot resource_ledger::Insert(host_slot host, const reservation& work) {
  reservation_slot slot;
  if (free_slots_.empty()) {
    slot = static_cast<reservation_slot>(reservations_.size());
    reservations_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  reservation& entry = reservations_[slot];
  const std::uint32_t generation = entry.generation;
  entry = work;
  entry.generation = generation;
  entry.host = host;
  entry.taken = work.size;
  entry.previous = kNoSlot;
  entry.next = hosts_[host].first;
  if (entry.next != kNoSlot) reservations_[entry.next].previous = slot;
  hosts_[host].first = slot;
  hosts_[host].taken += entry.taken;
  ++hosts_[host].running;
  taken_ += entry.taken;
  reservation_slots_.emplace(work.id, slot);
  if (entry.preemptible) LinkPreemptible(slot);
  return slot;
}

reservation resource_ledger::Remove(reservation_slot work) {
  reservation& entry = reservations_[work];
  if (entry.preemptible) UnlinkPreemptible(work);
  const auto [begin, end] = reservation_slots_.equal_range(entry.id);
  reservation_slots_.erase(
      std::find_if(begin, end, [work](const auto& e) { return e.second == work; }));
  ledger_host& host = hosts_[entry.host];
  if (entry.previous != kNoSlot) reservations_[entry.previous].next = entry.next;
  if (entry.next != kNoSlot) reservations_[entry.next].previous = entry.previous;
  if (host.first == work) host.first = entry.next;
  host.taken -= entry.taken;
  --host.running;
  taken_ -= entry.taken;
  ++entry.generation;
  free_slots_.push_back(work);
  return entry;
}

void resource_ledger::RemoveAll(host_slot host, std::vector<reservation>& dropped) {
  while (hosts_[host].first != kNoSlot) dropped.push_back(Remove(hosts_[host].first));
}

void resource_ledger::SetUsage(reservation_slot work, const resources& used) {
  reservation& entry = reservations_[work];
  const resources taken{std::max(entry.size.cores_milli, used.cores_milli),
                        std::max(entry.size.memory_mb, used.memory_mb),
                        std::max(entry.size.accelerators, used.accelerators),
                        std::max(entry.size.slots, used.slots)};
  const resources change = taken - entry.taken;
  entry.taken = taken;
  hosts_[entry.host].taken += change;
  taken_ += change;
}

host_slot resource_ledger::FindHost(const host_id& host) const {
  const auto found = host_slots_.find(host);
  return found == host_slots_.end() ? kNoSlot : found->second;
}

reservation_slot resource_ledger::Find(const attempt_id& id) const {
  const auto found = reservation_slots_.find(id);
  return found == reservation_slots_.end() ? kNoSlot : found->second;
}

reservation_slot resource_ledger::FindOn(const attempt_id& id, host_slot host) const {
  const auto [begin, end] = reservation_slots_.equal_range(id);
  for (auto entry = begin; entry != end; ++entry) {
    if (reservations_[entry->second].host == host) return entry->second;
  }
  return kNoSlot;
}

reservation_slot resource_ledger::NewestPreemptible(class_index work_class) const {
  return work_class < newest_preemptible_.size() ? newest_preemptible_[work_class] : kNoSlot;
}

void resource_ledger::LinkPreemptible(reservation_slot slot) {
  reservation& entry = reservations_[slot];
  if (entry.work_class >= newest_preemptible_.size()) {
    newest_preemptible_.resize(entry.work_class + 1, kNoSlot);
  }
  reservation_slot& newest = newest_preemptible_[entry.work_class];
  entry.previous_preemptible = kNoSlot;
  entry.next_preemptible = newest;
  if (newest != kNoSlot) reservations_[newest].previous_preemptible = slot;
  newest = slot;
}

void resource_ledger::UnlinkPreemptible(reservation_slot slot) {
  const reservation& entry = reservations_[slot];
  if (entry.previous_preemptible != kNoSlot) {
    reservations_[entry.previous_preemptible].next_preemptible = entry.next_preemptible;
  } else {
    newest_preemptible_[entry.work_class] = entry.next_preemptible;
  }
  if (entry.next_preemptible != kNoSlot) {
    reservations_[entry.next_preemptible].previous_preemptible = entry.previous_preemptible;
  }
}

}  // namespace sycamorehinge
