#include "membership.h"

#include <algorithm>
#include <atomic>
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
// When partitions move between members, one that lives may hold none for a moment.
constexpr duration kBriefGap = std::chrono::milliseconds(300);
constexpr duration kReadInGapDelay = std::chrono::milliseconds(150);

bool IsBetter(const member_info& a, const member_info& b) {
  return std::tie(a.rank, a.name) < std::tie(b.rank, b.name);
}

bool Lists(const std::vector<member_info>& members, std::string_view name) {
  return std::any_of(members.begin(), members.end(),
                     [&](const member_info& member) { return FormatMemberName(member) == name; });
}

}  // namespace

membership::membership(const ports& port, membership_options options, member_info self,
                       membership_handlers handlers)
    : port_(port), options_(options), handlers_(std::move(handlers)), self_(std::move(self)) {}

void membership::Start() { MeasureConnectTime(kMaxMeasurements); }

std::string membership::Name() const {
  const std::lock_guard lock(mutex_);
  return FormatMemberName(self_);
}

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
    self->Tick();
  });
}

// Sends a join in every interval without waiting for the previous answer, so that a late or lost
// answer does not end the membership. A process that is no candidate only reads the list.
void membership::Tick() {
  const time_point now = port_.now();
  duration age{};
  bool joined = false;
  bool read = false;
  {
    const std::lock_guard lock(mutex_);
    if (left_) return;
    joined = joined_;
    if (joined) {
      age = now - joined_at_;
      lapsed_ = lapsed_ || (joined_at_ != time_point() && age > options_.ttl);
      if (!lapsed_) age = {};
    } else {
      const duration interval = owner_answers_ ? options_.refresh_interval : options_.join_interval;
      read = now - members_requested_at_ >= interval;
    }
  }
  if (age > duration::zero()) handlers_.on_overdue(age);
  port_.run_at(now + options_.join_interval, [self = shared_from_this()] { self->Tick(); });
  if (joined) Join();
  if (read) ReadMembers();
}

void membership::Join() {
  std::string member;
  std::uint64_t generation = 0;
  {
    const std::lock_guard lock(mutex_);
    if (left_ || !joined_) return;
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
    if (left_ || !joined_ || requested_at < joined_at_) return;
    joined_at_ = requested_at;
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
  {
    const std::lock_guard lock(mutex_);
    members_requested_at_ = requested_at;
  }
  port_.members(
      [self = shared_from_this(), requested_at](const result<std::vector<std::string>>& names) {
        self->OnMembers(names, requested_at);
      });
}

std::vector<member_info> membership::Parse(const std::vector<std::string>& names) const {
  std::vector<member_info> members;
  members.reserve(names.size());
  for (const std::string& name : names) {
    result<member_info> member = ParseMemberName(name);
    if (member) {
      members.push_back(std::move(*member));
    } else {
      handlers_.on_unreadable(name);
    }
  }
  return members;
}

void membership::OnMembers(const result<std::vector<std::string>>& names, time_point requested_at) {
  std::vector<member_info> members;
  if (names) members = Parse(*names);
  owner_candidacy candidacy = owner_candidacy::kUnlisted;
  std::string preferred;
  std::string_view cause;
  bool join = false;
  bool leave = false;
  {
    const std::lock_guard lock(mutex_);
    if (left_ || requested_at < members_read_at_) return;
    if (!names) {
      reads_due_ = std::max(reads_due_, 1U);
      return;
    }
    members_read_at_ = requested_at;
    members_ = members;
    candidacy = Evaluate(members, preferred);
    if (preferred != preferred_) cause = CauseOfChange(members);
    preferred_ = preferred;
    const bool wanted = ShouldBeCandidate(members);
    join = wanted && !joined_;
    leave = !wanted && joined_;
    joined_ = wanted;
    if (leave) joined_at_ = {};
  }
  if (join) Join();
  if (leave) port_.leave(Name(), [] {});
  if (!cause.empty()) {
    const result<member_info> best = ParseMemberName(preferred);
    handlers_.on_preferred(best ? best->address : std::string(), cause);
  }
  handlers_.on_members(members, candidacy, requested_at);
}

// Returns whether this process should be a candidate: it owns the cell, or few better candidates
// are listed.
bool membership::ShouldBeCandidate(const std::vector<member_info>& members) const {
  if (preferred_ == FormatMemberName(self_)) return true;
  const auto better = std::count_if(members.begin(), members.end(), [&](const member_info& member) {
    return member.name != self_.name && IsBetter(member, self_);
  });
  return static_cast<std::size_t>(better) < options_.max_candidates;
}

// Describes why the previously preferred member is not preferred any more.
std::string_view membership::CauseOfChange(const std::vector<member_info>& members) const {
  if (preferred_.empty()) return "first list of members";
  if (port_.now() < offer_ends_ && preferred_ == offered_by_) return "the owner offered the cell";
  return Lists(members, preferred_) ? "a better member is listed, or a newer owner"
                                    : "the previous one is no longer listed";
}

// Returns false while the claim of the owner that fenced this process has not been read.
bool membership::KnowsNewestClaim() const {
  return superseded_epoch_ == 0 || newest_claim_.epoch > superseded_epoch_;
}

// Returns whether the preferred owner has been missing from the list only for a moment.
bool membership::IsBriefGap(const std::string& owner, bool listed) {
  if (listed || owner.empty() || owner != newest_claim_.member) {
    missing_since_ = {};
    return false;
  }
  const time_point now = port_.now();
  if (missing_since_ == time_point()) missing_since_ = now;
  if (now - missing_since_ >= kBriefGap) return false;
  port_.run_at(now + kReadInGapDelay, [self = shared_from_this()] { self->ReadMembers(); });
  return true;
}

// The choice depends on the list and the newest claim only, which all processes read alike. Earlier
// claims do not count: processes remember different ones, and would wait for each other.
owner_candidacy membership::Evaluate(const std::vector<member_info>& members, std::string& best) {
  const time_point now = port_.now();
  const std::string own = FormatMemberName(self_);
  const bool offer_active = now < offer_ends_;
  const member_info* preferred = nullptr;
  bool best_owns = false;
  for (const member_info& member : members) {
    const std::string name = FormatMemberName(member);
    if (offer_active && name == offered_by_) continue;
    const bool owns = name == newest_claim_.member;
    if (!preferred || std::tuple(member.rank, !owns, member.name) <
                          std::tuple(preferred->rank, !best_owns, preferred->name)) {
      preferred = &member;
      best_owns = owns;
      best = name;
    }
  }
  const bool offered = offer_active && preferred_ == offered_by_;
  if (!offered && preferred_ != own && IsBriefGap(preferred_, Lists(members, preferred_))) {
    best = preferred_;
    return owner_candidacy::kOther;
  }
  if (!Lists(members, own)) return owner_candidacy::kUnlisted;
  const bool may_own =
      KnowsNewestClaim() && (own == newest_claim_.member || now >= earliest_claim_);
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
    const member_info* next = nullptr;
    for (const member_info& member : members_) {
      if (member.name == self_.name || (next && IsBetter(*next, member))) continue;
      next = &member;
    }
    if (next) address = next->address;
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

void membership::OnClaim(const std::string& member, std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  if (epoch > newest_claim_.epoch) newest_claim_ = {epoch, member};
}

void membership::YieldCell(std::uint64_t epoch) {
  const std::lock_guard lock(mutex_);
  superseded_epoch_ = std::max(superseded_epoch_, epoch);
  earliest_claim_ = port_.now() + options_.join_interval * kRejoinIntervals;
}

void membership::SetOwnerAnswers(bool answers) {
  const std::lock_guard lock(mutex_);
  owner_answers_ = answers;
}

void membership::Leave() {
  bool owned = false;
  bool joined = false;
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(left_, true)) return;
    joined = joined_;
    owned = preferred_ == FormatMemberName(self_);
  }
  if (owned) SendOffer();
  if (joined) port_.leave(Name(), [] {});
}

}  // namespace sycamorehinge::control
