// The room ledger: hosts with their claim term, capacity, and reserved and running attempts.
//
// A reservation that does not fit is refused; an attempt's room stays taken until it is removed.
#ifndef SYCAMOREHINGE_CORE_ROOM_H_
#define SYCAMOREHINGE_CORE_ROOM_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Dense numbers of hosts, attempts, classes and tenants inside one pool.
using host_slot = std::uint32_t;
using work_slot = std::uint32_t;
using class_index = std::uint32_t;
using tenant_index = std::uint32_t;
inline constexpr std::uint32_t kNoSlot = 0xffffffff;

struct room_host {
  host_id id;
  std::uint64_t term = 0;
  resources capacity;
  resources taken;
  location where;
  bool claimed = false;
  bool leaving = false;
  std::uint32_t running = 0;
  // First attempt on the host, chained by room_work::next.
  work_slot first = kNoSlot;
};

// A reserved or running attempt.
struct room_work {
  attempt_id id;
  class_index work_class = 0;
  tenant_index tenant = 0;
  resources size;
  bool preemptible = false;
  duration declared_run{};
  time_point placed;
  // When the attempt should end; in the past if nothing is known.
  time_point expected_end;

  // Kept by the ledger.
  host_slot host = kNoSlot;
  // The larger of the size and the reported usage on each axis.
  resources taken;
  // Set while the hold may still expire.
  bool held = false;
  bool preempting = false;
  std::uint32_t generation = 0;
  work_slot next = kNoSlot;
  work_slot previous = kNoSlot;
  // Chain of the preemptible attempts of one class, most recent first.
  work_slot next_preemptible = kNoSlot;
  work_slot previous_preemptible = kNoSlot;
};

class room_ledger {
 public:
  // Claims the host under `term` and returns its slot. A new term drops every attempt of the host
  // into `dropped`; the same term keeps them, since its report may be older than a reservation.
  host_slot Claim(const host_id& host, std::uint64_t term, const resources& capacity,
                  const location& where, bool leaving, std::vector<room_work>& dropped);
  // Forgets the claim and drops the attempts of the host into `dropped`.
  void Release(host_slot host, std::vector<room_work>& dropped);
  void SetLeaving(host_slot host, bool leaving) { hosts_[host].leaving = leaving; }

  // Takes room for an attempt; kNoSlot if it does not fit or the host is not available.
  work_slot Reserve(host_slot host, const room_work& work);
  // Records an attempt that the host reports as running, whether or not it fits.
  work_slot Adopt(host_slot host, const room_work& work);
  // Frees the room of an attempt.
  room_work Remove(work_slot work);
  void Confirm(work_slot work) { works_[work].held = false; }
  void MarkHeld(work_slot work) { works_[work].held = true; }
  void MarkPreempting(work_slot work) { works_[work].preempting = true; }
  // Takes the reported usage into account where it exceeds the declared size.
  void SetUsage(work_slot work, const resources& used);

  // kNoSlot if unknown.
  host_slot FindHost(const host_id& host) const;
  work_slot Find(const attempt_id& id) const;
  work_slot FindOn(const attempt_id& id, host_slot host) const;

  const room_host& Host(host_slot host) const { return hosts_[host]; }
  const room_work& Work(work_slot work) const { return works_[work]; }
  std::span<const room_host> Hosts() const { return hosts_; }
  resources Free(host_slot host) const { return hosts_[host].capacity - hosts_[host].taken; }
  // Sums over all claimed hosts.
  const resources& Capacity() const { return capacity_; }
  const resources& Taken() const { return taken_; }
  // Most recently placed preemptible attempt of the class; kNoSlot if there is none.
  work_slot NewestPreemptible(class_index work_class) const;

 private:
  work_slot Insert(host_slot host, const room_work& work);
  void DropAll(host_slot host, std::vector<room_work>& dropped);
  void LinkPreemptible(work_slot slot);
  void UnlinkPreemptible(work_slot slot);

  std::vector<room_host> hosts_;
  std::unordered_map<host_id, host_slot> host_slots_;
  std::vector<room_work> works_;
  std::vector<work_slot> free_works_;
  // An attempt is on two hosts at once only while a stale claim is being corrected.
  std::unordered_multimap<attempt_id, work_slot> work_slots_;
  std::vector<work_slot> newest_preemptible_;
  resources capacity_;
  resources taken_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ROOM_H_
