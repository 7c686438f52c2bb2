#include "sycamorehinge/cell/config_check.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace sycamorehinge::cell {

namespace {

using findings = std::vector<config_finding>;

void Report(findings& out, finding_severity severity, config_subject subject, std::string text) {
  out.push_back({severity, std::move(subject), std::move(text)});
}

std::string Quoted(std::string_view name) {
  std::string quoted = "'";
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    quoted += byte < 0x20 || byte == 0x7f ? '?' : c;
  }
  return quoted + "'";
}

std::string Milliseconds(duration time) {
  return std::to_string(std::chrono::floor<std::chrono::milliseconds>(time).count()) + " ms";
}

void CheckQueueNames(const fleet_config& config, findings& out) {
  std::set<std::string_view> names;
  for (const queue_settings& queue : config.queues) {
    const queue_subject subject{queue.name};
    if (queue.name.empty()) Report(out, finding_severity::kError, subject, "has no name");
    if (!names.insert(queue.name).second) {
      Report(out, finding_severity::kError, subject, "is defined more than once");
    }
  }
}

// The first of several queues with the same host and prefix serves all of their requests.
void CheckRoutes(const fleet_config& config, findings& out) {
  std::map<std::pair<std::string_view, std::string_view>, std::string_view> first;
  for (const queue_settings& queue : config.queues) {
    const auto [found, added] = first.try_emplace({queue.host, queue.prefix}, queue.name);
    if (!added) {
      Report(out, finding_severity::kWarning, queue_subject{queue.name},
             "never matches: queue " + Quoted(found->second) +
                 " comes first with the same host and prefix");
    }
    if (!queue.prefix.empty() && !queue.prefix.starts_with('/')) {
      Report(out, finding_severity::kWarning, queue_subject{queue.name},
             "never matches: the prefix does not start with '/'");
    }
  }
}

void CheckQueueTimes(const queue_settings& queue, findings& out) {
  const queue_subject subject{queue.name};
  if (queue.latency_target < duration{} || queue.timeout < duration{} || queue.stretch < 0) {
    Report(out, finding_severity::kError, subject, "has a negative time or stretch");
  }
  // The target of a job is never earlier than this part of it.
  if (queue.timeout > duration{} && queue.latency_target > queue.timeout) {
    Report(out, finding_severity::kWarning, subject,
           "the latency target of " + Milliseconds(queue.latency_target) +
               " is beyond the timeout of " + Milliseconds(queue.timeout));
  }
  if (queue.advice && queue.advice->ticket_validity <= duration{}) {
    Report(out, finding_severity::kWarning, subject, "tickets are expired on arrival");
  }
}

void CheckServices(const fleet_config& config, findings& out) {
  std::set<std::string_view> used;
  for (const queue_settings& queue : config.queues) used.insert(queue.service);
  std::set<std::string_view> known;
  for (const service_settings& service : config.services) {
    const service_subject subject{service.name};
    if (!known.insert(service.name).second) {
      Report(out, finding_severity::kError, subject, "is defined more than once");
    } else if (!used.contains(service.name)) {
      Report(out, finding_severity::kWarning, subject, "has no queue");
    }
  }
  for (const queue_settings& queue : config.queues) {
    if (!known.contains(queue.service)) {
      Report(out, finding_severity::kError, queue_subject{queue.name},
             "has the unknown service " + Quoted(queue.service));
    }
  }
}

void CheckTenant(const tenant_settings& tenant, findings& out) {
  const tenant_subject subject{tenant.name.value};
  if (tenant.name.empty()) Report(out, finding_severity::kError, subject, "has no name");
  if (tenant.weight < 0) Report(out, finding_severity::kError, subject, "has a negative weight");
  const resources& quota = tenant.quota;
  if (std::min({quota.cores_milli, quota.memory_mb, quota.accelerators, quota.slots}) < 0) {
    Report(out, finding_severity::kError, subject, "has a negative quota");
  }
  if (tenant.keys.empty()) {
    Report(out, finding_severity::kWarning, subject, "never matches: it has no key");
  }
  if (std::find(tenant.keys.begin(), tenant.keys.end(), "") != tenant.keys.end()) {
    Report(out, finding_severity::kError, subject, "has an empty key");
  }
}

void CheckTenants(const fleet_config& config, findings& out) {
  std::set<std::string_view> names;
  for (const tenant_settings& tenant : config.tenants) {
    CheckTenant(tenant, out);
    if (!names.insert(tenant.name.value).second) {
      Report(out, finding_severity::kWarning, tenant_subject{tenant.name.value},
             "is defined more than once; only one of the quotas and weights counts");
    }
  }
}

// Applies the rules of fleet_config::IndexKeys, but names the tenants. As there, a key in two rows
// with the same name is an error.
void CheckKeys(const fleet_config& config, findings& out) {
  std::unordered_map<std::string_view, std::size_t> owners;
  for (std::size_t index = 0; index < config.tenants.size(); ++index) {
    const tenant_settings& tenant = config.tenants[index];
    std::set<std::size_t> others;
    bool repeated = false;
    for (const std::string& key : tenant.keys) {
      const auto [found, added] = owners.try_emplace(key, index);
      if (added || key.empty()) continue;
      repeated = repeated || found->second == index;
      if (found->second != index) others.insert(found->second);
    }
    for (const std::size_t other : others) {
      Report(out, finding_severity::kError, tenant_subject{tenant.name.value},
             "shares a key with tenant " + Quoted(config.tenants[other].name.value));
    }
    if (repeated) {
      Report(out, finding_severity::kWarning, tenant_subject{tenant.name.value},
             "lists a key more than once");
    }
  }
}

void CheckLimits(const fleet_config& config, findings& out) {
  const request_limits& limits = config.limits;
  if (limits.header_timeout < duration{} || limits.idle_timeout < duration{}) {
    Report(out, finding_severity::kError, limits_subject{}, "has a negative time");
  }
  if (limits.max_body_bytes > kMaxStoredBytes) {
    Report(out, finding_severity::kWarning, limits_subject{},
           "bodies of " + std::to_string(limits.max_body_bytes) +
               " bytes are allowed, but the store takes at most " +
               std::to_string(kMaxStoredBytes));
  }
  if (limits.idle_timeout > duration{} && limits.header_timeout > limits.idle_timeout) {
    Report(out, finding_severity::kWarning, limits_subject{},
           "unfinished headers are kept for " + Milliseconds(limits.header_timeout) +
               ", longer than an idle connection (" + Milliseconds(limits.idle_timeout) + ")");
  }
  for (const queue_settings& queue : config.queues) {
    if (queue.timeout <= duration{} || limits.header_timeout <= queue.timeout) continue;
    Report(out, finding_severity::kWarning, queue_subject{queue.name},
           "the timeout of " + Milliseconds(queue.timeout) + " ends before the header timeout of " +
               Milliseconds(limits.header_timeout));
  }
}

}  // namespace

std::vector<config_finding> CheckConfig(const fleet_config& config) {
  findings out;
  CheckQueueNames(config, out);
  CheckRoutes(config, out);
  for (const queue_settings& queue : config.queues) CheckQueueTimes(queue, out);
  CheckServices(config, out);
  CheckTenants(config, out);
  CheckKeys(config, out);
  CheckLimits(config, out);
  std::stable_sort(out.begin(), out.end(), [](const config_finding& a, const config_finding& b) {
    return a.severity < b.severity;
  });
  return out;
}

std::string_view ToString(finding_severity severity) {
  switch (severity) {
    case finding_severity::kError:
      return "error";
    case finding_severity::kWarning:
      return "warning";
    case finding_severity::kChange:
      break;
  }
  return "change";
}

std::string ToString(const config_subject& subject) {
  return std::visit(
      overloaded{[](const whole_config&) { return std::string("configuration"); },
                 [](const queue_subject& queue) { return "queue " + Quoted(queue.name); },
                 [](const service_subject& service) { return "service " + Quoted(service.name); },
                 [](const tenant_subject& tenant) { return "tenant " + Quoted(tenant.name); },
                 [](const limits_subject&) { return std::string("limits"); }},
      subject);
}

}  // namespace sycamorehinge::cell
