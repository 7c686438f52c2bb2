// Fault control: POST /control, and GET /control for counters.
#include <nlohmann/json.hpp>

#include "host_json.h"
#include "sycamorehinge/testing/standin_api.h"

namespace sycamorehinge::testing {

using nlohmann::json;

namespace {

duration Milliseconds(const json& value) {
  return std::chrono::milliseconds(value.get<std::int64_t>());
}

void ReadLogChange(const json& change, log_settings& settings) {
  settings.down = change.value("down", settings.down);
  settings.lose_answers = change.value("lose_answers", settings.lose_answers);
  settings.retention = change.value("retention", settings.retention);
  settings.rate = change.value("rate", settings.rate);
  if (change.contains("delay_ms")) settings.delay = Milliseconds(change["delay_ms"]);
  if (change.contains("retention_ms")) {
    settings.retention_age = Milliseconds(change["retention_ms"]);
  }
}

host_fault_change ReadHostChange(const json& change) {
  host_fault_change read;
  if (change.contains("down")) read.down = change["down"].get<bool>();
  if (change.contains("fail")) read.fail = change["fail"].get<bool>();
  if (change.contains("leaving")) read.leaving = change["leaving"].get<bool>();
  if (change.contains("restart")) read.restart = change["restart"].get<bool>();
  if (change.contains("delay_ms")) read.delay = Milliseconds(change["delay_ms"]);
  if (change.contains("lose_answers")) read.lose_answers = change["lose_answers"].get<double>();
  return read;
}

api_reply JsonReply(int status, const json& body) {
  return {status, body.dump(), {{"Content-Type", "application/json"}}, false};
}

}  // namespace

api_reply standin_api::Control(const api_request& request) {
  try {
    const json body = json::parse(request.body);
    if (body.contains("log")) {
      platform_.ChangeLog([&](log_settings& settings) { ReadLogChange(body["log"], settings); });
    }
    if (body.contains("list")) {
      platform_.ChangeList([&](list_settings& settings) {
        settings.frozen = body["list"].value("frozen", settings.frozen);
        if (body["list"].contains("lag_ms")) settings.lag = Milliseconds(body["list"]["lag_ms"]);
      });
    }
    std::size_t hosts = 0;
    if (body.contains("hosts")) {
      for (const auto& [pattern, change] : body["hosts"].items()) {
        hosts += platform_.ChangeHosts(pattern, ReadHostChange(change));
      }
    }
    return JsonReply(200, {{"hosts", hosts}});
  } catch (const json::exception& error) {
    return JsonReply(400, {{"error", "malformed"}, {"detail", error.what()}});
  }
}

api_reply standin_api::ControlState() {
  const platform_totals totals = platform_.Totals();
  const occupancy workers = platform_.WorkerOccupancy();
  return JsonReply(200, {{"appends", totals.appends},
                         {"append_bytes", totals.append_bytes},
                         {"reads", totals.reads},
                         {"read_bytes", totals.read_bytes},
                         {"host_calls", totals.host_calls},
                         {"host_bytes", totals.host_bytes},
                         {"claim_calls", totals.claim_calls},
                         {"claim_bytes", totals.claim_bytes},
                         {"start_calls", totals.start_calls},
                         {"execute_calls", totals.execute_calls},
                         {"void_calls", totals.void_calls},
                         {"stop_calls", totals.stop_calls},
                         {"list_calls", totals.list_calls},
                         {"workers_capacity", SizeToJson(workers.capacity)},
                         {"workers_taken", SizeToJson(workers.taken)}});
}

}  // namespace sycamorehinge::testing
