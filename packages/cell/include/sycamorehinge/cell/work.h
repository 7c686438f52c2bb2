// Jobs as callers describe them, and the names of their tasks.
#ifndef SYCAMOREHINGE_CELL_WORK_H_
#define SYCAMOREHINGE_CELL_WORK_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// Chosen by the caller; the same number is the same job, however often it is sent.
using job_number = std::uint64_t;

// 16 lower-case hexadecimal digits.
std::string ToText(job_number job);

// One task of one occurrence of a job.
struct task_ref {
  job_number job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

// Tasks that are alike.
struct step_spec {
  std::uint32_t count = 1;
  // Room of one task; slots stay zero.
  resources size;
  // The caller's estimate, off by up to 90%.
  duration run_time{};
  // Earlier steps whose tasks must all have succeeded.
  std::vector<std::uint32_t> after;
  // Tasks work only while all of them run, and end together.
  bool gang = false;
  bool same_rack = false;
  bool checkpoints = false;
  // A second copy may run beside the first.
  bool speculative = false;
  // Runs until the job is cancelled.
  bool long_running = false;
  // Uses only the processor time that other tasks leave; its cores are not counted.
  bool fills = false;
  // Label that the host must have; empty for none.
  std::string label;
  // Rack of the data; empty for none.
  std::string rack;
  // Most tasks of the step on one host; 0 for no limit.
  std::uint32_t spread_limit = 0;
  std::string image;
  duration latency_target{};
  // Tasks of a long-running step that the scheduler may take down at the same time.
  std::uint32_t may_miss = 0;
};

struct job_spec {
  std::string payload;
  std::vector<step_spec> steps;
  // 0 for a job that runs once, at once.
  std::uint32_t occurrences = 0;
  // Wall-clock milliseconds since 1970 of the first occurrence.
  std::int64_t first_ms = 0;
  std::int64_t interval_ms = 0;
};

enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Limits of one job. They keep a malformed job from costing others memory or time.
inline constexpr std::uint32_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 5000;
inline constexpr std::uint32_t kMaxOccurrences = 100'000;

// kOk, or kMalformed for no steps, a step without tasks or room, a dependency that is not an
// earlier step, or counts beyond the limits.
errc CheckSpec(const job_spec& spec);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_WORK_H_
