// Ports of the control process: what it asks of the store, of hosts, of the policy service and of
// its peers. Adapters implement them; tests give their own. Each call completes exactly once, on
// any thread, and never from inside the call itself.
#ifndef SYCAMOREHINGE_CONTROL_PORTS_H_
#define SYCAMOREHINGE_CONTROL_PORTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/actions.h"
#include "sycamorehinge/cell/fleet_config.h"
#include "sycamorehinge/cell/host.h"
#include "sycamorehinge/control/calls.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::control {

template <class T>
using completion = std::function<void(result<T>)>;

// Streams of the store that keep the newest record of each key.
enum class stream_name {
  kConfig,
  kHosts,
  // Members and owners of the control processes.
  kDirectory,
  // State of the cell.
  kJournal,
};

// Key of the directory that holds the address of the newest owner; the offset of the record is the
// owner's epoch.
inline constexpr std::string_view kOwnerKey = "owner";

// The newest record of each key, from the first key after `after`.
struct from_newest {
  std::string after;
};
// Records in order of their writing; answers at once, or after `wait` if there is none.
struct from_offset {
  std::uint64_t offset = 0;
  duration wait{};
};
using read_position = std::variant<from_newest, from_offset>;

struct stream_record {
  std::string key;
  // nullopt: the key was removed.
  std::optional<std::string> value;
  // Place in the stream; set by reads.
  std::uint64_t offset = 0;
};
struct stream_page {
  std::vector<stream_record> records;
  // For from_newest: more keys follow the last one.
  bool more = false;
  // Offset behind the last record written, or read.
  std::uint64_t next = 0;
};

// Order and fence of the records of one writer.
struct append_guard {
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

struct ports {
  std::function<time_point()> now;
  std::function<std::int64_t()> wall_ms;
  // Runs the function once at or after the time, on any thread but never inside the call.
  std::function<void(time_point, std::function<void()>)> at;

  // Errors: kLogUnavailable, kOverloaded, kTimeout, kOffsetForgotten (read from_newest instead).
  std::function<void(stream_name, read_position, completion<stream_page>)> read;
  // Appends all records or none; no records only set the epoch. Errors: kLogUnavailable and
  // kOverloaded (nothing was done), kTimeout (unknown), kStaleTerm (a higher epoch has written),
  // kVersionConflict (the sequence does not follow; the detail holds the expected one). Gives the
  // offset of the first record.
  std::function<void(stream_name, std::optional<append_guard>, std::vector<stream_record>,
                     completion<std::uint64_t>)>
      append;
  // Joins the group of control processes, or stays in it for another `ttl`. Gives the generation
  // of the group, which rises with each change.
  std::function<void(std::string_view member, std::uint64_t generation, duration ttl,
                     completion<std::uint64_t>)>
      join;
  std::function<void(std::string_view member, std::function<void()>)> leave;
  // Time that a new connection to the store takes, which its load does not change. Errors:
  // kConnectionFailed, kTimeout.
  std::function<void(completion<duration>)> distance;
  // Names of the members that the store takes for alive, in any order.
  std::function<void(completion<std::vector<std::string>>)> members;

  // nullopt if the value names no usable host or configuration.
  std::function<std::optional<cell::fleet_config>(std::string_view value)> parse_config;
  std::function<std::optional<cell::host_entry>(std::string_view key, std::string_view value)>
      parse_host;

  // The look is null unless the outcome is kDone.
  std::function<void(const cell::look_host&,
                     std::function<void(cell::call_outcome, const cell::host_look*)>)>
      look;
  std::function<void(const cell::start_task&, std::function<void(cell::call_outcome)>)> start;
  std::function<void(const cell::stop_task&, std::function<void(cell::call_outcome)>)> stop;
  std::function<void(const cell::pace_task&, std::function<void(cell::call_outcome)>)> pace;
  // Errors: kOverloaded (ask later), kTimeout, kConnectionFailed.
  std::function<void(const cell::task_ref& step, std::vector<host_id> hosts, duration timeout,
                     completion<std::vector<approved_host>>)>
      advise;

  // Errors: kConnectionFailed with detail kRefusedDetail if the call was certainly not sent, else
  // kConnectionFailed or kTimeout.
  std::function<void(std::string_view address, const peer_call&, duration timeout,
                     completion<peer_answer>)>
      call_peer;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_PORTS_H_
