// Ports of the control process to the store, the hosts, the policy service and its peers. Adapters
// and tests implement them. Each call completes exactly once, on any thread, and never from within
// the call itself.
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

// Streams of the store. They are compacted: at least the newest record of each key is kept.
enum class stream_name {
  kConfig,
  kHosts,
  // Ownership claims: each record names a control process that claims the cell.
  kDirectory,
  // State of the cell.
  kJournal,
};

// Key in the directory that holds the member name of the newest owner. The owner's epoch is the
// offset of the record plus one.
inline constexpr std::string_view kOwnerKey = "owner";

// Reads the newest record of each key in key order, from the first key after `after`.
struct from_latest_values {
  std::string after;
};
// Reads records in the order of their offsets; waits up to `wait` if there is none.
struct from_offset {
  std::uint64_t offset = 0;
  duration wait{};
};
using read_position = std::variant<from_latest_values, from_offset>;

struct stream_record {
  std::string key;
  // nullopt: the key was removed.
  std::optional<std::string> value;
  // Position in the stream; set by reads.
  std::uint64_t offset = 0;
};
struct stream_page {
  std::vector<stream_record> records;
  // For from_latest_values: more keys follow the last one.
  bool more = false;
  // Offset to continue from: the end of the stream for from_latest_values, else the end of the
  // page.
  std::uint64_t next_offset = 0;
};

// Identifies an append of one writer: lower epochs are fenced, sequences must follow each other.
struct append_guard {
  std::string producer;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
};

// Details of an error of `call_peer` that guarantee that the call was not sent. The first one also
// shows that no process listens at the address.
inline constexpr std::string_view kNoListenerDetail = "no listener";
inline constexpr std::string_view kCallNotSentDetail = "not sent";

struct ports {
  std::function<time_point()> now;
  std::function<std::int64_t()> wall_ms;
  // Runs the function once, at or after the given time.
  std::function<void(time_point, std::function<void()>)> run_at;

  // Errors: kLogUnavailable, kOverloaded, kTimeout, kOffsetForgotten (read from_latest_values
  // instead).
  std::function<void(stream_name, read_position, completion<stream_page>)> read;
  // Appends all records or none and returns the offset of the first; an empty append only sets the
  // epoch. Errors: kLogUnavailable and kOverloaded (nothing was written), kTimeout (outcome
  // unknown), kStaleTerm (a higher epoch has written), kVersionConflict (the sequence does not
  // follow; the detail holds the expected one).
  std::function<void(stream_name, std::optional<append_guard>, std::vector<stream_record>,
                     completion<std::uint64_t>)>
      append;
  // Joins the group of control processes or renews the membership for `ttl`. Returns the generation
  // of the group, which increases with each change of its members.
  std::function<void(std::string_view member, std::uint64_t generation, duration ttl,
                     completion<std::uint64_t>)>
      join;
  std::function<void(std::string_view member, std::function<void()>)> leave;
  // Measures the time to open a connection to the store, which does not depend on its load. Errors:
  // kConnectionFailed, kTimeout.
  std::function<void(completion<duration>)> connect_time;
  // Returns the names of the members that the store considers alive, in any order.
  std::function<void(completion<std::vector<std::string>>)> members;

  // Both return nullopt if the value is not valid.
  std::function<std::optional<cell::fleet_config>(std::string_view value)> parse_config;
  std::function<std::optional<cell::host_entry>(std::string_view key, std::string_view value)>
      parse_host;

  // Asks a host for its state; the report is null unless the outcome is kDone.
  std::function<void(const cell::poll_host&,
                     std::function<void(cell::call_outcome, const cell::host_report*)>)>
      poll_host;
  std::function<void(const cell::start_task&, std::function<void(const cell::start_report&)>)>
      start_task;
  std::function<void(const cell::stop_task&, std::function<void(cell::call_outcome)>)> stop_task;
  std::function<void(const cell::throttle_task&, std::function<void(cell::call_outcome)>)>
      throttle_task;
  // Asks the policy service which of the hosts may run the task. Errors: kOverloaded (retry later),
  // kTimeout, kConnectionFailed.
  std::function<void(const cell::task_ref& step, std::vector<host_id> hosts, duration timeout,
                     completion<std::vector<approved_host>>)>
      advise;

  // Errors: kConnectionFailed, with kNoListenerDetail or kCallNotSentDetail if the call was not
  // sent; kTimeout.
  std::function<void(std::string_view address, const peer_call&, duration timeout,
                     completion<peer_answer>)>
      call_peer;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_PORTS_H_
