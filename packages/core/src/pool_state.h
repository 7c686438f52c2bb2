// State of a pool, shared by the files that implement it.
#ifndef SYCAMOREHINGE_CORE_SRC_POOL_STATE_H_
#define SYCAMOREHINGE_CORE_SRC_POOL_STATE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "sycamorehinge/core/admission.h"
#include "sycamorehinge/core/ejection.h"
#include "sycamorehinge/core/host_index.h"
#include "sycamorehinge/core/placement.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/queue.h"
#include "sycamorehinge/core/room.h"
#include "sycamorehinge/core/shares.h"
#include "timer_heap.h"

namespace sycamorehinge {

// Hosts that take no other work until one waiting item has its room.
struct host_drain {
  queue_slot slot = kNoSlot;
  std::uint32_t generation = 0;
  bool gang = false;
  class_index work_class = 0;
  // Room that the class keeps for the item.
  resources size;
  std::vector<host_slot> hosts;
  time_point until;
  // When all work on the hosts should have ended.
  time_point ready;
};

// Why an item cannot be placed now.
enum class wait_reason { kNone, kQuota, kLimit, kShare, kRoom, kBackoff };

struct pool::state {
  explicit state(const pool_options& given)
      : options(given),
        queue(given.order),
        ejection(given.eject_failing_hosts),
        random(given.seed) {}

  // Events, in pool.cc.
  void On(const host_claimed& event, time_point now, std::vector<pool_action>& out);
  void On(const host_leaving& event, time_point now, std::vector<pool_action>& out);
  void On(const host_released& event, time_point now, std::vector<pool_action>& out);
  void On(const usage_reported& event, time_point now, std::vector<pool_action>& out);
  void On(const work_offered& event, time_point now, std::vector<pool_action>& out);
  void On(const work_withdrawn& event, time_point now, std::vector<pool_action>& out);
  void On(const work_finished& event, time_point now, std::vector<pool_action>& out);
  void On(const hold_requested& event, time_point now, std::vector<pool_action>& out);
  void On(const hold_confirmed& event, time_point now, std::vector<pool_action>& out);
  void On(const hold_released& event, time_point now, std::vector<pool_action>& out);
  void On(const rules_changed& event, time_point now, std::vector<pool_action>& out);
  void On(const room_elsewhere& event, time_point now, std::vector<pool_action>& out);
  void On(const pool_tick& event, time_point now, std::vector<pool_action>& out);

  // Hosts, in pool_hosts.cc.
  host_group GroupOf(host_slot host) const;
  void RefreshHost(host_slot host);
  void ForgetWork(const reservation& work);
  void CountCapacity(const resources& capacity, int change);
  bool SomeHostCouldHold(const resources& size) const;
  bool LocalHostCouldHold(const resources& size) const;
  void AdoptRunning(host_slot host, std::span<const held_work> running, time_point now);
  void FreeWork(reservation_slot work);
  void CountOutcome(const reservation& work, const work_finished& event, time_point now);

  // Placing, in pool_dispatch.cc.
  // An item that has a drain uses the part of its class's share that the drain keeps.
  wait_reason MayPlace(const work_item& item, class_index work_class, tenant_index tenant,
                       bool has_drain = false) const;
  bool KeepsHeadroom(const work_item& item, class_index work_class) const;
  bool Choose(const queue_item& entry, time_point now);
  bool ChooseProbe(const queue_item& entry, time_point now);
  bool MayFit(const resources& size, time_point now) const;
  bool MayUseDrained(const queue_item& entry, time_point now) const;
  bool IsKnownNotToFit(const queue_item& entry) const;
  void NoteNotFitting(const queue_item& entry);
  void Place(const queue_item& entry, time_point now, duration hold_time,
             std::vector<pool_action>& out);
  bool TryQueued(queue_slot slot, time_point now, std::vector<pool_action>& out);
  void Dispatch(time_point now, std::vector<pool_action>& out);
  queue_item EntryOf(const work_item& item, time_point now);
  std::vector<host_slot> HostsToAvoid(const work_item& item) const;
  errc CheckOffer(const queue_item& entry, time_point now) const;
  void Enqueue(queue_item entry, time_point now);
  void Dequeue(queue_slot slot);

  // Timers, drains and preemption, in pool_timers.cc and pool_drain.cc.
  bool IsStale(const timer& entry) const;
  void DropStaleTimers();
  void RunTimer(const timer& entry, time_point now, std::vector<pool_action>& out);
  void RunOverflow(queue_slot slot, time_point now, std::vector<pool_action>& out);
  time_point NextPreemption() const;
  time_point Next() const;

  void StartGangDrain(queue_slot slot, time_point now);
  void EndDrain(std::size_t index);
  void ScheduleNextDrain();
  time_point LatestEnd(host_slot host, time_point bound) const;
  bool EndsBeforeDrains(const queue_item& entry, time_point now) const;
  void EndDrainOf(queue_slot slot);
  void EndLateDrains(time_point now);
  bool HasDrain(queue_slot slot) const;
  bool MayDrain(const queue_item& entry) const;
  void AddDrain(queue_slot slot, bool gang, std::span<const host_slot> hosts, time_point until);
  struct drain_candidate {
    // Share of the host's room for such tasks that is free.
    double free = 0;
    host_slot host = 0;
    // Tasks that the empty host holds.
    std::int64_t tasks = 0;
    time_point empty;
  };
  time_point EmptyAt(host_slot host, time_point now) const;
  std::vector<drain_candidate> DrainCandidates(const resources& size) const;
  std::vector<host_slot> HostsToDrain(const queue_item& entry, time_point now) const;
  bool IsLarge(const resources& size) const;
  std::size_t DrainableHosts() const;
  bool MayDrainForTask() const;
  void DrainForLargeTasks(time_point now);
  time_point NextLargeTask() const;
  void Preempt(time_point now, std::vector<pool_action>& out);
  bool PreemptForItem(queue_slot slot, time_point now, std::vector<pool_action>& out);
  bool PreemptForGang(queue_slot slot, std::vector<pool_action>& out);
  bool IsVictim(const reservation& work) const;
  double ShareAfterPreemption(class_index work_class) const;
  class_index MostOverShare() const;
  bool CanMakeRoom(host_slot host, const resources& size) const;
  void MakeRoom(host_slot host, const resources& size, std::vector<pool_action>& out);

  pool_options options;
  std::shared_ptr<const environment_document> rules;
  resource_ledger ledger;
  host_index index;
  share_accounting shares;
  work_queue queue;
  admission admit;
  outlier_ejection ejection;
  timer_heap timers;
  std::uint64_t random;
  time_point last_now;

  // Capacities of claimed hosts and how many hosts have each.
  std::vector<std::pair<resources, int>> shapes;
  // Largest host of other processes; the zero value if none is known.
  resources elsewhere;
  std::vector<host_drain> drains;
  std::vector<std::uint8_t> drained;
  // Gangs whose drain starts when the current one ends, and their generations.
  std::deque<std::pair<queue_slot, std::uint32_t>> waiting_gangs;
  // No gang drain starts before this time, so that hosts serve other work between two drains.
  time_point next_gang_drain;
  // Choosing a host to drain looks at all hosts, so it is done rarely.
  time_point next_large_drain;
  // Room of each class that preempted work will give back.
  std::vector<resources> preempting;
  // Sizes that were found not to fit while one event is handled; room only shrinks meanwhile.
  std::vector<resources> not_fitting;
  // Dispatch stopped at its bound and goes on at the next tick.
  bool dispatch_again = false;

  // Results of Choose; `chosen_probe` is set if the host is an ejected one.
  std::vector<host_slot> chosen;
  bool chosen_probe = false;
  std::vector<reservation> dropped;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SRC_POOL_STATE_H_
