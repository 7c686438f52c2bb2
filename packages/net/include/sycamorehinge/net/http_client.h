// Asynchronous HTTP/1.1 client: one thread drives all transfers through the curl multi interface.
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

struct http_client_request {
  std::string method = "GET";
  std::string url;
  std::vector<http_header> headers;
  std::string body;
  // Total time: waiting for a free connection, connecting and receiving the whole response.
  duration timeout = std::chrono::seconds(10);
  // Limit on the response including headers; 0 uses the client's default.
  std::size_t max_response_bytes = 0;
  // Only opens a new connection and closes it, without sending a request.
  bool connect_only = false;
};

struct http_client_response {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  // Time to establish the connection; zero if an idle one was reused.
  duration connect_time{};
};

// Detail of kConnectionFailed when nothing listens at the address, so that the request was not
// sent.
inline constexpr std::string_view kRefusedDetail = "refused";
// Detail of kConnectionFailed and kTimeout when the request was not sent for another reason.
inline constexpr std::string_view kNotSentDetail = "not sent";

// False only if the request definitely did not reach the server.
bool MayHaveBeenSent(const result<http_client_response>& outcome);

struct http_client_options {
  // A target accepts about 60 connections.
  long max_connections_per_host = 60;
  // Limit on cached idle connections to all hosts: two for each of 1,400 workers. Connections are
  // cached in pools; the pool of a host may hold its share, but at least max_connections_per_host.
  long max_idle_connections = 2800;
  std::size_t max_response_bytes = std::size_t{8} << 20;
  // Limit on idle curl easy handles cached for reuse.
  std::size_t max_idle_handles = 256;
};

class http_client {
 public:
  using handler = std::function<void(result<http_client_response>)>;

  explicit http_client(http_client_options options = {});
  // Completes all pending calls with kConnectionFailed. Must not be called on the client thread.
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Calls `done` exactly once, on the client thread and never from inside Send. Errors:
  //   kConnectionFailed, detail "refused" or "not sent": the request was definitely not sent.
  //   kConnectionFailed, any other detail: unknown whether the request took effect. Includes
  //     truncated and oversized responses and connections lost after the request was sent.
  //   kTimeout: unknown whether the request took effect, or not sent if the detail is "not sent".
  // If the server has closed a reused idle connection, only a GET is sent again.
  void Send(http_client_request call, handler done);

  // Runs `task` on the client thread.
  void Post(std::function<void()> task);

 private:
  class event_loop;
  std::unique_ptr<event_loop> event_loop_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HTTP_CLIENT_H_
