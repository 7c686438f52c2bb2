// Discrete-event simulation of a pool and its hosts, for the benchmark and the measurements.
#ifndef SYCAMOREHINGE_CORE_SRC_SIMULATED_POOL_H_
#define SYCAMOREHINGE_CORE_SRC_SIMULATED_POOL_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sycamorehinge/core/pool.h"

namespace sycamorehinge {

// Counts for the work of one class since StartCounting.
struct simulated_class {
  // Core time used, in millicore microseconds.
  double core_time = 0;
  // Cores in use now.
  std::int64_t cores_milli = 0;
  std::uint64_t offered = 0;
  std::uint64_t placed = 0;
  std::uint64_t refused = 0;
  std::uint64_t finished = 0;
  std::vector<duration> waits;
};

class simulated_pool {
 public:
  explicit simulated_pool(pool_options options) : pool_(options) {}

  void Send(const pool_event& event);
  void ClaimHosts(std::uint32_t count, const resources& plain, std::uint32_t accelerator_hosts,
                  std::int64_t accelerators);
  void SetRules(const environment_document& document);
  // Offers work that will take `run` on a host.
  void Offer(const work_item& item, duration run);
  // Runs the simulation up to `end`.
  void RunUntil(time_point end);
  // Resets the counts.
  void StartCounting();

  void SetFailing(const host_id& host, bool failing);
  const pool& Pool() const { return pool_; }
  time_point Now() const { return now_; }
  simulated_class& Class(const class_id& name) { return classes_[name]; }
  const std::unordered_map<host_id, std::uint64_t>& Starts() const { return starts_; }
  std::uint64_t TotalStarts() const { return total_starts_; }
  std::size_t Running() const { return running_.size(); }

  // If set, called with every event instead of pool::Handle, to measure it.
  std::function<void(pool&, const pool_event&, time_point, std::vector<pool_action>&)> handle_event;
  // If set, called with every action.
  std::function<void(const pool_action&, time_point)> on_action;

 private:
  struct running_task {
    work_item item;
    duration run{};
    host_id host;
    time_point started;
    bool stopping = false;
  };
  struct completion {
    time_point at;
    std::uint64_t sequence = 0;
    attempt_id id;
    finish_kind outcome = finish_kind::kSucceeded;
    friend bool operator<(const completion& a, const completion& b) {
      return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
  };

  void Advance(time_point to);
  void Apply(const work_placed& placed);
  void Apply(const work_refused& refused);
  void Apply(const preemption_wanted& wanted);
  void Apply(const overflow_wanted&) {}
  void Complete(const completion& due);
  void Resubmit(const running_task& task, duration run);

  pool pool_;
  time_point now_;
  std::vector<pool_action> actions_;
  std::unordered_map<attempt_id, duration> waiting_;
  std::unordered_map<attempt_id, class_id> waiting_class_;
  std::unordered_map<attempt_id, running_task> running_;
  std::priority_queue<completion> completions_;
  std::unordered_map<class_id, simulated_class> classes_;
  std::unordered_set<host_id> failing_;
  std::unordered_map<host_id, std::uint64_t> starts_;
  std::uint64_t total_starts_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SRC_SIMULATED_POOL_H_
