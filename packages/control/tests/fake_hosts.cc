#include "fake_hosts.h"

#include <algorithm>

namespace sycamorehinge::control::testing {

namespace {

using cell::call_outcome;

std::int64_t ClockAt(time_point now) { return now.time_since_epoch().count() / 1000; }

}  // namespace

fake_hosts::host& fake_hosts::At(const std::string& address, time_point now) {
  host& found = hosts_[address];
  if (ClockAt(now) >= found.lease_until_ms) found.running.clear();
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
  if (poll.deadline_ms) target.lease_until_ms = std::max(target.lease_until_ms, *poll.deadline_ms);
  report.clock_ms = ClockAt(now);
  for (const auto& [task, run] : target.running) report.running.push_back({task, run, {}, 100, 0});
  return outcome;
}

cell::start_report fake_hosts::Start(const std::string& process, const cell::start_task& start,
                                     time_point now) {
  host& target = At(start.address, now);
  const call_outcome outcome = Check(target, process, start.address, start.token);
  if (outcome != call_outcome::kDone) return {outcome};
  if (ClockAt(now) >= start.deadline_ms) return {call_outcome::kLeaseExpired, ClockAt(now)};
  target.lease_until_ms = std::max(target.lease_until_ms, start.deadline_ms);
  if (!target.running.emplace(start.task, start.run).second) return {outcome, ClockAt(now)};
  ++starts;
  for (const auto& [address, other] : hosts_) {
    if (address == start.address || ClockAt(now) >= other.lease_until_ms) continue;
    double_runs += std::count_if(other.running.begin(), other.running.end(),
                                 [&](const auto& row) { return row.first == start.task; });
  }
  return {outcome, ClockAt(now)};
}

call_outcome fake_hosts::Stop(const std::string& process, const cell::stop_task& stop,
                              time_point now) {
  host& target = At(stop.address, now);
  const call_outcome outcome = Check(target, process, stop.address, stop.token);
  if (outcome == call_outcome::kDone) target.running.erase({stop.task, stop.run});
  return outcome;
}

std::size_t fake_hosts::Running(const std::string& address, time_point now) {
  return At(address, now).running.size();
}

}  // namespace sycamorehinge::control::testing
