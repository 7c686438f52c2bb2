// Sublinear index of hosts by free capacity.
//
// Each group has a grid over two resources, which lists hosts roughly in order of their free
// capacity, and a segment tree of max_free, which finds the first host that fits without missing
// any.
#ifndef SYCAMOREHINGE_CORE_HOST_INDEX_H_
#define SYCAMOREHINGE_CORE_HOST_INDEX_H_

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "sycamorehinge/core/room.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Which work may use a host. kDrained hosts accumulate free capacity for one waiting gang.
enum class host_group : std::uint8_t { kPlain, kAccelerator, kDrained, kUnavailable };
inline constexpr std::size_t kIndexedGroups = 3;

struct indexed_host {
  resources free;
  resources capacity;
  host_group group = host_group::kUnavailable;
  std::uint32_t cell = 0;
  // Index of the host in the list of its cell.
  std::uint32_t position = 0;
};

class host_index {
 public:
  host_index();

  void Set(host_slot host, host_group group, const resources& free, const resources& capacity);
  void SetFree(host_slot host, const resources& free);

  const indexed_host& At(host_slot host) const { return hosts_[host]; }
  host_slot Size() const { return static_cast<host_slot>(hosts_.size()); }
  // Largest free amount of each resource; the amounts may belong to different hosts.
  const resources& LargestFree(host_group group) const;
  bool MayFit(host_group group, const resources& size) const {
    return LargestFree(group).CanFit(size);
  }

  // Returns the lowest slot at or above `from` that can fit `size` and is not in `avoid`, or
  // kNoSlot.
  host_slot FindFirst(host_group group, const resources& size, std::span<const host_slot> avoid,
                      host_slot from = 0) const;

  // Calls `visit(host)` for hosts that may fit `size`, in ascending or descending order of free
  // capacity, until it returns false. Cells are coarse, so the caller has to check each host.
  template <class Visit>
  void VisitByFree(host_group group, const resources& size, bool ascending, Visit visit) const;

 private:
  static constexpr std::uint32_t kGridSide = 32;
  static constexpr std::size_t kGridCells = std::size_t{kGridSide} * kGridSide;
  struct group_grid {
    // Bit mask of the non-empty cells of each row.
    std::array<std::uint32_t, kGridSide> rows{};
    std::array<std::vector<host_slot>, kGridCells> cells;
    // Segment tree: node 1 is the root, node n has the children 2n and 2n + 1.
    std::vector<resources> max_free;
  };

  std::int64_t RowAmount(const resources& amounts) const {
    return rows_by_slots_ ? amounts.slots : amounts.cores_milli;
  }
  static std::uint32_t GridLevel(std::int64_t amount, std::int64_t largest);
  std::uint32_t CellFor(const resources& free) const;
  void Link(host_slot host);
  void Unlink(host_slot host);
  void UpdateMaxima(host_slot host, host_group group, const resources& free);
  void Rescale(const resources& capacity);
  void GrowTrees();
  host_slot SearchTree(const std::vector<resources>& max_free, std::size_t node, host_slot low,
                       host_slot width, const resources& size, std::span<const host_slot> avoid,
                       host_slot from) const;
  template <class Visit>
  bool VisitRow(const group_grid& grid, std::uint32_t row, std::uint32_t mask, bool ascending,
                Visit& visit) const;

  std::vector<indexed_host> hosts_;
  std::array<group_grid, kIndexedGroups> groups_;
  host_slot leaf_count_ = 1;
  std::int64_t largest_row_amount_ = 1;
  std::int64_t largest_memory_ = 1;
  // Whether the grid rows follow slots. Targets have slots and no cores; workers have cores.
  bool rows_by_slots_ = true;
};

template <class Visit>
bool host_index::VisitRow(const group_grid& grid, std::uint32_t row, std::uint32_t mask,
                          bool ascending, Visit& visit) const {
  std::uint32_t columns = grid.rows[row] & mask;
  while (columns != 0) {
    const std::uint32_t column = static_cast<std::uint32_t>(
        ascending ? __builtin_ctz(columns) : 31 - __builtin_clz(columns));
    columns &= ~(1U << column);
    for (const host_slot host : grid.cells[std::size_t{row} * kGridSide + column]) {
      if (!visit(host)) return false;
    }
  }
  return true;
}

template <class Visit>
void host_index::VisitByFree(host_group group, const resources& size, bool ascending,
                             Visit visit) const {
  const group_grid& grid = groups_[static_cast<std::size_t>(group)];
  const std::uint32_t first = GridLevel(RowAmount(size), largest_row_amount_);
  const std::uint32_t mask = ~0U << GridLevel(size.memory_mb, largest_memory_);
  for (std::uint32_t step = 0; step + first < kGridSide; ++step) {
    const std::uint32_t row = ascending ? first + step : kGridSide - 1 - step;
    if (!VisitRow(grid, row, mask, ascending, visit)) return;
  }
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_HOST_INDEX_H_
