// Identifiers, resources and time types shared by all packages.
#ifndef SYCAMOREHINGE_CORE_TYPES_H_
#define SYCAMOREHINGE_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sycamorehinge {

// Callers pass the current time to core, which never reads a clock itself.
using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

inline duration ScaleTime(duration time, double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, duration::period>(static_cast<double>(time.count()) * factor));
}

// Combines several lambdas into one visitor for std::visit.
template <class... Ts>
struct overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

// A strongly typed name; names of different kinds do not convert to each other.
template <class Tag>
struct name_id {
  std::string value;

  bool empty() const { return value.empty(); }
  friend auto operator<=>(const name_id&, const name_id&) = default;
};

using host_id = name_id<struct host_tag>;
using process_id = name_id<struct process_tag>;
using region_id = name_id<struct region_tag>;
using data_centre_id = name_id<struct data_centre_tag>;
using rack_id = name_id<struct rack_tag>;
using tenant_id = name_id<struct tenant_tag>;
using class_id = name_id<struct class_tag>;
using service_id = name_id<struct service_tag>;
using environment_id = name_id<struct environment_tag>;

using partition_number = std::uint32_t;

// Partition of work that belongs to none: idempotent requests, which the process that accepted them
// numbers.
inline constexpr partition_number kNoPartition = 0xffffffff;

// A job or request. `epoch` is the epoch of the partition owner that accepted it, or the
// incarnation of the process if the work has no partition. It makes ids unique across owners and
// restarts.
struct job_id {
  partition_number partition = kNoPartition;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;

  friend auto operator<=>(const job_id&, const job_id&) = default;
};

struct task_id {
  job_id job;
  std::uint32_t index = 0;

  friend auto operator<=>(const task_id&, const task_id&) = default;
};

// One attempt to run a task; a task has at most one open attempt.
struct attempt_id {
  task_id task;
  std::uint32_t number = 0;

  friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Amounts of each resource: the capacity of a host, or the size of a task.
struct resources {
  std::int64_t cores_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;

  friend bool operator==(const resources&, const resources&) = default;

  resources& operator+=(const resources& other) {
    cores_milli += other.cores_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cores_milli -= other.cores_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }

  // Whether `size` fits into these amounts.
  bool CanFit(const resources& size) const {
    return size.cores_milli <= cores_milli && size.memory_mb <= memory_mb &&
           size.accelerators <= accelerators && size.slots <= slots;
  }
};

// Location of a host or process.
struct location {
  region_id region;
  data_centre_id data_centre;
  rack_id rack;

  friend auto operator<=>(const location&, const location&) = default;
};

// Text forms, for example "p3-120-7", "p3-120-7.0" and "p3-120-7.0/1".
std::string ToString(const job_id& job);
std::string ToString(const task_id& task);
std::string ToString(const attempt_id& attempt);
// These parse a text form; they return false and leave the output unchanged if it is malformed.
bool ParseJobId(std::string_view text, job_id& job);
bool ParseAttemptId(std::string_view text, attempt_id& attempt);

// 64-bit FNV-1a hash with a final mix. It must stay the same in all processes and releases.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace sycamorehinge

template <class Tag>
struct std::hash<sycamorehinge::name_id<Tag>> {
  std::size_t operator()(const sycamorehinge::name_id<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

template <>
struct std::hash<sycamorehinge::job_id> {
  std::size_t operator()(const sycamorehinge::job_id& id) const {
    const std::uint64_t mixed =
        (id.epoch << 20) ^ (id.number * 0x9e3779b97f4a7c15ULL) ^ id.partition;
    return mixed ^ (mixed >> 29);
  }
};

template <>
struct std::hash<sycamorehinge::task_id> {
  std::size_t operator()(const sycamorehinge::task_id& id) const {
    return std::hash<sycamorehinge::job_id>()(id.job) * 31 + id.index;
  }
};

template <>
struct std::hash<sycamorehinge::attempt_id> {
  std::size_t operator()(const sycamorehinge::attempt_id& id) const {
    return std::hash<sycamorehinge::task_id>()(id.task) * 31 + id.number;
  }
};

#endif  // SYCAMOREHINGE_CORE_TYPES_H_
