#include "exposition.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace sycamorehinge {

namespace {

using label_map = std::map<std::string, std::string>;

std::optional<double> ParseNumber(std::string_view text) {
  if (text == "+Inf") return std::numeric_limits<double>::infinity();
  double number = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return number;
}

void SkipSpace(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
}

// Takes a quoted label value with its escapes; `text` begins behind the first quote.
bool TakeQuoted(std::string_view& text, std::string& value) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return true;
    }
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
      value += text[i] == 'n' ? '\n' : text[i];
    } else {
      value += text[i];
    }
  }
  return false;
}

// Takes "{a="x",b="y"}"; `text` begins behind the brace.
bool TakeLabels(std::string_view& text, label_map& labels) {
  while (true) {
    SkipSpace(text);
    if (text.starts_with('}')) {
      text.remove_prefix(1);
      return true;
    }
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals + 1 >= text.size()) return false;
    if (text[equals + 1] != '"') return false;
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 2);
    std::string value;
    if (!TakeQuoted(text, value)) return false;
    labels.emplace(std::move(name), std::move(value));
    SkipSpace(text);
    if (text.starts_with(',')) text.remove_prefix(1);
  }
}

std::optional<metric_sample> ParseSample(std::string_view line) {
  if (line.empty() || line.front() == '#') return std::nullopt;
  metric_sample sample;
  const std::size_t end = std::min(line.find_first_of("{ \t"), line.size());
  sample.name = std::string(line.substr(0, end));
  line.remove_prefix(end);
  if (line.starts_with('{')) {
    line.remove_prefix(1);
    if (!TakeLabels(line, sample.labels)) return std::nullopt;
  }
  SkipSpace(line);
  // A time may follow the value.
  const auto value = ParseNumber(line.substr(0, line.find_first_of(" \t\r")));
  if (sample.name.empty() || !value) return std::nullopt;
  sample.value = *value;
  return sample;
}

using histogram_key = std::pair<std::string, label_map>;

// Turns the cumulative counts of the exposition into counts for each bucket.
void Separate(metric_histogram& histogram) {
  std::stable_sort(
      histogram.buckets.begin(), histogram.buckets.end(),
      [](const histogram_bucket& a, const histogram_bucket& b) { return a.limit < b.limit; });
  double below = 0;
  for (histogram_bucket& bucket : histogram.buckets) {
    const double total = bucket.count;
    bucket.count = std::max(0.0, total - below);
    below = std::max(below, total);
  }
}

// Base name if `name` ends in `suffix` and names a histogram.
std::optional<std::string> BaseName(const metric_sample& sample, std::string_view suffix,
                                    const std::set<std::string>& histograms) {
  if (!sample.name.ends_with(suffix)) return std::nullopt;
  std::string base = sample.name.substr(0, sample.name.size() - suffix.size());
  return histograms.contains(base) ? std::optional(std::move(base)) : std::nullopt;
}

}  // namespace

std::vector<metric_sample> ParseExposition(std::string_view text) {
  std::vector<metric_sample> samples;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    if (auto sample = ParseSample(text.substr(0, end))) samples.push_back(*std::move(sample));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return samples;
}

metric_groups GroupMetrics(const std::vector<metric_sample>& samples) {
  constexpr std::string_view kBucket = "_bucket";
  std::set<std::string> names;
  for (const metric_sample& sample : samples) {
    if (sample.name.ends_with(kBucket) && sample.labels.contains("le")) {
      names.insert(sample.name.substr(0, sample.name.size() - kBucket.size()));
    }
  }
  std::map<histogram_key, metric_histogram> histograms;
  metric_groups groups;
  for (const metric_sample& sample : samples) {
    if (const auto base = BaseName(sample, kBucket, names)) {
      label_map labels = sample.labels;
      const auto limit = ParseNumber(labels["le"]);
      labels.erase("le");
      if (limit) histograms[{*base, labels}].buckets.push_back({*limit, sample.value});
    } else if (const auto counted = BaseName(sample, "_count", names)) {
      histograms[{*counted, sample.labels}].count = sample.value;
    } else if (const auto summed = BaseName(sample, "_sum", names)) {
      histograms[{*summed, sample.labels}].sum = sample.value;
    } else {
      groups.single.push_back(sample);
    }
  }
  for (auto& [key, histogram] : histograms) {
    histogram.name = key.first;
    histogram.labels = key.second;
    Separate(histogram);
    groups.histograms.push_back(std::move(histogram));
  }
  return groups;
}

double QuantileLimit(const metric_histogram& histogram, double quantile) {
  double total = 0;
  for (const histogram_bucket& bucket : histogram.buckets) total += bucket.count;
  double reached = 0;
  for (const histogram_bucket& bucket : histogram.buckets) {
    reached += bucket.count;
    if (total > 0 && reached >= quantile * total) return bucket.limit;
  }
  return 0;
}

}  // namespace sycamorehinge
