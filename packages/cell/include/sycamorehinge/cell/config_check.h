// Checks a configuration before it is sent: what is wrong with it, what has no effect, and what
// differs from the version in force.
#ifndef SYCAMOREHINGE_CELL_CONFIG_CHECK_H_
#define SYCAMOREHINGE_CELL_CONFIG_CHECK_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/fleet_config.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

enum class finding_severity {
  // The configuration is rejected, or is not what the operator means.
  kError,
  // An entry has no effect, or two limits contradict each other.
  kWarning,
  // Differs from the version in force.
  kChange,
};

// What a finding is about.
struct whole_config {};
struct queue_subject {
  std::string name;
};
struct service_subject {
  std::string name;
};
struct tenant_subject {
  std::string name;
};
struct limits_subject {};
using config_subject =
    std::variant<whole_config, queue_subject, service_subject, tenant_subject, limits_subject>;

// No text contains a key.
struct config_finding {
  finding_severity severity = finding_severity::kError;
  config_subject subject;
  std::string text;
};

// Largest record that the store takes. A submission is one record.
inline constexpr std::size_t kMaxStoredBytes = 262'144;

// Errors and warnings, by severity. Does not use `tenants_by_key`.
std::vector<config_finding> CheckConfig(const fleet_config& config);
// Changes from the version in force to `next`; an error if the version of `next` is not higher.
std::vector<config_finding> CompareConfigs(const fleet_config& in_force, const fleet_config& next);

std::string_view ToString(finding_severity severity);
// For example "queue 'orders'"; control characters of a name are replaced.
std::string ToString(const config_subject& subject);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_CONFIG_CHECK_H_
