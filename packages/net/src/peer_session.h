// Incoming connection of a peer: authenticates it, then reads its frames.
#ifndef SYCAMOREHINGE_NET_SRC_PEER_SESSION_H_
#define SYCAMOREHINGE_NET_SRC_PEER_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "peer_frame.h"
#include "sycamorehinge/net/peer_transport.h"

namespace sycamorehinge {

class peer_session;

// What a session asks of its endpoint; everything runs on the I/O thread.
struct session_hooks {
  // The frame is the sealed bytes without length; false closes the session.
  std::function<bool(peer_session&, std::string_view frame)> on_frame;
  std::function<void(std::string_view source)> on_oversized;
  std::function<void(peer_session&)> on_closed;
};

class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  // `options` and `hooks` must outlive the session.
  peer_session(boost::asio::ip::tcp::socket socket, const peer_transport_options& options,
               const session_hooks& hooks);

  void Start();
  void Close();

  // Number that the peer's hello must repeat.
  const std::string& Nonce() const { return nonce_; }
  // Answers the hello; frames of `peer` may follow.
  void Welcome(const process_id& peer, std::uint64_t counter, std::string welcome);
  bool IsWelcomed() const { return !peer_.empty(); }
  const process_id& Peer() const { return peer_; }
  // False unless counters of this connection grow.
  bool TakeCounter(std::uint64_t counter);
  const std::string& Source() const { return source_; }

 private:
  void Read();
  // False if the session must close.
  bool HandleFrames();
  std::size_t FrameLimit() const;

  boost::asio::ip::tcp::socket socket_;
  const peer_transport_options& options_;
  const session_hooks& hooks_;
  boost::asio::steady_timer handshake_timer_;
  std::string source_;
  std::string nonce_;
  std::string welcome_;
  process_id peer_;
  std::uint64_t counter_ = 0;
  bool closed_ = false;
  std::array<char, 16384> chunk_{};
  std::string buffer_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_SESSION_H_
