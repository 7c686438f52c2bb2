#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <random>

#include "peer_frame.h"
#include "sycamorehinge/net/peer_transport.h"
#include "sycamorehinge/wire/seal.h"

namespace sycamorehinge {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";

// A process with its transport, recording everything received.
class peer_process {
 public:
  peer_process(std::string name, std::string region, std::uint64_t incarnation = 1,
               std::uint16_t port = 0) {
    peer_transport_options options;
    options.self = {std::move(name)};
    options.region = {std::move(region)};
    options.incarnation = incarnation;
    options.key = kKey;
    options.port = port;
    options.report_interval = 200ms;
    options.max_queue_bytes = 1'000'000;
    address_ = {options.self, options.region, "127.0.0.1", 0};
    peer_handlers handlers;
    handlers.on_message = [this](const process_id& from, peer_message message) {
      UpdateLocked([&] { messages.emplace_back(from, std::move(message)); });
    };
    handlers.on_heartbeat = [this](process_status status) {
      UpdateLocked([&] { heartbeats.push_back(std::move(status)); });
    };
    handlers.on_fault = [this](const peer_fault& fault) {
      UpdateLocked([&] { faults.push_back(fault); });
    };
    transport = std::make_unique<peer_transport>(options, handlers);
    REQUIRE(transport->Bind() == errc::kOk);
    address_.port = transport->Port();
  }

  // The handlers access members that are destroyed before the transport, so it is stopped first.
  ~peer_process() { transport->Stop(); }
  peer_process(const peer_process&) = delete;
  peer_process& operator=(const peer_process&) = delete;

  const peer_address& Address() const { return address_; }

  template <class Condition>
  bool WaitFor(Condition condition, std::chrono::milliseconds time = 5s) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, time, condition);
  }

  std::uint64_t FaultCount(peer_fault_kind kind) const {
    std::uint64_t count = 0;
    for (const peer_fault& fault : faults) count += fault.kind == kind ? fault.count : 0;
    return count;
  }

  std::vector<std::pair<process_id, peer_message>> messages;
  std::vector<process_status> heartbeats;
  std::vector<peer_fault> faults;
  std::unique_ptr<peer_transport> transport;

 private:
  template <class Change>
  void UpdateLocked(Change change) {
    {
      const std::lock_guard lock(mutex_);
      change();
    }
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  peer_address address_;
};

void StartBoth(peer_process& a, peer_process& b) {
  const std::vector<peer_address> both = {a.Address(), b.Address()};
  REQUIRE(a.transport->Start(both) == errc::kOk);
  REQUIRE(b.transport->Start(both) == errc::kOk);
}

bool WaitConnected(const peer_process& from, const peer_process& to, bool wanted = true) {
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  while (std::chrono::steady_clock::now() < deadline) {
    if (from.transport->IsConnected(to.Address().process) == wanted) return true;
    std::this_thread::sleep_for(2ms);
  }
  return false;
}

process_status MakeStatus(const peer_process& process, std::uint64_t incarnation = 1) {
  process_status status;
  status.process = process.Address().process;
  status.incarnation = incarnation;
  status.config_version = 5;
  return status;
}

peer_message MakeForwardRequest(call_id call, std::size_t body_bytes = 10) {
  forward_request message;
  message.call = call;
  message.request.body.assign(body_bytes, 'x');
  return message;
}

// Sends arbitrary bytes to a process, as an attacker on the network could.
class attacker {
 public:
  explicit attacker(const peer_process& target)
      : address_(asio::ip::make_address("127.0.0.1")),
        port_(target.Address().port),
        datagrams_(io_, asio::ip::udp::v4()) {}

  void SendDatagram(std::string_view bytes) {
    datagrams_.send_to(asio::buffer(bytes), {address_, port_});
  }

  // Connects, sends the bytes that `make` builds from the receiver's nonce and reads until the
  // receiver closes the connection. Returns what was read.
  template <class Make>
  std::string SendOnStream(Make make) {
    asio::ip::tcp::socket socket(io_);
    socket.connect({address_, port_});
    std::string nonce(kNonceBytes, '\0');
    asio::read(socket, asio::buffer(nonce));
    const std::string bytes = make(nonce);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string rest(4096, '\0');
    std::size_t got = 0;
    while (!error && got < rest.size()) {
      got += socket.read_some(asio::buffer(rest.data() + got, rest.size() - got), error);
    }
    rest.resize(got);
    return rest;
  }

 private:
  asio::io_context io_;
  asio::ip::address address_;
  std::uint16_t port_;
  asio::ip::udp::socket datagrams_;
};

std::string MakeSealedFrame(const process_id& to, const process_id& from, frame_kind kind,
                            std::string_view body, std::uint64_t counter = 1,
                            std::string_view key = kKey) {
  return Seal(key, {from, 1, counter}, EncodeFrameContent(kind, to, body));
}

// Guards against messages between healthy peers being lost, reordered or not counted.
TEST_CASE("Messages and heartbeats arrive in order and are counted by region") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "tartu");
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  const process_id to = b.Address().process;
  constexpr std::uint64_t kMessages = 5000;
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t sent = 0;
  while (sent < kMessages) {
    if (a.transport->Send(to, MakeForwardRequest(sent))) {
      ++sent;
    } else {
      std::this_thread::sleep_for(1ms);
    }
  }
  REQUIRE(b.WaitFor([&] { return b.messages.size() == kMessages; }));
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  WARN("peer messages per second: " << static_cast<int>(kMessages / elapsed.count()));
  for (std::uint64_t i = 0; i < kMessages; ++i) {
    REQUIRE(b.messages[i].first.value == "entry-a");
    REQUIRE(std::get<forward_request>(b.messages[i].second).call == i);
  }
  a.transport->SendHeartbeat(to, MakeStatus(a));
  REQUIRE(b.WaitFor([&] { return b.heartbeats.size() == 1; }));
  CHECK(b.heartbeats[0].config_version == 5);
  const auto rows = b.transport->TrafficCounters();
  const auto row = std::find_if(rows.begin(), rows.end(),
                                [](const peer_traffic& r) { return r.kind == "forward_request"; });
  REQUIRE(row != rows.end());
  CHECK(row->received_messages == kMessages);
  // Each frame adds its length, the seal and the names of both processes.
  const std::size_t frame = EncodeMessage(MakeForwardRequest(0)).size() + 4 + 50 + 7 + 2 + 7;
  CHECK(row->received_bytes >= kMessages * frame);
  CHECK(row->received_bytes <= kMessages * (frame + 1));
  CHECK(row->other_region);
  CHECK(b.faults.empty());
}

// Guards against unbounded queue growth when a peer does not read, and against messages accepted
// for an unknown peer.
TEST_CASE("Send returns false without a connection and when the queue is full") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "harju");
  CHECK_FALSE(a.transport->Send({"nobody"}, config_fetch{}));
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  a.transport->SetLinkFault(b.Address().process, {false, false, 10s});
  int taken = 0;
  while (taken < 100 && a.transport->Send(b.Address().process, MakeForwardRequest(0, 100'000))) {
    ++taken;
  }
  CHECK(taken >= 8);
  CHECK(taken <= 10);
}

// Guards against a connection that is not re-established after a partition, and against fault
// injection that has no effect.
TEST_CASE("A blocked link delivers nothing and reconnects when it is unblocked") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "harju");
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  const process_id to = b.Address().process;
  SECTION("blocked at the sender") { a.transport->SetLinkFault(to, {false, true, {}}); }
  SECTION("blocked at the receiver") {
    b.transport->SetLinkFault(a.Address().process, {true, false, {}});
  }
  REQUIRE(WaitConnected(a, b, false));
  CHECK_FALSE(a.transport->Send(to, MakeForwardRequest(1)));
  a.transport->SendHeartbeat(to, MakeStatus(a));
  CHECK_FALSE(b.WaitFor([&] { return !b.heartbeats.empty(); }, 100ms));
  // The other direction is not affected.
  REQUIRE(WaitConnected(b, a));
  REQUIRE(b.transport->Send(a.Address().process, MakeForwardRequest(2)));
  REQUIRE(a.WaitFor([&] { return a.messages.size() == 1; }));
  a.transport->SetLinkFault(to, {});
  b.transport->SetLinkFault(a.Address().process, {});
  REQUIRE(WaitConnected(a, b));
  REQUIRE(a.transport->Send(to, MakeForwardRequest(3)));
  REQUIRE(b.WaitFor([&] { return b.messages.size() == 1; }));
}

// Guards against an injected delay that reorders messages or has no effect.
TEST_CASE("A delayed link delays messages and heartbeats") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "tartu");
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  const process_id to = b.Address().process;
  a.transport->SetLinkFault(to, {false, false, 60ms});
  const auto start = std::chrono::steady_clock::now();
  for (call_id call = 0; call < 50; ++call) {
    REQUIRE(a.transport->Send(to, MakeForwardRequest(call)));
  }
  a.transport->SendHeartbeat(to, MakeStatus(a));
  REQUIRE(b.WaitFor([&] { return b.messages.size() == 50 && b.heartbeats.size() == 1; }));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  CHECK(elapsed >= 60ms);
  CHECK(elapsed < 1s);
  CHECK(std::get<forward_request>(b.messages[49].second).call == 49);
}

// Guards against a restarted peer staying unreachable, and against frames of its earlier
// incarnation being accepted.
TEST_CASE("A restarted process reconnects and frames of its earlier incarnation are rejected") {
  peer_process a("entry-a", "harju");
  auto b = std::make_unique<peer_process>("entry-b", "harju", 1);
  StartBoth(a, *b);
  REQUIRE(WaitConnected(a, *b));
  REQUIRE(WaitConnected(*b, a));
  const peer_address old = b->Address();
  b.reset();
  peer_process restarted("entry-b", "harju", 2, old.port);
  const std::vector<peer_address> both = {a.Address(), old};
  REQUIRE(restarted.transport->Start(both) == errc::kOk);
  REQUIRE(WaitConnected(a, restarted));
  REQUIRE(WaitConnected(restarted, a));
  REQUIRE(restarted.transport->Send(a.Address().process, MakeForwardRequest(9)));
  REQUIRE(a.WaitFor([&] { return a.messages.size() == 1; }));
  restarted.transport->SendHeartbeat(a.Address().process, MakeStatus(restarted, 2));
  REQUIRE(a.WaitFor([&] { return a.heartbeats.size() == 1; }));
  attacker(a).SendDatagram(MakeSealedFrame(a.Address().process, old.process, frame_kind::kHeartbeat,
                                           EncodeHeartbeat(MakeStatus(restarted, 1)), 1'000'000));
  REQUIRE(a.WaitFor([&] { return a.FaultCount(peer_fault_kind::kReplayed) == 1; }));
  CHECK(a.heartbeats.size() == 1);
}

// Guards against forged, misaddressed, replayed or malformed datagrams being accepted or disrupting
// peers.
TEST_CASE("Invalid datagrams are counted, reported once per interval and ignored") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "harju");
  StartBoth(a, b);
  attacker sender(b);
  const process_id to = b.Address().process;
  const std::string body = EncodeHeartbeat(MakeStatus(a));
  const std::string recorded =
      MakeSealedFrame(to, a.Address().process, frame_kind::kHeartbeat, body, 1'000'000);
  sender.SendDatagram("garbage");
  sender.SendDatagram(std::string(100, '\1'));
  sender.SendDatagram(
      MakeSealedFrame(to, a.Address().process, frame_kind::kHeartbeat, body, 2, "another key"));
  sender.SendDatagram(MakeSealedFrame(to, {"stranger"}, frame_kind::kHeartbeat, body));
  sender.SendDatagram(
      MakeSealedFrame({"entry-c"}, a.Address().process, frame_kind::kHeartbeat, body));
  sender.SendDatagram(recorded);
  for (int i = 0; i < 20; ++i) sender.SendDatagram(recorded);
  REQUIRE(b.WaitFor([&] { return b.FaultCount(peer_fault_kind::kReplayed) == 21; }));
  CHECK(b.heartbeats.size() == 1);
  CHECK(b.FaultCount(peer_fault_kind::kWrongVersion) == 1);
  CHECK(b.FaultCount(peer_fault_kind::kWrongKey) == 2);
  CHECK(b.FaultCount(peer_fault_kind::kUnknownSender) == 1);
  // The 21 replays are reported as the first one and the sum over the interval.
  CHECK(b.faults.size() <= 6);
  REQUIRE(WaitConnected(a, b));
  REQUIRE(a.transport->Send(to, MakeForwardRequest(1)));
  REQUIRE(b.WaitFor([&] { return b.messages.size() == 1; }));
}

// Guards against accepting streams from unknown senders, replayed hellos and oversized frames.
TEST_CASE("Invalid connections are closed without affecting connections between peers") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "harju");
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  attacker sender(b);
  const process_id to = b.Address().process;
  const process_id from = a.Address().process;
  CHECK(sender.SendOnStream([](const std::string&) { return std::string(5000, 'G'); }).empty());
  CHECK(sender
            .SendOnStream([&](const std::string&) {
              return AddLengthPrefix(
                  MakeSealedFrame(to, from, frame_kind::kHello, std::string(2 * kNonceBytes, 'n')));
            })
            .empty());
  CHECK(sender
            .SendOnStream([&](const std::string& nonce) {
              return AddLengthPrefix(MakeSealedFrame(to, {"stranger"}, frame_kind::kHello,
                                                     nonce + std::string(kNonceBytes, 'n')));
            })
            .empty());
  CHECK(sender
            .SendOnStream([&](const std::string&) {
              return AddLengthPrefix(
                  MakeSealedFrame(to, from, frame_kind::kMessage, EncodeMessage(config_fetch{})));
            })
            .empty());
  REQUIRE(b.WaitFor([&] { return b.FaultCount(peer_fault_kind::kUnknownSender) == 2; }));
  CHECK(b.FaultCount(peer_fault_kind::kOversized) == 1);
  CHECK(b.FaultCount(peer_fault_kind::kReplayed) == 1);
  CHECK(b.messages.empty());
  REQUIRE(a.transport->Send(to, MakeForwardRequest(1)));
  REQUIRE(b.WaitFor([&] { return b.messages.size() == 1; }));
}

// Guards against a receiver that crashes or stops receiving after arbitrary bytes.
TEST_CASE("Random bytes on both sockets do not disrupt the transport") {
  peer_process a("entry-a", "harju");
  peer_process b("entry-b", "harju");
  StartBoth(a, b);
  REQUIRE(WaitConnected(a, b));
  attacker sender(b);
  std::mt19937_64 random(7);
  const process_id to = b.Address().process;
  const std::string valid = MakeSealedFrame(to, a.Address().process, frame_kind::kHeartbeat, "x");
  for (int round = 0; round < 300; ++round) {
    std::string bytes = valid;
    for (int i = 0; i < 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(1 + random() % bytes.size());
    sender.SendDatagram(bytes);
    if (round % 10 != 0) continue;
    sender.SendOnStream([&](const std::string&) { return std::string(2, '\0') + "\4\1" + bytes; });
  }
  REQUIRE(a.transport->Send(to, MakeForwardRequest(1)));
  REQUIRE(b.WaitFor([&] { return b.messages.size() == 1; }));
}

}  // namespace
}  // namespace sycamorehinge
