#include "sycamorehinge/cell/records.h"

#include <string_view>

namespace sycamorehinge::cell {

namespace {

// A variable-length integer of 32 bits takes at most this many bytes, one below 128 takes one.
constexpr std::size_t kNumberBytes = 5;
// Numbers and flags of a step beside its strings and dependencies, and of a record.
constexpr std::size_t kStepBytes = 128;
constexpr std::size_t kRecordBytes = 64;

std::size_t CountBytes(std::size_t count) { return count < 128 ? 1 : kNumberBytes; }

std::size_t TextBytes(std::string_view text) { return kNumberBytes + text.size(); }

std::size_t TaskBytes(const task_progress& task) {
  return 1 + CountBytes(task.failed_runs.size()) + kNumberBytes * task.failed_runs.size();
}

}  // namespace

std::size_t MaxEncodedBytes(const accepted_record& record) {
  std::size_t bytes = kRecordBytes + TextBytes(record.queue) + TextBytes(record.tenant) +
                      TextBytes(record.spec.payload);
  for (const step_spec& step : record.spec.steps) {
    bytes += kStepBytes + kNumberBytes * step.after.size() + TextBytes(step.label) +
             TextBytes(step.rack) + TextBytes(step.image);
  }
  return bytes;
}

std::size_t MaxEncodedBytes(const progress_record& record) {
  std::size_t bytes = kRecordBytes + TextBytes(record.queue) + TextBytes(record.tenant);
  for (const occurrence_progress& open : record.open) {
    bytes += kNumberBytes + CountBytes(open.steps.size());
    for (const std::vector<task_progress>& step : open.steps) {
      bytes += CountBytes(step.size());
      for (const task_progress& task : step) bytes += TaskBytes(task);
    }
  }
  return bytes;
}

std::size_t MaxOccurrenceBytes(const job_spec& spec) {
  std::size_t bytes = kNumberBytes + CountBytes(spec.steps.size());
  for (const step_spec& step : spec.steps) {
    bytes += CountBytes(step.count) + TaskBytes({}) * step.count;
  }
  return bytes;
}

}  // namespace sycamorehinge::cell
