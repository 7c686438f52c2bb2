// HTTP/1.1 server on libmicrohttpd, the library that ulfius is built on. One thread serves all
// connections and suspends those that wait for a reply; ulfius would need a thread for each.
#ifndef SYCAMOREHINGE_NET_HTTP_SERVER_H_
#define SYCAMOREHINGE_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/net/http_types.h"
#include "sycamorehinge/net/request_budget.h"

namespace sycamorehinge {

struct http_server_options {
  std::string listen = "127.0.0.1";
  // 0 selects a free port; see http_server::Port.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;
  unsigned max_connections = 1024;
  // Bytes of all requests and answers that the server holds at the same time.
  std::size_t max_held_bytes = std::size_t{64} << 20;
  // A request without a reply is answered with 504 after this time.
  duration request_timeout = std::chrono::seconds(60);
  // Connections are closed after these times: headers that are not complete, and connections
  // without progress.
  duration header_timeout = std::chrono::seconds(20);
  duration idle_timeout = std::chrono::seconds(120);
  // Stop waits this long for the replies to requests that it has received.
  duration stop_timeout = std::chrono::seconds(60);
  // Called when a request is refused or a connection closed because of a limit; runs on a thread of
  // the server and must not block.
  std::function<void(std::string_view limit)> on_limited;
};

struct http_server_load {
  std::size_t connections = 0;
  std::size_t held_bytes = 0;
  // Requests refused and connections closed because of a limit.
  std::uint64_t limited = 0;
};

// The views are valid only until the handler returns; copy anything needed afterwards.
struct http_request {
  std::string_view method;
  std::string_view path;
  // Undecoded query string without '?'; see Query for decoded values.
  std::string_view query;
  std::span<const http_header_view> headers;
  std::span<const http_header_view> query_values;
  std::string_view body;

  // Empty if the header is absent.
  std::string_view Header(std::string_view name) const;
  // Decoded value of a query parameter; nullopt if absent.
  std::optional<std::string_view> Query(std::string_view name) const;
};

struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
};

// Response with the status for `code` and a JSON body {error, code, outcome, retry_after_ms,
// detail}.
http_response ErrorResponse(errc code, std::string_view detail = {}, duration retry_after = {});
int HttpStatusOf(errc code);

class http_server {
 public:
  using reply_function = std::function<void(http_response)>;
  // Runs on the server thread and must not block. `reply` may be called on any thread, including
  // from inside the handler; calls after the first are ignored.
  using handler = std::function<void(const http_request&, reply_function reply)>;

  // Start must be called before any other function.
  http_server(http_server_options options, handler handle);
  // Calls Stop.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // kOk, or kInternal if the address cannot be bound.
  errc Start();
  std::uint16_t Port() const;
  std::string Address() const;

  // Replaces the limits of one request. They do not exceed those of the options.
  void SetLimits(const request_size_limits& limits);
  http_server_load Load() const;

  // Graceful shutdown: refuses new connections, serves existing ones until all responses to
  // requests that have been received are sent, then closes all connections. Requests that are not
  // complete are not waited for.
  void Stop();

 private:
  class impl;
  http_server_options options_;
  handler handler_;
  std::unique_ptr<impl> impl_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HTTP_SERVER_H_
