// The queue of waiting work: classes by deficit to their guaranteed share, then by urgency;
// tenants of one class by weighted dominant share; items of one tenant by arrival.
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
  // Hosts of item.avoid that are known.
  std::vector<host_slot> avoid;
  // Expected work in the queue, see admission.
  std::int64_t volume = 0;
  // Next time at which a gang that did not fit is tried again.
  time_point next_try;
  std::uint32_t tries = 0;
  // A timer for `next_try` is set.
  bool retry_pending = false;
  // Next time at which peers are asked, or work is preempted for the item.
  time_point next_overflow;
  time_point next_preempt;
  bool preemption_asked = false;

  // Kept by the queue.
  std::uint32_t generation = 0;
  bool queued = false;
  struct chain_link {
    queue_slot previous = kNoSlot;
    queue_slot next = kNoSlot;
  };
  // One link for each chain: tenant, class, and all items by arrival.
  std::array<chain_link, 3> links;
};

class work_queue {
 public:
  explicit work_queue(queue_policy policy) : policy_(policy) {}

  // kNoSlot if an item of that id already waits.
  queue_slot Add(queue_item item, const share_book& shares);
  // Takes the item out of the queue in constant time, apart from the order of tenants, which
  // costs the logarithm of the number of tenants when the tenant's last item leaves.
  void Remove(queue_slot slot);
  queue_slot Find(const attempt_id& id) const;

  const queue_item& At(queue_slot slot) const { return items_[slot]; }
  queue_item& At(queue_slot slot) { return items_[slot]; }
  bool IsLive(queue_slot slot, std::uint32_t generation) const {
    return items_[slot].queued && items_[slot].generation == generation;
  }
  std::size_t Size() const { return slots_.size(); }
  // Oldest item of a class and the one after it; kNoSlot at the end.
  queue_slot Oldest(class_index work_class) const;
  queue_slot NextInClass(queue_slot slot) const { return items_[slot].links[kClassChain].next; }

  // Moves a tenant to its new place after its share has changed.
  void Reorder(class_index work_class, tenant_index tenant, const share_book& shares);
  // Moves all tenants, after a change of rules or capacity.
  void ReorderAll(const share_book& shares);

  // Calls `visit(slot)` for items in the order of the policy until it returns true, and returns
  // whether it did. Looks at a bounded number of items of each class and tenant, so that work
  // that does not fit cannot block work behind it, and a call stays short.
  template <class Visit>
  bool VisitInOrder(const share_book& shares, Visit visit) const;

 private:
  static constexpr std::size_t kTenantChain = 0;
  static constexpr std::size_t kClassChain = 1;
  static constexpr std::size_t kArrivalChain = 2;
  // Items of one class that are looked at in one pass, and the least number for each tenant.
  static constexpr std::uint32_t kClassWindow = 48;
  static constexpr std::uint32_t kTenantWindow = 4;

  struct chain {
    queue_slot first = kNoSlot;
    queue_slot last = kNoSlot;
    std::uint32_t size = 0;
  };
  struct class_queue {
    chain arrivals;
    std::vector<chain> tenants;
    std::vector<double> shares;
    std::set<std::pair<double, tenant_index>> order;
  };

  void Append(chain& target, std::size_t which, queue_slot slot);
  void Unlink(chain& target, std::size_t which, queue_slot slot);
  void OrderClasses(const share_book& shares, std::vector<class_index>& order) const;
  template <class Visit>
  bool VisitClass(const class_queue& queue, Visit& visit) const;
  template <class Visit>
  bool VisitFair(const share_book& shares, Visit& visit) const;

  queue_policy policy_;
  std::vector<queue_item> items_;
  std::vector<queue_slot> free_;
  std::unordered_map<attempt_id, queue_slot> slots_;
  std::vector<class_queue> classes_;
  chain arrivals_;
  mutable std::vector<class_index> class_order_;
};

template <class Visit>
bool work_queue::VisitClass(const class_queue& queue, Visit& visit) const {
  std::uint32_t left = kClassWindow;
  const std::uint32_t each = std::max(
      kTenantWindow,
      kClassWindow / static_cast<std::uint32_t>(std::max<std::size_t>(queue.order.size(), 1)));
  for (const auto& [share, tenant] : queue.order) {
    queue_slot slot = queue.tenants[tenant].first;
    for (std::uint32_t n = 0; n < each && slot != kNoSlot && left > 0; ++n, --left) {
      const queue_slot next = items_[slot].links[kTenantChain].next;
      if (visit(slot)) return true;
      slot = next;
    }
    if (left == 0) return false;
  }
  return false;
}

template <class Visit>
bool work_queue::VisitFair(const share_book& shares, Visit& visit) const {
  OrderClasses(shares, class_order_);
  for (const class_index index : class_order_) {
    if (VisitClass(classes_[index], visit)) return true;
  }
  return false;
}

template <class Visit>
bool work_queue::VisitInOrder(const share_book& shares, Visit visit) const {
  // The baseline fifo looks at its head only: what does not fit blocks what is behind it.
  return std::visit(
      overloaded{[&](fair_shares) { return VisitFair(shares, visit); },
                 [&](fifo) { return arrivals_.first != kNoSlot && visit(arrivals_.first); }},
      policy_);
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_QUEUE_H_
