#include "latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorehinge {

namespace {

constexpr double kSmallestSeconds = 1e-5;
constexpr double kLargestSeconds = 1e4;
constexpr int kDecades = 9;
// Adjacent bounds differ by 12%, so the interpolation error is at most 6%.
constexpr int kBucketsPerDecade = 20;
constexpr int kExportedPerDecade = 2;
constexpr int kBuckets = kDecades * kBucketsPerDecade;

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

latency_histogram::latency_histogram()
    : histogram_(std::make_tuple(axis(kBuckets, kSmallestSeconds, kLargestSeconds))) {}

void latency_histogram::Record(duration time) {
  const double seconds = std::chrono::duration<double>(std::max(time, duration::zero())).count();
  // A logarithmic axis has no zero; a time of zero counts in the underflow bucket.
  histogram_(std::max(seconds, kSmallestSeconds / 2));
  ++count_;
  sum_seconds_ += seconds;
}

void latency_histogram::Add(const latency_histogram& other) {
  histogram_ += other.histogram_;
  count_ += other.count_;
  sum_seconds_ += other.sum_seconds_;
}

std::optional<duration> latency_histogram::Percentile(double q) const {
  if (count_ == 0) return std::nullopt;
  const double wanted = std::clamp(q, 0.0, 1.0) * static_cast<double>(count_);
  const axis& buckets = histogram_.axis();
  double below = static_cast<double>(histogram_.at(-1));
  if (below >= wanted && below > 0) return FromSeconds(kSmallestSeconds);
  for (int i = 0; i < buckets.size(); ++i) {
    const auto inside = static_cast<double>(histogram_.at(i));
    if (inside > 0 && below + inside >= wanted) {
      return FromSeconds(buckets.value(i + (wanted - below) / inside));
    }
    below += inside;
  }
  return FromSeconds(kLargestSeconds);
}

std::vector<latency_histogram::bucket> latency_histogram::Buckets() const {
  constexpr int kStep = kBucketsPerDecade / kExportedPerDecade;
  std::vector<bucket> exported;
  auto cumulative = static_cast<std::uint64_t>(histogram_.at(-1));
  const axis& buckets = histogram_.axis();
  for (int i = 0; i < buckets.size(); ++i) {
    cumulative += static_cast<std::uint64_t>(histogram_.at(i));
    if ((i + 1) % kStep == 0) exported.push_back({buckets.value(i + 1), cumulative});
  }
  exported.push_back({std::numeric_limits<double>::infinity(), count_});
  return exported;
}

}  // namespace sycamorehinge
