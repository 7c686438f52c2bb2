#include "sycamorehinge/net/host_list_client.h"

#include <optional>
#include <utility>

#include "sycamorehinge/net/json_fields.h"

namespace sycamorehinge {

namespace {

std::optional<listed_host> DecodeRow(const nlohmann::json& row) {
  json_fields fields(row);
  listed_host host;
  host.host.value = fields.String("host");
  host.environment.value = fields.String("environment");
  host.service.value = fields.StringOr("service", "");
  host.where.region.value = fields.String("region");
  host.where.data_centre.value = fields.StringOr("data_centre", "");
  host.where.rack.value = fields.StringOr("rack", "");
  host.address = fields.String("address");
  const std::string kind = fields.String("kind");
  const std::string state = fields.String("state");
  const bool valid = (kind == "worker" || kind == "target") &&
                     (state == "live" || state == "leaving") && !host.host.empty();
  if (!fields.Ok() || !valid) return std::nullopt;
  host.kind = kind == "worker" ? host_kind::kWorker : host_kind::kTarget;
  host.leaving = state == "leaving";
  return host;
}

}  // namespace

result<host_list_page> DecodeHostList(const http_client_response& reply) {
  if (reply.status != 200) return {errc::kHttpStatus, "status " + std::to_string(reply.status)};
  const nlohmann::json body = ParseJson(reply.body);
  json_fields fields(body);
  host_list_page page;
  for (const nlohmann::json& row : fields.Array("hosts")) {
    auto host = DecodeRow(row);
    if (host) {
      page.hosts.push_back(std::move(*host));
    } else {
      ++page.malformed_rows;
    }
  }
  if (!fields.Ok()) return {errc::kInternal, "malformed host list"};
  return page;
}

host_list_client::host_list_client(http_client& client, host_list_client_options options)
    : client_(&client), options_(std::move(options)) {}

void host_list_client::List(completion<std::vector<listed_host>> done) const {
  http_client_request call;
  call.url = options_.address + "/v1/hosts";
  call.timeout = options_.timeout;
  client_->Send(std::move(call), [done = std::move(done), report = options_.on_malformed_rows](
                                     const result<http_client_response>& outcome) {
    if (!outcome) return done({outcome.code(), std::string(outcome.detail())});
    result<host_list_page> page = DecodeHostList(*outcome);
    if (!page) return done({page.code(), std::string(page.detail())});
    if (page->malformed_rows > 0 && report) report(page->malformed_rows);
    done(std::move(page->hosts));
  });
}

}  // namespace sycamorehinge
