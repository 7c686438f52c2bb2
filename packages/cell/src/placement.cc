// Placement of waiting tasks on hosts.
#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// The interval between passes grows with the number of waiting steps, which bounds the share of
// time spent in passes.
constexpr duration kMinPassInterval = std::chrono::milliseconds(2);
constexpr duration kPassIntervalPerStep = std::chrono::microseconds(60);
// Part of the steps of a pass that take turns, if not all can be considered.
constexpr std::size_t kTurnParts = 4;
// The reason for a wait is logged after this time, and repeated at this interval.
constexpr duration kWaitLogInterval = std::chrono::seconds(5);

std::int64_t CountFitting(std::int64_t free, std::int64_t size) {
  if (size <= 0) return std::numeric_limits<std::int32_t>::max();
  return free < size ? 0 : free / size;
}

bool FailedOn(const task_state& task, host_slot slot) {
  return std::find(task.failed_on.begin(), task.failed_on.end(), slot) != task.failed_on.end();
}

bool IsApproved(const step_state& step, host_slot slot) {
  return slot < step.verdicts.size() && step.verdicts[slot].approved;
}

}  // namespace

std::uint32_t CopiesThatFit(const resources& free, const resources& size) {
  const std::int64_t copies = std::min({CountFitting(free.cores_milli, size.cores_milli),
                                        CountFitting(free.memory_mb, size.memory_mb),
                                        CountFitting(free.accelerators, size.accelerators)});
  return static_cast<std::uint32_t>(std::max<std::int64_t>(copies, 0));
}

resources ChargedResources(const step_spec& spec) {
  resources capacity = spec.size;
  if (spec.fills) capacity.cores_milli = 0;
  return capacity;
}

bool HasLabel(const host_state& host, const std::string& label) {
  const auto& labels = host.entry.labels;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Computes what a pass needs to know of the hosts.
void scheduler::state::UpdateHosts() {
  max_free = {};
  unplaced.clear();
  for (host_state& host : hosts) {
    host.speed_class = host.speed.Class(now);
    if (!IsUsable(host)) continue;
    const resources free = host.Free();
    max_free.cores_milli = std::max(max_free.cores_milli, free.cores_milli);
    max_free.memory_mb = std::max(max_free.memory_mb, free.memory_mb);
    max_free.accelerators = std::max(max_free.accelerators, free.accelerators);
  }
}

// Tries to place waiting steps in order of priority and age. Within a priority, steps of tenants
// that hold more than their share come last, and steps that are too late for the target of their
// queue after those that are not, so that a backlog does not make every later job miss its target
// too. Where tenants compete, steps whose result can be of no use any more get what the others
// leave.
void scheduler::state::Pass() {
  if (!pass_needed || !owner || !may_start || now < next_pass) return;
  if (!MayGrantLeases()) return;
  pass_needed = false;
  next_pass =
      now + kMinPassInterval + kPassIntervalPerStep * static_cast<std::int64_t>(waiting.size());
  UpdateHosts();
  UpdateHeadroom();
  UpdateTenants();
  struct candidate {
    // The result of the job can be of no use any more; counts only where tenants compete.
    bool past_useful_start;
    std::uint32_t priority;
    bool over_share;
    bool late;
    waiting_key key;
  };
  std::vector<candidate> candidates;
  candidates.reserve(waiting.size());
  for (const waiting_key& key : waiting) {
    const step_state* step = FindStep({key.job, key.occurrence, key.step, 0});
    job_entry* job = FindJob(key.job);
    // Steps of a queue that was removed wait until it is configured again.
    if (!job || !step || !QueueOf(*job)) continue;
    candidates.push_back({config->HasTenants() && now > step->latest_useful_start, key.priority,
                          tenants.OverShare(job->tenant), now > step->latest_start, key});
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tie(a.past_useful_start, a.priority, a.over_share, a.late) <
           std::tie(b.past_useful_start, b.priority, b.over_share, b.late);
  });
  for (const std::size_t index : ConsideredSteps(candidates.size())) {
    if (open_starts >= options.max_open_starts) break;
    TryPlace(candidates[index].key);
  }
}

// Returns the positions of the steps that this pass considers, of `count` in order. If there are
// more than `max_steps_per_pass`, most are the first ones, and the rest take turns from pass to
// pass. Otherwise, many first steps that fit nowhere would keep all others from starting.
std::vector<std::size_t> scheduler::state::ConsideredSteps(std::size_t count) {
  const std::size_t most = options.max_steps_per_pass;
  const std::size_t first = count > most ? most - most / kTurnParts : count;
  std::vector<std::size_t> positions(first);
  std::iota(positions.begin(), positions.end(), 0);
  if (count <= most) return positions;
  for (std::size_t i = first; i < most; ++i) {
    if (next_turn < first || next_turn >= count) next_turn = first;
    positions.push_back(next_turn++);
  }
  return positions;
}

void scheduler::state::TryPlace(const waiting_key& key) {
  const task_ref ref{key.job, key.occurrence, key.step, 0};
  job_entry* job = FindJob(key.job);
  step_state* step = FindStep(ref);
  if (!job || !step) {
    waiting.erase(key);
    return;
  }
  if (!QueueOf(*job)) return;
  // The configured limit may have been lowered since the last failure was counted.
  const bool attempts_exhausted =
      std::any_of(step->tasks.begin(), step->tasks.end(),
                  [&](const task_state& task) { return AttemptsExhausted(*job, task); });
  if (attempts_exhausted && !SpecOf(*job, key.step).long_running) {
    return FinishJob(key.job, *job, job_phase::kFailed, "a task failed too often");
  }
  if (IsQuotaClosed(*job)) {
    ReleaseReservedCapacity(*step, SpecOf(*job, key.step));
    ReleaseReservedHosts(*step);
    return LogWait(ref, *job, *step);
  }
  if (!LeavesHeadroom(DemandOf(ref, *job, *step))) return LogWait(ref, *job, *step);
  if (SpecOf(*job, key.step).gang) {
    PlaceGang(ref, *job, *step);
  } else {
    PlaceTasks(ref, *job, *step);
  }
  const bool left = std::any_of(step->tasks.begin(), step->tasks.end(), [](const auto& task) {
    return !task.done && task.active_run == kNoRun;
  });
  if (left) return LogWait(ref, *job, *step);
  ReleaseReservedHosts(*step);
  queue_rates[job->queue].CountStart(now);
  Dequeue(key, *step);
}

void scheduler::state::LogWait(const task_ref& ref, job_entry& job, step_state& step) {
  if (now - std::max(step.ready_since, step.wait_logged_at) < kWaitLogInterval) return;
  step.wait_logged_at = now;
  LogDecision(decision_kind::kStepWaits, ref, 1, {}, WaitReason(ref, job, step),
              now - step.ready_since);
}

std::string scheduler::state::WaitReason(const task_ref& ref, job_entry& job,
                                         const step_state& step) const {
  const demand wanted = DemandOf(ref, job, step);
  const auto unknown = [](const task_state& task) { return task.maybe_running; };
  if (std::any_of(step.tasks.begin(), step.tasks.end(), unknown))
    return "some hosts have not been polled yet";
  if (wanted.spec->gang && step.active_runs > 0)
    return "members of the previous run have not ended";
  if (!step.advice_requests.empty()) return "waiting for the policy service";
  std::uint32_t capacity = 0;
  std::uint32_t approved_capacity = 0;
  std::uint32_t approved_hosts = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const std::uint32_t copies = FitCount(wanted, slot, true);
    capacity += copies;
    if (!IsApproved(step, slot)) continue;
    approved_capacity += copies;
    ++approved_hosts;
  }
  const std::size_t needed = wanted.spec->gang ? step.tasks.size() : 1;
  const auto tasks = static_cast<std::uint32_t>(needed);
  if (IsQuotaClosed(job) || !tenants.Allows(job.tenant, {wanted.spec->size, tasks}))
    return "the tenant is at its quota";
  if (capacity < needed) return "no room";
  if (!LeavesHeadroom(wanted)) return "capacity is kept for more urgent queues";
  if (step.near_wait_since != time_point()) return "waiting for room near its data or group";
  if (wanted.NeedsAdvice() && approved_capacity < needed) {
    const auto asked = std::count_if(step.verdicts.begin(), step.verdicts.end(),
                                     [](const policy_verdict& verdict) { return verdict.known; });
    return "no room on approved hosts: " + std::to_string(approved_capacity) + " of " +
           std::to_string(needed) + " tasks fit, " + std::to_string(approved_hosts) + " of " +
           std::to_string(asked) + " hosts are approved";
  }
  return wanted.NeedsAdvice() ? "limit of policy service requests reached" : "not considered yet";
}

std::vector<std::uint32_t> scheduler::state::WaitingTasks(const step_state& step) const {
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const task_state& task = step.tasks[i];
    if (!task.done && task.active_run == kNoRun && !task.maybe_running) indices.push_back(i);
  }
  return indices;
}

demand scheduler::state::DemandOf(const task_ref& ref, job_entry& job,
                                  const step_state& step) const {
  const step_spec& spec = SpecOf(job, ref.step);
  return {&spec, QueueOf(job), &step, ChargedResources(spec)};
}

// Returns false if no host has capacity for one task: none had at the start of the pass, or a task
// that is no larger has found none since. Looking at all hosts for each of many waiting steps would
// take most of a pass.
bool scheduler::state::MightFit(const demand& wanted) const {
  if (CopiesThatFit(max_free, wanted.task_size) == 0) return false;
  return std::none_of(unplaced.begin(), unplaced.end(), [&](const unplaced_size& row) {
    return row.service == wanted.queue->service && row.label == wanted.spec->label &&
           row.priority <= wanted.queue->priority && wanted.task_size.CanFit(row.size);
  });
}

// Only for steps that every eligible host may run.
void scheduler::state::NoteUnplaced(const demand& wanted) {
  if (wanted.NeedsAdvice() || wanted.spec->spread_limit > 0) return;
  unplaced.push_back(
      {wanted.queue->service, wanted.spec->label, wanted.queue->priority, wanted.task_size});
}

// Returns whether the host serves the queue of the step and has the label that the step requires.
bool scheduler::state::IsEligible(const demand& wanted, const host_state& host) {
  return host.entry.service == wanted.queue->service && HasLabel(host, wanted.spec->label);
}

// Returns how many tasks of the step fit on the host now, regardless of the policy verdict.
std::uint32_t scheduler::state::FitCount(const demand& wanted, host_slot slot,
                                         bool include_reserved_capacity) const {
  const host_state& host = hosts[slot];
  if (!IsUsable(host) || !IsEligible(wanted, host)) return 0;
  const bool kept = host.reserved_for && host.reserved_for != wanted.step;
  if (kept && wanted.queue->priority >= host.reserved_priority) return 0;
  resources free = host.Free();
  if (include_reserved_capacity) {
    for (const auto& [reserved_slot, count] : wanted.step->reserved_capacity) {
      if (reserved_slot == slot) free += Multiply(wanted.task_size, count);
    }
  }
  std::uint32_t copies = CopiesThatFit(free, wanted.task_size);
  if (const std::uint32_t limit = wanted.spec->spread_limit; limit > 0) {
    std::uint32_t there = 0;
    for (const task_state& task : wanted.step->tasks) {
      if (task.active_run != kNoRun && runs.at(task.active_run).host == slot) ++there;
    }
    copies = std::min(copies, limit > there ? limit - there : 0);
  }
  return copies;
}

// Returns how many tasks of the step fit on the host beside those that steps with open requests to
// the policy service are expected to start there.
std::uint32_t scheduler::state::UnclaimedCopies(const demand& wanted, host_slot slot) const {
  const std::uint32_t copies = FitCount(wanted, slot, false);
  const host_state& host = hosts[slot];
  if (copies == 0 || host.expected_cores <= 0) return copies;
  const resources left = {host.Free().cores_milli - host.expected_cores, host.Free().memory_mb,
                          host.Free().accelerators, 0};
  return std::min(copies, CopiesThatFit(left, wanted.task_size));
}

bool scheduler::state::TicketHolds(const step_state& step, host_slot slot) const {
  if (slot >= step.verdicts.size()) return false;
  const policy_verdict& verdict = step.verdicts[slot];
  return verdict.approved && now + options.ticket_margin < verdict.valid_until;
}

// Hosts with a lower rank are preferred. All on which the step can meet its target are alike, and
// come before the others, of which the fastest come first.
int scheduler::state::SpeedRank(const demand& wanted, const host_state& host) const {
  constexpr int kLateRank = 100;
  duration extra{};
  if (host.speed_class != 0) {
    extra = ScaleTime(wanted.spec->run_time, 1 / host.speed.Value(now) - 1);
  }
  return now + extra <= wanted.step->latest_start ? 0 : kLateRank - host.speed_class;
}

// Returns the best host for the task, or kNoHost: prefers hosts without relevant failures that are
// not slow, then the rack of the data, then a suitable speed, then the fewest free cores (best
// fit).
host_slot scheduler::state::BestHost(const demand& wanted, const task_state& task) const {
  host_slot best = kNoHost;
  std::tuple<bool, bool, int, std::int64_t> best_score;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (wanted.NeedsAdvice() && !TicketHolds(*wanted.step, slot)) continue;
    if (FitCount(wanted, slot, false) == 0) continue;
    const host_state& host = hosts[slot];
    const bool suspect = FailedOn(task, slot) || host.speed_class <= kSlowClass ||
                         (!task.failed_runs.empty() && host.consecutive_failures > 0);
    const std::tuple score{suspect, IsFar(wanted, slot), SpeedRank(wanted, host),
                           host.Free().cores_milli};
    if (best != kNoHost && score >= best_score) continue;
    best = slot;
    best_score = score;
  }
  return best;
}

bool scheduler::state::IsFar(const demand& wanted, host_slot slot) const {
  const std::string& rack = wanted.spec->rack;
  return !rack.empty() && hosts[slot].entry.rack.value != rack;
}

void scheduler::state::PlaceTasks(const task_ref& ref, job_entry& job, step_state& step) {
  const demand wanted = DemandOf(ref, job, step);
  if (!MightFit(wanted)) return;
  const std::vector<std::uint32_t> indices = WaitingTasks(step);
  auto left = static_cast<std::uint32_t>(indices.size());
  std::optional<std::uint32_t> wait_for_rack;
  for (const std::uint32_t index : indices) {
    if (!QuotaAllows(wanted, job, 1)) return;
    const host_slot slot = BestHost(wanted, step.tasks[index]);
    // The tasks of a step are identical, so the remaining ones do not fit either.
    if (slot == kNoHost) {
      NoteUnplaced(wanted);
      break;
    }
    // Hosts near the data are chosen first, so none of them has room now.
    if (IsFar(wanted, slot)) {
      if (!wait_for_rack) wait_for_rack = TasksThatWaitForRack(wanted, step, left);
      if (left <= *wait_for_rack) break;
      ++far_starts;
    }
    --left;
    const std::uint32_t number =
        static_cast<std::uint32_t>(term - 1) * kRunsPerTerm + ++step.tasks[index].starts;
    StartTask({ref.job, ref.occurrence, ref.step, index}, job, step, slot, number);
  }
  if (left > 0 && wanted.NeedsAdvice()) RequestAdviceForTasks(ref, wanted, step, left);
}

void scheduler::state::StartTask(const task_ref& ref, job_entry& job, step_state& step,
                                 host_slot slot, std::uint32_t number) {
  task_state& task = step.tasks[ref.index];
  const run_id id = OpenRun(ref, job, slot, number, run_phase::kStarting);
  run_state& run = runs.at(id);
  task.active_run = id;
  ++step.active_runs;
  step.near_wait_since = time_point();
  run.checkpoint = task.checkpoint;
  if (slot < step.verdicts.size()) run.ticket = step.verdicts[slot].ticket;
  DecayStartRates();
  start_rate& rate = start_rates[{hosts[slot].entry.service, PriorityOf(job)}];
  rate.cores_milli += static_cast<double>(runs.at(id).size.cores_milli);
  rate.tasks += 1;
  LogDecision(decision_kind::kTaskStarted, ref, number, hosts[slot].entry.id.value, job.queue,
              now - step.ready_since);
  SendStart(id);
}

// Returns the hosts that fit members of the gang, in the order in which they are used: hosts
// without recent failures that are not slow first, then slower ones, then those with the fewest
// cores left.
std::vector<gang_candidate> scheduler::state::GangCandidates(const demand& wanted,
                                                             bool need_ticket) const {
  const step_state& step = *wanted.step;
  std::vector<gang_candidate> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (wanted.NeedsAdvice() && need_ticket && !TicketHolds(step, slot)) continue;
    if (wanted.NeedsAdvice() && !IsApproved(step, slot)) continue;
    const std::uint32_t copies = FitCount(wanted, slot, true);
    if (copies == 0) continue;
    const host_state& host = hosts[slot];
    candidates.push_back(
        {host.consecutive_failures > 0 || host.speed_class <= kSlowClass, host.speed_class,
         host.Free().cores_milli - copies * wanted.task_size.cores_milli, slot, copies});
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

// Chooses hosts and task counts for all members of a gang; empty if they do not fit. A gang runs at
// the pace of its slowest member, so the fastest class of hosts that fits all members is chosen,
// and suspect hosts only if no others suffice. If the gang requests one rack, or names that of its
// data, a rack that fits all members is tried first.
std::vector<std::pair<host_slot, std::uint32_t>> scheduler::state::ChooseGangHosts(
    const demand& wanted, bool need_ticket) const {
  const std::vector<gang_candidate> candidates = GangCandidates(wanted, need_ticket);
  const auto members = static_cast<std::uint32_t>(wanted.step->tasks.size());
  const auto choose = [&](const auto& may_use) {
    std::vector<std::pair<host_slot, std::uint32_t>> chosen;
    std::uint32_t missing = members;
    for (const gang_candidate& next : candidates) {
      if (missing == 0) break;
      if (!may_use(next)) continue;
      const std::uint32_t take = std::min(next.copies, missing);
      chosen.emplace_back(next.slot, take);
      missing -= take;
    }
    if (missing > 0) chosen.clear();
    return chosen;
  };
  if (wanted.spec->same_rack || !wanted.spec->rack.empty()) {
    std::set<rack_id> racks;
    for (const gang_candidate& next : candidates) {
      if (!IsFar(wanted, next.slot)) racks.insert(hosts[next.slot].entry.rack);
    }
    for (const rack_id& rack : racks) {
      const auto on_rack = [&](const gang_candidate& row) {
        return hosts[row.slot].entry.rack == rack;
      };
      if (auto chosen = choose(on_rack); !chosen.empty()) return chosen;
    }
  }
  std::set<int, std::greater<>> classes;
  for (const gang_candidate& next : candidates) classes.insert(next.speed_class);
  for (const int slowest : classes) {
    const auto fast_enough = [&](const gang_candidate& row) {
      return !row.suspect && row.speed_class >= slowest;
    };
    if (auto chosen = choose(fast_enough); !chosen.empty()) return chosen;
  }
  return choose([](const gang_candidate&) { return true; });
}

void scheduler::state::PlaceGang(const task_ref& ref, job_entry& job, step_state& step) {
  const demand wanted = DemandOf(ref, job, step);
  if (step.active_runs > 0 || WaitingTasks(step).size() != step.tasks.size()) return;
  if (!QuotaAllows(wanted, job, static_cast<std::uint32_t>(step.tasks.size()))) {
    ReleaseReservedCapacity(step, *wanted.spec);
    return ReleaseReservedHosts(step);
  }
  const auto chosen = ChooseGangHosts(wanted, true);
  if (chosen.empty()) {
    if (wanted.NeedsAdvice()) RequestAdviceForGang(ref, wanted, step);
    ReserveHosts(wanted);
    return KeepQuotaForGang(wanted, job);
  }
  if (!IsNear(*wanted.spec, chosen)) {
    if (GangWaitsForRack(wanted, step)) {
      ReleaseReservedCapacity(step, *wanted.spec);
      return ReleaseReservedHosts(step);
    }
    far_starts += step.tasks.size();
  }
  ReleaseReservedCapacity(step, *wanted.spec);
  ReleaseReservedHosts(step);
  // All members use the same run number and the same checkpoint.
  std::string checkpoint;
  std::uint32_t starts = 0;
  for (const task_state& task : step.tasks) {
    if (checkpoint.empty()) checkpoint = task.checkpoint;
    starts = std::max(starts, task.starts);
  }
  const std::uint32_t number = static_cast<std::uint32_t>(term - 1) * kRunsPerTerm + starts + 1;
  ExpectGang(ref, number, now + GangStartLimit());
  std::uint32_t index = 0;
  for (const auto& [slot, count] : chosen) {
    for (std::uint32_t i = 0; i < count; ++i, ++index) {
      step.tasks[index].checkpoint = checkpoint;
      step.tasks[index].starts = starts + 1;
      StartTask({ref.job, ref.occurrence, ref.step, index}, job, step, slot, number);
    }
  }
}

// Reserves capacity on the chosen hosts until the gang is placed or ReleaseReservedCapacity is
// called.
void scheduler::state::ReserveCapacity(
    step_state& step, const step_spec& spec,
    const std::vector<std::pair<host_slot, std::uint32_t>>& chosen) {
  for (const auto& [slot, count] : chosen)
    hosts[slot].allocated += Multiply(ChargedResources(spec), count);
  step.reserved_capacity = chosen;
}

void scheduler::state::ReleaseReservedCapacity(step_state& step, const step_spec& spec) {
  for (const auto& [slot, count] : std::exchange(step.reserved_capacity, {})) {
    hosts[slot].allocated -= Multiply(ChargedResources(spec), count);
    pass_needed = true;
  }
}

// Reserves whole hosts, approved ones if the queue needs advice, for a gang that has waited for
// `gang_reserve_delay`. Otherwise smaller tasks would take free capacity as soon as it appears.
// Only steps of a more urgent queue may use the hosts meanwhile. One gang of each service at a time
// holds reservations.
void scheduler::state::ReserveHosts(const demand& wanted) {
  const step_state& step = *wanted.step;
  ReleaseHostsOfOtherServices(wanted);
  if (config->HasTenants() && now > step.latest_useful_start) return ReleaseReservedHosts(step);
  if (!step.reserved_capacity.empty() || now - step.ready_since < options.gang_reserve_delay)
    return;
  if (!ReservedHostsSuffice(wanted)) ReleaseReservedHosts(step);
  const bool kept = std::any_of(hosts.begin(), hosts.end(), [&](const host_state& host) {
    return host.reserved_for && host.entry.service == wanted.queue->service;
  });
  if (kept) return;
  std::vector<std::tuple<std::int64_t, host_slot, std::uint32_t>> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const host_state& host = hosts[slot];
    if (wanted.NeedsAdvice() && !IsApproved(step, slot)) continue;
    if (!IsUsable(host) || !IsEligible(wanted, host)) continue;
    const std::uint32_t copies = CopiesThatFit(host.Reclaimable(), wanted.task_size);
    if (copies > 0) candidates.emplace_back(host.allocated.cores_milli, slot, copies);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<host_slot> chosen;
  std::uint32_t capacity = 0;
  for (const auto& [allocated, slot, copies] : candidates) {
    if (capacity >= step.tasks.size()) break;
    chosen.push_back(slot);
    capacity += copies;
  }
  if (capacity < step.tasks.size()) return;
  for (const host_slot slot : chosen) {
    hosts[slot].reserved_for = &step;
    hosts[slot].reserved_priority = wanted.queue->priority;
  }
}

// Returns whether the hosts reserved for the gang fit it once their other tasks have ended. Tasks
// that last may have started there since, and hosts may have gone. True if none is reserved.
bool scheduler::state::ReservedHostsSuffice(const demand& wanted) const {
  std::uint32_t capacity = 0;
  bool any = false;
  for (const host_state& host : hosts) {
    if (host.reserved_for != wanted.step) continue;
    any = true;
    if (host.listed && !host.entry.draining) {
      capacity += CopiesThatFit(host.Reclaimable(), wanted.task_size);
    }
  }
  return !any || capacity >= wanted.step->tasks.size();
}

// Releases reserved hosts that have moved to another service, or whose gang has.
void scheduler::state::ReleaseHostsOfOtherServices(const demand& wanted) {
  for (host_state& host : hosts) {
    if (host.reserved_for != wanted.step || host.entry.service == wanted.queue->service) continue;
    host.reserved_for = nullptr;
    pass_needed = true;
  }
}

void scheduler::state::ReleaseReservedHosts(const step_state& step) {
  for (host_state& host : hosts) {
    if (host.reserved_for != &step) continue;
    host.reserved_for = nullptr;
    pass_needed = true;
  }
}

}  // namespace sycamorehinge::cell
