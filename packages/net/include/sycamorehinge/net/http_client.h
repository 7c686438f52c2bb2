// Asynchronous HTTP/1.1 client: one thread drives all calls with curl's multi interface.
#ifndef SYCAMOREHINGE_NET_HTTP_CLIENT_H_
#define SYCAMOREHINGE_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/net/http_types.h"

namespace sycamorehinge {

struct http_call {
  std::string method = "GET";
  std::string url;
  std::vector<http_header> headers;
  std::string body;
  // Covers the wait for a connection, the connect and the whole answer.
  duration timeout = std::chrono::seconds(10);
  // Largest answer, headers included; 0 takes the client's default.
  std::size_t max_response_bytes = 0;
  // Opens a new connection, sends nothing and closes it.
  bool connect_only = false;
};

struct http_reply {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  // Time until the connection stood; zero for a kept one.
  duration connect{};
};

// Detail of kConnectionFailed if the request was certainly not sent.
inline constexpr std::string_view kRefusedDetail = "refused";
// Detail of kTimeout if the time ran out before the request was sent.
inline constexpr std::string_view kNotSentDetail = "not sent";

// True unless the call certainly did not reach the server.
bool MayHaveBeenSent(const result<http_reply>& outcome);

struct http_client_options {
  // A target accepts about 60 connections.
  long max_connections_per_host = 60;
  // Idle connections kept over all hosts; 1,400 workers at two connections each.
  long max_kept_connections = 2800;
  std::size_t max_response_bytes = std::size_t{8} << 20;
  // Idle handles kept for reuse.
  std::size_t max_idle_handles = 256;
};

class http_client {
 public:
  using handler = std::function<void(result<http_reply>)>;

  explicit http_client(http_client_options options = {});
  // Completes all pending calls with kConnectionFailed. Must not run on the client's own thread.
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Calls `done` exactly once on the client's thread, never from inside Send. Errors:
  //   kConnectionFailed, detail "refused": certainly not sent.
  //   kConnectionFailed, any other detail: unknown whether the request took effect. This includes
  //     truncated and oversized answers and connections that broke after the request was sent.
  //   kTimeout: unknown; with detail "not sent" the request was not sent.
  // Only GET is sent again after a kept connection turned out to be closed.
  void Send(http_call call, handler done);

  // Runs `task` on the client's thread.
  void Post(std::function<void()> task);

 private:
  class loop;
  std::unique_ptr<loop> loop_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HTTP_CLIENT_H_
