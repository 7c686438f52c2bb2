// Hosts as the platform lists them, and what they report about their tasks.
#ifndef SYCAMOREHINGE_CELL_HOST_H_
#define SYCAMOREHINGE_CELL_HOST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// A row of the list of hosts. An id names one life of a machine, unless `born` changes.
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
  // Least time left while it drains.
  duration remaining{};
  // Unix milliseconds of its start; 0 if not told.
  std::int64_t born = 0;
};

struct run_report {
  task_ref task;
  std::uint32_t run = 0;
  // Newest checkpoint; empty for none.
  std::string saved;
  std::uint32_t percent = 0;
  // Rough figure of the last half second: milliseconds of tail latency for a task with a latency
  // target, thousandths of a core for any other.
  std::int64_t load = 0;
};

enum class end_kind {
  kDone,
  kFailed,
  kStopped,
  // The lease ran out.
  kLapsed,
  // Another member of the gang ended.
  kBroken,
  // The other members of the gang did not come.
  kAlone,
};

struct end_report {
  // Counts the ends of one life of a host, from 1.
  std::uint64_t number = 0;
  task_ref task;
  std::uint32_t run = 0;
  end_kind how = end_kind::kDone;
  std::string saved;
};

// Answer to look_host.
struct host_look {
  // The host's steady clock.
  std::int64_t clock_ms = 0;
  std::int64_t born = 0;
  std::vector<run_report> running;
  std::vector<end_report> ended;
};

enum class call_outcome {
  kDone,
  // Nothing was done: the host has seen a higher token.
  kFenced,
  // Nothing was done: that run or a later one has already ended there.
  kOldRun,
  // Nothing was done: the lease that came with the start is over on the host's clock.
  kLate,
  // Nothing was done: the host has no room for it.
  kNoRoom,
  // Nothing was done: the ticket does not hold.
  kTicket,
  // Nothing was done: the host is unhealthy, or it is another life of the machine.
  kRefused,
  // Nothing was done: nobody listens at the address.
  kUnreachable,
  // No answer; the call may take effect later.
  kUnknown,
  // The host cannot read the call; retrying it is useless.
  kRejected,
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_HOST_H_
