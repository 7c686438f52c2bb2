// sycamorehinge-measure-pool: measures the pool and its baselines.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <span>

#include "measure.h"

namespace sycamorehinge {

std::vector<pool_variant> PoolVariants() {
  std::vector<pool_variant> variants = {
      {"pool", {}}, {"fifo", {}}, {"random", {}}, {"first_fit", {}}};
  variants[1].options.order = fifo{};
  variants[2].options.placement = placement_kind::kRandom;
  variants[3].options.placement = placement_kind::kFirstFit;
  return variants;
}

void Print(std::string_view scenario, std::string_view variant, std::string_view figure,
           double value, std::string_view unit) {
  std::printf("%.*s.%.*s.%.*s %.6g %.*s\n", static_cast<int>(scenario.size()), scenario.data(),
              static_cast<int>(variant.size()), variant.data(), static_cast<int>(figure.size()),
              figure.data(), value, static_cast<int>(unit.size()), unit.data());
  std::fflush(stdout);
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(share * last))];
}

double UniformDouble(std::uint64_t& random) {
  return static_cast<double>(NextRandom(random) >> 11) * 0x1.0p-53;
}

duration ExponentialGap(double mean_us, std::uint64_t& random) {
  return duration(static_cast<std::int64_t>(-std::log(1 - UniformDouble(random)) * mean_us));
}

namespace {

bool ReadOptions(std::span<char*> arguments, measure_options& options) {
  for (std::size_t i = 1; i < arguments.size(); i += 2) {
    const std::string_view name = arguments[i];
    if (i + 1 >= arguments.size()) return false;
    char* end = nullptr;
    const std::int64_t value = std::strtoll(arguments[i + 1], &end, 10);
    if (*end != '\0' || value < 1) return false;
    if (name == "--seed") {
      options.seed = static_cast<std::uint64_t>(value);
    } else if (name == "--seconds") {
      options.seconds = value;
    } else {
      return false;
    }
  }
  return true;
}

}  // namespace
}  // namespace sycamorehinge

int main(int argc, char** argv) {
  using namespace sycamorehinge;  // NOLINT(google-build-using-namespace)
  measure_options options;
  if (!ReadOptions({argv, static_cast<std::size_t>(argc)}, options)) {
    std::fprintf(stderr, "usage: sycamorehinge-measure-pool [--seed N] [--seconds N]\n");
    return 2;
  }
  Print("run", "options", "seed", static_cast<double>(options.seed), "number");
  Print("run", "options", "seconds", static_cast<double>(options.seconds), "s");
  MeasureSpeed(options);
  MeasurePacking(options);
  MeasureUrgentWait(options);
  MeasureShares(options);
  MeasureEjection(options);
  MeasureGangs(options);
  return 0;
}
