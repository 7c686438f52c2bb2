#include "fake_hosts.h"

#include <algorithm>

namespace sycamorehinge::control::testing {

namespace {

using cell::call_outcome;
using cell::end_kind;

std::int64_t ClockAt(time_point now) { return now.time_since_epoch().count() / 1000; }

}  // namespace

fake_hosts::host& fake_hosts::At(const std::string& address, time_point now) {
  host& found = hosts_[address];
  const bool lapsed = ClockAt(now) >= found.lease_until_ms;
  for (auto run = found.running.begin(); run != found.running.end();) {
    const bool done = ClockAt(run->second) <= std::min(ClockAt(now), found.lease_until_ms);
    if (!done && !lapsed) {
      ++run;
      continue;
    }
    found.ended.push_back({found.next_end++,
                           run->first.first,
                           run->first.second,
                           done ? end_kind::kDone : end_kind::kLeaseExpired,
                           {}});
    run = found.running.erase(run);
  }
  return found;
}

call_outcome fake_hosts::Check(host& target, const std::string& process, const std::string& address,
                               std::uint64_t token) const {
  if (cut_off.contains({process, address})) return call_outcome::kNoAnswer;
  if (token < target.token) return call_outcome::kFenced;
  target.token = token;
  return call_outcome::kDone;
}

call_outcome fake_hosts::Poll(const std::string& process, const cell::poll_host& poll,
                              time_point now, cell::host_report& report) {
  host& target = At(poll.address, now);
  const call_outcome outcome = Check(target, process, poll.address, poll.token);
  if (outcome != call_outcome::kDone) return outcome;
  // Ends before a lease has expired do not count, as their tasks may run elsewhere since.
  const bool lapsed = ClockAt(now) >= target.lease_until_ms;
  if (poll.deadline_ms) target.lease_until_ms = std::max(target.lease_until_ms, *poll.deadline_ms);
  std::erase_if(target.ended, [&](const cell::end_report& end) {
    if (end.number > poll.journaled_end) return false;
    if (end.kind == end_kind::kDone && !lapsed) succeeded_.insert(end.task);
    return true;
  });
  report.clock_ms = ClockAt(now);
  report.ended = target.ended;
  for (const auto& [run, ends] : target.running) {
    report.running.push_back({run.first, run.second, {}, 100, 0});
  }
  return outcome;
}

void fake_hosts::CheckStart(const std::string& address, const cell::task_ref& task,
                            time_point now) {
  ++starts;
  started_[task] = now;
  if (succeeded_.contains(task)) ++runs_after_success;
  for (const auto& [other, row] : hosts_) {
    if (other == address) continue;
    const host& current = At(other, now);
    double_runs += std::any_of(current.running.begin(), current.running.end(),
                               [&](const auto& run) { return run.first.first == task; });
  }
}

cell::start_report fake_hosts::Start(const std::string& process, const cell::start_task& start,
                                     time_point now) {
  host& target = At(start.address, now);
  const call_outcome outcome = Check(target, process, start.address, start.token);
  if (outcome != call_outcome::kDone) return {outcome};
  if (ClockAt(now) >= start.deadline_ms) return {call_outcome::kLeaseExpired, ClockAt(now)};
  target.lease_until_ms = std::max(target.lease_until_ms, start.deadline_ms);
  const bool ended = std::any_of(
      target.ended.begin(), target.ended.end(),
      [&](const cell::end_report& end) { return end.task == start.task && end.run >= start.run; });
  if (ended) return {call_outcome::kStaleRun, ClockAt(now)};
  if (target.running.try_emplace({start.task, start.run}, now + run_time).second) {
    CheckStart(start.address, start.task, now);
  }
  return {outcome, ClockAt(now)};
}

call_outcome fake_hosts::Stop(const std::string& process, const cell::stop_task& stop,
                              time_point now) {
  host& target = At(stop.address, now);
  const call_outcome outcome = Check(target, process, stop.address, stop.token);
  if (outcome != call_outcome::kDone) return outcome;
  if (target.running.erase({stop.task, stop.run}) > 0) {
    target.ended.push_back({target.next_end++, stop.task, stop.run, end_kind::kStopped, {}});
  }
  return outcome;
}

std::size_t fake_hosts::Running(const std::string& address, time_point now) {
  return At(address, now).running.size();
}

time_point fake_hosts::LastStart(cell::job_number job) const {
  time_point last;
  for (const auto& [task, at] : started_) {
    if (task.job == job) last = std::max(last, at);
  }
  return last;
}

}  // namespace sycamorehinge::control::testing
