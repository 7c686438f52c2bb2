#include "entry_process.h"

#include "wiring.h"

namespace sycamorehinge {

namespace {

std::uint64_t IncarnationOf(const process_settings& settings) {
  if (settings.process.incarnation != 0) return settings.process.incarnation;
  return static_cast<std::uint64_t>(system_clock().WallMilliseconds());
}

}  // namespace

entry_process::entry_process(process_settings settings, std::string peer_key, access_tokens tokens,
                             std::function<void(errc)> stop)
    : settings_(std::move(settings)),
      incarnation_(IncarnationOf(settings_)),
      stop_(std::move(stop)),
      log_(http_, {settings_.platform.log_address, settings_.platform.timeout}),
      hosts_(http_),
      list_(http_, {settings_.platform.hosts_address, settings_.platform.timeout, {}}),
      timers_(std::make_unique<timer_queue>(clock_)),
      peers_(std::make_unique<peer_transport>(
          PeerOptions(settings_, incarnation_, std::move(peer_key)), MakeHandlers())),
      node_(std::make_unique<entry_node>(NodeOptions(settings_, incarnation_), MakePorts(),
                                         MakeObserver())),
      api_(std::make_unique<api>(
          *node_, settings_.process.name, std::move(tokens), [this] { return Metrics(); },
          [this] { Drain(); })),
      server_(std::make_unique<http_server>(HttpOptions(settings_),
                                            [this](const http_request& request, auto reply) {
                                              api_->Handle(request, std::move(reply));
                                            })) {}

entry_process::~entry_process() {
  server_->Stop();
  peers_->Stop();
  node_->Stop();
  timers_.reset();
}

errc entry_process::Start() {
  const result<std::vector<peer_address>> addresses = PeerAddresses(settings_);
  if (!addresses) return addresses.code();
  if (const errc bound = peers_->Bind(); bound != errc::kOk) return bound;
  if (const errc started = peers_->Start(*addresses); started != errc::kOk) return started;
  node_->Start();
  return server_->Start();
}

void entry_process::Drain() {
  node_->Drain(settings_.drain.timeout, [this] { stop_(errc::kOk); });
}

ports entry_process::MakePorts() {
  ports out;
  out.now = [this] { return Now(clock_); };
  out.wall_ms = [this] { return WallMilliseconds(clock_); };
  out.call_host = [this](const listed_host& host, host_call call, completion<host_answer> done) {
    hosts_.Call(host, std::move(call), std::move(done));
  };
  out.append = [this](std::string_view stream, std::string bytes, completion<std::uint64_t> done) {
    log_.Append(stream, std::move(bytes), std::move(done));
  };
  out.read = [this](std::string_view stream, std::uint64_t from, std::uint32_t max,
                    completion<log_page> done) { log_.Read(stream, from, max, std::move(done)); };
  out.list_hosts = [this](completion<std::vector<listed_host>> done) {
    list_.List(std::move(done));
  };
  out.send_peer = [this](const process_id& peer, const peer_message& message) {
    return peers_->Send(peer, message);
  };
  out.send_heartbeat = [this](const process_id& peer, const process_status& status) {
    peers_->SendHeartbeat(peer, status);
  };
  out.at = [this](time_point when, std::function<void()> work) {
    if (timers_) timers_->At(when, std::move(work));
  };
  return out;
}

peer_handlers entry_process::MakeHandlers() {
  peer_handlers handlers;
  handlers.on_message = [this](const process_id& from, const peer_message& message) {
    node_->OnPeerMessage(from, message);
  };
  handlers.on_heartbeat = [this](const process_status& status) {
    if (node_->OnHeartbeat(status) == errc::kDuplicateName) stop_(errc::kDuplicateName);
  };
  handlers.on_fault = [](const peer_fault&) {};
  handlers.on_link = [](const process_id&, bool) {};
  return handlers;
}

node_observer entry_process::MakeObserver() { return {}; }

std::string entry_process::Metrics() const { return {}; }

}  // namespace sycamorehinge
