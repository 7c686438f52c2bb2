#include "sycamorehinge/core/document.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

template <class Rule>
const Rule* FindByName(const std::vector<Rule>& rules, std::string_view name) {
  const auto found = std::find_if(rules.begin(), rules.end(),
                                  [name](const Rule& rule) { return rule.name.value == name; });
  return found == rules.end() ? nullptr : &*found;
}

}  // namespace

const service_rule* environment_document::FindService(std::string_view service) const {
  return FindByName(services, service);
}

const class_rule* environment_document::FindClass(std::string_view work_class) const {
  return FindByName(classes, work_class);
}

const tenant_rule* environment_document::FindTenant(std::string_view tenant) const {
  return FindByName(tenants, tenant);
}

std::string_view ToString(work_kind kind) {
  switch (kind) {
    case work_kind::kRequest:
      return "request";
    case work_kind::kBatch:
      return "batch";
    case work_kind::kService:
      return "service";
    case work_kind::kGang:
      return "gang";
  }
  return "unknown";
}

std::string_view ToString(placement_kind name) {
  switch (name) {
    case placement_kind::kSpread:
      return "spread";
    case placement_kind::kPack:
      return "pack";
    case placement_kind::kAllAtOnce:
      return "all_at_once";
    case placement_kind::kRandom:
      return "random";
    case placement_kind::kFirstFit:
      return "first_fit";
  }
  return "unknown";
}

std::string_view ToString(stage_name stage) {
  return stage == stage_name::kTrial ? "trial" : "production";
}

}  // namespace sycamorehinge
