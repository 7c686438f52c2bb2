// Decides at submission whether a job can still end in time behind the work that is ahead of it.
//
// Answers load that exceeds the capacity: what would end long after its target is refused at once,
// so that its caller can return when there is room and what was accepted keeps its time.
#ifndef SYCAMOREHINGE_CELL_ADMISSION_H_
#define SYCAMOREHINGE_CELL_ADMISSION_H_

#include <cstddef>
#include <variant>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// What waits in the queue of the job, without steps that can no longer end in time.
struct queue_load {
  std::size_t waiting_steps = 0;
  // Mean time for which they have waited.
  duration mean_age{};
  // Steps of the queue that start in a second, as a moving average.
  double starts_per_second = 0;
};

struct admission_request {
  // Time that the job takes if no task waits for a host.
  duration run_time{};
  // Target of the job, counted from its submission.
  duration target{};
  // The tenant submits more jobs than its weight allows.
  bool over_rate = false;
};

struct admitted {};
// `excess` is the time by which the job is expected to end too late.
struct refused {
  duration excess{};
};
using admission_decision = std::variant<admitted, refused>;

// Time for which a new job of the queue is expected to wait for its first host. In a queue that
// serves jobs in order of arrival, it is twice the mean age of those that wait.
duration ExpectedWait(const queue_load& load);
admission_decision DecideAdmission(const admission_request& request, const queue_load& load);

// Spreads callers that were refused over the time to come: each gets the next start that the queue
// is expected to have.
class return_schedule {
 public:
  // Returns the time after which the caller should return.
  duration NextReturn(const refused& decision, const queue_load& load, time_point now);

 private:
  time_point next_;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_ADMISSION_H_
