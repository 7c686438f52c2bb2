#include "curl_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace sycamorehinge {
namespace {

// Answers one connection on the loopback interface with fixed bytes and closes it.
class one_shot_server {
 public:
  explicit one_shot_server(std::string answer) : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(listener_, generic, size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, answer = std::move(answer)] { Serve(answer); });
  }
  ~one_shot_server() { Join(); }
  one_shot_server(const one_shot_server&) = delete;
  one_shot_server& operator=(const one_shot_server&) = delete;

  std::string Address() const { return "http://127.0.0.1:" + std::to_string(port_); }
  // What the client sent.
  const std::string& Received() {
    Join();
    return received_;
  }

 private:
  void Serve(const std::string& answer) {
    const int connection = accept(listener_, nullptr, nullptr);
    char buffer[4096];
    while (!IsComplete()) {
      const ssize_t got = read(connection, buffer, sizeof(buffer));
      if (got <= 0) break;
      received_.append(buffer, static_cast<std::size_t>(got));
    }
    static_cast<void>(send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
    close(connection);
  }
  // The bodies of these tests end with "END"; a GET has none.
  bool IsComplete() const {
    return received_.ends_with(received_.starts_with("POST") ? "END" : "\r\n\r\n");
  }
  void Join() {
    if (thread_.joinable()) thread_.join();
    if (listener_ >= 0) close(listener_);
    listener_ = -1;
  }

  int listener_;
  std::uint16_t port_ = 0;
  std::string received_;
  std::thread thread_;
};

result<api_reply> Get(const std::string& answer) {
  one_shot_server server(answer);
  return CurlTransport()(server.Address(), {.path = "/v1/state"}, std::chrono::seconds(20));
}

// Guards against requests that the entry process would read differently from what was meant.
TEST_CASE("A request carries method, path, headers and body") {
  one_shot_server server(
      "HTTP/1.1 202 Accepted\r\nSycamorehinge-Request:  r-1 \r\nContent-Length: 2\r\n\r\n{}");
  const api_request request{"POST", "/v1/jobs?x=%20", {{"Name", "value"}, {"Empty", ""}}, "b\nEND"};
  const auto reply = CurlTransport()(server.Address(), request, std::chrono::seconds(20));
  REQUIRE(reply);
  CHECK(reply->status == 202);
  CHECK(reply->body == "{}");
  CHECK(reply->request_id == "r-1");
  const std::string& sent = server.Received();
  CHECK(sent.starts_with("POST /v1/jobs?x=%20 HTTP/1.1\r\n"));
  CHECK(sent.find("\r\nName: value\r\n") != std::string::npos);
  CHECK(sent.find("\r\nEmpty:\r\n") != std::string::npos);
  CHECK(sent.find("Expect:") == std::string::npos);
  CHECK(sent.ends_with("\r\n\r\nb\nEND"));
}

// Guards against an answer that is passed on although a part of it is missing.
TEST_CASE("Incomplete answers are errors") {
  CHECK(Get("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc").code() == errc::kTruncated);
  CHECK(Get("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc").code() == errc::kTruncated);
  CHECK(Get("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc").code() != errc::kOk);
  CHECK(Get("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")->body == "abc");
}

// Guards against an answer that is lost after the request took effect being taken for "not run".
TEST_CASE("A connection that breaks after the request was sent leaves the outcome unknown") {
  const auto reply = Get("");
  CHECK(reply.code() == errc::kConnectionFailed);
  CHECK(reply.detail() != kNeverSent);
}

}  // namespace
}  // namespace sycamorehinge
