#include "sycamorehinge/telemetry/exposition.h"

#include <array>
#include <charconv>
#include <cmath>

namespace sycamorehinge {

namespace {

std::string_view KindName(metric_kind kind) {
  switch (kind) {
    case metric_kind::kCounter:
      return "counter";
    case metric_kind::kGauge:
      return "gauge";
    case metric_kind::kHistogram:
      return "histogram";
  }
  return "untyped";
}

void AppendEscaped(std::string& text, std::string_view value, bool quotes) {
  for (const char c : value) {
    if (c == '\\') {
      text += "\\\\";
    } else if (c == '\n') {
      text += "\\n";
    } else if (c == '"' && quotes) {
      text += "\\\"";
    } else {
      text += c;
    }
  }
}

void AppendNumber(std::string& text, double value) {
  if (std::isinf(value)) {
    text += value > 0 ? "+Inf" : "-Inf";
    return;
  }
  if (std::isnan(value)) {
    text += "NaN";
    return;
  }
  std::array<char, 32> digits{};
  text.append(digits.data(),
              std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr);
}

}  // namespace

void exposition::Family(std::string_view name, metric_kind kind, std::string_view help) {
  text_ += "# HELP ";
  text_ += name;
  text_ += ' ';
  AppendEscaped(text_, help, false);
  text_ += "\n# TYPE ";
  text_ += name;
  text_ += ' ';
  text_ += KindName(kind);
  text_ += '\n';
}

void exposition::Sample(std::string_view name, std::span<const metric_label> labels, double value) {
  text_ += name;
  char separator = '{';
  for (const metric_label& label : labels) {
    text_ += separator;
    text_ += label.name;
    text_ += "=\"";
    AppendEscaped(text_, label.value, true);
    text_ += '"';
    separator = ',';
  }
  if (!labels.empty()) text_ += '}';
  text_ += ' ';
  AppendNumber(text_, value);
  text_ += '\n';
}

void exposition::Sample(std::string_view name, std::initializer_list<metric_label> labels,
                        double value) {
  Sample(name, std::span<const metric_label>(labels.begin(), labels.size()), value);
}

}  // namespace sycamorehinge
