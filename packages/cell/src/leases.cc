// Leases of hosts: how long this owner may renew them, and when those of earlier owners expire.
//
// An owner that is cut off from the store cannot tell a partition from an outage. It goes on
// renewing leases for `grant_period` after the last confirmation of its ownership. A later owner
// has fenced the journal before its term begins, so no earlier one is confirmed after that, and the
// last lease of an earlier owner expires `grant_period` and one lease after the term began. The
// wait is shorter if all earlier owners confirm that they have stopped, or are gone.
#include <algorithm>
#include <chrono>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Interval between requests to earlier owners to give up the cell.
constexpr duration kFenceOwnerInterval = std::chrono::milliseconds(300);

}  // namespace

// Returns the longest time for which a lease lasts on a host whose clock runs slow.
duration scheduler::state::LongestTime(duration lease) const {
  return std::chrono::duration_cast<duration>(lease / (1 - options.clock_drift)) +
         kClockReadingDelay;
}

// Called at the beginning of the term.
void scheduler::state::BeginLeases(std::string_view address) {
  own_address = address;
  earlier_owners = loaded_granters;
  // An earlier process at this address is gone, since this one listens there.
  std::erase(earlier_owners, own_address);
  // The owners of before are unknown if a process of an older version wrote the journal.
  const bool all_known = loaded_term == 0 || !loaded_granters.empty();
  earlier_owners_stopped_at = term_began + (all_known ? duration() : options.grant_period);
  WriteGranters();
  FenceEarlierOwners();
}

void scheduler::state::WriteGranters() {
  lease_granters_record record{earlier_owners};
  record.addresses.push_back(own_address);
  Write(std::move(record));
}

// Asks the earlier owners to stop, until they answer or can no longer renew a lease.
void scheduler::state::FenceEarlierOwners() {
  if (earlier_owners.empty()) return;
  if (now >= term_began + options.grant_period) {
    for (const std::string& address : std::exchange(earlier_owners, {})) {
      LogDecision(decision_kind::kOwnerFenced, {}, 0, address, "it may grant no lease any more",
                  now - term_began);
    }
    earlier_owners_stopped_at = term_began + options.grant_period;
    return WriteGranters();
  }
  if (now < next_fence_at) return;
  next_fence_at = now + kFenceOwnerInterval;
  for (const std::string& address : earlier_owners) actions.emplace_back(fence_owner{address});
}

void scheduler::state::OnOwnerFenced(std::string_view address) {
  if (std::erase(earlier_owners, address) == 0) return;
  LogDecision(decision_kind::kOwnerFenced, {}, 0, address, "it has given up the cell or is gone",
              now - term_began);
  earlier_owners_stopped_at = std::max(earlier_owners_stopped_at, now);
  WriteGranters();
}

bool scheduler::state::MayGrantLeases() const {
  return TermRecorded() && now < confirmed_at + options.grant_period;
}

void scheduler::state::OnOwnershipConfirmed(time_point at) {
  confirmed_at = std::max(confirmed_at, at);
}

// Logs changes of MayGrantLeases(), and places tasks that waited for one.
void scheduler::state::CheckGrants() {
  const bool grants = MayGrantLeases();
  if (std::exchange(grants_leases, grants) == grants) return;
  pass_needed = pass_needed || grants;
  LogDecision(grants ? decision_kind::kLeasesGranted : decision_kind::kLeasesPaused, {}, 0, {}, {},
              now - confirmed_at);
}

// Extends the lease of the host. Returns its expiry on the host's clock and records the expiry on
// the local clock. The host's clock may have run slow since it was read. The lease of an
// unreachable host is not extended: unanswered calls may still reach it, and its tasks must expire.
std::int64_t scheduler::state::ExtendLease(host_state& host) {
  host.lease_sent_at = now;
  if (host.poll_failures > 0) return host.deadline_ms;
  const auto passed =
      std::chrono::duration_cast<duration>((now - host.clock_read_at) * (1 - options.clock_drift));
  const std::int64_t deadline = host.clock_ms + ToMs(passed + options.lease);
  host.deadline_ms = std::max(host.deadline_ms, deadline);
  const auto left = std::chrono::milliseconds(host.deadline_ms - host.clock_ms);
  host.lease_expires = std::max(host.lease_expires, host.clock_read_at + LongestTime(left));
  return host.deadline_ms;
}

// Time by which all leases of earlier owners have expired on hosts that were not polled.
time_point scheduler::state::EarlierLeaseExpiry() const {
  const time_point last_grant =
      earlier_owners.empty() ? earlier_owners_stopped_at : term_began + options.grant_period;
  return last_grant + LongestTime(options.lease);
}

// Called when the host has answered its first poll: from then on it refuses earlier owners, but a
// lease that they granted before may last longer than those of this owner.
void scheduler::state::ExpectEarlierLease(host_state& host) const {
  const time_point longest = std::min(now + LongestTime(options.lease), EarlierLeaseExpiry());
  host.lease_expires = std::max(host.lease_expires, longest);
}

// Time by which a lease has expired whose deadline was meant for an earlier life of the host. The
// clock of the new life is behind, so the host grants the longest lease.
time_point scheduler::state::LongestLeaseExpiry(const host_state& host) const {
  return host.lease_sent_at + LongestTime(options.max_lease);
}

// Closes the runs of an unreachable host once its lease has expired.
void scheduler::state::CloseExpiredRuns(host_slot slot) {
  host_state& host = hosts[slot];
  const time_point over =
      host.polled ? host.lease_expires : std::max(host.lease_expires, EarlierLeaseExpiry());
  if (host.poll_failures == 0 || now < over) return;
  const std::vector<run_id> lost = host.runs;
  for (const run_id id : lost) {
    if (!runs.at(id).confirmed && now < LongestLeaseExpiry(host)) continue;
    const task_ref ref = runs.at(id).task;
    LogDecision(decision_kind::kTaskLost, ref, runs.at(id).number, host.entry.id.value,
                "the lease of an unreachable host expired", now - host.unreachable_since);
    CloseRun(id, "the lease of an unreachable host expired");
  }
  if (now >= LongestLeaseExpiry(hosts[slot])) {
    hosts[slot].orphan_runs = 0;
    hosts[slot].orphan_tenants.clear();
  }
  if (!hosts[slot].listed && hosts[slot].runs.empty()) RemoveHostRecord(hosts[slot]);
}

}  // namespace sycamorehinge::cell
