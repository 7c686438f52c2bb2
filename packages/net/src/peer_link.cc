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

// Most data handed to one write.
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
  const auto dead = std::chrono::duration_cast<std::chrono::milliseconds>(options.dead_after);
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(dead.count()));
}

peer_link::peer_link(asio::io_context& io, const peer_transport_options& options,
                     const peer_handlers& handlers, const peer_address& peer,
                     const asio::ip::address& address)
    : io_(io),
      options_(options),
      handlers_(handlers),
      name_(peer.process),
      other_region_(peer.region != options.region),
      stream_address_(address, peer.port),
      datagram_address_(address, peer.port),
      socket_(io),
      retry_timer_(io),
      handshake_timer_(io),
      due_timer_(io),
      backoff_(options.min_backoff),
      random_(static_cast<unsigned>(StableHash(options.self.value + ">" + peer.process.value))) {}

// --- any thread ---

std::string peer_link::SealFrame(frame_kind kind, std::string_view body) {
  const seal_header header{options_.self, options_.incarnation, ++stream_counter_};
  return WithLength(Seal(options_.key, header, PackContent(kind, name_, body)));
}

std::string peer_link::SealDatagram(std::string_view body) {
  const std::lock_guard lock(mutex_);
  const seal_header header{options_.self, options_.incarnation, ++datagram_counter_};
  return Seal(options_.key, header, PackContent(frame_kind::kHeartbeat, name_, body));
}

bool peer_link::Send(std::size_t kind, std::string_view body) {
  const std::lock_guard lock(mutex_);
  const bool full = queue_.size() >= options_.max_queue_messages ||
                    queued_bytes_ + body.size() > options_.max_queue_bytes;
  if (!connected_ || full) return false;
  // Sealed under the lock, since counters must grow in the order of the queue.
  queue_.push_back({clock::now() + fault_.delay, kind, SealFrame(frame_kind::kMessage, body)});
  queued_bytes_ += queue_.back().bytes.size();
  if (!std::exchange(pump_posted_, true)) {
    asio::post(io_, [self = shared_from_this()] { self->Pump(); });
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
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    const traffic& count = traffic_[kind];
    if (count.sent_messages + count.received_messages == 0) continue;
    const auto name = kind == kHandshakeIndex ? std::string_view("handshake") : MessageName(kind);
    rows.push_back({name_, other_region_, name, count.sent_messages, count.sent_bytes,
                    count.received_messages, count.received_bytes});
  }
}

// --- I/O thread: connect and authenticate ---

void peer_link::Connect() {
  if (Fault().blocked_out) return RetryLater();
  open_ = true;
  const std::uint64_t generation = ++generation_;
  handshake_timer_.expires_after(options_.handshake_timeout);
  handshake_timer_.async_wait([self = shared_from_this(), generation](error_code error) {
    if (!error && generation == self->generation_) self->Disconnect();
  });
  socket_.async_connect(stream_address_, [self = shared_from_this(), generation](error_code error) {
    if (generation != self->generation_) return;
    if (error) return self->Disconnect();
    SetSocketOptions(self->socket_, self->options_);
    self->ReadNonce();
  });
}

void peer_link::ReadNonce() {
  input_.assign(kNonceBytes, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), generation = generation_](error_code error, std::size_t) {
        if (generation != self->generation_) return;
        if (error) return self->Disconnect();
        self->SendHello();
      });
}

void peer_link::SendHello() {
  nonce_ = MakeNonce();
  writing_.clear();
  {
    const std::lock_guard lock(mutex_);
    writing_.push_back(SealFrame(frame_kind::kHello, input_ + nonce_));
  }
  CountSent(kHandshakeIndex, writing_.front().size());
  asio::async_write(
      socket_, asio::buffer(writing_.front()),
      [self = shared_from_this(), generation = generation_](error_code error, std::size_t) {
        if (generation != self->generation_) return;
        if (error) return self->Disconnect();
        self->ReadWelcome();
      });
}

void peer_link::ReadWelcome() {
  input_.assign(kLengthBytes, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), generation = generation_](error_code error, std::size_t) {
        if (generation != self->generation_) return;
        const std::size_t length = ReadLength(self->input_);
        if (error || length > kMaxHelloBytes) return self->Disconnect();
        self->ReadWelcomeFrame(length);
      });
}

void peer_link::ReadWelcomeFrame(std::size_t length) {
  input_.assign(length, '\0');
  asio::async_read(
      socket_, asio::buffer(input_),
      [self = shared_from_this(), generation = generation_](error_code error, std::size_t) {
        if (generation != self->generation_) return;
        if (error || !self->IsWelcome(self->input_)) return self->Disconnect();
        self->BecomeConnected();
      });
}

bool peer_link::IsWelcome(std::string_view frame) const {
  const auto opened = Open(options_.key, frame);
  if (!opened || opened->header.from != name_) return false;
  const auto content = UnpackContent(opened->payload);
  return content && content->kind == frame_kind::kWelcome && content->to == options_.self.value &&
         content->body == nonce_;
}

void peer_link::BecomeConnected() {
  handshake_timer_.cancel();
  backoff_ = options_.min_backoff;
  writing_.clear();
  {
    const std::lock_guard lock(mutex_);
    connected_ = true;
  }
  WatchForClose();
  if (handlers_.on_link) handlers_.on_link(name_, true);
}

// The peer sends nothing more on this connection; a completed read means that it closed.
void peer_link::WatchForClose() {
  input_.assign(1, '\0');
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this(), generation = generation_](error_code, std::size_t) {
        if (generation == self->generation_) self->Disconnect();
      });
}

// --- I/O thread: write ---

bool peer_link::TakeDue() {
  const std::lock_guard lock(mutex_);
  pump_posted_ = false;
  if (!connected_) return false;
  const auto now = clock::now();
  std::size_t bytes = 0;
  while (!queue_.empty() && queue_.front().due <= now && bytes < kMaxWriteBytes &&
         writing_.size() < kMaxWriteBuffers) {
    queued& next = queue_.front();
    bytes += next.bytes.size();
    queued_bytes_ -= next.bytes.size();
    ++traffic_[next.kind].sent_messages;
    traffic_[next.kind].sent_bytes += next.bytes.size();
    writing_.push_back(std::move(next.bytes));
    queue_.pop_front();
  }
  if (!writing_.empty() || queue_.empty()) return !writing_.empty();
  // Only delayed messages are left.
  due_timer_.expires_at(queue_.front().due);
  due_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->Pump();
  });
  return false;
}

void peer_link::Pump() {
  if (writing_now_) {
    const std::lock_guard lock(mutex_);
    pump_posted_ = false;
    return;
  }
  if (!TakeDue()) return;
  writing_now_ = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& bytes : writing_) buffers.push_back(asio::buffer(bytes));
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), generation = generation_](error_code error, std::size_t) {
        if (generation != self->generation_) return;
        self->writing_now_ = false;
        self->writing_.clear();
        if (error) return self->Disconnect();
        self->Pump();
      });
}

void peer_link::Disconnect() {
  if (!std::exchange(open_, false)) return;
  ++generation_;
  bool was_connected = false;
  {
    const std::lock_guard lock(mutex_);
    was_connected = std::exchange(connected_, false);
    queue_.clear();
    queued_bytes_ = 0;
  }
  writing_now_ = false;
  writing_.clear();
  error_code ignored;
  socket_.close(ignored);
  handshake_timer_.cancel();
  due_timer_.cancel();
  if (was_connected && handlers_.on_link) handlers_.on_link(name_, false);
  RetryLater();
}

void peer_link::RetryLater() {
  // Between half and the whole backoff, so that peers of a restarted process spread out.
  const auto half = backoff_.count() / 2;
  std::uniform_int_distribution<std::int64_t> jitter(0, std::max<std::int64_t>(half, 1));
  retry_timer_.expires_after(duration(half + jitter(random_)));
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
  retry_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->Connect();
  });
}

}  // namespace sycamorehinge
