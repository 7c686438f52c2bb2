// Timers of a pool. Entries of work that has left are dropped lazily.
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
  // Slot of the queue, or of the ledger for kHold, and its generation.
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
