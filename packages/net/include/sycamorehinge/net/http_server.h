// HTTP/1.1 server on libmicrohttpd, the library under ulfius: one thread serves all connections,
// and a connection without a reply is suspended. ulfius itself needs a thread for each of them.
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

namespace sycamorehinge {

struct http_server_options {
  std::string listen = "127.0.0.1";
  // 0 takes a free port; see http_server::Port.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;
  unsigned max_connections = 1024;
  // Time until a request that got no reply is answered with 504.
  duration request_timeout = std::chrono::seconds(60);
  // A connection that waits for its next request this long is closed; whole seconds.
  duration idle_timeout = std::chrono::seconds(120);
};

// The views are valid until the handler returns; copy what a later reply needs.
struct http_request {
  std::string_view method;
  std::string_view path;
  // Raw text behind '?'; see Query for decoded values.
  std::string_view query;
  std::span<const http_header_view> headers;
  std::span<const http_header_view> query_values;
  std::string_view body;

  // Empty if there is no such header.
  std::string_view Header(std::string_view name) const;
  // Decoded value of a query parameter; nullopt if there is none.
  std::optional<std::string_view> Query(std::string_view name) const;
};

struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
};

// JSON body {error, code, outcome, retry_after_ms, detail} with the status that fits the error.
http_response ErrorResponse(errc code, std::string_view detail = {}, duration retry_after = {});
int StatusOf(errc code);

class http_server {
 public:
  using reply_function = std::function<void(http_response)>;
  // Runs on the server's thread and must not block. `reply` may be called on any thread, also from
  // inside the handler; calls after the first are ignored.
  using handler = std::function<void(const http_request&, reply_function reply)>;

  // Call Start before anything else.
  http_server(http_server_options options, handler handle);
  // Stops if still running.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // kOk, or kInternal if the address cannot be bound.
  errc Start();
  std::uint16_t Port() const;
  std::string Address() const;

  // Refuses new connections, answers requests that arrive on kept ones until the requests in
  // flight are finished and their answers sent, then closes all connections.
  void Stop();

 private:
  class running;
  http_server_options options_;
  handler handle_;
  std::unique_ptr<running> running_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HTTP_SERVER_H_
