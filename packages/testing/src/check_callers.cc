// Checks over what callers were told: answers, "not run", single execution, jobs, graceful stops.
#include <algorithm>
#include <set>

#include "check_index.h"

namespace sycamorehinge::testing {

namespace {

bool SaysNotRun(const sending& sent) {
  return sent.outcome == "not_run" || sent.outcome == "refused";
}

bool RanToSuccess(const check_index& index, const caller_work& work, time_point before) {
  const auto numbers = index.RunsOf(work.content);
  return std::any_of(numbers.begin(), numbers.end(), [&](std::size_t number) {
    const run_interval& run = index.runs[number];
    return run.end_state == "succeeded" && run.to <= before;
  });
}

void CheckOnceRequest(const check_index& index, const caller_work& work, findings& found) {
  const auto numbers = index.RunsOf(work.content);
  for (std::size_t i = 1; i < numbers.size(); ++i) {
    const run_interval& run = index.runs[numbers[i]];
    found.Add(run.from, work.request + " ran again as " + run.start.attempt + " on " +
                            run.start.host + " after " + index.runs[numbers[0]].start.attempt);
  }
}

// A key accepted as two jobs runs twice; a non-idempotent task must not even be repeated.
void CheckOnceJob(const check_index& index, const caller_work& work, findings& found) {
  std::set<std::string_view> jobs;
  std::set<std::string_view> tasks;
  for (const std::size_t number : index.RunsOf(work.content)) {
    const run_interval& run = index.runs[number];
    const std::string& attempt = run.start.attempt;
    if (jobs.insert(JobOf(attempt)).second && jobs.size() > 1 && !work.key.empty()) {
      found.Add(run.from, work.request + " ran as two jobs, the later one " + attempt);
    }
    if (!tasks.insert(TaskOf(attempt)).second && !work.idempotent) {
      found.Add(run.from, work.request + " ran a task again: " + attempt);
    }
  }
}

// Whether the process was told to stop in time to end the sending gracefully, and was not killed.
bool StoppedGracefully(const process_life& life, const sending& sent) {
  bool stopping = false;
  for (const auto& [at, change] : life.changes) {
    if (at > sent.answered_at) break;
    if (change == "started") stopping = false;
    if (change == "stopping") stopping = true;
    if (change == "killed" && at >= sent.at) return false;
  }
  return stopping;
}

bool AllTasksSucceeded(const check_index& index, const std::string& job, std::uint32_t tasks) {
  for (std::uint32_t task = 0; task < tasks; ++task) {
    const auto found = index.runs_by_task.find(job + "." + std::to_string(task));
    if (found == index.runs_by_task.end()) return false;
    const bool succeeded = std::any_of(
        found->second.begin(), found->second.end(),
        [&](std::size_t number) { return index.runs[number].end_state == "succeeded"; });
    if (!succeeded) return false;
  }
  return true;
}

bool IsFinal(std::string_view state) {
  return state == "succeeded" || state == "failed" || state == "cancelled";
}

// No task of a job may start after the job was reported as ended.
void CheckLateStarts(const check_index& index, const std::string& job, std::uint32_t tasks,
                     time_point ended, findings& found) {
  for (std::uint32_t task = 0; task < tasks; ++task) {
    const auto runs = index.runs_by_task.find(job + "." + std::to_string(task));
    if (runs == index.runs_by_task.end()) continue;
    for (const std::size_t number : runs->second) {
      const run_interval& run = index.runs[number];
      if (run.from > ended) {
        found.Add(run.from, run.start.attempt + " started after its job was reported as ended");
      }
    }
  }
}

// Returns true if the job is lost.
bool CheckJob(const check_index& index, const caller_work& work, const sending& sent,
              findings& found) {
  const auto seen = index.jobs_seen.find(sent.job);
  if (seen == index.jobs_seen.end()) {
    found.Add(sent.answered_at, "job " + sent.job + " was accepted and never reported");
    return true;
  }
  const seen_state& last = seen->second.back();
  if (last.state == "unknown_job" || last.state == "unreachable") {
    found.Add(last.at, "job " + sent.job + " was accepted and is now " + last.state);
    return true;
  }
  const auto final = std::find_if(seen->second.begin(), seen->second.end(),
                                  [](const seen_state& state) { return IsFinal(state.state); });
  if (final == seen->second.end()) return false;
  if (final->state != last.state) {
    found.Add(last.at, "job " + sent.job + " was " + final->state + " and is now " + last.state);
  }
  if (final->state == "succeeded" && !AllTasksSucceeded(index, sent.job, work.tasks)) {
    found.Add(final->at, "job " + sent.job + " is succeeded without all of its tasks");
  }
  CheckLateStarts(index, sent.job, work.tasks, final->at, found);
  return false;
}

}  // namespace

void CheckAnswers(const check_index& index, findings& found) {
  for (const auto& [request, work] : index.works) {
    if (work.job) continue;
    for (const sending& sent : work.sendings) {
      if (sent.outcome != "done") continue;
      if (sent.expected != sent.received) {
        found.Add(sent.answered_at, request + " got an answer that is not its own or not whole");
      } else if (!RanToSuccess(index, work, sent.answered_at)) {
        found.Add(sent.answered_at, request + " got an answer although no host ran it");
      }
    }
  }
}

// A run is allowed from the first sending on that was not told "not run".
void CheckNotRun(const check_index& index, findings& found) {
  for (const auto& [request, work] : index.works) {
    time_point allowed = time_point::max();
    for (const sending& sent : work.sendings) {
      if (!SaysNotRun(sent)) allowed = std::min(allowed, sent.at);
    }
    for (const std::size_t number : index.RunsOf(work.content)) {
      const run_interval& run = index.runs[number];
      if (run.from >= allowed) continue;
      found.Add(run.from, request + " was told not_run and ran as " + run.start.attempt + " on " +
                              run.start.host);
    }
  }
}

void CheckOnce(const check_index& index, findings& found) {
  for (const auto& [request, work] : index.works) {
    if (work.job) {
      CheckOnceJob(index, work, found);
    } else if (!work.idempotent && !work.key.empty()) {
      CheckOnceRequest(index, work, found);
    }
  }
}

void CheckGraceful(const check_index& index, findings& found) {
  for (const auto& [request, work] : index.works) {
    for (const sending& sent : work.sendings) {
      if (sent.outcome != "cut") continue;
      const auto life = index.processes.find(sent.entry);
      if (life == index.processes.end() || !StoppedGracefully(life->second, sent)) continue;
      found.Add(sent.answered_at, request + " was cut by the graceful stop of " + sent.entry);
    }
  }
}

std::uint64_t CheckJobs(const check_index& index, findings& found) {
  std::uint64_t lost = 0;
  for (const auto& [request, work] : index.works) {
    std::set<std::string_view> jobs;
    for (const sending& sent : work.sendings) {
      if (!work.job || sent.outcome != "accepted") continue;
      if (!jobs.insert(sent.job).second) continue;
      if (CheckJob(index, work, sent, found)) ++lost;
    }
    if (jobs.size() > 1 && !work.key.empty()) {
      found.Add(work.sendings.back().answered_at, request + " was accepted as two jobs");
    }
  }
  return lost;
}

}  // namespace sycamorehinge::testing
