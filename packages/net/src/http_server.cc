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
// libmicrohttpd stores the request line and headers in a memory pool of this size. If they do not
// fit, it sends its own plain 431 response.
constexpr std::size_t kPoolBytesPerHeaderByte = 2;
constexpr std::size_t kBasePoolBytes = std::size_t{8} << 10;

MHD_Result AppendValue(void* views, MHD_ValueKind /*kind*/, const char* name, const char* value) {
  // `value` is null for a parameter without '='.
  static_cast<std::vector<http_header_view>*>(views)->push_back({name, value ? value : ""});
  return MHD_YES;
}

std::vector<http_header_view> CollectValues(MHD_Connection* connection, MHD_ValueKind kind) {
  std::vector<http_header_view> views;
  MHD_get_connection_values(connection, kind, &AppendValue, &views);
  return views;
}

std::size_t HeaderBytes(std::span<const http_header_view> headers) {
  // Colon, space and CRLF.
  constexpr std::size_t kSeparatorBytes = 4;
  std::size_t total = 0;
  for (const auto& header : headers) {
    total += header.name.size() + header.value.size() + kSeparatorBytes;
  }
  return total;
}

std::string_view QueryOf(std::string_view url) {
  const auto mark = url.find('?');
  return mark == std::string_view::npos ? std::string_view() : url.substr(mark + 1);
}

std::string_view PathOf(std::string_view url) { return url.substr(0, url.find('?')); }

// A request and its reply, shared by the connection and the reply function.
class exchange {
 public:
  explicit exchange(const char* url) : url_(url) {}

  const std::string& Url() const { return url_; }
  std::string& Body() { return body_; }

  // Stores the first reply and resumes the connection if it is suspended. Ignores later replies.
  void Reply(http_response response) {
    const std::lock_guard lock(mutex_);
    if (response_) return;
    response_ = std::move(response);
    if (suspended_) MHD_resume_connection(suspended_);
    suspended_ = nullptr;
  }
  // Suspends the connection until the reply arrives; false if it has already arrived.
  bool SuspendUntilReply(MHD_Connection* connection) {
    const std::lock_guard lock(mutex_);
    if (response_) return false;
    suspended_ = connection;
    MHD_suspend_connection(connection);
    return true;
  }
  bool HasReply() const {
    const std::lock_guard lock(mutex_);
    return response_.has_value();
  }
  http_response TakeReply() {
    const std::lock_guard lock(mutex_);
    return std::move(*response_);
  }

  // Accessed only on the event loop thread.
  bool started = false;
  bool dispatched = false;

 private:
  const std::string url_;
  std::string body_;
  mutable std::mutex mutex_;
  std::optional<http_response> response_;
  MHD_Connection* suspended_ = nullptr;
};

using exchange_ptr = std::shared_ptr<exchange>;

}  // namespace

class http_server::impl {
 public:
  impl(const http_server_options& options, const handler& handle)
      : options_(options), handler_(handle) {}
  ~impl() { Stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

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

  void Dispatch(MHD_Connection* connection, const char* method, const exchange_ptr& current);
  MHD_Result SendReply(MHD_Connection* connection, http_response reply);
  bool BeginRequest();
  void EndRequest();
  void ScheduleTimeout(const exchange_ptr& current);
  void ExpireRequests();

  const http_server_options& options_;
  const handler& handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;

  std::mutex mutex_;
  std::condition_variable all_finished_;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
  // Deadlines of requests without a reply, oldest first, since all have the same timeout.
  std::deque<std::pair<time_point, std::weak_ptr<exchange>>> pending_;
  bool timer_scheduled_ = false;
  const runtime_clock clock_ = system_clock();
  timer_queue timers_{clock_};
};

bool http_server::impl::Start() {
  socket_fd listener = ListenOn(options_.listen, options_.port, kListenBacklog, port_);
  if (listener.Get() < 0) return false;
  const auto idle = std::chrono::ceil<std::chrono::seconds>(options_.idle_timeout).count();
  const std::size_t pool = kBasePoolBytes + options_.max_header_bytes * kPoolBytesPerHeaderByte;
  // A thread per connection used nine times the CPU time.
  constexpr unsigned kFlags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  daemon_ = MHD_start_daemon(
      kFlags, 0, nullptr, nullptr, &impl::OnRequest, this, MHD_OPTION_URI_LOG_CALLBACK,
      &impl::OnUri, this, MHD_OPTION_NOTIFY_COMPLETED, &impl::OnCompleted, this,
      MHD_OPTION_LISTEN_SOCKET, listener.Get(), MHD_OPTION_CONNECTION_LIMIT,
      options_.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool,
      MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idle), MHD_OPTION_END);
  if (!daemon_) return false;
  listener.Release();
  return true;
}

void http_server::impl::Stop() {
  if (!daemon_) return;
  // Quiescing only stops accepting; closing the listener makes new connections fail as refused.
  socket_fd listener(MHD_quiesce_daemon(daemon_));
  listener.Close();
  {
    std::unique_lock lock(mutex_);
    draining_ = true;
    all_finished_.wait(lock, [this] { return in_flight_ == 0; });
    stopped_ = true;
  }
  MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

// The returned pointer becomes the `state` of the request and is freed in OnCompleted.
void* http_server::impl::OnUri(void* /*self*/, const char* uri, MHD_Connection* /*connection*/) {
  return new exchange_ptr(std::make_shared<exchange>(uri));
}

MHD_Result http_server::impl::OnRequest(void* self, MHD_Connection* connection, const char* /*url*/,
                                        const char* method, const char* /*version*/,
                                        const char* data, std::size_t* size, void** state) {
  auto* server = static_cast<impl*>(self);
  const exchange_ptr current = *static_cast<exchange_ptr*>(*state);
  if (!current->started) {
    // First call: only the headers have been received.
    if (!server->BeginRequest()) return MHD_NO;
    current->started = true;
    return MHD_YES;
  }
  if (*size > 0) {
    // Stores one byte more than the limit, so that Dispatch can detect an oversized body.
    const std::size_t available = server->options_.max_body_bytes + 1 - current->Body().size();
    current->Body().append(data, std::min(*size, available));
    *size = 0;
    return MHD_YES;
  }
  if (!current->dispatched) {
    current->dispatched = true;
    server->Dispatch(connection, method, current);
    if (current->SuspendUntilReply(connection)) {
      server->ScheduleTimeout(current);
      return MHD_YES;
    }
  }
  return server->SendReply(connection, current->TakeReply());
}

// Called after the response was sent or the connection was lost.
void http_server::impl::OnCompleted(void* self, MHD_Connection* /*connection*/, void** state,
                                    MHD_RequestTerminationCode /*code*/) {
  const std::unique_ptr<exchange_ptr> current(static_cast<exchange_ptr*>(*state));
  if (current && (*current)->started) static_cast<impl*>(self)->EndRequest();
}

bool http_server::impl::BeginRequest() {
  const std::lock_guard lock(mutex_);
  if (stopped_) return false;
  ++in_flight_;
  return true;
}

void http_server::impl::EndRequest() {
  const std::lock_guard lock(mutex_);
  if (--in_flight_ == 0) all_finished_.notify_all();
}

void http_server::impl::Dispatch(MHD_Connection* connection, const char* method,
                                 const exchange_ptr& current) {
  const std::vector<http_header_view> headers = CollectValues(connection, MHD_HEADER_KIND);
  if (HeaderBytes(headers) > options_.max_header_bytes) {
    http_response response = ErrorResponse(errc::kTooLarge, "headers");
    response.status = 431;
    return current->Reply(std::move(response));
  }
  if (current->Body().size() > options_.max_body_bytes) {
    return current->Reply(ErrorResponse(errc::kTooLarge, "body"));
  }
  const std::vector<http_header_view> values = CollectValues(connection, MHD_GET_ARGUMENT_KIND);
  http_request request;
  request.method = method;
  request.path = PathOf(current->Url());
  request.query = QueryOf(current->Url());
  request.headers = headers;
  request.query_values = values;
  request.body = current->Body();
  handler_(request, [current](http_response response) { current->Reply(std::move(response)); });
}

MHD_Result http_server::impl::SendReply(MHD_Connection* connection, http_response reply) {
  MHD_Response* response =
      MHD_create_response_from_buffer(reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
  for (const http_header& header : reply.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  {
    const std::lock_guard lock(mutex_);
    if (draining_) MHD_add_response_header(response, "Connection", "close");
  }
  const auto queued = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

void http_server::impl::ScheduleTimeout(const exchange_ptr& current) {
  const std::lock_guard lock(mutex_);
  pending_.emplace_back(Now(clock_) + options_.request_timeout, current);
  if (std::exchange(timer_scheduled_, true)) return;
  timers_.ScheduleAt(pending_.front().first, [this] { ExpireRequests(); });
}

void http_server::impl::ExpireRequests() {
  std::vector<exchange_ptr> expired;
  {
    const std::lock_guard lock(mutex_);
    const time_point now = Now(clock_);
    while (!pending_.empty()) {
      exchange_ptr current = pending_.front().second.lock();
      const bool open = current && !current->HasReply();
      if (open && pending_.front().first > now) break;
      if (open) expired.push_back(std::move(current));
      pending_.pop_front();
    }
    timer_scheduled_ = !pending_.empty();
    if (timer_scheduled_) timers_.ScheduleAt(pending_.front().first, [this] { ExpireRequests(); });
  }
  for (const exchange_ptr& current : expired) {
    current->Reply(ErrorResponse(errc::kTimeout, "the request took too long"));
  }
}

http_server::http_server(http_server_options options, handler handle)
    : options_(std::move(options)), handler_(std::move(handle)) {}

http_server::~http_server() = default;

errc http_server::Start() {
  auto server = std::make_unique<impl>(options_, handler_);
  if (!server->Start()) return errc::kInternal;
  impl_ = std::move(server);
  return errc::kOk;
}

void http_server::Stop() {
  if (impl_) impl_->Stop();
}

std::uint16_t http_server::Port() const { return impl_ ? impl_->Port() : 0; }

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
