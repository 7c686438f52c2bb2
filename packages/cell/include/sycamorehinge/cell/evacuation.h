// Decides whether a run stays on a host that is leaving, or is stopped and started elsewhere.
//
// Answers hosts that are taken away at short notice. A run that is still there when its host goes
// away loses its work, and its task starts again only once the lease of the host has expired.
#ifndef SYCAMOREHINGE_CELL_EVACUATION_H_
#define SYCAMOREHINGE_CELL_EVACUATION_H_

#include <variant>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

struct leaving_run {
  // Estimated time that the run still takes; duration::max() for one that lasts.
  duration left{};
  // Time until the host goes away, at least.
  duration host_left{};
};

struct keep_run {};
struct move_run {};
using evacuation_decision = std::variant<keep_run, move_run>;

evacuation_decision DecideEvacuation(const leaving_run& run);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_EVACUATION_H_
