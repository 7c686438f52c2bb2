// JSON of the host interface.
#ifndef SYCAMOREHINGE_TESTING_HOST_JSON_H_
#define SYCAMOREHINGE_TESTING_HOST_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "sycamorehinge/testing/host_model.h"

namespace sycamorehinge::testing {

// The functions that read throw json::exception or malformed_id for malformed input.
struct malformed_id {};

nlohmann::json SizeToJson(const resources& size);
attempt_id ReadAttempt(const nlohmann::json& text);
claim_order ReadClaim(const nlohmann::json& body);
start_order ReadStart(const nlohmann::json& body);
nlohmann::json GrantToJson(const claim_grant& grant);
nlohmann::json RefusalToJson(const claim_refusal& refusal);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_HOST_JSON_H_
