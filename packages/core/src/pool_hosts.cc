#include <algorithm>

#include "pool_state.h"

namespace sycamorehinge {

host_group pool::state::GroupOf(host_slot host) const {
  const ledger_host& entry = ledger.Host(host);
  if (!entry.claimed || entry.leaving || ejection.IsEjected(host)) return host_group::kUnavailable;
  if (host < drained.size() && drained[host] != 0) return host_group::kDrained;
  return entry.capacity.accelerators > 0 ? host_group::kAccelerator : host_group::kPlain;
}

void pool::state::RefreshHost(host_slot host) {
  index.Set(host, GroupOf(host), ledger.Free(host), ledger.Host(host).capacity);
}

// Takes work that left the ledger out of all other accounts.
void pool::state::ForgetWork(const reservation& work) {
  shares.Release(work.work_class, work.tenant, work.size);
  queue.Reorder(work.work_class, work.tenant, shares);
  if (work.preempting) preempting[work.work_class] -= work.size;
  if (ejection.IsProbe(work.host, work.id)) ejection.ProbeAbandoned(work.host);
}

void pool::state::FreeWork(reservation_slot work) {
  const reservation gone = ledger.Remove(work);
  ForgetWork(gone);
  index.SetFree(gone.host, ledger.Free(gone.host));
}

void pool::state::CountCapacity(const resources& capacity, int change) {
  const auto found = std::find_if(shapes.begin(), shapes.end(),
                                  [&](const auto& shape) { return shape.first == capacity; });
  if (found == shapes.end()) {
    shapes.emplace_back(capacity, change);
    return;
  }
  found->second += change;
  if (found->second == 0) shapes.erase(found);
}

void pool::state::On(const room_elsewhere& event, time_point, std::vector<pool_action>&) {
  elsewhere = event.largest_host;
}

bool pool::state::SomeHostCouldHold(const resources& size) const {
  return elsewhere.CanFit(size) || LocalHostCouldHold(size);
}

bool pool::state::LocalHostCouldHold(const resources& size) const {
  return std::any_of(shapes.begin(), shapes.end(),
                     [&size](const auto& shape) { return shape.first.CanFit(size); });
}

void pool::state::AdoptRunning(host_slot host, std::span<const held_work> running, time_point now) {
  for (const held_work& held : running) {
    if (ledger.FindOn(held.id, host) != kNoSlot) continue;
    reservation work;
    work.id = held.id;
    work.work_class = shares.ClassOf(held.work_class);
    work.tenant = shares.TenantOf(held.tenant);
    work.size = held.size;
    work.preemptible = held.preemptible;
    work.placed = now;
    ledger.RecordRunning(host, work);
    shares.Acquire(work.work_class, work.tenant, work.size);
    queue.Reorder(work.work_class, work.tenant, shares);
    // An attempt that already runs must not be placed a second time.
    const queue_slot waiting = queue.Find(held.id);
    if (waiting != kNoSlot) Dequeue(waiting);
  }
}

namespace {

// Claims are renewed every 700 ms for each host; most renewals change nothing.
bool IsPlainRenewal(const host_claimed& event, const ledger_host& host) {
  return event.term == host.term && event.capacity == host.capacity &&
         event.leaving == host.leaving && event.where == host.where;
}

}  // namespace

void pool::state::On(const host_claimed& event, time_point now, std::vector<pool_action>& out) {
  const host_slot known = ledger.FindHost(event.host);
  const bool was_claimed = known != kNoSlot && ledger.Host(known).claimed;
  if (was_claimed && IsPlainRenewal(event, ledger.Host(known))) {
    const std::uint32_t running = ledger.Host(known).running;
    AdoptRunning(known, event.running, now);
    if (ledger.Host(known).running != running) index.SetFree(known, ledger.Free(known));
    return;
  }
  if (was_claimed) CountCapacity(ledger.Host(known).capacity, -1);
  dropped.clear();
  const host_slot host =
      ledger.Claim(event.host, event.term, event.capacity, event.where, event.leaving, dropped);
  CountCapacity(event.capacity, 1);
  if (!was_claimed) ejection.AddHost(host);
  for (const reservation& work : dropped) ForgetWork(work);
  if (!(shares.Capacity() == ledger.Capacity())) shares.SetCapacity(ledger.Capacity());
  AdoptRunning(host, event.running, now);
  RefreshHost(host);
  Dispatch(now, out);
}

void pool::state::On(const host_leaving& event, time_point now, std::vector<pool_action>& out) {
  const host_slot host = ledger.FindHost(event.host);
  if (host == kNoSlot || !ledger.Host(host).claimed) return;
  ledger.SetLeaving(host, event.leaving);
  RefreshHost(host);
  if (!event.leaving) Dispatch(now, out);
}

void pool::state::On(const host_released& event, time_point now, std::vector<pool_action>& out) {
  const host_slot host = ledger.FindHost(event.host);
  if (host == kNoSlot || !ledger.Host(host).claimed) return;
  CountCapacity(ledger.Host(host).capacity, -1);
  dropped.clear();
  ledger.Release(host, dropped);
  for (const reservation& work : dropped) ForgetWork(work);
  ejection.RemoveHost(host);
  shares.SetCapacity(ledger.Capacity());
  RefreshHost(host);
  Dispatch(now, out);
}

void pool::state::On(const usage_reported& event, time_point now, std::vector<pool_action>& out) {
  const host_slot host = ledger.FindHost(event.host);
  const reservation_slot work = host == kNoSlot ? kNoSlot : ledger.FindOn(event.id, host);
  if (work == kNoSlot) return;
  const resources before = ledger.ReservationAt(work).taken;
  ledger.SetUsage(work, event.used);
  if (ledger.ReservationAt(work).taken == before) return;
  index.SetFree(host, ledger.Free(host));
  Dispatch(now, out);
}

void pool::state::CountOutcome(const reservation& work, const work_finished& event,
                               time_point now) {
  if (event.outcome == finish_kind::kSucceeded) {
    admit.RecordRunTime(work.work_class, work.tenant, work.declared_run, event.ran);
  }
  const bool failed = event.outcome == finish_kind::kFailed;
  if (!failed && event.outcome != finish_kind::kSucceeded) return;
  const bool was_probe = ejection.IsProbe(work.host, work.id);
  if (ejection.RecordOutcome(work.host, work.id.task.job, failed, was_probe, now))
    RefreshHost(work.host);
}

void pool::state::On(const work_finished& event, time_point now, std::vector<pool_action>& out) {
  const host_slot host = ledger.FindHost(event.host);
  const reservation_slot work = host == kNoSlot ? kNoSlot : ledger.FindOn(event.id, host);
  if (work == kNoSlot) return;
  CountOutcome(ledger.ReservationAt(work), event, now);
  FreeWork(work);
  Dispatch(now, out);
}

}  // namespace sycamorehinge
