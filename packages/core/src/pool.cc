#include "sycamorehinge/core/pool.h"

#include <algorithm>

#include "pool_state.h"

namespace sycamorehinge {

namespace {

constexpr duration kNoRoomRetry = std::chrono::milliseconds(10);
constexpr duration kQueueFullRetry = std::chrono::seconds(1);

}  // namespace

void pool::state::On(const work_offered& event, time_point now, std::vector<pool_action>& out) {
  const attempt_id& id = event.item.id;
  if (queue.Find(id) != kNoSlot || ledger.Find(id) != kNoSlot) return;
  queue_item entry = EntryOf(event.item, now);
  const errc code = CheckOffer(entry, now);
  if (code != errc::kOk) {
    out.emplace_back(work_refused{id, code, duration(0)});
    return;
  }
  // Room that is free now is of no use to the work that already waits, or it would have it.
  not_fitting.clear();
  const bool first = std::holds_alternative<fair_shares>(options.order) || queue.Size() == 0;
  if (first && MayPlace(entry.item, entry.work_class, entry.tenant) == wait_reason::kNone &&
      Choose(entry, now)) {
    Place(entry, now, duration(0), out);
    return;
  }
  if (queue.Size() >= options.max_waiting) {
    out.emplace_back(work_refused{id, errc::kOverloaded, kQueueFullRetry});
    return;
  }
  const admission_decision verdict =
      admit.Check(entry.item, entry.work_class, entry.tenant, now, shares);
  if (verdict.code != errc::kOk) {
    out.emplace_back(work_refused{id, verdict.code, verdict.retry_after});
    return;
  }
  Enqueue(std::move(entry), now);
}

void pool::state::On(const work_withdrawn& event, time_point now, std::vector<pool_action>& out) {
  const queue_slot slot = queue.Find(event.id);
  if (slot == kNoSlot) return;
  const std::size_t before = drains.size();
  Dequeue(slot);
  if (drains.size() != before) Dispatch(now, out);
}

void pool::state::On(const hold_requested& event, time_point now, std::vector<pool_action>& out) {
  const attempt_id& id = event.item.id;
  const queue_item entry = EntryOf(event.item, now);
  const bool known = queue.Find(id) != kNoSlot || ledger.Find(id) != kNoSlot;
  not_fitting.clear();
  if (!known && CheckOffer(entry, now) == errc::kOk &&
      MayPlace(entry.item, entry.work_class, entry.tenant) == wait_reason::kNone &&
      Choose(entry, now)) {
    Place(entry, now, std::max(event.hold_time, duration(1)), out);
    return;
  }
  const duration wait = admit.ExpectedWait(entry.work_class, shares);
  out.emplace_back(work_refused{id, errc::kNoRoom, std::max(wait, kNoRoomRetry)});
}

void pool::state::On(const hold_confirmed& event, time_point, std::vector<pool_action>&) {
  const reservation_slot work = ledger.Find(event.id);
  if (work != kNoSlot) ledger.Confirm(work);
}

void pool::state::On(const hold_released& event, time_point now, std::vector<pool_action>& out) {
  const reservation_slot work = ledger.Find(event.id);
  if (work == kNoSlot) return;
  FreeWork(work);
  Dispatch(now, out);
}

void pool::state::On(const rules_changed& event, time_point now, std::vector<pool_action>& out) {
  rules = event.document;
  if (!rules) return;
  shares.SetRules(*rules);
  queue.ReorderAll(shares);
  Dispatch(now, out);
}

pool::pool(pool_options options) : state_(std::make_unique<state>(options)) {}
pool::~pool() = default;
pool::pool(pool&&) noexcept = default;
pool& pool::operator=(pool&&) noexcept = default;

void pool::Handle(const pool_event& event, time_point now, std::vector<pool_action>& out) {
  state_->last_now = std::max(state_->last_now, now);
  std::visit([&](const auto& e) { state_->On(e, now, out); }, event);
  state_->DropStaleTimers();
}

time_point pool::NextTick() const { return state_->Next(); }

std::optional<placement> pool::PlaceOf(const attempt_id& id) const {
  const reservation_slot work = state_->ledger.Find(id);
  if (work == kNoSlot) return std::nullopt;
  const ledger_host& host = state_->ledger.Host(state_->ledger.ReservationAt(work).host);
  return placement{host.id, host.term};
}

}  // namespace sycamorehinge
