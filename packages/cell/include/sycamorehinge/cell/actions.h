// What the scheduler asks of the process around it.
#ifndef SYCAMOREHINGE_CELL_ACTIONS_H_
#define SYCAMOREHINGE_CELL_ACTIONS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/host.h"
#include "sycamorehinge/cell/records.h"
#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/error.h"

namespace sycamorehinge::cell {

// Names a caller's waiting call within this process.
using call_number = std::uint64_t;

// Append to the journal, in order; scheduler::Durable tells when it is there.
struct write_record {
  std::uint64_t sequence = 0;
  journal_record record;
};

// Final answer to a call.
struct answer_call {
  call_number call = 0;
  errc code = errc::kOk;
  job_phase phase = job_phase::kQueued;
  std::uint64_t pending = 0;
  // For refusals: when to come back.
  duration retry_after{};
};

// Renew the lease of all tasks on the host and learn what runs and ended there.
struct look_host {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  // Ends up to this number need no more reporting.
  std::uint64_t last_seen = 0;
  // End of the lease on the host's clock; nullopt while its clock is unknown.
  std::optional<std::int64_t> deadline_ms;
  // The host may hold its answer back this long until a task ends.
  duration wait{};
};

struct start_task {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  task_ref task;
  std::uint32_t run = 0;
  std::shared_ptr<const std::string> payload;
  std::int64_t deadline_ms = 0;
  std::string ticket;
  std::string checkpoint;
};

struct stop_task {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  task_ref task;
  std::uint32_t run = 0;
};

// Share of its processor time that a task may use.
struct pace_task {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  task_ref task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

// Ask the policy service which of the hosts may run the step.
struct ask_advice {
  std::uint64_t question = 0;
  // `index` is not used.
  task_ref step;
  std::vector<host_id> hosts;
  // Time that the service needs for it.
  duration cost{};
};

// A newer owner exists: stop, and claim ownership anew.
struct step_down {};

enum class decision_kind {
  kJobAccepted,
  kJobRefused,
  kJobCancelled,
  kJobEnded,
  kTaskStarted,
  kTaskEnded,
  kTaskLost,
  kTaskStopped,
  kStartFailed,
  kHostFound,
  kHostGone,
  kHostUnreachable,
  kHostRestarted,
  kHostAvoided,
  kRecoveryFinished,
  kStepWaits,
};

// A decision or a changed belief, for the log.
struct note_decision {
  decision_kind kind = decision_kind::kJobAccepted;
  task_ref task;
  std::uint32_t run = 0;
  std::string host;
  // What decided it.
  std::string cause;
  // Age of the deciding input, or the time that something took.
  duration age{};
};

using action = std::variant<write_record, answer_call, look_host, start_task, stop_task, pace_task,
                            ask_advice, step_down, note_decision>;

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_ACTIONS_H_
