// Scenarios of sycamorehinge-measure-pool. Each prints lines "name value unit" and runs the
// baselines beside the pool, interleaved in one run.
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
  // Simulated seconds of each scenario with load, and wall seconds for decision times.
  std::int64_t seconds = 20;
};

// A pool under measurement: sycamorehinge itself, or a baseline.
struct pool_variant {
  std::string_view name;
  pool_options options;
};

std::vector<pool_variant> PoolVariants();

void Print(std::string_view scenario, std::string_view variant, std::string_view figure,
           double value, std::string_view unit);
// Value at `share` (0..1) of the sorted values; 0 if there are none.
double Percentile(std::vector<double> values, double share);
double UniformDouble(std::uint64_t& random);
// Exponential gap with the given mean.
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
