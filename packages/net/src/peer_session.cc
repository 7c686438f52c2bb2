#include "peer_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "peer_link.h"

namespace sycamorehinge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// An empty read buffer with a larger capacity is freed.
constexpr std::size_t kMaxRetainedBufferBytes = std::size_t{64} << 10;

std::string FormatEndpoint(const asio::ip::tcp::socket& socket) {
  error_code error;
  const auto remote = socket.remote_endpoint(error);
  if (error) return "unknown";
  return remote.address().to_string() + ":" + std::to_string(remote.port());
}

}  // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, const peer_transport_options& options,
                           const session_callbacks& callbacks)
    : socket_(std::move(socket)),
      options_(options),
      callbacks_(callbacks),
      handshake_timer_(socket_.get_executor()),
      source_(FormatEndpoint(socket_)),
      nonce_(GenerateNonce()) {}

void peer_session::Start() {
  SetSocketOptions(socket_, options_);
  handshake_timer_.expires_after(options_.handshake_timeout);
  handshake_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->IsAuthenticated()) self->Close();
  });
  asio::async_write(socket_, asio::buffer(nonce_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) self->Close();
                    });
  Read();
}

void peer_session::AcceptHello(const process_id& peer, std::uint64_t counter, std::string welcome) {
  peer_ = peer;
  last_counter_ = counter;
  welcome_ = std::move(welcome);
  handshake_timer_.cancel();
  asio::async_write(socket_, asio::buffer(welcome_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error) self->Close();
                    });
}

bool peer_session::AdvanceCounter(std::uint64_t counter) {
  if (counter <= last_counter_) return false;
  last_counter_ = counter;
  return true;
}

void peer_session::Close() {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  socket_.close(ignored);
  handshake_timer_.cancel();
  callbacks_.on_closed(*this);
}

std::size_t peer_session::FrameLimit() const {
  return IsAuthenticated() ? options_.max_frame_bytes : kMaxHandshakeFrameBytes;
}

void peer_session::Read() {
  socket_.async_read_some(asio::buffer(read_chunk_),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (self->closed_) return;
                            if (error) return self->Close();
                            self->buffer_.append(self->read_chunk_.data(), size);
                            if (!self->ProcessFrames()) return self->Close();
                            self->Read();
                          });
}

bool peer_session::ProcessFrames() {
  std::string_view rest = buffer_;
  while (rest.size() >= kLengthBytes) {
    const std::size_t length = DecodeLength(rest);
    if (length > FrameLimit()) {
      callbacks_.on_oversized(source_);
      return false;
    }
    if (rest.size() - kLengthBytes < length) break;
    if (!callbacks_.on_frame(*this, rest.substr(kLengthBytes, length)) || closed_) return false;
    rest.remove_prefix(kLengthBytes + length);
  }
  buffer_.erase(0, buffer_.size() - rest.size());
  if (buffer_.empty() && buffer_.capacity() > kMaxRetainedBufferBytes) buffer_ = std::string();
  return true;
}

}  // namespace sycamorehinge
