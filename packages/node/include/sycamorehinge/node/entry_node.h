// The entry process without sockets: composes the decisions of core into shards and connects them
// to the ports. All functions may be called from any thread.
#ifndef SYCAMOREHINGE_NODE_ENTRY_NODE_H_
#define SYCAMOREHINGE_NODE_ENTRY_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/core/config_order.h"
#include "sycamorehinge/core/membership.h"
#include "sycamorehinge/core/partition.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/retry.h"
#include "sycamorehinge/node/ports.h"
#include "sycamorehinge/telemetry/events.h"
#include "sycamorehinge/telemetry/metrics.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

struct peer_row {
  process_id process;
  region_id region;
};

struct claim_options {
  duration ttl = std::chrono::seconds(2);
  duration renew = std::chrono::milliseconds(700);
  duration task_lease = std::chrono::seconds(10);
  duration contact_ttl = std::chrono::seconds(60);
  duration list_interval = std::chrono::seconds(5);
};

struct heartbeat_options {
  duration in_region = std::chrono::milliseconds(500);
  duration elsewhere = std::chrono::seconds(2);
};

struct node_options {
  process_id self;
  std::uint64_t incarnation = 0;
  location where;
  std::vector<peer_row> peers;
  std::vector<region_id> regions;
  partition_number partitions = 16;
  double appends_per_second = 25;
  // Longest wait for a peer's answer when the work has no deadline.
  duration call_timeout = std::chrono::seconds(30);
  // Interval of rewriting the documents in force; below half of the log's retention.
  duration restate = std::chrono::minutes(10);
  claim_options claims;
  heartbeat_options heartbeat;
  membership_options membership;
  partition_options partition;
  pool_options pool;
  retry_policy retries;
  // Parses and checks the text of an environment document.
  std::function<result<environment_document>(std::string_view)> parse_document;
};

// Where the node reports to; both must outlive it. Null reports nothing.
struct node_observer {
  event_log* events = nullptr;
  metrics* numbers = nullptr;
};

struct proposal_answer {
  errc code = errc::kOk;
  std::string detail;
  // The accepted version, or the winner of a conflict.
  config_version version;
};

struct node_summary {
  process_status self;
  std::vector<process_status> alive;
  std::vector<std::pair<pool_load, pool_summary>> pools;
  std::uint64_t jobs = 0;
  std::uint64_t calls_waiting = 0;
};

using answer_function = std::function<void(const request_answer&)>;
using job_function = std::function<void(const job_answer&)>;

class entry_node {
 public:
  // Shared by the parts of the node; defined in the sources.
  struct parts;

  entry_node(node_options options, ports port, node_observer observer);
  ~entry_node();

  // Starts timers: heartbeats, claims, ownership, configuration.
  void Start();
  // Stops all timers; calls that wait are answered with kDraining or kOutcomeUnknown.
  void Stop();

  // --- callers ---
  void Request(caller_request request, answer_function reply);
  void Submit(job_spec spec, job_function reply);
  // Answers when the job ends, at the latest after `wait`.
  void Status(const job_id& job, duration wait, job_function reply);
  void Cancel(const job_id& job, job_function reply);
  // Why the job waits or where it went, one line each.
  std::vector<std::string> Explain(const job_id& job) const;

  // --- operators ---
  void Propose(config_record record, std::function<void(const proposal_answer&)> reply);
  std::optional<config_version> InForce(const config_key& key) const;
  std::vector<config_version> History(const config_key& key) const;
  node_summary Summary() const;
  std::vector<host_summary> Hosts() const;
  bool Ready() const;
  // Stops taking work, finishes what is in flight, hands over partitions and claims, then calls
  // `done`; at the latest after `timeout`.
  void Drain(duration timeout, std::function<void()> done);

  // --- peers ---
  void OnPeerMessage(const process_id& from, const peer_message& message);
  // kDuplicateName if this process must stop.
  errc OnHeartbeat(const process_status& status);

 private:
  std::unique_ptr<parts> parts_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_ENTRY_NODE_H_
