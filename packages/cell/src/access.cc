#include "sycamorehinge/cell/access.h"

namespace sycamorehinge::cell {

caller Authorize(const fleet_config& config, const queue_settings& queue, std::string_view key) {
  if (!config.HasTenants()) return anonymous_caller{};
  if (key.empty()) return queue.is_public ? caller(anonymous_caller{}) : caller(unknown_caller{});
  const tenant_settings* tenant = config.FindTenantByKey(key);
  return tenant ? caller(tenant_caller{tenant->name}) : caller(unknown_caller{});
}

bool MayReach(std::string_view caller_tenant, std::string_view job_tenant) {
  return job_tenant.empty() || caller_tenant == job_tenant;
}

}  // namespace sycamorehinge::cell
