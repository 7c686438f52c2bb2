// HTTP server of the stand-ins.
#ifndef SYCAMOREHINGE_TESTING_STANDIN_SERVER_H_
#define SYCAMOREHINGE_TESTING_STANDIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/testing/standin_api.h"

namespace sycamorehinge::testing {

class standin_server {
 public:
  // Serves `api`, which must outlive the server, on an IPv4 address.
  static result<std::unique_ptr<standin_server>> Start(const std::string& listen,
                                                       std::uint16_t port, standin_api& api);
  ~standin_server();
  standin_server(const standin_server&) = delete;
  standin_server& operator=(const standin_server&) = delete;

 private:
  struct state;
  explicit standin_server(std::unique_ptr<state> started);

  std::unique_ptr<state> state_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_STANDIN_SERVER_H_
