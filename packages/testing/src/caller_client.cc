#include "sycamorehinge/testing/caller_client.h"

#include <nlohmann/json.hpp>

namespace sycamorehinge::testing {

namespace {

struct transfer {
  std::string body;
  int requests_started = 0;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* user) {
  static_cast<transfer*>(user)->body.append(data, size * count);
  return size * count;
}

// curl silently sends a request again if a kept connection breaks before the answer; the history
// must show both sendings, so the second one is refused here.
int OnRequest(void* user, char* /*ip*/, char* /*local_ip*/, int /*port*/, int /*local_port*/) {
  return ++static_cast<transfer*>(user)->requests_started > 1 ? CURL_PREREQFUNC_ABORT
                                                              : CURL_PREREQFUNC_OK;
}

struct list_closer {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using header_list = std::unique_ptr<curl_slist, list_closer>;

void Append(header_list& list, const std::string& line) {
  list.reset(curl_slist_append(list.release(), line.c_str()));
}

header_list MakeHeaders(const caller_call& call, const std::string& token) {
  header_list list;
  for (const std::string& line : call.headers) Append(list, line);
  if (!token.empty()) Append(list, "Authorization: Bearer " + token);
  Append(list, "Content-Type: application/octet-stream");
  // Keeps curl from waiting for "100 Continue" before large bodies.
  Append(list, "Expect:");
  return list;
}

void SetOptions(CURL* easy, const std::string& url, const caller_call& call, transfer& state) {
  curl_easy_reset(easy);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout / std::chrono::milliseconds(1)));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &state);
  if (call.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  } else if (call.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
}

call_end EndOf(CURLcode code, const transfer& state) {
  if (code == CURLE_OK) return call_end::kAnswered;
  if (state.requests_started == 0) return call_end::kRefused;
  return code == CURLE_OPERATION_TIMEDOUT ? call_end::kTimedOut : call_end::kCut;
}

conclusion ConcludeError(const caller_reply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  const std::string fallback = "status_" + std::to_string(reply.status);
  if (!body.is_object()) return {"unknown", fallback, {}};
  conclusion concluded;
  concluded.error = body.contains("error") && body["error"].is_string()
                        ? body["error"].get<std::string>()
                        : fallback;
  concluded.outcome = body.contains("outcome") && body["outcome"].is_string()
                          ? body["outcome"].get<std::string>()
                          : "unknown";
  if (body.contains("retry_after_ms") && body["retry_after_ms"].is_number()) {
    concluded.retry_after = std::chrono::milliseconds(body["retry_after_ms"].get<std::int64_t>());
  }
  return concluded;
}

}  // namespace

conclusion Conclude(const caller_reply& reply, long success, std::string_view success_outcome) {
  switch (reply.end) {
    case call_end::kRefused:
      return {"refused", "no_connection", {}};
    case call_end::kCut:
      return {"cut", "connection_broken", {}};
    case call_end::kTimedOut:
      return {"unknown", "no_answer", {}};
    case call_end::kAnswered:
      break;
  }
  if (reply.status == success) return {std::string(success_outcome), "", {}};
  return ConcludeError(reply);
}

CURL* caller_client::HandleFor(const std::string& entry) {
  auto& handle = handles_[entry];
  if (!handle) handle.reset(curl_easy_init());
  return handle.get();
}

caller_reply caller_client::Call(const std::string& entry, const caller_call& call) {
  CURL* easy = HandleFor(entry);
  transfer state;
  const std::string url = entry + call.path;
  SetOptions(easy, url, call, state);
  const header_list headers = MakeHeaders(call, token_);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
  const CURLcode code = curl_easy_perform(easy);
  caller_reply reply;
  reply.end = EndOf(code, state);
  if (reply.end == call_end::kAnswered) {
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
    reply.body = std::move(state.body);
  }
  return reply;
}

}  // namespace sycamorehinge::testing
