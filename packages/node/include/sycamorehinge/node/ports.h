// Ports of the entry process: what it asks of hosts, the log, the host list and its peers.
//
// Adapters implement them; tests give their own. Each call completes exactly once, on any thread,
// and never from inside the call itself.
#ifndef SYCAMOREHINGE_NODE_PORTS_H_
#define SYCAMOREHINGE_NODE_PORTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

enum class host_kind { kWorker, kTarget };

// A row of the platform's lagging host list.
struct listed_host {
  host_id host;
  host_kind kind = host_kind::kWorker;
  // Environment and, for targets, service that the host serves.
  environment_id environment;
  service_id service;
  location where;
  // Address as "http://127.0.0.1:9000".
  std::string address;
  bool leaving = false;
};

// --- calls on a host ---

struct claim_call {
  process_id holder;
  // 0 asks for a new claim, the current term renews it.
  std::uint64_t term = 0;
  duration ttl{};
  // Attempts whose leases are renewed.
  std::vector<attempt_id> keep;
  // Ended attempts that need no more reporting.
  std::vector<attempt_id> ack;
};
struct start_call {
  process_id holder;
  std::uint64_t term = 0;
  attempt_id id;
  tenant_id tenant;
  class_id work_class;
  bool preemptible = false;
  resources size;
  duration lease{};
  duration run_time{};
  std::string payload;
};
struct execute_call {
  std::uint64_t term = 0;
  attempt_id id;
  std::string key;
  duration timeout{};
  std::string body;
};
struct void_call {
  std::uint64_t term = 0;
  attempt_id id;
};
struct stop_call {
  std::uint64_t term = 0;
  attempt_id id;
  bool checkpoint = false;
};
struct throttle_call {
  std::uint64_t term = 0;
  attempt_id id;
  std::uint32_t percent = 100;
};
struct release_call {
  process_id holder;
  std::uint64_t term = 0;
};
using host_call = std::variant<claim_call, start_call, execute_call, void_call, stop_call,
                               throttle_call, release_call>;

// --- answers of a host ---

enum class host_task_state { kRunning, kSucceeded, kFailed, kLapsed, kStopped };

struct host_task {
  held_work work;
  host_task_state state = host_task_state::kRunning;
  // Lagging usage; zero if not yet reported.
  resources used;
};
struct claim_granted {
  std::uint64_t term = 0;
  resources capacity;
  bool leaving = false;
  std::vector<host_task> tasks;
};
struct claim_denied {
  process_id holder;
  std::uint64_t term = 0;
  duration remaining{};
};
// The call took effect: start, stop, throttle, release.
struct host_done {};
struct execute_answer {
  std::string body;
};
struct void_answer {
  attempt_fact fact = attempt_fact::kNever;
  std::string answer;
};
using host_answer =
    std::variant<claim_granted, claim_denied, host_done, execute_answer, void_answer>;

// --- log ---

struct log_entry {
  std::uint64_t offset = 0;
  std::string bytes;
};
struct log_page {
  std::vector<log_entry> entries;
  std::uint64_t oldest = 0;
  std::uint64_t next = 0;
};

template <class T>
using completion = std::function<void(result<T>)>;

struct ports {
  std::function<time_point()> now;
  // Wall-clock milliseconds since 1970; for people and deadlines across owners only.
  std::function<std::int64_t()> wall_ms;
  // Errors: kTimeout and kConnectionFailed (unknown whether it took effect; kConnectionFailed with
  // detail "refused" and kTimeout with detail "not sent" mean it did not), kStaleTerm, kVoided,
  // kNoRoom, kFailed, kMalformed.
  std::function<void(const listed_host&, host_call, completion<host_answer>)> call_host;
  // Errors: kLogUnavailable, kTimeout (unknown), kOverloaded (rate).
  std::function<void(std::string_view stream, std::string bytes, completion<std::uint64_t>)> append;
  // Errors: kLogUnavailable, kTimeout, kOffsetForgotten (detail holds the oldest offset).
  std::function<void(std::string_view stream, std::uint64_t from, std::uint32_t max,
                     completion<log_page>)>
      read;
  std::function<void(completion<std::vector<listed_host>>)> list_hosts;
  // Reliable while the connection lasts; false if there is none.
  std::function<bool(const process_id&, const peer_message&)> send_peer;
  // Unreliable.
  std::function<void(const process_id&, const process_status&)> send_heartbeat;
  // Runs the function once at or after the time, on any thread but never inside the call.
  std::function<void(time_point, std::function<void()>)> at;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_PORTS_H_
