#include <algorithm>
#include <chrono>
#include <map>
#include <span>
#include <sstream>
#include <utility>

#include "sycamorehinge/cell/config_check.h"

namespace sycamorehinge::cell {

namespace {

using findings = std::vector<config_finding>;

std::string_view NameOf(const queue_settings& queue) { return queue.name; }
std::string_view NameOf(const service_settings& service) { return service.name; }
std::string_view NameOf(const tenant_settings& tenant) { return tenant.name.value; }
config_subject SubjectOf(const queue_settings& queue) { return queue_subject{queue.name}; }
config_subject SubjectOf(const service_settings& service) { return service_subject{service.name}; }
config_subject SubjectOf(const tenant_settings& tenant) {
  return tenant_subject{tenant.name.value};
}

// Collects "field before -> after" of the fields that differ.
class field_changes {
 public:
  template <class T>
  void Add(std::string_view field, const T& before, const T& after) {
    if (before == after) return;
    std::ostringstream text;
    text << field << " " << Printed(before) << " -> " << Printed(after);
    Add(text.str());
  }
  void Add(std::string_view text) {
    if (!text_.empty()) text_ += ", ";
    text_ += text;
  }
  const std::string& Text() const { return text_; }

 private:
  static std::string Printed(duration time) {
    return std::to_string(std::chrono::floor<std::chrono::milliseconds>(time).count()) + " ms";
  }
  static std::string Printed(bool value) { return value ? "yes" : "no"; }
  static std::string Printed(const std::string& value) {
    std::string quoted = "'" + value + "'";
    std::replace_if(
        quoted.begin(), quoted.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    return quoted;
  }
  template <class T>
  static T Printed(T value) {
    return value;
  }

  std::string text_;
};

void AddChanges(const queue_settings& before, const queue_settings& after, field_changes& out) {
  out.Add("host", before.host, after.host);
  out.Add("prefix", before.prefix, after.prefix);
  out.Add("service", before.service, after.service);
  out.Add("priority", before.priority, after.priority);
  out.Add("attempts", before.max_attempts, after.max_attempts);
  out.Add("stretch", before.stretch, after.stretch);
  out.Add("latency target", before.latency_target, after.latency_target);
  out.Add("timeout", before.timeout, after.timeout);
  out.Add("public", before.is_public, after.is_public);
  out.Add("advice", before.advice.has_value(), after.advice.has_value());
  if (!before.advice || !after.advice) return;
  out.Add("decision time", before.advice->decision_time, after.advice->decision_time);
  out.Add("time per host", before.advice->time_per_host, after.advice->time_per_host);
  out.Add("ticket validity", before.advice->ticket_validity, after.advice->ticket_validity);
}

void AddChanges(const service_settings& before, const service_settings& after, field_changes& out) {
  out.Add("enforces capacity", before.enforces_capacity, after.enforces_capacity);
  out.Add("standby", before.standby, after.standby);
}

std::ptrdiff_t CountMissing(std::span<const std::string> keys, std::span<const std::string> from) {
  return std::count_if(keys.begin(), keys.end(), [&](const std::string& key) {
    return std::find(from.begin(), from.end(), key) == from.end();
  });
}

void AddChanges(const tenant_settings& before, const tenant_settings& after, field_changes& out) {
  out.Add("weight", before.weight, after.weight);
  out.Add("quota of cores (thousandths)", before.quota.cores_milli, after.quota.cores_milli);
  out.Add("quota of memory (MB)", before.quota.memory_mb, after.quota.memory_mb);
  out.Add("quota of accelerators", before.quota.accelerators, after.quota.accelerators);
  const std::ptrdiff_t added = CountMissing(after.keys, before.keys);
  const std::ptrdiff_t removed = CountMissing(before.keys, after.keys);
  if (added > 0) out.Add("keys added: " + std::to_string(added));
  if (removed > 0) out.Add("keys removed: " + std::to_string(removed));
}

// Rows are matched by name. Of several rows with one name, the first counts.
template <class Row>
void CompareRows(std::span<const Row> before, std::span<const Row> after, findings& out) {
  std::map<std::string_view, const Row*> old_rows;
  for (const Row& row : before) old_rows.try_emplace(NameOf(row), &row);
  std::map<std::string_view, const Row*> new_rows;
  for (const Row& row : after) new_rows.try_emplace(NameOf(row), &row);
  for (const auto& [name, row] : new_rows) {
    const auto old_row = old_rows.find(name);
    if (old_row == old_rows.end()) {
      out.push_back({finding_severity::kChange, SubjectOf(*row), "added"});
      continue;
    }
    field_changes changes;
    AddChanges(*old_row->second, *row, changes);
    if (!changes.Text().empty()) {
      out.push_back({finding_severity::kChange, SubjectOf(*row), changes.Text()});
    }
  }
  for (const auto& [name, row] : old_rows) {
    if (new_rows.contains(name)) continue;
    out.push_back({finding_severity::kChange, SubjectOf(*row), "removed"});
  }
}

void CompareLimits(const request_limits& before, const request_limits& after, findings& out) {
  field_changes changes;
  changes.Add("body bytes", before.max_body_bytes, after.max_body_bytes);
  changes.Add("header bytes", before.max_header_bytes, after.max_header_bytes);
  changes.Add("header timeout", before.header_timeout, after.header_timeout);
  changes.Add("idle timeout", before.idle_timeout, after.idle_timeout);
  if (changes.Text().empty()) return;
  out.push_back({finding_severity::kChange, limits_subject{}, changes.Text()});
}

}  // namespace

std::vector<config_finding> CompareConfigs(const fleet_config& in_force, const fleet_config& next) {
  findings out;
  // A process never goes back to an older version, and ignores another text of the same one.
  if (next.version <= in_force.version) {
    out.push_back({finding_severity::kError, whole_config{},
                   "version " + std::to_string(next.version) + " is not higher than version " +
                       std::to_string(in_force.version) + " in force"});
  }
  CompareRows<queue_settings>(in_force.queues, next.queues, out);
  CompareRows<service_settings>(in_force.services, next.services, out);
  CompareRows<tenant_settings>(in_force.tenants, next.tenants, out);
  CompareLimits(in_force.limits, next.limits, out);
  return out;
}

}  // namespace sycamorehinge::cell
