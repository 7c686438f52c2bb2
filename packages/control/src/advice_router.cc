#include "advice_router.h"

#include <algorithm>

#include "sycamorehinge/cell/actions.h"

namespace sycamorehinge::control {

advice_router::advice_router(member_info self) : self_(std::move(self)) { SetMember(self_); }

duration advice_router::RoundTrip(const member_info& member) const {
  if (member.name == self_.name) return {};
  if (member.region == self_.region) return kSameRegionRoundTrip;
  return kOtherRegionRoundTrip;
}

void advice_router::SetMember(const member_info& member) {
  entry& row = entries_[member.name];
  const bool restarted = row.member.address != member.address;
  row.member = member;
  row.round_trip = RoundTrip(member);
  if (restarted) row.paused_until = {};
}

void advice_router::SetMembers(std::span<const member_info> members) {
  std::erase_if(entries_, [&](const auto& row) {
    return row.first != self_.name &&
           std::none_of(members.begin(), members.end(),
                        [&](const member_info& member) { return member.name == row.first; });
  });
  for (const member_info& member : members) SetMember(member);
}

std::optional<member_info> advice_router::Choose(duration cost, time_point now) {
  const bool is_long = cost >= cell::kLongAdviceRequest;
  const auto with_long_calls = static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [&](const auto& row) { return now < row.second.long_until; }));
  const bool may_add = with_long_calls < cell::MachinesForLongRequests(entries_.size());
  entry* best = nullptr;
  time_point best_time;
  for (auto& [name, row] : entries_) {
    if (now < row.paused_until || row.open_calls >= kMaxOpenCalls) continue;
    if (row.busy_until > now + kMaxBacklog) continue;
    if (is_long && !may_add && now >= row.long_until) continue;
    const bool same_region = row.member.region == self_.region;
    const duration penalty = is_long && same_region ? kLongCallLocalPenalty : duration();
    const time_point ready = std::max(row.busy_until, now) + row.round_trip + penalty;
    if (best && ready >= best_time) continue;
    best = &row;
    best_time = ready;
  }
  if (!best) return std::nullopt;
  best->busy_until = std::max(best->busy_until, now) + cost;
  if (is_long) best->long_until = best->busy_until;
  ++best->open_calls;
  return best->member;
}

void advice_router::OnFinished(std::string_view name, errc code, time_point now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  entry& row = found->second;
  if (row.open_calls > 0) --row.open_calls;
  switch (code) {
    case errc::kOk:
      row.pause = {};
      return;
    case errc::kOverloaded:
      row.paused_until = now + kOverloadPause;
      return;
    default:
      row.pause = std::clamp(row.pause * 2, kMinPause, kMaxPause);
      row.paused_until = now + row.pause;
  }
}

}  // namespace sycamorehinge::control
