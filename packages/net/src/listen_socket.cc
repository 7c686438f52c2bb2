#include "listen_socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>

namespace sycamorehinge {

namespace {

struct addrinfo_deleter {
  void operator()(addrinfo* info) const { freeaddrinfo(info); }
};

std::unique_ptr<addrinfo, addrinfo_deleter> ParseAddress(const std::string& address,
                                                         std::uint16_t port) {
  addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  addrinfo* addresses = nullptr;
  if (getaddrinfo(address.c_str(), std::to_string(port).c_str(), &hints, &addresses) != 0) {
    return {};
  }
  return std::unique_ptr<addrinfo, addrinfo_deleter>(addresses);
}

std::uint16_t LocalPort(int fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

}  // namespace

socket_fd& socket_fd::operator=(socket_fd&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = other.Release();
  }
  return *this;
}

int socket_fd::Release() {
  const int fd = fd_;
  fd_ = -1;
  return fd;
}

void socket_fd::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

socket_fd ListenOn(const std::string& address, std::uint16_t port, int backlog,
                   std::uint16_t& bound_port) {
  const auto info = ParseAddress(address, port);
  if (!info) return socket_fd();
  socket_fd fd(socket(info->ai_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd.Get() < 0) return fd;
  const int on = 1;
  // Allows a restarted process to bind while old connections are in TIME_WAIT.
  setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd.Get(), info->ai_addr, info->ai_addrlen) != 0) return socket_fd();
  if (listen(fd.Get(), backlog) != 0) return socket_fd();
  bound_port = LocalPort(fd.Get());
  return fd;
}

}  // namespace sycamorehinge
