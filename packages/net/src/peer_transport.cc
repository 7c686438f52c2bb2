#include "sycamorehinge/net/peer_transport.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "fault_reporter.h"
#include "peer_frame.h"
#include "peer_link.h"
#include "peer_session.h"
#include "sycamorehinge/wire/seal.h"

namespace sycamorehinge {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Largest UDP payload over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65'507;
// Attempts to find a port that is free for both UDP and TCP.
constexpr int kBindAttempts = 16;
// Incoming connections allowed beyond two for each peer, for unauthenticated ones.
constexpr std::size_t kMaxExtraSessions = 16;

std::string FormatEndpoint(const udp::endpoint& from) {
  return from.address().to_string() + ":" + std::to_string(from.port());
}

}  // namespace

class peer_transport::impl {
 public:
  impl(peer_transport_options options, peer_handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        acceptor_(io_),
        datagrams_(io_),
        fault_reporter_(io_, options_.report_interval, handlers_.on_fault) {
    callbacks_.on_frame = [this](peer_session& session, std::string_view frame) {
      return OnFrame(session, frame);
    };
    callbacks_.on_oversized = [this](std::string_view source) {
      fault_reporter_.Count(peer_fault_kind::kOversized, source);
    };
    callbacks_.on_closed = [this](peer_session& session) {
      sessions_.erase(session.shared_from_this());
    };
  }
  ~impl() { Stop(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  errc Bind();
  errc Start(std::span<const peer_address> peers);
  void Stop();
  std::uint16_t Port() const { return port_; }
  bool Send(const process_id& to, const peer_message& message) const;
  void SendHeartbeat(const process_id& to, const process_status& status);
  // Null if the peer is unknown.
  peer_link* Find(const process_id& peer) const;
  std::vector<peer_traffic> Traffic() const;
  void SetLinkFault(const process_id& peer, link_fault fault);

 private:
  bool BindSockets(const asio::ip::address& address, std::uint16_t port);
  void Accept();
  void ReceiveDatagram();
  void SendDatagram(const std::shared_ptr<std::string>& bytes, const udp::endpoint& to);

  bool OnFrame(peer_session& session, std::string_view frame);
  bool OnHello(peer_session& session, const seal_header& header, const frame_content& content);
  bool OnMessage(peer_session& session, const seal_header& header, const frame_content& content,
                 std::size_t bytes);
  void OnDatagram(std::string_view frame, const std::string& source);
  void OnHeartbeat(const seal_header& header, std::string_view body, std::size_t bytes,
                   const std::string& source);
  // Verifies the seal; reports a fault and returns nullopt if it is invalid.
  std::optional<opened_frame> UnsealFrame(std::string_view frame, const std::string& source);
  // Reports a fault and returns false.
  bool RejectInput(peer_fault_kind kind, const std::string& source);
  void CloseSessionsOf(const process_id& peer);

  const peer_transport_options options_;
  const peer_handlers handlers_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  udp::socket datagrams_;
  std::uint16_t port_ = 0;
  std::thread thread_;
  // Not modified after Start.
  std::map<process_id, std::shared_ptr<peer_link>> links_;

  // Accessed only on the I/O thread.
  session_callbacks callbacks_;
  fault_reporter fault_reporter_;
  std::set<std::shared_ptr<peer_session>> sessions_;
  replay_window stream_replay_window_;
  replay_window datagram_replay_window_;
  std::array<char, kMaxDatagramBytes> datagram_{};
  udp::endpoint datagram_source_;
};

// --- Setup ---

bool peer_transport::impl::BindSockets(const asio::ip::address& address, std::uint16_t port) {
  error_code error;
  const tcp::endpoint stream(address, port);
  acceptor_.open(stream.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(stream, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) port_ = acceptor_.local_endpoint(error).port();
  const udp::endpoint datagram(address, port_);
  if (!error) datagrams_.open(datagram.protocol(), error);
  if (!error) datagrams_.bind(datagram, error);
  if (!error) return true;
  error_code ignored;
  acceptor_.close(ignored);
  datagrams_.close(ignored);
  return false;
}

errc peer_transport::impl::Bind() {
  error_code error;
  const auto address = asio::ip::make_address(options_.listen, error);
  if (error) return errc::kMalformed;
  const int attempts = options_.port == 0 ? kBindAttempts : 1;
  for (int i = 0; i < attempts; ++i) {
    if (BindSockets(address, options_.port)) return errc::kOk;
  }
  return errc::kInternal;
}

errc peer_transport::impl::Start(std::span<const peer_address> peers) {
  for (const peer_address& peer : peers) {
    if (peer.process == options_.self) continue;
    error_code error;
    const auto address = asio::ip::make_address(peer.host, error);
    if (error) return errc::kMalformed;
    links_[peer.process] = std::make_shared<peer_link>(io_, options_, handlers_, peer, address);
  }
  Accept();
  ReceiveDatagram();
  for (const auto& [name, link] : links_) {
    asio::post(io_, [link = link] { link->Connect(); });
  }
  thread_ = std::thread([this] {
    const auto guard = asio::make_work_guard(io_);
    io_.run();
  });
  return errc::kOk;
}

void peer_transport::impl::Stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

// --- Sending ---

peer_link* peer_transport::impl::Find(const process_id& peer) const {
  const auto found = links_.find(peer);
  return found == links_.end() ? nullptr : found->second.get();
}

bool peer_transport::impl::Send(const process_id& to, const peer_message& message) const {
  peer_link* link = Find(to);
  if (link == nullptr || !link->IsConnected()) return false;
  const std::string body = EncodeMessage(message);
  if (body.size() > kMaxMessageBytes) return false;
  return link->Send(message.index(), body);
}

void peer_transport::impl::SendHeartbeat(const process_id& to, const process_status& status) {
  peer_link* link = Find(to);
  if (link == nullptr) return;
  const link_fault fault = link->Fault();
  if (fault.blocked_out) return;
  const auto bytes = std::make_shared<std::string>(link->SealDatagram(EncodeHeartbeat(status)));
  if (bytes->size() > kMaxDatagramBytes) return;
  link->CountSent(kHeartbeatIndex, bytes->size());
  const udp::endpoint address = link->DatagramAddress();
  asio::post(io_, [this, bytes, address, delay = fault.delay] {
    if (delay <= duration::zero()) return SendDatagram(bytes, address);
    const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, bytes, address, timer](error_code error) {
      if (!error) SendDatagram(bytes, address);
    });
  });
}

void peer_transport::impl::SendDatagram(const std::shared_ptr<std::string>& bytes,
                                        const udp::endpoint& to) {
  // Heartbeats may be lost anyway, so send errors are ignored.
  datagrams_.async_send_to(asio::buffer(*bytes), to, [bytes](error_code, std::size_t) {});
}

std::vector<peer_traffic> peer_transport::impl::Traffic() const {
  std::vector<peer_traffic> rows;
  for (const auto& [name, link] : links_) link->AppendTraffic(rows);
  return rows;
}

void peer_transport::impl::SetLinkFault(const process_id& peer, link_fault fault) {
  peer_link* link = Find(peer);
  if (link == nullptr) return;
  link->SetFault(fault);
  if (fault.blocked_in) asio::post(io_, [this, peer] { CloseSessionsOf(peer); });
}

// --- Receiving ---

void peer_transport::impl::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    // Above the limit, the destructor of `socket` closes the connection.
    if (!error && sessions_.size() < 2 * links_.size() + kMaxExtraSessions) {
      auto session = std::make_shared<peer_session>(std::move(socket), options_, callbacks_);
      sessions_.insert(session);
      session->Start();
    }
    Accept();
  });
}

void peer_transport::impl::ReceiveDatagram() {
  datagrams_.async_receive_from(
      asio::buffer(datagram_), datagram_source_, [this](error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        // Other errors are ICMP reports about earlier sends.
        if (!error) OnDatagram({datagram_.data(), size}, FormatEndpoint(datagram_source_));
        ReceiveDatagram();
      });
}

bool peer_transport::impl::RejectInput(peer_fault_kind kind, const std::string& source) {
  fault_reporter_.Count(kind, source);
  return false;
}

std::optional<opened_frame> peer_transport::impl::UnsealFrame(std::string_view frame,
                                                              const std::string& source) {
  auto opened = Open(options_.key, frame);
  if (!opened) {
    RejectInput(FaultKindOf(opened.code()), source);
    return std::nullopt;
  }
  return std::move(*opened);
}

bool peer_transport::impl::OnFrame(peer_session& session, std::string_view frame) {
  const auto opened = UnsealFrame(frame, session.Source());
  if (!opened) return false;
  const auto content = DecodeFrameContent(opened->payload);
  if (!content) return RejectInput(peer_fault_kind::kGarbage, session.Source());
  // A valid frame addressed to another process must have been recorded and replayed.
  if (content->to != options_.self.value) {
    return RejectInput(peer_fault_kind::kReplayed, session.Source());
  }
  if (content->kind == frame_kind::kHello) return OnHello(session, opened->header, *content);
  if (content->kind == frame_kind::kMessage) {
    return OnMessage(session, opened->header, *content, frame.size() + kLengthBytes);
  }
  return RejectInput(peer_fault_kind::kGarbage, session.Source());
}

bool peer_transport::impl::OnHello(peer_session& session, const seal_header& header,
                                   const frame_content& content) {
  peer_link* link = Find(header.from);
  if (link == nullptr) return RejectInput(peer_fault_kind::kUnknownSender, session.Source());
  if (link->Fault().blocked_in) return false;
  const bool well_formed = content.body.size() == 2 * kNonceBytes && !session.IsAuthenticated();
  if (!well_formed) return RejectInput(peer_fault_kind::kGarbage, session.Source());
  const bool fresh = content.body.substr(0, kNonceBytes) == session.Nonce();
  if (!fresh || !stream_replay_window_.Accept(header)) {
    return RejectInput(peer_fault_kind::kReplayed, session.Source());
  }
  CloseSessionsOf(header.from);
  const seal_header own{options_.self, options_.incarnation, 0};
  std::string welcome = AddLengthPrefix(Seal(
      options_.key, own,
      EncodeFrameContent(frame_kind::kWelcome, header.from, content.body.substr(kNonceBytes))));
  link->CountSent(kHandshakeIndex, welcome.size());
  session.AcceptHello(header.from, header.counter, std::move(welcome));
  return true;
}

bool peer_transport::impl::OnMessage(peer_session& session, const seal_header& header,
                                     const frame_content& content, std::size_t bytes) {
  peer_link* link = session.IsAuthenticated() ? Find(session.Peer()) : nullptr;
  if (link == nullptr || header.from != session.Peer()) {
    return RejectInput(peer_fault_kind::kUnknownSender, session.Source());
  }
  if (link->Fault().blocked_in) return false;
  if (!session.AdvanceCounter(header.counter) || !stream_replay_window_.Accept(header)) {
    return RejectInput(peer_fault_kind::kReplayed, session.Source());
  }
  result<peer_message> message = DecodeMessage(content.body);
  if (!message) {
    // The frame is authentic, so the connection stays open: later frames may be decodable.
    RejectInput(FaultKindOf(message.code()), session.Source());
    return true;
  }
  link->CountReceived(message->index(), bytes);
  if (handlers_.on_message) handlers_.on_message(header.from, std::move(*message));
  return true;
}

void peer_transport::impl::OnDatagram(std::string_view frame, const std::string& source) {
  const auto opened = UnsealFrame(frame, source);
  if (!opened) return;
  const auto content = DecodeFrameContent(opened->payload);
  if (!content || content->kind != frame_kind::kHeartbeat) {
    RejectInput(peer_fault_kind::kGarbage, source);
    return;
  }
  // Heartbeats under this process's own name may come from a duplicate process, which membership
  // must detect. Those with this process's own incarnation can only be replays.
  const bool own = opened->header.from == options_.self;
  const bool is_own_replay = own && opened->header.incarnation == options_.incarnation;
  if (!own && Find(opened->header.from) == nullptr) {
    RejectInput(peer_fault_kind::kUnknownSender, source);
  } else if (is_own_replay || content->to != options_.self.value) {
    RejectInput(peer_fault_kind::kReplayed, source);
  } else {
    OnHeartbeat(opened->header, content->body, frame.size(), source);
  }
}

void peer_transport::impl::OnHeartbeat(const seal_header& header, std::string_view body,
                                       std::size_t bytes, const std::string& source) {
  peer_link* link = Find(header.from);
  if (link != nullptr && link->Fault().blocked_in) return;
  if (!datagram_replay_window_.Accept(header)) {
    RejectInput(peer_fault_kind::kReplayed, source);
    return;
  }
  result<process_status> status = DecodeHeartbeat(body);
  if (!status) {
    RejectInput(FaultKindOf(status.code()), source);
    return;
  }
  if (status->process != header.from || status->incarnation != header.incarnation) {
    RejectInput(peer_fault_kind::kGarbage, source);
    return;
  }
  if (link != nullptr) link->CountReceived(kHeartbeatIndex, bytes);
  if (handlers_.on_heartbeat) handlers_.on_heartbeat(std::move(*status));
}

void peer_transport::impl::CloseSessionsOf(const process_id& peer) {
  std::vector<std::shared_ptr<peer_session>> closing;
  for (const auto& session : sessions_) {
    if (session->Peer() == peer) closing.push_back(session);
  }
  for (const auto& session : closing) session->Close();
}

// --- peer_transport ---

peer_transport::peer_transport(peer_transport_options options, peer_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handlers))) {}

peer_transport::~peer_transport() = default;

errc peer_transport::Bind() { return impl_->Bind(); }
std::uint16_t peer_transport::Port() const { return impl_->Port(); }
errc peer_transport::Start(std::span<const peer_address> peers) { return impl_->Start(peers); }
void peer_transport::Stop() { impl_->Stop(); }

bool peer_transport::Send(const process_id& to, const peer_message& message) {
  return impl_->Send(to, message);
}

void peer_transport::SendHeartbeat(const process_id& to, const process_status& status) {
  impl_->SendHeartbeat(to, status);
}

bool peer_transport::IsConnected(const process_id& to) const {
  const peer_link* link = impl_->Find(to);
  return link != nullptr && link->IsConnected();
}

std::vector<peer_traffic> peer_transport::TrafficCounters() const { return impl_->Traffic(); }

void peer_transport::SetLinkFault(const process_id& peer, link_fault fault) {
  impl_->SetLinkFault(peer, fault);
}

}  // namespace sycamorehinge
