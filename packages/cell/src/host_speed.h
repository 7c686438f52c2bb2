// Learns how fast a host runs its tasks, compared with other hosts that run tasks of the same
// steps.
//
// Answers hosts that differ in speed or become slow while their health is good: a gang runs at the
// pace of its slowest member, and a task on a slow host may miss its target.
#ifndef SYCAMOREHINGE_CELL_SRC_HOST_SPEED_H_
#define SYCAMOREHINGE_CELL_SRC_HOST_SPEED_H_

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// Progress in percent of a task or of several, and the time that they have run for it.
struct task_pace {
  double percent = 0;
  duration time{};

  task_pace& operator+=(const task_pace& other) {
    percent += other.percent;
    time += other.time;
    return *this;
  }
  task_pace& operator-=(const task_pace& other) {
    percent -= other.percent;
    time -= other.time;
    return *this;
  }
};

class host_speed {
 public:
  // The task made the progress `own`, and the others of its step made `others`. Declared run times
  // play no part, so an error in them cancels out.
  void Add(const task_pace& own, const task_pace& others, time_point now);
  // 1 for the usual speed, or while too little is known; between 0.25 and 4.
  double Value(time_point now) const;
  // Steps of a quarter: 0 for the usual speed, 1 for about 1.25 times that, -1 for 0.8 times. The
  // learned speeds of equal hosts are less than half a step apart.
  int Class(time_point now) const;

 private:
  double value_ = 1;
  duration observed_{};
  time_point updated_;
};

// Hosts of this class and below get work only if no others have room.
inline constexpr int kSlowClass = -2;

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SRC_HOST_SPEED_H_
