// Listening TCP socket bound to a numeric address.
#ifndef SYCAMOREHINGE_NET_SRC_LISTEN_SOCKET_H_
#define SYCAMOREHINGE_NET_SRC_LISTEN_SOCKET_H_

#include <cstdint>
#include <string>

namespace sycamorehinge {

// Owning file descriptor; -1 if invalid.
class socket_fd {
 public:
  explicit socket_fd(int fd = -1) : fd_(fd) {}
  ~socket_fd() { Close(); }
  socket_fd(socket_fd&& other) noexcept : fd_(other.Release()) {}
  socket_fd& operator=(socket_fd&& other) noexcept;

  int Get() const { return fd_; }
  int Release();
  void Close();

 private:
  int fd_;
};

// Binds and listens. Invalid if the address is not numeric or cannot be bound. Port 0 selects a
// free port; `bound_port` receives the actual one.
socket_fd ListenOn(const std::string& address, std::uint16_t port, int backlog,
                   std::uint16_t& bound_port);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_LISTEN_SOCKET_H_
