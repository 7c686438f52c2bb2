// Decides whom a call is made for: which tenant its key belongs to, and which jobs that tenant may
// reach.
#ifndef SYCAMOREHINGE_CELL_ACCESS_H_
#define SYCAMOREHINGE_CELL_ACCESS_H_

#include <string_view>
#include <variant>

#include "sycamorehinge/cell/fleet_config.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// A call without a key to a public queue, or to any queue of a configuration without tenants.
struct anonymous_caller {};
struct tenant_caller {
  tenant_id tenant;
};
// The key is missing or belongs to no tenant.
struct unknown_caller {};
using caller = std::variant<anonymous_caller, tenant_caller, unknown_caller>;

// Identifies the caller of a queue by its key, which is empty if the call has none. A key that is
// present must be valid, also for a public queue. In a configuration without tenants keys have no
// meaning.
caller Authorize(const fleet_config& config, const queue_settings& queue, std::string_view key);

// Returns whether a caller of this tenant may query and cancel a job. A job without a tenant is
// open to all callers. The names are empty for a caller or a job without a tenant.
bool MayReach(std::string_view caller_tenant, std::string_view job_tenant);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_ACCESS_H_
