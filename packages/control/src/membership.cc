#include "membership.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <span>
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
constexpr duration kOfferTimeout = std::chrono::milliseconds(1000);
// An answer of the store within this time tells that it is well: it takes 4 ms, or 60 ms more from
// another region.
constexpr duration kPromptAnswer = std::chrono::milliseconds(200);
// Longer than the time to live of the old owner's entry.
constexpr duration kOfferHolds = std::chrono::milliseconds(3000);

// Entries of earlier processes of a machine stay listed for their time to live.
std::vector<member_info> NewestOfEachMachine(std::span<const std::string> names) {
  std::map<std::string, member_info> newest;
  for (const std::string& name : names) {
    result<member_info> member = ParseMemberName(name);
    if (!member) continue;
    const auto [row, added] = newest.try_emplace(member->name, *member);
    if (!added && row->second.started_ms < member->started_ms) row->second = std::move(*member);
  }
  std::vector<member_info> members;
  members.reserve(newest.size());
  for (auto& [machine, member] : newest) members.push_back(std::move(member));
  return members;
}

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
  standing own = standing::kUnlisted;
  {
    const std::lock_guard lock(mutex_);
    if (left_ || asked < members_asked_) return;
    if (!names) {
      reads_due_ = std::max(reads_due_, 1U);
      return;
    }
    members_asked_ = asked;
    members = NewestOfEachMachine(*names);
    members_ = members;
    own = Judge(members);
  }
  handlers_.on_members(members, own, asked);
}

standing membership::Judge(const std::vector<member_info>& members) const {
  const time_point now = port_.now();
  const std::string own = MemberName(self_);
  const bool offered = now < offer_ends_;
  bool listed = false;
  std::string best;
  for (const member_info& member : members) {
    const std::string name = MemberName(member);
    listed |= name == own;
    if (offered && name == offered_by_) continue;
    if (best.empty() || name < best) best = name;
  }
  if (!listed) return standing::kUnlisted;
  return now >= claims_from_ && best == own ? standing::kPreferred : standing::kOther;
}

// A store that answers a read is within reach: then writes are slow or their answers are lost, and
// another owner would fare no better.
void membership::OfferCell() {
  const auto answered = std::make_shared<std::atomic<bool>>(false);
  port_.members([answered](const result<std::vector<std::string>>& names) {
    if (names) *answered = true;
  });
  port_.at(port_.now() + kPromptAnswer, [self = shared_from_this(), answered] {
    if (!*answered) self->SendOffer();
  });
}

void membership::SendOffer() {
  std::string own;
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    own = MemberName(self_);
    std::string next;
    for (const member_info& member : members_) {
      const std::string name = MemberName(member);
      if (member.name == self_.name || (!next.empty() && next < name)) continue;
      next = name;
      address = member.address;
    }
  }
  if (address.empty()) return;
  port_.call_peer(address, offer_call{own}, kOfferTimeout, [](const result<peer_answer>&) {});
}

// Takes the offer up if the store answers here, and soon: else it is the store that is away.
void membership::OnOffer(const std::string& member) {
  const time_point asked = port_.now();
  {
    const std::lock_guard lock(mutex_);
    if (left_ || asked - joined_at_ > options_.join_interval * 2) return;
  }
  port_.members(
      [self = shared_from_this(), member, asked](const result<std::vector<std::string>>& names) {
        const time_point now = self->port_.now();
        if (!names || now - asked > kPromptAnswer) return;
        {
          const std::lock_guard lock(self->mutex_);
          self->offered_by_ = member;
          self->offer_ends_ = now + kOfferHolds;
        }
        self->OnMembers(names, asked);
      });
}

void membership::YieldCell() {
  const std::lock_guard lock(mutex_);
  if (!renamed_) Rename();
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
