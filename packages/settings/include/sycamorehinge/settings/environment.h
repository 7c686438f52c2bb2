// Environment documents as TOML.
#ifndef SYCAMOREHINGE_SETTINGS_ENVIRONMENT_H_
#define SYCAMOREHINGE_SETTINGS_ENVIRONMENT_H_

#include <string>
#include <string_view>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/settings/mistake.h"

namespace sycamorehinge {

// Largest text of a document in bytes; 380 tenants take about 50 kB.
inline constexpr std::size_t kMaxDocumentBytes = 1U << 20;

// Parses and validates a document; `file` is named in mistakes only.
parsed<environment_document> ParseEnvironment(std::string_view text, std::string_view file);

// Canonical TOML: every key written, fixed order of sections; entries keep their order.
// ParseEnvironment gives an equal document back.
std::string EnvironmentText(const environment_document& document);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_ENVIRONMENT_H_
