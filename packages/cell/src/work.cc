#include "sycamorehinge/cell/work.h"

#include <algorithm>

namespace sycamorehinge::cell {

namespace {

bool IsValid(const step_spec& step, std::size_t number) {
  if (step.count == 0 || step.count > kMaxTasksPerStep) return false;
  if (step.after.size() > kMaxSteps) return false;
  const resources& size = step.size;
  if (size.cores_milli < 0 || size.memory_mb < 0 || size.accelerators < 0) return false;
  return std::all_of(step.after.begin(), step.after.end(),
                     [number](std::uint32_t earlier) { return earlier < number; });
}

bool HasLongName(const step_spec& step) {
  return std::max({step.label.size(), step.rack.size(), step.image.size()}) > kMaxNameBytes;
}

}  // namespace

std::string FormatJobNumber(job_number job) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) text += kDigits[(job >> shift) & 0xf];
  return text;
}

errc ValidateSpec(const job_spec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) return errc::kMalformed;
  if (spec.occurrences > kMaxOccurrences || spec.interval_ms < 0) return errc::kMalformed;
  const bool long_name = std::any_of(spec.steps.begin(), spec.steps.end(), HasLongName);
  if (spec.payload.size() > kMaxPayloadBytes || long_name) return errc::kTooLarge;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (!IsValid(spec.steps[i], i)) return errc::kMalformed;
  }
  return errc::kOk;
}

}  // namespace sycamorehinge::cell
