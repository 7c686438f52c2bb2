// Outgoing connection to one peer, with its send queue, traffic counters and injected faults.
#ifndef SYCAMOREHINGE_NET_SRC_PEER_LINK_H_
#define SYCAMOREHINGE_NET_SRC_PEER_LINK_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "peer_frame.h"
#include "sycamorehinge/net/peer_transport.h"

namespace sycamorehinge {

// Traffic counter indices of heartbeats and handshakes, after the alternatives of peer_message.
inline constexpr std::size_t kHeartbeatIndex = std::variant_size_v<peer_message>;
inline constexpr std::size_t kHandshakeIndex = kHeartbeatIndex + 1;
inline constexpr std::size_t kTrafficKindCount = kHandshakeIndex + 1;

// Sets the TCP options that detect dead peers: keep-alive probes and TCP_USER_TIMEOUT.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket, const peer_transport_options& options);

class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  // `options` and `handlers` must outlive the link.
  peer_link(boost::asio::io_context& io, const peer_transport_options& options,
            const peer_handlers& handlers, const peer_address& peer,
            const boost::asio::ip::address& address);

  // --- Any thread ---
  // False if not connected or if the queue is full.
  bool Send(std::size_t kind, std::string_view body);
  std::string SealDatagram(std::string_view body);
  bool IsConnected() const;
  void SetFault(const link_fault& fault);
  link_fault Fault() const;
  void CountSent(std::size_t kind, std::size_t bytes);
  void CountReceived(std::size_t kind, std::size_t bytes);
  void AppendTraffic(std::vector<peer_traffic>& rows) const;
  const process_id& Peer() const { return peer_; }
  const boost::asio::ip::udp::endpoint& DatagramAddress() const { return datagram_address_; }

  // --- I/O thread ---
  void Connect();

 private:
  using clock = std::chrono::steady_clock;
  struct queued_frame {
    clock::time_point send_time;
    std::size_t kind = 0;
    std::string bytes;
  };
  struct traffic {
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
  };

  std::string SealFrame(frame_kind kind, std::string_view body);
  void ReadNonce();
  void SendHello();
  void ReadWelcome();
  void ReadWelcomeFrame(std::size_t length);
  bool IsWelcome(std::string_view frame) const;
  void FinishHandshake();
  void DetectClose();
  void FlushQueue();
  // Moves the messages that are due to `write_buffers_`; false if there are none.
  bool DequeueDue();
  void Disconnect();
  void ScheduleReconnect();

  boost::asio::io_context& io_;
  const peer_transport_options& options_;
  const peer_handlers& handlers_;
  const process_id peer_;
  const bool other_region_;
  const boost::asio::ip::tcp::endpoint stream_address_;
  const boost::asio::ip::udp::endpoint datagram_address_;

  mutable std::mutex mutex_;
  bool connected_ = false;
  bool flush_posted_ = false;
  std::deque<queued_frame> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t stream_seal_counter_ = 0;
  std::uint64_t datagram_seal_counter_ = 0;
  link_fault fault_;
  std::array<traffic, kTrafficKindCount> traffic_{};

  // Accessed only on the I/O thread.
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer reconnect_timer_;
  boost::asio::steady_timer handshake_timer_;
  boost::asio::steady_timer delay_timer_;
  // Incremented for each connection, so that completions of earlier ones are ignored.
  std::uint64_t connection_id_ = 0;
  // Connecting or connected.
  bool active_ = false;
  bool write_in_progress_ = false;
  std::vector<std::string> write_buffers_;
  std::string input_;
  std::string nonce_;
  duration backoff_;
  std::minstd_rand jitter_random_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_LINK_H_
