// Transport between entry processes: UDP for heartbeats, TCP for messages.
//
// Every datagram and frame is sealed (wire/seal.h) and names its receiver, so that it cannot be
// replayed to another process. Each TCP connection carries messages in one direction. Its handshake
// includes a nonce from each side, so that frames of earlier connections cannot be replayed either.
#ifndef SYCAMOREHINGE_NET_PEER_TRANSPORT_H_
#define SYCAMOREHINGE_NET_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/membership.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/wire/codec.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

struct peer_address {
  process_id process;
  region_id region;
  // Numeric IP address; the port is used for both UDP and TCP.
  std::string host;
  std::uint16_t port = 0;
};

struct peer_transport_options {
  process_id self;
  region_id region;
  // Must increase with every start of the process: peers reject frames of an older incarnation, and
  // treat repeated counters of the same incarnation as replays.
  std::uint64_t incarnation = 0;
  // Shared key for sealing frames and datagrams.
  std::string key;
  std::string listen = "127.0.0.1";
  // 0 selects a free port; see peer_transport::Port.
  std::uint16_t port = 0;
  // Frame size limit, including the seal.
  std::size_t max_frame_bytes = kMaxMessageBytes + 1024;
  // Limits on the send queue of one peer; Send returns false when either is reached.
  std::size_t max_queue_bytes = std::size_t{8} << 20;
  std::size_t max_queue_messages = 20'000;
  duration min_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(1);
  // A new connection must authenticate within this time.
  duration handshake_timeout = std::chrono::seconds(2);
  // A connection is dropped when sent data stays unacknowledged this long (TCP_USER_TIMEOUT).
  duration unacknowledged_timeout = std::chrono::seconds(3);
  // Faults of one kind are reported at most once per interval.
  duration report_interval = std::chrono::seconds(10);
};

enum class peer_fault_kind {
  kGarbage,
  kWrongVersion,
  kWrongKey,
  kReplayed,
  kUnknownSender,
  kOversized,
};
std::string_view ToString(peer_fault_kind kind);

// Input rejected since the last report of this kind.
struct peer_fault {
  peer_fault_kind kind = peer_fault_kind::kGarbage;
  std::uint64_t count = 0;
  // Address and port that the latest rejected input came from.
  std::string source;
};

// All run on the I/O thread and must not block. Messages from one peer arrive in sending order.
struct peer_handlers {
  std::function<void(const process_id&, peer_message)> on_message;
  std::function<void(process_status)> on_heartbeat;
  std::function<void(const peer_fault&)> on_fault;
  // The outgoing connection was established or lost. Messages sent before a loss may not arrive.
  std::function<void(const process_id&, bool connected)> on_connection_change;
};

// Counters for one peer and one kind of message. Bytes include seals and frame lengths, but no TCP,
// UDP or IP headers.
struct peer_traffic {
  process_id peer;
  bool other_region = false;
  std::string_view kind;
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

// Fault injection for tests. Blocking a direction closes its TCP connection and drops its
// datagrams; the delay applies to everything sent to the peer.
struct link_fault {
  bool blocked_in = false;
  bool blocked_out = false;
  duration delay{};
};

class peer_transport {
 public:
  peer_transport(peer_transport_options options, peer_handlers handlers);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Binds the sockets: kOk, kMalformed for a listen address that is not numeric, or kInternal.
  errc Bind();
  std::uint16_t Port() const;
  // Starts the I/O thread; call once, after Bind. kMalformed if an address is not numeric.
  errc Start(std::span<const peer_address> peers);
  // Stops the I/O thread; no handler runs afterwards.
  void Stop();

  // False if the peer is unknown or not connected, if the message is too large or if the queue is
  // full. An accepted message is lost only if the connection is lost.
  bool Send(const process_id& to, const peer_message& message);
  void SendHeartbeat(const process_id& to, const process_status& status);
  bool IsConnected(const process_id& to) const;

  // Omits kinds of message without traffic.
  std::vector<peer_traffic> TrafficCounters() const;

  void SetLinkFault(const process_id& peer, link_fault fault);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_PEER_TRANSPORT_H_
