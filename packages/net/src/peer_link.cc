#include "peer_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "sycamorehinge/wire/seal.h"

namespace sycamorehinge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limits on the data passed to one write.
constexpr std::size_t kMaxWriteBytes = std::size_t{256} << 10;
constexpr std::size_t kMaxWriteBuffers = 64;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

void SetSocketOptions(asio::ip::tcp::socket& socket, const peer_transport_options& options) {
  const int fd = socket.native_handle();
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.unacknowledged_timeout);
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

peer_link::peer_link(asio::io_context& io, const peer_transport_options& options,
                     const peer_handlers& handlers, const peer_address& peer,
                     const asio::ip::address& address)
    : io_(io),
      options_(options),
      handlers_(handlers),
      peer_(peer.process),
      other_region_(peer.region != options.region),
      stream_address_(address, peer.port),
      datagram_address_(address, peer.port),
      socket_(io),
      reconnect_timer_(io),
      handshake_timer_(io),
      delay_timer_(io),
      backoff_(options.min_backoff),
      jitter_random_(
          static_cast<unsigned>(StableHash(options.self.value + ">" + peer.process.value))) {}

// --- Any thread ---

std::string peer_link::SealFrame(frame_kind kind, std::string_view body) {
  const seal_header header{options_.self, options_.incarnation, ++stream_seal_counter_};
  return AddLengthPrefix(Seal(options_.key, header, EncodeFrameContent(kind, peer_, body)));
}

std::string peer_link::SealDatagram(std::string_view body) {
  const std::lock_guard lock(mutex_);
  const seal_header header{options_.self, options_.incarnation, ++datagram_seal_counter_};
  return Seal(options_.key, header, EncodeFrameContent(frame_kind::kHeartbeat, peer_, body));
}

bool peer_link::Send(std::size_t kind, std::string_view body) {
  const std::lock_guard lock(mutex_);
  const bool full = queue_.size() >= options_.max_queue_messages ||
                    queued_bytes_ + body.size() > options_.max_queue_bytes;
  if (!connected_ || full) return false;
  // Sealed under the lock so that seal counters increase in queue order.
  queue_.push_back({clock::now() + fault_.delay, kind, SealFrame(frame_kind::kMessage, body)});
  queued_bytes_ += queue_.back().bytes.size();
  if (!std::exchange(flush_posted_, true)) {
    asio::post(io_, [self = shared_from_this()] { self->FlushQueue(); });
  }
  return true;
}

bool peer_link::IsConnected() const {
  const std::lock_guard lock(mutex_);
  return connected_;
}

void peer_link::SetFault(const link_fault& fault) {
  {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
  }
  if (!fault.blocked_out) return;
  asio::post(io_, [self = shared_from_this()] { self->Disconnect(); });
}

link_fault peer_link::Fault() const {
  const std::lock_guard lock(mutex_);
  return fault_;
}

void peer_link::CountSent(std::size_t kind, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  ++traffic_[kind].sent_messages;
  traffic_[kind].sent_bytes += bytes;
}

void peer_link::CountReceived(std::size_t kind, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  ++traffic_[kind].received_messages;
  traffic_[kind].received_bytes += bytes;
}

void peer_link::AppendTraffic(std::vector<peer_traffic>& rows) const {
  const std::lock_guard lock(mutex_);
  for (std::size_t kind = 0; kind < kTrafficKindCount; ++kind) {
    const traffic& count = traffic_[kind];
    if (count.sent_messages + count.received_messages == 0) continue;
    const auto name = kind == kHandshakeIndex ? std::string_view("handshake") : MessageName(kind);
    rows.push_back({peer_, other_region_, name, count.sent_messages, count.sent_bytes,
                    count.received_messages, count.received_bytes});
  }
}

// --- I/O thread: connect and authenticate ---

void peer_link::Connect() {
  if (Fault().blocked_out) return ScheduleReconnect();
  active_ = true;
  const std::uint64_t connection_id = ++connection_id_;
  handshake_timer_.expires_after(options_.handshake_timeout);
  handshake_timer_.async_wait([self = shared_from_this(), connection_id](error_code error) {
    if (!error && connection_id == self->connection_id_) self->Disconnect();
  });
  socket_.async_connect(stream_address_,
                        [self = shared_from_this(), connection_id](error_code error) {
                          if (connection_id != self->connection_id_) return;
                          if (error) return self->Disconnect();
                          SetSocketOptions(self->socket_, self->options_);
                          self->ReadNonce();
                        });
}

void peer_link::ReadNonce() {
  input_.assign(kNonceBytes, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), connection_id = connection_id_](error_code error, std::size_t) {
        if (connection_id != self->connection_id_) return;
        if (error) return self->Disconnect();
        self->SendHello();
      });
}

void peer_link::SendHello() {
  nonce_ = GenerateNonce();
  write_buffers_.clear();
  {
    const std::lock_guard lock(mutex_);
    write_buffers_.push_back(SealFrame(frame_kind::kHello, input_ + nonce_));
  }
  CountSent(kHandshakeIndex, write_buffers_.front().size());
  asio::async_write(
      socket_, asio::buffer(write_buffers_.front()),
      [self = shared_from_this(), connection_id = connection_id_](error_code error, std::size_t) {
        if (connection_id != self->connection_id_) return;
        if (error) return self->Disconnect();
        self->ReadWelcome();
      });
}

void peer_link::ReadWelcome() {
  input_.assign(kLengthBytes, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), connection_id = connection_id_](error_code error, std::size_t) {
        if (connection_id != self->connection_id_) return;
        const std::size_t length = DecodeLength(self->input_);
        if (error || length > kMaxHandshakeFrameBytes) return self->Disconnect();
        self->ReadWelcomeFrame(length);
      });
}

void peer_link::ReadWelcomeFrame(std::size_t length) {
  input_.assign(length, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), connection_id = connection_id_](error_code error, std::size_t) {
        if (connection_id != self->connection_id_) return;
        if (error || !self->IsWelcome(self->input_)) return self->Disconnect();
        self->FinishHandshake();
      });
}

bool peer_link::IsWelcome(std::string_view frame) const {
  const auto opened = Open(options_.key, frame);
  if (!opened || opened->header.from != peer_) return false;
  const auto content = DecodeFrameContent(opened->payload);
  return content && content->kind == frame_kind::kWelcome && content->to == options_.self.value &&
         content->body == nonce_;
}

void peer_link::FinishHandshake() {
  handshake_timer_.cancel();
  backoff_ = options_.min_backoff;
  write_buffers_.clear();
  {
    const std::lock_guard lock(mutex_);
    connected_ = true;
  }
  DetectClose();
  if (handlers_.on_connection_change) handlers_.on_connection_change(peer_, true);
}

// The peer sends nothing after the handshake, so a completed read means that it closed the
// connection.
void peer_link::DetectClose() {
  input_.assign(1, '\0');
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this(), connection_id = connection_id_](error_code, std::size_t) {
        if (connection_id == self->connection_id_) self->Disconnect();
      });
}

// --- I/O thread: write ---

bool peer_link::DequeueDue() {
  const std::lock_guard lock(mutex_);
  flush_posted_ = false;
  if (!connected_) return false;
  const auto now = clock::now();
  std::size_t bytes = 0;
  while (!queue_.empty() && queue_.front().send_time <= now && bytes < kMaxWriteBytes &&
         write_buffers_.size() < kMaxWriteBuffers) {
    queued_frame& next = queue_.front();
    bytes += next.bytes.size();
    queued_bytes_ -= next.bytes.size();
    ++traffic_[next.kind].sent_messages;
    traffic_[next.kind].sent_bytes += next.bytes.size();
    write_buffers_.push_back(std::move(next.bytes));
    queue_.pop_front();
  }
  if (!write_buffers_.empty() || queue_.empty()) return !write_buffers_.empty();
  // The remaining messages are delayed by an injected fault.
  delay_timer_.expires_at(queue_.front().send_time);
  delay_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->FlushQueue();
  });
  return false;
}

void peer_link::FlushQueue() {
  if (write_in_progress_) {
    const std::lock_guard lock(mutex_);
    flush_posted_ = false;
    return;
  }
  if (!DequeueDue()) return;
  write_in_progress_ = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(write_buffers_.size());
  for (const std::string& bytes : write_buffers_) buffers.push_back(asio::buffer(bytes));
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), connection_id = connection_id_](error_code error, std::size_t) {
        if (connection_id != self->connection_id_) return;
        self->write_in_progress_ = false;
        self->write_buffers_.clear();
        if (error) return self->Disconnect();
        self->FlushQueue();
      });
}

void peer_link::Disconnect() {
  if (!std::exchange(active_, false)) return;
  ++connection_id_;
  bool was_connected = false;
  {
    const std::lock_guard lock(mutex_);
    was_connected = std::exchange(connected_, false);
    queue_.clear();
    queued_bytes_ = 0;
  }
  write_in_progress_ = false;
  write_buffers_.clear();
  error_code ignored;
  socket_.close(ignored);
  handshake_timer_.cancel();
  delay_timer_.cancel();
  if (was_connected && handlers_.on_connection_change) handlers_.on_connection_change(peer_, false);
  ScheduleReconnect();
}

void peer_link::ScheduleReconnect() {
  // Waits between half and all of the backoff, so that the peers of a restarted process do not
  // reconnect all at once.
  const auto half = backoff_.count() / 2;
  std::uniform_int_distribution<std::int64_t> jitter(0, std::max<std::int64_t>(half, 1));
  reconnect_timer_.expires_after(duration(half + jitter(jitter_random_)));
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
  reconnect_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->Connect();
  });
}

}  // namespace sycamorehinge
