// Membership in the store's group, and the choice of the member that should own the cell.
#ifndef SYCAMOREHINGE_CONTROL_SRC_MEMBERSHIP_H_
#define SYCAMOREHINGE_CONTROL_SRC_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sycamorehinge/control/membership_options.h"
#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control {

// Whether this process should own the cell, judged by the list of members.
enum class owner_candidacy {
  kPreferred,
  kOther,
  // This process is not listed. The list is inconclusive, since new members appear in it late.
  kUnlisted,
};

struct membership_handlers {
  // A new list of members; `requested_at` is the time of the request.
  std::function<void(const std::vector<member_info>&, owner_candidacy candidacy,
                     time_point requested_at)>
      on_members;
  // No renewal sent in the last `age`, which is longer than the time to live, has been answered.
  std::function<void(duration age)> on_overdue;
  // Another member than before is preferred as the owner.
  std::function<void(std::string_view address, std::string_view cause)> on_preferred;
};

class membership : public std::enable_shared_from_this<membership> {
 public:
  membership(const ports& port, membership_options options, member_info self,
             membership_handlers handlers);

  void Start();
  // Leaves the group; no handler runs afterwards.
  void Leave();
  // Called when the owner's appends stall: offers the cell to the next member in order unless the
  // store still answers reads.
  void OfferCell();
  // Handles an offer of `member`, which owns the cell and cannot reach the store.
  void OnOffer(const std::string& member);
  // Called when this process has claimed the cell under `epoch`: prefers it to the other members of
  // its rank.
  void ClaimCell(std::uint64_t epoch);
  // Called when this process gives up the cell to a member that is preferred.
  void ReleaseCell();
  // Called when a newer owner has fenced this process: moves it to the end of the order of
  // preference.
  void YieldCell();

 private:
  void MeasureConnectTime(std::uint32_t tries_left);
  void JoinPeriodically();
  void Join();
  void OnJoined(const result<std::uint64_t>& generation, time_point requested_at);
  void SendOffer();
  void ReadMembers();
  void OnMembers(const result<std::vector<std::string>>& names, time_point requested_at);
  owner_candidacy Evaluate(const std::vector<member_info>& members, std::string& best) const;
  std::string_view CauseOfChange(const std::vector<member_info>& members) const;

  const ports& port_;
  const membership_options options_;
  const membership_handlers handlers_;

  std::mutex mutex_;
  member_info self_;
  bool left_ = false;
  std::uint64_t generation_ = 0;
  time_point joined_at_;
  time_point members_read_at_;
  // Remaining extra reads of the members after a change of the group.
  std::uint32_t reads_due_ = 0;
  // Newest entry of each machine in the last list.
  std::vector<member_info> members_;
  // Name of the preferred member in the last list.
  std::string preferred_;
  // Owner that offered the cell; it is not preferred until the offer ends.
  std::string offered_by_;
  time_point offer_ends_;
  // The start time in the own name was reset since the last answered join.
  bool start_time_reset_ = false;
  // The time to live of the membership was over before the last join was answered.
  bool lapsed_ = false;
  // This process does not claim the cell before this time.
  time_point earliest_claim_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_MEMBERSHIP_H_
