// Messages between entry processes.
#ifndef SYCAMOREHINGE_WIRE_MESSAGES_H_
#define SYCAMOREHINGE_WIRE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sycamorehinge/core/config_order.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/membership.h"
#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Correlates an answer with its request on one connection.
using call_id = std::uint64_t;

// A caller's request, as forwarded between processes.
struct caller_request {
  environment_id environment;
  tenant_id tenant;
  class_id work_class;
  service_id service;
  // Empty for a request without an idempotency key.
  std::string key;
  bool idempotent = true;
  duration time_left{};
  std::string body;
  // The caller's request id, passed through all processes for the logs.
  std::string trace;
};

// Runs the request in the receiver's partition (key given) or pool.
struct forward_request {
  call_id call = 0;
  caller_request request;
};
// Runs an attempt on a target that the receiver holds.
struct forward_run {
  call_id call = 0;
  attempt_id id;
  placement place;
  caller_request request;
};
struct request_answer {
  call_id call = 0;
  errc code = errc::kOk;
  std::string detail;
  duration retry_after{};
  attempt_fact fact = attempt_fact::kNever;
  std::string body;
};
struct forward_submit {
  call_id call = 0;
  job_spec spec;
};
struct forward_cancel {
  call_id call = 0;
  job_id job;
};
struct forward_status {
  call_id call = 0;
  job_id job;
  // The answer is sent when the job ends, or after this time.
  duration wait{};
};
struct job_answer {
  call_id call = 0;
  errc code = errc::kOk;
  std::string detail;
  duration retry_after{};
  job_status status;
};
struct reserve_room {
  call_id call = 0;
  environment_id environment;
  service_id service;
  work_item item;
  // Time until the deadline; a duration, since clocks differ between processes.
  duration time_left{};
  duration hold_time{};
};
struct room_answer {
  call_id call = 0;
  errc code = errc::kOk;
  std::vector<placement> places;
};
struct return_hold {
  attempt_id id;
  host_id host;
};
struct start_task {
  attempt_id id;
  placement place;
  job_spec spec;
};
struct stop_task {
  attempt_id id;
  host_id host;
  bool checkpoint = false;
};
struct void_task {
  attempt_id id;
  host_id host;
};
struct keep_task {
  attempt_id id;
  host_id host;
  std::uint64_t term = 0;
};
// Sent by the holder of a host to the owner of the attempt's partition.
struct task_report {
  attempt_id id;
  host_id host;
  std::uint64_t term = 0;
  attempt_fact fact = attempt_fact::kUnreachable;
  // Stored answer of a keyed request that had already finished when it was voided.
  std::string answer;
};
struct task_lost {
  attempt_id id;
  std::uint64_t term = 0;
};
struct task_preempted {
  attempt_id id;
};
struct config_fetch {};
struct config_state {
  std::vector<std::pair<config_key, config_version>> documents;
  std::uint64_t next_offset = 0;
};

using peer_message =
    std::variant<forward_request, forward_run, request_answer, forward_submit, forward_cancel,
                 forward_status, job_answer, reserve_room, room_answer, return_hold, start_task,
                 stop_task, void_task, keep_task, task_report, task_lost, task_preempted,
                 config_fetch, config_state>;

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_MESSAGES_H_
