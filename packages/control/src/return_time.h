// Decides when a caller that is refused because the cell cannot take its call should come back.
//
// Answers an outage of the store, or the loss of the owner, in which all callers are refused until
// it ends. Nobody knows when that is, and each caller gives up at some time.
#ifndef SYCAMOREHINGE_CONTROL_SRC_RETURN_TIME_H_
#define SYCAMOREHINGE_CONTROL_SRC_RETURN_TIME_H_

#include <cstdint>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::control {

// `hint` is the time that the refusing process suggests, and `left` the time for which the caller
// still waits. Returns the hint, or less, so that the caller can come back several times before it
// gives up, the last time shortly before: each time after a third to two thirds of the time that it
// has left then. `key` spreads callers that are refused together.
duration ReturnTime(duration hint, duration left, std::uint64_t key);

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_RETURN_TIME_H_
