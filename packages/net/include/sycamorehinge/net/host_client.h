// Client of the host interface; implements the port `call_host`.
#ifndef SYCAMOREHINGE_NET_HOST_CLIENT_H_
#define SYCAMOREHINGE_NET_HOST_CLIENT_H_

#include <cstddef>

#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/node/ports.h"

namespace sycamorehinge {

struct host_client_options {
  // Timeout of all calls but execute, which brings its own. Half the claim's lifetime of 2 s, so
  // that a lost renewal can be repeated in time.
  duration timeout = std::chrono::seconds(1);
  // Added to the timeout of an execute, so that the target's own error still arrives.
  duration execute_margin = std::chrono::milliseconds(500);
  // Largest answer of a target.
  std::size_t max_answer_bytes = std::size_t{4} << 20;
};

class host_client {
 public:
  // `client` must outlive the host client.
  explicit host_client(http_client& client, host_client_options options = {});

  // Errors: those of http_client::Send, and kStaleTerm, kVoided, kNoRoom, kFailed, kMalformed as
  // the host says, kHttpStatus for other statuses, kInternal for answers that make no sense.
  // A denied claim is not an error but claim_denied.
  void Call(const listed_host& host, host_call call, completion<host_answer> done) const;

 private:
  http_client* client_;
  host_client_options options_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HOST_CLIENT_H_
