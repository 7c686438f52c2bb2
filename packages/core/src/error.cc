#include "sycamorehinge/core/error.h"

#include <algorithm>
#include <array>

namespace sycamorehinge {

namespace {

struct error_row {
  errc code;
  std::string_view name;
  std::string_view message;
  work_outcome outcome;
};

constexpr auto kNotRun = work_outcome::kNotRun;
constexpr auto kUnknown = work_outcome::kUnknown;
constexpr auto kFailed = work_outcome::kFailed;

constexpr std::array kErrors = {
    error_row{errc::kOk, "ok", "no error", kNotRun},
    error_row{errc::kOverloaded, "overloaded", "the queue of the class is full", kNotRun},
    error_row{errc::kQuotaExceeded, "quota_exceeded", "the tenant's quota is used up", kNotRun},
    error_row{errc::kLogUnavailable, "log_unavailable", "the log service does not answer", kNotRun},
    error_row{errc::kHomeUnreachable, "home_unreachable",
              "the partition that keeps the key cannot be reached", kNotRun},
    error_row{errc::kNotReady, "not_ready", "the process is not ready yet", kNotRun},
    error_row{errc::kDraining, "draining", "the process is shutting down", kNotRun},
    error_row{errc::kNoRoom, "no_room", "no host has room now", kNotRun},
    error_row{errc::kFitsNowhere, "fits_nowhere", "no host is large enough", kNotRun},
    error_row{errc::kDeadlinePassed, "deadline_passed", "the deadline passed in the queue",
              kNotRun},
    error_row{errc::kCancelled, "cancelled", "cancelled by the caller", kNotRun},
    error_row{errc::kMalformed, "malformed", "the input cannot be parsed", kNotRun},
    error_row{errc::kUnknownKey, "unknown_key", "no such key", kNotRun},
    error_row{errc::kUnknownEnvironment, "unknown_environment", "no such environment", kNotRun},
    error_row{errc::kUnknownService, "unknown_service", "no such service", kNotRun},
    error_row{errc::kUnknownTenant, "unknown_tenant", "no such tenant", kNotRun},
    error_row{errc::kUnknownClass, "unknown_class", "no such class", kNotRun},
    error_row{errc::kUnknownJob, "unknown_job", "no such job", kNotRun},
    error_row{errc::kTooLarge, "too_large", "the input exceeds its size limit", kNotRun},
    error_row{errc::kTruncated, "truncated", "the input ends early", kNotRun},
    error_row{errc::kWrongVersion, "wrong_version", "unsupported protocol version", kNotRun},
    error_row{errc::kUnauthorized, "unauthorized", "no valid token or authentication code",
              kNotRun},
    error_row{errc::kForbidden, "forbidden", "the token does not allow this call", kNotRun},
    error_row{errc::kReplayed, "replayed", "the message was seen before", kNotRun},
    error_row{errc::kDuplicateName, "duplicate_name", "another process has this name", kNotRun},
    error_row{errc::kVersionConflict, "version_conflict",
              "another document was accepted after the base version", kNotRun},
    error_row{errc::kKeyReused, "key_reused", "the key was used for another request", kNotRun},
    error_row{errc::kFailed, "failed", "the work ran and failed", kFailed},
    error_row{errc::kFailsEverywhere, "fails_everywhere", "the work failed on several hosts",
              kFailed},
    error_row{errc::kOutcomeUnknown, "outcome_unknown", "it is not known whether the work ran",
              kUnknown},
    error_row{errc::kTimeout, "timeout", "no answer in time", kUnknown},
    error_row{errc::kConnectionFailed, "connection_failed", "the connection failed", kUnknown},
    error_row{errc::kStaleTerm, "stale_term", "the claim has a newer term", kNotRun},
    error_row{errc::kClaimHeld, "claim_held", "another process holds the claim", kNotRun},
    error_row{errc::kVoided, "voided", "the attempt was made impossible before it started",
              kNotRun},
    error_row{errc::kHostLost, "host_lost", "the host was lost while the work ran", kUnknown},
    error_row{errc::kNotOwner, "not_owner", "the process does not own the partition", kNotRun},
    error_row{errc::kNotHolder, "not_holder", "the process does not hold the host", kNotRun},
    error_row{errc::kRetryBudgetExhausted, "retry_budget_exhausted", "no retry is left", kFailed},
    error_row{errc::kOffsetForgotten, "offset_forgotten", "the log no longer keeps the offset",
              kNotRun},
    error_row{errc::kHttpStatus, "http_status", "unexpected HTTP status", kUnknown},
    error_row{errc::kInternal, "internal", "internal error", kUnknown},
};

const error_row& RowOf(errc code) {
  const auto* row = std::find_if(kErrors.begin(), kErrors.end(),
                                 [code](const error_row& r) { return r.code == code; });
  return row == kErrors.end() ? kErrors.back() : *row;
}

class sycamorehinge_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "sycamorehinge"; }
  std::string message(int value) const override {
    return std::string(RowOf(static_cast<errc>(value)).message);
  }
};

}  // namespace

const std::error_category& SycamorehingeCategory() noexcept {
  static const sycamorehinge_category category;
  return category;
}

std::error_code make_error_code(errc code) noexcept {
  return {static_cast<int>(code), SycamorehingeCategory()};
}

std::string_view ErrorName(errc code) { return RowOf(code).name; }

std::optional<errc> ErrorByName(std::string_view name) {
  for (const error_row& row : kErrors) {
    if (row.name == name) return row.code;
  }
  return std::nullopt;
}

work_outcome OutcomeOf(errc code) { return RowOf(code).outcome; }

}  // namespace sycamorehinge
