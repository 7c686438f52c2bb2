// Latency histograms and work counters for each tenant and class.
#ifndef SYCAMOREHINGE_TELEMETRY_METRICS_H_
#define SYCAMOREHINGE_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "sycamorehinge/core/types.h"
#include "sycamorehinge/telemetry/exposition.h"

namespace sycamorehinge {

enum class latency {
  // From acceptance to placement.
  kQueueWait,
  // From start to end on the host.
  kRunTime,
  // From arrival of a request to its answer.
  kAnswerTime,
  // From the claim of the cell to a stage of its takeover.
  kTakeover,
};
inline constexpr std::size_t kLatencyKinds = 4;

enum class work_event {
  kAccepted,
  kRefused,
  kStarted,
  kSucceeded,
  kFailed,
  kLost,
  kRetried,
  kPreempted,
  kCancelled,
  kUnknown,
};
inline constexpr std::size_t kWorkEvents = 10;

struct metrics_options {
  // Pairs of tenant and class with their own series, divided evenly among the shards; further pairs
  // share the series "other", "other". 380 tenants with 10 classes each (3800 pairs) fit even if
  // the shards fill unevenly.
  std::size_t max_series = 8192;
};

// Thread-safe. Pairs of tenant and class are distributed over shards, each with its own mutex.
class metrics {
 public:
  explicit metrics(metrics_options options = {});
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void Record(latency kind, std::string_view tenant, std::string_view work_class, duration time);
  void Count(work_event kind, std::string_view tenant, std::string_view work_class,
             std::uint64_t by = 1);

  // Quantile `q` (0..1) of the samples, with an error of at most 6% between 10 us and 10,000 s. An
  // empty tenant or class matches all. nullopt if there are no samples.
  std::optional<duration> Percentile(latency kind, std::string_view tenant,
                                     std::string_view work_class, double q) const;
  std::uint64_t Total(work_event kind, std::string_view tenant, std::string_view work_class) const;

  // Omits series without samples.
  void WriteTo(exposition& page) const;

 private:
  class shard;
  shard& ShardOf(std::string_view tenant, std::string_view work_class) const;

  metrics_options options_;
  std::unique_ptr<shard[]> shards_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_TELEMETRY_METRICS_H_
