// Membership in the store's group of candidates for the cell, and the choice of the one that should
// own it.
//
// The group says only which candidates live. Who owns the cell stands in the directory. So the name
// of a member does not change while its process lives, nor when it restarts: the store lists a
// member only once it holds a partition of the group's topics, and a new name has to wait until
// others give one up. For the same reason only a few processes join, whatever the size of the
// fleet.
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
  // A new list of candidates; `requested_at` is the time of the request.
  std::function<void(const std::vector<member_info>&, owner_candidacy candidacy,
                     time_point requested_at)>
      on_members;
  // No renewal sent in the last `age`, which is longer than the time to live, has been answered.
  std::function<void(duration age)> on_overdue;
  // Another member than before is preferred as the owner.
  std::function<void(std::string_view address, std::string_view cause)> on_preferred;
  // The list holds a name that cannot be parsed.
  std::function<void(std::string_view name)> on_unreadable;
};

class membership : public std::enable_shared_from_this<membership> {
 public:
  membership(const ports& port, membership_options options, member_info self,
             membership_handlers handlers);

  void Start();
  // Leaves the group; no handler runs afterwards. Offers the cell to the next candidate first if
  // this process was preferred as its owner.
  void Leave();
  // Name of this process in the group and in its claims.
  std::string Name() const;
  // Called when the owner's appends stall: offers the cell to the next candidate in order unless
  // the store still answers reads.
  void OfferCell();
  // Handles an offer of `member`, which owns the cell and cannot reach the store or is leaving.
  void OnOffer(const std::string& member);
  // Handles a claim of the cell, of this process or another one.
  void OnClaim(const std::string& member, std::uint64_t epoch);
  // Called when a newer owner has fenced this process, which owned the cell under `epoch`: it
  // claims the cell again only after a while, and once it knows the claim of that owner.
  void YieldCell(std::uint64_t epoch);
  // Reports whether the owner answers this process. The list is read more often while it does not.
  void SetOwnerAnswers(bool answers);

 private:
  void MeasureConnectTime(std::uint32_t tries_left);
  void Tick();
  void Join();
  void OnJoined(const result<std::uint64_t>& generation, time_point requested_at);
  void ReadMembers();
  void OnMembers(const result<std::vector<std::string>>& names, time_point requested_at);
  std::vector<member_info> Parse(const std::vector<std::string>& names) const;
  bool ShouldBeCandidate(const std::vector<member_info>& members) const;
  owner_candidacy Evaluate(const std::vector<member_info>& members, std::string& best);
  bool KnowsNewestClaim() const;
  bool IsBriefGap(const std::string& owner, bool listed);
  std::string_view CauseOfChange(const std::vector<member_info>& members) const;
  void SendOffer();

  const ports& port_;
  const membership_options options_;
  const membership_handlers handlers_;

  mutable std::mutex mutex_;
  member_info self_;
  bool left_ = false;
  // This process is a candidate and joins the group.
  bool joined_ = false;
  bool owner_answers_ = false;
  std::uint64_t generation_ = 0;
  time_point joined_at_;
  time_point members_requested_at_;
  time_point members_read_at_;
  // Remaining extra reads of the members after a change of the group.
  std::uint32_t reads_due_ = 0;
  std::vector<member_info> members_;
  // Name of the preferred member in the last list.
  std::string preferred_;
  struct claim {
    std::uint64_t epoch = 0;
    // Name of the claimant; empty if no claim is known.
    std::string member;
  };
  // Newest claim in the directory, of this process or another one.
  claim newest_claim_;
  // Since when the preferred owner has been missing from the list; zero if it is listed.
  time_point missing_since_;
  // Owner that offered the cell; it is not preferred until the offer ends.
  std::string offered_by_;
  time_point offer_ends_;
  // The time to live of the membership was over before the last join was answered.
  bool lapsed_ = false;
  // This process does not claim the cell before this time.
  time_point earliest_claim_;
  // A claim newer than this one is in the directory, although it may not have been read yet.
  std::uint64_t superseded_epoch_ = 0;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_MEMBERSHIP_H_
