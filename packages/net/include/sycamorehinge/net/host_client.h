// Client for the host interface; implements the port `call_host`.
#ifndef SYCAMOREHINGE_NET_HOST_CLIENT_H_
#define SYCAMOREHINGE_NET_HOST_CLIENT_H_

#include <cstddef>

#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/node/ports.h"

namespace sycamorehinge {

struct host_client_options {
  // Timeout of all calls except execute, which has its own. Half of the claim lifetime of 2 s, so
  // that a failed renewal can be retried before the claim expires.
  duration timeout = std::chrono::seconds(1);
  // Added to the timeout of execute calls, so that the target's own timeout error can arrive.
  duration execute_margin = std::chrono::milliseconds(500);
  // Limit on a response, headers included.
  std::size_t max_response_bytes = std::size_t{4} << 20;
};

class host_client {
 public:
  // `client` must outlive the host client.
  explicit host_client(http_client& client, host_client_options options = {});

  // Errors: those of http_client::Send; kStaleTerm, kVoided, kNoRoom, kFailed and kMalformed as
  // reported by the host, kHttpStatus for other statuses and kInternal for malformed responses.
  // A denied claim is not an error; it returns claim_denied.
  void Call(const listed_host& host, host_call call, completion<host_answer> done) const;

 private:
  http_client* client_;
  host_client_options options_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HOST_CLIENT_H_
