// JSON bodies of the HTTP interface; see docs/design.md, section 8.
#ifndef SYCAMOREHINGE_ENTRY_SRC_API_JSON_H_
#define SYCAMOREHINGE_ENTRY_SRC_API_JSON_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

#include "sycamorehinge/node/entry_node.h"

namespace sycamorehinge {

// kMalformed, with the field at fault as detail, if the text is not a job.
result<job_spec> ParseJob(std::string_view text);

// Body of POST /v1/environments/{name}/{stage}.
result<config_record> ParseProposal(std::string_view text);

nlohmann::json JobJson(const job_status& status);
nlohmann::json VersionJson(const config_version& version);
nlohmann::json HostsJson(std::span<const host_summary> hosts, const process_id& holder);
nlohmann::json QueuesJson(const node_summary& summary);
nlohmann::json StateJson(const node_summary& summary);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_API_JSON_H_
