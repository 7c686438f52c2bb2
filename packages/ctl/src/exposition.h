// Reads the text exposition of metrics (Prometheus text format 0.0.4).
#ifndef SYCAMOREHINGE_CTL_EXPOSITION_H_
#define SYCAMOREHINGE_CTL_EXPOSITION_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorehinge {

struct metric_sample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

// Lines that are not samples are skipped.
std::vector<metric_sample> ParseExposition(std::string_view text);

struct histogram_bucket {
  // Upper limit; infinity for the last one.
  double limit = 0;
  // Samples in this bucket alone.
  double count = 0;
};

struct metric_histogram {
  std::string name;
  std::map<std::string, std::string> labels;
  std::vector<histogram_bucket> buckets;
  double count = 0;
  double sum = 0;
};

struct metric_groups {
  std::vector<metric_histogram> histograms;
  // Samples that belong to no histogram.
  std::vector<metric_sample> single;
};

// Joins NAME_bucket, NAME_count and NAME_sum of equal labels.
metric_groups GroupMetrics(const std::vector<metric_sample>& samples);

// Upper limit of the bucket in which the share `quantile` of the samples is reached; 0 if empty.
double QuantileLimit(const metric_histogram& histogram, double quantile);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_EXPOSITION_H_
