#include "return_time.h"

#include <algorithm>
#include <chrono>

#include "sycamorehinge/cell/actions.h"

namespace sycamorehinge::control {

namespace {

constexpr int kShortestParts = 3;
// Bounds the rate at which one caller returns.
constexpr duration kMinReturnTime = std::chrono::milliseconds(250);

}  // namespace

duration ReturnTime(duration hint, duration left, std::uint64_t key) {
  return std::min(hint, std::max(cell::SpreadRetry(left / kShortestParts, key), kMinReturnTime));
}

}  // namespace sycamorehinge::control
