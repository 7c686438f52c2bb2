// Counters and waits of a load run.
#ifndef SYCAMOREHINGE_TESTING_LOAD_STATS_H_
#define SYCAMOREHINGE_TESTING_LOAD_STATS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::testing {

// Smallest value with at least `share` of the samples at or below it; zero without samples.
duration Percentile(std::vector<duration> samples, double share);

// "12.345" for a duration of 12,345 us.
std::string Milliseconds(duration value);

class load_stats {
 public:
  // `name` is a counter such as "done"; counters that were never added are not printed.
  void Add(std::string_view name, std::uint64_t count = 1);
  void AddWait(std::string_view work_class, duration wait);

  std::uint64_t Count(std::string_view name) const;
  // "name value unit" lines.
  std::string Print() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, std::vector<duration>, std::less<>> waits_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_LOAD_STATS_H_
