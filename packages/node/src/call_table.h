// Calls that wait for an answer, each completed exactly once.
#ifndef SYCAMOREHINGE_NODE_SRC_CALL_TABLE_H_
#define SYCAMOREHINGE_NODE_SRC_CALL_TABLE_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// A waiting call of type `Call` with the time at which it gives up.
template <class Call>
class call_table {
 public:
  std::uint64_t Add(Call call, time_point deadline) {
    const std::lock_guard lock(mutex_);
    const std::uint64_t number = ++last_;
    calls_.emplace(number, entry{std::move(call), deadline});
    return number;
  }

  // The call, if it still waits; it no longer does afterwards.
  std::optional<Call> Take(std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(number);
    if (found == calls_.end()) return std::nullopt;
    Call call = std::move(found->second.call);
    calls_.erase(found);
    return call;
  }

  // Copy of a waiting call.
  std::optional<Call> Find(std::uint64_t number) const {
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(number);
    if (found == calls_.end()) return std::nullopt;
    return found->second.call;
  }

  std::vector<Call> TakeExpired(time_point now) {
    const std::lock_guard lock(mutex_);
    std::vector<Call> expired;
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      expired.push_back(std::move(it->second.call));
      it = calls_.erase(it);
    }
    return expired;
  }

  std::size_t Size() const {
    const std::lock_guard lock(mutex_);
    return calls_.size();
  }

 private:
  struct entry {
    Call call;
    time_point deadline;
  };
  mutable std::mutex mutex_;
  std::uint64_t last_ = 0;
  std::unordered_map<std::uint64_t, entry> calls_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_CALL_TABLE_H_
