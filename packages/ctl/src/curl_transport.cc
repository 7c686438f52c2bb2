#include "curl_transport.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace sycamorehinge {

namespace {

// The largest answer is the text of all metrics, far below this.
constexpr std::size_t kMaxReplyBytes = 64U << 20;
constexpr std::string_view kRequestIdHeader = "sycamorehinge-request:";

struct reply_buffer {
  api_reply reply;
  bool framed = false;
  bool too_large = false;
};

std::size_t TakeBody(const char* data, std::size_t size, std::size_t count, void* target) {
  auto& buffer = *static_cast<reply_buffer*>(target);
  const std::size_t bytes = size * count;
  if (buffer.reply.body.size() + bytes > kMaxReplyBytes) {
    buffer.too_large = true;
    return 0;
  }
  buffer.reply.body.append(data, bytes);
  return bytes;
}

std::size_t TakeHeader(const char* data, std::size_t size, std::size_t count, void* target) {
  auto& buffer = *static_cast<reply_buffer*>(target);
  const std::string_view line(data, size * count);
  std::string lower(line);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  buffer.framed |= lower.starts_with("content-length:") || lower.starts_with("transfer-encoding:");
  if (lower.starts_with(kRequestIdHeader)) {
    const std::string_view value = line.substr(kRequestIdHeader.size());
    const std::size_t first = std::min(value.find_first_not_of(" \t"), value.size());
    const std::size_t end = std::min(value.find_last_not_of(" \t\r\n") + 1, value.size());
    buffer.reply.request_id = std::string(value.substr(first, end > first ? end - first : 0));
  }
  return line.size();
}

struct curl_closer {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_handle = std::unique_ptr<CURL, curl_closer>;
using header_list = std::unique_ptr<curl_slist, curl_closer>;

header_list MakeHeaders(const api_request& request) {
  header_list headers;
  const auto add = [&headers](const std::string& line) {
    curl_slist* list = curl_slist_append(headers.get(), line.c_str());
    if (list == nullptr) return;
    // The list pointer may change, but the old list is part of the new one.
    static_cast<void>(headers.release());
    headers.reset(list);
  };
  // Waiting for "100 Continue" would delay every body above 1 MiB by a second.
  add("Expect:");
  for (const auto& [name, value] : request.headers) {
    // curl sends a header without a value only in this form.
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    line += value;
    add(line);
  }
  return headers;
}

void Configure(CURL* curl, const std::string& url, const api_request& request, duration timeout,
               curl_slist* headers, reply_buffer& buffer) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
  // A proxy from the environment would see the operator's token.
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(ms, 1)));
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  if (request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, TakeBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &buffer);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, TakeHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &buffer);
}

// The connect time stays 0 until the TCP connection is up; nothing was sent before.
bool WasConnected(CURL* curl) {
  curl_off_t connected = 0;
  curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected);
  return connected > 0;
}

result<api_reply> FailureOf(CURL* curl, CURLcode code, const reply_buffer& buffer) {
  if (buffer.too_large) return {errc::kTooLarge, "the reply is too large"};
  if (code == CURLE_PARTIAL_FILE) return {errc::kTruncated, "the reply ended early"};
  if (!WasConnected(curl)) return {errc::kConnectionFailed, std::string(kNeverSent)};
  if (code == CURLE_OPERATION_TIMEDOUT) return {errc::kTimeout, "no reply in time"};
  return {errc::kConnectionFailed, curl_easy_strerror(code)};
}

result<api_reply> Perform(std::string_view entry, const api_request& request, duration timeout) {
  const curl_handle curl(curl_easy_init());
  if (!curl) return {errc::kConnectionFailed, std::string(kNeverSent)};
  const header_list headers = MakeHeaders(request);
  const std::string url = std::string(entry) + request.path;
  reply_buffer buffer;
  Configure(curl.get(), url, request, timeout, headers.get(), buffer);
  const CURLcode code = curl_easy_perform(curl.get());
  if (code != CURLE_OK) return FailureOf(curl.get(), code, buffer);
  // Without a length, a broken connection looks like the end of the body.
  if (!buffer.framed) return {errc::kTruncated, "the reply has no length"};
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  buffer.reply.status = static_cast<int>(status);
  return std::move(buffer.reply);
}

}  // namespace

api_transport CurlTransport() {
  // Not thread-safe, so it runs once, before the first call.
  static const CURLcode started = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (started != CURLE_OK) {
    return [](std::string_view, const api_request&, duration) {
      return result<api_reply>(errc::kConnectionFailed, std::string(kNeverSent));
    };
  }
  return Perform;
}

}  // namespace sycamorehinge
