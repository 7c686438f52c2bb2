// Decides whether tasks wait for room near their data or their group, or start elsewhere now.
//
// Away from the rack of their data, and in gangs that want one rack on several, tasks run longer by
// a factor. A wait pays if it is expected to be shorter than the time that the tasks would lose.
#ifndef SYCAMOREHINGE_CELL_LOCALITY_H_
#define SYCAMOREHINGE_CELL_LOCALITY_H_

#include <variant>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

struct locality_request {
  // How much longer the step runs elsewhere.
  duration loss{};
  // Time until enough room is expected there; duration::max() if none is.
  duration expected_wait{};
  // Time for which the step has waited for such room, and how long it was expected to wait when it
  // began.
  duration waited{};
  duration first_expected_wait{};
};

struct start_now {};
struct wait_for_room {};
using locality_decision = std::variant<start_now, wait_for_room>;

locality_decision DecideLocality(const locality_request& request);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_LOCALITY_H_
