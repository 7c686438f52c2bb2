// Hosts: the list, looks that renew leases, and what they tell about runs.
#include <algorithm>
#include <unordered_set>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

std::int64_t ToMs(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Slack for the time between an answer of the host and its arrival here.
constexpr duration kLeaseSlack = std::chrono::milliseconds(100);
// Time that a host without runs waits to be told that its ends are in the journal.
constexpr duration kTellPause = std::chrono::milliseconds(1500);
// Time for which an owner that lost the cell may go on before it learns so.
constexpr duration kOldOwnerSlack = std::chrono::milliseconds(1500);

}  // namespace

host_slot scheduler::state::SlotOf(const host_id& host) {
  const auto [found, added] = host_slots.try_emplace(host, static_cast<host_slot>(hosts.size()));
  if (added) hosts.emplace_back().entry.id = host;
  return found->second;
}

void scheduler::state::SetHost(const host_entry& entry) {
  const host_slot slot = SlotOf(entry.id);
  host_state& host = hosts[slot];
  const bool draining_before = host.entry.draining;
  const std::int64_t born = host.entry.born;
  if (!host.listed) Note(decision_kind::kHostFound, {}, 0, entry.id.value, entry.address);
  host.listed = true;
  host.entry = entry;
  // The list lags behind what looks have told.
  host.entry.born = std::max(born, entry.born);
  if (born != 0 && entry.born > born) Restarted(host, entry.born);
  if (!host.looked) host.next_look = std::min(host.next_look, now);
  pass_needed |= draining_before && !entry.draining;
  if (owner) TickHost(slot);
}

void scheduler::state::RemoveHost(const host_id& id) {
  const auto found = host_slots.find(id);
  if (found == host_slots.end() || !hosts[found->second].listed) return;
  host_state& host = hosts[found->second];
  host.listed = false;
  Note(decision_kind::kHostGone, {}, 0, id.value, "not listed any more");
}

// Another life of the machine under the same id: it knows nothing of earlier runs.
void scheduler::state::Restarted(host_state& host, std::int64_t born) {
  Note(decision_kind::kHostRestarted, {}, 0, host.entry.id.value, "started anew");
  host.entry.born = born;
  host.restarted_at = now;
  host.looked = false;
  host.processed = 0;
  host.acknowledged = 0;
  host.told = 0;
  host.telling = 0;
  host.deadline_ms = 0;
  host.unacknowledged.clear();
  host.clock_ms = 0;
  host.foreign = 0;
  // A start on its way may reach the new life, whose clock is behind the lease that it carries.
  host.lease_over = now + options.longest_lease;
  host.failures_in_row = 0;
  const std::vector<run_number> held = host.runs;
  for (const run_number id : held) {
    if (runs.at(id).confirmed) {
      CloseRun(id, "the host started anew");
    } else {
      Doubt(id);
    }
  }
  for (auto& [number, job] : jobs) {
    for (auto& [index, occurrence] : job.occurrences) {
      for (step_state& step : occurrence.steps) {
        const host_slot slot = host_slots.at(host.entry.id);
        if (slot < step.verdicts.size()) step.verdicts[slot].valid_until = {};
      }
    }
  }
}

bool scheduler::state::Usable(const host_state& host) const {
  return host.listed && host.looked && !host.entry.draining && host.look_failures == 0 &&
         host.foreign == 0 && now >= host.avoid_until;
}

bool scheduler::state::WantsLook(const host_state& host) const {
  if (!host.looked) return host.listed || host.journaled;
  return !host.runs.empty() || host.foreign > 0 || !host.unacknowledged.empty() ||
         host.told < host.acknowledged || host.look_failures > 0;
}

void scheduler::state::TickHost(host_slot slot) {
  if (!owner) return;
  DropLapsedRuns(slot);
  host_state& host = hosts[slot];
  if (!host.listed && host.looked && host.runs.empty() && host.foreign == 0) ForgetHost(host);
  if (host.look_open || !WantsLook(host) || now < host.next_look) return;
  // A look before the journal has the last ends would return them at once again; it goes out only
  // to renew the lease.
  const bool journal_behind = !host.unacknowledged.empty();
  if (journal_behind && now < host.look_sent + options.lease / 4) return;
  // An idle host learns later that its last ends are in the journal: another start may come first.
  const bool only_tells = host.looked && host.runs.empty() && host.foreign == 0 &&
                          !journal_behind && host.look_failures == 0;
  if (only_tells && now < host.look_sent + kTellPause) return;
  SendLook(slot);
}

// End of a lease that starts now, on the host's clock; the end on ours is noted. A silent host gets
// no longer lease: calls that it does not answer may still reach it, and its tasks must run out.
std::int64_t scheduler::state::Deadline(host_state& host) {
  if (host.look_failures > 0) return host.deadline_ms;
  const std::int64_t deadline = host.clock_ms + ToMs(now - host.clock_read) + ToMs(options.lease);
  host.deadline_ms = std::max(host.deadline_ms, deadline);
  const auto left = std::chrono::milliseconds(host.deadline_ms - host.clock_ms);
  const auto longest = std::chrono::duration_cast<duration>(left / (1 - options.clock_drift));
  host.lease_over = std::max(host.lease_over, host.clock_read + longest + kLeaseSlack);
  return host.deadline_ms;
}

void scheduler::state::SendLook(host_slot slot) {
  host_state& host = hosts[slot];
  look_host look{host.entry.id, host.entry.address, token, host.acknowledged, {}, {}};
  if (host.HasClock()) look.deadline_ms = Deadline(host);
  const bool quiet = host.looked && host.look_failures == 0 && host.unacknowledged.empty();
  if (quiet && !host.runs.empty()) look.wait = options.look_wait;
  host.telling = look.last_seen;
  host.look_open = true;
  host.look_sent = now;
  actions.emplace_back(std::move(look));
}

void scheduler::state::ReadClock(host_state& host, std::int64_t clock_ms) {
  host.clock_ms = clock_ms;
  host.clock_read = now;
}

void scheduler::state::OnLook(host_slot slot, time_point sent, call_outcome outcome,
                              const host_look* look) {
  hosts[slot].look_open = false;
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  if (!look) return LookFailed(slot, outcome);
  host_state& host = hosts[slot];
  if (look->born != 0 && host.entry.born != 0 && look->born != host.entry.born) {
    // An answer of the life before tells nothing about this one.
    if (sent <= host.restarted_at) return LookFailed(slot, call_outcome::kUnknown);
    Restarted(host, look->born);
  }
  if (look->born != 0) host.entry.born = look->born;
  if (host.look_failures > 0 || !host.looked) pass_needed = true;
  host.look_failures = 0;
  host.looked = true;
  host.told = std::max(host.told, host.telling);
  host.next_look = now + options.look_gap;
  ReadClock(host, look->clock_ms);
  if (!host.journaled) {
    host.journaled = true;
    Write(host_record{host.entry.id, host.entry.address, host.entry.service});
  }
  std::uint64_t newest = host.processed;
  for (const end_report& end : look->ended) {
    if (end.number <= hosts[slot].processed) continue;
    OnEnd(slot, end);
    newest = std::max(newest, end.number);
  }
  if (newest > hosts[slot].processed) {
    hosts[slot].processed = newest;
    // The sequence is filled in once the records of these ends are written.
    hosts[slot].unacknowledged.emplace_back(0, newest);
  }
  ReadRunning(slot, sent, *look);
}

void scheduler::state::LookFailed(host_slot slot, call_outcome outcome) {
  host_state& host = hosts[slot];
  if (host.look_failures++ == 0) {
    host.silent_since = now;
    Note(decision_kind::kHostUnreachable, {}, 0, host.entry.id.value,
         outcome == call_outcome::kUnreachable ? "nobody listens" : "no answer");
  }
  const duration pause = std::min(options.look_retry * host.look_failures, options.look_retry_most);
  host.next_look = now + pause;
}

void scheduler::state::ReadRunning(host_slot slot, time_point sent, const host_look& look) {
  std::unordered_set<run_number> seen;
  hosts[slot].foreign = 0;
  for (const run_report& report : look.running) {
    run_number id = FindRun(slot, report.task, report.run);
    if (id == kNoRun) {
      AdoptRun(slot, report);
      id = FindRun(slot, report.task, report.run);
    }
    if (id == kNoRun) continue;
    seen.insert(id);
    run_state& run = runs.at(id);
    if (run.phase == run_phase::kStarting || run.phase == run_phase::kUncertain) Settle(id);
    if (report.percent != run.percent) run.progressed = now;
    run.percent = report.percent;
    run.saved = report.saved;
    CheckStall(id);
  }
  const std::vector<run_number> held = hosts[slot].runs;
  for (const run_number id : held) {
    if (!seen.contains(id)) ResolveUncertain(id, sent);
  }
}

// A run that an earlier owner started, or a late start of this one.
void scheduler::state::AdoptRun(host_slot slot, const run_report& report) {
  job_entry* job = FindJob(report.task.job);
  step_state* step = FindStep(report.task);
  if (!job || !step || report.task.index >= step->tasks.size() || job->Ended()) {
    return StopForeign(slot, report);
  }
  task_state& task = step->tasks[report.task.index];
  // A run that must end still keeps its task from starting elsewhere until then.
  const bool only = !task.done && task.open == kNoRun;
  const step_spec& spec = SpecOf(*job, report.task.step);
  const run_number id = OpenRun(report.task, slot, RoomOf(spec), report.run, run_phase::kRunning);
  Settle(id);
  task.unknown = false;
  if (only) {
    task.open = id;
    ++step->open;
  }
  if (!only || task.HasFailed(report.run)) SendStop(id, "the task needs no such run");
}

void scheduler::state::StopForeign(host_slot slot, const run_report& report) {
  host_state& host = hosts[slot];
  ++host.foreign;
  actions.emplace_back(
      stop_task{host.entry.id, host.entry.address, token, report.task, report.run});
}

// Time after which no lease of an earlier owner holds on a host that was not looked at.
time_point scheduler::state::EarlierLeasesOver() const {
  return term_began + kOldOwnerSlack + kLeaseSlack + options.lease;
}

// Closes the runs of a silent host once no lease keeps them alive.
void scheduler::state::DropLapsedRuns(host_slot slot) {
  host_state& host = hosts[slot];
  const time_point over =
      host.looked ? host.lease_over : std::max(host.lease_over, EarlierLeasesOver());
  if (host.look_failures == 0 || now < over) return;
  const std::vector<run_number> lost = host.runs;
  for (const run_number id : lost) {
    const task_ref ref = runs.at(id).task;
    Note(decision_kind::kTaskLost, ref, runs.at(id).number, host.entry.id.value,
         "the lease of a silent host is over", now - host.silent_since);
    CloseRun(id, "the lease of a silent host is over");
  }
  if (!hosts[slot].listed) ForgetHost(hosts[slot]);
}

void scheduler::state::ForgetHost(host_state& host) {
  if (!host.journaled) return;
  host.journaled = false;
  Write(forget_host{host.entry.id});
}

void scheduler::state::Avoid(host_state& host, duration time, std::string_view cause) {
  host.avoid_until = std::max(host.avoid_until, now + time);
  Note(decision_kind::kHostAvoided, {}, 0, host.entry.id.value, cause, time);
}

// Tasks of earlier owners are free again once every host has told what it runs.
void scheduler::state::CheckRecovery() {
  if (!recovering) return;
  const time_point over = EarlierLeasesOver();
  const bool open = std::any_of(hosts.begin(), hosts.end(), [&](const host_state& host) {
    return !host.looked && (host.listed || host.journaled) && now < over;
  });
  if (open) return;
  recovering = false;
  for (auto& [number, job] : jobs) {
    for (auto& [index, occurrence] : job.occurrences) {
      for (step_state& step : occurrence.steps) {
        for (task_state& task : step.tasks) task.unknown = false;
      }
    }
  }
  pass_needed = true;
  Note(decision_kind::kRecoveryFinished, {}, 0, {}, "every host was looked at or is lost",
       now - term_began);
}

}  // namespace sycamorehinge::cell
