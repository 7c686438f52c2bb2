// Room near the data or the group of a step: when it is expected, and which tasks wait for it.
#include <algorithm>
#include <map>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// A run that has taken longer than estimated is expected to end after this part of its time.
constexpr int kOverdueParts = 4;

}  // namespace

// Estimates the end of a run from its progress, or from the declared time before it has reported
// any.
time_point scheduler::state::ExpectedEnd(const run_state& run) const {
  const auto job = jobs.find(run.task.job);
  if (run.phase == run_phase::kStopping) return now + options.stop_timeout;
  if (job == jobs.end() || job->second.Ended()) return now;
  const step_spec& spec = SpecOf(job->second, run.task.step);
  if (spec.long_running) return time_point::max();
  const duration ran = now - run.started;
  // The progress is as old as the report that told of it.
  const duration whole =
      run.percent > 0 ? (run.last_progress - run.started) * 100 / run.percent : spec.run_time;
  return whole > ran ? run.started + whole : now + ran / kOverdueParts;
}

// Appends the times at which one more task of the step fits on the host, up to `until`.
void scheduler::state::AddExpectedRoom(const demand& wanted, host_slot slot, time_point until,
                                       std::vector<time_point>& times) const {
  const host_state& host = hosts[slot];
  if (!IsUsable(host) || !IsEligible(wanted, host)) return;
  const step_state& step = *wanted.step;
  const bool refused =
      slot < step.verdicts.size() && step.verdicts[slot].known && !step.verdicts[slot].approved;
  const bool reserved = host.reserved_for && host.reserved_for != wanted.step;
  if (refused || reserved) return;
  std::vector<std::pair<time_point, resources>> ends;
  for (const run_id id : host.runs) {
    const time_point end = ExpectedEnd(runs.at(id));
    if (end <= until) ends.emplace_back(end, runs.at(id).size);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  const std::uint32_t spread = wanted.spec->spread_limit;
  const auto limited = [&](std::uint32_t fit) { return spread > 0 ? std::min(fit, spread) : fit; };
  resources free = host.Free();
  std::uint32_t copies = limited(CopiesThatFit(free, wanted.task_size));
  times.insert(times.end(), copies, now);
  for (const auto& [end, size] : ends) {
    free += size;
    const std::uint32_t then = limited(CopiesThatFit(free, wanted.task_size));
    if (then > copies) times.insert(times.end(), then - copies, end);
    copies = std::max(copies, then);
  }
}

// Returns the times at which the next tasks of the step are expected to fit on the rack, in order.
std::vector<time_point> scheduler::state::ExpectedRoom(const demand& wanted,
                                                       std::string_view rack) const {
  const time_point until = now + ExtraTime(*wanted.spec);
  std::vector<time_point> times;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (hosts[slot].entry.rack.value == rack) AddExpectedRoom(wanted, slot, until, times);
  }
  std::sort(times.begin(), times.end());
  return times;
}

// Returns how much longer a task of the step runs away from its data or its group.
duration scheduler::state::ExtraTime(const step_spec& spec) const {
  return ScaleTime(spec.run_time, std::max(options.far_factor - 1, 0.0));
}

// Returns whether the step should wait for room that is expected at `at`, where it runs faster.
bool scheduler::state::PaysToWait(const demand& wanted, step_state& step, time_point at) {
  // A step that is late for its target waits no longer.
  if (now > step.latest_start) return false;
  locality_request request;
  request.loss = ExtraTime(*wanted.spec);
  request.expected_wait = at == time_point::max() ? duration::max() : at - now;
  if (step.near_wait_since == time_point()) {
    request.first_expected_wait = request.expected_wait;
  } else {
    request.waited = now - step.near_wait_since;
    request.first_expected_wait = step.near_wait_expected;
  }
  const bool waits = std::visit(
      overloaded{[](const start_now&) { return false; }, [](const wait_for_room&) { return true; }},
      DecideLocality(request));
  if (waits && step.near_wait_since == time_point()) {
    step.near_wait_since = now;
    step.near_wait_expected = request.expected_wait;
    ++near_waits;
  }
  return waits;
}

// Returns how many of the waiting tasks wait for room on the rack of their data instead of starting
// elsewhere.
std::uint32_t scheduler::state::TasksThatWaitForRack(const demand& wanted, step_state& step,
                                                     std::uint32_t tasks) {
  if (wanted.spec->rack.empty() || options.far_factor <= 1) return 0;
  std::vector<time_point> times = ExpectedRoom(wanted, wanted.spec->rack);
  if (times.size() > tasks) times.resize(tasks);
  while (!times.empty() && !PaysToWait(wanted, step, times.back())) times.pop_back();
  return static_cast<std::uint32_t>(times.size());
}

// Returns whether a gang that wants one rack should wait for one instead of starting on several.
bool scheduler::state::GangWaitsForRack(const demand& wanted, step_state& step) {
  const step_spec& spec = *wanted.spec;
  if (options.far_factor <= 1 || (!spec.same_rack && spec.rack.empty())) return false;
  const time_point until = now + ExtraTime(spec);
  std::map<std::string_view, std::vector<time_point>> racks;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const std::string& rack = hosts[slot].entry.rack.value;
    if (spec.rack.empty() || rack == spec.rack) AddExpectedRoom(wanted, slot, until, racks[rack]);
  }
  const std::size_t members = step.tasks.size();
  time_point earliest = time_point::max();
  for (auto& [rack, times] : racks) {
    if (times.size() < members) continue;
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(members - 1);
    std::nth_element(times.begin(), last, times.end());
    earliest = std::min(earliest, *last);
  }
  return PaysToWait(wanted, step, earliest);
}

// Returns whether all hosts are on one rack, and on that of the data if the step names one.
bool scheduler::state::IsNear(const step_spec& spec,
                              std::span<const std::pair<host_slot, std::uint32_t>> chosen) const {
  const std::string& first = hosts[chosen.front().first].entry.rack.value;
  if (!spec.rack.empty() && first != spec.rack) return false;
  if (spec.rack.empty() && !spec.same_rack) return true;
  return std::all_of(chosen.begin(), chosen.end(),
                     [&](const auto& row) { return hosts[row.first].entry.rack.value == first; });
}

}  // namespace sycamorehinge::cell
