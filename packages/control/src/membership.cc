#include "membership.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <span>
#include <tuple>
#include <utility>

namespace sycamorehinge::control {

namespace {

constexpr duration kMeasureRetryDelay = std::chrono::milliseconds(200);
// A lost packet or a busy start makes a near store look far, so a far result is measured again.
constexpr std::uint32_t kMaxMeasurements = 3;
// The store assigns partitions to a new member only after their old holder has joined again, so the
// list of members may lag behind a change and is read several times.
constexpr std::uint32_t kReadsAfterChange = 3;
// Join intervals within which the other members have rejoined after an outage.
constexpr std::int64_t kRejoinIntervals = 2;
constexpr duration kOfferTimeout = std::chrono::milliseconds(1000);
// A store that answers within this time is considered healthy: an answer takes 4 ms, or 64 ms from
// another region.
constexpr duration kPromptAnswerLimit = std::chrono::milliseconds(200);
// Longer than the time to live of the old owner's entry in the group.
constexpr duration kOfferDuration = std::chrono::milliseconds(3000);

// Entries of earlier processes on a machine, and earlier names of a process, stay listed until
// their time to live ends, so only the newest entry of each machine counts.
std::vector<member_info> NewestEntryPerMachine(std::span<const std::string> names) {
  std::map<std::string, member_info> newest;
  for (const std::string& name : names) {
    result<member_info> member = ParseMemberName(name);
    if (!member) continue;
    const auto [row, added] = newest.try_emplace(member->name, *member);
    const auto age = [](const member_info& entry) {
      return std::tuple(entry.started_ms, entry.owner_epoch);
    };
    if (!added && age(row->second) < age(*member)) row->second = std::move(*member);
  }
  std::vector<member_info> members;
  members.reserve(newest.size());
  for (auto& [machine, member] : newest) members.push_back(std::move(member));
  return members;
}

// Returns the address of the member with this name; empty if it is not listed.
std::string AddressOf(std::span<const member_info> members, std::string_view name) {
  for (const member_info& member : members) {
    if (FormatMemberName(member) == name) return member.address;
  }
  return {};
}

}  // namespace

membership::membership(const ports& port, membership_options options, member_info self,
                       membership_handlers handlers)
    : port_(port), options_(options), handlers_(std::move(handlers)), self_(std::move(self)) {}

void membership::Start() { MeasureConnectTime(kMaxMeasurements); }

// The rank in the member name depends on the processor and on the distance to the store, so the
// distance is measured before the first join. The time to connect does not depend on the load of
// the store.
void membership::MeasureConnectTime(std::uint32_t tries_left) {
  port_.connect_time([self = shared_from_this(), tries_left](const result<duration>& time) {
    if (!time) {
      self->port_.run_at(self->port_.now() + kMeasureRetryDelay,
                         [self, tries_left] { self->MeasureConnectTime(tries_left); });
      return;
    }
    const bool near = *time < self->options_.near_limit;
    if (!near && tries_left > 1) return self->MeasureConnectTime(tries_left - 1);
    {
      const std::lock_guard lock(self->mutex_);
      const bool strong = self->options_.processor_cores >= self->options_.owner_cores;
      self->self_.rank = (strong ? 0 : 2) + (near ? 0 : 1);
    }
    self->JoinPeriodically();
  });
}

// Sends a join in every interval without waiting for the previous answer, so that a late or lost
// answer does not end the membership.
void membership::JoinPeriodically() {
  const time_point now = port_.now();
  duration age{};
  {
    const std::lock_guard lock(mutex_);
    if (left_) return;
    age = now - joined_at_;
    lapsed_ = lapsed_ || (joined_at_ != time_point() && age > options_.ttl);
    if (!lapsed_) age = {};
  }
  if (age > duration::zero()) handlers_.on_overdue(age);
  port_.run_at(now + options_.join_interval,
               [self = shared_from_this()] { self->JoinPeriodically(); });
  Join();
}

void membership::Join() {
  std::string member;
  std::uint64_t generation = 0;
  {
    const std::lock_guard lock(mutex_);
    if (left_) return;
    member = FormatMemberName(self_);
    generation = generation_;
  }
  const time_point requested_at = port_.now();
  port_.join(member, generation, options_.ttl,
             [self = shared_from_this(), requested_at](const result<std::uint64_t>& joined) {
               self->OnJoined(joined, requested_at);
             });
}

void membership::OnJoined(const result<std::uint64_t>& generation, time_point requested_at) {
  if (!generation) return;
  {
    const std::lock_guard lock(mutex_);
    // Answers may arrive out of order.
    if (left_ || requested_at < joined_at_) return;
    joined_at_ = requested_at;
    start_time_reset_ = false;
    if (std::exchange(lapsed_, false)) {
      // The store may have dropped all members, and the owner may rejoin later than this process.
      earliest_claim_ = port_.now() + options_.join_interval * kRejoinIntervals;
    }
    if (*generation != generation_) reads_due_ = kReadsAfterChange;
    generation_ = *generation;
    const bool due = reads_due_ > 0 || requested_at - members_read_at_ >= options_.refresh_interval;
    if (!due) return;
    if (reads_due_ > 0) --reads_due_;
  }
  ReadMembers();
}

void membership::ReadMembers() {
  const time_point requested_at = port_.now();
  port_.members(
      [self = shared_from_this(), requested_at](const result<std::vector<std::string>>& names) {
        self->OnMembers(names, requested_at);
      });
}

void membership::OnMembers(const result<std::vector<std::string>>& names, time_point requested_at) {
  std::vector<member_info> members;
  owner_candidacy candidacy = owner_candidacy::kUnlisted;
  std::string preferred;
  std::string_view cause;
  {
    const std::lock_guard lock(mutex_);
    if (left_ || requested_at < members_read_at_) return;
    if (!names) {
      reads_due_ = std::max(reads_due_, 1U);
      return;
    }
    members_read_at_ = requested_at;
    members = NewestEntryPerMachine(*names);
    members_ = members;
    candidacy = Evaluate(members, preferred);
    if (preferred != preferred_) cause = CauseOfChange(members);
    preferred_ = preferred;
  }
  if (!cause.empty()) handlers_.on_preferred(AddressOf(members, preferred), cause);
  handlers_.on_members(members, candidacy, requested_at);
}

// Describes why the previously preferred member is not preferred any more.
std::string_view membership::CauseOfChange(const std::vector<member_info>& members) const {
  if (preferred_.empty()) return "first list of members";
  if (port_.now() < offer_ends_ && preferred_ == offered_by_) return "the owner offered the cell";
  const bool listed = std::any_of(members.begin(), members.end(), [&](const member_info& member) {
    return FormatMemberName(member) == preferred_;
  });
  return listed ? "a better member is listed" : "the previous one is no longer listed";
}

owner_candidacy membership::Evaluate(const std::vector<member_info>& members,
                                     std::string& best) const {
  const time_point now = port_.now();
  const std::string own = FormatMemberName(self_);
  const bool offer_active = now < offer_ends_;
  bool listed = false;
  for (const member_info& member : members) {
    const std::string name = FormatMemberName(member);
    listed |= name == own;
    if (offer_active && name == offered_by_) continue;
    if (best.empty() || name < best) best = name;
  }
  if (!listed) return owner_candidacy::kUnlisted;
  const bool may_own = self_.owner_epoch != 0 || now >= earliest_claim_;
  return may_own && best == own ? owner_candidacy::kPreferred : owner_candidacy::kOther;
}

// If the store answers a read, it is reachable and only writes are slow or lose their answers.
// Another owner would have the same problem, so no offer is sent.
void membership::OfferCell() {
  const auto answered = std::make_shared<std::atomic<bool>>(false);
  port_.members([answered](const result<std::vector<std::string>>& names) {
    if (names) *answered = true;
  });
  port_.run_at(port_.now() + kPromptAnswerLimit, [self = shared_from_this(), answered] {
    if (!*answered) self->SendOffer();
  });
}

void membership::SendOffer() {
  std::string own;
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    own = FormatMemberName(self_);
    std::string next;
    for (const member_info& member : members_) {
      const std::string name = FormatMemberName(member);
      if (member.name == self_.name || (!next.empty() && next < name)) continue;
      next = name;
      address = member.address;
    }
  }
  if (address.empty()) return;
  port_.call_peer(address, offer_call{own}, kOfferTimeout, [](const result<peer_answer>&) {});
}

// Accepts the offer only if the store answers this process promptly. Otherwise the store itself is
// down, and a new owner would not help.
void membership::OnOffer(const std::string& member) {
  const time_point requested_at = port_.now();
  {
    const std::lock_guard lock(mutex_);
    if (left_ || requested_at - joined_at_ > options_.join_interval * 2) return;
  }
  port_.members([self = shared_from_this(), member,
                 requested_at](const result<std::vector<std::string>>& names) {
    const time_point now = self->port_.now();
    if (!names || now - requested_at > kPromptAnswerLimit) return;
    {
      const std::lock_guard lock(self->mutex_);
      self->offered_by_ = member;
      self->offer_ends_ = now + kOfferDuration;
    }
    self->OnMembers(names, requested_at);
  });
}

void membership::ClaimCell(std::uint64_t epoch) {
  {
    const std::lock_guard lock(mutex_);
    self_.owner_epoch = epoch;
  }
  Join();
}

void membership::ReleaseCell() {
  const std::lock_guard lock(mutex_);
  if (std::exchange(self_.owner_epoch, 0) == 0) return;
  // Marks the new name as newer than that of the owner, which stays listed for a while.
  ++self_.started_ms;
}

void membership::YieldCell() {
  const std::lock_guard lock(mutex_);
  if (self_.owner_epoch == 0 && start_time_reset_) return;
  self_.owner_epoch = 0;
  self_.started_ms = std::max(port_.wall_ms(), self_.started_ms + 1);
  start_time_reset_ = true;
  earliest_claim_ = port_.now() + options_.join_interval * kRejoinIntervals;
}

void membership::Leave() {
  std::string member;
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(left_, true)) return;
    member = FormatMemberName(self_);
  }
  port_.leave(member, [] {});
}

}  // namespace sycamorehinge::control
