#include "wiring.h"

#include <charconv>

#include "sycamorehinge/settings/environment.h"
#include "sycamorehinge/settings/secret.h"

namespace sycamorehinge {

namespace {

result<environment_document> ParseDocument(std::string_view text) {
  parsed<environment_document> document = ParseEnvironment(text, "document");
  if (document) return std::move(*document);
  return {errc::kMalformed, ToString(document.Mistakes())};
}

result<std::vector<std::string>> ReadAll(const std::vector<std::string>& sources) {
  std::vector<std::string> secrets;
  for (const std::string& text : sources) {
    const auto source = ParseSecretSource(text);
    if (!source) return {errc::kMalformed, "access: " + text};
    result<std::string> secret = ReadSecret(*source);
    if (!secret) return {secret.code(), std::string(secret.detail())};
    secrets.push_back(std::move(*secret));
  }
  return secrets;
}

}  // namespace

node_options NodeOptions(const process_settings& settings, std::uint64_t incarnation) {
  node_options options;
  options.self = settings.process.name;
  options.incarnation = incarnation;
  options.where = {settings.process.region, settings.process.data_centre, {}};
  for (const peer_settings& peer : settings.peers.list) {
    options.peers.push_back({peer.name, peer.region});
  }
  for (const std::string& region : settings.partitions.regions) {
    options.regions.push_back({region});
  }
  options.partitions = settings.partitions.count;
  options.appends_per_second = settings.platform.appends_per_second;
  options.call_timeout = settings.http.request_timeout;
  options.claims.ttl = settings.claims.ttl;
  options.claims.renew = settings.claims.renew;
  options.claims.task_lease = settings.claims.task_lease;
  options.claims.contact_ttl = settings.claims.contact_ttl;
  options.heartbeat = {settings.heartbeat.region, settings.heartbeat.elsewhere};
  options.membership = {settings.heartbeat.suspect, settings.heartbeat.suspect_elsewhere};
  options.partition.key_retention = settings.retention.keys;
  options.partition.job_retention = settings.retention.jobs;
  options.partition.max_keys = settings.retention.max_keys;
  options.partition.contact_ttl = settings.claims.contact_ttl;
  options.partition.task_lease = settings.claims.task_lease;
  options.partition.snapshot_after_records = settings.retention.snapshot_records;
  options.partition.snapshot_after = settings.retention.snapshot;
  options.pool.overflow_after = settings.pool.overflow_after;
  options.pool.preempt_after = settings.pool.preempt_after;
  options.pool.seed = StableHash(settings.process.name.value);
  options.parse_document = ParseDocument;
  return options;
}

http_server_options HttpOptions(const process_settings& settings) {
  http_server_options options;
  options.listen = settings.http.listen;
  options.port = settings.http.port;
  options.max_body_bytes = settings.http.max_body_bytes;
  options.max_header_bytes = settings.http.max_header_bytes;
  options.max_connections = settings.http.max_connections;
  // The node answers first: with "unknown" instead of a bare gateway timeout.
  options.request_timeout = settings.http.request_timeout + std::chrono::seconds(5);
  return options;
}

peer_transport_options PeerOptions(const process_settings& settings, std::uint64_t incarnation,
                                   std::string key) {
  peer_transport_options options;
  options.self = settings.process.name;
  options.region = settings.process.region;
  options.incarnation = incarnation;
  options.key = std::move(key);
  options.listen = settings.peers.listen;
  options.port = settings.peers.port;
  return options;
}

result<std::vector<peer_address>> PeerAddresses(const process_settings& settings) {
  std::vector<peer_address> addresses;
  for (const peer_settings& peer : settings.peers.list) {
    const std::size_t colon = peer.address.rfind(':');
    if (colon == std::string::npos) return {errc::kMalformed, peer.name.value};
    peer_address address{peer.name, peer.region, peer.address.substr(0, colon), 0};
    const std::string_view port = std::string_view(peer.address).substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size()) {
      return {errc::kMalformed, peer.name.value};
    }
    addresses.push_back(std::move(address));
  }
  return addresses;
}

result<access_tokens> ReadTokens(const access_section& access) {
  result<std::vector<std::string>> callers = ReadAll(access.callers);
  if (!callers) return {callers.code(), std::string(callers.detail())};
  result<std::vector<std::string>> operators = ReadAll(access.operators);
  if (!operators) return {operators.code(), std::string(operators.detail())};
  return access_tokens(std::move(*callers), std::move(*operators));
}

}  // namespace sycamorehinge
