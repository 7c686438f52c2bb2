#include "sycamorehinge/control/control_node.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "cell_owner.h"
#include "front.h"
#include "stream_follower.h"

namespace sycamorehinge::control {

namespace {

constexpr std::string_view kOwnerKey = "owner";
constexpr std::string_view kMemberPrefix = "member/";
// Key of the configuration in force.
constexpr std::string_view kConfigKey = "config";
constexpr duration kPublishRetry = std::chrono::milliseconds(300);

}  // namespace

struct control_node::parts {
  parts(control_options given, ports given_ports, control_observer given_observer)
      : options(std::move(given)),
        port(std::move(given_ports)),
        log(given_observer),
        owner(port, options, log,
              {[this](const owner_info& info) { Announce(info); }, [this] { OnLost(); }}),
        entrance(port, FrontOptions(),
                 [this](const peer_call& call, peer_reply reply) {
                   owner.Call(call, std::move(reply));
                 }) {}

  front_options FrontOptions() const {
    front_options chosen;
    chosen.address = options.self.address;
    return chosen;
  }

  // --- membership ---
  void Join() {
    if (leaving) return;
    const time_point sent = port.now();
    port.join(options.member, generation, options.membership_ttl,
              [this, sent](const result<membership>& joined) { OnJoined(joined, sent); });
    port.at(sent + options.join_interval, [this] { Join(); });
  }
  void OnJoined(const result<membership>& joined, time_point sent) {
    if (!joined || leaving) return;
    {
      const std::lock_guard lock(mutex);
      // Answers may overtake each other.
      if (sent < joined_at || joined->generation < generation) return;
      joined_at = sent;
      generation = joined->generation;
    }
    owner.OnMembership(*joined, sent);
  }

  // --- directory ---
  void Publish(std::string key, std::string value, std::function<bool()> wanted) {
    std::vector<stream_record> records{{key, value}};
    port.append(stream_name::kDirectory, std::nullopt, std::move(records),
                [this, key, value, wanted](const result<std::uint64_t>& outcome) {
                  if (outcome || !wanted()) return;
                  port.at(port.now() + kPublishRetry, [this, key, value, wanted] {
                    if (wanted()) Publish(key, value, wanted);
                  });
                });
  }
  void Announce(const owner_info& info) {
    entrance.LearnOwner(info);
    Publish(std::string(kOwnerKey), EncodeOwner(info),
            [this, info] { return entrance.Owner().epoch == info.epoch; });
  }
  void OnLost() { entrance.ForgetOwner(options.self.address); }
  void OnDirectory(const stream_record& record) {
    if (record.key == kOwnerKey && record.value) {
      if (const auto info = DecodeOwner(*record.value)) {
        log.Write(event_number::kOwnerLearned,
                  {{"address", info->address}, {"epoch", info->epoch}});
        entrance.LearnOwner(*info);
      }
      return;
    }
    if (!record.key.starts_with(kMemberPrefix)) return;
    const std::string name = record.key.substr(kMemberPrefix.size());
    std::vector<std::string> addresses;
    {
      const std::lock_guard lock(mutex);
      members.erase(name);
      const auto info = record.value ? DecodeMember(*record.value)
                                     : result<member_info>(errc::kUnknownKey);
      if (info) {
        members[name] = *info;
        owner.SetMember(*info);
      } else {
        owner.RemoveMember(name);
      }
      for (const auto& [other, member] : members) {
        if (other != options.self.name) addresses.push_back(member.address);
      }
    }
    entrance.SetPeers(std::move(addresses));
  }
  std::shared_ptr<stream_follower> Follow(stream_name stream, std::string_view label,
                                          std::function<void(const stream_record&)> handle) {
    follower_handlers handlers;
    handlers.on_snapshot = [handle](const std::vector<stream_record>& records) {
      for (const stream_record& record : records) handle(record);
    };
    handlers.on_change = handle;
    handlers.on_availability = [this, label](bool available) {
      log.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
                {{"stream", label}});
    };
    auto follower = std::make_shared<stream_follower>(
        port, follower_options{stream, options.follow_wait, {}}, std::move(handlers));
    follower->Start();
    return follower;
  }

  // --- configuration ---
  void OnConfig(const stream_record& record) {
    if (record.key != kConfigKey || !record.value) return;
    std::optional<cell::fleet_config> parsed = port.parse_config(*record.value);
    if (!parsed) return log.Write(event_number::kConfigUnreadable);
    const auto next = std::make_shared<const cell::fleet_config>(std::move(*parsed));
    {
      const std::lock_guard lock(mutex);
      // Never an older version after a newer one.
      if (config && next->version <= config->version) return;
      config = next;
    }
    log.Write(event_number::kConfigInForce, {{"version", next->version}});
    owner.SetConfig(next);
  }

  const control_options options;
  const ports port;
  decision_log log;
  mutable std::mutex mutex;
  std::uint64_t generation = 0;
  time_point joined_at;
  std::map<std::string, member_info> members;
  std::shared_ptr<const cell::fleet_config> config;
  std::atomic<bool> leaving = false;
  cell_owner owner;
  front entrance;
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
  p.Publish(std::string(kMemberPrefix) + p.options.self.name, EncodeMember(p.options.self),
            [&p] { return !p.leaving.load(); });
  p.log.Write(event_number::kMemberListed, {{"address", p.options.self.address}});
  p.Join();
}

void control_node::Call(peer_call call, time_point deadline, call_reply reply) {
  parts_->entrance.Call(std::move(call), deadline, std::move(reply));
}

void control_node::OnPeerCall(peer_call call, call_reply reply) {
  parts& p = *parts_;
  if (const auto* advice = std::get_if<advice_call>(&call)) {
    p.port.advise(advice->step, advice->hosts, p.options.advice_slack * 2,
                  [reply = std::move(reply)](const result<std::vector<approved_host>>& outcome) {
                    peer_answer answer = Refusal(outcome.code());
                    if (outcome) answer.approved = *outcome;
                    reply(answer);
                  });
    return;
  }
  p.owner.Call(call, [&p, reply = std::move(reply)](peer_answer answer) {
    answer.owner = p.entrance.Owner();
    reply(std::move(answer));
  });
}

std::shared_ptr<const cell::fleet_config> control_node::Config() const {
  const std::lock_guard lock(parts_->mutex);
  return parts_->config;
}

bool control_node::Ready() const {
  return !parts_->leaving && Config() != nullptr && parts_->entrance.Reachable();
}

void control_node::Drain() {
  parts& p = *parts_;
  if (p.leaving.exchange(true)) return;
  p.owner.Retire();
  p.port.leave(p.options.member, [] {});
  p.port.append(stream_name::kDirectory, std::nullopt,
                {{std::string(kMemberPrefix) + p.options.self.name, std::nullopt}},
                [](const result<std::uint64_t>&) {});
}

control_summary control_node::Summary() const {
  const parts& p = *parts_;
  control_summary summary;
  summary.owner = p.entrance.Owner();
  summary.owns_cell = p.owner.Owns();
  if (const auto config = Config()) summary.config_version = config->version;
  summary.open_calls = p.entrance.Open();
  summary.cell = p.owner.Summary();
  return summary;
}

}  // namespace sycamorehinge::control
