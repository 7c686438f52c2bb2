#include "sycamorehinge/testing/load_stats.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace sycamorehinge::testing {

duration Percentile(std::vector<duration> samples, double share) {
  if (samples.empty()) return {};
  const auto rank =
      static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

std::string Milliseconds(duration value) {
  char text[32];
  (void)std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(value.count()) / 1000);
  return text;
}

void load_stats::Add(std::string_view name, std::uint64_t count) {
  const std::lock_guard lock(mutex_);
  counters_[std::string(name)] += count;
}

void load_stats::AddWait(std::string_view work_class, duration wait) {
  const std::lock_guard lock(mutex_);
  waits_[std::string(work_class)].push_back(wait);
}

std::uint64_t load_stats::Count(std::string_view name) const {
  const std::lock_guard lock(mutex_);
  const auto found = counters_.find(name);
  return found == counters_.end() ? 0 : found->second;
}

std::string load_stats::Print() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, count] : counters_) text += name + " " + std::to_string(count) + " 1\n";
  for (const auto& [work_class, samples] : waits_) {
    text += "wait_" + work_class + "_p50 " + Milliseconds(Percentile(samples, 0.5)) + " ms\n";
    text += "wait_" + work_class + "_p99 " + Milliseconds(Percentile(samples, 0.99)) + " ms\n";
  }
  return text;
}

}  // namespace sycamorehinge::testing
