// Checks over what the hosts recorded: room, single runs, leaving hosts.
#include <algorithm>

#include "check_index.h"

namespace sycamorehinge::testing {

namespace {

struct room_change {
  time_point at;
  bool starts = false;
  const run_interval* run = nullptr;
};

std::vector<room_change> RoomChanges(const check_index& index,
                                     std::span<const std::size_t> numbers) {
  std::vector<room_change> changes;
  for (const std::size_t number : numbers) {
    const run_interval& run = index.runs[number];
    changes.push_back({run.from, true, &run});
    if (run.to != time_point::max()) changes.push_back({run.to, false, &run});
  }
  // Room that is freed at an instant may be taken at that instant.
  std::stable_sort(changes.begin(), changes.end(), [](const room_change& a, const room_change& b) {
    return a.at != b.at ? a.at < b.at : a.starts < b.starts;
  });
  return changes;
}

std::string Describe(const run_interval& run) {
  return run.start.attempt + " on " + run.start.host;
}

}  // namespace

void CheckRoom(const check_index& index, findings& found) {
  for (const auto& [host, numbers] : index.runs_by_host) {
    const auto capacity = index.capacities.find(host);
    if (capacity == index.capacities.end()) {
      found.Add(index.runs[numbers.front()].from, "runs on unknown host " + host);
      continue;
    }
    resources taken;
    for (const room_change& change : RoomChanges(index, numbers)) {
      // A run without a length never takes room beside others.
      if (change.run->from == change.run->to) continue;
      if (!change.starts) {
        taken -= change.run->start.size;
        continue;
      }
      taken += change.run->start.size;
      if (capacity->second.CanFit(taken)) continue;
      found.Add(change.at, Describe(*change.run) + " exceeds the room");
    }
  }
  if (found.Count() == 0 && index.overfill_events > 0) {
    found.Add(index.last,
              std::to_string(index.overfill_events) + " overfills recorded by the hosts");
  }
}

void CheckSingle(const check_index& index, findings& found) {
  for (const auto& [task, numbers] : index.runs_by_task) {
    if (!HasPartition(task)) continue;
    const run_interval* latest = nullptr;
    for (const std::size_t number : numbers) {
      const run_interval& run = index.runs[number];
      if (latest != nullptr && run.from < latest->to) {
        found.Add(run.from, Describe(run) + " while " + Describe(*latest) + " runs");
      }
      if (latest == nullptr || run.to > latest->to) latest = &run;
    }
  }
}

void CheckLeaving(const check_index& index, duration grace, findings& found) {
  for (const auto& [host, changes] : index.leaving) {
    const auto runs = index.runs_by_host.find(host);
    if (runs == index.runs_by_host.end()) continue;
    for (const std::size_t number : runs->second) {
      const run_interval& run = index.runs[number];
      const auto after =
          std::upper_bound(changes.begin(), changes.end(), run.from,
                           [](time_point at, const std::pair<time_point, bool>& change) {
                             return at < change.first;
                           });
      if (after == changes.begin()) continue;
      const auto& [since, leaving] = *std::prev(after);
      if (!leaving || run.from - since <= grace) continue;
      const auto late = (run.from - since) / std::chrono::milliseconds(1);
      found.Add(run.from, Describe(run) + " started " + std::to_string(late) +
                              " ms after the host began to leave");
    }
  }
}

}  // namespace sycamorehinge::testing
