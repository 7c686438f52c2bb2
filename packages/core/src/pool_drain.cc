#include <algorithm>
#include <limits>

#include "pool_state.h"

namespace sycamorehinge {

namespace {

// A drain that has not made room after this time gives its hosts back.
constexpr duration kLongestDrain = std::chrono::seconds(30);
constexpr duration kPauseBetweenDrains = std::chrono::seconds(2);
constexpr duration kDrainRetry = std::chrono::milliseconds(500);
// Smaller pools are never drained: one host is too much of their room.
constexpr std::size_t kMinHostsToDrain = 4;
// Hosts drained for single tasks, as a share of all.
constexpr double kMaxDrainedForTasks = 0.1;
// A large task is one of which a host holds at most this many.
constexpr std::int64_t kLargeTask = 4;
constexpr duration kDrainForTaskAfter = std::chrono::seconds(1);
// Waiting items of one class for which work is preempted at one time.
constexpr int kPreemptWindow = 16;
constexpr int kMaxVictimsLookedAt = 32;
constexpr std::ptrdiff_t kMaxHostsLookedAt = 100;
// A preempted task has this time to checkpoint and stop before more work is preempted.
constexpr duration kPreemptAgain = std::chrono::seconds(5);

std::int64_t TimesIn(const resources& room, const resources& size) {
  std::int64_t times = std::numeric_limits<std::int32_t>::max();
  const auto consider = [&times](std::int64_t amount, std::int64_t each) {
    if (each > 0) times = std::min(times, std::max<std::int64_t>(amount, 0) / each);
  };
  consider(room.cores_milli, size.cores_milli);
  consider(room.memory_mb, size.memory_mb);
  consider(room.accelerators, size.accelerators);
  consider(room.slots, size.slots);
  return times;
}

}  // namespace

bool pool::state::HasDrain(queue_slot slot) const {
  return std::any_of(drains.begin(), drains.end(),
                     [slot](const host_drain& drain) { return drain.slot == slot; });
}

// Work within its class's share may have hosts drained even while the class has its share: the
// class then takes less other work.
bool pool::state::MayDrain(const queue_item& entry) const {
  const resources total = Multiply(entry.item.size, entry.item.count);
  if (!shares.QuotaAllows(entry.tenant, total)) return false;
  const class_usage& standing = shares.Class(entry.work_class);
  if (DominantShare(total + standing.draining, shares.Capacity()) <= standing.rule.share) {
    return true;
  }
  return MayPlace(entry.item, entry.work_class, entry.tenant) == wait_reason::kNone;
}

void pool::state::AddDrain(queue_slot slot, bool gang, std::span<const host_slot> hosts,
                           time_point until) {
  const queue_item& entry = queue.At(slot);
  const resources size = Multiply(entry.item.size, entry.item.count);
  host_drain drain{
      slot, entry.generation, gang, entry.work_class, size, {hosts.begin(), hosts.end()}, until,
      {}};
  shares.AddDraining(entry.work_class, size);
  drained.resize(ledger.Hosts().size());
  for (const host_slot host : hosts) {
    drained[host] = 1;
    RefreshHost(host);
    drain.ready = std::max(drain.ready, LatestEnd(host, until));
  }
  drains.push_back(std::move(drain));
}

time_point pool::state::LatestEnd(host_slot host, time_point bound) const {
  time_point latest;
  for (reservation_slot w = ledger.Host(host).first; w != kNoSlot;
       w = ledger.ReservationAt(w).next) {
    latest = std::max(latest, std::min(ledger.ReservationAt(w).expected_end, bound));
  }
  return latest;
}

// Work that should end before the drained hosts are empty does not delay the item that waits.
bool pool::state::EndsBeforeDrains(const queue_item& entry, time_point now) const {
  if (entry.item.count > 1 || entry.item.kind == work_kind::kService) return false;
  const time_point end =
      now + admit.ExpectedRun(entry.item.kind, entry.work_class, entry.tenant, entry.item.run_time);
  return std::all_of(drains.begin(), drains.end(),
                     [end](const host_drain& drain) { return end <= drain.ready; });
}

void pool::state::EndDrain(std::size_t position) {
  const host_drain drain = std::move(drains[position]);
  if (drain.gang) ScheduleNextDrain();
  drains.erase(drains.begin() + static_cast<std::ptrdiff_t>(position));
  shares.RemoveDraining(drain.work_class, drain.size);
  for (const host_slot host : drain.hosts) {
    drained[host] = 0;
    RefreshHost(host);
  }
  // The hosts' room is open to all again.
  not_fitting.clear();
}

// Hosts are drained for one gang at a time, in the order in which the gangs asked.
void pool::state::ScheduleNextDrain() {
  while (!waiting_gangs.empty()) {
    const auto [slot, generation] = waiting_gangs.front();
    waiting_gangs.pop_front();
    if (!queue.IsLive(slot, generation)) continue;
    const time_point at = std::max(last_now, next_gang_drain);
    timers.Push({at, timer_kind::kDrainStart, slot, generation});
    return;
  }
}

void pool::state::EndDrainOf(queue_slot slot) {
  for (std::size_t i = drains.size(); i-- > 0;) {
    if (drains[i].slot == slot) EndDrain(i);
  }
}

void pool::state::EndLateDrains(time_point now) {
  for (std::size_t i = drains.size(); i-- > 0;) {
    if (drains[i].until > now) continue;
    const host_drain late = drains[i];
    if (late.gang) {
      next_gang_drain = now + kPauseBetweenDrains;
      timers.Push(
          {next_gang_drain + kDrainRetry, timer_kind::kDrainStart, late.slot, late.generation});
    }
    EndDrain(i);
  }
}

std::size_t pool::state::DrainableHosts() const {
  std::size_t hosts = 0;
  for (const auto& [capacity, count] : shapes) hosts += static_cast<std::size_t>(count);
  return hosts < kMinHostsToDrain ? 0 : hosts;
}

// When the host should be empty: time_point::max() if it runs work that ends much later and may
// not be preempted, since draining it is useless then.
time_point pool::state::EmptyAt(host_slot host, time_point now) const {
  time_point latest = now;
  for (reservation_slot w = ledger.Host(host).first; w != kNoSlot;
       w = ledger.ReservationAt(w).next) {
    const reservation& work = ledger.ReservationAt(w);
    if (IsVictim(work)) continue;
    if (work.expected_end > now + kLongestDrain) return time_point::max();
    latest = std::max(latest, work.expected_end);
  }
  return latest;
}

// Hosts that could hold some of the item's tasks, those with the most room for them first.
std::vector<pool::state::drain_candidate> pool::state::DrainCandidates(
    const resources& size) const {
  std::vector<drain_candidate> candidates;
  for (host_slot host = 0; host < index.Size(); ++host) {
    const indexed_host& at = index.At(host);
    if (at.group != host_group::kPlain && at.group != host_group::kAccelerator) continue;
    const std::int64_t tasks = TimesIn(at.capacity, size);
    if (tasks == 0) continue;
    const auto fitting = static_cast<double>(TimesIn(at.free, size));
    candidates.push_back({fitting / static_cast<double>(tasks), host, tasks, {}});
  }
  const auto middle =
      candidates.begin() + std::min<std::ptrdiff_t>(kMaxHostsLookedAt, std::ssize(candidates));
  std::partial_sort(candidates.begin(), middle, candidates.end(),
                    [](const drain_candidate& a, const drain_candidate& b) {
                      return a.free != b.free ? a.free > b.free : a.host < b.host;
                    });
  candidates.erase(middle, candidates.end());
  return candidates;
}

// The hosts that should be empty first, at most the class's share of all hosts.
std::vector<host_slot> pool::state::HostsToDrain(const queue_item& entry, time_point now) const {
  std::vector<drain_candidate> candidates = DrainCandidates(entry.item.size);
  for (drain_candidate& candidate : candidates) candidate.empty = EmptyAt(candidate.host, now);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const drain_candidate& a, const drain_candidate& b) { return a.empty < b.empty; });
  const double share = shares.Class(entry.work_class).rule.share;
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(share * static_cast<double>(DrainableHosts())));
  std::vector<host_slot> hosts;
  std::int64_t tasks = 0;
  for (const drain_candidate& candidate : candidates) {
    if (tasks >= entry.item.count || hosts.size() >= limit) break;
    if (candidate.empty == time_point::max()) break;
    hosts.push_back(candidate.host);
    tasks += candidate.tasks;
  }
  return hosts;
}

void pool::state::StartGangDrain(queue_slot slot, time_point now) {
  queue_item& entry = queue.At(slot);
  const bool busy =
      std::any_of(drains.begin(), drains.end(), [](const host_drain& drain) { return drain.gang; });
  const bool may = MayPlace(entry.item, entry.work_class, entry.tenant) == wait_reason::kNone;
  if (busy || !may || now < next_gang_drain || DrainableHosts() == 0) {
    timers.Push({now + kDrainRetry, timer_kind::kDrainStart, slot, entry.generation});
    return;
  }
  const std::vector<host_slot> hosts = HostsToDrain(entry, now);
  if (hosts.empty()) {
    timers.Push({now + kDrainRetry, timer_kind::kDrainStart, slot, entry.generation});
    return;
  }
  AddDrain(slot, true, hosts, now + kLongestDrain);
  entry.next_gang_attempt = now;
  entry.gang_attempts = 0;
}

bool pool::state::MayDrainForTask() const {
  const auto hosts = static_cast<double>(DrainableHosts());
  if (hosts == 0) return false;
  return static_cast<double>(drains.size()) < std::max(1.0, kMaxDrainedForTasks * hosts);
}

bool pool::state::IsLarge(const resources& size) const {
  return std::all_of(shapes.begin(), shapes.end(), [&size](const auto& shape) {
    return TimesIn(shape.first, size) <= kLargeTask;
  });
}

// Small work takes every bit of room that large work of the same class waits for, so the oldest
// large task of each class gets a host drained.
void pool::state::DrainForLargeTasks(time_point now) {
  if (now < next_large_drain) return;
  for (class_index c = 0; c < shares.Classes().size(); ++c) {
    const queue_slot slot = queue.Oldest(c);
    if (slot == kNoSlot || !MayDrainForTask()) continue;
    const queue_item& entry = queue.At(slot);
    if (now - entry.enqueued < kDrainForTaskAfter || entry.item.count > 1) continue;
    if (HasDrain(slot)) continue;
    if (!IsLarge(entry.item.size) || !MayDrain(entry)) continue;
    next_large_drain = now + kDrainRetry;
    const std::vector<host_slot> hosts = HostsToDrain(entry, now);
    if (hosts.empty()) continue;
    AddDrain(slot, false, {hosts.data(), 1}, now + kLongestDrain);
  }
}

time_point pool::state::NextLargeTask() const {
  time_point next = time_point::max();
  for (class_index c = 0; c < shares.Classes().size(); ++c) {
    const queue_slot slot = queue.Oldest(c);
    if (slot == kNoSlot) continue;
    const time_point due = std::max(queue.At(slot).enqueued + kDrainForTaskAfter, next_large_drain);
    if (due > last_now) next = std::min(next, due);
  }
  return next;
}

double pool::state::ShareAfterPreemption(class_index work_class) const {
  const resources leaving = work_class < preempting.size() ? preempting[work_class] : resources();
  return DominantShare(shares.Class(work_class).held - leaving, shares.Capacity());
}

class_index pool::state::MostOverShare() const {
  class_index most = kNoSlot;
  double largest = 0;
  for (class_index c = 0; c < shares.Classes().size(); ++c) {
    const double over = ShareAfterPreemption(c) - shares.Class(c).rule.share;
    if (over <= largest || ledger.NewestPreemptible(c) == kNoSlot) continue;
    largest = over;
    most = c;
  }
  return most;
}

bool pool::state::IsVictim(const reservation& work) const {
  return work.preemptible && !work.preempting && !work.held &&
         ShareAfterPreemption(work.work_class) > shares.Class(work.work_class).rule.share;
}

bool pool::state::CanMakeRoom(host_slot host, const resources& size) const {
  const host_group group = GroupOf(host);
  if (group == host_group::kUnavailable || group == host_group::kDrained) return false;
  resources room = ledger.Free(host);
  for (reservation_slot w = ledger.Host(host).first; w != kNoSlot;
       w = ledger.ReservationAt(w).next) {
    if (IsVictim(ledger.ReservationAt(w))) room += ledger.ReservationAt(w).taken;
  }
  return room.CanFit(size);
}

// Preempts the most recent victims on the host until `size` will fit.
void pool::state::MakeRoom(host_slot host, const resources& size, std::vector<pool_action>& out) {
  resources room = ledger.Free(host);
  preempting.resize(std::max(preempting.size(), shares.Classes().size()));
  for (reservation_slot w = ledger.Host(host).first; w != kNoSlot;
       w = ledger.ReservationAt(w).next) {
    if (room.CanFit(size)) return;
    const reservation& work = ledger.ReservationAt(w);
    if (work.preempting) room += work.taken;
    if (!IsVictim(work)) continue;
    room += work.taken;
    ledger.MarkPreempting(w);
    preempting[work.work_class] += work.size;
    out.emplace_back(preemption_wanted{work.id, ledger.Host(host).id});
  }
}

bool pool::state::PreemptForGang(queue_slot slot, std::vector<pool_action>& out) {
  const resources size = queue.At(slot).item.size;
  const auto drain = std::find_if(drains.begin(), drains.end(),
                                  [slot](const host_drain& entry) { return entry.slot == slot; });
  if (drain == drains.end()) return false;
  std::int64_t tasks = queue.At(slot).item.count;
  for (const host_slot host : drain->hosts) {
    const std::int64_t fits = std::min(tasks, TimesIn(ledger.Host(host).capacity, size));
    if (fits <= 0) break;
    MakeRoom(host, Multiply(size, static_cast<std::uint32_t>(fits)), out);
    tasks -= fits;
  }
  return true;
}

bool pool::state::PreemptForItem(queue_slot slot, time_point now, std::vector<pool_action>& out) {
  const queue_item& entry = queue.At(slot);
  if (entry.item.count > 1) return PreemptForGang(slot, out);
  const class_index over = MostOverShare();
  if (over == kNoSlot || over == entry.work_class) return false;
  reservation_slot victim = ledger.NewestPreemptible(over);
  for (int n = 0; n < kMaxVictimsLookedAt && victim != kNoSlot; ++n) {
    const reservation& work = ledger.ReservationAt(victim);
    const host_slot host = work.host;
    victim = work.next_preemptible;
    if (!IsVictim(work) || !CanMakeRoom(host, entry.item.size)) continue;
    if (std::find(entry.avoid.begin(), entry.avoid.end(), host) != entry.avoid.end()) continue;
    MakeRoom(host, entry.item.size, out);
    const auto limit =
        static_cast<std::size_t>(kMaxDrainedForTasks * static_cast<double>(DrainableHosts()));
    if (drains.size() < limit) AddDrain(slot, false, {&host, 1}, now + kPreemptAgain);
    return true;
  }
  return false;
}

void pool::state::Preempt(time_point now, std::vector<pool_action>& out) {
  if (std::holds_alternative<fifo>(options.order)) return;
  for (class_index c = 0; c < shares.Classes().size(); ++c) {
    if (shares.Class(c).waiting == 0 || shares.Class(c).Deficit() <= 0) continue;
    resources asked = shares.Class(c).held;
    queue_slot slot = queue.Oldest(c);
    for (int n = 0; n < kPreemptWindow && slot != kNoSlot; ++n) {
      queue_item& entry = queue.At(slot);
      const queue_slot next = queue.NextInClass(slot);
      const bool enough = DominantShare(asked, shares.Capacity()) >= shares.Class(c).rule.share;
      if (entry.next_preempt <= now) {
        entry.preemption_asked = !enough && PreemptForItem(slot, now, out);
        entry.next_preempt =
            now +
            (entry.preemption_asked ? kPreemptAgain : std::max(options.preempt_after, kDrainRetry));
      }
      if (entry.preemption_asked) asked += Multiply(entry.item.size, entry.item.count);
      slot = next;
    }
  }
}

time_point pool::state::NextPreemption() const {
  time_point next = time_point::max();
  if (std::holds_alternative<fifo>(options.order)) return next;
  for (class_index c = 0; c < shares.Classes().size(); ++c) {
    if (shares.Class(c).waiting == 0 || shares.Class(c).Deficit() <= 0) continue;
    queue_slot slot = queue.Oldest(c);
    for (int n = 0; n < kPreemptWindow && slot != kNoSlot; ++n) {
      next = std::min(next, queue.At(slot).next_preempt);
      slot = queue.NextInClass(slot);
    }
  }
  return next;
}

}  // namespace sycamorehinge
