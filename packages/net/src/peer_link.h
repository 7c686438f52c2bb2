// Outgoing connection to one peer with its queue, counters and faults.
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

// Index of heartbeats and handshakes in the traffic counters, behind the kinds of peer_message.
inline constexpr std::size_t kHeartbeatIndex = std::variant_size_v<peer_message>;
inline constexpr std::size_t kHandshakeIndex = kHeartbeatIndex + 1;
inline constexpr std::size_t kTrafficKinds = kHandshakeIndex + 1;

// Detects dead peers: keep-alive probes and a limit on unacknowledged data.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket, const peer_transport_options& options);

class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  // `options` and `handlers` must outlive the link.
  peer_link(boost::asio::io_context& io, const peer_transport_options& options,
            const peer_handlers& handlers, const peer_address& peer,
            const boost::asio::ip::address& address);

  // --- any thread ---
  bool Send(std::size_t kind, std::string_view body);
  std::string SealDatagram(std::string_view body);
  bool IsConnected() const;
  void SetFault(const link_fault& fault);
  link_fault Fault() const;
  void CountSent(std::size_t kind, std::size_t bytes);
  void CountReceived(std::size_t kind, std::size_t bytes);
  void AppendTraffic(std::vector<peer_traffic>& rows) const;
  const process_id& Name() const { return name_; }
  const boost::asio::ip::udp::endpoint& DatagramAddress() const { return datagram_address_; }

  // --- I/O thread ---
  void Connect();

 private:
  using clock = std::chrono::steady_clock;
  struct queued {
    clock::time_point due;
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
  void BecomeConnected();
  void WatchForClose();
  void Pump();
  // Moves what is due from the queue to `writing_`; false if nothing is due now.
  bool TakeDue();
  void Disconnect();
  void RetryLater();

  boost::asio::io_context& io_;
  const peer_transport_options& options_;
  const peer_handlers& handlers_;
  const process_id name_;
  const bool other_region_;
  const boost::asio::ip::tcp::endpoint stream_address_;
  const boost::asio::ip::udp::endpoint datagram_address_;

  mutable std::mutex mutex_;
  bool connected_ = false;
  bool pump_posted_ = false;
  std::deque<queued> queue_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t stream_counter_ = 0;
  std::uint64_t datagram_counter_ = 0;
  link_fault fault_;
  std::array<traffic, kTrafficKinds> traffic_{};

  // Used by the I/O thread only.
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer handshake_timer_;
  boost::asio::steady_timer due_timer_;
  // Outdates completions of earlier connections.
  std::uint64_t generation_ = 0;
  bool open_ = false;
  bool writing_now_ = false;
  std::vector<std::string> writing_;
  std::string input_;
  std::string nonce_;
  duration backoff_;
  std::minstd_rand random_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_PEER_LINK_H_
