// Client for the platform's host list; implements the port `list_hosts`.
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
  // Base URL, for example "http://127.0.0.1:9200".
  std::string address;
  duration timeout = std::chrono::seconds(5);
  // Called on the client thread with the number of malformed rows, if there are any.
  std::function<void(std::size_t)> on_malformed_rows;
};

// Decoded hosts, and the number of malformed rows that were skipped.
struct host_list_page {
  std::vector<listed_host> hosts;
  std::size_t malformed_rows = 0;
};

class host_list_client {
 public:
  // `client` must outlive the host list client.
  host_list_client(http_client& client, host_list_client_options options);

  // Errors: those of http_client::Send, kHttpStatus, kInternal if the response is not a host list.
  // Malformed rows are skipped and counted, so that they do not hide the other hosts.
  void List(completion<std::vector<listed_host>> done) const;

 private:
  http_client* client_;
  host_list_client_options options_;
};

// Decoder of the response, declared here for tests with arbitrary bytes.
result<host_list_page> DecodeHostList(const http_client_response& reply);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_HOST_LIST_CLIENT_H_
