// Measurements taken from histories: waits by class, packing and control traffic.
#ifndef SYCAMOREHINGE_TESTING_FIGURES_H_
#define SYCAMOREHINGE_TESTING_FIGURES_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "sycamorehinge/testing/history.h"

namespace sycamorehinge::testing {

struct figures {
  // Time from the first sending of each request or job to its first start, by class.
  std::map<std::string, std::vector<duration>> waits;
  // Share of the workers' room that was taken, averaged over the time from the first start of a
  // task to the last one, on the axis that was taken most.
  double packing = 0;
  platform_totals totals;
};

figures Measure(std::span<const history_event> events);

// "name value unit" lines.
std::string ToString(const figures& measured);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_FIGURES_H_
