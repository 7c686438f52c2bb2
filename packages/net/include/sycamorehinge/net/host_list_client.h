// Client of the platform's host list; implements the port `list_hosts`.
#ifndef SYCAMOREHINGE_NET_HOST_LIST_CLIENT_H_
#define SYCAMOREHINGE_NET_HOST_LIST_CLIENT_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/node/ports.h"

namespace sycamorehinge {

struct host_list_client_options {
  // Address as "http://127.0.0.1:9200".
  std::string address;
  duration timeout = std::chrono::seconds(5);
  // Called on the client's thread with the number of rows left out as malformed.
  std::function<void(std::size_t)> on_bad_rows;
};

// The readable rows of a list and the number of the others.
struct host_list_page {
  std::vector<listed_host> hosts;
  std::size_t bad_rows = 0;
};

class host_list_client {
 public:
  // `client` must outlive the host list client.
  host_list_client(http_client& client, host_list_client_options options);

  // Errors: those of http_client::Send, kHttpStatus, kInternal if the answer is not a host list.
  // A malformed row does not hide the other hosts; it is left out and counted.
  void List(completion<std::vector<listed_host>> done) const;

 private:
  http_client* client_;
  host_list_client_options options_;
};

// Decoding of the answer, for tests with arbitrary bytes.
result<host_list_page> DecodeHostList(const http_reply& reply);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HOST_LIST_CLIENT_H_
