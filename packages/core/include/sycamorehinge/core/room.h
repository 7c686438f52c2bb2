// Resource accounting: hosts with their claim term and capacity, and reserved and running attempts.
//
// A reservation that does not fit is refused. An attempt takes capacity until it is removed.
#ifndef SYCAMOREHINGE_CORE_ROOM_H_
#define SYCAMOREHINGE_CORE_ROOM_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Dense indices of hosts, attempts, classes and tenants within one pool.
using host_slot = std::uint32_t;
using reservation_slot = std::uint32_t;
using class_index = std::uint32_t;
using tenant_index = std::uint32_t;
inline constexpr std::uint32_t kNoSlot = 0xffffffff;

struct ledger_host {
  host_id id;
  std::uint64_t term = 0;
  resources capacity;
  resources taken;
  location where;
  bool claimed = false;
  bool leaving = false;
  std::uint32_t running = 0;
  // Head of the list of attempts on the host, linked by reservation::next.
  reservation_slot first = kNoSlot;
};

// A reserved or running attempt.
struct reservation {
  attempt_id id;
  class_index work_class = 0;
  tenant_index tenant = 0;
  resources size;
  bool preemptible = false;
  duration declared_run{};
  time_point placed;
  // Estimated end of the attempt; in the past if there is no estimate.
  time_point expected_end;

  // Set by resource_ledger.
  host_slot host = kNoSlot;
  // The larger of declared size and reported usage for each resource.
  resources taken;
  // Whether the reservation is an unconfirmed hold, which may still expire.
  bool held = false;
  bool preempting = false;
  std::uint32_t generation = 0;
  reservation_slot next = kNoSlot;
  reservation_slot previous = kNoSlot;
  // Links of the list of preemptible attempts of one class, most recent first.
  reservation_slot next_preemptible = kNoSlot;
  reservation_slot previous_preemptible = kNoSlot;
};

class resource_ledger {
 public:
  // Claims the host under `term` and returns its slot. A new term moves all attempts of the host to
  // `dropped`. The same term keeps them, since the report may be older than a reservation.
  host_slot Claim(const host_id& host, std::uint64_t term, const resources& capacity,
                  const location& where, bool leaving, std::vector<reservation>& dropped);
  // Gives up the claim and moves all attempts of the host to `dropped`.
  void Release(host_slot host, std::vector<reservation>& dropped);
  void SetLeaving(host_slot host, bool leaving) { hosts_[host].leaving = leaving; }

  // Reserves capacity for an attempt. Returns kNoSlot if it does not fit, or if the host is not
  // claimed or is leaving.
  reservation_slot Reserve(host_slot host, const reservation& work);
  // Records an attempt that the host reports as running, even if it exceeds the free capacity.
  reservation_slot RecordRunning(host_slot host, const reservation& work);
  // Removes an attempt and frees its capacity.
  reservation Remove(reservation_slot work);
  void Confirm(reservation_slot work) { reservations_[work].held = false; }
  void MarkHeld(reservation_slot work) { reservations_[work].held = true; }
  void MarkPreempting(reservation_slot work) { reservations_[work].preempting = true; }
  // Records the reported usage, which counts where it exceeds the declared size.
  void SetUsage(reservation_slot work, const resources& used);

  // These return kNoSlot if there is none.
  host_slot FindHost(const host_id& host) const;
  reservation_slot Find(const attempt_id& id) const;
  reservation_slot FindOn(const attempt_id& id, host_slot host) const;

  const ledger_host& Host(host_slot host) const { return hosts_[host]; }
  const reservation& ReservationAt(reservation_slot work) const { return reservations_[work]; }
  std::span<const ledger_host> Hosts() const { return hosts_; }
  resources Free(host_slot host) const { return hosts_[host].capacity - hosts_[host].taken; }
  // Sums over all claimed hosts.
  const resources& Capacity() const { return capacity_; }
  const resources& Taken() const { return taken_; }
  // Returns the most recently placed preemptible attempt of the class, or kNoSlot.
  reservation_slot NewestPreemptible(class_index work_class) const;

 private:
  reservation_slot Insert(host_slot host, const reservation& work);
  void RemoveAll(host_slot host, std::vector<reservation>& dropped);
  void LinkPreemptible(reservation_slot slot);
  void UnlinkPreemptible(reservation_slot slot);

  std::vector<ledger_host> hosts_;
  std::unordered_map<host_id, host_slot> host_slots_;
  std::vector<reservation> reservations_;
  std::vector<reservation_slot> free_slots_;
  // An attempt is on two hosts at once only while a stale claim is being corrected.
  std::unordered_multimap<attempt_id, reservation_slot> reservation_slots_;
  std::vector<reservation_slot> newest_preemptible_;
  resources capacity_;
  resources taken_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ROOM_H_
