// Quotas and shares of the tenants, by the runs that the owner knows.
#ifndef SYCAMOREHINGE_CELL_SRC_TENANTS_H_
#define SYCAMOREHINGE_CELL_SRC_TENANTS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/cell/fleet_config.h"
#include "sycamorehinge/core/shares.h"

namespace sycamorehinge::cell {

// Time over which the rate of a tenant is averaged.
inline constexpr duration kRateWindow = std::chrono::seconds(5);

// Resources of this many tasks.
struct task_group {
  resources size;
  std::uint32_t count = 1;
};

// Keeps the resources that each tenant holds. A run counts from its first start call until its end
// is certain. Resources that runs of earlier owners may hold are added as uncertain.
class tenant_ledger {
 public:
  // Jobs without a tenant have this index and no quota.
  static constexpr tenant_index kNoTenant = 0;

  tenant_ledger();

  // A tenant that is missing from `tenants` keeps its index, but has no quota and the weight 1.
  void SetTenants(std::span<const tenant_settings> tenants);
  void SetCapacity(const resources& capacity) { accounting_.SetCapacity(capacity); }
  // Returns kNoTenant for an empty name. Adds a tenant that is not known.
  tenant_index IndexOf(std::string_view name);

  void Acquire(tenant_index tenant, const resources& size);
  void Release(tenant_index tenant, const resources& size);

  // Replaces the uncertain resources of all tenants; indexed by tenant, and may be shorter.
  void SetUncertain(std::vector<resources> uncertain) { uncertain_ = std::move(uncertain); }

  // Returns whether the quota of the tenant allows the tasks beside all that it holds or may hold.
  bool Allows(tenant_index tenant, const task_group& tasks) const;
  // Returns whether the quota would allow the tasks if the tenant held nothing.
  bool CouldAllow(tenant_index tenant, const task_group& tasks) const;

  // Computes which tenants hold more than their share, from the tenants that hold or wait for
  // resources.
  void UpdateShares(const std::vector<bool>& waiting);
  // Returns whether the tenant held more than its share at the last UpdateShares.
  bool OverShare(tenant_index tenant) const {
    return tenant < over_share_.size() && over_share_[tenant];
  }
  std::size_t Count() const { return names_.size(); }
  // Empty for kNoTenant.
  const std::string& NameOf(tenant_index tenant) const { return names_[tenant]; }
  resources HeldBy(tenant_index tenant) const;

  // Counts a submission against the rate of the tenant: as many jobs per second as its weight says,
  // over `kRateWindow`.
  void CountSubmission(tenant_index tenant, time_point now);
  // Returns whether the last counted submission of the tenant was beyond its rate.
  bool OverRate(tenant_index tenant) const { return tenant < rates_.size() && rates_[tenant].over; }

 private:
  share_accounting accounting_;
  class_index work_class_ = 0;
  // Indexed by tenant.
  std::vector<std::string> names_;
  std::vector<resources> uncertain_;
  std::vector<bool> over_share_;
  // Submissions that the tenant may make now; grows with time up to those of `kRateWindow`.
  struct rate_state {
    // Jobs per second; 0 for no limit.
    double rate = 0;
    double allowed = 0;
    time_point updated;
    bool over = false;
  };
  std::vector<rate_state> rates_;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SRC_TENANTS_H_
