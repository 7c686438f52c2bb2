// A single HTTP request and response on a curl easy handle.
#ifndef SYCAMOREHINGE_NET_SRC_HTTP_TRANSFER_H_
#define SYCAMOREHINGE_NET_SRC_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <cstddef>
#include <memory>
#include <string_view>

#include "sycamorehinge/net/http_client.h"

namespace sycamorehinge {

struct easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

class http_transfer {
 public:
  http_transfer(easy_handle easy, http_client_request call, http_client::handler done,
                std::size_t default_max_bytes);

  CURL* Easy() const { return easy_.get(); }
  // Converts the outcome of the completed transfer into a reply or an error.
  result<http_client_response> Finish(CURLcode code);
  // Resets the options of the easy handle and releases it for reuse.
  easy_handle TakeHandle();
  void Complete(result<http_client_response> outcome) { done_(std::move(outcome)); }

 private:
  void SetOptions();
  void SetBody();
  void SetHeaders();
  // False once the response exceeds the size limit.
  bool AddReceivedBytes(std::size_t bytes);
  void AddHeaderLine(std::string_view line);

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self);
  static int OnBeforeRequest(void* self, char* ip, char* local_ip, int port, int local_port);

  easy_handle easy_;
  http_client_request call_;
  http_client::handler done_;
  std::unique_ptr<curl_slist, slist_deleter> headers_;
  http_client_response reply_;
  std::size_t max_bytes_;
  std::size_t received_bytes_ = 0;
  bool too_large_ = false;
  // Multiply that curl was about to send the request, including retries.
  int send_count_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_HTTP_TRANSFER_H_
