#include <algorithm>

#include "pool_state.h"

namespace sycamorehinge {

namespace {

resources Larger(const resources& a, const resources& b) {
  return {std::max(a.cores_milli, b.cores_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

std::string Describe(const resources& size) {
  std::string text =
      std::to_string(size.cores_milli) + " millicores, " + std::to_string(size.memory_mb) + " MB";
  if (size.accelerators > 0) text += ", " + std::to_string(size.accelerators) + " accelerators";
  if (size.slots > 0) text += ", " + std::to_string(size.slots) + " slots";
  return text;
}

std::string_view Describe(wait_reason reason) {
  switch (reason) {
    case wait_reason::kQuota:
      return "waits because its tenant's quota is in use";
    case wait_reason::kLimit:
      return "waits because its class is at its limit";
    case wait_reason::kShare:
      return "waits because its class has its guaranteed share and only preemptible work may "
             "borrow room beyond it";
    default:
      return "waits";
  }
}

}  // namespace

pool_summary pool::Summary() const {
  pool_summary summary;
  summary.capacity = state_->ledger.Capacity();
  summary.taken = state_->ledger.Taken();
  summary.largest_free =
      Larger(resources(), Larger(state_->index.LargestFree(host_group::kPlain),
                                 state_->index.LargestFree(host_group::kAccelerator)));
  for (const auto& [shape, count] : state_->shapes) {
    summary.largest_host = Larger(summary.largest_host, shape);
  }
  const std::span<const class_usage> classes = state_->shares.Classes();
  for (class_index c = 0; c < classes.size(); ++c) {
    const class_usage& standing = classes[c];
    summary.classes.push_back({standing.rule.name, standing.waiting, standing.running,
                               standing.held, state_->admit.ExpectedWait(c, state_->shares)});
  }
  return summary;
}

std::vector<host_summary> pool::Hosts() const {
  std::vector<host_summary> hosts;
  const std::span<const ledger_host> known = state_->ledger.Hosts();
  for (host_slot slot = 0; slot < known.size(); ++slot) {
    const ledger_host& host = known[slot];
    if (!host.claimed) continue;
    hosts.push_back({host.id, host.where, host.term, host.capacity, host.taken, host.leaving,
                     state_->ejection.IsEjected(slot), host.running});
  }
  return hosts;
}

std::string pool::Explain(const attempt_id& id) const {
  const std::optional<placement> place = PlaceOf(id);
  if (place) return ToString(id) + " has room on host " + place->host.value + ".";
  const queue_slot slot = state_->queue.Find(id);
  if (slot == kNoSlot) return {};
  const queue_item& entry = state_->queue.At(slot);
  const wait_reason reason = state_->MayPlace(entry.item, entry.work_class, entry.tenant);
  if (reason != wait_reason::kNone) {
    return ToString(id) + " " + std::string(Describe(reason)) + ".";
  }
  const std::string size = Describe(entry.item.size);
  if (!state_->SomeHostCouldHold(entry.item.size)) {
    return ToString(id) + " waits for a host that is large enough for " + size + ".";
  }
  if (entry.item.count > 1) {
    return ToString(id) + " waits for room for " + std::to_string(entry.item.count) +
           " tasks at once, each of " + size + ".";
  }
  return ToString(id) + " waits for a host with " + size + " free; the largest free room is " +
         Describe(Summary().largest_free) + ".";
}

}  // namespace sycamorehinge
