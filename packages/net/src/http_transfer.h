// One HTTP exchange on a curl easy handle.
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
  http_transfer(easy_handle easy, http_call call, http_client::handler done,
                std::size_t default_limit);

  CURL* Easy() const { return easy_.get(); }
  // Result of the finished transfer.
  result<http_reply> Finish(CURLcode code);
  // Hands back the easy handle, which keeps no options, for the next transfer.
  easy_handle TakeHandle();
  void Complete(result<http_reply> outcome) { done_(std::move(outcome)); }

 private:
  void SetOptions();
  void SetBody();
  void SetHeaders();
  bool CountBytes(std::size_t bytes);
  void AddHeaderLine(std::string_view line);

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self);
  static int OnRequest(void* self, char* ip, char* local_ip, int port, int local_port);

  easy_handle easy_;
  http_call call_;
  http_client::handler done_;
  std::unique_ptr<curl_slist, slist_deleter> headers_;
  http_reply reply_;
  std::size_t limit_;
  std::size_t received_ = 0;
  bool too_large_ = false;
  int requests_started_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_HTTP_TRANSFER_H_
