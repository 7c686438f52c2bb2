#include <algorithm>

#include "pool_state.h"

namespace sycamorehinge {

namespace {

// Share of the room that borrowing work leaves free while other classes do not use their
// guarantees: their work then starts at once instead of waiting for a preemption.
constexpr double kHeadroom = 0.03;
// Placements of one event; more are made at the next tick, so that one decision stays short.
constexpr int kMaxPlacements = 32;
constexpr std::size_t kMaxNotFitting = 16;
// A gang that did not fit is tried again after this time, doubled for each further try.
constexpr duration kGangRetry = std::chrono::milliseconds(2);
constexpr std::uint32_t kMaxGangDoublings = 5;
// A gang that waits longer gets hosts drained for it.
constexpr duration kGangDrainAfter = std::chrono::milliseconds(50);

placement_kind RuleFor(work_kind kind, const placement_rules& rules) {
  switch (kind) {
    case work_kind::kRequest:
      return rules.request;
    case work_kind::kBatch:
      return rules.batch;
    case work_kind::kService:
      return rules.service;
    case work_kind::kGang:
      return rules.gang;
  }
  return rules.batch;
}

bool LeavesRoom(std::int64_t free, std::int64_t size, std::int64_t total, std::int64_t capacity,
                double share) {
  if (size <= 0 || capacity <= 0) return true;
  // Whole tasks only: in a small pool a fraction of a task would cost the room of a whole one.
  const auto kept = static_cast<std::int64_t>(share * static_cast<double>(capacity)) / size * size;
  return free - total >= kept;
}

}  // namespace

bool pool::state::KeepsHeadroom(const work_item& item, class_index work_class) const {
  const double share = std::min(kHeadroom, shares.UnusedGuaranteedShare(work_class));
  if (share <= 0) return true;
  const resources& capacity = ledger.Capacity();
  const resources free = capacity - ledger.Taken();
  const resources total = Multiply(item.size, item.count);
  return LeavesRoom(free.cores_milli, item.size.cores_milli, total.cores_milli,
                    capacity.cores_milli, share) &&
         LeavesRoom(free.memory_mb, item.size.memory_mb, total.memory_mb, capacity.memory_mb,
                    share) &&
         LeavesRoom(free.slots, item.size.slots, total.slots, capacity.slots, share);
}

wait_reason pool::state::MayPlace(const work_item& item, class_index work_class,
                                  tenant_index tenant, bool has_drain) const {
  const resources total = Multiply(item.size, item.count);
  if (!shares.QuotaAllows(tenant, total)) return wait_reason::kQuota;
  if (!shares.LimitAllows(work_class, total)) return wait_reason::kLimit;
  if (std::holds_alternative<fifo>(options.order)) return wait_reason::kNone;
  // Without a document nothing is guaranteed to another class.
  if (!shares.HasRules()) return wait_reason::kNone;
  const class_usage& standing = shares.Class(work_class);
  const resources claimed = has_drain ? standing.held : standing.held + standing.draining;
  if (DominantShare(claimed, shares.Capacity()) < standing.rule.share) return wait_reason::kNone;
  // Requests are short, so the room they borrow comes back by itself.
  if (item.kind == work_kind::kRequest) return wait_reason::kNone;
  if (!item.preemptible || !KeepsHeadroom(item, work_class)) return wait_reason::kShare;
  return wait_reason::kNone;
}

// Rules out most waiting work in a full pool before the rules of its class are looked at.
bool pool::state::MayFit(const resources& size, time_point now) const {
  return index.MayFit(host_group::kPlain, size) || index.MayFit(host_group::kAccelerator, size) ||
         index.MayFit(host_group::kDrained, size) || ejection.ProbeDue(now) != kNoSlot;
}

bool pool::state::IsKnownNotToFit(const queue_item& entry) const {
  return std::any_of(not_fitting.begin(), not_fitting.end(),
                     [&](const resources& size) { return entry.item.size.CanFit(size); });
}

void pool::state::NoteNotFitting(const queue_item& entry) {
  if (entry.item.count == 1 && entry.avoid.empty() && not_fitting.size() < kMaxNotFitting) {
    not_fitting.push_back(entry.item.size);
  }
}

bool pool::state::ChooseProbe(const queue_item& entry, time_point now) {
  if (entry.item.count != 1 || entry.item.kind == work_kind::kService) return false;
  const host_slot host = ejection.ProbeDue(now);
  if (host == kNoSlot || ledger.Host(host).leaving) return false;
  if (!ledger.Free(host).CanFit(entry.item.size)) return false;
  if (std::find(entry.avoid.begin(), entry.avoid.end(), host) != entry.avoid.end()) return false;
  chosen.push_back(host);
  chosen_probe = true;
  return true;
}

bool pool::state::MayUseDrained(const queue_item& entry, time_point now) const {
  return EndsBeforeDrains(entry, now) || (entry.queued && HasDrain(queue.Find(entry.item.id)));
}

bool pool::state::Choose(const queue_item& entry, time_point now) {
  chosen.clear();
  chosen_probe = false;
  if (ChooseProbe(entry, now)) return true;
  placement_request request;
  request.size = entry.item.size;
  request.count = entry.item.count;
  request.use_drained = !drains.empty() && MayUseDrained(entry, now);
  if (!request.use_drained && IsKnownNotToFit(entry)) return false;
  request.avoid = entry.avoid;
  const placement_rules rule = rules ? rules->placement : placement_rules{};
  const placement_kind name = options.placement.value_or(RuleFor(entry.item.kind, rule));
  if (ChooseHosts(PolicyByName(name), request, index, random, chosen)) return true;
  if (!request.use_drained) NoteNotFitting(entry);
  return false;
}

void pool::state::Place(const queue_item& entry, time_point now, duration hold_time,
                        std::vector<pool_action>& out) {
  work_placed placed;
  placed.item = entry.item;
  placed.waited = now - entry.enqueued;
  placed.places.reserve(chosen.size());
  reservation work;
  work.id = entry.item.id;
  work.work_class = entry.work_class;
  work.tenant = entry.tenant;
  work.size = entry.item.size;
  work.preemptible = entry.item.preemptible;
  work.declared_run = entry.item.run_time;
  work.placed = now;
  work.expected_end =
      now + admit.ExpectedRun(entry.item.kind, entry.work_class, entry.tenant, entry.item.run_time);
  for (const host_slot host : chosen) {
    const reservation_slot slot = ledger.Reserve(host, work);
    placed.places.push_back({ledger.Host(host).id, ledger.Host(host).term});
    shares.Acquire(work.work_class, work.tenant, work.size);
    index.SetFree(host, ledger.Free(host));
    if (hold_time.count() > 0) {
      ledger.MarkHeld(slot);
      timers.Push(
          {now + hold_time, timer_kind::kHold, slot, ledger.ReservationAt(slot).generation});
    }
    ++work.id.task.index;
  }
  if (chosen_probe) ejection.ProbeStarted(chosen.front(), entry.item.id, now);
  queue.Reorder(entry.work_class, entry.tenant, shares);
  out.emplace_back(std::move(placed));
}

bool pool::state::TryQueued(queue_slot slot, time_point now, std::vector<pool_action>& out) {
  queue_item& entry = queue.At(slot);
  // The tick refuses what is past its deadline.
  if (entry.item.deadline <= now) return false;
  const bool has_drain = !drains.empty() && HasDrain(slot);
  if (!has_drain && !MayFit(entry.item.size, now)) return false;
  if (MayPlace(entry.item, entry.work_class, entry.tenant, has_drain) != wait_reason::kNone) {
    return false;
  }
  if (entry.item.count > 1 && entry.next_gang_attempt > now) {
    if (entry.retry_pending) return false;
    entry.retry_pending = true;
    timers.Push({entry.next_gang_attempt, timer_kind::kGangRetry, slot, entry.generation});
    return false;
  }
  if (!Choose(entry, now)) {
    if (entry.item.count > 1) {
      const std::uint32_t doublings =
          has_drain ? 1 : std::min(entry.gang_attempts, kMaxGangDoublings);
      entry.next_gang_attempt = now + kGangRetry * (1 << doublings);
      ++entry.gang_attempts;
    }
    return false;
  }
  Place(entry, now, duration(0), out);
  Dequeue(slot);
  return true;
}

void pool::state::Dispatch(time_point now, std::vector<pool_action>& out) {
  dispatch_again = false;
  if (queue.Size() == 0) return;
  not_fitting.clear();
  for (int placed = 0; placed < kMaxPlacements; ++placed) {
    if (!queue.VisitInOrder(shares, [&](queue_slot slot) { return TryQueued(slot, now, out); })) {
      return;
    }
  }
  dispatch_again = queue.Size() > 0;
}

queue_item pool::state::EntryOf(const work_item& item, time_point now) {
  queue_item entry;
  entry.item = item;
  entry.item.count = std::max<std::uint32_t>(item.count, 1);
  entry.work_class = shares.ClassOf(item.work_class);
  entry.tenant = shares.TenantOf(item.tenant);
  entry.enqueued = now;
  entry.next_overflow = now + options.overflow_after;
  entry.next_preempt = now + options.preempt_after;
  entry.avoid = HostsToAvoid(entry.item);
  return entry;
}

// If no other available host could hold the work, a host that it failed on is better than none.
std::vector<host_slot> pool::state::HostsToAvoid(const work_item& item) const {
  std::vector<host_slot> avoid;
  for (const host_id& host : item.avoid) {
    const host_slot slot = ledger.FindHost(host);
    if (slot != kNoSlot) avoid.push_back(slot);
  }
  if (avoid.empty()) return avoid;
  for (host_slot host = 0; host < index.Size(); ++host) {
    const indexed_host& at = index.At(host);
    if (at.group == host_group::kUnavailable || !at.capacity.CanFit(item.size)) continue;
    if (std::find(avoid.begin(), avoid.end(), host) == avoid.end()) return avoid;
  }
  return {};
}

errc pool::state::CheckOffer(const queue_item& entry, time_point now) const {
  if (shares.HasRules() && !shares.Class(entry.work_class).has_rule) return errc::kUnknownClass;
  if (entry.item.deadline <= now) return errc::kDeadlinePassed;
  if (!shapes.empty() && !SomeHostCouldHold(entry.item.size)) return errc::kFitsNowhere;
  return errc::kOk;
}

void pool::state::Enqueue(queue_item entry, time_point now) {
  entry.expected_work = admit.ExpectedWork(entry.item, entry.work_class, entry.tenant, shares);
  const bool gang = entry.item.count > 1;
  const time_point deadline = entry.item.deadline;
  const time_point overflow = entry.next_overflow;
  if (gang) entry.next_gang_attempt = now + kGangRetry;
  admit.AddBacklog(entry.work_class, entry.expected_work);
  shares.CountWaiting(entry.work_class, 1);
  const queue_slot slot = queue.Add(std::move(entry), shares);
  const std::uint32_t generation = queue.At(slot).generation;
  timers.Push({overflow, timer_kind::kOverflow, slot, generation});
  if (deadline != time_point::max()) {
    timers.Push({deadline, timer_kind::kDeadline, slot, generation});
  }
  if (gang) timers.Push({now + kGangDrainAfter, timer_kind::kDrainStart, slot, generation});
}

void pool::state::Dequeue(queue_slot slot) {
  const queue_item& entry = queue.At(slot);
  admit.RemoveBacklog(entry.work_class, entry.expected_work);
  shares.CountWaiting(entry.work_class, -1);
  queue.Remove(slot);
  if (!drains.empty()) EndDrainOf(slot);
}

}  // namespace sycamorehinge
