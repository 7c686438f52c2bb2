#include "sycamorehinge/core/routing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamorehinge {

namespace {

struct candidate {
  process_id process;
  // Number of free_tasks of the requested size that fit into the free capacity of the peer's pool.
  double free_tasks = 0;
};

double TasksPerResource(std::int64_t free, std::int64_t size) {
  if (size <= 0) return std::numeric_limits<double>::max();
  return static_cast<double>(free) / static_cast<double>(size);
}

double FreeTasks(const resources& free, const resources& size) {
  return std::min({TasksPerResource(free.cores_milli, size.cores_milli),
                   TasksPerResource(free.memory_mb, size.memory_mb),
                   TasksPerResource(free.accelerators, size.accelerators),
                   TasksPerResource(free.slots, size.slots)});
}

// Returns 0 if the whole request does not fit.
double FreeTasksAt(const route_request& request, const process_status& peer) {
  for (const pool_load& load : peer.loads) {
    if (load.environment != request.environment || load.service != request.service) continue;
    if (!load.largest_free.CanFit(request.size)) return 0;
    const double free_tasks = FreeTasks(load.free, request.size);
    return free_tasks >= static_cast<double>(std::max(1U, request.count)) ? free_tasks : 0;
  }
  return 0;
}

bool IsEligible(const route_request& request, const process_status& peer) {
  return peer.ready && !peer.draining &&
         std::find(request.refused.begin(), request.refused.end(), peer.process) ==
             request.refused.end();
}

// Power of two choices: two random candidates come first. If every process asked the peer with the
// most free capacity, all overflow would go to that peer until its next heartbeat.
void SortByTwoChoices(std::vector<candidate>& candidates, std::uint64_t random) {
  std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
    return a.free_tasks != b.free_tasks ? a.free_tasks > b.free_tasks : a.process < b.process;
  });
  if (candidates.size() < 3) return;
  const std::size_t first = random % candidates.size();
  std::size_t second = (random >> 32) % (candidates.size() - 1);
  if (second >= first) ++second;
  const auto [first_choice, second_choice] = std::minmax(first, second);
  const auto begin = candidates.begin();
  std::rotate(begin, begin + static_cast<std::ptrdiff_t>(first_choice),
              begin + static_cast<std::ptrdiff_t>(first_choice) + 1);
  std::rotate(begin + 1, begin + static_cast<std::ptrdiff_t>(second_choice),
              begin + static_cast<std::ptrdiff_t>(second_choice) + 1);
}

}  // namespace

std::vector<process_id> OverflowCandidates(const route_request& request,
                                           std::span<const process_status> peers) {
  std::vector<candidate> same_region;
  std::vector<candidate> other_regions;
  for (const process_status& peer : peers) {
    if (!IsEligible(request, peer)) continue;
    const double free_tasks = FreeTasksAt(request, peer);
    if (free_tasks <= 0) continue;
    (peer.where.region == request.region ? same_region : other_regions)
        .push_back({peer.process, free_tasks});
  }
  std::vector<candidate>& chosen = same_region.empty() ? other_regions : same_region;
  SortByTwoChoices(chosen, request.random);
  std::vector<process_id> processes;
  processes.reserve(chosen.size());
  for (candidate& next : chosen) processes.push_back(std::move(next.process));
  return processes;
}

}  // namespace sycamorehinge
