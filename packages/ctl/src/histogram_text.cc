#include "histogram_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "text_table.h"

namespace sycamorehinge {

namespace {

constexpr double kBarWidth = 40;

std::string NumberText(double number) {
  if (std::isinf(number)) return "inf";
  std::array<char, 32> buffer{};
  const int size = std::snprintf(buffer.data(), buffer.size(), "%.6g", number);
  return {buffer.data(), static_cast<std::size_t>(size)};
}

std::string LabelText(const std::map<std::string, std::string>& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += " ";
    text += name;
    text += "=";
    text += value;
  }
  return Printable(text);
}

std::string Padded(const std::string& text, std::size_t width) {
  return std::string(width > text.size() ? width - text.size() : 0, ' ') + text;
}

// Without the empty buckets at both ends.
std::vector<histogram_bucket> UsedBuckets(const std::vector<histogram_bucket>& buckets) {
  const auto used = [](const histogram_bucket& bucket) { return bucket.count > 0; };
  const auto first = std::find_if(buckets.begin(), buckets.end(), used);
  const auto last = std::find_if(buckets.rbegin(), buckets.rend(), used).base();
  return first < last ? std::vector<histogram_bucket>(first, last)
                      : std::vector<histogram_bucket>();
}

}  // namespace

std::string HistogramText(const metric_histogram& histogram) {
  std::string text = Printable(histogram.name);
  const std::string labels = LabelText(histogram.labels);
  if (!labels.empty()) text += " (" + labels + ")";
  text += "\n  count " + NumberText(histogram.count);
  if (histogram.count > 0) {
    text += "  mean " + NumberText(histogram.sum / histogram.count);
    for (const auto& [name, share] :
         {std::pair("p50", 0.5), std::pair("p90", 0.9), std::pair("p99", 0.99)}) {
      text += std::string("  ") + name + " <= " + NumberText(QuantileLimit(histogram, share));
    }
  }
  text += "\n";
  const std::vector<histogram_bucket> used = UsedBuckets(histogram.buckets);
  double largest = 1;
  std::size_t limit_width = 0;
  std::size_t count_width = 0;
  for (const histogram_bucket& bucket : used) {
    largest = std::max(largest, bucket.count);
    limit_width = std::max(limit_width, NumberText(bucket.limit).size());
    count_width = std::max(count_width, NumberText(bucket.count).size());
  }
  for (const histogram_bucket& bucket : used) {
    const auto length = static_cast<std::size_t>(std::ceil(bucket.count / largest * kBarWidth));
    text += "  <= " + Padded(NumberText(bucket.limit), limit_width) + "  " +
            Padded(NumberText(bucket.count), count_width);
    if (length > 0) text += "  " + std::string(length, '#');
    text += "\n";
  }
  return text;
}

std::string MetricsText(const metric_groups& groups) {
  std::string text;
  for (const metric_histogram& histogram : groups.histograms) {
    text += HistogramText(histogram) + "\n";
  }
  if (groups.single.empty()) return text;
  text_table table({"metric", "labels", "value"});
  for (const metric_sample& sample : groups.single) {
    table.Add({sample.name, LabelText(sample.labels), NumberText(sample.value)});
  }
  return text + table.Render();
}

}  // namespace sycamorehinge
