// A caller's HTTP client: one kept connection to each entry host, one call at a time.
#ifndef SYCAMOREHINGE_TESTING_CALLER_CLIENT_H_
#define SYCAMOREHINGE_TESTING_CALLER_CLIENT_H_

#include <curl/curl.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::testing {

struct caller_call {
  std::string method;
  std::string path;
  std::vector<std::string> headers;
  std::string body;
  duration timeout = std::chrono::seconds(30);
};

// How far a call got.
enum class call_end { kAnswered, kRefused, kCut, kTimedOut };

struct caller_reply {
  call_end end = call_end::kCut;
  long status = 0;
  std::string body;
};

// What a caller concludes: an outcome of history.h, and the name of the error.
struct conclusion {
  std::string outcome;
  std::string error;
  duration retry_after{};
};
// `success` is the status that means done or accepted, called `success_outcome` in the history.
conclusion Conclude(const caller_reply& reply, long success, std::string_view success_outcome);

class caller_client {
 public:
  explicit caller_client(std::string token) : token_(std::move(token)) {}

  caller_reply Call(const std::string& entry, const caller_call& call);

 private:
  struct curl_closer {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
  };

  CURL* HandleFor(const std::string& entry);

  std::string token_;
  std::map<std::string, std::unique_ptr<CURL, curl_closer>> handles_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_CALLER_CLIENT_H_
