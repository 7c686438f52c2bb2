// Client for the platform's append-only log; implements the ports `append` and `read`.
#ifndef SYCAMOREHINGE_NET_LOG_CLIENT_H_
#define SYCAMOREHINGE_NET_LOG_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/node/ports.h"

namespace sycamorehinge {

struct log_client_options {
  // Base URL, for example "http://127.0.0.1:9100".
  std::string address;
  duration append_timeout = std::chrono::seconds(2);
  duration read_timeout = std::chrono::seconds(10);
  // Limit on a read response. Base64 makes a page a third larger than its records.
  std::size_t max_page_bytes = std::size_t{64} << 20;
};

class log_client {
 public:
  // `client` must outlive the log client.
  log_client(http_client& client, log_client_options options);

  // Errors: kLogUnavailable (not appended), kOverloaded (not appended: rate limit), kTimeout (any
  // failure after which it is unknown whether the bytes were appended).
  void Append(std::string_view stream, std::string bytes, completion<std::uint64_t> done) const;

  // Errors: kLogUnavailable, kTimeout, kOverloaded, kOffsetForgotten (detail: oldest available
  // offset).
  void Read(std::string_view stream, std::uint64_t from, std::uint32_t max,
            completion<log_page> done) const;

 private:
  http_client* client_;
  log_client_options options_;
};

// Decoders of the log's responses, declared here for tests with arbitrary bytes.
result<std::uint64_t> DecodeAppendReply(const http_client_response& reply);
result<log_page> DecodeReadReply(const http_client_response& reply);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_LOG_CLIENT_H_
