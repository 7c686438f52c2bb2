#include <nlohmann/json.hpp>

#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/json_fields.h"

namespace sycamorehinge {

namespace {

std::string_view OutcomeName(work_outcome outcome) {
  switch (outcome) {
    case work_outcome::kNotRun:
      return "not_run";
    case work_outcome::kUnknown:
      return "unknown";
    case work_outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

int HttpStatusOf(errc code) {
  switch (code) {
    case errc::kOk:
      return 200;
    case errc::kMalformed:
    case errc::kTruncated:
    case errc::kUnknownKey:
    case errc::kWrongVersion:
      return 400;
    case errc::kUnauthorized:
      return 401;
    case errc::kForbidden:
      return 403;
    case errc::kUnknownEnvironment:
    case errc::kUnknownService:
    case errc::kUnknownTenant:
    case errc::kUnknownClass:
    case errc::kUnknownJob:
      return 404;
    case errc::kVersionConflict:
    case errc::kKeyReused:
    case errc::kReplayed:
    case errc::kDuplicateName:
    case errc::kCancelled:
      return 409;
    case errc::kTooLarge:
      return 413;
    case errc::kFitsNowhere:
      return 422;
    case errc::kOverloaded:
    case errc::kQuotaExceeded:
      return 429;
    case errc::kFailed:
    case errc::kFailsEverywhere:
    case errc::kRetryBudgetExhausted:
    case errc::kOutcomeUnknown:
    case errc::kConnectionFailed:
    case errc::kHostLost:
    case errc::kHttpStatus:
      return 502;
    case errc::kTimeout:
    case errc::kDeadlinePassed:
      return 504;
    case errc::kInternal:
      return 500;
    default:
      return 503;
  }
}

http_response ErrorResponse(errc code, std::string_view detail, duration retry_after) {
  const nlohmann::json body = {{"error", ErrorName(code)},
                               {"code", static_cast<int>(code)},
                               {"outcome", OutcomeName(OutcomeOf(code))},
                               {"retry_after_ms", ToMilliseconds(retry_after)},
                               {"detail", detail}};
  http_response response;
  response.status = HttpStatusOf(code);
  response.headers = {{"Content-Type", "application/json"}};
  if (retry_after > duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  // The detail may quote bytes from the caller that are not valid UTF-8.
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace sycamorehinge
