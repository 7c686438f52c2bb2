#include <algorithm>

#include "pool_state.h"

namespace sycamorehinge {

namespace {

// Peers are asked again after 8 times the previous wait, at most every 2 s: urgent work must start
// within 2.3 s, also where only a peer has room.
constexpr int kOverflowFactor = 8;
constexpr duration kMaxOverflowGap = std::chrono::seconds(2);
// Work that no host of this process could hold depends on peers alone.
constexpr duration kMaxOverflowGapElsewhere = std::chrono::milliseconds(200);
// Hosts are claimed one by one, so work that no known host could hold is refused only after the
// claims of a start or takeover have been made.
constexpr duration kFitsNowhereAfter = std::chrono::seconds(10);
// Timers of one tick; the rest is due at once, so that one decision stays short.
constexpr int kMaxTimers = 32;
constexpr std::size_t kMinCompaction = 256;

}  // namespace

bool pool::state::IsStale(const timer& entry) const {
  if (entry.kind == timer_kind::kHold) {
    const reservation& work = ledger.ReservationAt(entry.slot);
    return work.generation != entry.generation || !work.held;
  }
  return !queue.IsLive(entry.slot, entry.generation);
}

void pool::state::DropStaleTimers() {
  while (!timers.Empty() && IsStale(timers.Top())) timers.Pop();
  if (timers.Size() < kMinCompaction + 8 * queue.Size()) return;
  timers.Compact([this](const timer& entry) { return IsStale(entry); });
}

void pool::state::RunOverflow(queue_slot slot, time_point now, std::vector<pool_action>& out) {
  queue_item& entry = queue.At(slot);
  const duration waited = now - entry.enqueued;
  if (waited >= kFitsNowhereAfter && !shapes.empty() && !SomeHostCouldHold(entry.item.size)) {
    out.emplace_back(work_refused{entry.item.id, errc::kFitsNowhere, duration(0)});
    Dequeue(slot);
    return;
  }
  out.emplace_back(overflow_wanted{entry.item, waited});
  // Hosts may have left since the work was offered.
  if (!entry.avoid.empty()) entry.avoid = HostsToAvoid(entry.item);
  const duration gap = std::max(options.overflow_after, waited * (kOverflowFactor - 1));
  const bool local = LocalHostCouldHold(entry.item.size);
  const duration most = local ? kMaxOverflowGap : kMaxOverflowGapElsewhere;
  entry.next_overflow = now + std::clamp(gap, duration(1000), most);
  timers.Push({entry.next_overflow, timer_kind::kOverflow, slot, entry.generation});
}

void pool::state::RunTimer(const timer& entry, time_point now, std::vector<pool_action>& out) {
  if (IsStale(entry)) return;
  switch (entry.kind) {
    case timer_kind::kDeadline:
      out.emplace_back(
          work_refused{queue.At(entry.slot).item.id, errc::kDeadlinePassed, duration(0)});
      Dequeue(entry.slot);
      return;
    case timer_kind::kOverflow:
      RunOverflow(entry.slot, now, out);
      return;
    case timer_kind::kGangRetry:
      queue.At(entry.slot).retry_pending = false;
      return;
    case timer_kind::kDrainStart:
      StartGangDrain(entry.slot, now);
      return;
    case timer_kind::kHold:
      FreeWork(entry.slot);
      return;
  }
}

void pool::state::On(const pool_tick&, time_point now, std::vector<pool_action>& out) {
  for (int run = 0; run < kMaxTimers && !timers.Empty() && timers.Top().at <= now; ++run) {
    RunTimer(timers.Pop(), now, out);
  }
  EndLateDrains(now);
  std::vector<host_slot> reinstated;
  ejection.Tick(now, reinstated);
  for (const host_slot host : reinstated) RefreshHost(host);
  Dispatch(now, out);
  Preempt(now, out);
  DrainForLargeTasks(now);
}

time_point pool::state::Next() const {
  if (dispatch_again) return last_now;
  time_point next = std::min({ejection.NextTick(), NextPreemption(), NextLargeTask()});
  if (!timers.Empty()) next = std::min(next, timers.Top().at);
  for (const host_drain& drain : drains) next = std::min(next, drain.until);
  // A probe that is already due starts with the next work that fits, without a tick.
  const time_point probe = ejection.NextProbe();
  if (queue.Size() > 0 && probe > last_now) next = std::min(next, probe);
  return next;
}

}  // namespace sycamorehinge
