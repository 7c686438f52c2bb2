// Capacity that less urgent steps leave free for more urgent ones.
#include <algorithm>
#include <cmath>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Decay time of the rates of task starts.
constexpr duration kStartRateTime = std::chrono::seconds(1);
// Decay time of the rates at which steps of a queue start.
constexpr duration kQueueRateTime = std::chrono::seconds(3);
// Time until the next capacity is freed for an urgent task.
constexpr duration kHeadroomTime = std::chrono::milliseconds(350);
// Largest headroom, as fractions of the capacity.
constexpr double kMaxHeadroom = 0.1;
constexpr double kMaxGangHeadroom = 0.3;
// Steps that must start sooner than this to meet their target leave no capacity to waiting gangs.
constexpr duration kMinSlack = std::chrono::seconds(5);

}  // namespace

void scheduler::state::DecayStartRates() {
  const double factor = std::exp(-std::chrono::duration<double>(now - start_rates_updated) /
                                 std::chrono::duration<double>(kStartRateTime));
  start_rates_updated = now;
  for (auto& [key, rate] : start_rates) {
    rate.cores_milli *= factor;
    rate.tasks *= factor;
  }
}

void queue_rate::Decay(time_point now) {
  starts *= std::exp(-std::chrono::duration<double>(now - updated) /
                     std::chrono::duration<double>(kQueueRateTime));
  updated = now;
}

void queue_rate::CountStart(time_point now) {
  Decay(now);
  starts += 1 / std::chrono::duration<double>(kQueueRateTime).count();
}

// Computes for each service and priority what its steps leave free for more urgent ones: what those
// start within `kHeadroomTime`, since a long task would take the capacity that an urgent one needs
// at once, and what their gangs wait for, since a gang needs all of it at the same time.
void scheduler::state::UpdateHeadroom() {
  DecayStartRates();
  for (const queue_settings& queue : config->queues) start_rates[{queue.service, queue.priority}];
  headrooms.clear();
  std::map<service_priority, double> gangs = WaitingGangCores();
  std::string_view service;
  start_rate more_urgent;
  double waiting_gangs = 0;
  for (const auto& [key, rate] : start_rates) {
    if (key.service != service) {
      service = key.service;
      more_urgent = {};
      waiting_gangs = 0;
    }
    headroom& row = headrooms[key];
    const double size = std::max(more_urgent.cores_milli / std::max(more_urgent.tasks, 1.0), 1.0);
    for (const host_state& host : hosts) {
      if (!IsUsable(host) || host.entry.service != service) continue;
      const auto free = static_cast<double>(host.Free().cores_milli);
      row.capacity += static_cast<double>(host.entry.capacity.cores_milli);
      row.free += std::max(free, 0.0);
      row.available += size * std::floor(free / size);
    }
    row.needed_by_gangs = std::min(waiting_gangs, row.capacity * kMaxGangHeadroom);
    if (more_urgent.tasks >= 1) {
      const double started =
          more_urgent.cores_milli / std::chrono::duration<double>(kStartRateTime).count();
      row.needed = std::min(started * std::chrono::duration<double>(kHeadroomTime).count(),
                            row.capacity * kMaxHeadroom);
    }
    more_urgent.cores_milli += rate.cores_milli;
    more_urgent.tasks += rate.tasks;
    waiting_gangs += gangs[key];
  }
}

// Returns by service and priority the cores that gangs need that wait and can still meet their
// target.
std::map<service_priority, double> scheduler::state::WaitingGangCores() {
  std::map<service_priority, double> cores;
  for (const waiting_key& key : waiting) {
    const task_ref ref{key.job, key.occurrence, key.step, 0};
    job_entry* job = FindJob(key.job);
    const step_state* step = FindStep(ref);
    if (!job || !step || !SpecOf(*job, key.step).gang || now > step->latest_start) continue;
    const queue_settings* queue = QueueOf(*job);
    if (!queue || step->active_runs > 0 || !step->reserved_capacity.empty()) continue;
    cores[{queue->service, key.priority}] +=
        static_cast<double>(ChargedResources(SpecOf(*job, key.step)).cores_milli) *
        static_cast<double>(step->tasks.size());
  }
  return cores;
}

bool scheduler::state::LeavesHeadroom(const demand& wanted) const {
  const auto found = headrooms.find({wanted.queue->service, wanted.queue->priority});
  if (found == headrooms.end()) return true;
  const headroom& row = found->second;
  // No piece may be large enough although most of the capacity is free.
  if (2 * row.free > row.capacity) return true;
  const bool can_wait = now + kMinSlack < wanted.step->latest_start;
  return row.available >= row.needed + (can_wait ? row.needed_by_gangs : 0);
}

}  // namespace sycamorehinge::cell
