// Checks over the versions of documents that processes reported.
#include <algorithm>
#include <set>

#include "check_index.h"

namespace sycamorehinge::testing {

namespace {

// Whether the process ran all the time from `from` to `to`. One without recorded changes did.
bool LivesThrough(const check_index& index, const std::string& process, time_point from,
                  time_point to) {
  const auto life = index.processes.find(process);
  if (life == index.processes.end()) return true;
  bool alive = false;
  for (const auto& [at, change] : life->second.changes) {
    if (at > to) break;
    if (at > from) return false;
    alive = change == "started";
  }
  return alive;
}

void CheckProcess(const check_index& index, const accepted_version& accepted,
                  const std::string& process, time_point due, findings& found) {
  const auto document = index.versions.find(accepted.document);
  const std::vector<seen_version>* seen = nullptr;
  if (document != index.versions.end()) {
    const auto versions = document->second.find(process);
    if (versions != document->second.end()) seen = &versions->second;
  }
  const std::string what =
      accepted.document + " version " + std::to_string(accepted.version) + " at " + process;
  if (seen == nullptr) {
    found.Add(due, what + " was never seen");
    return;
  }
  bool in_force = false;
  for (const seen_version& version : *seen) {
    if (version.version >= accepted.version) {
      in_force = true;
    } else if (version.at > due) {
      found.Add(version.at, what + " was not in force in time");
      return;
    }
  }
  if (!in_force) found.Add(due, what + " was never seen");
}

}  // namespace

void CheckOrder(const check_index& index, findings& found) {
  for (const auto& [document, processes] : index.versions) {
    for (const auto& [process, seen] : processes) {
      std::uint64_t highest = 0;
      for (const seen_version& version : seen) {
        if (version.version < highest) {
          std::string text = document;
          text.append(" at ").append(process).append(" went back from ");
          text.append(std::to_string(highest)).append(" to ");
          text.append(std::to_string(version.version));
          found.Add(version.at, text);
        }
        highest = std::max(highest, version.version);
      }
    }
  }
}

void CheckInForce(const check_index& index, duration within, findings& found) {
  std::set<std::string> processes;
  for (const auto& [process, life] : index.processes) processes.insert(process);
  for (const auto& [document, by_process] : index.versions) {
    for (const auto& [process, seen] : by_process) processes.insert(process);
  }
  for (const accepted_version& accepted : index.accepted_versions) {
    const time_point due = accepted.at + within;
    if (due > index.last) continue;
    for (const std::string& process : processes) {
      if (!LivesThrough(index, process, accepted.at, due)) continue;
      CheckProcess(index, accepted, process, due, found);
    }
  }
}

}  // namespace sycamorehinge::testing
