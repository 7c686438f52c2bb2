// Chooses the machine that sends a request to the policy service. The service handles one call at a
// time for each client machine, so requests are spread over the machines of the group.
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
  // Round trip to another machine; added to its queueing time when machines are compared.
  static constexpr duration kSameRegionRoundTrip = std::chrono::milliseconds(4);
  static constexpr duration kOtherRegionRoundTrip = std::chrono::milliseconds(60);
  // Long calls prefer machines in other regions: they would delay short calls here, and a long
  // round trip matters less to them. The penalty is added to machines in this region.
  static constexpr duration kLongCallLocalPenalty = std::chrono::milliseconds(500);
  // Backoff for a machine that gave no answer; doubles with each failure in a row.
  static constexpr duration kMinPause = std::chrono::seconds(1);
  static constexpr duration kMaxPause = std::chrono::seconds(8);
  // Backoff for a machine whose calls the service refused as overload.
  static constexpr duration kOverloadPause = std::chrono::milliseconds(400);
  // The service refuses calls of a machine that has 32 waiting.
  static constexpr std::uint32_t kMaxOpenCalls = 20;
  // An answer that waits longer in the queue comes too late to be used.
  static constexpr duration kMaxBacklog = std::chrono::milliseconds(1300);

  explicit advice_router(member_info self);

  // Sets the live processes; state of those no longer listed is dropped.
  void SetMembers(std::span<const member_info> members);

  // Returns the machine with the earliest expected answer and adds `cost` to its load; nullopt if
  // all machines are at their limits or paused. Long calls keep off some of the machines.
  std::optional<member_info> Choose(duration cost, time_point now);
  // Records the end of a call; any error other than kOverloaded counts as no answer.
  void OnFinished(std::string_view name, errc code, time_point now);

 private:
  struct entry {
    member_info member;
    duration round_trip{};
    // Expected time of the answer to the last call given to it.
    time_point busy_until;
    // Expected time of the answer to the last long call given to it.
    time_point long_until;
    time_point paused_until;
    duration pause{};
    std::uint32_t open_calls = 0;
  };

  void SetMember(const member_info& member);
  duration RoundTrip(const member_info& member) const;

  const member_info self_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_ADVICE_ROUTER_H_
