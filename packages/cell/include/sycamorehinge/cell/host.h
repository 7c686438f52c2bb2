// Hosts as listed by the platform, and the reports they send about their tasks.
#ifndef SYCAMOREHINGE_CELL_HOST_H_
#define SYCAMOREHINGE_CELL_HOST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// An entry of the host list. A host that restarts under the same id has a new `started_ms`.
struct host_entry {
  host_id id;
  // Numeric address and port.
  std::string address;
  std::string service;
  data_centre_id data_centre;
  rack_id rack;
  std::vector<std::string> labels;
  resources capacity;
  bool draining = false;
  // Minimum time until a draining host goes away.
  duration remaining{};
  // Start of the host in Unix milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
};

// State of one active run.
struct run_report {
  task_ref task;
  std::uint32_t run = 0;
  // Newest checkpoint; empty if there is none.
  std::string checkpoint;
  // Progress in percent.
  std::uint32_t percent = 0;
  // Approximate load over the last half second: tail latency in milliseconds for a task with a
  // latency target, thousandths of a core for any other task.
  std::int64_t load = 0;
};

enum class end_kind {
  kDone,
  kFailed,
  kStopped,
  // The lease expired.
  kLeaseExpired,
  // Another member of the gang ended.
  kGangMemberEnded,
  // The other members of the gang did not start.
  kGangIncomplete,
};

struct end_report {
  // Sequence number since the start of the host, from 1.
  std::uint64_t number = 0;
  task_ref task;
  std::uint32_t run = 0;
  end_kind kind = end_kind::kDone;
  std::string checkpoint;
};

// Answer to poll_host, which polls a host.
struct host_report {
  // Monotonic clock of the host.
  std::int64_t clock_ms = 0;
  std::int64_t started_ms = 0;
  std::vector<run_report> running;
  std::vector<end_report> ended;
  // More runs may have ended than are listed; the others follow once these are acknowledged.
  bool more_ended = false;
};

// Result of a call to a host. All outcomes but kDone and kUnknown mean that the call had no
// effect.
enum class call_outcome {
  kDone,
  // The host has seen a higher fencing token.
  kFenced,
  // This run or a later run of the task has already ended there.
  kStaleRun,
  // The lease in the start call has expired on the host's clock.
  kLeaseExpired,
  // The host lacks the resources for the task.
  kNoRoom,
  // The ticket is not valid.
  kInvalidTicket,
  // The host is unhealthy, or has restarted.
  kRefused,
  // No connection was made.
  kUnreachable,
  // No connection was made, since no process listens at the address.
  kConnectionRefused,
  // No answer arrived; the call may still take effect.
  kNoAnswer,
  // The host cannot parse the call; a retry fails in the same way.
  kRejected,
};

// Answer to start_task.
struct start_report {
  call_outcome outcome = call_outcome::kNoAnswer;
  // Monotonic clock of the host when it handled the call; 0 if the answer does not tell.
  std::int64_t clock_ms = 0;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_HOST_H_
