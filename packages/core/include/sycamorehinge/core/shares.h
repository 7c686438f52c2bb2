// Usage of each class and tenant, with guaranteed shares, limits and quotas.
#ifndef SYCAMOREHINGE_CORE_SHARES_H_
#define SYCAMOREHINGE_CORE_SHARES_H_

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/room.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Dominant share: the largest share of any resource that `size` takes of `capacity`.
double DominantShare(const resources& size, const resources& capacity);
resources Multiply(const resources& size, std::uint32_t count);

struct class_usage {
  class_rule rule;
  // Whether the document in force has a rule for the class.
  bool has_rule = false;
  resources held;
  // Capacity that is being drained for waiting work of the class.
  resources draining;
  // Dominant share of the capacity that the class holds.
  double share = 0;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  // Resources held by each tenant of the class.
  std::vector<resources> tenants;

  // Positive if the class is below its guaranteed share.
  double Deficit() const { return rule.share - share; }
};

class share_accounting {
 public:
  class_index ClassOf(const class_id& name);
  tenant_index TenantOf(const tenant_id& name);

  void SetRules(const environment_document& document);
  // Replaces the rules of all tenants. A tenant without a rule has no quota and the weight 1.
  void SetTenantRules(std::span<const tenant_rule> rules);
  bool HasRules() const { return has_rules_; }
  void SetCapacity(const resources& capacity);
  const resources& Capacity() const { return capacity_; }

  void Acquire(class_index work_class, tenant_index tenant, const resources& size);
  void Release(class_index work_class, tenant_index tenant, const resources& size);
  void AddDraining(class_index work_class, const resources& size) {
    classes_[work_class].draining += size;
  }
  void RemoveDraining(class_index work_class, const resources& size) {
    classes_[work_class].draining -= size;
  }
  void CountWaiting(class_index work_class, int change) {
    classes_[work_class].waiting += static_cast<std::uint64_t>(change);
  }

  std::span<const class_usage> Classes() const { return classes_; }
  const class_usage& Class(class_index work_class) const { return classes_[work_class]; }
  // Dominant share that a tenant holds in a class, divided by the tenant's weight.
  double TenantShare(class_index work_class, tenant_index tenant) const;
  double TenantWeight(tenant_index tenant) const;
  // Whether the tenant's quota allows `size` in addition to what the tenant holds.
  bool QuotaAllows(tenant_index tenant, const resources& size) const;
  // Whether the tenant's quota would allow `size` if the tenant held nothing.
  bool QuotaCouldAllow(tenant_index tenant, const resources& size) const;
  // Whether the class's limit allows `size` in addition to what the class holds.
  bool LimitAllows(class_index work_class, const resources& size) const;
  // Sum of the unused guaranteed shares of all classes but `except`.
  double UnusedGuaranteedShare(class_index except) const;

 private:
  struct tenant_usage {
    tenant_rule rule;
    resources held;
  };
  void ApplyRule(class_usage& standing);

  std::vector<class_usage> classes_;
  std::vector<tenant_usage> tenants_;
  std::unordered_map<class_id, class_index> class_indices_;
  std::unordered_map<tenant_id, tenant_index> tenant_indices_;
  resources capacity_;
  bool has_rules_ = false;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_SHARES_H_
