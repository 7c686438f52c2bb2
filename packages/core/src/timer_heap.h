// Binary heap of the timers of a pool. Entries are not removed when their work leaves; the pool
// checks the generation of an entry when it is due and compacts the heap.
#ifndef SYCAMOREHINGE_CORE_SRC_TIMER_HEAP_H_
#define SYCAMOREHINGE_CORE_SRC_TIMER_HEAP_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

enum class timer_kind : std::uint8_t { kDeadline, kOverflow, kGangRetry, kDrainStart, kHold };

struct timer {
  time_point at;
  timer_kind kind = timer_kind::kDeadline;
  // Slot and generation in the queue, or in the ledger if the kind is kHold.
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;
};

class timer_heap {
 public:
  void Push(const timer& entry) {
    heap_.push_back(entry);
    std::push_heap(heap_.begin(), heap_.end(), Later);
  }
  bool Empty() const { return heap_.empty(); }
  std::size_t Size() const { return heap_.size(); }
  const timer& Top() const { return heap_.front(); }
  timer Pop() {
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    const timer top = heap_.back();
    heap_.pop_back();
    return top;
  }
  // Removes all entries for which `is_stale` returns true.
  template <class IsStale>
  void Compact(IsStale is_stale) {
    std::erase_if(heap_, is_stale);
    std::make_heap(heap_.begin(), heap_.end(), Later);
  }

 private:
  static bool Later(const timer& a, const timer& b) { return a.at > b.at; }

  std::vector<timer> heap_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SRC_TIMER_HEAP_H_
