// Sub-linear index over the free room of hosts.
//
// Each group keeps a grid of cells by free room on two axes, for sampling hosts in order of their
// free room, and a tree of maxima, for an exact answer whether any host has room.
#ifndef SYCAMOREHINGE_CORE_HOST_INDEX_H_
#define SYCAMOREHINGE_CORE_HOST_INDEX_H_

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "sycamorehinge/core/room.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Which work may use a host. kDrained hosts collect room for one waiting gang.
enum class host_group : std::uint8_t { kPlain, kAccelerator, kDrained, kUnavailable };
inline constexpr std::size_t kIndexedGroups = 3;

struct indexed_host {
  resources free;
  resources capacity;
  host_group group = host_group::kUnavailable;
  std::uint32_t cell = 0;
  // Position of the host within its cell.
  std::uint32_t position = 0;
};

class host_index {
 public:
  host_index();

  void Set(host_slot host, host_group group, const resources& free, const resources& capacity);
  void SetFree(host_slot host, const resources& free);

  const indexed_host& At(host_slot host) const { return hosts_[host]; }
  host_slot Size() const { return static_cast<host_slot>(hosts_.size()); }
  // Largest free room on each axis, not necessarily of one host.
  const resources& LargestFree(host_group group) const;
  bool MayHold(host_group group, const resources& size) const {
    return LargestFree(group).Holds(size);
  }

  // Lowest slot at or above `from` with room and not in `avoid`; kNoSlot if there is none.
  host_slot FindFirst(host_group group, const resources& size, std::span<const host_slot> avoid,
                      host_slot from = 0) const;

  // Calls `visit(host)` for hosts that may have room, least free room first (`ascending`) or most
  // first, until it returns false. Hosts of a boundary cell may lack room.
  template <class Visit>
  void VisitByRoom(host_group group, const resources& size, bool ascending, Visit visit) const;

 private:
  static constexpr std::uint32_t kSide = 32;
  static constexpr std::size_t kCells = std::size_t{kSide} * kSide;
  struct group_cells {
    std::array<std::uint32_t, kSide> rows{};
    std::array<std::vector<host_slot>, kCells> cells;
    std::vector<resources> maxima;
  };

  std::int64_t MainAxis(const resources& room) const {
    return by_slots_ ? room.slots : room.cores_milli;
  }
  static std::uint32_t Level(std::int64_t amount, std::int64_t largest);
  std::uint32_t CellOf(const resources& free) const;
  void Link(host_slot host);
  void Unlink(host_slot host);
  void UpdateMaxima(host_slot host, host_group group, const resources& free);
  void Rescale(const resources& capacity);
  void GrowTrees();
  host_slot Search(const std::vector<resources>& maxima, std::size_t node, host_slot low,
                   host_slot width, const resources& size, std::span<const host_slot> avoid,
                   host_slot from) const;
  template <class Visit>
  bool VisitRow(const group_cells& cells, std::uint32_t row, std::uint32_t mask, bool ascending,
                Visit& visit) const;

  std::vector<indexed_host> hosts_;
  std::array<group_cells, kIndexedGroups> groups_;
  host_slot leaves_ = 1;
  std::int64_t largest_main_ = 1;
  std::int64_t largest_memory_ = 1;
  // Targets have slots and no cores.
  bool by_slots_ = true;
};

template <class Visit>
bool host_index::VisitRow(const group_cells& cells, std::uint32_t row, std::uint32_t mask,
                          bool ascending, Visit& visit) const {
  std::uint32_t columns = cells.rows[row] & mask;
  while (columns != 0) {
    const std::uint32_t column = static_cast<std::uint32_t>(
        ascending ? __builtin_ctz(columns) : 31 - __builtin_clz(columns));
    columns &= ~(1U << column);
    for (const host_slot host : cells.cells[std::size_t{row} * kSide + column]) {
      if (!visit(host)) return false;
    }
  }
  return true;
}

template <class Visit>
void host_index::VisitByRoom(host_group group, const resources& size, bool ascending,
                             Visit visit) const {
  const group_cells& cells = groups_[static_cast<std::size_t>(group)];
  const std::uint32_t first = Level(MainAxis(size), largest_main_);
  const std::uint32_t mask = ~0U << Level(size.memory_mb, largest_memory_);
  for (std::uint32_t step = 0; step + first < kSide; ++step) {
    const std::uint32_t row = ascending ? first + step : kSide - 1 - step;
    if (!VisitRow(cells, row, mask, ascending, visit)) return;
  }
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_HOST_INDEX_H_
