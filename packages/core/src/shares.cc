#include "sycamorehinge/core/shares.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

bool WithinQuota(const resources& quota, const resources& held) {
  const auto within = [](std::int64_t limit, std::int64_t amount) {
    return limit == 0 || amount <= limit;
  };
  return within(quota.cores_milli, held.cores_milli) && within(quota.memory_mb, held.memory_mb) &&
         within(quota.accelerators, held.accelerators) && within(quota.slots, held.slots);
}

// Rule of a class before any document is in force: no other class has a guarantee, so the class may
// use the whole capacity.
class_rule DefaultRule(const class_id& name) {
  class_rule rule;
  rule.name = name;
  rule.share = 1;
  return rule;
}

}  // namespace

double DominantShare(const resources& size, const resources& capacity) {
  double largest = 0;
  const auto include = [&largest](std::int64_t amount, std::int64_t total) {
    if (total > 0) {
      largest = std::max(largest, static_cast<double>(amount) / static_cast<double>(total));
    }
  };
  include(size.cores_milli, capacity.cores_milli);
  include(size.memory_mb, capacity.memory_mb);
  include(size.accelerators, capacity.accelerators);
  include(size.slots, capacity.slots);
  return largest;
}

resources Multiply(const resources& size, std::uint32_t count) {
  const std::int64_t factor = count;
  return {size.cores_milli * factor, size.memory_mb * factor, size.accelerators * factor,
          size.slots * factor};
}

class_index share_accounting::ClassOf(const class_id& name) {
  const auto [found, added] =
      class_indices_.try_emplace(name, static_cast<class_index>(classes_.size()));
  if (added) {
    classes_.emplace_back();
    classes_.back().rule = has_rules_ ? class_rule{} : DefaultRule(name);
    classes_.back().rule.name = name;
  }
  return found->second;
}

tenant_index share_accounting::TenantOf(const tenant_id& name) {
  const auto [found, added] =
      tenant_indices_.try_emplace(name, static_cast<tenant_index>(tenants_.size()));
  if (added) {
    tenants_.emplace_back();
    tenants_.back().rule.name = name;
  }
  return found->second;
}

void share_accounting::SetRules(const environment_document& document) {
  has_rules_ = true;
  for (class_usage& standing : classes_) {
    const class_id name = standing.rule.name;
    standing.rule = class_rule{};
    standing.rule.name = name;
    standing.has_rule = false;
  }
  for (const class_rule& rule : document.classes) {
    class_usage& standing = classes_[ClassOf(rule.name)];
    standing.rule = rule;
    standing.has_rule = true;
  }
  SetTenantRules(document.tenants);
}

void share_accounting::SetTenantRules(std::span<const tenant_rule> rules) {
  for (tenant_usage& standing : tenants_) {
    const tenant_id name = standing.rule.name;
    standing.rule = tenant_rule{};
    standing.rule.name = name;
  }
  for (const tenant_rule& rule : rules) tenants_[TenantOf(rule.name)].rule = rule;
}

void share_accounting::SetCapacity(const resources& capacity) {
  capacity_ = capacity;
  for (class_usage& standing : classes_) {
    standing.share = DominantShare(standing.held, capacity_);
  }
}

void share_accounting::Acquire(class_index work_class, tenant_index tenant, const resources& size) {
  class_usage& standing = classes_[work_class];
  if (tenant >= standing.tenants.size()) standing.tenants.resize(tenant + 1);
  standing.held += size;
  standing.tenants[tenant] += size;
  tenants_[tenant].held += size;
  standing.share = DominantShare(standing.held, capacity_);
  ++standing.running;
}

void share_accounting::Release(class_index work_class, tenant_index tenant, const resources& size) {
  class_usage& standing = classes_[work_class];
  standing.held -= size;
  standing.tenants[tenant] -= size;
  tenants_[tenant].held -= size;
  standing.share = DominantShare(standing.held, capacity_);
  --standing.running;
}

double share_accounting::TenantShare(class_index work_class, tenant_index tenant) const {
  const class_usage& standing = classes_[work_class];
  if (tenant >= standing.tenants.size()) return 0;
  return DominantShare(standing.tenants[tenant], capacity_) / TenantWeight(tenant);
}

double share_accounting::TenantWeight(tenant_index tenant) const {
  return std::max(tenants_[tenant].rule.weight, 1e-6);
}

bool share_accounting::QuotaAllows(tenant_index tenant, const resources& size) const {
  return WithinQuota(tenants_[tenant].rule.quota, tenants_[tenant].held + size);
}

bool share_accounting::QuotaCouldAllow(tenant_index tenant, const resources& size) const {
  return WithinQuota(tenants_[tenant].rule.quota, size);
}

bool share_accounting::LimitAllows(class_index work_class, const resources& size) const {
  const class_usage& standing = classes_[work_class];
  if (standing.rule.limit >= 1) return true;
  return DominantShare(standing.held + size, capacity_) <= standing.rule.limit;
}

double share_accounting::UnusedGuaranteedShare(class_index except) const {
  double unused = 0;
  for (class_index index = 0; index < classes_.size(); ++index) {
    if (index != except) unused += std::max(0.0, classes_[index].Deficit());
  }
  return unused;
}

}  // namespace sycamorehinge
