// The operators' configuration: queues that callers submit to and services that run their tasks.
#ifndef SYCAMOREHINGE_CELL_FLEET_CONFIG_H_
#define SYCAMOREHINGE_CELL_FLEET_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// How long the policy service takes to say which hosts may run a step.
struct advice_settings {
  duration decision{};
  duration per_host{};
  // Time that a ticket holds after the answer.
  duration validity{};
};

struct queue_settings {
  std::string name;
  // Host header and path prefix that select the queue.
  std::string host;
  std::string prefix;
  std::string service;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Failed runs of a task after which its job fails.
  std::uint32_t max_attempts = 1;
  // The objective of a job is its longest chain of work times `stretch`, plus `latency_target`.
  double stretch = 1;
  duration latency_target{};
  duration timeout{};
  std::optional<advice_settings> advice;
};

struct service_settings {
  std::string name;
  // Its hosts refuse what does not fit.
  bool enforces_capacity = false;
  // Its machines are switched off.
  bool standby = false;
};

struct fleet_config {
  std::uint64_t version = 0;
  std::vector<queue_settings> queues;
  std::vector<service_settings> services;
  // 0 for no limit of the operators'.
  std::size_t max_body_bytes = 0;

  // Null if there is none.
  const queue_settings* FindQueue(std::string_view name) const;
  // The queue with the longest prefix of `path` for that Host header; null if there is none.
  const queue_settings* Route(std::string_view host, std::string_view path) const;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_FLEET_CONFIG_H_
