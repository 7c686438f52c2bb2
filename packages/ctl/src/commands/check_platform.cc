#include "commands/check_platform.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>
#include <vector>

#include "files.h"
#include "json_fields.h"
#include "sycamorehinge/cell/config_check.h"
#include "sycamorehinge/platform/config.h"

namespace sycamorehinge {

namespace {

using cell::config_finding;
using cell::finding_severity;

// Reads a configuration. Appends an error for each mistake and returns false if there is one.
bool Read(std::string_view text, std::string_view which, cell::fleet_config& config,
          std::vector<config_finding>& findings) {
  std::vector<std::string> mistakes;
  config = platform::ReadConfig(text, mistakes);
  for (const std::string& mistake : mistakes) {
    findings.push_back(
        {finding_severity::kError, cell::whole_config{}, std::string(which) + mistake});
  }
  return mistakes.empty();
}

nlohmann::json FindingsJson(std::span<const config_finding> findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const config_finding& found : findings) {
    list.push_back({{"severity", cell::ToString(found.severity)},
                    {"subject", cell::ToString(found.subject)},
                    {"text", found.text}});
  }
  return {{"findings", list}};
}

void Print(command_context& context, std::span<const config_finding> findings) {
  if (context.format == output_format::kJson) {
    context.out << JsonText(FindingsJson(findings)) << "\n";
    return;
  }
  for (const config_finding& found : findings) {
    context.out << cell::ToString(found.severity) << ": " << cell::ToString(found.subject) << ": "
                << found.text << "\n";
  }
}

}  // namespace

exit_code CheckPlatform(command_context& context, const std::string& file,
                        const std::string& in_force) {
  const result<std::string> text = ReadInput(file);
  if (!text) return FailUsage(context, text.detail());
  std::vector<config_finding> findings;
  cell::fleet_config config;
  const bool complete = Read(*text, "", config, findings);
  // The rows that cannot be read would be reported again as unknown or removed ones.
  if (complete) findings = cell::CheckConfig(config);
  if (!in_force.empty()) {
    const result<std::string> old_text = ReadInput(in_force);
    if (!old_text) return FailUsage(context, old_text.detail());
    cell::fleet_config old_config;
    if (Read(*old_text, "in force: ", old_config, findings) && complete) {
      std::vector<config_finding> changes = cell::CompareConfigs(old_config, config);
      std::move(changes.begin(), changes.end(), std::back_inserter(findings));
    }
  }
  Print(context, findings);
  const bool failed = std::any_of(findings.begin(), findings.end(), [](const auto& found) {
    return found.severity == finding_severity::kError;
  });
  if (!failed && context.format == output_format::kTable) {
    context.out << file << ": platform configuration without errors\n";
  }
  return failed ? exit_code::kFailed : exit_code::kOk;
}

}  // namespace sycamorehinge
