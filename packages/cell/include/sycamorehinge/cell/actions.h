// Actions that the scheduler requests from the process that embeds it.
#ifndef SYCAMOREHINGE_CELL_ACTIONS_H_
#define SYCAMOREHINGE_CELL_ACTIONS_H_

#include <algorithm>
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

// Identifies a pending call within this process.
using call_number = std::uint64_t;

// Appends a record to the journal. Records are written in order of `sequence`; the process confirms
// them with scheduler::OnDurable.
struct write_record {
  std::uint64_t sequence = 0;
  journal_record record;
};

// Returns a time between `retry_after` and twice that, which depends on the key, so that callers
// refused at the same time do not return at the same time.
duration SpreadRetry(duration retry_after, std::uint64_t key);

// The only response to a call.
struct answer_call {
  call_number call = 0;
  errc code = errc::kOk;
  job_phase phase = job_phase::kQueued;
  std::uint64_t pending = 0;
  // Set on refusals: the caller may retry after this time.
  duration retry_after{};
};

// Polls a host: renews the lease of all its tasks and reads which runs are active and which have
// ended.
struct poll_host {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  // The host may drop end reports up to this number, since the journal holds them.
  std::uint64_t journaled_end = 0;
  // Expiry of the lease on the host's clock; nullopt while that clock is unknown.
  std::optional<std::int64_t> deadline_ms;
  // Long-poll time: the host may delay its answer this long until a task ends.
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

// Limits a task to `percent` of its processor time.
struct throttle_task {
  host_id host;
  std::string address;
  std::uint64_t token = 0;
  task_ref task;
  std::uint32_t run = 0;
  std::uint32_t percent = 100;
};

// Requests to the policy service of at least this service time are long. They use only some of the
// machines, so that short requests are answered in time.
inline constexpr duration kLongAdviceRequest = std::chrono::milliseconds(300);

// Returns how many of the machines may have long requests open at the same time.
constexpr std::size_t MachinesForLongRequests(std::size_t machines) {
  return std::max<std::size_t>(machines - machines / 3, 1);
}

// Asks the policy service which of the hosts may run the step.
struct request_advice {
  std::uint64_t request_id = 0;
  // `index` is unused.
  task_ref step;
  std::vector<host_id> hosts;
  // Estimated time that the service spends on the request.
  duration service_time{};
};

// A host has seen a higher fencing token: this owner must stop and claim the cell again.
struct step_down {};

// Asks an earlier owner to give up the cell. The process reports its confirmation, or that nothing
// listens at the address any more, with scheduler::OnOwnerFenced.
struct fence_owner {
  std::string address;
};

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
  // An earlier owner renews no lease any more; `host` is its address.
  kOwnerFenced,
  // The owner renews leases from now on; `elapsed` is the age of the last confirmation of its
  // ownership.
  kLeasesGranted,
  // The ownership has not been confirmed for `grant_period`, so no lease is renewed.
  kLeasesPaused,
  kStepWaits,
  // All members of a gang run.
  kGangStarted,
  // A gang is stopped because a member ended or is missing; the cause names the state of each
  // member.
  kGangStopped,
  // A host reports a member of a gang that this owner did not start.
  kMemberAdopted,
};

// A scheduling decision, or a change in what the scheduler knows about a host or run, for the log
// and the metrics.
struct log_decision {
  decision_kind kind = decision_kind::kJobAccepted;
  task_ref task;
  std::uint32_t run = 0;
  std::string host;
  // Reason in a few words. For kJobAccepted and kTaskStarted it is the queue.
  std::string cause;
  // Time that the event took or refers to, such as the run time of an ended task.
  duration elapsed{};
  // Tenant of the job; empty if there is none, and for kinds that no metric counts by tenant.
  std::string tenant{};
};

using action = std::variant<write_record, answer_call, poll_host, start_task, stop_task,
                            throttle_task, request_advice, step_down, fence_owner, log_decision>;

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_ACTIONS_H_
