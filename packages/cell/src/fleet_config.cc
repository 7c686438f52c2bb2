#include "sycamorehinge/cell/fleet_config.h"

namespace sycamorehinge::cell {

const queue_settings* fleet_config::FindQueue(std::string_view name) const {
  for (const queue_settings& queue : queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const queue_settings* fleet_config::Route(std::string_view host, std::string_view path) const {
  const queue_settings* best = nullptr;
  for (const queue_settings& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (!best || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

}  // namespace sycamorehinge::cell
