// Latency histogram with logarithmic buckets.
#ifndef SYCAMOREHINGE_TELEMETRY_SRC_LATENCY_HISTOGRAM_H_
#define SYCAMOREHINGE_TELEMETRY_SRC_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

class latency_histogram {
 public:
  latency_histogram();

  void Record(duration time);
  void Add(const latency_histogram& other);
  std::uint64_t Count() const { return count_; }
  double SumSeconds() const { return sum_seconds_; }
  std::optional<duration> Percentile(double q) const;

  struct bucket {
    double upper_seconds;
    // Number of samples up to the bound.
    std::uint64_t cumulative;
  };
  // Buckets for the metrics page: two per decade, coarser than the histogram; the bound of the last
  // is infinite.
  std::vector<bucket> Buckets() const;

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  // The default storage uses one byte per bucket until a count needs more.
  using histogram = boost::histogram::histogram<std::tuple<axis>>;

  histogram histogram_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_TELEMETRY_SRC_LATENCY_HISTOGRAM_H_
