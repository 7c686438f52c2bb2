// Quotas of tenants: what the owner counts against them beside the runs that it knows, and which
// steps wait for them.
#include <algorithm>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Interval between computations of what earlier owners may have started.
constexpr duration kEarlierUsageInterval = std::chrono::milliseconds(100);
// Runs of a job that ended before this time have ended too: the longest lease, and a margin.
constexpr duration kMaxStopTime = std::chrono::seconds(15);

void AddTo(std::vector<resources>& usage, tenant_index tenant, const resources& size) {
  if (tenant >= usage.size()) usage.resize(tenant + 1);
  usage[tenant] += size;
}

resources Smaller(const resources& a, const resources& b) {
  return {std::min(a.cores_milli, b.cores_milli), std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators), 0};
}

}  // namespace

// Called at the beginning of each placement pass.
void scheduler::state::UpdateTenants() {
  closed_quotas.assign(tenants.Count(), false);
  if (!config->HasTenants()) return;
  resources capacity;
  for (const host_state& host : hosts) {
    if (host.listed) capacity += host.entry.capacity;
  }
  tenants.SetCapacity(capacity);
  std::vector<bool> waits(tenants.Count());
  for (const waiting_key& key : waiting) {
    if (const job_entry* job = FindJob(key.job)) waits[job->tenant] = true;
  }
  tenants.UpdateShares(waits);
  UpdateUncertainUsage();
}

// Returns what tenants hold and wait for, those that hold most first.
std::vector<tenant_usage> scheduler::state::TenantUsage(std::size_t most) const {
  std::vector<tenant_usage> rows;
  if (!config->HasTenants()) return rows;
  std::vector<std::uint64_t> waiting_steps(tenants.Count());
  for (const waiting_key& key : waiting) {
    const auto job = jobs.find(key.job);
    if (job != jobs.end()) ++waiting_steps[job->second.tenant];
  }
  std::unordered_map<std::string_view, resources> quota_of;
  for (const tenant_settings& row : config->tenants) quota_of[row.name.value] = row.quota;
  for (tenant_index tenant = 0; tenant < tenants.Count(); ++tenant) {
    if (tenant == tenant_ledger::kNoTenant) continue;
    const std::string& name = tenants.NameOf(tenant);
    rows.push_back({name, tenants.HeldBy(tenant), quota_of[name], waiting_steps[tenant],
                    tenants.OverShare(tenant)});
  }
  std::sort(rows.begin(), rows.end(), [](const tenant_usage& a, const tenant_usage& b) {
    return std::tie(b.held.cores_milli, b.waiting_steps, a.name) <
           std::tie(a.held.cores_milli, a.waiting_steps, b.name);
  });
  if (rows.size() > most) rows.resize(most);
  return rows;
}

resources scheduler::state::LargestCapacity() const {
  resources largest;
  for (const host_state& host : hosts) {
    largest.cores_milli = std::max(largest.cores_milli, host.entry.capacity.cores_milli);
    largest.memory_mb = std::max(largest.memory_mb, host.entry.capacity.memory_mb);
    largest.accelerators = std::max(largest.accelerators, host.entry.capacity.accelerators);
  }
  return largest;
}

// Computes what runs that the owner does not know may hold of each quota. Runs that earlier owners
// started are on hosts that have not been polled, so they hold no more than the capacity of these
// hosts, and no more than the tasks that may have been started. Runs of ended jobs hold no more
// than the capacity of the host that reports them. Tasks that fill a host take no cores of its
// capacity, but their cores count against the quota.
void scheduler::state::UpdateUncertainUsage() {
  resources unpolled;
  std::vector<resources> uncertain;
  const resources largest = recovering ? LargestCapacity() : resources();
  for (const host_state& host : hosts) {
    for (const tenant_index tenant : host.orphan_tenants) {
      AddTo(uncertain, tenant, host.entry.capacity);
    }
    if (!recovering || host.polled || !host.journaled) continue;
    // The capacity of a host that is not listed is not known.
    const bool known = host.entry.capacity != resources();
    unpolled += known ? host.entry.capacity : largest;
  }
  if (recovering && now >= next_earlier_usage_at) {
    next_earlier_usage_at = now + kEarlierUsageInterval;
    UpdateEarlierUsage();
  }
  for (tenant_index tenant = 0; recovering && tenant < tenants.Count(); ++tenant) {
    const bool bounded = tenant < earlier_usage.size() && !earlier_usage_unknown[tenant];
    AddTo(uncertain, tenant, bounded ? Smaller(unpolled, earlier_usage[tenant]) : unpolled);
    if (tenant < earlier_filling.size()) uncertain[tenant].cores_milli += earlier_filling[tenant];
  }
  tenants.SetUncertain(std::move(uncertain));
}

// Sums up the tasks of each tenant that an earlier owner may have started.
void scheduler::state::UpdateEarlierUsage() {
  earlier_usage.assign(tenants.Count(), {});
  earlier_usage_unknown.assign(tenants.Count(), false);
  earlier_filling.assign(tenants.Count(), 0);
  for (const auto& [number, job] : jobs) {
    if (!job.Ended() && !job.active) {
      // Its tasks are not known.
      earlier_usage_unknown[job.tenant] = true;
      continue;
    }
    if (job.Ended() && job.phase != job_phase::kCompleted &&
        wall_ms - job.ended_ms < ToMs(kMaxStopTime)) {
      earlier_usage_unknown[job.tenant] = true;
    }
    for (const auto& [index, occurrence] : job.occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const std::vector<task_state>& tasks = occurrence.steps[i].tasks;
        const auto open = std::count_if(tasks.begin(), tasks.end(), [](const task_state& task) {
          return task.maybe_running && !task.done && task.active_run == kNoRun;
        });
        const step_spec& spec = SpecOf(job, i);
        earlier_usage[job.tenant] +=
            Multiply(ChargedResources(spec), static_cast<std::uint32_t>(open));
        if (spec.fills) earlier_filling[job.tenant] += spec.size.cores_milli * open;
      }
    }
  }
}

// Returns whether the quota of the tenant allows to start the tasks. Otherwise, a step that has
// waited for `gang_reserve_delay` keeps the quota from the steps that come after it in this pass,
// so that smaller steps of the tenant do not take what it waits for.
bool scheduler::state::QuotaAllows(const demand& wanted, const job_entry& job,
                                   std::uint32_t count) {
  const task_group tasks{wanted.spec->size, count};
  if (tenants.Allows(job.tenant, tasks)) return true;
  const bool waited = now - wanted.step->ready_since >= options.gang_reserve_delay;
  if (waited && tenants.CouldAllow(job.tenant, tasks)) closed_quotas[job.tenant] = true;
  return false;
}

// A gang that has hosts reserved keeps the quota that it needs from later steps of its tenant.
void scheduler::state::KeepQuotaForGang(const demand& wanted, const job_entry& job) {
  const bool reserved = std::any_of(hosts.begin(), hosts.end(), [&](const host_state& host) {
    return host.reserved_for == wanted.step;
  });
  const auto members = static_cast<std::uint32_t>(wanted.step->tasks.size());
  if (reserved && !tenants.Allows(job.tenant, {wanted.spec->size, 2 * members})) {
    closed_quotas[job.tenant] = true;
  }
}

bool scheduler::state::IsQuotaClosed(const job_entry& job) const {
  return job.tenant < closed_quotas.size() && closed_quotas[job.tenant];
}

}  // namespace sycamorehinge::cell
