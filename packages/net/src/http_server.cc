#include "sycamorehinge/net/http_server.h"

#include <ulfius.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "listen_socket.h"

namespace sycamorehinge {

namespace {

constexpr int kListenBacklog = 511;
// libmicrohttpd keeps the head of a request in this pool; headers that do not even fit there get
// its own bare 431.
constexpr std::size_t kPoolBytesPerHeaderByte = 4;
constexpr std::size_t kPoolBase = std::size_t{32} << 10;

// Reply of one request; shared between the waiting connection thread and the replier.
class pending_reply {
 public:
  void Set(http_response response) {
    {
      const std::lock_guard lock(mutex_);
      if (response_) return;
      response_ = std::move(response);
    }
    ready_.notify_one();
  }

  http_response Wait(duration timeout) {
    std::unique_lock lock(mutex_);
    if (!ready_.wait_for(lock, timeout, [this] { return response_.has_value(); })) {
      // Set ignores replies that come later.
      response_.emplace();
      return ErrorResponse(errc::kTimeout, "the request took too long");
    }
    return std::move(*response_);
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<http_response> response_;
};

std::vector<http_header_view> ViewsOf(const _u_map* map) {
  std::vector<http_header_view> views;
  const int count = u_map_count(map);
  for (int i = 0; i < count; ++i) {
    // The lengths count a closing zero; a parameter without '=' has no value.
    const char* value = map->values[i];
    views.push_back({map->keys[i], value == nullptr ? "" : value});
  }
  return views;
}

std::size_t TotalBytes(std::span<const http_header_view> headers) {
  // Each header line adds a colon, a space and a line end.
  constexpr std::size_t kLineBytes = 4;
  std::size_t total = 0;
  for (const auto& header : headers) total += header.name.size() + header.value.size() + kLineBytes;
  return total;
}

std::string_view QueryOf(std::string_view url) {
  const auto mark = url.find('?');
  return mark == std::string_view::npos ? std::string_view() : url.substr(mark + 1);
}

std::string_view PathOf(std::string_view url) { return url.substr(0, url.find('?')); }

// True while the request on this connection's thread counts as in flight.
thread_local bool request_counted = false;

}  // namespace

class http_server::running {
 public:
  running(const http_server_options& options, const handler& handle)
      : options_(options), handle_(handle) {}
  ~running() { Stop(); }
  running(const running&) = delete;
  running& operator=(const running&) = delete;

  bool Start();
  void Stop();
  std::uint16_t Port() const { return port_; }

 private:
  static int OnRequest(const _u_request* request, _u_response* response, void* self);
  static void OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);

  http_response Answer(const _u_request& raw);
  http_response Dispatch(const http_request& request);
  bool Begin();
  void End();
  bool StartDaemon();
  void WriteResponse(const http_response& answer, _u_response& response);

  const http_server_options& options_;
  const handler& handle_;
  _u_instance instance_{};
  bool started_ = false;
  std::uint16_t port_ = 0;

  std::mutex mutex_;
  std::condition_variable idle_;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
  bool closed_ = false;
};

bool http_server::running::Start() {
  socket_fd listener = ListenOn(options_.listen, options_.port, kListenBacklog, port_);
  if (listener.Get() < 0) return false;
  // The listener is already bound, so the port is only what ulfius prints and checks.
  if (ulfius_init_instance(&instance_, port_, nullptr, nullptr) != U_OK) return false;
  // One more byte than allowed, so that a body that is too large can be told from one that fits.
  instance_.max_post_body_size = options_.max_body_bytes + 1;
  instance_.allowed_post_processor = U_POST_PROCESS_NONE;
  instance_.check_utf8 = 0;
  ulfius_set_default_endpoint(&instance_, &running::OnRequest, this);
  ulfius_add_endpoint_by_val(&instance_, "*", nullptr, "*", 0, &running::OnRequest, this);
  const int fd = listener.Get();
  // libmicrohttpd counts the time of the handler as idle and would drop its late answer.
  const duration quiet = std::max(options_.idle_timeout, 2 * options_.request_timeout);
  const auto idle = std::chrono::ceil<std::chrono::seconds>(quiet).count();
  const std::size_t pool = kPoolBase + options_.max_header_bytes * kPoolBytesPerHeaderByte;
  MHD_OptionItem items[] = {
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&running::OnCompleted), this},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
      {MHD_OPTION_LISTEN_SOCKET, fd, nullptr},
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(options_.max_connections), nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(pool), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(idle), nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  // The flags of ulfius's own start, with poll instead of select for descriptors above 1024 and
  // the wakeup channel that MHD_quiesce_daemon needs.
  constexpr unsigned kFlags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&instance_, kFlags, items) != U_OK) {
    ulfius_clean_instance(&instance_);
    return false;
  }
  listener.Release();
  started_ = true;
  return true;
}

void http_server::running::Stop() {
  if (!started_) return;
  started_ = false;
  // Closing the listener after the quiesce makes new connections fail as refused.
  socket_fd listener(MHD_quiesce_daemon(instance_.mhd_daemon));
  listener.Close();
  {
    std::unique_lock lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return in_flight_ == 0; });
    closed_ = true;
  }
  ulfius_stop_framework(&instance_);
  ulfius_clean_instance(&instance_);
}

int http_server::running::OnRequest(const _u_request* request, _u_response* response, void* self) {
  auto* server = static_cast<running*>(self);
  if (!server->Begin()) {
    server->WriteResponse(ErrorResponse(errc::kDraining), *response);
    return U_CALLBACK_COMPLETE;
  }
  server->WriteResponse(server->Answer(*request), *response);
  return U_CALLBACK_COMPLETE;
}

// Runs after the answer was sent, on the thread of the connection.
void http_server::running::OnCompleted(void* self, MHD_Connection* connection, void** state,
                                       MHD_RequestTerminationCode code) {
  mhd_request_completed(nullptr, connection, state, code);
  if (std::exchange(request_counted, false)) static_cast<running*>(self)->End();
}

bool http_server::running::Begin() {
  const std::lock_guard lock(mutex_);
  if (closed_) return false;
  if (!std::exchange(request_counted, true)) ++in_flight_;
  return true;
}

void http_server::running::End() {
  const std::lock_guard lock(mutex_);
  if (--in_flight_ == 0) idle_.notify_all();
}

http_response http_server::running::Answer(const _u_request& raw) {
  const std::vector<http_header_view> headers = ViewsOf(raw.map_header);
  if (TotalBytes(headers) > options_.max_header_bytes) {
    http_response response = ErrorResponse(errc::kTooLarge, "headers");
    response.status = 431;
    return response;
  }
  if (raw.binary_body_length > options_.max_body_bytes) {
    return ErrorResponse(errc::kTooLarge, "body");
  }
  const std::vector<http_header_view> values = ViewsOf(raw.map_url);
  http_request request;
  request.method = raw.http_verb;
  request.path = PathOf(raw.http_url);
  request.query = QueryOf(raw.http_url);
  request.headers = headers;
  request.query_values = values;
  request.body = {static_cast<const char*>(raw.binary_body), raw.binary_body_length};
  return Dispatch(request);
}

http_response http_server::running::Dispatch(const http_request& request) {
  const auto pending = std::make_shared<pending_reply>();
  handle_(request, [pending](http_response response) { pending->Set(std::move(response)); });
  return pending->Wait(options_.request_timeout);
}

void http_server::running::WriteResponse(const http_response& answer, _u_response& response) {
  for (const http_header& header : answer.headers) {
    u_map_put(response.map_header, header.name.c_str(), header.value.c_str());
  }
  bool closing = false;
  {
    const std::lock_guard lock(mutex_);
    closing = draining_;
  }
  if (closing) u_map_put(response.map_header, "Connection", "close");
  ulfius_set_binary_body_response(&response, static_cast<unsigned>(answer.status),
                                  answer.body.data(), answer.body.size());
}

http_server::http_server(http_server_options options, handler handle)
    : options_(std::move(options)), handle_(std::move(handle)) {}

http_server::~http_server() = default;

errc http_server::Start() {
  auto server = std::make_unique<running>(options_, handle_);
  if (!server->Start()) return errc::kInternal;
  running_ = std::move(server);
  return errc::kOk;
}

void http_server::Stop() {
  if (running_) running_->Stop();
}

std::uint16_t http_server::Port() const { return running_ ? running_->Port() : 0; }

std::string http_server::Address() const {
  const bool v6 = options_.listen.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + options_.listen + "]" : options_.listen;
  return "http://" + host + ":" + std::to_string(Port());
}

std::string_view http_request::Header(std::string_view name) const {
  return FindHeader(headers, name).value_or(std::string_view());
}

std::optional<std::string_view> http_request::Query(std::string_view name) const {
  for (const http_header_view& value : query_values) {
    if (value.name == name) return value.value;
  }
  return std::nullopt;
}

}  // namespace sycamorehinge
