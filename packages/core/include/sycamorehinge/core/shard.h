// State under one lock, with ordered delivery of the items that changes produce.
#ifndef SYCAMOREHINGE_CORE_SHARD_H_
#define SYCAMOREHINGE_CORE_SHARD_H_

#include <mutex>
#include <utility>
#include <vector>

namespace sycamorehinge {

// `deliver` is called without the lock, by one thread at a time and in the order of the changes, so
// that a withdrawal cannot overtake the offer before it. Items of a change that is made during a
// delivery, by this or another thread, are delivered by the thread that is already delivering.
template <class State, class Item>
class shard {
 public:
  template <class... Arguments>
  explicit shard(Arguments&&... arguments) : state_(std::forward<Arguments>(arguments)...) {}

  template <class Change, class Deliver>
  void Apply(Change&& change, Deliver&& deliver) {
    std::unique_lock lock(mutex_);
    change(state_, outbox_);
    if (delivering_) return;
    delivering_ = true;
    while (!outbox_.empty()) {
      std::vector<Item> batch;
      batch.swap(outbox_);
      lock.unlock();
      for (Item& item : batch) deliver(item);
      lock.lock();
    }
    delivering_ = false;
  }

  template <class Read>
  auto View(Read&& read) const {
    const std::lock_guard lock(mutex_);
    return read(state_);
  }

 private:
  mutable std::mutex mutex_;
  State state_;
  std::vector<Item> outbox_;
  bool delivering_ = false;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SHARD_H_
