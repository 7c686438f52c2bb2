#include "sycamorehinge/core/queue.h"

#include <algorithm>

namespace sycamorehinge {

queue_slot work_queue::Add(queue_item item, const share_accounting& shares) {
  const auto [found, added] = slots_.try_emplace(item.item.id, kNoSlot);
  if (!added) return kNoSlot;
  queue_slot slot;
  if (free_slots_.empty()) {
    slot = static_cast<queue_slot>(items_.size());
    items_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  found->second = slot;
  const std::uint32_t generation = items_[slot].generation;
  items_[slot] = std::move(item);
  queue_item& entry = items_[slot];
  entry.generation = generation;
  entry.queued = true;
  if (entry.work_class >= classes_.size()) classes_.resize(entry.work_class + 1);
  class_queue& queue = classes_[entry.work_class];
  if (entry.tenant >= queue.tenants.size()) {
    queue.tenants.resize(entry.tenant + 1);
    queue.shares.resize(entry.tenant + 1);
  }
  if (queue.tenants[entry.tenant].size == 0) {
    queue.shares[entry.tenant] = shares.TenantShare(entry.work_class, entry.tenant);
    queue.order.emplace(queue.shares[entry.tenant], entry.tenant);
  }
  Append(queue.tenants[entry.tenant], kTenantList, slot);
  Append(queue.arrivals, kClassList, slot);
  Append(arrivals_, kArrivalList, slot);
  return slot;
}

void work_queue::Remove(queue_slot slot) {
  queue_item& entry = items_[slot];
  class_queue& queue = classes_[entry.work_class];
  Unlink(queue.tenants[entry.tenant], kTenantList, slot);
  Unlink(queue.arrivals, kClassList, slot);
  Unlink(arrivals_, kArrivalList, slot);
  if (queue.tenants[entry.tenant].size == 0) {
    queue.order.erase({queue.shares[entry.tenant], entry.tenant});
  }
  slots_.erase(entry.item.id);
  entry.queued = false;
  ++entry.generation;
  free_slots_.push_back(slot);
}

queue_slot work_queue::Find(const attempt_id& id) const {
  const auto found = slots_.find(id);
  return found == slots_.end() ? kNoSlot : found->second;
}

queue_slot work_queue::Oldest(class_index work_class) const {
  return work_class < classes_.size() ? classes_[work_class].arrivals.first : kNoSlot;
}

void work_queue::Reorder(class_index work_class, tenant_index tenant,
                         const share_accounting& shares) {
  if (work_class >= classes_.size()) return;
  class_queue& queue = classes_[work_class];
  if (tenant >= queue.tenants.size() || queue.tenants[tenant].size == 0) return;
  const double share = shares.TenantShare(work_class, tenant);
  if (share == queue.shares[tenant]) return;
  queue.order.erase({queue.shares[tenant], tenant});
  queue.shares[tenant] = share;
  queue.order.emplace(share, tenant);
}

void work_queue::ReorderAll(const share_accounting& shares) {
  for (class_index work_class = 0; work_class < classes_.size(); ++work_class) {
    const std::size_t tenants = classes_[work_class].tenants.size();
    for (tenant_index tenant = 0; tenant < tenants; ++tenant) {
      Reorder(work_class, tenant, shares);
    }
  }
}

void work_queue::OrderClasses(const share_accounting& shares,
                              std::vector<class_index>& order) const {
  order.clear();
  for (class_index index = 0; index < classes_.size(); ++index) {
    if (classes_[index].arrivals.size > 0) order.push_back(index);
  }
  std::sort(order.begin(), order.end(), [&shares](class_index a, class_index b) {
    const class_usage& left = shares.Class(a);
    const class_usage& right = shares.Class(b);
    const double left_deficit = std::max(0.0, left.Deficit());
    const double right_deficit = std::max(0.0, right.Deficit());
    if (left_deficit != right_deficit) return left_deficit > right_deficit;
    if (left.rule.urgency != right.rule.urgency) return left.rule.urgency > right.rule.urgency;
    return a < b;
  });
}

void work_queue::Append(item_list& list, std::size_t which, queue_slot slot) {
  items_[slot].links[which] = {list.last, kNoSlot};
  if (list.last != kNoSlot) items_[list.last].links[which].next = slot;
  if (list.first == kNoSlot) list.first = slot;
  list.last = slot;
  ++list.size;
}

void work_queue::Unlink(item_list& list, std::size_t which, queue_slot slot) {
  const queue_item::list_link link = items_[slot].links[which];
  if (link.previous != kNoSlot) items_[link.previous].links[which].next = link.next;
  if (link.next != kNoSlot) items_[link.next].links[which].previous = link.previous;
  if (list.first == slot) list.first = link.next;
  if (list.last == slot) list.last = link.previous;
  --list.size;
}

}  // namespace sycamorehinge
