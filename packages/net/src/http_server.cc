#include "sycamorehinge/net/http_server.h"

#include <microhttpd.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

#include "listen_socket.h"
#include "sycamorehinge/net/runtime_clock.h"

namespace sycamorehinge {

namespace {

constexpr int kListenBacklog = 511;
// libmicrohttpd keeps the head of a request in this pool; headers that do not even fit there get
// its own bare 431.
constexpr std::size_t kPoolBytesPerHeaderByte = 2;
constexpr std::size_t kPoolBase = std::size_t{8} << 10;

MHD_Result AddView(void* views, MHD_ValueKind /*kind*/, const char* name, const char* value) {
  // A parameter without '=' has no value.
  static_cast<std::vector<http_header_view>*>(views)->push_back({name, value ? value : ""});
  return MHD_YES;
}

std::vector<http_header_view> ViewsOf(MHD_Connection* connection, MHD_ValueKind kind) {
  std::vector<http_header_view> views;
  MHD_get_connection_values(connection, kind, &AddView, &views);
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

// One request and its reply; shared by the connection and whoever replies.
class exchange {
 public:
  explicit exchange(const char* url) : url_(url) {}

  const std::string& Url() const { return url_; }
  std::string& Body() { return body_; }

  // Keeps the first reply and wakes the connection if it waits.
  void Reply(http_response response) {
    const std::lock_guard lock(mutex_);
    if (response_) return;
    response_ = std::move(response);
    if (suspended_) MHD_resume_connection(suspended_);
    suspended_ = nullptr;
  }
  // Takes the connection out of the event loop until the reply comes; false if it is there.
  bool SuspendUntilReply(MHD_Connection* connection) {
    const std::lock_guard lock(mutex_);
    if (response_) return false;
    suspended_ = connection;
    MHD_suspend_connection(connection);
    return true;
  }
  bool Replied() const {
    const std::lock_guard lock(mutex_);
    return response_.has_value();
  }
  http_response TakeReply() {
    const std::lock_guard lock(mutex_);
    return std::move(*response_);
  }

  // Used by the event loop only.
  bool begun = false;
  bool dispatched = false;

 private:
  const std::string url_;
  std::string body_;
  mutable std::mutex mutex_;
  std::optional<http_response> response_;
  MHD_Connection* suspended_ = nullptr;
};

using exchange_handle = std::shared_ptr<exchange>;

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
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* url,
                              const char* method, const char* version, const char* data,
                              std::size_t* size, void** state);
  static void OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);

  void Dispatch(MHD_Connection* connection, const char* method, const exchange_handle& current);
  MHD_Result SendReply(MHD_Connection* connection, http_response answer);
  bool Begin();
  void End();
  void WatchTimeout(const exchange_handle& current);
  void ExpireRequests();

  const http_server_options& options_;
  const handler& handle_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;

  std::mutex mutex_;
  std::condition_variable idle_;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
  bool closed_ = false;
  // Requests without a reply, oldest first: all have the same timeout.
  std::deque<std::pair<time_point, std::weak_ptr<exchange>>> waiting_;
  bool timer_set_ = false;
  const runtime_clock clock_ = system_clock();
  timer_queue timers_{clock_};
};

bool http_server::running::Start() {
  socket_fd listener = ListenOn(options_.listen, options_.port, kListenBacklog, port_);
  if (listener.Get() < 0) return false;
  const auto idle = std::chrono::ceil<std::chrono::seconds>(options_.idle_timeout).count();
  const std::size_t pool = kPoolBase + options_.max_header_bytes * kPoolBytesPerHeaderByte;
  // One thread serves all connections: a thread for each costs nine times the processor time.
  constexpr unsigned kFlags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  daemon_ = MHD_start_daemon(
      kFlags, 0, nullptr, nullptr, &running::OnRequest, this, MHD_OPTION_URI_LOG_CALLBACK,
      &running::OnUri, this, MHD_OPTION_NOTIFY_COMPLETED, &running::OnCompleted, this,
      MHD_OPTION_LISTEN_SOCKET, listener.Get(), MHD_OPTION_CONNECTION_LIMIT,
      options_.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool,
      MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idle), MHD_OPTION_END);
  if (!daemon_) return false;
  listener.Release();
  return true;
}

void http_server::running::Stop() {
  if (!daemon_) return;
  // Closing the listener after the quiesce makes new connections fail as refused.
  socket_fd listener(MHD_quiesce_daemon(daemon_));
  listener.Close();
  {
    std::unique_lock lock(mutex_);
    draining_ = true;
    idle_.wait(lock, [this] { return in_flight_ == 0; });
    closed_ = true;
  }
  MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

// The result becomes the state of the request.
void* http_server::running::OnUri(void* /*self*/, const char* uri, MHD_Connection* /*connection*/) {
  return new exchange_handle(std::make_shared<exchange>(uri));
}

MHD_Result http_server::running::OnRequest(void* self, MHD_Connection* connection,
                                           const char* /*url*/, const char* method,
                                           const char* /*version*/, const char* data,
                                           std::size_t* size, void** state) {
  auto* server = static_cast<running*>(self);
  const exchange_handle current = *static_cast<exchange_handle*>(*state);
  if (!current->begun) {
    // First call: the headers are there, the body is not.
    if (!server->Begin()) return MHD_NO;
    current->begun = true;
    return MHD_YES;
  }
  if (*size > 0) {
    // One more byte than allowed, so that a body that is too large can be told from one that fits.
    const std::size_t left = server->options_.max_body_bytes + 1 - current->Body().size();
    current->Body().append(data, std::min(*size, left));
    *size = 0;
    return MHD_YES;
  }
  if (!current->dispatched) {
    current->dispatched = true;
    server->Dispatch(connection, method, current);
    if (current->SuspendUntilReply(connection)) {
      server->WatchTimeout(current);
      return MHD_YES;
    }
  }
  return server->SendReply(connection, current->TakeReply());
}

// Runs after the answer was sent or the connection broke.
void http_server::running::OnCompleted(void* self, MHD_Connection* /*connection*/, void** state,
                                       MHD_RequestTerminationCode /*code*/) {
  const std::unique_ptr<exchange_handle> current(static_cast<exchange_handle*>(*state));
  if (current && (*current)->begun) static_cast<running*>(self)->End();
}

bool http_server::running::Begin() {
  const std::lock_guard lock(mutex_);
  if (closed_) return false;
  ++in_flight_;
  return true;
}

void http_server::running::End() {
  const std::lock_guard lock(mutex_);
  if (--in_flight_ == 0) idle_.notify_all();
}

void http_server::running::Dispatch(MHD_Connection* connection, const char* method,
                                    const exchange_handle& current) {
  const std::vector<http_header_view> headers = ViewsOf(connection, MHD_HEADER_KIND);
  if (TotalBytes(headers) > options_.max_header_bytes) {
    http_response response = ErrorResponse(errc::kTooLarge, "headers");
    response.status = 431;
    return current->Reply(std::move(response));
  }
  if (current->Body().size() > options_.max_body_bytes) {
    return current->Reply(ErrorResponse(errc::kTooLarge, "body"));
  }
  const std::vector<http_header_view> values = ViewsOf(connection, MHD_GET_ARGUMENT_KIND);
  http_request request;
  request.method = method;
  request.path = PathOf(current->Url());
  request.query = QueryOf(current->Url());
  request.headers = headers;
  request.query_values = values;
  request.body = current->Body();
  handle_(request, [current](http_response response) { current->Reply(std::move(response)); });
}

MHD_Result http_server::running::SendReply(MHD_Connection* connection, http_response answer) {
  MHD_Response* response = MHD_create_response_from_buffer(answer.body.size(), answer.body.data(),
                                                           MHD_RESPMEM_MUST_COPY);
  for (const http_header& header : answer.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  {
    const std::lock_guard lock(mutex_);
    if (draining_) MHD_add_response_header(response, "Connection", "close");
  }
  const auto queued =
      MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return queued;
}

void http_server::running::WatchTimeout(const exchange_handle& current) {
  const std::lock_guard lock(mutex_);
  waiting_.emplace_back(Now(clock_) + options_.request_timeout, current);
  if (std::exchange(timer_set_, true)) return;
  timers_.At(waiting_.front().first, [this] { ExpireRequests(); });
}

void http_server::running::ExpireRequests() {
  std::vector<exchange_handle> expired;
  {
    const std::lock_guard lock(mutex_);
    const time_point now = Now(clock_);
    while (!waiting_.empty()) {
      exchange_handle current = waiting_.front().second.lock();
      const bool open = current && !current->Replied();
      if (open && waiting_.front().first > now) break;
      if (open) expired.push_back(std::move(current));
      waiting_.pop_front();
    }
    timer_set_ = !waiting_.empty();
    if (timer_set_) timers_.At(waiting_.front().first, [this] { ExpireRequests(); });
  }
  for (const exchange_handle& current : expired) {
    current->Reply(ErrorResponse(errc::kTimeout, "the request took too long"));
  }
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
