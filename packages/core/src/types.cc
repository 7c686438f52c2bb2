#include "sycamorehinge/core/types.h"

#include <charconv>

namespace sycamorehinge {

namespace {

// Reads a number and the separator behind it; `end` 0 means the text must stop there.
template <class T>
bool TakeNumber(std::string_view& text, char end, T& number) {
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) return false;
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (end == '\0') return text.empty();
  if (text.empty() || text.front() != end) return false;
  text.remove_prefix(1);
  return true;
}

bool TakeJob(std::string_view& text, char end, job_id& job) {
  if (text.starts_with("r-")) {
    text.remove_prefix(2);
    job.partition = kNoPartition;
  } else if (text.starts_with("p")) {
    text.remove_prefix(1);
    if (!TakeNumber(text, '-', job.partition)) return false;
  } else {
    return false;
  }
  return TakeNumber(text, '-', job.epoch) && TakeNumber(text, end, job.number);
}

}  // namespace

std::string ToString(const job_id& job) {
  const std::string home =
      job.partition == kNoPartition ? std::string("r") : "p" + std::to_string(job.partition);
  return home + "-" + std::to_string(job.epoch) + "-" + std::to_string(job.number);
}

std::string ToString(const task_id& task) {
  return ToString(task.job) + "." + std::to_string(task.index);
}

std::string ToString(const attempt_id& attempt) {
  return ToString(attempt.task) + "/" + std::to_string(attempt.number);
}

bool ParseJobId(std::string_view text, job_id& job) {
  job_id parsed;
  if (!TakeJob(text, '\0', parsed)) return false;
  job = parsed;
  return true;
}

bool ParseAttemptId(std::string_view text, attempt_id& attempt) {
  attempt_id parsed;
  if (!TakeJob(text, '.', parsed.task.job)) return false;
  if (!TakeNumber(text, '/', parsed.task.index)) return false;
  if (!TakeNumber(text, '\0', parsed.number)) return false;
  attempt = parsed;
  return true;
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  // FNV-1a mixes the last bytes weakly into the high bits, which rendezvous hashing compares.
  hash ^= hash >> 32;
  hash *= 0xd6e8feb86659fd93ULL;
  return hash ^ (hash >> 32);
}

}  // namespace sycamorehinge
