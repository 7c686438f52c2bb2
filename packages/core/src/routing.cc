#include "sycamorehinge/core/routing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sycamorehinge {

namespace {

struct candidate {
  process_id process;
  // Tasks of the requested size that the peer's pool has room for in total.
  double tasks = 0;
};

double TasksOnAxis(std::int64_t free, std::int64_t size) {
  if (size <= 0) return std::numeric_limits<double>::max();
  return static_cast<double>(free) / static_cast<double>(size);
}

double TasksThatFit(const resources& free, const resources& size) {
  return std::min(
      {TasksOnAxis(free.cores_milli, size.cores_milli), TasksOnAxis(free.memory_mb, size.memory_mb),
       TasksOnAxis(free.accelerators, size.accelerators), TasksOnAxis(free.slots, size.slots)});
}

// Zero if the peer has no room for the whole request.
double RoomAt(const route_request& request, const process_status& peer) {
  for (const pool_load& load : peer.loads) {
    if (load.environment != request.environment || load.service != request.service) continue;
    if (!load.largest_free.Holds(request.size)) return 0;
    const double tasks = TasksThatFit(load.free, request.size);
    return tasks >= static_cast<double>(std::max(1U, request.count)) ? tasks : 0;
  }
  return 0;
}

bool MayAsk(const route_request& request, const process_status& peer) {
  return peer.ready && !peer.draining &&
         std::find(request.refused.begin(), request.refused.end(), peer.process) ==
             request.refused.end();
}

// Two random candidates come first. Always taking the freest peer would send every process's
// overflow to the same one until its next heartbeat.
void OrderByTwoChoices(std::vector<candidate>& candidates, std::uint64_t random) {
  std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
    return a.tasks != b.tasks ? a.tasks > b.tasks : a.process < b.process;
  });
  if (candidates.size() < 3) return;
  const std::size_t first = random % candidates.size();
  std::size_t second = (random >> 32) % (candidates.size() - 1);
  if (second >= first) ++second;
  const auto [freer, fuller] = std::minmax(first, second);
  const auto begin = candidates.begin();
  std::rotate(begin, begin + static_cast<std::ptrdiff_t>(freer),
              begin + static_cast<std::ptrdiff_t>(freer) + 1);
  std::rotate(begin + 1, begin + static_cast<std::ptrdiff_t>(fuller),
              begin + static_cast<std::ptrdiff_t>(fuller) + 1);
}

}  // namespace

std::vector<process_id> Candidates(const route_request& request,
                                   std::span<const process_status> peers) {
  std::vector<candidate> near;
  std::vector<candidate> far;
  for (const process_status& peer : peers) {
    if (!MayAsk(request, peer)) continue;
    const double tasks = RoomAt(request, peer);
    if (tasks <= 0) continue;
    (peer.where.region == request.region ? near : far).push_back({peer.process, tasks});
  }
  std::vector<candidate>& chosen = near.empty() ? far : near;
  OrderByTwoChoices(chosen, request.random);
  std::vector<process_id> processes;
  processes.reserve(chosen.size());
  for (candidate& next : chosen) processes.push_back(std::move(next.process));
  return processes;
}

}  // namespace sycamorehinge
