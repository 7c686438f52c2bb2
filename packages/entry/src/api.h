// The HTTP interface of the entry process: translates between HTTP and the entry node.
#ifndef SYCAMOREHINGE_ENTRY_SRC_API_H_
#define SYCAMOREHINGE_ENTRY_SRC_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "access.h"
#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/node/entry_node.h"

namespace sycamorehinge {

class api {
 public:
  using reply_function = http_server::reply_function;

  // `metrics` renders the text of /v1/metrics; `drain` begins a graceful stop.
  api(entry_node& node, process_id self, access_tokens tokens, std::function<std::string()> metrics,
      std::function<void()> drain);

  void Handle(const http_request& request, reply_function reply);

 private:
  void Caller(const http_request& request, std::string_view rest, reply_function reply);
  void Operator(const http_request& request, std::string_view rest, reply_function reply);
  void Request(const http_request& request, std::string_view service, reply_function reply);
  void Submit(const http_request& request, reply_function reply);
  void Job(const http_request& request, std::string_view rest, reply_function reply);
  void Environment(const http_request& request, std::string_view rest, reply_function reply);
  void Propose(const http_request& request, const config_key& key, reply_function reply);
  http_response Health() const;
  http_response Ready() const;

  entry_node& node_;
  process_id self_;
  access_tokens tokens_;
  std::function<std::string()> metrics_;
  std::function<void()> drain_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_API_H_
