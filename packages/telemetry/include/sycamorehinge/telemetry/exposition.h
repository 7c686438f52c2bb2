// Prometheus text exposition format for metrics, version 0.0.4.
#ifndef SYCAMOREHINGE_TELEMETRY_EXPOSITION_H_
#define SYCAMOREHINGE_TELEMETRY_EXPOSITION_H_

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace sycamorehinge {

inline constexpr std::string_view kExpositionContentType = "text/plain; version=0.0.4";

enum class metric_kind { kCounter, kGauge, kHistogram };

struct metric_label {
  std::string_view name;
  std::string_view value;
};

// Builds one page. All samples of a family must directly follow its Family() call.
class exposition {
 public:
  void Family(std::string_view name, metric_kind kind, std::string_view help);
  void Sample(std::string_view name, std::span<const metric_label> labels, double value);
  void Sample(std::string_view name, std::initializer_list<metric_label> labels, double value);

  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_TELEMETRY_EXPOSITION_H_
