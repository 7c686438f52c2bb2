#include "sycamorehinge/testing/standin_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <ulfius.h>

#include <string_view>
#include <utility>

namespace sycamorehinge::testing {

namespace {

// Largest body taken; a log batch or a request body is at most 1 MiB, with room for framing.
constexpr std::size_t kMaxBodyBytes = 8U << 20;

// Ends the response early, so that the client sees a broken connection instead of an answer.
ssize_t BreakConnection(void* /*user*/, std::uint64_t /*offset*/, char* /*out*/,
                        std::size_t /*max*/) {
  return U_STREAM_ERROR;
}

std::string FindIn(const struct _u_map* map, const char* key) {
  const char* value = u_map_get_case(map, key);
  return value == nullptr ? std::string() : std::string(value);
}

int HandleCall(const struct _u_request* request, struct _u_response* response, void* user) {
  auto* api = static_cast<standin_api*>(user);
  api_request call;
  call.method = request->http_verb;
  call.path = request->url_path != nullptr ? request->url_path : request->http_url;
  call.body = {static_cast<const char*>(request->binary_body), request->binary_body_length};
  call.header = [request](const char* name) { return FindIn(request->map_header, name); };
  call.query = [request](const char* name) { return FindIn(request->map_url, name); };
  const api_reply reply = api->Handle(call);
  if (reply.cut) {
    ulfius_set_stream_response(response, 500, BreakConnection, nullptr, 1, 1, nullptr);
    return U_CALLBACK_COMPLETE;
  }
  ulfius_set_binary_body_response(response, static_cast<unsigned int>(reply.status),
                                  reply.body.data(), reply.body.size());
  for (const auto& [name, value] : reply.headers) {
    u_map_put(response->map_header, name.c_str(), value.c_str());
  }
  return U_CALLBACK_COMPLETE;
}

}  // namespace

struct standin_server::state {
  struct sockaddr_in address {};
  struct _u_instance instance {};
};

standin_server::standin_server(std::unique_ptr<state> started) : state_(std::move(started)) {}

result<std::unique_ptr<standin_server>> standin_server::Start(const std::string& listen,
                                                              std::uint16_t port,
                                                              standin_api& api) {
  auto started = std::make_unique<state>();
  started->address.sin_family = AF_INET;
  started->address.sin_port = htons(port);
  if (inet_pton(AF_INET, listen.c_str(), &started->address.sin_addr) != 1) {
    return {errc::kMalformed, "not an IPv4 address: " + listen};
  }
  struct _u_instance& instance = started->instance;
  if (ulfius_init_instance(&instance, port, &started->address, nullptr) != U_OK) {
    return {errc::kInternal, "cannot initialise the HTTP server"};
  }
  instance.max_post_body_size = kMaxBodyBytes;
  // Bodies are JSON or raw bytes, whatever their declared type.
  instance.allowed_post_processor = U_POST_PROCESS_NONE;
  instance.check_utf8 = 0;
  // ulfius refuses to start without an endpoint, so a default endpoint alone is not enough.
  ulfius_add_endpoint_by_val(&instance, "*", nullptr, "/*", 0, &HandleCall, &api);
  if (ulfius_start_framework(&instance) != U_OK) {
    ulfius_clean_instance(&instance);
    return {errc::kInternal, "cannot listen on " + listen + ":" + std::to_string(port)};
  }
  return std::unique_ptr<standin_server>(new standin_server(std::move(started)));
}

standin_server::~standin_server() {
  ulfius_stop_framework(&state_->instance);
  ulfius_clean_instance(&state_->instance);
}

}  // namespace sycamorehinge::testing
