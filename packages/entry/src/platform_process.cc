#include "platform_process.h"

#include <iostream>
#include <utility>

#include "memory_plan.h"
#include "peer_calls.h"
#include "sycamorehinge/platform/ingress.h"

namespace sycamorehinge {

namespace {

// New connections keep coming until two checks of readiness, a second apart, have failed.
constexpr duration kDrainLeast = std::chrono::milliseconds(2300);
constexpr duration kDrainPoll = std::chrono::milliseconds(50);
// Time kept for the end of the process before it is killed.
constexpr duration kDrainReserve = std::chrono::milliseconds(1200);
// Time to send the last answers.
constexpr duration kLastAnswerTime = std::chrono::milliseconds(200);
// A reader of the log that takes longer loses the last lines.
constexpr std::chrono::milliseconds kFlushTime{300};
constexpr duration kSettingsInterval = std::chrono::seconds(2);
// Calls between processes hold at most one job.
constexpr std::size_t kPeerBodyBytes = std::size_t{1} << 20;
constexpr std::size_t kReadinessBodyBytes = std::size_t{1} << 10;
// Open calls have been answered before the servers stop.
constexpr duration kStopTimeout = std::chrono::milliseconds(500);
// Interval at which the limits of the configuration in force are applied.
constexpr duration kLimitsInterval = std::chrono::milliseconds(500);
// Leases leave this much of the longest one that hosts grant.
constexpr duration kLeaseReserve = std::chrono::milliseconds(500);
// Tenants with gauges of their own, those that hold most; 380 are expected.
constexpr std::size_t kMaxTenantRows = 512;
// Room for the key in a record of the store.
constexpr std::size_t kKeyBytes = 144;

event_log_options EventOptions(const runtime_clock& clock) {
  event_log_options options;
  options.out = &std::cout;
  // Decisions about different tasks are different subjects; the limit bounds the volume.
  options.repeat_interval = std::chrono::seconds(1);
  options.max_subjects = 2048;
  options.now = [&clock] { return Now(clock); };
  options.wall_ms = [&clock] { return WallMilliseconds(clock); };
  return options;
}

http_client_options HostClientOptions(std::size_t max_sockets) {
  http_client_options options;
  options.max_idle_connections = static_cast<long>(max_sockets / 2);
  return options;
}

http_client_options PeerClientOptions(std::size_t max_sockets) {
  http_client_options options;
  options.max_idle_connections = static_cast<long>(max_sockets / 8);
  return options;
}

}  // namespace

platform_process::platform_process(platform::platform_settings settings, std::string path,
                                   std::function<void()> stop)
    : path_(std::move(path)),
      settings_(std::move(settings)),
      stop_(std::move(stop)),
      events_(EventOptions(clock_)),
      host_http_(HostClientOptions(settings_.Get().max_sockets)),
      peer_http_(PeerClientOptions(settings_.Get().max_sockets)),
      store_(store_http_, settings_),
      hosts_(host_http_, settings_),
      timers_(std::make_unique<timer_queue>(clock_)) {}

platform_process::~platform_process() = default;

void platform_process::Close() {
  for (http_server* server : {front_.get(), ready_.get(), peers_.get()}) server->Stop();
  events_.Write(event_number::kProcessStopped);
  events_.Flush(kFlushTime);
}

control::control_options platform_process::MakeOptions() const {
  const platform::platform_settings settings = settings_.Get();
  control::control_options options;
  options.self.name = settings.node;
  options.self.address = settings.ip + ":" + std::to_string(settings.peer_port);
  options.self.region = settings.region;
  options.self.data_centre = settings.data_centre;
  options.membership.ttl = std::max(options.membership.ttl, settings.min_member_ttl);
  options.membership.processor_cores = settings.processor_cores;
  cell::scheduler_options& scheduler = options.scheduler;
  scheduler.lease = std::min(scheduler.lease, settings.max_lease - kLeaseReserve);
  scheduler.max_lease = settings.max_lease;
  scheduler.stop_timeout = settings.stop_timeout;
  scheduler.gang_timeout = settings.gang_timeout;
  scheduler.far_factor = settings.far_factor;
  scheduler.max_job_bytes = PlanMemory(settings.memory_bytes, settings.max_sockets).job_bytes;
  scheduler.max_record_bytes = settings.max_record_bytes - kKeyBytes;
  scheduler.job_retention = std::max(scheduler.job_retention, settings.status_retention * 5 / 4);
  return options;
}

control::ports platform_process::MakePorts() {
  control::ports port;
  port.now = [this] { return Now(clock_); };
  port.wall_ms = [this] { return WallMilliseconds(clock_); };
  port.run_at = [this](time_point when, std::function<void()> task) {
    timers_->ScheduleAt(when, std::move(task));
  };
  port.read = [this](control::stream_name stream, const control::read_position& position,
                     control::completion<control::stream_page> done) {
    store_.Read(stream, position, std::move(done));
  };
  port.append = [this](control::stream_name stream,
                       const std::optional<control::append_guard>& guard,
                       const std::vector<control::stream_record>& records,
                       control::completion<std::uint64_t> done) {
    store_.Append(stream, guard, records, std::move(done));
  };
  port.join = [this](std::string_view member, std::uint64_t generation, duration ttl,
                     control::completion<std::uint64_t> done) {
    store_.Join(member, generation, ttl, std::move(done));
  };
  port.leave = [this](std::string_view member, std::function<void()> done) {
    store_.Leave(member, std::move(done));
  };
  port.connect_time = [this](auto done) { store_.MeasureConnectTime(std::move(done)); };
  port.members = [this](auto done) { store_.Members(std::move(done)); };
  port.parse_config = &platform::ParseConfig;
  port.parse_host = &platform::ParseHostEntry;
  port.poll_host = [this](const cell::poll_host& poll, auto done) {
    hosts_.Poll(poll, std::move(done));
  };
  port.start_task = [this](const cell::start_task& start, auto done) {
    hosts_.Start(start, std::move(done));
  };
  port.stop_task = [this](const cell::stop_task& stop, auto done) {
    hosts_.Stop(stop, std::move(done));
  };
  port.throttle_task = [this](const cell::throttle_task& pace, auto done) {
    hosts_.Throttle(pace, std::move(done));
  };
  port.advise = [this](const cell::task_ref& step, const std::vector<host_id>& hosts,
                       duration timeout,
                       auto done) { hosts_.RequestAdvice(step, hosts, timeout, std::move(done)); };
  port.call_peer = [this](std::string_view address, const control::peer_call& call,
                          duration timeout, auto done) {
    CallPeer(peer_http_, address, call, timeout, std::move(done));
  };
  return port;
}

errc platform_process::Start() {
  const platform::platform_settings settings = settings_.Get();
  node_ = std::make_unique<control::control_node>(MakeOptions(), MakePorts(),
                                                  control::control_observer{&events_, &metrics_});
  const memory_plan plan = PlanMemory(settings.memory_bytes, settings.max_sockets);
  http_server_options options;
  options.stop_timeout = kStopTimeout;
  options.on_limited = [this](std::string_view limit) {
    events_.Write(event_number::kCallerLimited, {{"limit", limit}});
  };
  const auto set_share = [&options](const server_share& share) {
    options.max_connections = share.max_connections;
    options.max_held_bytes = share.max_held_bytes;
  };
  set_share(plan.callers);
  options.listen = settings.front_address.host;
  options.port = settings.front_address.port;
  front_ = std::make_unique<http_server>(
      options, platform::MakeIngressHandler(*node_, [this] { return Now(clock_); }));
  set_share(plan.readiness);
  options.max_body_bytes = kReadinessBodyBytes;
  options.listen = settings.readiness_address.host;
  options.port = settings.readiness_address.port;
  ready_ = std::make_unique<http_server>(options, platform::MakeReadinessHandler(*node_));
  set_share(plan.peers);
  options.listen = settings.ip;
  options.port = settings.peer_port;
  options.max_body_bytes = kPeerBodyBytes;
  peers_ =
      std::make_unique<http_server>(options, MakePeerHandler(*node_, [this] { return Metrics(); }));
  for (http_server* server : {front_.get(), ready_.get(), peers_.get()}) {
    if (const errc code = server->Start(); code != errc::kOk) {
      events_.Write(event_number::kListenFailed);
      return code;
    }
  }
  events_.Write(event_number::kProcessStarted,
                {{"node", settings.node},
                 {"processor_milli", static_cast<std::int64_t>(settings.processor_cores * 1000)}});
  node_->Start();
  WatchSettings();
  WatchLimits();
  return errc::kOk;
}

std::string platform_process::Metrics() const {
  exposition page;
  metrics_.WriteTo(page);
  const control::control_summary now = node_->Summary();
  const auto counter = [&page](std::string_view name, std::string_view help, std::uint64_t value) {
    page.Family(name, metric_kind::kCounter, help);
    page.Sample(name, {}, static_cast<double>(value));
  };
  const auto gauge = [&page](std::string_view name, std::string_view help, double value) {
    page.Family(name, metric_kind::kGauge, help);
    page.Sample(name, {}, value);
  };
  gauge("sycamorehinge_owns_cell", "1 if this process owns the cell", now.owns_cell ? 1 : 0);
  gauge("sycamorehinge_config_version", "version of the configuration in force",
        static_cast<double>(now.config_version));
  gauge("sycamorehinge_open_calls", "calls without an answer", static_cast<double>(now.open_calls));
  gauge("sycamorehinge_open_jobs", "jobs that have not ended",
        static_cast<double>(now.cell.open_jobs));
  gauge("sycamorehinge_waiting_steps", "steps with tasks that wait for a host",
        static_cast<double>(now.cell.waiting_steps));
  gauge("sycamorehinge_runs", "runs on hosts", static_cast<double>(now.cell.runs));
  gauge("sycamorehinge_cores_milli", "thousandths of cores of listed hosts",
        static_cast<double>(now.cell.capacity.cores_milli));
  gauge("sycamorehinge_taken_milli", "thousandths of cores taken by runs",
        static_cast<double>(now.cell.allocated.cores_milli));
  const http_server_load load = front_->Load();
  gauge("sycamorehinge_caller_connections", "connections of callers",
        static_cast<double>(load.connections));
  gauge("sycamorehinge_held_request_bytes", "bytes of requests and answers of callers",
        static_cast<double>(load.held_bytes));
  counter("sycamorehinge_limited_requests",
          "requests refused and connections of callers closed because of a limit", load.limited);
  counter("sycamorehinge_near_waits", "steps that waited for room near their data or group",
          now.cell.near_waits);
  counter("sycamorehinge_far_starts", "tasks that started away from their data or group",
          now.cell.far_starts);
  AddTenantMetrics(page);
  return page.Text();
}

void platform_process::AddTenantMetrics(exposition& page) const {
  const std::vector<cell::tenant_usage> tenants = node_->TenantUsage(kMaxTenantRows);
  const auto family = [&](std::string_view name, std::string_view help, auto value) {
    if (tenants.empty()) return;
    page.Family(name, metric_kind::kGauge, help);
    for (const cell::tenant_usage& row : tenants) {
      page.Sample(name, {{"tenant", row.name}}, static_cast<double>(value(row)));
    }
  };
  family("sycamorehinge_tenant_cores_milli", "thousandths of cores that runs of the tenant hold",
         [](const cell::tenant_usage& row) { return row.held.cores_milli; });
  family("sycamorehinge_tenant_quota_milli",
         "quota of the tenant in thousandths of cores, 0 if none",
         [](const cell::tenant_usage& row) { return row.quota.cores_milli; });
  family("sycamorehinge_tenant_waiting_steps", "waiting steps of the tenant",
         [](const cell::tenant_usage& row) { return row.waiting_steps; });
  family("sycamorehinge_tenant_over_share", "1 if the tenant holds more than its share",
         [](const cell::tenant_usage& row) { return row.over_share ? 1 : 0; });
}

void platform_process::Drain() {
  if (std::exchange(draining_, true)) return;
  events_.Write(event_number::kDrainStarted);
  draining_since_ = Now(clock_);
  node_->Drain();
  FinishDrain();
}

// Ends when no call is open any more and no new ones can come, or when time is up. Calls that are
// still open then are answered first.
void platform_process::FinishDrain() {
  const duration spent = Now(clock_) - draining_since_;
  const bool idle = spent >= kDrainLeast && node_->Summary().open_calls == 0;
  if (!idle && spent < settings_.Get().termination_grace - kDrainReserve) {
    timers_->ScheduleAfter(kDrainPoll, [this] { FinishDrain(); });
    return;
  }
  node_->EndCalls();
  timers_->ScheduleAfter(kLastAnswerTime, [this] {
    events_.Write(event_number::kDrainFinished);
    stop_();
  });
}

// The limits of requests are part of the configuration.
void platform_process::WatchLimits() {
  if (const auto config = node_->Config()) {
    const cell::request_limits& configured = config->limits;
    request_size_limits limits;
    if (configured.max_body_bytes > 0) limits.max_body_bytes = configured.max_body_bytes;
    if (configured.max_header_bytes > 0) limits.max_header_bytes = configured.max_header_bytes;
    if (configured.header_timeout > duration()) limits.header_timeout = configured.header_timeout;
    if (configured.idle_timeout > duration()) limits.idle_timeout = configured.idle_timeout;
    front_->SetLimits(limits);
  }
  timers_->ScheduleAfter(kLimitsInterval, [this] { WatchLimits(); });
}

// The file may change without a signal.
void platform_process::WatchSettings() {
  timers_->ScheduleAfter(kSettingsInterval, [this] {
    Reload();
    WatchSettings();
  });
}

void platform_process::Reload() {
  result<platform::platform_settings> next = platform::LoadSettings(path_);
  if (!next) {
    events_.Write(event_number::kSettingsInvalid, {{"field", next.detail()}});
    return;
  }
  const platform::platform_settings before = settings_.Get();
  const bool changed = before.store_address != next->store_address ||
                       before.advice_address != next->advice_address ||
                       before.cloud_api_address != next->cloud_api_address ||
                       before.termination_grace != next->termination_grace;
  settings_.Set(std::move(*next));
  if (changed) events_.Write(event_number::kSettingsReloaded);
}

}  // namespace sycamorehinge
