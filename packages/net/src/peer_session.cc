#include "peer_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "peer_link.h"

namespace sycamorehinge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A buffer that held a large frame is given back above this size.
constexpr std::size_t kKeptBufferBytes = std::size_t{64} << 10;

std::string SourceOf(const asio::ip::tcp::socket& socket) {
  error_code error;
  const auto remote = socket.remote_endpoint(error);
  if (error) return "unknown";
  return remote.address().to_string() + ":" + std::to_string(remote.port());
}

}  // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, const peer_transport_options& options,
                           const session_hooks& hooks)
    : socket_(std::move(socket)),
      options_(options),
      hooks_(hooks),
      handshake_timer_(socket_.get_executor()),
      source_(SourceOf(socket_)),
      nonce_(MakeNonce()) {}

void peer_session::Start() {
  SetSocketOptions(socket_, options_);
  handshake_timer_.expires_after(options_.handshake_timeout);
  handshake_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->IsWelcomed()) self->Close();
  });
  asio::async_write(socket_, asio::buffer(nonce_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) self->Close();
                    });
  Read();
}

void peer_session::Welcome(const process_id& peer, std::uint64_t counter, std::string welcome) {
  peer_ = peer;
  counter_ = counter;
  welcome_ = std::move(welcome);
  handshake_timer_.cancel();
  asio::async_write(socket_, asio::buffer(welcome_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) self->Close();
                    });
}

bool peer_session::TakeCounter(std::uint64_t counter) {
  if (counter <= counter_) return false;
  counter_ = counter;
  return true;
}

void peer_session::Close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.close(ignored);
  handshake_timer_.cancel();
  hooks_.on_closed(*this);
}

std::size_t peer_session::FrameLimit() const {
  return IsWelcomed() ? options_.max_frame_bytes : kMaxHelloBytes;
}

void peer_session::Read() {
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (self->closed_) return;
                            if (error) return self->Close();
                            self->buffer_.append(self->chunk_.data(), size);
                            if (!self->HandleFrames()) return self->Close();
                            self->Read();
                          });
}

bool peer_session::HandleFrames() {
  std::string_view rest = buffer_;
  while (rest.size() >= kLengthBytes) {
    const std::size_t length = ReadLength(rest);
    if (length > FrameLimit()) {
      hooks_.on_oversized(source_);
      return false;
    }
    if (rest.size() - kLengthBytes < length) break;
    if (!hooks_.on_frame(*this, rest.substr(kLengthBytes, length)) || closed_) return false;
    rest.remove_prefix(kLengthBytes + length);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  if (buffer_.empty() && buffer_.capacity() > kKeptBufferBytes) buffer_ = std::string();
  return true;
}

}  // namespace sycamorehinge
