#include "sycamorehinge/control/control_node.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "call_router.h"
#include "cell_owner.h"
#include "membership.h"
#include "stream_follower.h"

namespace sycamorehinge::control {

namespace {

// Key of the configuration in force.
constexpr std::string_view kConfigKey = "config";
constexpr duration kAnnounceTimeout = std::chrono::milliseconds(1000);
constexpr duration kConfigFetchTimeout = std::chrono::milliseconds(1000);
// Delay after an announcement that the owner has not answered.
constexpr duration kAnnounceRetryDelay = std::chrono::milliseconds(300);

}  // namespace

struct control_node::parts {
  parts(control_options given, ports given_ports, control_observer given_observer)
      : options(std::move(given)),
        port(std::move(given_ports)),
        log(given_observer),
        owner(port, options, log,
              {[this] { return group->Name(); },
               [this](std::uint64_t epoch) { group->OnClaim(group->Name(), epoch); },
               [this](const owner_info& info) { router.LearnOwner(info); },
               [this](std::uint64_t epoch) { group->YieldCell(epoch); },
               [this] { group->OfferCell(); }}),
        router(
            port, RouterOptions(),
            {[this](const routed_call& call, peer_reply reply) {
               owner.Call(call, std::move(reply));
             },
             [this](const cell_call& call, errc code, duration held, const owner_info& known) {
               log.WriteUnanswered(call, code, held, known);
             },
             [this](const cell_call& call, errc code, duration held, const owner_info& refusing) {
               log.WriteRefused(call, code, held, refusing);
             },
             [this](bool silent, const owner_info& known) { OnOwnerSilence(silent, known); }}),
        group(std::make_shared<membership>(
            port, options.membership, options.self,
            membership_handlers{
                [this](const std::vector<member_info>& members, owner_candidacy candidacy,
                       time_point requested_at) { OnMembers(members, candidacy, requested_at); },
                [this](duration age) {
                  log.Write(event_number::kMembershipOverdue,
                            {{"after_ms", std::int64_t{age.count() / 1000}}});
                },
                [this](std::string_view address, std::string_view cause) {
                  log.Write(event_number::kOwnerPreferred,
                            {{"address", address}, {"cause", cause}});
                },
                [this](std::string_view name) {
                  log.Write(event_number::kMemberUnreadable, {{"member", name}});
                }})) {}

  call_router_options RouterOptions() const {
    call_router_options chosen;
    chosen.address = options.self.address;
    return chosen;
  }

  void OnMembers(const std::vector<member_info>& members, owner_candidacy candidacy,
                 time_point requested_at) {
    std::vector<std::string> others;
    for (const member_info& member : members) {
      if (member.name != options.self.name) others.push_back(member.address);
    }
    router.SetPeers(std::move(others));
    owner.OnMembers(candidacy, requested_at);
  }
  void OnDirectory(const stream_record& record) {
    if (record.key != kOwnerKey || !record.value) return;
    const result<member_info> claimant = ParseMemberName(*record.value);
    if (!claimant) {
      return log.Write(event_number::kMemberUnreadable,
                       {{"member", std::string_view(*record.value)}});
    }
    log.Write(event_number::kOwnerLearned,
              {{"address", std::string_view(claimant->address)}, {"epoch", record.offset + 1}});
    const owner_info claim{record.offset + 1, claimant->address};
    group->OnClaim(*record.value, claim.epoch);
    router.LearnOwner(claim);
    owner.OnClaim(claim);
    Announce();
  }

  // Tells the owner at intervals, and a new one at once, that this process lives. A call that gets
  // no answer is the first sign that the owner is gone.
  void AnnouncePeriodically() {
    const bool answered = owner_answered.exchange(false) || owner.Owns();
    group->SetOwnerAnswers(answered);
    port.run_at(port.now() + (answered ? options.announce_interval : kAnnounceRetryDelay),
                [this] { AnnouncePeriodically(); });
    Announce();
  }
  // An announcement finds out at once whether the owner is gone or one call was lost.
  void OnOwnerSilence(bool silent, const owner_info& known) {
    log.Write(silent ? event_number::kOwnerSilent : event_number::kOwnerAnswers,
              {{"address", std::string_view(known.address)}, {"epoch", known.epoch}});
    if (silent) Announce();
  }
  void Announce() {
    const std::string address = router.Owner().address;
    if (leaving || address.empty() || address == options.self.address) return;
    port.call_peer(address, announce_call{group->Name()}, kAnnounceTimeout,
                   [this, address](const result<peer_answer>& answer) {
                     if (!answer) return;
                     if (answer->code == errc::kOk) owner_answered = true;
                     router.OnOwnerAnswer(address);
                     router.LearnOwner(answer->owner);
                   });
  }

  // A process that the store turns away asks the owner, which can read it, for the configuration in
  // force. Otherwise it would go on to accept withdrawn keys.
  void FetchConfigPeriodically() {
    port.run_at(port.now() + options.config_fetch_interval, [this] { FetchConfigPeriodically(); });
    const std::string address = router.Owner().address;
    if (config_readable || leaving || address.empty() || address == options.self.address) return;
    port.call_peer(address, config_call{ConfigVersion()}, kConfigFetchTimeout,
                   [this](const result<peer_answer>& answer) {
                     if (!answer || answer->code != errc::kOk || answer->config.empty()) return;
                     UseConfig(answer->config, "owner");
                   });
  }
  // Only an owner whose reads succeed knows that its configuration is the one in force.
  peer_answer OnConfigCall(const config_call& call) {
    if (!owner.Owns() || !config_readable) return ErrorAnswer(errc::kNotOwner);
    peer_answer answer;
    const std::lock_guard lock(mutex);
    if (config && config->version > call.version) answer.config = config_text;
    return answer;
  }

  void OnRoutedCall(const routed_call& call, call_reply reply) {
    owner.Call(call, [this, reply = std::move(reply)](peer_answer answer) {
      answer.owner = router.Owner();
      reply(std::move(answer));
    });
  }
  void OnAdviceCall(const advice_call& call, call_reply reply) {
    port.advise(call.step, call.hosts, options.advice_timeout_margin * 2,
                [reply = std::move(reply)](const result<std::vector<approved_host>>& outcome) {
                  peer_answer answer = ErrorAnswer(outcome.code());
                  if (outcome) answer.approved = *outcome;
                  reply(answer);
                });
  }
  peer_answer OnAnnounceCall(const announce_call& call) {
    const result<member_info> member = ParseMemberName(call.member);
    peer_answer answer = ErrorAnswer(errc::kMalformed);
    if (member) {
      owner.OnAnnounced(*member);
      answer.code = owner.Owns() ? errc::kOk : errc::kNotOwner;
    }
    answer.owner = router.Owner();
    return answer;
  }

  std::shared_ptr<stream_follower> Follow(stream_name stream, std::string_view label,
                                          const std::function<void(const stream_record&)>& handle) {
    follower_handlers handlers;
    handlers.on_snapshot = [handle](const std::vector<stream_record>& records) {
      for (const stream_record& record : records) handle(record);
    };
    handlers.on_change = handle;
    handlers.on_availability = [this, stream, label](bool available) {
      if (stream == stream_name::kConfig) config_readable = available;
      if (stream == stream_name::kDirectory) router.SetStoreAvailable(available);
      log.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
                {{"stream", label}});
    };
    auto follower = std::make_shared<stream_follower>(
        port, follower_options{stream, options.stream_max_wait, {}}, std::move(handlers));
    follower->Start();
    return follower;
  }

  void OnConfig(const stream_record& record) {
    if (record.key == kConfigKey && record.value) UseConfig(*record.value, "store");
  }
  // Puts a configuration in force unless it is older than the present one.
  void UseConfig(std::string_view text, std::string_view source) {
    std::optional<cell::fleet_config> parsed = port.parse_config(text);
    if (!parsed) return log.Write(event_number::kConfigUnreadable);
    const auto next = std::make_shared<const cell::fleet_config>(std::move(*parsed));
    {
      const std::lock_guard lock(mutex);
      // A late read may return an older version.
      if (config && next->version <= config->version) return;
      config = next;
      config_text = text;
    }
    log.Write(event_number::kConfigInForce, {{"version", next->version}, {"source", source}});
    owner.SetConfig(next);
  }
  std::uint64_t ConfigVersion() const {
    const std::lock_guard lock(mutex);
    return config ? config->version : 0;
  }

  const control_options options;
  const ports port;
  decision_log log;
  mutable std::mutex mutex;
  std::shared_ptr<const cell::fleet_config> config;
  // Its text, for processes that cannot read it.
  std::string config_text;
  // The last read of the configuration succeeded.
  std::atomic<bool> config_readable = true;
  std::atomic<bool> leaving = false;
  // The owner has answered an announcement since the last check.
  std::atomic<bool> owner_answered = false;
  cell_owner owner;
  call_router router;
  std::shared_ptr<membership> group;
  std::vector<std::shared_ptr<stream_follower>> followers;
};

control_node::control_node(control_options options, ports port, control_observer observer)
    : parts_(std::make_unique<parts>(std::move(options), std::move(port), observer)) {}

control_node::~control_node() {
  for (const auto& follower : parts_->followers) follower->Stop();
}

void control_node::Start() {
  parts& p = *parts_;
  p.followers.push_back(p.Follow(stream_name::kConfig, "config",
                                 [&p](const stream_record& record) { p.OnConfig(record); }));
  p.followers.push_back(p.Follow(stream_name::kDirectory, "directory",
                                 [&p](const stream_record& record) { p.OnDirectory(record); }));
  p.log.Write(event_number::kMemberListed, {{"address", p.options.self.address}});
  p.group->Start();
  p.AnnouncePeriodically();
  p.FetchConfigPeriodically();
}

void control_node::Call(cell_call call, time_point deadline, call_reply reply) {
  parts_->router.Call(std::move(call), deadline, std::move(reply));
}

void control_node::OnPeerCall(peer_call call, call_reply reply) {
  parts& p = *parts_;
  std::visit(
      overloaded{
          [&](const routed_call& routed) { p.OnRoutedCall(routed, std::move(reply)); },
          [&](const advice_call& advice) { p.OnAdviceCall(advice, std::move(reply)); },
          [&](const offer_call& offer) {
            p.group->OnOffer(offer.member);
            reply({});
          },
          [&](const announce_call& row) { reply(p.OnAnnounceCall(row)); },
          [&](const fence_call& fence) { p.owner.OnFenceCall(fence.epoch, std::move(reply)); },
          [&](const config_call& row) { reply(p.OnConfigCall(row)); }},
      call);
}

std::shared_ptr<const cell::fleet_config> control_node::Config() const {
  const std::lock_guard lock(parts_->mutex);
  return parts_->config;
}

bool control_node::Ready() const {
  return !parts_->leaving && Config() != nullptr && parts_->router.Reachable();
}

void control_node::Drain() {
  parts& p = *parts_;
  if (p.leaving.exchange(true)) return;
  p.owner.Retire();
  p.group->Leave();
}

void control_node::EndCalls() { parts_->router.Close(); }

std::vector<cell::tenant_usage> control_node::TenantUsage(std::size_t most) const {
  return parts_->owner.TenantUsage(most);
}

control_summary control_node::Summary() const {
  const parts& p = *parts_;
  control_summary summary;
  summary.owner = p.router.Owner();
  summary.owns_cell = p.owner.Owns();
  if (const auto config = Config()) summary.config_version = config->version;
  summary.open_calls = p.router.OpenCallCount();
  summary.cell = p.owner.Summary();
  return summary;
}

}  // namespace sycamorehinge::control
