// Connections between entry processes: UDP for heartbeats, TCP for messages.
//
// Every datagram and frame is sealed (wire/seal.h) and names its receiver, so that it cannot be
// played back to another process. A TCP connection carries one direction; it opens with a random
// number from each side, so that frames of earlier connections cannot be played back either.
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
  // Numeric address; the port serves both UDP and TCP.
  std::string host;
  std::uint16_t port = 0;
};

struct peer_transport_options {
  process_id self;
  region_id region;
  // Must grow with every start of the process: peers refuse frames of an older incarnation, and
  // count those of the same one that were sent before as replayed.
  std::uint64_t incarnation = 0;
  std::string key;
  std::string listen = "127.0.0.1";
  // 0 takes a free port; see peer_transport::Port.
  std::uint16_t port = 0;
  // Largest frame, seal included.
  std::size_t max_frame_bytes = kMaxMessageBytes + 1024;
  // Messages waiting for one peer; Send gives false above either limit.
  std::size_t max_queue_bytes = std::size_t{8} << 20;
  std::size_t max_queue_messages = 20'000;
  duration min_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(1);
  // Time for a new connection to authenticate.
  duration handshake_timeout = std::chrono::seconds(2);
  // Unacknowledged data older than this breaks the connection.
  duration dead_after = std::chrono::seconds(3);
  // Faults of one kind are reported at most once in this time.
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

// Input that was dropped since the last report of this kind.
struct peer_fault {
  peer_fault_kind kind = peer_fault_kind::kGarbage;
  std::uint64_t count = 0;
  // Address of the last source.
  std::string source;
};

// All run on the I/O thread and must not block. Messages of one peer come in sending order.
struct peer_handlers {
  std::function<void(const process_id&, peer_message)> on_message;
  std::function<void(process_status)> on_heartbeat;
  std::function<void(const peer_fault&)> on_fault;
  // The connection to the peer came up or broke. Messages sent before a break may be lost.
  std::function<void(const process_id&, bool connected)> on_link;
};

// Traffic with one peer of one kind of message. Bytes are those of sealed frames and datagrams,
// without the headers of TCP, UDP and IP.
struct peer_traffic {
  process_id peer;
  bool other_region = false;
  std::string_view kind;
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
};

// Faults for tests. A blocked direction breaks its TCP connection and drops its datagrams; the
// delay holds back everything sent to the peer.
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
  // Begins to send and receive; call once, after Bind. kMalformed if an address is not numeric.
  errc Start(std::span<const peer_address> peers);
  // Ends the I/O thread; no handler runs afterwards.
  void Stop();

  // False if the peer is unknown or not connected, or if its queue is full. A message that was
  // taken is lost only if the connection breaks.
  bool Send(const process_id& to, const peer_message& message);
  void SendHeartbeat(const process_id& to, const process_status& status);
  bool IsConnected(const process_id& to) const;

  // Rows without traffic are left out.
  std::vector<peer_traffic> Traffic() const;

  void SetLinkFault(const process_id& peer, link_fault fault);

 private:
  class endpoint;
  std::unique_ptr<endpoint> endpoint_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_PEER_TRANSPORT_H_
