// Hosts: the host list, polls that renew leases, and the run reports in their answers.
#include <algorithm>
#include <unordered_set>
#include <utility>

#include "state.h"
#include "sycamorehinge/cell/evacuation.h"

namespace sycamorehinge::cell {

namespace {

// No host restarts in less time.
constexpr duration kMinRestartTime = std::chrono::milliseconds(500);
// Delay before an idle host gets an extra poll just to acknowledge its ends.
constexpr duration kAcknowledgementDelay = std::chrono::milliseconds(1500);
// The clock of an idle host is read again after this time. Its drift since then shortens the lease
// of the next start, by 0.6 s at most.
constexpr duration kMaxClockAge = std::chrono::seconds(30);

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
  const std::int64_t started_ms = host.entry.started_ms;
  if (!host.listed) LogDecision(decision_kind::kHostFound, {}, 0, entry.id.value, entry.address);
  host.listed = true;
  host.entry = entry;
  if (started_ms != 0) host.entry.started_ms = started_ms;
  UpdateLeaveTime(host);
  // The list may be older than the last poll, also with a later time: clocks are set back. Only a
  // poll tells whether the host has restarted.
  host.restart_listed = entry.started_ms > host.entry.started_ms;
  if (host.restart_listed) host.restart_listed_at = now;
  if (!host.polled || host.restart_listed) host.next_poll = std::min(host.next_poll, now);
  if (host.polled) WriteHostRecord(host);
  pass_needed |= draining_before && !entry.draining;
  if (owner) TickHost(slot);
}

void scheduler::state::RemoveHost(const host_id& id) {
  const auto found = host_slots.find(id);
  if (found == host_slots.end() || !hosts[found->second].listed) return;
  host_state& host = hosts[found->second];
  host.listed = false;
  LogDecision(decision_kind::kHostGone, {}, 0, id.value, "no longer listed");
}

// Handles a start time of the host that differs from the known one.
void scheduler::state::OnStartTime(host_state& host, std::int64_t started_ms) {
  const std::int64_t known = std::exchange(host.entry.started_ms, started_ms);
  if (known != 0) OnHostRestart(host);
}

// Handles a clock that is behind: the host has restarted, or it was suspended. The next poll tells
// which; until then none of its runs is known to be in its present life.
void scheduler::state::SuspectRestart(host_state& host) {
  host.polled = false;
  host.next_poll = std::min(host.next_poll, now);
  host.lease.OnSuspectedRestart(rules, now);
  for (const run_id id : host.runs) runs.at(id).confirmed = false;
}

// Handles a host that restarted under the same id and lost its earlier runs.
void scheduler::state::OnHostRestart(host_state& host) {
  LogDecision(decision_kind::kHostRestarted, {}, 0, host.entry.id.value, "restarted");
  host.restarted_at = now;
  host.next_poll = std::min(host.next_poll, now);
  host.polled = false;
  host.processed_end = 0;
  host.journaled_end = 0;
  host.acknowledged_end = 0;
  host.polled_acknowledged_end = 0;
  host.unjournaled_ends.clear();
  host.more_ended = false;
  host.orphan_runs = 0;
  host.orphan_tenants.clear();
  host.lease.OnRestart(rules, now);
  host.consecutive_failures = 0;
  host.speed = {};
  const std::vector<run_id> held = host.runs;
  for (const run_id id : held) {
    run_state& run = runs.at(id);
    if (run.IsOnlyInKnownLife()) {
      CloseRun(id, "the host restarted");
    } else {
      // A start call without an answer may have reached the new life, or still reach it.
      run.confirmed = false;
      MarkUncertain(id);
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

// A new owner looks for runs on listed hosts and on those in the journal. An entry of the list may
// be missing for a while, so a host is used only once the journal holds its record.
bool scheduler::state::IsUsable(const host_state& host) const {
  const bool recorded = host.journaled && durable >= host.record_sequence;
  return host.listed && host.polled && !host.restart_listed && recorded && !host.entry.draining &&
         host.poll_failures == 0 && host.orphan_runs == 0 && now >= host.avoid_until;
}

bool scheduler::state::NeedsPoll(const host_state& host) const {
  if (!host.polled) return host.listed || host.journaled;
  return !host.runs.empty() || host.orphan_runs > 0 || !host.unjournaled_ends.empty() ||
         host.acknowledged_end < host.journaled_end || host.poll_failures > 0 ||
         host.restart_listed || (host.listed && now - host.lease.ClockReadAt() >= kMaxClockAge);
}

void scheduler::state::TickHost(host_slot slot) {
  if (!owner) return;
  CloseExpiredRuns(slot);
  EvacuateLeaving(slot);
  host_state& host = hosts[slot];
  if (!host.listed || host.entry.draining) ForgetUnusedHost(host);
  if (host.poll_open || !NeedsPoll(host) || now < host.next_poll) return;
  const bool journal_behind = !host.unjournaled_ends.empty();
  const bool answered_at_once = journal_behind || !MayGrantLeases();
  if (answered_at_once && now < host.poll_sent + options.undelayed_poll_interval) return;
  // The acknowledgement to an idle host is delayed, since the poll after another start can carry
  // it.
  const bool only_tells = host.polled && host.runs.empty() && host.orphan_runs == 0 &&
                          !journal_behind && host.poll_failures == 0 && !host.restart_listed;
  if (only_tells && !host.acknowledgement_withheld &&
      now < host.poll_sent + kAcknowledgementDelay) {
    return;
  }
  SendPoll(slot);
}

// Numbers of ends begin again when a host restarts, and an acknowledgement meant for its earlier
// life would drop ends of the new one unseen. So ends are acknowledged only soon after an answer,
// or to a host that has confirmed runs in its present life and no others.
bool scheduler::state::MayAcknowledgeEnds(const host_state& host) const {
  if (!host.polled || host.poll_failures > 0) return false;
  if (now - host.lease.ClockReadAt() <= kMinRestartTime) return true;
  return !host.runs.empty() && std::all_of(host.runs.begin(), host.runs.end(),
                                           [this](run_id id) { return runs.at(id).confirmed; });
}

void scheduler::state::SendPoll(host_slot slot) {
  host_state& host = hosts[slot];
  poll_host poll{host.entry.id, host.entry.address, token, 0, {}, {}};
  // If it is withheld, the next poll carries it, soon after the answer to this one.
  host.acknowledgement_withheld = !MayAcknowledgeEnds(host);
  if (host.acknowledged_end < host.journaled_end && !host.acknowledgement_withheld) {
    poll.journaled_end = host.journaled_end;
  }
  // The answer to a poll that renews no lease is not delayed, so that the next one can renew it.
  const bool renews =
      host.lease.HasClock() && host.poll_failures == 0 && !host.restart_listed && MayGrantLeases();
  host.poll_renews_lease = renews;
  if (renews) poll.deadline_ms = ExtendLease(host);
  const bool quiet = host.polled && renews && host.unjournaled_ends.empty();
  if (quiet && !host.runs.empty()) poll.wait = options.max_poll_hold;
  host.polled_acknowledged_end = poll.journaled_end;
  host.poll_open = true;
  host.poll_sent = now;
  actions.emplace_back(std::move(poll));
}

void scheduler::state::OnPollResult(host_slot slot, time_point sent, call_outcome outcome,
                                    const host_report* answer) {
  hosts[slot].poll_open = false;
  if (hosts[slot].poll_renews_lease) OnRenewalResult(hosts[slot], sent, outcome);
  if (outcome == call_outcome::kFenced) {
    actions.emplace_back(step_down{});
    return;
  }
  if (!answer) return OnPollFailure(slot, sent, outcome);
  host_state& host = hosts[slot];
  const time_point last_restart = host.restarted_at;
  if (answer->started_ms != 0 && answer->started_ms != host.entry.started_ms) {
    // The answer was sent before the restart.
    if (sent <= host.restarted_at) return OnPollFailure(slot, sent, call_outcome::kNoAnswer);
    OnStartTime(host, answer->started_ms);
  }
  if (host.poll_failures > 0 || !host.polled) pass_needed = true;
  host.refused_at = time_point::min();
  if (!host.polled) host.lease.OnFirstReport(rules, now, LastEarlierGrant());
  host.poll_failures = 0;
  host.polled = true;
  if (sent >= host.restart_listed_at) host.restart_listed = false;
  host.acknowledged_end = std::max(host.acknowledged_end, host.polled_acknowledged_end);
  host.next_poll = now + options.min_poll_interval;
  host.more_ended = answer->more_ended;
  host.lease.OnClock(answer->clock_ms, now);
  WriteHostRecord(host);
  std::uint64_t newest = host.processed_end;
  for (const end_report& end : answer->ended) {
    if (end.number <= hosts[slot].processed_end) continue;
    OnEnd(slot, end);
    newest = std::max(newest, end.number);
  }
  if (newest > hosts[slot].processed_end) {
    hosts[slot].processed_end = newest;
    // WriteDirtyJobs sets the sequence after it writes the records of these ends.
    hosts[slot].unjournaled_ends.emplace_back(0, newest);
  }
  ProcessRunningReports(slot, sent, *answer);
  if (hosts[slot].restarted_at != last_restart) StopUnansweredStarts(slot);
}

void scheduler::state::OnPollFailure(host_slot slot, time_point sent, call_outcome outcome) {
  host_state& host = hosts[slot];
  if (outcome == call_outcome::kConnectionRefused) {
    host.refused_at = std::max(host.refused_at, sent);
  }
  if (host.poll_failures++ == 0) {
    host.unreachable_since = now;
    LogDecision(decision_kind::kHostUnreachable, {}, 0, host.entry.id.value, ToString(outcome));
  }
  const duration pause =
      std::min(options.poll_retry_delay * host.poll_failures, options.max_poll_retry_delay);
  host.next_poll = now + pause;
}

void scheduler::state::ProcessRunningReports(host_slot slot, time_point sent,
                                             const host_report& answer) {
  std::unordered_set<run_id> seen;
  hosts[slot].orphan_runs = 0;
  hosts[slot].orphan_tenants.clear();
  for (const run_report& report : answer.running) {
    run_id id = FindRun(slot, report.task, report.run);
    if (id == kNoRun) {
      AdoptRun(slot, report);
      id = FindRun(slot, report.task, report.run);
    }
    if (id == kNoRun) continue;
    seen.insert(id);
    run_state& run = runs.at(id);
    if (run.phase == run_phase::kStarting || run.phase == run_phase::kUncertain) ConfirmRun(id);
    run.confirmed = true;
    SamplePace(id, report.percent);
    if (report.percent != run.percent) run.last_progress = now;
    run.percent = report.percent;
    run.checkpoint = report.checkpoint;
    CheckStall(id);
  }
  // The end of a run that the host does not mention may be one of those that it has not listed yet.
  if (answer.more_ended) return;
  const std::vector<run_id> held = hosts[slot].runs;
  for (const run_id id : held) {
    if (!seen.contains(id)) ResolveUncertain(id, sent);
  }
}

// Takes over a run that an earlier owner started, or a late start by this owner.
void scheduler::state::AdoptRun(host_slot slot, const run_report& report) {
  job_entry* job = FindJob(report.task.job);
  step_state* step = FindStep(report.task);
  if (!job || !step || report.task.index >= step->tasks.size() || job->Ended()) {
    return StopOrphan(slot, report);
  }
  task_state& task = step->tasks[report.task.index];
  // A run that must be stopped still blocks its task from starting elsewhere until it ends.
  const bool only = !task.done && task.active_run == kNoRun;
  const step_spec& spec = SpecOf(*job, report.task.step);
  const run_id id = OpenRun(report.task, *job, slot, report.run, run_phase::kRunning);
  ConfirmRun(id);
  runs.at(id).sampled_at = now;
  runs.at(id).sampled_percent = report.percent;
  if (only) {
    task.active_run = id;
    ++step->active_runs;
  } else if (!task.done) {
    superfluous_runs.push_back(id);
  }
  if (spec.gang) {
    // After the recovery no other member can still be found.
    ExpectGang(report.task, report.run, recovering ? now + GangStartLimit() : now);
    LogDecision(decision_kind::kMemberAdopted, report.task, report.run, hosts[slot].entry.id.value,
                std::to_string(report.percent) + "% done");
  }
  if (!only || task.HasFailed(report.run)) SendStop(id, "the task needs no further run");
}

void scheduler::state::StopOrphan(host_slot slot, const run_report& report) {
  host_state& host = hosts[slot];
  ++host.orphan_runs;
  const job_entry* job = FindJob(report.task.job);
  std::vector<tenant_index>& known = host.orphan_tenants;
  if (job && std::find(known.begin(), known.end(), job->tenant) == known.end()) {
    known.push_back(job->tenant);
  }
  actions.emplace_back(
      stop_task{host.entry.id, host.entry.address, token, report.task, report.run});
}

// Keeps starts without an answer from being carried out in a new life of the host: stops of an
// earlier life do not hold there. Runs that are not closed are stopped when polls do not show them.
void scheduler::state::StopUnansweredStarts(host_slot slot) {
  const host_state& host = hosts[slot];
  for (const unanswered_start& start : host.unanswered_starts) {
    const bool over = now >= start.sent + options.max_call_delay;
    if (over || FindRun(slot, start.task, start.run) != kNoRun) continue;
    actions.emplace_back(
        stop_task{host.entry.id, host.entry.address, token, start.task, start.run});
  }
}

void scheduler::state::WriteHostRecord(host_state& host) {
  if (host.entry.draining && !host.HoldsRuns()) return;
  if (std::exchange(host.journaled, true)) return;
  host.record_sequence = Write(host_record{host.entry.id, host.entry.address, host.entry.service});
  host_record_sequence = host.record_sequence;
}

// A host that gets no more tasks and holds none has no record, so that a later owner does not wait
// for it.
void scheduler::state::ForgetUnusedHost(host_state& host) {
  if (host.polled && !host.HoldsRuns() && !host.more_ended) RemoveHostRecord(host);
}

void scheduler::state::RemoveHostRecord(host_state& host) {
  if (!host.journaled) return;
  host.journaled = false;
  Write(remove_host{host.entry.id});
}

void scheduler::state::AvoidHost(host_state& host, duration time, std::string_view cause) {
  host.avoid_until = std::max(host.avoid_until, now + time);
  LogDecision(decision_kind::kHostAvoided, {}, 0, host.entry.id.value, cause, time);
}

// The list tells how long a draining host stays from the time at which the host wrote its entry.
// The earliest time counts, since the same entry may be read again later.
void scheduler::state::UpdateLeaveTime(host_state& host) const {
  if (!host.entry.draining) {
    host.leaves_at = time_point::max();
  } else if (host.entry.remaining > duration::zero()) {
    host.leaves_at = std::min(host.leaves_at, now + host.entry.remaining);
  }
}

// Stops runs that would be lost with a host that is leaving, so that they start elsewhere at once.
void scheduler::state::EvacuateLeaving(host_slot slot) {
  const time_point leaves_at = hosts[slot].leaves_at;
  if (leaves_at == time_point::max() || now >= leaves_at || hosts[slot].poll_failures > 0) return;
  const std::vector<run_id> held = hosts[slot].runs;
  for (const run_id id : held) {
    const run_state& run = runs.at(id);
    if (run.phase != run_phase::kRunning) continue;
    const time_point end = ExpectedEnd(run);
    const leaving_run leaving{end == time_point::max() ? duration::max() : end - now,
                              leaves_at - now};
    if (std::holds_alternative<keep_run>(DecideEvacuation(leaving))) continue;
    const job_entry* job = FindJob(run.task.job);
    const task_ref task = run.task;
    SendStop(id, "its host is leaving");
    if (job && !job->spec.steps.empty() && SpecOf(*job, task.step).gang) {
      AbortGang(task, "the host of a member is leaving");
    }
  }
}

// Ends the recovery, and with it the wait of tasks that earlier owners may have started, once every
// host of which the journal has a record has reported its runs and all ends, or its leases have
// expired. Earlier owners have used no other.
void scheduler::state::CheckRecovery() {
  if (!recovering) return;
  const bool open = std::any_of(hosts.begin(), hosts.end(), [&](const host_state& host) {
    // The ends that a host has not listed yet do not expire with its lease.
    if (host.polled && host.more_ended && host.poll_failures == 0) return true;
    return (!host.polled || host.more_ended) && host.journaled && now < EarlierLeaseExpiry(host);
  });
  if (open) return;
  recovering = false;
  for (auto& [number, job] : jobs) {
    for (auto& [index, occurrence] : job.occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        for (task_state& task : occurrence.steps[i].tasks) task.maybe_running = false;
        if (job.active && SpecOf(job, i).gang) {
          CheckGang({number, index, i, 0}, "an earlier owner did not start all members");
        }
      }
    }
  }
  pass_needed = true;
  LogDecision(decision_kind::kRecoveryFinished, {}, 0, {},
              "every host has answered or its leases have expired", now - term_began);
}

}  // namespace sycamorehinge::cell
