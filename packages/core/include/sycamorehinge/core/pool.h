// A pool: the hosts of one kind that this process holds, and the work that waits for them.
//
// Combines the queue, the room ledger, placement, preemption and ejection. Events and time come
// in, actions go out; the caller serializes calls.
#ifndef SYCAMOREHINGE_CORE_POOL_H_
#define SYCAMOREHINGE_CORE_POOL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// One piece of work that waits for room. A gang is one item with `count` > 1; its tasks have the
// indexes id.task.index .. id.task.index + count - 1.
struct work_item {
  attempt_id id;
  work_kind kind = work_kind::kRequest;
  tenant_id tenant;
  class_id work_class;
  resources size;
  std::uint32_t count = 1;
  // Declared run time; zero if not declared.
  duration run_time{};
  time_point deadline = time_point::max();
  // May be checkpointed and stopped to give room back.
  bool preemptible = false;
  // Hosts that earlier attempts failed on.
  std::vector<host_id> avoid;
};

struct placement {
  host_id host;
  std::uint64_t term = 0;
};

struct held_work {
  attempt_id id;
  tenant_id tenant;
  class_id work_class;
  resources size;
  bool preemptible = false;
};

enum class finish_kind { kSucceeded, kFailed, kLost, kNeverRan, kPreempted, kCancelled };

// A claim was granted or renewed under a new term; replaces all that was known of the host.
struct host_claimed {
  host_id host;
  std::uint64_t term = 0;
  resources capacity;
  location where;
  std::vector<held_work> running;
  bool leaving = false;
};
// The host is leaving, or came back; no new work goes to a leaving host.
struct host_leaving {
  host_id host;
  bool leaving = true;
};
// The claim is gone: released, lapsed or taken by another process.
struct host_released {
  host_id host;
};
// Lagging usage report of one attempt; corrects declared sizes.
struct usage_reported {
  host_id host;
  attempt_id id;
  resources used;
};
struct work_offered {
  work_item item;
};
// Takes waiting work out of the queue, without an action. Room that the attempt already has stays
// taken until work_finished or hold_released.
struct work_withdrawn {
  attempt_id id;
};
// The work left the host; its room is free again. Counts for ejection.
struct work_finished {
  attempt_id id;
  host_id host;
  finish_kind outcome = finish_kind::kSucceeded;
  // Time on the host.
  duration ran{};
};
// A peer asks for room at once, without waiting. Answered by work_placed or work_refused; an
// attempt that already waits or has room here is refused.
struct hold_requested {
  work_item item;
  duration hold_time{};
};
// The held work will start: the hold no longer expires. Ignored after the hold has expired; see
// pool::PlaceOf. Each task of a gang is confirmed by its own id.
struct hold_confirmed {
  attempt_id id;
};
// The hold is given back; nothing was started.
struct hold_released {
  attempt_id id;
};
struct rules_changed {
  std::shared_ptr<const environment_document> document;
};
// Largest host of the pools of all other processes: work that fits there fits somewhere.
struct room_elsewhere {
  resources largest_host;
};
// Passing of time: expires deadlines and holds, preempts, probes ejected hosts.
struct pool_tick {};

using pool_event =
    std::variant<host_claimed, host_leaving, host_released, usage_reported, work_offered,
                 work_withdrawn, work_finished, hold_requested, hold_confirmed, hold_released,
                 rules_changed, room_elsewhere, pool_tick>;

// Room is reserved; one placement for each task of the item. The room stays taken until
// work_finished (or hold_released) for each task.
struct work_placed {
  work_item item;
  std::vector<placement> places;
  duration waited{};
};
// The work leaves the queue without having been placed.
struct work_refused {
  attempt_id id;
  errc reason = errc::kOverloaded;
  // When the caller should try again; zero if a retry is pointless.
  duration retry_after{};
};
// Checkpoint and stop this task to give its room to work below its guaranteed share.
struct preemption_wanted {
  attempt_id id;
  host_id host;
};
// The item has waited `waited` without local room: ask peers. Stays queued until withdrawn.
struct overflow_wanted {
  work_item item;
  duration waited{};
};

using pool_action = std::variant<work_placed, work_refused, preemption_wanted, overflow_wanted>;

// How the queue orders work. `fifo` is the measured baseline.
struct fair_shares {};
struct fifo {};
using queue_policy = std::variant<fair_shares, fifo>;

struct pool_options {
  queue_policy order = fair_shares{};
  // Overrides the placement rules of the document, for measured baselines.
  std::optional<placement_kind> placement;
  // Wait after which an item asks for room at peers.
  duration overflow_after = std::chrono::milliseconds(5);
  // Wait of work below its guaranteed share after which preemptible work is stopped.
  duration preempt_after = std::chrono::milliseconds(200);
  bool eject_failing_hosts = true;
  // Most items that wait at once; bounds memory while no host is claimed and waits are unknown.
  std::uint32_t max_waiting = 20'000;
  std::uint64_t seed = 1;
};

// What a person or a peer may know about the pool.
struct class_summary {
  class_id work_class;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  resources held;
  // Expected wait of new work of this class.
  duration expected_wait{};
};
struct host_summary {
  host_id host;
  location where;
  std::uint64_t term = 0;
  resources capacity;
  resources taken;
  bool leaving = false;
  bool ejected = false;
  std::uint64_t running = 0;
};
struct pool_summary {
  resources capacity;
  resources taken;
  // Largest size on each axis that some host has free, for coarse routing.
  resources largest_free;
  // Largest capacity of a host on each axis.
  resources largest_host;
  std::vector<class_summary> classes;
};

class pool {
 public:
  explicit pool(pool_options options);
  ~pool();
  pool(pool&&) noexcept;
  pool& operator=(pool&&) noexcept;

  // Applies one event and appends the actions it causes.
  void Handle(const pool_event& event, time_point now, std::vector<pool_action>& out);

  // Earliest time at which a pool_tick would do something; time_point::max() if none. It may be
  // in the past: one tick does a bounded amount of work.
  time_point NextTick() const;

  pool_summary Summary() const;
  std::vector<host_summary> Hosts() const;
  // Where room is taken for an attempt; nullopt after a hold has expired.
  std::optional<placement> PlaceOf(const attempt_id& id) const;
  // Why an item waits, in one sentence for people; empty if the item is unknown.
  std::string Explain(const attempt_id& id) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_POOL_H_
