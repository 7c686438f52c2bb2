// Sends requests to the entry processes, the next one if one does not take the request.
#ifndef SYCAMOREHINGE_CTL_CLIENT_H_
#define SYCAMOREHINGE_CTL_CLIENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "api.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Whether a request may be sent again after it may already have taken effect.
enum class repeat_rule { kOnce, kRepeatable };

struct client_options {
  // Addresses such as "http://127.0.0.1:7000", tried in this order.
  std::vector<std::string> entries;
  // Sent as "Authorization: Bearer TOKEN" if not empty.
  std::string token;
  // Time for one call over all tries.
  duration timeout = std::chrono::seconds(10);
};

class client {
 public:
  client(client_options options, api_transport transport, api_clock clock);

  // Returns the first reply of an entry process that took the request. kConnectionFailed with
  // detail kNeverSent if none was reached; kOutcomeUnknown if the request may have taken effect.
  result<api_reply> Send(const api_request& request, repeat_rule rule) {
    return Send(request, rule, options_.timeout);
  }
  result<api_reply> Send(const api_request& request, repeat_rule rule, duration timeout);

  const client_options& Options() const { return options_; }
  const api_clock& Clock() const { return clock_; }

 private:
  client_options options_;
  api_transport transport_;
  api_clock clock_;
};

// Percent-encodes everything but letters, digits, '-', '.', '_' and '~'.
std::string UrlEncoded(std::string_view text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_CLIENT_H_
