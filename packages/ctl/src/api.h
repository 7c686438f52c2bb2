// The port through which the commands talk to entry processes.
#ifndef SYCAMOREHINGE_CTL_API_H_
#define SYCAMOREHINGE_CTL_API_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

using api_header = std::pair<std::string, std::string>;

struct api_request {
  std::string method = "GET";
  // Path and query, already percent-encoded.
  std::string path = {};
  std::vector<api_header> headers = {};
  std::string body = {};
};

struct api_reply {
  int status = 0;
  std::string body;
  // Value of the header Sycamorehinge-Request; empty if absent.
  std::string request_id;
};

// Detail of kConnectionFailed if the request was certainly not sent.
inline constexpr std::string_view kNeverSent = "refused";

// Sends one request to one entry process and returns its complete reply. Errors: kConnectionFailed,
// kTimeout, kTruncated, kTooLarge; whether the request took effect is then unknown, unless the
// detail is kNeverSent.
using api_transport =
    std::function<result<api_reply>(std::string_view entry, const api_request&, duration timeout)>;

// Time as the commands see it; tests replace it.
struct api_clock {
  std::function<time_point()> now;
  std::function<void(duration)> sleep;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_API_H_
