// Stand-in for the platform's metadata store: keyed topics, appends and one group, over HTTP on a
// loopback port. It serves one process and checks no epochs.
#ifndef SYCAMOREHINGE_ENTRY_TESTS_STORE_STANDIN_H_
#define SYCAMOREHINGE_ENTRY_TESTS_STORE_STANDIN_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/runtime_clock.h"

namespace sycamorehinge::testing {

class store_standin {
 public:
  store_standin();
  ~store_standin();

  std::string Address() const;
  // Appends a record to a keyed topic.
  void Put(const std::string& topic, std::string_view key, std::string_view value);

 private:
  // Key and value of each record.
  using stream = std::vector<std::pair<std::string, std::string>>;

  void Handle(const http_request& request, const http_server::reply_function& reply);
  http_response Newest(const std::string& topic);
  http_response Append(const std::string& topic, std::string_view body);
  http_response Records(const std::string& topic, std::size_t from);
  bool HasRecord(const std::string& topic, std::size_t from);
  http_response Join(std::string_view body);
  http_response Owners();

  std::mutex mutex_;
  std::map<std::string, stream> streams_;
  std::string member_;
  const runtime_clock clock_ = system_clock();
  timer_queue timers_{clock_};
  http_server server_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_ENTRY_TESTS_STORE_STANDIN_H_
