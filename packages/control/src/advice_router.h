// Chooses the machine that asks the policy service, which serves one call at a time for each.
#ifndef SYCAMOREHINGE_CONTROL_SRC_ADVICE_ROUTER_H_
#define SYCAMOREHINGE_CONTROL_SRC_ADVICE_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "sycamorehinge/control/calls.h"

namespace sycamorehinge::control {

class advice_router {
 public:
  // Round trips to machines elsewhere, counted as if they were load.
  static constexpr duration kZoneTrip = std::chrono::milliseconds(4);
  static constexpr duration kRegionTrip = std::chrono::milliseconds(60);
  // Longer calls go to machines elsewhere where they can: they would hold up short ones, and a long
  // round trip matters less to them.
  static constexpr duration kLongCall = std::chrono::milliseconds(150);
  static constexpr duration kLongCallHere = std::chrono::milliseconds(500);
  // A machine that gave no answer is left out for this long, doubled each time up to the longest.
  static constexpr duration kPause = std::chrono::seconds(1);
  static constexpr duration kLongestPause = std::chrono::seconds(8);
  // A machine whose calls were too many for the service gets none for this long.
  static constexpr duration kOverloadPause = std::chrono::milliseconds(400);
  // The service refuses a machine with 32 calls waiting, and an answer this late is of no use.
  static constexpr std::uint32_t kMostCalls = 20;
  static constexpr duration kMostBacklog = std::chrono::milliseconds(1300);

  explicit advice_router(member_info self);

  // The processes that are alive.
  void SetMembers(std::span<const member_info> members);

  // The machine that should have the answer first; `cost` is added to its load. nullopt if all have
  // as much to do as they can.
  std::optional<member_info> Choose(duration cost, time_point now);
  // The call ended with kOk, kOverloaded or another error.
  void Finished(std::string_view name, errc code, time_point now);

 private:
  struct entry {
    member_info member;
    duration trip{};
    // Time at which its calls so far are answered.
    time_point busy_until;
    time_point left_out_until;
    duration pause{};
    std::uint32_t open = 0;
  };

  void SetMember(const member_info& member);
  duration Trip(const member_info& member) const;

  const member_info self_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_ADVICE_ROUTER_H_
