// A control process without sockets: takes calls, passes them to the owner of the cell, and owns
// the cell itself while the store's group assigns it here. All functions may be called from any
// thread.
#ifndef SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_
#define SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sycamorehinge/cell/scheduler.h"
#include "sycamorehinge/control/calls.h"
#include "sycamorehinge/control/membership_options.h"
#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/telemetry/events.h"
#include "sycamorehinge/telemetry/metrics.h"

namespace sycamorehinge::control {

struct control_options {
  // `started_ms` makes the name in the group another one for each start of the process.
  member_info self;
  membership_options membership;
  // Interval of reading the list of hosts.
  duration host_list_interval = std::chrono::milliseconds(500);
  // Time that the store may hold back an answer about the configuration or the directory.
  duration follow_wait = std::chrono::milliseconds(2000);
  // A tick later than this means that the process stood still: it starts nothing until the group
  // has confirmed its ownership.
  duration pause_limit = std::chrono::milliseconds(700);
  // Time that an answer of the policy service may take beyond its own.
  duration advice_slack = std::chrono::milliseconds(1500);
  cell::scheduler_options scheduler;
};

// Where the node reports to; both must outlive it. Null reports nothing.
struct control_observer {
  event_log* events = nullptr;
  metrics* numbers = nullptr;
};

// Writes the decisions of the scheduler and the node to the observer.
class decision_log {
 public:
  explicit decision_log(control_observer observer) : observer_(observer) {}

  void Write(const cell::note_decision& decision) const;
  void Write(event_number number, std::initializer_list<event_field> fields = {}) const;
  // `stage` of a takeover, reached `time` after the claim.
  void MeasureTakeover(std::string_view stage, duration time) const;
  void WriteUnanswered(const peer_call& call, errc code, duration held,
                       const owner_info& known) const;

 private:
  void Measure(const cell::note_decision& decision) const;

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
  // Calls `reply` exactly once, at the latest at `deadline`. Errors: kNotReady and kOverloaded (the
  // call had no effect), kUnknownJob, kMalformed, kOutcomeUnknown (it may have had one).
  void Call(peer_call call, time_point deadline, call_reply reply);
  // A call that another process passes on. Answers kNotOwner with the newest known owner if the
  // cell is not here.
  void OnPeerCall(peer_call call, call_reply reply);

  // Null until the first configuration is known.
  std::shared_ptr<const cell::fleet_config> Config() const;
  // True if new connections should come here.
  bool Ready() const;
  // Gives up the cell and takes no part any more; calls are still passed on.
  void Drain();
  control_summary Summary() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_CONTROL_NODE_H_
