#include "sycamorehinge/net/http_server.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <unordered_map>
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
// While half of the connections are free, a refused body of up to this announced length is read and
// dropped before the answer. Closing the connection while the caller sends resets it, and the
// caller may not see the answer.
constexpr std::size_t kMaxDroppedBytes = std::size_t{1} << 20;
// Interval between checks for connections that make no progress.
constexpr duration kOverdueCheckInterval = std::chrono::milliseconds(200);

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

// Length of the body as announced by the headers; nullopt if they do not tell. A length that is not
// a number is left to libmicrohttpd, which refuses it.
std::optional<std::size_t> AnnouncedBytes(std::span<const http_header_view> headers) {
  const auto text = FindHeader(headers, "Content-Length");
  std::size_t bytes = 0;
  if (!text) return std::nullopt;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), bytes);
  if (parsed.ec == std::errc::result_out_of_range) return std::numeric_limits<std::size_t>::max();
  return parsed.ec == std::errc() ? std::optional(bytes) : std::nullopt;
}

http_response RefusalResponse(const refuse_request& refusal) {
  const errc code = refusal.status == 503 ? errc::kOverloaded : errc::kTooLarge;
  http_response response = ErrorResponse(code, "request", refusal.retry_after);
  response.status = refusal.status;
  response.headers.push_back({"Connection", "close"});
  return response;
}

// State of a connection, kept by libmicrohttpd.
struct connection_context {
  connection_id id = 0;
  int fd = -1;
};

connection_id IdOf(MHD_Connection* connection) {
  const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return static_cast<const connection_context*>(info->socket_context)->id;
}

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
  bool refused = false;
  // Sent once the body has been dropped.
  std::optional<refuse_request> late_refusal;

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
      : options_(options),
        handler_(handle),
        budget_({options.max_held_bytes, options.max_connections}) {
    SetLimits({});
  }
  ~impl() { Stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  bool Start();
  void Stop();
  std::uint16_t Port() const { return port_; }
  void SetLimits(const request_size_limits& limits);
  http_server_load Load() const;

 private:
  static void OnConnection(void* self, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code);
  static void* OnUri(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* url,
                              const char* method, const char* version, const char* data,
                              std::size_t* size, void** state);
  static void OnCompleted(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);

  MHD_Result OnHeaders(MHD_Connection* connection, const exchange_ptr& current);
  MHD_Result OnBody(MHD_Connection* connection, const exchange_ptr& current, std::string_view data);
  bool Apply(const request_decision& decision);
  void Dispatch(MHD_Connection* connection, const char* method, const exchange_ptr& current);
  MHD_Result SendReply(MHD_Connection* connection, http_response reply);
  void EndRequest();
  void CloseConnections(std::span<const connection_id> connections);
  void CloseOverdue();
  void ReportLimit(std::string_view limit);
  void ReplyToAll();
  bool Accept(MHD_Connection* connection, const exchange_ptr& current);
  void RemoveAnswered();
  void ExpireRequests();

  const http_server_options& options_;
  const handler& handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;

  mutable std::mutex mutex_;
  request_budget budget_;
  std::unordered_map<connection_id, int> sockets_;
  connection_id next_connection_ = 1;
  std::uint64_t limited_ = 0;
  std::condition_variable all_finished_;
  // Requests that have been received and not answered.
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
  daemon_ =
      MHD_start_daemon(kFlags, 0, nullptr, nullptr, &impl::OnRequest, this,
                       MHD_OPTION_URI_LOG_CALLBACK, &impl::OnUri, this, MHD_OPTION_NOTIFY_COMPLETED,
                       &impl::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &impl::OnConnection,
                       this, MHD_OPTION_LISTEN_SOCKET, listener.Get(), MHD_OPTION_CONNECTION_LIMIT,
                       options_.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool,
                       MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idle), MHD_OPTION_END);
  if (!daemon_) return false;
  listener.Release();
  timers_.ScheduleAfter(kOverdueCheckInterval, [this] { CloseOverdue(); });
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
    all_finished_.wait_for(lock, options_.stop_timeout, [this] { return in_flight_ == 0; });
    stopped_ = true;
  }
  // libmicrohttpd cannot stop while a connection waits for a reply.
  ReplyToAll();
  MHD_stop_daemon(std::exchange(daemon_, nullptr));
}

void http_server::impl::SetLimits(const request_size_limits& limits) {
  const std::lock_guard lock(mutex_);
  budget_.SetLimits({std::min(limits.max_body_bytes, options_.max_body_bytes),
                     std::min(limits.max_header_bytes, options_.max_header_bytes),
                     std::min(limits.header_timeout, options_.header_timeout),
                     std::min(limits.idle_timeout, options_.idle_timeout)});
}

http_server_load http_server::impl::Load() const {
  const std::lock_guard lock(mutex_);
  return {budget_.Connections(), budget_.HeldBytes(), limited_};
}

void http_server::impl::OnConnection(void* self, MHD_Connection* connection, void** context,
                                     MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<impl*>(self);
  const std::lock_guard lock(server->mutex_);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    auto* state = new connection_context;
    state->id = server->next_connection_++;
    state->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    *context = state;
    server->sockets_[state->id] = state->fd;
    return server->budget_.OnConnected(state->id, Now(server->clock_));
  }
  // The socket is closed after this call.
  const std::unique_ptr<connection_context> state(
      static_cast<connection_context*>(std::exchange(*context, nullptr)));
  server->sockets_.erase(state->id);
  server->budget_.OnClosed(state->id);
}

// Closes connections that are still open. libmicrohttpd notices the end of their input.
void http_server::impl::CloseConnections(std::span<const connection_id> connections) {
  for (const connection_id id : connections) {
    const auto found = sockets_.find(id);
    if (found != sockets_.end()) shutdown(found->second, SHUT_RDWR);
  }
}

void http_server::impl::CloseOverdue() {
  bool limited = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    const overdue_connections overdue = budget_.Overdue(Now(clock_));
    CloseConnections(overdue.idle);
    CloseConnections(overdue.stalled);
    limited_ += overdue.stalled.size();
    limited = !overdue.stalled.empty();
    timers_.ScheduleAfter(kOverdueCheckInterval, [this] { CloseOverdue(); });
  }
  if (limited) ReportLimit("connections without progress");
}

void http_server::impl::ReportLimit(std::string_view limit) {
  if (options_.on_limited) options_.on_limited(limit);
}

// Closes the connections that give way; returns false if the request is refused.
bool http_server::impl::Apply(const request_decision& decision) {
  return std::visit(overloaded{[](const take_request&) { return true; },
                               [this](const refuse_request&) {
                                 ++limited_;
                                 return false;
                               },
                               [this](const make_room& room) {
                                 CloseConnections(room.close);
                                 limited_ += room.close.size();
                                 return true;
                               }},
                    decision);
}

// The returned pointer becomes the `state` of the request and is freed in OnCompleted.
void* http_server::impl::OnUri(void* self, const char* uri, MHD_Connection* connection) {
  auto* server = static_cast<impl*>(self);
  const std::lock_guard lock(server->mutex_);
  server->budget_.OnRequestLine(IdOf(connection), Now(server->clock_));
  return new exchange_ptr(std::make_shared<exchange>(uri));
}

MHD_Result http_server::impl::OnRequest(void* self, MHD_Connection* connection, const char* /*url*/,
                                        const char* method, const char* /*version*/,
                                        const char* data, std::size_t* size, void** state) {
  auto* server = static_cast<impl*>(self);
  const exchange_ptr current = *static_cast<exchange_ptr*>(*state);
  if (!current->started) {
    current->started = true;
    return server->OnHeaders(connection, current);
  }
  if (*size > 0) {
    const std::string_view part(data, std::exchange(*size, 0));
    return server->OnBody(connection, current, part);
  }
  if (current->late_refusal) {
    return server->SendReply(connection, RefusalResponse(*current->late_refusal));
  }
  if (!current->dispatched) {
    if (!server->Accept(connection, current)) return MHD_NO;
    current->dispatched = true;
    server->Dispatch(connection, method, current);
    if (current->SuspendUntilReply(connection)) return MHD_YES;
  }
  return server->SendReply(connection, current->TakeReply());
}

// Refuses what is known to be too large before the body is read. libmicrohttpd closes a connection
// whose request is answered before its end.
MHD_Result http_server::impl::OnHeaders(MHD_Connection* connection, const exchange_ptr& current) {
  const std::vector<http_header_view> headers = CollectValues(connection, MHD_HEADER_KIND);
  const std::optional<std::size_t> announced = AnnouncedBytes(headers);
  request_decision decision;
  bool may_drop = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return MHD_NO;
    may_drop = announced && *announced <= kMaxDroppedBytes &&
               2 * budget_.Connections() < options_.max_connections;
    decision = budget_.OnHeaders(IdOf(connection), HeaderBytes(headers), announced, Now(clock_));
    if (Apply(decision)) {
      if (announced) current->Body().reserve(*announced);
      return MHD_YES;
    }
  }
  current->refused = true;
  const auto& refusal = std::get<refuse_request>(decision);
  ReportLimit(refusal.status == 503 ? "memory" : "size");
  if (refusal.status == 413 && may_drop) {
    current->late_refusal = refusal;
    return MHD_YES;
  }
  return SendReply(connection, RefusalResponse(refusal));
}

// A body that is refused midway ends its connection, since no response can be sent before its end.
MHD_Result http_server::impl::OnBody(MHD_Connection* connection, const exchange_ptr& current,
                                     std::string_view data) {
  if (current->refused) return MHD_YES;
  {
    const std::lock_guard lock(mutex_);
    const request_decision decision = budget_.OnBody(IdOf(connection), data.size(), Now(clock_));
    if (Apply(decision)) {
      current->Body().append(data);
      return MHD_YES;
    }
  }
  ReportLimit("size or memory");
  return MHD_NO;
}

// Called after the response was sent or the connection was lost.
void http_server::impl::OnCompleted(void* self, MHD_Connection* connection, void** state,
                                    MHD_RequestTerminationCode /*code*/) {
  auto* server = static_cast<impl*>(self);
  const std::unique_ptr<exchange_ptr> current(static_cast<exchange_ptr*>(*state));
  if (!current) return;
  {
    const std::lock_guard lock(server->mutex_);
    server->budget_.OnDone(IdOf(connection), Now(server->clock_));
  }
  if ((*current)->dispatched) server->EndRequest();
}

void http_server::impl::EndRequest() {
  const std::lock_guard lock(mutex_);
  if (--in_flight_ == 0) all_finished_.notify_all();
}

void http_server::impl::Dispatch(MHD_Connection* connection, const char* method,
                                 const exchange_ptr& current) {
  const std::vector<http_header_view> headers = CollectValues(connection, MHD_HEADER_KIND);
  const std::vector<http_header_view> values = CollectValues(connection, MHD_GET_ARGUMENT_KIND);
  http_request request;
  request.method = method;
  request.path = PathOf(current->Url());
  request.query = QueryOf(current->Url());
  request.headers = headers;
  request.query_values = values;
  request.body = current->Body();
  handler_(request, [current](http_response response) { current->Reply(std::move(response)); });
  current->Body() = {};
}

MHD_Result http_server::impl::SendReply(MHD_Connection* connection, http_response reply) {
  MHD_Response* response =
      MHD_create_response_from_buffer(reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
  for (const http_header& header : reply.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  {
    const std::lock_guard lock(mutex_);
    budget_.OnAnswer(IdOf(connection), reply.body.size(), Now(clock_));
    if (draining_) MHD_add_response_header(response, "Connection", "close");
  }
  const auto queued = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return queued;
}

// Counts a request that has been received. Returns false if the server has stopped: from then on no
// connection may begin to wait for a reply.
bool http_server::impl::Accept(MHD_Connection* connection, const exchange_ptr& current) {
  const std::lock_guard lock(mutex_);
  if (stopped_) return false;
  ++in_flight_;
  budget_.OnReceived(IdOf(connection), Now(clock_));
  RemoveAnswered();
  pending_.emplace_back(Now(clock_) + options_.request_timeout, current);
  if (std::exchange(timer_scheduled_, true)) return true;
  timers_.ScheduleAt(pending_.front().first, [this] { ExpireRequests(); });
  return true;
}

// Requests that have been answered would otherwise hold their memory until their deadline.
void http_server::impl::RemoveAnswered() {
  const auto answered = [](const std::weak_ptr<exchange>& row) {
    const exchange_ptr request = row.lock();
    return !request || request->HasReply();
  };
  while (!pending_.empty() && answered(pending_.front().second)) pending_.pop_front();
}

void http_server::impl::ExpireRequests() {
  std::vector<exchange_ptr> expired;
  {
    const std::lock_guard lock(mutex_);
    const time_point now = Now(clock_);
    for (const auto& [deadline, row] : pending_) {
      if (deadline > now) break;
      if (exchange_ptr current = row.lock()) expired.push_back(std::move(current));
    }
  }
  for (const exchange_ptr& current : expired) {
    current->Reply(ErrorResponse(errc::kTimeout, "the request took too long"));
  }
  const std::lock_guard lock(mutex_);
  RemoveAnswered();
  timer_scheduled_ = !pending_.empty();
  if (timer_scheduled_) timers_.ScheduleAt(pending_.front().first, [this] { ExpireRequests(); });
}

// Ends requests that no handler has answered, before the server stops.
void http_server::impl::ReplyToAll() {
  std::vector<exchange_ptr> open;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [deadline, current] : pending_) {
      if (exchange_ptr request = current.lock()) open.push_back(std::move(request));
    }
  }
  for (const exchange_ptr& current : open) {
    current->Reply(ErrorResponse(errc::kTimeout, "the server stops"));
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

void http_server::SetLimits(const request_size_limits& limits) {
  if (impl_) impl_->SetLimits(limits);
}

http_server_load http_server::Load() const { return impl_ ? impl_->Load() : http_server_load(); }

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
