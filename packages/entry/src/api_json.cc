#include "api_json.h"

#include <array>

#include "sycamorehinge/net/json_fields.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

constexpr std::uint32_t kMostTasks = 10'000;

std::int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json ResourcesJson(const resources& r) {
  return {{"cores_milli", r.cores_milli},
          {"memory_mb", r.memory_mb},
          {"accelerators", r.accelerators},
          {"slots", r.slots}};
}

std::string_view StateName(job_state state) {
  switch (state) {
    case job_state::kQueued:
      return "queued";
    case job_state::kRunning:
      return "running";
    case job_state::kSucceeded:
      return "succeeded";
    case job_state::kFailed:
      return "failed";
    case job_state::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view FinishName(finish_kind kind) {
  constexpr std::array<std::string_view, 6> kNames = {"succeeded", "failed",    "lost",
                                                      "never_ran", "preempted", "cancelled"};
  return kNames.at(static_cast<std::size_t>(kind));
}

bool KindByName(std::string_view name, work_kind& kind) {
  for (const work_kind each : {work_kind::kBatch, work_kind::kService, work_kind::kGang}) {
    if (ToString(each) != name) continue;
    kind = each;
    return true;
  }
  return false;
}

// Reads fields of a JSON object; remembers the first one that is missing or of the wrong type.
class field_reader {
 public:
  explicit field_reader(const json& object) : object_(object) {}

  void Text(const char* name, std::string& out, bool required) {
    const auto found = object_.find(name);
    if (found == object_.end()) return Require(name, required);
    if (!found->is_string()) return Fail(name);
    out = found->get<std::string>();
    if (required && out.empty()) Fail(name);
  }
  void Number(const char* name, std::int64_t& out, std::int64_t low, std::int64_t high) {
    const auto found = object_.find(name);
    if (found == object_.end()) return;
    if (!found->is_number_integer()) return Fail(name);
    const auto value = found->get<std::int64_t>();
    if (value < low || value > high) return Fail(name);
    out = value;
  }
  void Flag(const char* name, bool& out) {
    const auto found = object_.find(name);
    if (found == object_.end()) return;
    if (!found->is_boolean()) return Fail(name);
    out = found->get<bool>();
  }
  void Fail(const char* name) {
    if (wrong_.empty()) wrong_ = name;
  }
  const std::string& Wrong() const { return wrong_; }

 private:
  void Require(const char* name, bool required) {
    if (required) Fail(name);
  }
  const json& object_;
  std::string wrong_;
};

void ReadSize(const json& object, field_reader& fields, resources& size) {
  const auto found = object.find("size");
  if (found == object.end()) return fields.Fail("size");
  if (!found->is_object()) return fields.Fail("size");
  constexpr std::int64_t kLargest = std::int64_t{1} << 40;
  field_reader inner(*found);
  inner.Number("cores_milli", size.cores_milli, 0, kLargest);
  inner.Number("memory_mb", size.memory_mb, 0, kLargest);
  inner.Number("accelerators", size.accelerators, 0, kLargest);
  if (!inner.Wrong().empty() || size == resources{}) fields.Fail("size");
}

}  // namespace

result<job_spec> ParseJob(std::string_view text) {
  const json object = ParseCallerJson(text);
  if (!object.is_object()) return {errc::kMalformed, "the body is not a JSON object"};
  constexpr std::int64_t kLongestMs = std::int64_t{365} * 24 * 3600 * 1000;
  job_spec spec;
  std::string kind = "batch";
  std::int64_t tasks = 1;
  std::int64_t run_ms = 0;
  std::int64_t deadline_ms = 0;
  field_reader fields(object);
  fields.Text("environment", spec.environment.value, true);
  fields.Text("tenant", spec.tenant.value, true);
  fields.Text("class", spec.work_class.value, true);
  fields.Text("key", spec.key, true);
  fields.Text("kind", kind, false);
  fields.Text("payload", spec.payload, false);
  fields.Number("tasks", tasks, 1, kMostTasks);
  fields.Number("run_ms", run_ms, 0, kLongestMs);
  fields.Number("deadline_ms", deadline_ms, 0, kLongestMs);
  fields.Flag("idempotent", spec.idempotent);
  fields.Flag("preemptible", spec.preemptible);
  ReadSize(object, fields, spec.size);
  if (!KindByName(kind, spec.kind)) fields.Fail("kind");
  if (!fields.Wrong().empty()) {
    return {errc::kMalformed, "field " + fields.Wrong() + " is missing or out of range"};
  }
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.run_time = std::chrono::milliseconds(run_ms);
  spec.deadline = std::chrono::milliseconds(deadline_ms);
  return spec;
}

result<config_record> ParseProposal(std::string_view text) {
  const json object = ParseCallerJson(text);
  if (!object.is_object()) return {errc::kMalformed, "the body is not a JSON object"};
  config_record record;
  std::int64_t base = 0;
  field_reader fields(object);
  fields.Text("author", record.author, true);
  fields.Text("text", record.text, true);
  fields.Number("base", base, 0, INT64_MAX);
  if (!fields.Wrong().empty()) {
    return {errc::kMalformed, "field " + fields.Wrong() + " is missing or out of range"};
  }
  record.base = static_cast<std::uint64_t>(base);
  return record;
}

json JobJson(const job_status& status) {
  json attempts = json::array();
  for (const task_status& task : status.tasks) {
    attempts.push_back({{"task", ToString(task.task)},
                        {"attempts", task.attempts},
                        {"open", task.open},
                        {"host", task.host.value},
                        {"last", FinishName(task.last)}});
  }
  return {{"job", ToString(status.job)},
          {"state", StateName(status.state)},
          {"outcome", ErrorName(status.outcome)},
          {"tasks", status.spec.tasks},
          {"done", status.done},
          {"attempts", std::move(attempts)}};
}

json VersionJson(const config_version& version) {
  return {{"version", version.version},
          {"base", version.base},
          {"author", version.author},
          {"text", version.text},
          {"wall_ms", version.wall_ms}};
}

json HostsJson(std::span<const host_summary> hosts, const process_id& holder) {
  json rows = json::array();
  for (const host_summary& host : hosts) {
    rows.push_back({{"host", host.host.value},
                    {"kind", host.capacity.slots > 0 ? "target" : "worker"},
                    {"region", host.where.region.value},
                    {"data_centre", host.where.data_centre.value},
                    {"rack", host.where.rack.value},
                    {"holder", holder.value},
                    {"term", host.term},
                    {"capacity", ResourcesJson(host.capacity)},
                    {"taken", ResourcesJson(host.taken)},
                    {"leaving", host.leaving},
                    {"ejected", host.ejected},
                    {"running", host.running}});
  }
  return {{"hosts", std::move(rows)}};
}

json QueuesJson(const node_summary& summary) {
  json rows = json::array();
  for (const auto& [load, pool] : summary.pools) {
    for (const class_summary& each : pool.classes) {
      rows.push_back({{"environment", load.environment.value},
                      {"service", load.service.value},
                      {"class", each.work_class.value},
                      {"waiting", each.waiting},
                      {"running", each.running},
                      {"expected_wait_ms", Milliseconds(each.expected_wait)}});
    }
  }
  return {{"queues", std::move(rows)}};
}

json StateJson(const node_summary& summary) {
  json alive = json::array();
  for (const process_status& status : summary.alive) {
    json partitions = json::array();
    for (const owned_partition& owned : status.partitions) {
      partitions.push_back({{"number", owned.number}, {"epoch", owned.epoch}});
    }
    alive.push_back({{"process", status.process.value},
                     {"region", status.where.region.value},
                     {"data_centre", status.where.data_centre.value},
                     {"incarnation", status.incarnation},
                     {"config_version", status.config_version},
                     {"ready", status.ready},
                     {"draining", status.draining},
                     {"partitions", std::move(partitions)}});
  }
  json pools = json::array();
  for (const auto& [load, pool] : summary.pools) {
    pools.push_back({{"environment", load.environment.value},
                     {"service", load.service.value},
                     {"capacity", ResourcesJson(pool.capacity)},
                     {"taken", ResourcesJson(pool.taken)}});
  }
  return {{"process", summary.self.process.value},
          {"alive", std::move(alive)},
          {"pools", std::move(pools)},
          {"jobs", summary.jobs},
          {"calls_waiting", summary.calls_waiting}};
}

}  // namespace sycamorehinge
