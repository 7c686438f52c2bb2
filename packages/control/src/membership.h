// Membership in the store's group, and who of its members should own the cell.
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

// Who of the listed members should own the cell.
enum class standing {
  kPreferred,
  kOther,
  // This process is not listed, so the list says nothing about it: new members are listed late.
  kUnlisted,
};

struct membership_handlers {
  // Members of the group. `asked` is the time at which the store was asked.
  std::function<void(const std::vector<member_info>&, standing own, time_point asked)> on_members;
};

class membership : public std::enable_shared_from_this<membership> {
 public:
  membership(const ports& port, membership_options options, member_info self,
             membership_handlers handlers);

  void Start();
  // Leaves the group; no handler runs afterwards.
  void Leave();
  // The owner cannot write: offers the cell to the next member if the store is out of reach.
  void OfferCell();
  // `member` owns the cell and cannot reach the store.
  void OnOffer(const std::string& member);
  // Comes back as the youngest member, so that the cell stays with its new owner.
  void YieldCell();

 private:
  void Measure(std::uint32_t tries);
  void KeepJoining();
  void Return();
  void Rename();
  void Join();
  void OnJoined(const result<std::uint64_t>& generation, time_point asked);
  void SendOffer();
  void AskMembers();
  void OnMembers(const result<std::vector<std::string>>& names, time_point asked);
  standing Judge(const std::vector<member_info>& members) const;

  const ports& port_;
  const membership_options options_;
  const membership_handlers handlers_;

  std::mutex mutex_;
  member_info self_;
  bool left_ = false;
  std::uint64_t generation_ = 0;
  time_point joined_at_;
  time_point members_asked_;
  // Reads of the members that are due because the group changes.
  std::uint32_t reads_due_ = 0;
  // The newest entry of each machine, as last listed.
  std::vector<member_info> members_;
  // Owner that offered the cell; it is passed over until the offer ends.
  std::string offered_by_;
  time_point offer_ends_;
  // Took another name since the last answer to a join.
  bool renamed_ = false;
  // Before this time the process does not take the cell.
  time_point claims_from_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_MEMBERSHIP_H_
