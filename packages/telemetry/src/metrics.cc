#include "sycamorehinge/telemetry/metrics.h"

#include <array>
#include <atomic>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "latency_histogram.h"

namespace sycamorehinge {

namespace {

constexpr std::size_t kShards = 16;
constexpr std::string_view kOther = "other";

constexpr std::array<std::string_view, kLatencyKinds> kLatencyNames = {
    "sycamorehinge_queue_wait_seconds", "sycamorehinge_run_seconds", "sycamorehinge_answer_seconds",
    "sycamorehinge_takeover_seconds"};
constexpr std::array<std::string_view, kLatencyKinds> kLatencyHelp = {
    "Time from acceptance to placement.", "Time from start to end on the host.",
    "Time from the arrival of a request to its answer.",
    "Time from the claim of the cell until it is acquired, and until all hosts were looked at."};
constexpr std::array<std::string_view, kWorkEvents> kCountNames = {
    "accepted", "refused", "started",   "succeeded", "failed",
    "lost",     "retried", "preempted", "cancelled", "unknown"};

struct series {
  std::array<std::optional<latency_histogram>, kLatencyKinds> times;
  std::array<std::uint64_t, kWorkEvents> counts{};

  void Add(const series& other) {
    for (std::size_t i = 0; i < kWorkEvents; ++i) counts[i] += other.counts[i];
    for (std::size_t i = 0; i < kLatencyKinds; ++i) {
      if (!other.times[i]) continue;
      if (!times[i]) times[i].emplace();
      times[i]->Add(*other.times[i]);
    }
  }
};

struct series_key {
  std::string tenant;
  std::string work_class;
};
using key_view = std::pair<std::string_view, std::string_view>;

key_view ViewOf(const series_key& key) { return {key.tenant, key.work_class}; }
key_view ViewOf(const key_view& key) { return key; }

// Transparent comparison, so that a lookup by views constructs no strings.
struct key_less {
  using is_transparent = void;
  template <class A, class B>
  bool operator()(const A& a, const B& b) const {
    return ViewOf(a) < ViewOf(b);
  }
};

using series_map = std::map<series_key, series, key_less>;

bool Matches(std::string_view wanted, std::string_view value) {
  return wanted.empty() || wanted == value;
}

std::string BoundText(double seconds) {
  if (std::isinf(seconds)) return "+Inf";
  // Bounds are powers of the square root of ten; four digits distinguish them.
  constexpr int kDigits = 4;
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), seconds,
                                 std::chars_format::general, kDigits)
                       .ptr;
  return {text.data(), end};
}

void WriteCounts(const series_map& all, exposition& page) {
  constexpr std::string_view kName = "sycamorehinge_work_total";
  page.Family(kName, metric_kind::kCounter, "Work by what became of it.");
  for (const auto& [key, values] : all) {
    for (std::size_t i = 0; i < kWorkEvents; ++i) {
      if (values.counts[i] == 0) continue;
      page.Sample(kName,
                  {{"tenant", key.tenant}, {"class", key.work_class}, {"event", kCountNames[i]}},
                  static_cast<double>(values.counts[i]));
    }
  }
}

void WriteLatency(const series_map& all, std::size_t kind, exposition& page) {
  const std::string name(kLatencyNames[kind]);
  page.Family(name, metric_kind::kHistogram, kLatencyHelp[kind]);
  for (const auto& [key, values] : all) {
    const auto& histogram = values.times[kind];
    if (!histogram) continue;
    const metric_label tenant{"tenant", key.tenant};
    const metric_label work_class{"class", key.work_class};
    for (const auto& bucket : histogram->Buckets()) {
      const std::string bound = BoundText(bucket.upper_seconds);
      page.Sample(name + "_bucket", {tenant, work_class, {"le", bound}},
                  static_cast<double>(bucket.cumulative));
    }
    page.Sample(name + "_sum", {tenant, work_class}, histogram->SumSeconds());
    page.Sample(name + "_count", {tenant, work_class}, static_cast<double>(histogram->Count()));
  }
}

}  // namespace

class metrics::shard {
 public:
  // Calls `function` on the series of the key, or on the shared series if the shard is full.
  template <class Function>
  void Update(const key_view& key, std::size_t max_series, Function function) {
    const std::lock_guard lock(mutex_);
    auto found = series_.find(key);
    if (found == series_.end()) {
      const bool full = series_.size() >= max_series;
      const key_view name = full ? key_view(kOther, kOther) : key;
      found = series_.try_emplace({std::string(name.first), std::string(name.second)}).first;
    }
    function(found->second);
  }

  template <class Function>
  void ForEach(Function function) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, values] : series_) function(ViewOf(key), values);
  }

 private:
  mutable std::mutex mutex_;
  series_map series_;
};

metrics::metrics(metrics_options options)
    : options_(options), shards_(std::make_unique<shard[]>(kShards)) {}

metrics::~metrics() = default;

metrics::shard& metrics::ShardOf(std::string_view tenant, std::string_view work_class) const {
  return shards_[StableHash(work_class, StableHash(tenant)) % kShards];
}

void metrics::Record(latency kind, std::string_view tenant, std::string_view work_class,
                     duration time) {
  ShardOf(tenant, work_class)
      .Update({tenant, work_class}, options_.max_series / kShards, [&](series& values) {
        auto& histogram = values.times[static_cast<std::size_t>(kind)];
        if (!histogram) histogram.emplace();
        histogram->Record(time);
      });
}

void metrics::Count(work_event kind, std::string_view tenant, std::string_view work_class,
                    std::uint64_t by) {
  ShardOf(tenant, work_class)
      .Update({tenant, work_class}, options_.max_series / kShards,
              [&](series& values) { values.counts[static_cast<std::size_t>(kind)] += by; });
}

std::optional<duration> metrics::Percentile(latency kind, std::string_view tenant,
                                            std::string_view work_class, double q) const {
  latency_histogram sum;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards_[i].ForEach([&](const key_view& key, const series& values) {
      if (!Matches(tenant, key.first) || !Matches(work_class, key.second)) return;
      const auto& histogram = values.times[static_cast<std::size_t>(kind)];
      if (histogram) sum.Add(*histogram);
    });
  }
  return sum.Percentile(q);
}

std::uint64_t metrics::Total(work_event kind, std::string_view tenant,
                             std::string_view work_class) const {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards_[i].ForEach([&](const key_view& key, const series& values) {
      if (!Matches(tenant, key.first) || !Matches(work_class, key.second)) return;
      total += values.counts[static_cast<std::size_t>(kind)];
    });
  }
  return total;
}

void metrics::WriteTo(exposition& page) const {
  // Copies the series first, so that no shard is locked while the page is written.
  series_map all;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards_[i].ForEach([&](const key_view& key, const series& values) {
      all[{std::string(key.first), std::string(key.second)}].Add(values);
    });
  }
  WriteCounts(all, page);
  for (std::size_t kind = 0; kind < kLatencyKinds; ++kind) WriteLatency(all, kind, page);
}

}  // namespace sycamorehinge
