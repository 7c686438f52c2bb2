#include "document_call.h"

#include <algorithm>

#include "json_fields.h"
#include "sycamorehinge/settings/environment.h"

namespace sycamorehinge {

namespace {

using nlohmann::json;

constexpr int kNotFound = 404;

config_version VersionOf(const json& object) {
  config_version found;
  found.version = static_cast<std::uint64_t>(NumberField(object, "version"));
  found.base = static_cast<std::uint64_t>(NumberField(object, "base"));
  found.author = TextField(object, "author");
  found.text = TextField(object, "text");
  found.wall_ms = NumberField(object, "wall_ms");
  return found;
}

// Learns from the history what became of a proposal whose reply was lost.
std::variant<std::uint64_t, call_error> Resolve(client& api, const config_record& proposal,
                                                const call_error& lost) {
  const json_answer answer =
      Call(api, {.path = StagePath(proposal.environment.value, proposal.stage) + "/history"},
           call_kind::kRead);
  const auto* history = std::get_if<json>(&answer);
  if (history == nullptr) return lost;
  std::uint64_t newest = 0;
  for (const json& entry : ListField(*history, "versions")) {
    const config_version known = VersionOf(entry);
    newest = std::max(newest, known.version);
    const bool ours = known.base == proposal.base && known.author == proposal.author &&
                      known.text == proposal.text;
    if (ours) return known.version;
  }
  // Any version after the base excludes the proposal, whenever its record arrives.
  if (newest > proposal.base) {
    return call_error{exit_code::kConflict, 0,
                      "version_conflict: version " + std::to_string(newest) + " is in force",
                      json()};
  }
  return lost;
}

}  // namespace

std::string StagePath(std::string_view environment, stage_name stage) {
  return "/v1/environments/" + UrlEncoded(environment) + "/" + std::string(ToString(stage));
}

std::variant<config_version, call_error> FetchDocument(client& api, std::string_view environment,
                                                       stage_name stage) {
  const json_answer answer = Call(api, {.path = StagePath(environment, stage)}, call_kind::kRead);
  if (const auto* object = std::get_if<json>(&answer)) return VersionOf(*object);
  const auto& error = std::get<call_error>(answer);
  const bool none = error.status == kNotFound &&
                    TextField(error.body, "error") == ErrorName(errc::kUnknownEnvironment);
  if (none) return config_version{};
  return error;
}

std::variant<std::uint64_t, call_error> ProposeDocument(client& api,
                                                        const config_record& proposal) {
  const json body = {{"base", proposal.base}, {"author", proposal.author}, {"text", proposal.text}};
  const json_answer answer =
      Call(api, JsonRequest("POST", StagePath(proposal.environment.value, proposal.stage), body),
           call_kind::kChange);
  if (const auto* object = std::get_if<json>(&answer)) {
    return static_cast<std::uint64_t>(NumberField(*object, "version"));
  }
  const auto& error = std::get<call_error>(answer);
  if (error.exit == exit_code::kUnknownOutcome) return Resolve(api, proposal, error);
  return error;
}

std::string CanonicalText(const std::string& text) {
  const auto document = ParseEnvironment(text, "");
  return document ? EnvironmentText(*document) : text;
}

}  // namespace sycamorehinge
