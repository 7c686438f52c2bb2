#include "advice_router.h"

#include <algorithm>

namespace sycamorehinge::control {

advice_router::advice_router(member_info self) : self_(std::move(self)) { SetMember(self_); }

duration advice_router::Trip(const member_info& member) const {
  if (member.name == self_.name) return {};
  if (member.region == self_.region) return kZoneTrip;
  return kRegionTrip;
}

void advice_router::SetMember(const member_info& member) {
  entry& row = entries_[member.name];
  const bool restarted = row.member.address != member.address;
  row.member = member;
  row.trip = Trip(member);
  if (restarted) row.left_out_until = {};
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
  entry* best = nullptr;
  time_point best_time;
  for (auto& [name, row] : entries_) {
    if (now < row.left_out_until || row.open >= kMostCalls) continue;
    if (row.busy_until > now + kMostBacklog) continue;
    const bool here = row.member.region == self_.region;
    const duration detour = cost >= kLongCall && here ? kLongCallHere : duration();
    const time_point ready = std::max(row.busy_until, now) + row.trip + detour;
    if (best && ready >= best_time) continue;
    best = &row;
    best_time = ready;
  }
  if (!best) return std::nullopt;
  best->busy_until = std::max(best->busy_until, now) + cost;
  ++best->open;
  return best->member;
}

void advice_router::Finished(std::string_view name, errc code, time_point now) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  entry& row = found->second;
  if (row.open > 0) --row.open;
  switch (code) {
    case errc::kOk:
      row.pause = {};
      return;
    case errc::kOverloaded:
      row.left_out_until = now + kOverloadPause;
      return;
    default:
      row.pause = std::clamp(row.pause * 2, kPause, kLongestPause);
      row.left_out_until = now + row.pause;
  }
}

}  // namespace sycamorehinge::control
