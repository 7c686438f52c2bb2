// Incoming connection from a peer: authenticates the peer, then reads its frames.
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

// Callbacks from a session to its transport; all run on the I/O thread.
struct session_callbacks {
  // `frame` is sealed and has no length prefix; returning false closes the session.
  std::function<bool(peer_session&, std::string_view frame)> on_frame;
  std::function<void(std::string_view source)> on_oversized;
  std::function<void(peer_session&)> on_closed;
};

class peer_session : public std::enable_shared_from_this<peer_session> {
 public:
  // `options` and `callbacks` must outlive the session.
  peer_session(boost::asio::ip::tcp::socket socket, const peer_transport_options& options,
               const session_callbacks& callbacks);

  void Start();
  void Close();

  // Nonce that the peer's hello must contain.
  const std::string& Nonce() const { return nonce_; }
  // Authenticates the session as `peer` and sends the sealed `welcome` frame.
  void AcceptHello(const process_id& peer, std::uint64_t counter, std::string welcome);
  bool IsAuthenticated() const { return !peer_.empty(); }
  const process_id& Peer() const { return peer_; }
  // False unless `counter` is greater than all earlier ones on this connection.
  bool AdvanceCounter(std::uint64_t counter);
  const std::string& Source() const { return source_; }

 private:
  void Read();
  // Passes on the complete frames in the buffer; false if the session must be closed.
  bool ProcessFrames();
  std::size_t FrameLimit() const;

  boost::asio::ip::tcp::socket socket_;
  const peer_transport_options& options_;
  const session_callbacks& callbacks_;
  boost::asio::steady_timer handshake_timer_;
  std::string source_;
  std::string nonce_;
  std::string welcome_;
  process_id peer_;
  std::uint64_t last_counter_ = 0;
  bool closed_ = false;
  std::array<char, 16384> read_chunk_{};
  std::string buffer_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_SESSION_H_
