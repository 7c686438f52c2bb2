// Which waiting task takes which host.
#include <algorithm>
#include <limits>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Passes are spread out when much work waits, so that they leave time for everything else.
constexpr duration kPassPause = std::chrono::milliseconds(2);
constexpr duration kPassPausePerStep = std::chrono::microseconds(60);
// Waiting steps are explained in the log after this time, and again as often.
constexpr duration kExplainAfter = std::chrono::seconds(5);

std::int64_t TimesInto(std::int64_t free, std::int64_t size) {
  if (size <= 0) return std::numeric_limits<std::int32_t>::max();
  return free < size ? 0 : free / size;
}

std::uint32_t CopiesInto(const resources& free, const resources& size) {
  const std::int64_t copies = std::min({TimesInto(free.cores_milli, size.cores_milli),
                                        TimesInto(free.memory_mb, size.memory_mb),
                                        TimesInto(free.accelerators, size.accelerators)});
  return static_cast<std::uint32_t>(std::max<std::int64_t>(copies, 0));
}

bool FailedOn(const task_state& task, host_slot slot) {
  return std::find(task.failed_on.begin(), task.failed_on.end(), slot) != task.failed_on.end();
}

bool IsApproved(const step_state& step, host_slot slot) {
  return slot < step.verdicts.size() && step.verdicts[slot].approved;
}

resources Times(const resources& size, std::uint32_t count) {
  return {size.cores_milli * count, size.memory_mb * count, size.accelerators * count, 0};
}

}  // namespace

resources RoomOf(const step_spec& spec) {
  resources room = spec.size;
  if (spec.fills) room.cores_milli = 0;
  return room;
}

bool HasLabel(const host_state& host, const std::string& label) {
  const auto& labels = host.entry.labels;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

void scheduler::state::MeasureRoom() {
  free_cores = 0;
  most_free = {};
  for (const host_state& host : hosts) {
    if (!Usable(host)) continue;
    const resources free = host.Free();
    free_cores += std::max<std::int64_t>(free.cores_milli, 0);
    most_free.cores_milli = std::max(most_free.cores_milli, free.cores_milli);
    most_free.memory_mb = std::max(most_free.memory_mb, free.memory_mb);
    most_free.accelerators = std::max(most_free.accelerators, free.accelerators);
  }
}

// Considers waiting steps in the order of priority and age.
void scheduler::state::Pass() {
  if (!pass_needed || !owner || !may_start || now < next_pass) return;
  if (durable < term_sequence) return;
  pass_needed = false;
  next_pass = now + kPassPause + kPassPausePerStep * static_cast<std::int64_t>(waiting.size());
  MeasureRoom();
  std::vector<waiting_key> keys;
  for (const waiting_key& key : waiting) {
    if (keys.size() == options.pass_limit) break;
    keys.push_back(key);
  }
  for (const waiting_key& key : keys) TryPlace(key);
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
  // The limit may be lower than when the last failure was counted.
  const bool hopeless =
      std::any_of(step->tasks.begin(), step->tasks.end(),
                  [&](const task_state& task) { return OutOfAttempts(*job, task); });
  if (hopeless && !SpecOf(*job, key.step).long_running) {
    return FinishJob(key.job, *job, job_phase::kFailed, "a task failed too often");
  }
  if (SpecOf(*job, key.step).gang) {
    PlaceGang(ref, *job, *step);
  } else {
    PlaceTasks(ref, *job, *step);
  }
  const bool left = std::any_of(step->tasks.begin(), step->tasks.end(),
                                [](const auto& task) { return !task.done && task.open == kNoRun; });
  if (left) return ExplainWait(ref, *job, *step);
  ReleaseKept(*step);
  Dequeue(key, *step);
}

void scheduler::state::ExplainWait(const task_ref& ref, job_entry& job, step_state& step) {
  if (now - std::max(step.ready_since, step.explained) < kExplainAfter) return;
  step.explained = now;
  Note(decision_kind::kStepWaits, ref, 1, {}, WhyWaiting(ref, job, step), now - step.ready_since);
}

std::string_view scheduler::state::WhyWaiting(const task_ref& ref, job_entry& job,
                                              const step_state& step) const {
  const demand wanted = DemandOf(ref, job, step);
  const auto unknown = [](const task_state& task) { return task.unknown; };
  if (std::any_of(step.tasks.begin(), step.tasks.end(), unknown)) return "hosts not looked at";
  if (wanted.spec->gang && step.open > 0) return "members of the last run have not ended";
  if (step.question != 0) return "the policy service is asked";
  std::uint32_t room = 0;
  std::uint32_t approved_room = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const std::uint32_t copies = FitCount(wanted, slot, true);
    room += copies;
    if (IsApproved(step, slot)) approved_room += copies;
  }
  const std::size_t needed = wanted.spec->gang ? step.tasks.size() : 1;
  if (room < needed) return "no room";
  if (wanted.Advised() && approved_room < needed) return "no room on approved hosts";
  return wanted.Advised() ? "no question to the policy service is free" : "not decided yet";
}

std::vector<std::uint32_t> scheduler::state::WaitingTasks(const step_state& step) const {
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const task_state& task = step.tasks[i];
    if (!task.done && task.open == kNoRun && !task.unknown) indices.push_back(i);
  }
  return indices;
}

demand scheduler::state::DemandOf(const task_ref& ref, job_entry& job,
                                  const step_state& step) const {
  const step_spec& spec = SpecOf(job, ref.step);
  return {&spec, QueueOf(job), &step, RoomOf(spec)};
}

// False if no host had room for one task when the pass began.
bool scheduler::state::MightFit(const demand& wanted) const {
  return CopiesInto(most_free, wanted.room) > 0;
}

// Number of tasks of the step that the host can take now, whatever the policy says.
std::uint32_t scheduler::state::FitCount(const demand& wanted, host_slot slot,
                                         bool with_reserved) const {
  const host_state& host = hosts[slot];
  if (!Usable(host) || host.entry.service != wanted.queue->service) return 0;
  if (!HasLabel(host, wanted.spec->label)) return 0;
  const bool kept = host.kept_for && host.kept_for != wanted.step;
  if (kept && wanted.queue->priority >= host.kept_priority) return 0;
  resources free = host.Free();
  if (with_reserved) {
    for (const auto& [reserved, count] : wanted.step->reserved) {
      if (reserved == slot) free += Times(wanted.room, count);
    }
  }
  std::uint32_t copies = CopiesInto(free, wanted.room);
  if (const std::uint32_t limit = wanted.spec->spread_limit; limit > 0) {
    std::uint32_t there = 0;
    for (const task_state& task : wanted.step->tasks) {
      if (task.open != kNoRun && runs.at(task.open).host == slot) ++there;
    }
    copies = std::min(copies, limit > there ? limit - there : 0);
  }
  return copies;
}

bool scheduler::state::TicketHolds(const step_state& step, host_slot slot) const {
  if (slot >= step.verdicts.size()) return false;
  const host_verdict& verdict = step.verdicts[slot];
  return verdict.approved && now + options.ticket_margin < verdict.valid_until;
}

// The fitting host that the task fills best: near its data first, and where it has not failed.
host_slot scheduler::state::BestHost(const demand& wanted, const task_state& task) const {
  host_slot best = kNoHost;
  std::tuple<bool, bool, std::int64_t> best_score;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (wanted.Advised() && !TicketHolds(*wanted.step, slot)) continue;
    if (FitCount(wanted, slot, false) == 0) continue;
    const host_state& host = hosts[slot];
    const bool suspect =
        FailedOn(task, slot) || (!task.failed_runs.empty() && host.failures_in_row > 0);
    const bool far = !wanted.spec->rack.empty() && host.entry.rack.value != wanted.spec->rack;
    const std::tuple score{suspect, far, host.Free().cores_milli};
    if (best != kNoHost && score >= best_score) continue;
    best = slot;
    best_score = score;
  }
  return best;
}

void scheduler::state::PlaceTasks(const task_ref& ref, job_entry& job, step_state& step) {
  const demand wanted = DemandOf(ref, job, step);
  if (!MightFit(wanted)) return;
  const std::vector<std::uint32_t> indices = WaitingTasks(step);
  auto left = static_cast<std::uint32_t>(indices.size());
  for (const std::uint32_t index : indices) {
    const host_slot slot = BestHost(wanted, step.tasks[index]);
    // The tasks of a step are alike: where one finds no host, the others find none.
    if (slot == kNoHost) break;
    --left;
    const std::uint32_t number =
        static_cast<std::uint32_t>(term - 1) * kRunsPerTerm + ++step.tasks[index].starts;
    StartTask({ref.job, ref.occurrence, ref.step, index}, job, step, slot, number);
  }
  if (left > 0 && wanted.Advised()) AskForTasks(ref, wanted, step, left);
}

void scheduler::state::StartTask(const task_ref& ref, job_entry& job, step_state& step,
                                 host_slot slot, std::uint32_t number) {
  task_state& task = step.tasks[ref.index];
  const run_number id =
      OpenRun(ref, slot, RoomOf(SpecOf(job, ref.step)), number, run_phase::kStarting);
  run_state& run = runs.at(id);
  task.open = id;
  ++step.open;
  run.saved = task.saved;
  if (slot < step.verdicts.size()) run.ticket = step.verdicts[slot].ticket;
  Note(decision_kind::kTaskStarted, ref, number, hosts[slot].entry.id.value, job.queue,
       now - step.ready_since);
  SendStart(id);
}

// Hosts for all members; empty if they do not fit. Fills few hosts, those with the least room
// left over, and one rack if the gang wants that and a rack has the room.
std::vector<std::pair<host_slot, std::uint32_t>> scheduler::state::ChooseGangHosts(
    const demand& wanted, bool need_ticket) const {
  const step_state& step = *wanted.step;
  struct candidate {
    bool suspect;
    std::int64_t left;
    host_slot slot;
    std::uint32_t copies;
  };
  std::vector<candidate> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (wanted.Advised() && need_ticket && !TicketHolds(step, slot)) continue;
    if (wanted.Advised() && !IsApproved(step, slot)) continue;
    const std::uint32_t copies = FitCount(wanted, slot, true);
    if (copies == 0) continue;
    const host_state& host = hosts[slot];
    candidates.push_back({host.failures_in_row > 0,
                          host.Free().cores_milli - copies * wanted.room.cores_milli, slot,
                          copies});
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tie(a.suspect, a.left, a.slot) < std::tie(b.suspect, b.left, b.slot);
  });
  const auto choose = [&](const rack_id* rack) {
    std::vector<std::pair<host_slot, std::uint32_t>> chosen;
    auto missing = static_cast<std::uint32_t>(step.tasks.size());
    for (const candidate& next : candidates) {
      if (missing == 0) break;
      if (rack && hosts[next.slot].entry.rack != *rack) continue;
      const std::uint32_t take = std::min(next.copies, missing);
      chosen.emplace_back(next.slot, take);
      missing -= take;
    }
    if (missing > 0) chosen.clear();
    return chosen;
  };
  if (wanted.spec->same_rack) {
    std::set<rack_id> racks;
    for (const candidate& next : candidates) racks.insert(hosts[next.slot].entry.rack);
    for (const rack_id& rack : racks) {
      if (auto chosen = choose(&rack); !chosen.empty()) return chosen;
    }
  }
  return choose(nullptr);
}

void scheduler::state::PlaceGang(const task_ref& ref, job_entry& job, step_state& step) {
  const demand wanted = DemandOf(ref, job, step);
  if (step.open > 0 || WaitingTasks(step).size() != step.tasks.size()) return;
  const auto chosen = ChooseGangHosts(wanted, true);
  if (chosen.empty()) {
    if (wanted.Advised()) AskForGang(ref, wanted, step);
    return KeepHostsFor(wanted);
  }
  Unreserve(step, *wanted.spec);
  ReleaseKept(step);
  // All members carry the same run and the same checkpoint.
  std::string saved;
  std::uint32_t starts = 0;
  for (const task_state& task : step.tasks) {
    if (saved.empty()) saved = task.saved;
    starts = std::max(starts, task.starts);
  }
  const std::uint32_t number = static_cast<std::uint32_t>(term - 1) * kRunsPerTerm + starts + 1;
  std::uint32_t index = 0;
  for (const auto& [slot, count] : chosen) {
    for (std::uint32_t i = 0; i < count; ++i, ++index) {
      step.tasks[index].saved = saved;
      step.tasks[index].starts = starts + 1;
      StartTask({ref.job, ref.occurrence, ref.step, index}, job, step, slot, number);
    }
  }
}

// Keeps the room of the hosts for the gang until it is placed or gives it back.
void scheduler::state::Reserve(step_state& step, const step_spec& spec,
                               const std::vector<std::pair<host_slot, std::uint32_t>>& chosen) {
  for (const auto& [slot, count] : chosen) hosts[slot].taken += Times(RoomOf(spec), count);
  step.reserved = chosen;
}

void scheduler::state::Unreserve(step_state& step, const step_spec& spec) {
  for (const auto& [slot, count] : std::exchange(step.reserved, {})) {
    hosts[slot].taken -= Times(RoomOf(spec), count);
    pass_needed = true;
  }
}

// Keeps approved hosts free for a gang that has waited long, so that smaller work does not take
// each piece of room as it becomes free. Only more urgent work may use them meanwhile.
void scheduler::state::KeepHostsFor(const demand& wanted) {
  const step_state& step = *wanted.step;
  if (!step.reserved.empty() || now - step.ready_since < options.reserve_after) return;
  const bool kept = std::any_of(hosts.begin(), hosts.end(),
                                [](const host_state& host) { return host.kept_for != nullptr; });
  if (kept) return;
  std::vector<std::tuple<std::int64_t, host_slot, std::uint32_t>> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const host_state& host = hosts[slot];
    if (wanted.Advised() && !IsApproved(step, slot)) continue;
    if (!Usable(host) || !HasLabel(host, wanted.spec->label)) continue;
    const std::uint32_t copies = CopiesInto(host.entry.capacity, wanted.room);
    if (copies > 0) candidates.emplace_back(host.taken.cores_milli, slot, copies);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<host_slot> chosen;
  std::uint32_t room = 0;
  for (const auto& [taken, slot, copies] : candidates) {
    if (room >= step.tasks.size()) break;
    chosen.push_back(slot);
    room += copies;
  }
  if (room < step.tasks.size()) return;
  for (const host_slot slot : chosen) {
    hosts[slot].kept_for = &step;
    hosts[slot].kept_priority = wanted.queue->priority;
  }
}

void scheduler::state::ReleaseKept(const step_state& step) {
  for (host_state& host : hosts) {
    if (host.kept_for != &step) continue;
    host.kept_for = nullptr;
    pass_needed = true;
  }
}

}  // namespace sycamorehinge::cell
