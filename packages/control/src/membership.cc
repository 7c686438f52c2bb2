#include "membership.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge::control {

namespace {

constexpr duration kMeasureRetry = std::chrono::milliseconds(200);
// A lost packet or a busy start makes a near store look far, so a far one is measured again.
constexpr std::uint32_t kMeasurements = 3;
// Partitions move to a new member only after the old one has joined again, so the members are read
// some more times after a change.
constexpr std::uint32_t kReadsAfterChange = 3;
// Intervals of joins in which the other members come back after an outage.
constexpr std::int64_t kIntervalsToReturn = 2;

}  // namespace

membership::membership(const ports& port, membership_options options, member_info self,
                       membership_handlers handlers)
    : port_(port), options_(options), handlers_(std::move(handlers)), self_(std::move(self)) {}

void membership::Start() { Measure(kMeasurements); }

// The name of a member tells its distance, so that is measured before the first join. The time of
// a connection tells it also while the store answers slowly.
void membership::Measure(std::uint32_t tries) {
  port_.distance([self = shared_from_this(), tries](const result<duration>& time) {
    if (!time) {
      self->port_.at(self->port_.now() + kMeasureRetry, [self, tries] { self->Measure(tries); });
      return;
    }
    const bool near = *time < self->options_.near;
    if (!near && tries > 1) return self->Measure(tries - 1);
    {
      const std::lock_guard lock(self->mutex_);
      self->self_.rank = near ? 0 : 1;
    }
    self->KeepJoining();
  });
}

// Joins do not wait for each other: an answer that is late or lost must not cost the membership.
void membership::KeepJoining() {
  const time_point now = port_.now();
  bool away = false;
  {
    const std::lock_guard lock(mutex_);
    if (left_) return;
    away = joined_at_ != time_point() && now - joined_at_ > options_.ttl;
  }
  port_.at(now + options_.join_interval, [self = shared_from_this()] { self->KeepJoining(); });
  if (away) return Return();
  Join();
}

// The store may have dropped a member whose joins had no answer for so long. An owner that nobody
// has replaced comes back under its name, everyone else as the youngest member, so that the cell
// stays where it is.
void membership::Return() {
  const time_point asked = port_.now();
  port_.read(stream_name::kDirectory, from_newest{},
             [self = shared_from_this(), asked](const result<stream_page>& page) {
               if (!page) return;
               const bool owns = std::any_of(
                   page->records.begin(), page->records.end(), [&](const stream_record& record) {
                     return record.key == kOwnerKey && record.value == self->self_.address;
                   });
               {
                 const std::lock_guard lock(self->mutex_);
                 if (self->joined_at_ >= asked) return;
                 if (!owns && !self->renamed_) self->Rename();
               }
               self->Join();
             });
}

void membership::Rename() {
  renamed_ = true;
  self_.started_ms = port_.wall_ms();
  // The owner may join a little later than this process.
  claims_from_ = port_.now() + options_.join_interval * kIntervalsToReturn;
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
    joined_at_ = asked;
    renamed_ = false;
    if (*generation != generation_) reads_due_ = kReadsAfterChange;
    generation_ = *generation;
    const bool due = reads_due_ > 0 || asked - members_asked_ >= options_.refresh;
    if (!due) return;
    if (reads_due_ > 0) --reads_due_;
  }
  AskMembers();
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
    preferred = best == MemberName(self_) && port_.now() >= claims_from_;
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
