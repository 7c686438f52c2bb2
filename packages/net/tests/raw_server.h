// TCP server that violates HTTP in ways that http_server cannot.
#ifndef SYCAMOREHINGE_NET_TESTS_RAW_SERVER_H_
#define SYCAMOREHINGE_NET_TESTS_RAW_SERVER_H_

#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "listen_socket.h"

namespace sycamorehinge {

enum class raw_behaviour { kCloseAfterRequest, kNeverAnswer, kAnswerOnceThenClose, kTruncate };

class raw_server {
 public:
  explicit raw_server(raw_behaviour behaviour) : behaviour_(behaviour) {
    listener_ = ListenOn("127.0.0.1", 0, 128, port_);
    thread_ = std::thread([this] { Run(); });
  }
  ~raw_server() {
    shutdown(listener_.Get(), SHUT_RDWR);
    thread_.join();
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  std::string Address() const { return "http://127.0.0.1:" + std::to_string(port_); }
  int RequestCount() const { return request_count_; }

 private:
  void Run() {
    std::vector<socket_fd> open;
    while (true) {
      socket_fd connection(accept(listener_.Get(), nullptr, nullptr));
      if (connection.Get() < 0) return;
      if (HandleConnection(connection.Get())) open.push_back(std::move(connection));
    }
  }

  // Returns true to keep the connection open.
  bool HandleConnection(int fd) {
    if (behaviour_ == raw_behaviour::kNeverAnswer) return true;
    if (!ReadRequest(fd)) return false;
    if (behaviour_ == raw_behaviour::kTruncate) {
      Write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }
    if (behaviour_ == raw_behaviour::kAnswerOnceThenClose) {
      Write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      ReadRequest(fd);
    }
    return false;
  }

  // Reads until the end of a request; the tests send the one-byte body "x".
  bool ReadRequest(int fd) {
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n") == std::string::npos || !request.ends_with('x')) {
      const auto size = recv(fd, buffer, sizeof(buffer), 0);
      if (size <= 0) return false;
      request.append(buffer, static_cast<std::size_t>(size));
    }
    ++request_count_;
    return true;
  }

  static void Write(int fd, std::string_view text) {
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  }

  raw_behaviour behaviour_;
  std::uint16_t port_ = 0;
  socket_fd listener_;
  std::thread thread_;
  std::atomic<int> request_count_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_TESTS_RAW_SERVER_H_
