#include "tenants.h"

#include <algorithm>
#include <string>

namespace sycamorehinge::cell {

tenant_ledger::tenant_ledger() : work_class_(accounting_.ClassOf({})) { IndexOf({}); }

void tenant_ledger::SetTenants(std::span<const tenant_settings> tenants) {
  std::vector<tenant_rule> rules;
  rules.reserve(tenants.size());
  for (rate_state& state : rates_) state.rate = 0;
  for (const tenant_settings& tenant : tenants) {
    tenant_rule& rule = rules.emplace_back();
    rule.name = tenant.name;
    rule.weight = tenant.weight > 0 ? tenant.weight : 1;
    rule.quota = tenant.quota;
    const tenant_index index = IndexOf(tenant.name.value);
    if (index >= rates_.size()) rates_.resize(index + 1);
    rates_[index].rate = tenant.weight;
  }
  accounting_.SetTenantRules(rules);
}

tenant_index tenant_ledger::IndexOf(std::string_view name) {
  const tenant_index index = accounting_.TenantOf(tenant_id{std::string(name)});
  if (index >= names_.size()) names_.emplace_back(name);
  return index;
}

resources tenant_ledger::HeldBy(tenant_index tenant) const {
  const std::vector<resources>& held = accounting_.Class(work_class_).tenants;
  return tenant < held.size() ? held[tenant] : resources();
}

void tenant_ledger::Acquire(tenant_index tenant, const resources& size) {
  accounting_.Acquire(work_class_, tenant, size);
}

void tenant_ledger::Release(tenant_index tenant, const resources& size) {
  accounting_.Release(work_class_, tenant, size);
}

bool tenant_ledger::Allows(tenant_index tenant, const task_group& tasks) const {
  resources wanted = Multiply(tasks.size, tasks.count);
  if (tenant < uncertain_.size()) wanted += uncertain_[tenant];
  return accounting_.QuotaAllows(tenant, wanted);
}

bool tenant_ledger::CouldAllow(tenant_index tenant, const task_group& tasks) const {
  return accounting_.QuotaCouldAllow(tenant, Multiply(tasks.size, tasks.count));
}

void tenant_ledger::CountSubmission(tenant_index tenant, time_point now) {
  if (tenant >= rates_.size() || rates_[tenant].rate <= 0) return;
  rate_state& state = rates_[tenant];
  const double most = state.rate * std::chrono::duration<double>(kRateWindow).count();
  const double grown = std::chrono::duration<double>(now - state.updated).count() * state.rate;
  state.allowed = std::min(state.allowed + grown, most);
  state.updated = now;
  state.over = state.allowed < 1;
  if (!state.over) state.allowed -= 1;
}

void tenant_ledger::UpdateShares(const std::vector<bool>& waiting) {
  over_share_.assign(Count(), false);
  std::vector<double> held(Count());
  double weights = 0;
  for (tenant_index tenant = 0; tenant < Count(); ++tenant) {
    held[tenant] = accounting_.TenantShare(work_class_, tenant);
    const bool active = held[tenant] > 0 || (tenant < waiting.size() && waiting[tenant]);
    if (active) weights += accounting_.TenantWeight(tenant);
  }
  // A tenant with the weight w has its share if it holds w / `weights` of the capacity.
  for (tenant_index tenant = 0; tenant < Count(); ++tenant) {
    over_share_[tenant] = held[tenant] * weights > 1;
  }
}

}  // namespace sycamorehinge::cell
