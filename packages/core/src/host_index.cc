#include "sycamorehinge/core/host_index.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

constexpr resources kNothing{-1, -1, -1, -1};

resources Larger(const resources& a, const resources& b) {
  return {std::max(a.cores_milli, b.cores_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

}  // namespace

host_index::host_index() {
  for (group_cells& group : groups_) group.maxima.assign(2, kNothing);
}

std::uint32_t host_index::Level(std::int64_t amount, std::int64_t largest) {
  const std::int64_t level = std::max<std::int64_t>(amount, 0) * (kSide - 1) / largest;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(level, kSide - 1));
}

std::uint32_t host_index::CellOf(const resources& free) const {
  return Level(MainAxis(free), largest_main_) * kSide + Level(free.memory_mb, largest_memory_);
}

const resources& host_index::LargestFree(host_group group) const {
  return groups_[static_cast<std::size_t>(group)].maxima[1];
}

void host_index::Set(host_slot host, host_group group, const resources& free,
                     const resources& capacity) {
  if (host >= hosts_.size()) hosts_.resize(host + 1);
  if (host >= leaves_) GrowTrees();
  Unlink(host);
  const host_group before = hosts_[host].group;
  if (before != group) UpdateMaxima(host, before, kNothing);
  hosts_[host].group = host_group::kUnavailable;
  Rescale(capacity);
  hosts_[host].free = free;
  hosts_[host].capacity = capacity;
  hosts_[host].group = group;
  Link(host);
  UpdateMaxima(host, group, free);
}

void host_index::SetFree(host_slot host, const resources& free) {
  indexed_host& entry = hosts_[host];
  entry.free = free;
  if (entry.group == host_group::kUnavailable) return;
  if (CellOf(free) != entry.cell) {
    Unlink(host);
    Link(host);
  }
  UpdateMaxima(host, entry.group, free);
}

void host_index::Link(host_slot host) {
  indexed_host& entry = hosts_[host];
  if (entry.group == host_group::kUnavailable) return;
  group_cells& group = groups_[static_cast<std::size_t>(entry.group)];
  entry.cell = CellOf(entry.free);
  std::vector<host_slot>& cell = group.cells[entry.cell];
  entry.position = static_cast<std::uint32_t>(cell.size());
  cell.push_back(host);
  group.rows[entry.cell / kSide] |= 1U << (entry.cell % kSide);
}

void host_index::Unlink(host_slot host) {
  const indexed_host& entry = hosts_[host];
  if (entry.group == host_group::kUnavailable) return;
  group_cells& group = groups_[static_cast<std::size_t>(entry.group)];
  std::vector<host_slot>& cell = group.cells[entry.cell];
  cell[entry.position] = cell.back();
  hosts_[cell.back()].position = entry.position;
  cell.pop_back();
  if (cell.empty()) group.rows[entry.cell / kSide] &= ~(1U << (entry.cell % kSide));
}

void host_index::UpdateMaxima(host_slot host, host_group group, const resources& free) {
  if (group == host_group::kUnavailable) return;
  std::vector<resources>& maxima = groups_[static_cast<std::size_t>(group)].maxima;
  std::size_t node = leaves_ + host;
  maxima[node] = free;
  for (node /= 2; node >= 1; node /= 2) {
    const resources larger = Larger(maxima[node * 2], maxima[node * 2 + 1]);
    if (larger == maxima[node]) return;
    maxima[node] = larger;
  }
}

// A host larger than all before changes the scale of the grid; sizes of hosts are few, so this
// happens a few times in the life of a pool.
void host_index::Rescale(const resources& capacity) {
  const bool by_slots = by_slots_ && capacity.cores_milli == 0;
  const std::int64_t main = by_slots ? capacity.slots : capacity.cores_milli;
  const bool larger = main > largest_main_ || capacity.memory_mb > largest_memory_;
  if (by_slots == by_slots_ && !larger) return;
  for (host_slot host = 0; host < hosts_.size(); ++host) Unlink(host);
  if (by_slots != by_slots_) largest_main_ = 1;
  by_slots_ = by_slots;
  largest_main_ = std::max(largest_main_, main);
  largest_memory_ = std::max(largest_memory_, capacity.memory_mb);
  for (host_slot host = 0; host < hosts_.size(); ++host) Link(host);
}

void host_index::GrowTrees() {
  while (leaves_ < hosts_.size()) leaves_ *= 2;
  for (group_cells& group : groups_) {
    group.maxima.assign(static_cast<std::size_t>(leaves_) * 2, kNothing);
  }
  for (host_slot host = 0; host < hosts_.size(); ++host) {
    UpdateMaxima(host, hosts_[host].group, hosts_[host].free);
  }
}

host_slot host_index::FindFirst(host_group group, const resources& size,
                                std::span<const host_slot> avoid, host_slot from) const {
  const std::vector<resources>& maxima = groups_[static_cast<std::size_t>(group)].maxima;
  return Search(maxima, 1, 0, leaves_, size, avoid, from);
}

// NOLINTNEXTLINE(misc-no-recursion)
host_slot host_index::Search(const std::vector<resources>& maxima, std::size_t node, host_slot low,
                             host_slot width, const resources& size,
                             std::span<const host_slot> avoid, host_slot from) const {
  if (low + width <= from || !maxima[node].Holds(size)) return kNoSlot;
  if (width == 1) {
    return std::find(avoid.begin(), avoid.end(), low) == avoid.end() ? low : kNoSlot;
  }
  const host_slot half = width / 2;
  const host_slot left = Search(maxima, node * 2, low, half, size, avoid, from);
  if (left != kNoSlot) return left;
  return Search(maxima, node * 2 + 1, low + half, half, size, avoid, from);
}

}  // namespace sycamorehinge
