// Control process without its network adapters: routes calls to the owner of the cell, and owns the
// cell itself while it is the preferred member of the store's group. All functions are thread-safe.
#ifndef SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_
#define SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sycamorehinge/cell/scheduler.h"
#include "sycamorehinge/control/calls.h"
#include "sycamorehinge/control/membership_options.h"
#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/telemetry/events.h"
#include "sycamorehinge/telemetry/metrics.h"

namespace sycamorehinge::control {

struct control_options {
  // This process as a member of the group of control processes.
  member_info self;
  membership_options membership;
  // Interval between reads of the list of hosts.
  duration host_list_interval = std::chrono::milliseconds(500);
  // Long-poll time of reads of the configuration and the directory.
  duration stream_max_wait = std::chrono::milliseconds(2000);
  // Interval between the announcements of a process to the owner of the cell.
  duration announce_interval = std::chrono::milliseconds(1500);
  // Interval at which a process that cannot read the configuration asks the owner for it.
  duration config_fetch_interval = std::chrono::milliseconds(500);
  // A tick later than this means that the process was paused: it starts no task until the group has
  // confirmed its ownership.
  duration max_tick_delay = std::chrono::milliseconds(700);
  // Added to the expected time of a call to the policy service to give its timeout.
  duration advice_timeout_margin = std::chrono::milliseconds(1500);
  cell::scheduler_options scheduler;
};

// Destinations of events and metrics; both must outlive the node and may be null.
struct control_observer {
  event_log* events = nullptr;
  metrics* metric_sink = nullptr;
};

// Writes the decisions of the scheduler and the node as events and metrics.
class decision_log {
 public:
  explicit decision_log(control_observer observer) : observer_(observer) {}

  void Write(const cell::log_decision& decision) const;
  void Write(event_number number, std::initializer_list<event_field> fields = {}) const;
  // Records that a takeover reached `stage` `time` after the claim.
  void RecordTakeoverTime(std::string_view stage, duration time) const;
  // A call ended without an answer of the owner, after `held`.
  void WriteUnanswered(const cell_call& call, errc code, duration held,
                       const owner_info& known) const;
  // `owner` refused a call after `held`, and an earlier attempt of it got no answer.
  void WriteRefused(const cell_call& call, errc code, duration held, const owner_info& owner) const;
  // An attempt arrived `age` after it was sent; `outcome` tells whether the owner acts on it.
  void WriteLate(const routed_call& call, duration age, errc outcome) const;

 private:
  void RecordMetrics(const cell::log_decision& decision) const;
  void RecordTenant(const cell::log_decision& decision) const;
  void WriteEnded(event_number number, const cell_call& call, errc code, duration held,
                  const owner_info& owner) const;

  control_observer observer_;
};

using call_reply = std::function<void(peer_answer)>;

struct control_summary {
  owner_info owner;
  bool owns_cell = false;
  std::uint64_t config_version = 0;
  std::size_t open_calls = 0;
  cell::scheduler_summary cell;
};

class control_node {
 public:
  control_node(control_options options, ports port, control_observer observer);
  ~control_node();
  control_node(const control_node&) = delete;
  control_node& operator=(const control_node&) = delete;

  void Start();
  // Calls `reply` exactly once, at the latest at `deadline`. Errors: kNotReady, kLogUnavailable and
  // kOverloaded (the call had no effect), kOutcomeUnknown (it may have had an effect), kUnknownJob,
  // kMalformed.
  void Call(cell_call call, time_point deadline, call_reply reply);
  // Handles a call from another process. Answers kNotOwner with the newest known owner if this
  // process does not own the cell.
  void OnPeerCall(peer_call call, call_reply reply);

  // Null until a valid configuration has been read.
  std::shared_ptr<const cell::fleet_config> Config() const;
  // True if the process should get new connections.
  bool Ready() const;
  // Gives up the cell and leaves the group; calls are still forwarded to the owner.
  void Drain();
  // Ends all open calls, and every later one at once, so that each has an answer before the process
  // exits.
  void EndCalls();
  control_summary Summary() const;
  // Returns at most this many tenants if this process owns the cell, see
  // cell::scheduler::TenantUsage.
  std::vector<cell::tenant_usage> TenantUsage(std::size_t most) const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_
