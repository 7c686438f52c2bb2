#include "http_transfer.h"

#include <algorithm>
#include <cerrno>
#include <string>
#include <utility>

namespace sycamorehinge {

namespace {

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::string_view FailureDetail(CURLcode code) {
  switch (code) {
    case CURLE_PARTIAL_FILE:
      return "truncated response";
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return "connection reset";
    case CURLE_ABORTED_BY_CALLBACK:
      return "reused connection was closed by the server";
    default:
      return curl_easy_strerror(code);
  }
}

}  // namespace

http_transfer::http_transfer(easy_handle easy, http_client_request call, http_client::handler done,
                             std::size_t default_max_bytes)
    : easy_(std::move(easy)),
      call_(std::move(call)),
      done_(std::move(done)),
      max_bytes_(call_.max_response_bytes == 0 ? default_max_bytes : call_.max_response_bytes) {
  SetOptions();
  SetBody();
  SetHeaders();
}

void http_transfer::SetOptions() {
  CURL* easy = easy_.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_URL, call_.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  // Callers percent-encode names in paths. curl must not resolve dot segments such as "..".
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  // Addresses are numeric. With a finite timeout, curl examines all of them when a transfer ends.
  curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  if (call_.connect_only) {
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &http_transfer::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &http_transfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &http_transfer::OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
}

void http_transfer::SetBody() {
  CURL* easy = easy_.get();
  if (call_.method == "GET") {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    return;
  }
  if (call_.method == "POST" || !call_.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call_.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call_.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
}

void http_transfer::SetHeaders() {
  curl_slist* list = nullptr;
  for (const http_header& header : call_.headers) {
    // curl sends a header without a value only if it is given as "Name;".
    const std::string line =
        header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  if (!FindHeader(call_.headers, "Content-Type")) {
    list = curl_slist_append(
        list, call_.method == "GET" ? "Content-Type:" : "Content-Type: application/octet-stream");
  }
  // Without this, curl waits for "100 Continue" before it sends a large body.
  list = curl_slist_append(list, "Expect:");
  headers_.reset(list);
  curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, list);
}

bool http_transfer::AddReceivedBytes(std::size_t bytes) {
  received_bytes_ += bytes;
  if (received_bytes_ > max_bytes_) too_large_ = true;
  return !too_large_;
}

std::size_t http_transfer::OnBody(char* data, std::size_t size, std::size_t count, void* self) {
  auto* transfer = static_cast<http_transfer*>(self);
  if (!transfer->AddReceivedBytes(size * count)) return 0;
  transfer->reply_.body.append(data, size * count);
  return size * count;
}

std::size_t http_transfer::OnHeader(char* data, std::size_t size, std::size_t count, void* self) {
  auto* transfer = static_cast<http_transfer*>(self);
  if (!transfer->AddReceivedBytes(size * count)) return 0;
  transfer->AddHeaderLine({data, size * count});
  return size * count;
}

void http_transfer::AddHeaderLine(std::string_view line) {
  if (line.starts_with("HTTP/")) {
    // Drops the headers of an interim (1xx) response.
    reply_.headers.clear();
    return;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return;
  reply_.headers.push_back(
      {std::string(Trim(line.substr(0, colon))), std::string(Trim(line.substr(colon + 1)))});
}

// curl resends a request if a reused connection closes before the first byte of the response. The
// first attempt may have taken effect, so only GET may be resent.
int http_transfer::OnBeforeRequest(void* self, char* /*ip*/, char* /*local_ip*/, int /*port*/,
                                   int /*local_port*/) {
  auto* transfer = static_cast<http_transfer*>(self);
  ++transfer->send_count_;
  const bool is_unsafe_resend = transfer->send_count_ > 1 && transfer->call_.method != "GET";
  return is_unsafe_resend ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

result<http_client_response> http_transfer::Finish(CURLcode code) {
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    reply_.status = static_cast<int>(status);
    curl_off_t connect = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_CONNECT_TIME_T, &connect);
    reply_.connect_time = std::chrono::microseconds(connect);
    return std::move(reply_);
  }
  const bool sent = send_count_ > 0;
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return {errc::kTimeout, std::string(sent ? std::string_view("no response") : kNotSentDetail)};
  }
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
    return {errc::kMalformed, "invalid URL: " + call_.url};
  }
  if (too_large_) return {errc::kConnectionFailed, "response too large"};
  if (!sent) {
    long os_error = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_OS_ERRNO, &os_error);
    const bool refused = code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
    return {errc::kConnectionFailed, std::string(refused ? kRefusedDetail : kNotSentDetail)};
  }
  return {errc::kConnectionFailed, std::string(FailureDetail(code))};
}

easy_handle http_transfer::TakeHandle() {
  curl_easy_reset(easy_.get());
  return std::move(easy_);
}

}  // namespace sycamorehinge
