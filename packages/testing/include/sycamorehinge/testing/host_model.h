// A worker or target of the platform, in memory and without I/O.
//
// The model grants and checks claims, runs tasks and requests, and records what ran. It never
// protects the scheduler: a start under the current term is accepted even beyond the capacity, and
// recorded as an overfill.
#ifndef SYCAMOREHINGE_TESTING_HOST_MODEL_H_
#define SYCAMOREHINGE_TESTING_HOST_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/testing/history.h"

namespace sycamorehinge::testing {

enum class run_state { kRunning, kSucceeded, kFailed, kLapsed, kStopped };
std::string_view ToString(run_state state);

struct host_settings {
  host_id host;
  resources capacity;
  // Age of a task before its usage is reported.
  duration usage_lag{};
  // Time that a target takes for one request.
  duration service_time{};
};

struct claim_order {
  process_id holder;
  std::uint64_t term = 0;
  duration ttl{};
  std::vector<attempt_id> keep;
  std::vector<attempt_id> ack;
};
struct start_order {
  process_id holder;
  std::uint64_t term = 0;
  attempt_id id;
  tenant_id tenant;
  class_id work_class;
  bool preemptible = false;
  resources size;
  duration lease{};
  // Zero runs until it is stopped.
  duration run_time{};
  std::string payload;
};
struct execute_order {
  std::uint64_t term = 0;
  attempt_id id;
  std::string key;
  std::string body;
};

// A task as a claim reports it.
struct reported_task {
  attempt_id id;
  tenant_id tenant;
  class_id work_class;
  bool preemptible = false;
  resources size;
  run_state state = run_state::kRunning;
  resources used;
};
struct claim_grant {
  std::uint64_t term = 0;
  resources capacity;
  bool leaving = false;
  std::vector<reported_task> tasks;
};
struct claim_refusal {
  process_id holder;
  std::uint64_t term = 0;
  duration remaining{};
};
using claim_reply = std::variant<claim_grant, claim_refusal>;

// The request runs until this time; ask again then.
struct execute_pending {
  time_point until;
};
struct execute_done {
  std::string body;
};
using execute_reply = std::variant<errc, execute_pending, execute_done>;

struct void_reply {
  // never, running, succeeded or failed; a lapsed or stopped task counts as failed.
  std::string_view state;
  std::string answer;
};

class host_model {
 public:
  host_model(host_settings settings, time_point now);

  claim_reply Claim(const claim_order& order, time_point now);
  // Errors: kStaleTerm, kVoided. A repeated start of a known attempt changes nothing.
  errc Start(const start_order& order, time_point now);
  // Errors: kStaleTerm, kVoided, kFailed. A repeated execute of a known attempt runs nothing and
  // gives the answer of the first one.
  execute_reply Execute(const execute_order& order, time_point now);
  // Result of an execute that was pending.
  execute_reply ExecuteResult(const attempt_id& id, time_point now);
  result<void_reply> Void(std::uint64_t term, const attempt_id& id, time_point now);
  errc Stop(std::uint64_t term, const attempt_id& id, time_point now);
  errc Checkpoint(std::uint64_t term, const attempt_id& id, time_point now);
  // Slows the rest of a task down to `percent` of its speed.
  errc Throttle(std::uint64_t term, const attempt_id& id, std::uint32_t percent, time_point now);
  errc Release(const process_id& holder, std::uint64_t term, time_point now);

  // Ends what has run out or whose lease lapsed.
  void Advance(time_point now);
  void SetLeaving(bool leaving, time_point now);
  // All new work fails.
  void SetFailing(bool failing) { failing_ = failing; }
  // The host loses its claim and all running work, as in a crash; terms keep growing.
  void Restart(time_point now);

  bool IsLeaving() const { return leaving_; }
  const host_settings& Settings() const { return settings_; }
  resources Taken() const { return taken_; }
  // Events since the last call.
  std::vector<history_event> TakeEvents();

 private:
  struct run {
    reported_task task;
    bool request = false;
    std::uint64_t term = 0;
    time_point started;
    time_point ends = time_point::max();
    run_state end_state = run_state::kSucceeded;
    duration lease{};
    time_point lease_until = time_point::max();
    resources actual;
    std::string answer;
    // Reported by claims until acknowledged.
    bool reported = true;
  };

  bool Holds(std::uint64_t term, time_point now) const;
  errc RefuseStart(std::uint64_t term, const attempt_id& id, time_point now);
  run& Begin(run work, std::string_view key, std::uint64_t content, time_point now);
  void End(run& work, run_state state, time_point at);
  void Renew(std::span<const attempt_id> keep, time_point now);
  claim_grant Grant(time_point now) const;
  execute_reply ReplyOf(const run& work) const;
  void Record(time_point at, event_body body) { events_.push_back({at, std::move(body)}); }

  host_settings settings_;
  bool leaving_ = false;
  bool failing_ = false;
  process_id holder_;
  std::uint64_t term_ = 0;
  time_point claimed_until_{};
  resources taken_;
  // Everything that runs or must still be reported.
  std::map<attempt_id, run> runs_;
  // Outcome of everything that ended, for void and for repeated starts; oldest first in `order`.
  struct past_run {
    run_state state;
    std::string answer;
  };
  std::map<attempt_id, past_run> past_;
  std::deque<attempt_id> past_order_;
  std::map<attempt_id, time_point> tombstones_;
  std::vector<history_event> events_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_HOST_MODEL_H_
