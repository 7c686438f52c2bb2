// The platform's HTTP interface without a socket: requests in, replies out.
#ifndef SYCAMOREHINGE_TESTING_STANDIN_API_H_
#define SYCAMOREHINGE_TESTING_STANDIN_API_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/testing/platform.h"

namespace sycamorehinge::testing {

struct api_request {
  std::string_view method;
  std::string_view path;
  std::string_view body;
  // Empty for a header or query parameter that is not there.
  std::function<std::string(const char*)> header;
  std::function<std::string(const char*)> query;
};

struct api_reply {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // The connection breaks before the answer.
  bool cut = false;
};

class standin_api {
 public:
  // `address` is what the host list gives as the address of all hosts.
  standin_api(platform& stand_in, std::string address)
      : platform_(stand_in), address_(std::move(address)) {}

  // Blocks while a delay or a target's service time passes.
  api_reply Handle(const api_request& request);

 private:
  api_reply HandleStream(std::string_view stream, const api_request& request);
  api_reply Append(std::string_view stream, const api_request& request);
  api_reply Read(std::string_view stream, const api_request& request);
  api_reply ListHosts();
  api_reply HandleHost(std::string_view host, std::string_view call, const api_request& request);
  api_reply CallHost(std::string_view host, std::string_view call, const api_request& request);
  api_reply Execute(std::string_view host, const api_request& request);
  api_reply Control(const api_request& request);
  api_reply ControlState();

  platform& platform_;
  std::string address_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_STANDIN_API_H_
