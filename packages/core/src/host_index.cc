#include "sycamorehinge/core/host_index.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

// Smaller than any size, so that it never fits.
constexpr resources kNoHost{-1, -1, -1, -1};

resources ElementwiseMax(const resources& a, const resources& b) {
  return {std::max(a.cores_milli, b.cores_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

}  // namespace

host_index::host_index() {
  for (group_grid& group : groups_) group.max_free.assign(2, kNoHost);
}

std::uint32_t host_index::GridLevel(std::int64_t amount, std::int64_t largest) {
  const std::int64_t level = std::max<std::int64_t>(amount, 0) * (kGridSide - 1) / largest;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(level, kGridSide - 1));
}

std::uint32_t host_index::CellFor(const resources& free) const {
  return GridLevel(RowAmount(free), largest_row_amount_) * kGridSide +
         GridLevel(free.memory_mb, largest_memory_);
}

const resources& host_index::LargestFree(host_group group) const {
  return groups_[static_cast<std::size_t>(group)].max_free[1];
}

void host_index::Set(host_slot host, host_group group, const resources& free,
                     const resources& capacity) {
  if (host >= hosts_.size()) hosts_.resize(host + 1);
  if (host >= leaf_count_) GrowTrees();
  Unlink(host);
  const host_group old_group = hosts_[host].group;
  if (old_group != group) UpdateMaxima(host, old_group, kNoHost);
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
  if (CellFor(free) != entry.cell) {
    Unlink(host);
    Link(host);
  }
  UpdateMaxima(host, entry.group, free);
}

void host_index::Link(host_slot host) {
  indexed_host& entry = hosts_[host];
  if (entry.group == host_group::kUnavailable) return;
  group_grid& group = groups_[static_cast<std::size_t>(entry.group)];
  entry.cell = CellFor(entry.free);
  std::vector<host_slot>& cell = group.cells[entry.cell];
  entry.position = static_cast<std::uint32_t>(cell.size());
  cell.push_back(host);
  group.rows[entry.cell / kGridSide] |= 1U << (entry.cell % kGridSide);
}

void host_index::Unlink(host_slot host) {
  const indexed_host& entry = hosts_[host];
  if (entry.group == host_group::kUnavailable) return;
  group_grid& group = groups_[static_cast<std::size_t>(entry.group)];
  std::vector<host_slot>& cell = group.cells[entry.cell];
  cell[entry.position] = cell.back();
  hosts_[cell.back()].position = entry.position;
  cell.pop_back();
  if (cell.empty()) group.rows[entry.cell / kGridSide] &= ~(1U << (entry.cell % kGridSide));
}

void host_index::UpdateMaxima(host_slot host, host_group group, const resources& free) {
  if (group == host_group::kUnavailable) return;
  std::vector<resources>& max_free = groups_[static_cast<std::size_t>(group)].max_free;
  std::size_t node = leaf_count_ + host;
  max_free[node] = free;
  for (node /= 2; node >= 1; node /= 2) {
    const resources larger = ElementwiseMax(max_free[node * 2], max_free[node * 2 + 1]);
    if (larger == max_free[node]) return;
    max_free[node] = larger;
  }
}

// Rebuilds the grid if a host is larger than all hosts before it. Hosts come in few sizes, so this
// is rare.
void host_index::Rescale(const resources& capacity) {
  const bool rows_by_slots = rows_by_slots_ && capacity.cores_milli == 0;
  const std::int64_t row_amount = rows_by_slots ? capacity.slots : capacity.cores_milli;
  const bool larger = row_amount > largest_row_amount_ || capacity.memory_mb > largest_memory_;
  if (rows_by_slots == rows_by_slots_ && !larger) return;
  for (host_slot host = 0; host < hosts_.size(); ++host) Unlink(host);
  if (rows_by_slots != rows_by_slots_) largest_row_amount_ = 1;
  rows_by_slots_ = rows_by_slots;
  largest_row_amount_ = std::max(largest_row_amount_, row_amount);
  largest_memory_ = std::max(largest_memory_, capacity.memory_mb);
  for (host_slot host = 0; host < hosts_.size(); ++host) Link(host);
}

void host_index::GrowTrees() {
  while (leaf_count_ < hosts_.size()) leaf_count_ *= 2;
  for (group_grid& group : groups_) {
    group.max_free.assign(static_cast<std::size_t>(leaf_count_) * 2, kNoHost);
  }
  for (host_slot host = 0; host < hosts_.size(); ++host) {
    UpdateMaxima(host, hosts_[host].group, hosts_[host].free);
  }
}

host_slot host_index::FindFirst(host_group group, const resources& size,
                                std::span<const host_slot> avoid, host_slot from) const {
  const std::vector<resources>& max_free = groups_[static_cast<std::size_t>(group)].max_free;
  return SearchTree(max_free, 1, 0, leaf_count_, size, avoid, from);
}

// NOLINTNEXTLINE(misc-no-recursion)
host_slot host_index::SearchTree(const std::vector<resources>& max_free, std::size_t node,
                                 host_slot low, host_slot width, const resources& size,
                                 std::span<const host_slot> avoid, host_slot from) const {
  if (low + width <= from || !max_free[node].CanFit(size)) return kNoSlot;
  if (width == 1) {
    return std::find(avoid.begin(), avoid.end(), low) == avoid.end() ? low : kNoSlot;
  }
  const host_slot half = width / 2;
  const host_slot left = SearchTree(max_free, node * 2, low, half, size, avoid, from);
  if (left != kNoSlot) return left;
  return SearchTree(max_free, node * 2 + 1, low + half, half, size, avoid, from);
}

}  // namespace sycamorehinge
