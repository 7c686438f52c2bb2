#include "sycamorehinge/cell/scheduler.h"

#include <algorithm>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Intervals between ticks with and without runs or waiting steps.
constexpr duration kBusyTickInterval = std::chrono::milliseconds(25);
constexpr duration kIdleTickInterval = std::chrono::milliseconds(250);
constexpr duration kMinTickInterval = std::chrono::milliseconds(2);
// Interval between placement passes that no event triggers.
constexpr duration kFullPassInterval = std::chrono::milliseconds(100);

}  // namespace

scheduler::scheduler(scheduler_options options) : state_(std::make_unique<state>(options)) {}
scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::Load(journal_record record) { state_->Load(std::move(record)); }

void scheduler::LoadUnreadable(job_number job) { state_->jobs[job].unreadable = true; }

void scheduler::BeginTerm(std::uint64_t term, std::uint64_t token, std::string_view address,
                          time_point now, std::int64_t wall_ms) {
  state& s = *state_;
  s.now = now;
  s.wall_ms = wall_ms;
  s.term = term;
  s.token = token;
  s.term_began = now;
  s.owner = true;
  s.recovering = true;
  s.BeginLeases(address);
  s.term_sequence = s.Write(term_record{term});
  std::sort(s.ended_jobs.begin(), s.ended_jobs.end());
  for (auto& [number, job] : s.jobs) {
    if (job.phase == job_phase::kQueued) ++s.queued_jobs[job.queue];
    if (!job.Ended()) s.Activate(number, job);
  }
  for (host_slot slot = 0; slot < s.hosts.size(); ++slot) s.TickHost(slot);
  s.CheckRecovery();
}

std::uint64_t scheduler::LoadedTerm() const { return state_->loaded_term; }

void scheduler::OnOwnershipConfirmed(time_point at) { state_->OnOwnershipConfirmed(at); }

void scheduler::OnOwnerFenced(std::string_view address, time_point now) {
  state_->now = now;
  state_->OnOwnerFenced(address);
}

void scheduler::OnDurable(std::uint64_t sequence) {
  state_->OnDurable(sequence);
  state_->CheckGrants();
  state_->Pass();
}

bool scheduler::TermRecorded() const { return state_->TermRecorded(); }

void scheduler::SetStartsAllowed(bool may_start) {
  if (may_start && !state_->may_start) state_->pass_needed = true;
  state_->may_start = may_start;
}

void scheduler::SetPolicyClientCount(std::size_t machines) {
  state_->policy_clients = std::max<std::size_t>(machines, 1);
}

void scheduler::SetConfig(std::shared_ptr<const fleet_config> config) {
  if (config->version < state_->config->version) return;
  state_->SetConfig(std::move(config));
}

void scheduler::SetHost(const host_entry& entry, time_point now) {
  state_->now = now;
  state_->SetHost(entry);
}

void scheduler::RemoveHost(const host_id& host, time_point now) {
  state_->now = now;
  state_->RemoveHost(host);
}

void scheduler::Submit(call_number call, job_number job, std::string_view queue,
                       std::string_view tenant, job_spec spec, time_point now,
                       std::int64_t wall_ms) {
  state_->now = now;
  state_->Submit(call, job, queue, tenant, std::move(spec), wall_ms);
}

void scheduler::Cancel(call_number call, job_number job, std::string_view tenant,
                       std::int64_t wall_ms) {
  state_->Cancel(call, job, tenant, wall_ms);
  state_->Pass();
}

void scheduler::State(call_number call, job_number job, std::string_view tenant) {
  state_->State(call, job, tenant);
}

bool scheduler::Knows(job_number job) const { return state_->jobs.contains(job); }

bool scheduler::KnowsCancel(job_number job) const { return state_->early_cancels.contains(job); }

void scheduler::Pending(call_number call, std::string_view queue) { state_->Pending(call, queue); }

std::vector<std::uint64_t> scheduler::OpenSubmissions() const { return state_->OpenSubmissions(); }

void scheduler::RefuseSubmissions(std::span<const std::uint64_t> sequences, duration retry_after,
                                  time_point now) {
  state_->now = now;
  state_->RefuseSubmissions(sequences, retry_after);
}

void scheduler::OnPollResult(const host_id& host, time_point sent, call_outcome outcome,
                             const host_report* answer, time_point now) {
  state_->now = now;
  const auto found = state_->host_slots.find(host);
  if (found == state_->host_slots.end()) return;
  state_->OnPollResult(found->second, sent, outcome, answer);
  state_->WriteDirtyJobs();
  state_->CheckRecovery();
  state_->Pass();
  state_->TickHost(found->second);
}

void scheduler::OnStart(const host_id& host, const task_ref& task, std::uint32_t run,
                        time_point sent, const start_report& answer, time_point now) {
  state_->now = now;
  const auto found = state_->host_slots.find(host);
  if (found == state_->host_slots.end()) return;
  state_->OnStart(found->second, task, run, sent, answer);
  state_->WriteDirtyJobs();
  state_->Pass();
  state_->TickHost(found->second);
}

void scheduler::OnStop(const host_id& host, const task_ref& task, std::uint32_t run,
                       call_outcome outcome, time_point now) {
  state_->now = now;
  const auto found = state_->host_slots.find(host);
  if (found == state_->host_slots.end()) return;
  state_->OnStop(found->second, task, run, outcome);
  state_->TickHost(found->second);
}

void scheduler::OnAdvice(std::uint64_t request, bool answered,
                         std::span<const std::pair<host_id, std::string>> approved,
                         time_point now) {
  state_->now = now;
  state_->OnAdvice(request, answered, approved);
  state_->Pass();
}

void scheduler::Tick(time_point now, std::int64_t wall_ms) {
  state& s = *state_;
  s.now = now;
  s.wall_ms = wall_ms;
  if (!s.owner) return;
  s.UpdateJobBytes();
  s.OpenDueOccurrences(wall_ms);
  s.FenceEarlierOwners();
  s.CheckGrants();
  s.TickRuns();
  s.TickGangs();
  for (host_slot slot = 0; slot < s.hosts.size(); ++slot) s.TickHost(slot);
  s.WriteDirtyJobs();
  s.CheckRecovery();
  s.RemoveExpiredJobs(wall_ms);
  s.RemoveExpiredCancels();
  // Ticket validity, avoid times and reservation delays change with time alone.
  if (now >= s.next_full_pass && !s.waiting.empty()) {
    s.pass_needed = true;
    s.next_full_pass = now + kFullPassInterval;
  }
  s.Pass();
}

time_point scheduler::NextTick() const {
  const state& s = *state_;
  const bool busy = !s.runs.empty() || !s.waiting.empty() || s.recovering;
  const time_point tick = s.now + (busy ? kBusyTickInterval : kIdleTickInterval);
  return s.pass_needed ? std::clamp(s.next_pass, s.now + kMinTickInterval, tick) : tick;
}

void scheduler::TakeActions(std::vector<action>& out) {
  for (action& next : state_->actions) out.push_back(std::move(next));
  state_->actions.clear();
}

std::vector<tenant_usage> scheduler::TenantUsage(std::size_t most) const {
  return state_->TenantUsage(most);
}

scheduler_summary scheduler::Summary() const {
  const state& s = *state_;
  scheduler_summary summary;
  summary.jobs = s.jobs.size();
  summary.open_jobs = s.jobs.size() - s.ended_jobs.size();
  summary.waiting_steps = s.waiting.size();
  summary.advice_requests = s.advice_requests.size();
  summary.examined_hosts = s.examined_hosts;
  summary.near_waits = s.near_waits;
  summary.far_starts = s.far_starts;
  summary.runs = s.runs.size();
  summary.recovering = s.recovering;
  for (const host_state& host : s.hosts) {
    if (!host.listed) continue;
    ++summary.hosts;
    if (host.poll_failures > 0) ++summary.unreachable_hosts;
    if (host.reserved_for) ++summary.reserved_hosts;
    summary.capacity += host.entry.capacity;
    summary.allocated += host.allocated;
  }
  return summary;
}

}  // namespace sycamorehinge::cell
