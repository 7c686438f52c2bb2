// Calls of callers and the messages that forward them between processes.
#ifndef SYCAMOREHINGE_CONTROL_CALLS_H_
#define SYCAMOREHINGE_CONTROL_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::control {

// `tenant` is the tenant of the caller, or empty if there is none. Jobs of another tenant are
// unknown to the caller.
struct submit_call {
  cell::job_number job = 0;
  std::string queue;
  cell::job_spec spec;
  std::string tenant{};
};
struct cancel_call {
  cell::job_number job = 0;
  std::string tenant{};
};
struct job_state_call {
  cell::job_number job = 0;
  std::string tenant{};
};
// Asks for the number of jobs in the queue of which no task has started.
struct pending_jobs_call {
  std::string queue;
};
// Calls that the owner of the cell handles.
using cell_call = std::variant<submit_call, cancel_call, job_state_call, pending_jobs_call>;

// One attempt of a process to pass a call to the owner. A call is attempted again if it gets no
// answer, and each attempt may arrive late.
struct call_attempt {
  // Epoch of the owner that the attempt is meant for, so that no other owner acts on it. 0: the
  // receiver only tells whether it owns the cell.
  std::uint64_t owner_epoch = 0;
  // Identifies the sending process among all processes and their restarts.
  std::string sender;
  // Both count from 1: the calls of the sender, and the attempts of this call.
  std::uint64_t call_number = 0;
  std::uint32_t attempt_number = 0;
  // All calls of the sender with lower numbers have ended.
  std::uint64_t oldest_open_call = 0;
  // Wall clock of the sender when it sent the attempt; for the log only, since clocks differ.
  std::int64_t sent_ms = 0;
};
struct routed_call {
  call_attempt attempt;
  cell_call call;
};
// Asks the policy service on behalf of the sender. The service handles one call at a time for each
// machine, so the owner spreads its requests over the machines.
struct advice_call {
  cell::task_ref step;
  std::vector<host_id> hosts;
};
// Sent by an owner that leaves or cannot reach the store: a receiver that can reach it may claim
// the cell without waiting for the sender's membership to end.
struct offer_call {
  // Name of the sender in the group.
  std::string member;
};
// Sent by every process to the owner at intervals: it lives and can ask the policy service.
struct announce_call {
  // Name of the sender as a member.
  std::string member;
};
// Sent by the owner to earlier owners: the receiver gives up the cell if it claimed it under an
// older epoch. The answer confirms that it renews no lease under an older epoch any more.
struct fence_call {
  // Epoch of the sender.
  std::uint64_t epoch = 0;
};
// Sent to the owner by a process that cannot read the configuration: asks for the one in force if
// it is newer than this version, 0 if the sender has none.
struct config_call {
  std::uint64_t version = 0;
};
// Calls between processes.
using peer_call =
    std::variant<routed_call, advice_call, offer_call, announce_call, fence_call, config_call>;

// Owner of the cell. A higher epoch is newer.
struct owner_info {
  std::uint64_t epoch = 0;
  // Address for calls between processes.
  std::string address;
};

struct approved_host {
  host_id host;
  std::string ticket;
};

struct peer_answer {
  errc code = errc::kOk;
  cell::job_phase phase = cell::job_phase::kQueued;
  std::uint64_t pending = 0;
  duration retry_after{};
  std::vector<approved_host> approved;
  // Newest owner that the answering process knows.
  owner_info owner;
  // With kNotOwner: epoch under which the answering process owns the cell, other than the one that
  // the call named; 0 if it does not own it.
  std::uint64_t acting_epoch = 0;
  // To a config_call: text of the configuration in force, as the store has it. Empty if it is not
  // newer than that of the sender.
  std::string config;
};

// Returns an answer with only an error code and a retry hint.
inline peer_answer ErrorAnswer(errc code, duration retry_after = {}) {
  peer_answer answer;
  answer.code = code;
  answer.retry_after = retry_after;
  return answer;
}

// A control process as a member of the store's group.
struct member_info {
  // 0 for processes near the store, 1 for others, since every decision of an owner waits for the
  // store; 2 and 3 on machines whose processor is too weak for an owner.
  std::uint32_t rank = 0;
  std::string name;
  std::string address;
  region_id region;
  data_centre_id data_centre;
};

// Encodes a member as its name in the group and in its claims of the cell. It stays the same when
// the process restarts, which therefore keeps its place in the group.
std::string FormatMemberName(const member_info& member);
// Error: kMalformed.
result<member_info> ParseMemberName(std::string_view name);

std::string EncodeCall(const peer_call& call);
result<peer_call> DecodeCall(std::string_view bytes);
std::string EncodeAnswer(const peer_answer& answer);
result<peer_answer> DecodeAnswer(std::string_view bytes);

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_CALLS_H_
