#include "host_json.h"

#include <string>

namespace sycamorehinge::testing {

using nlohmann::json;

namespace {

duration Milliseconds(const json& object, const char* key) {
  return std::chrono::milliseconds(object.at(key).get<std::int64_t>());
}

resources ReadSize(const json& object) {
  return {object.value("cores_milli", std::int64_t{0}), object.value("memory_mb", std::int64_t{0}),
          object.value("accelerators", std::int64_t{0}), object.value("slots", std::int64_t{0})};
}

std::vector<attempt_id> ReadAttempts(const json& object, const char* key) {
  std::vector<attempt_id> attempts;
  const auto found = object.find(key);
  if (found == object.end()) return attempts;
  for (const json& text : *found) attempts.push_back(ReadAttempt(text));
  return attempts;
}

}  // namespace

json SizeToJson(const resources& size) {
  return {{"cores_milli", size.cores_milli},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators},
          {"slots", size.slots}};
}

attempt_id ReadAttempt(const json& text) {
  attempt_id id;
  if (!ParseAttemptId(text.get<std::string>(), id)) throw malformed_id();
  return id;
}

claim_order ReadClaim(const json& body) {
  claim_order order;
  order.holder.value = body.at("holder").get<std::string>();
  order.term = body.at("term").get<std::uint64_t>();
  order.ttl = Milliseconds(body, "ttl_ms");
  order.keep = ReadAttempts(body, "keep");
  order.ack = ReadAttempts(body, "ack");
  return order;
}

start_order ReadStart(const json& body) {
  start_order order;
  order.holder.value = body.at("holder").get<std::string>();
  order.term = body.at("term").get<std::uint64_t>();
  order.id = ReadAttempt(body.at("attempt"));
  order.tenant.value = body.at("tenant").get<std::string>();
  order.work_class.value = body.at("class").get<std::string>();
  order.preemptible = body.value("preemptible", false);
  order.size = ReadSize(body.at("size"));
  order.lease = Milliseconds(body, "lease_ms");
  order.run_time = Milliseconds(body, "run_ms");
  order.payload = body.value("payload", std::string());
  return order;
}

json GrantToJson(const claim_grant& grant) {
  json tasks = json::array();
  for (const reported_task& task : grant.tasks) {
    tasks.push_back({{"attempt", ToString(task.id)},
                     {"tenant", task.tenant.value},
                     {"class", task.work_class.value},
                     {"preemptible", task.preemptible},
                     {"size", SizeToJson(task.size)},
                     {"state", ToString(task.state)},
                     {"used", SizeToJson(task.used)}});
  }
  return {{"term", grant.term},
          {"capacity", SizeToJson(grant.capacity)},
          {"leaving", grant.leaving},
          {"tasks", std::move(tasks)}};
}

json RefusalToJson(const claim_refusal& refusal) {
  return {{"error", "claim_held"},
          {"holder", refusal.holder.value},
          {"term", refusal.term},
          {"remaining_ms", refusal.remaining / std::chrono::milliseconds(1)}};
}

}  // namespace sycamorehinge::testing
