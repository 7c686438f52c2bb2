#include "sycamorehinge/cell/fleet_config.h"

namespace sycamorehinge::cell {

bool fleet_config::IndexKeys() {
  tenants_by_key.clear();
  for (std::size_t index = 0; index < tenants.size(); ++index) {
    for (const std::string& key : tenants[index].keys) {
      const auto [found, added] = tenants_by_key.try_emplace(key, index);
      if (key.empty() || found->second != index) return false;
    }
  }
  return true;
}

const tenant_settings* fleet_config::FindTenantByKey(std::string_view key) const {
  const auto found = tenants_by_key.find(std::string(key));
  return found == tenants_by_key.end() ? nullptr : &tenants[found->second];
}

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
