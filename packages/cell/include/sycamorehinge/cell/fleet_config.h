// Configuration set by the operators: the queues that callers submit to, the services that run
// their tasks, and the tenants that callers belong to.
#ifndef SYCAMOREHINGE_CELL_FLEET_CONFIG_H_
#define SYCAMOREHINGE_CELL_FLEET_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// Estimated response times of the policy service, and the lifetime of its tickets.
struct advice_settings {
  duration decision_time{};
  duration time_per_host{};
  // Counted from the arrival of the answer.
  duration ticket_validity{};
};

struct queue_settings {
  std::string name;
  // A request belongs to the queue if its Host header equals `host` and its path starts with
  // `prefix`.
  std::string host;
  std::string prefix;
  std::string service;
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // A job fails once one of its tasks has failed this many times.
  std::uint32_t max_attempts = 1;
  // Target completion time of a job: the length of its critical path times `stretch`, plus
  // `latency_target`.
  double stretch = 1;
  duration latency_target{};
  duration timeout{};
  std::optional<advice_settings> advice;
  // Callers need no key.
  bool is_public = false;
};

struct service_settings {
  std::string name;
  // The hosts reject tasks that exceed their free capacity.
  bool enforces_capacity = false;
  // The machines of the service are switched off.
  bool standby = false;
};

struct tenant_settings {
  tenant_id name;
  std::vector<std::string> keys;
  // Share of the capacity in proportion to the other tenants, and the number of jobs per second
  // that the tenant may submit when capacity is short. 0 for the share of a weight of 1 and no
  // limit of the rate.
  double weight = 0;
  // Resources that the tasks of the tenant may hold at the same time on all hosts; 0 for no limit.
  resources quota{};
};

// Limits of the requests of callers. 0 if the operators set no limit.
struct request_limits {
  std::size_t max_body_bytes = 0;
  std::size_t max_header_bytes = 0;
  // Time from the first byte of a request to the end of its headers.
  duration header_timeout{};
  // Time for which a connection may stay open between two requests.
  duration idle_timeout{};
};

struct fleet_config {
  std::uint64_t version = 0;
  std::vector<queue_settings> queues;
  std::vector<service_settings> services;
  std::vector<tenant_settings> tenants;
  request_limits limits;
  // Index of the tenant of each key; see IndexKeys.
  std::unordered_map<std::string, std::size_t> tenants_by_key;

  // Fills `tenants_by_key`. Returns false if a key is empty or belongs to two tenants.
  bool IndexKeys();
  bool HasTenants() const { return !tenants.empty(); }
  // Returns null if no tenant has that key.
  const tenant_settings* FindTenantByKey(std::string_view key) const;
  // Returns null if no queue has that name.
  const queue_settings* FindQueue(std::string_view name) const;
  // Returns the queue that serves a request with this Host header and path, by the longest matching
  // path prefix, or null.
  const queue_settings* Route(std::string_view host, std::string_view path) const;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_FLEET_CONFIG_H_
