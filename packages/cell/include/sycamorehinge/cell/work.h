// Job specifications as submitted by callers, and task identifiers.
#ifndef SYCAMOREHINGE_CELL_WORK_H_
#define SYCAMOREHINGE_CELL_WORK_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// Chosen by the caller. Submitting the same number again refers to the same job.
using job_number = std::uint64_t;

// Returns 16 lower-case hexadecimal digits.
std::string FormatJobNumber(job_number job);

// One task of one occurrence of a job.
struct task_ref {
  job_number job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

// A group of identical tasks.
struct step_spec {
  std::uint32_t count = 1;
  // Resources of one task; `slots` is always zero.
  resources size;
  // The caller's estimate; the real time may differ by up to 90%.
  duration run_time{};
  // Indices of earlier steps that must have succeeded before this one starts.
  std::vector<std::uint32_t> after;
  // Tasks make progress only while all of them run, and they end together.
  bool gang = false;
  bool same_rack = false;
  bool checkpoints = false;
  // A second copy of a task may run at the same time as the first.
  bool speculative = false;
  // The tasks run until the job is cancelled.
  bool long_running = false;
  // Runs on processor time that other tasks leave unused; its cores are not charged to the host.
  bool fills = false;
  // Required host label; empty if there is none.
  std::string label;
  // Preferred rack, which holds the input data; empty if there is none.
  std::string rack;
  // Maximum number of tasks of the step on one host; 0 for no limit.
  std::uint32_t spread_limit = 0;
  std::string image;
  duration latency_target{};
  // Number of tasks of a long-running step that the scheduler may have stopped at the same time.
  std::uint32_t max_unavailable = 0;
};

struct job_spec {
  std::string payload;
  std::vector<step_spec> steps;
  // 0 for a job that runs once, immediately.
  std::uint32_t occurrences = 0;
  // Start of the first occurrence of a periodic job, in Unix milliseconds.
  std::int64_t first_start_ms = 0;
  std::int64_t interval_ms = 0;
};

enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Limits of one job. They bound the memory and time that a malformed job can take from others.
inline constexpr std::uint32_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 5000;
inline constexpr std::uint32_t kMaxOccurrences = 100'000;
// A periodic job opens no further occurrence while its open ones have more tasks than this. One
// record of the journal holds the progress of all of them.
inline constexpr std::uint32_t kMaxOpenTasks = 8192;

// The platform's callers send at most 4,000 bytes, and short names.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{16} << 10;
inline constexpr std::size_t kMaxNameBytes = 512;

// Returns kTooLarge if the payload or a name is longer than its limit; kMalformed if there are no
// steps, a step has no tasks or a negative size, a dependency is not an earlier step, a count
// exceeds its limit (kMaxSteps for the dependencies of a step), or the interval is negative;
// otherwise kOk.
errc ValidateSpec(const job_spec& spec);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_WORK_H_
