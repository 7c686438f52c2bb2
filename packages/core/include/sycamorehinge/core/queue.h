// The queue of waiting work. Classes are ordered by how far they are below their guaranteed share,
// then by urgency; tenants of one class by weighted dominant share; items of one tenant by arrival.
#ifndef SYCAMOREHINGE_CORE_QUEUE_H_
#define SYCAMOREHINGE_CORE_QUEUE_H_

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/shares.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

using queue_slot = std::uint32_t;

struct queue_item {
  work_item item;
  class_index work_class = 0;
  tenant_index tenant = 0;
  time_point enqueued;
  // Slots of the hosts in item.avoid that the pool knows.
  std::vector<host_slot> avoid;
  // Expected work that the item adds to the backlog of its class, see admission::ExpectedWork.
  std::int64_t expected_work = 0;
  // Earliest time at which a gang that did not fit is placed again.
  time_point next_gang_attempt;
  std::uint32_t gang_attempts = 0;
  // Whether a timer for `next_gang_attempt` is pending.
  bool retry_pending = false;
  // Earliest times at which peers are asked for capacity and work is preempted for the item.
  time_point next_overflow;
  time_point next_preempt;
  bool preemption_asked = false;

  // Set by work_queue.
  std::uint32_t generation = 0;
  bool queued = false;
  struct list_link {
    queue_slot previous = kNoSlot;
    queue_slot next = kNoSlot;
  };
  // Links of the lists of the tenant, of the class and of all items.
  std::array<list_link, 3> links;
};

class work_queue {
 public:
  explicit work_queue(queue_policy policy) : policy_(policy) {}

  // Returns kNoSlot if an item of the same id is already queued.
  queue_slot Add(queue_item item, const share_accounting& shares);
  // Removes an item in constant time, or in logarithmic time in the number of tenants if it is the
  // last item of its tenant.
  void Remove(queue_slot slot);
  queue_slot Find(const attempt_id& id) const;

  const queue_item& At(queue_slot slot) const { return items_[slot]; }
  queue_item& At(queue_slot slot) { return items_[slot]; }
  bool IsLive(queue_slot slot, std::uint32_t generation) const {
    return items_[slot].queued && items_[slot].generation == generation;
  }
  std::size_t Size() const { return slots_.size(); }
  // Oldest item of a class, and the next one by arrival; kNoSlot at the end.
  queue_slot Oldest(class_index work_class) const;
  queue_slot NextInClass(queue_slot slot) const { return items_[slot].links[kClassList].next; }

  // Updates the position of a tenant after its share has changed.
  void Reorder(class_index work_class, tenant_index tenant, const share_accounting& shares);
  // Updates the positions of all tenants after a change of rules or capacity.
  void ReorderAll(const share_accounting& shares);

  // Calls `visit(slot)` for items in the order of the policy until it returns true, and returns
  // whether it did. The number of items visited for each class and tenant is bounded, which bounds
  // the time of a call and keeps one tenant's items that do not fit from blocking the others.
  template <class Visit>
  bool VisitInOrder(const share_accounting& shares, Visit visit) const;

 private:
  static constexpr std::size_t kTenantList = 0;
  static constexpr std::size_t kClassList = 1;
  static constexpr std::size_t kArrivalList = 2;
  // Most items visited for one class in one pass, and the guaranteed number for each tenant.
  static constexpr std::uint32_t kMaxVisitedPerClass = 48;
  static constexpr std::uint32_t kMinVisitedPerTenant = 4;

  struct item_list {
    queue_slot first = kNoSlot;
    queue_slot last = kNoSlot;
    std::uint32_t size = 0;
  };
  struct class_queue {
    item_list arrivals;
    std::vector<item_list> tenants;
    std::vector<double> shares;
    std::set<std::pair<double, tenant_index>> order;
  };

  void Append(item_list& list, std::size_t which, queue_slot slot);
  void Unlink(item_list& list, std::size_t which, queue_slot slot);
  void OrderClasses(const share_accounting& shares, std::vector<class_index>& order) const;
  template <class Visit>
  bool VisitClass(const class_queue& queue, Visit& visit) const;
  template <class Visit>
  bool VisitByShare(const share_accounting& shares, Visit& visit) const;

  queue_policy policy_;
  std::vector<queue_item> items_;
  std::vector<queue_slot> free_slots_;
  std::unordered_map<attempt_id, queue_slot> slots_;
  std::vector<class_queue> classes_;
  item_list arrivals_;
  mutable std::vector<class_index> class_order_;
};

template <class Visit>
bool work_queue::VisitClass(const class_queue& queue, Visit& visit) const {
  std::uint32_t remaining = kMaxVisitedPerClass;
  const std::uint32_t per_tenant = std::max(
      kMinVisitedPerTenant, kMaxVisitedPerClass / static_cast<std::uint32_t>(std::max<std::size_t>(
                                                      queue.order.size(), 1)));
  for (const auto& [share, tenant] : queue.order) {
    queue_slot slot = queue.tenants[tenant].first;
    for (std::uint32_t n = 0; n < per_tenant && slot != kNoSlot && remaining > 0;
         ++n, --remaining) {
      const queue_slot next = items_[slot].links[kTenantList].next;
      if (visit(slot)) return true;
      slot = next;
    }
    if (remaining == 0) return false;
  }
  return false;
}

template <class Visit>
bool work_queue::VisitByShare(const share_accounting& shares, Visit& visit) const {
  OrderClasses(shares, class_order_);
  for (const class_index index : class_order_) {
    if (VisitClass(classes_[index], visit)) return true;
  }
  return false;
}

template <class Visit>
bool work_queue::VisitInOrder(const share_accounting& shares, Visit visit) const {
  // The fifo baseline visits only the oldest item, so an item that does not fit blocks all others.
  return std::visit(
      overloaded{[&](fair_shares) { return VisitByShare(shares, visit); },
                 [&](fifo) { return arrivals_.first != kNoSlot && visit(arrivals_.first); }},
      policy_);
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_QUEUE_H_
