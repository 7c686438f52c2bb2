#include "membership.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge::control {

namespace {

constexpr duration kProbeRetry = std::chrono::milliseconds(200);
// Partitions move to a new member only after the old one has joined again, so the members are read
// some more times after a change.
constexpr std::uint32_t kReadsAfterChange = 3;

}  // namespace

membership::membership(const ports& port, membership_options options, member_info self,
                       membership_handlers handlers)
    : port_(port), options_(options), handlers_(std::move(handlers)), self_(std::move(self)) {}

void membership::Start() { Probe(); }

// The name of a member tells its distance, so that is measured before the first join.
void membership::Probe() {
  const time_point asked = port_.now();
  port_.read(stream_name::kDirectory, from_newest{},
             [self = shared_from_this(), asked](const result<stream_page>& page) {
               if (!page) {
                 self->port_.at(self->port_.now() + kProbeRetry, [self] { self->Probe(); });
                 return;
               }
               const duration trip = self->port_.now() - asked;
               {
                 const std::lock_guard lock(self->mutex_);
                 self->self_.rank = trip < self->options_.near ? 0 : 1;
               }
               self->Join();
             });
}

void membership::Join() {
  std::string member;
  std::uint64_t generation = 0;
  {
    const std::lock_guard lock(mutex_);
    if (left_) return;
    member = MemberName(self_);
    generation = generation_;
  }
  const time_point asked = port_.now();
  // Joins do not wait for each other: an answer that is late or lost must not cost the membership.
  port_.at(asked + options_.join_interval, [self = shared_from_this()] { self->Join(); });
  port_.join(member, generation, options_.ttl,
             [self = shared_from_this(), asked](const result<std::uint64_t>& joined) {
               self->OnJoined(joined, asked);
             });
}

void membership::OnJoined(const result<std::uint64_t>& generation, time_point asked) {
  if (!generation) return;
  {
    const std::lock_guard lock(mutex_);
    // Answers may overtake each other.
    if (left_ || asked < joined_at_) return;
    // The store has dropped a member that was away for so long; it comes back as the youngest, so
    // that the cell stays where it is.
    const bool dropped = joined_at_ != time_point() && asked - joined_at_ > options_.ttl;
    if (dropped) self_.started_ms = port_.wall_ms();
    joined_at_ = asked;
    if (*generation != generation_) reads_due_ = kReadsAfterChange;
    generation_ = *generation;
    JudgeDistance(port_.now() - asked);
    const bool due = reads_due_ > 0 || asked - members_asked_ >= options_.refresh;
    if (!due) return;
    if (reads_due_ > 0) --reads_due_;
  }
  AskMembers();
}

// A process that took a slow store for a far one joins under another name later.
void membership::JudgeDistance(duration trip) {
  if (trip < options_.slow) least_trip_ = std::min(least_trip_, trip);
  if (++trips_ < options_.judge_after) return;
  trips_ = 0;
  const duration least = std::exchange(least_trip_, duration::max());
  if (least == duration::max()) return;
  const std::uint32_t rank = least < options_.near ? 0 : 1;
  if (rank == self_.rank) return;
  port_.leave(MemberName(self_), [] {});
  self_.rank = rank;
}

void membership::AskMembers() {
  const time_point asked = port_.now();
  port_.members([self = shared_from_this(), asked](const result<std::vector<std::string>>& names) {
    self->OnMembers(names, asked);
  });
}

void membership::OnMembers(const result<std::vector<std::string>>& names, time_point asked) {
  std::vector<member_info> members;
  bool preferred = false;
  {
    const std::lock_guard lock(mutex_);
    if (left_ || asked < members_asked_) return;
    if (!names) {
      reads_due_ = std::max(reads_due_, 1U);
      return;
    }
    members_asked_ = asked;
    std::string best;
    for (const std::string& name : *names) {
      result<member_info> member = ParseMemberName(name);
      if (!member) continue;
      members.push_back(std::move(*member));
      if (best.empty() || name < best) best = name;
    }
    preferred = best == MemberName(self_);
  }
  handlers_.on_members(members, preferred, asked);
}

void membership::Leave() {
  std::string member;
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(left_, true)) return;
    member = MemberName(self_);
  }
  port_.leave(member, [] {});
}

}  // namespace sycamorehinge::control
