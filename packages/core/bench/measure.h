// Scenarios of sycamorehinge-measure-pool. Each prints lines of the form "name value unit" and
// measures the pool and its baselines in the same run.
#ifndef SYCAMOREHINGE_CORE_BENCH_MEASURE_H_
#define SYCAMOREHINGE_CORE_BENCH_MEASURE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_pool.h"
#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/placement.h"
#include "sycamorehinge/core/pool.h"

namespace sycamorehinge {

struct measure_options {
  std::uint64_t seed = 1;
  // Simulated duration of each scenario with load, and number of rounds of MeasureSpeed.
  std::int64_t seconds = 20;
};

// Pool options to measure: the defaults, or a baseline.
struct pool_variant {
  std::string_view name;
  pool_options options;
};

std::vector<pool_variant> PoolVariants();

void Print(std::string_view scenario, std::string_view variant, std::string_view figure,
           double value, std::string_view unit);
// Percentile of the values for `share` in 0..1; 0 if there are no values.
double Percentile(std::vector<double> values, double share);
// Uniform random number in [0, 1).
double UniformDouble(std::uint64_t& random);
// Random interval from an exponential distribution.
duration ExponentialGap(double mean_us, std::uint64_t& random);

void MeasureSpeed(const measure_options& options);
void MeasurePacking(const measure_options& options);
void MeasureUrgentWait(const measure_options& options);
void MeasureShares(const measure_options& options);
void MeasureEjection(const measure_options& options);
void MeasureGangs(const measure_options& options);

inline constexpr resources kSmallWorker{30'000, 60'000, 0, 0};
inline constexpr resources kLargeWorker{30'000, 130'000, 0, 0};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_BENCH_MEASURE_H_
