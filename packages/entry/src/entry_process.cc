#include "entry_process.h"

#include <array>
#include <fstream>

#include "sycamorehinge/telemetry/exposition.h"
#include "wiring.h"

namespace sycamorehinge {

namespace {

std::uint64_t IncarnationOf(const process_settings& settings) {
  if (settings.process.incarnation != 0) return settings.process.incarnation;
  return static_cast<std::uint64_t>(system_clock().WallMilliseconds());
}

std::unique_ptr<std::ostream> OpenLog(const log_section& section) {
  if (section.file.empty()) return nullptr;
  return std::make_unique<std::ofstream>(section.file, std::ios::app);
}

event_log_options EventOptions(const log_section& section, std::ostream* out,
                               const runtime_clock& clock) {
  event_log_options options;
  options.out = out;
  if (section.level == "warning") options.min_severity = severity::kWarning;
  if (section.level == "error") options.min_severity = severity::kError;
  options.now = [&clock] { return Now(clock); };
  options.wall_ms = [&clock] { return WallMilliseconds(clock); };
  return options;
}

void WriteTraffic(std::span<const peer_traffic> rows, exposition& page) {
  constexpr std::string_view kBytes = "sycamorehinge_peer_bytes_total";
  constexpr std::string_view kMessages = "sycamorehinge_peer_messages_total";
  const auto labels = [](const peer_traffic& row, std::string_view direction) {
    return std::array<metric_label, 4>{{{"peer", row.peer.value},
                                        {"kind", row.kind},
                                        {"direction", direction},
                                        {"other_region", row.other_region ? "true" : "false"}}};
  };
  page.Family(kBytes, metric_kind::kCounter, "Bytes of sealed frames to and from peers");
  for (const peer_traffic& row : rows) {
    page.Sample(kBytes, labels(row, "sent"), static_cast<double>(row.sent_bytes));
    page.Sample(kBytes, labels(row, "received"), static_cast<double>(row.received_bytes));
  }
  page.Family(kMessages, metric_kind::kCounter, "Messages to and from peers");
  for (const peer_traffic& row : rows) {
    page.Sample(kMessages, labels(row, "sent"), static_cast<double>(row.sent_messages));
    page.Sample(kMessages, labels(row, "received"), static_cast<double>(row.received_messages));
  }
}

void WritePools(const node_summary& summary, exposition& page) {
  constexpr std::string_view kName = "sycamorehinge_pool_share_taken";
  page.Family(kName, metric_kind::kGauge, "Share of the room of a pool that is taken, 0 to 1");
  for (const auto& each : summary.pools) {
    const pool_load& load = each.first;
    const pool_summary& pool = each.second;
    const auto share = [](std::int64_t taken, std::int64_t capacity) {
      return capacity == 0 ? 0.0 : static_cast<double>(taken) / static_cast<double>(capacity);
    };
    const auto sample = [&](std::string_view axis, double value) {
      page.Sample(kName,
                  {{"environment", load.environment.value},
                   {"service", load.service.value},
                   {"axis", axis}},
                  value);
    };
    sample("cores", share(pool.taken.cores_milli, pool.capacity.cores_milli));
    sample("memory", share(pool.taken.memory_mb, pool.capacity.memory_mb));
    sample("accelerators", share(pool.taken.accelerators, pool.capacity.accelerators));
    sample("slots", share(pool.taken.slots, pool.capacity.slots));
  }
}

}  // namespace

entry_process::entry_process(process_settings settings, std::string peer_key, access_tokens tokens,
                             std::function<void(errc)> stop)
    : settings_(std::move(settings)),
      incarnation_(IncarnationOf(settings_)),
      stop_(std::move(stop)),
      log_file_(OpenLog(settings_.log)),
      events_(EventOptions(settings_.log, log_file_.get(), clock_)),
      log_(*http_, {settings_.platform.log_address, settings_.platform.timeout}),
      hosts_(*http_),
      list_(*http_, {settings_.platform.hosts_address, settings_.platform.timeout, {}}),
      timers_(std::make_unique<timer_queue>(clock_)),
      peers_(std::make_unique<peer_transport>(
          PeerOptions(settings_, incarnation_, std::move(peer_key)), MakeHandlers())),
      node_(std::make_unique<entry_node>(NodeOptions(settings_, incarnation_), MakePorts(),
                                         node_observer{&events_, &metrics_})),
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
  // Answers that still come in run into the node, so the client goes first; what the node asks for
  // from then on is dropped by its ports.
  closing_ = true;
  http_.reset();
  events_.Write(event_number::kProcessStopped, {{"process", settings_.process.name.value}});
}

errc entry_process::Start() {
  const result<std::vector<peer_address>> addresses = PeerAddresses(settings_);
  if (!addresses) return addresses.code();
  if (const errc bound = peers_->Bind(); bound != errc::kOk) return bound;
  if (const errc started = peers_->Start(*addresses); started != errc::kOk) return started;
  node_->Start();
  events_.Write(event_number::kProcessStarted,
                {{"process", settings_.process.name.value}, {"incarnation", incarnation_}});
  return server_->Start();
}

void entry_process::Drain() {
  events_.Write(event_number::kDrainStarted, {{"process", settings_.process.name.value}});
  node_->Drain(settings_.drain.timeout, [this] { stop_(errc::kOk); });
}

ports entry_process::MakePorts() {
  ports out;
  out.now = [this] { return Now(clock_); };
  out.wall_ms = [this] { return WallMilliseconds(clock_); };
  out.call_host = [this](const listed_host& host, host_call call, completion<host_answer> done) {
    if (closing_) return;
    hosts_.Call(host, std::move(call), std::move(done));
  };
  out.append = [this](std::string_view stream, std::string bytes, completion<std::uint64_t> done) {
    if (closing_) return;
    log_.Append(stream, std::move(bytes), std::move(done));
  };
  out.read = [this](std::string_view stream, std::uint64_t from, std::uint32_t max,
                    completion<log_page> done) {
    if (!closing_) log_.Read(stream, from, max, std::move(done));
  };
  out.list_hosts = [this](completion<std::vector<listed_host>> done) {
    if (!closing_) list_.List(std::move(done));
  };
  out.send_peer = [this](const process_id& peer, const peer_message& message) {
    return peers_->Send(peer, message);
  };
  out.send_heartbeat = [this](const process_id& peer, const process_status& status) {
    peers_->SendHeartbeat(peer, status);
  };
  out.at = [this](time_point when, std::function<void()> work) {
    if (timers_) timers_->ScheduleAt(when, std::move(work));
  };
  return out;
}

peer_handlers entry_process::MakeHandlers() {
  peer_handlers handlers;
  handlers.on_message = [this](const process_id& from, const peer_message& message) {
    node_->OnPeerMessage(from, message);
  };
  handlers.on_heartbeat = [this](const process_status& status) {
    if (node_->OnHeartbeat(status) != errc::kDuplicateName) return;
    events_.Write(event_number::kDuplicateName, {{"process", status.process.value}});
    stop_(errc::kDuplicateName);
  };
  handlers.on_fault = [this](const peer_fault& fault) { ReportFault(fault); };
  handlers.on_connection_change = [this](const process_id& peer, bool connected) {
    events_.Write(connected ? event_number::kPeerConnected : event_number::kPeerDisconnected,
                  {{"peer", peer.value}});
  };
  return handlers;
}

void entry_process::ReportFault(const peer_fault& fault) {
  constexpr std::array kNumbers = {
      event_number::kPeerGarbage,  event_number::kPeerWrongVersion,  event_number::kPeerWrongKey,
      event_number::kPeerReplayed, event_number::kPeerUnknownSender, event_number::kPeerOversized};
  events_.Write(kNumbers.at(static_cast<std::size_t>(fault.kind)),
                {{"source", fault.source}, {"count", fault.count}});
}

std::string entry_process::Metrics() const {
  exposition page;
  metrics_.WriteTo(page);
  WriteTraffic(peers_->TrafficCounters(), page);
  WritePools(node_->Summary(), page);
  return page.Text();
}

}  // namespace sycamorehinge
