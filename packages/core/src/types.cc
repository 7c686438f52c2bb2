#include "sycamorehinge/core/types.h"

#include <charconv>

namespace sycamorehinge {

namespace {

// Consumes a number and the separator `end` after it. If `end` is '\0', the text must end there.
template <class T>
bool ConsumeNumber(std::string_view& text, char end, T& number) {
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) return false;
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (end == '\0') return text.empty();
  if (text.empty() || text.front() != end) return false;
  text.remove_prefix(1);
  return true;
}

bool ConsumeJob(std::string_view& text, char end, job_id& job) {
  if (text.starts_with("r-")) {
    text.remove_prefix(2);
    job.partition = kNoPartition;
  } else if (text.starts_with("p")) {
    text.remove_prefix(1);
    if (!ConsumeNumber(text, '-', job.partition)) return false;
  } else {
    return false;
  }
  return ConsumeNumber(text, '-', job.epoch) && ConsumeNumber(text, end, job.number);
}

}  // namespace

std::string ToString(const job_id& job) {
  const std::string prefix =
      job.partition == kNoPartition ? std::string("r") : "p" + std::to_string(job.partition);
  return prefix + "-" + std::to_string(job.epoch) + "-" + std::to_string(job.number);
}

std::string ToString(const task_id& task) {
  return ToString(task.job) + "." + std::to_string(task.index);
}

std::string ToString(const attempt_id& attempt) {
  return ToString(attempt.task) + "/" + std::to_string(attempt.number);
}

bool ParseJobId(std::string_view text, job_id& job) {
  job_id parsed;
  if (!ConsumeJob(text, '\0', parsed)) return false;
  job = parsed;
  return true;
}

bool ParseAttemptId(std::string_view text, attempt_id& attempt) {
  attempt_id parsed;
  if (!ConsumeJob(text, '.', parsed.task.job)) return false;
  if (!ConsumeNumber(text, '/', parsed.task.index)) return false;
  if (!ConsumeNumber(text, '\0', parsed.number)) return false;
  attempt = parsed;
  return true;
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  // Final mix: FNV-1a mixes the last bytes weakly into the high bits, which decide the comparisons
  // of rendezvous hashing.
  hash ^= hash >> 32;
  hash *= 0xd6e8feb86659fd93ULL;
  return hash ^ (hash >> 32);
}

}  // namespace sycamorehinge
