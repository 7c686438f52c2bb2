// Leases of hosts: how long this owner may renew them, and when those of earlier owners expire.
//
// An owner that is cut off from the store cannot tell a partition from an outage. It goes on
// renewing leases for `grant_period` after the last confirmation of its ownership. A later owner
// has fenced the journal before its term begins, so no earlier one is confirmed after that, and the
// last lease of an earlier owner expires `grant_period` and the longest lease after the term began:
// a host that has restarted unnoticed grants the longest one. The wait is shorter if all earlier
// owners confirm that they have stopped, or are gone, and for hosts that refuse connections.
#include <algorithm>
#include <chrono>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Interval between requests to earlier owners to give up the cell.
constexpr duration kFenceOwnerInterval = std::chrono::milliseconds(300);

}  // namespace

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

// Renews the lease of the host, and returns its deadline on the host's clock. The lease of an
// unreachable host is not extended: unanswered calls may still reach it, and its tasks must expire.
// A new deadline needs a reading of the clock of the present life.
std::int64_t scheduler::state::ExtendLease(host_state& host) {
  const bool extends = host.poll_failures == 0 && host.lease.HasClock();
  return extends ? host.lease.Renew(rules, now) : host.lease.Repeat(now);
}

// Handles the result of a call that renews the lease. A host that cannot be reached has not taken
// it.
void scheduler::state::OnRenewalResult(host_state& host, time_point sent, call_outcome outcome) {
  if (!MayHaveArrived(outcome)) return;
  if (outcome == call_outcome::kNoAnswer) return host.lease.OnUnanswered(rules, sent);
  host.lease.OnAnswered(rules, sent, now);
}

// Time after which no earlier owner sends a call that grants a lease.
time_point scheduler::state::LastEarlierGrant() const {
  // An owner that grants a lease has its term in the journal first.
  if (loaded_term == 0 && loaded_granters.empty()) return time_point::min();
  return earlier_owners.empty() ? earlier_owners_stopped_at : term_began + options.grant_period;
}

// Time by which all leases of earlier owners have expired on a host that was not polled. A host
// that refuses connections has no process, so nothing runs there in a life of which earlier owners
// did not know.
time_point scheduler::state::EarlierLeaseExpiry(const host_state& host) const {
  const time_point last_grant = LastEarlierGrant();
  if (host.refused_at >= last_grant) return last_grant + rules.LongestTime(rules.lease);
  return rules.LongestExpiry(last_grant);
}

// Closes the runs of an unreachable host once its lease has expired.
void scheduler::state::CloseExpiredRuns(host_slot slot) {
  host_state& host = hosts[slot];
  if (host.poll_failures == 0) return;
  // Without a report of its present life, the host may follow earlier owners.
  const time_point earlier_over = EarlierLeaseExpiry(host);
  const bool earlier_last = !host.polled && earlier_over > host.lease.Expiry();
  const time_point over = earlier_last ? earlier_over : host.lease.Expiry();
  if (now < over) return;
  const lease_grant last =
      earlier_last ? lease_grant::kCallOfEarlierOwner : host.lease.LongestGrant();
  const time_point unconfirmed_over = host.lease.UnconfirmedExpiry(rules);
  const std::vector<run_id> lost = host.runs;
  for (const run_id id : lost) {
    const run_state& run = runs.at(id);
    if (!run.IsOnlyInKnownLife() && now < unconfirmed_over) continue;
    const task_ref ref = run.task;
    const std::string cause = "the lease of an unreachable host expired, which was granted by " +
                              std::string(ToString(last));
    LogDecision(decision_kind::kTaskLost, ref, run.number, host.entry.id.value, cause,
                now - host.unreachable_since);
    CloseRun(id, cause);
  }
  if (now >= unconfirmed_over) {
    hosts[slot].orphan_runs = 0;
    hosts[slot].orphan_tenants.clear();
  }
  if (!hosts[slot].listed && hosts[slot].runs.empty()) RemoveHostRecord(hosts[slot]);
}

}  // namespace sycamorehinge::cell
