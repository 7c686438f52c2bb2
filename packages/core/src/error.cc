#include "sycamorehinge/core/error.h"

#include <algorithm>
#include <array>

namespace sycamorehinge {

namespace {

struct error_entry {
  errc code;
  std::string_view name;
  std::string_view message;
  work_outcome outcome;
};

constexpr auto kNotRun = work_outcome::kNotRun;
constexpr auto kUnknown = work_outcome::kUnknown;
constexpr auto kFailed = work_outcome::kFailed;

constexpr std::array kErrors = {
    error_entry{errc::kOk, "ok", "no error", kNotRun},
    error_entry{errc::kOverloaded, "overloaded",
                "the expected wait exceeds the limit of the class or the deadline", kNotRun},
    error_entry{errc::kQuotaExceeded, "quota_exceeded", "the tenant's quota is exhausted", kNotRun},
    error_entry{errc::kLogUnavailable, "log_unavailable", "the log service is unavailable",
                kNotRun},
    error_entry{errc::kHomeUnreachable, "home_unreachable",
                "the partition that stores the key is unreachable", kNotRun},
    error_entry{errc::kNotReady, "not_ready", "the process is not ready yet", kNotRun},
    error_entry{errc::kDraining, "draining", "the process is shutting down", kNotRun},
    error_entry{errc::kNoRoom, "no_room", "no host has enough free capacity", kNotRun},
    error_entry{errc::kFitsNowhere, "fits_nowhere", "no host is large enough", kNotRun},
    error_entry{errc::kDeadlinePassed, "deadline_passed",
                "the deadline passed while the work was queued", kNotRun},
    error_entry{errc::kCancelled, "cancelled", "cancelled by the caller", kNotRun},
    error_entry{errc::kMalformed, "malformed", "the input cannot be parsed", kNotRun},
    error_entry{errc::kUnknownKey, "unknown_key", "no such key", kNotRun},
    error_entry{errc::kUnknownEnvironment, "unknown_environment", "no such environment", kNotRun},
    error_entry{errc::kUnknownService, "unknown_service", "no such service", kNotRun},
    error_entry{errc::kUnknownTenant, "unknown_tenant", "no such tenant", kNotRun},
    error_entry{errc::kUnknownClass, "unknown_class", "no such class", kNotRun},
    error_entry{errc::kUnknownJob, "unknown_job", "no such job", kNotRun},
    error_entry{errc::kTooLarge, "too_large", "the input exceeds its size limit", kNotRun},
    error_entry{errc::kTruncated, "truncated", "the input is truncated", kNotRun},
    error_entry{errc::kWrongVersion, "wrong_version", "unsupported protocol version", kNotRun},
    error_entry{errc::kUnauthorized, "unauthorized", "no valid token or authentication code",
                kNotRun},
    error_entry{errc::kForbidden, "forbidden", "the token does not allow this call", kNotRun},
    error_entry{errc::kReplayed, "replayed", "the message is a replay", kNotRun},
    error_entry{errc::kDuplicateName, "duplicate_name", "another process has this name", kNotRun},
    error_entry{errc::kVersionConflict, "version_conflict",
                "another document was accepted after the base version", kNotRun},
    error_entry{errc::kKeyReused, "key_reused", "the key was used for another request", kNotRun},
    error_entry{errc::kFailed, "failed", "the work ran and failed", kFailed},
    error_entry{errc::kFailsEverywhere, "fails_everywhere", "the work failed on several hosts",
                kFailed},
    error_entry{errc::kOutcomeUnknown, "outcome_unknown", "the outcome of the work is unknown",
                kUnknown},
    error_entry{errc::kTimeout, "timeout", "timed out while waiting for an answer", kUnknown},
    error_entry{errc::kConnectionFailed, "connection_failed", "the connection failed", kUnknown},
    error_entry{errc::kStaleTerm, "stale_term", "the claim has a newer term", kNotRun},
    error_entry{errc::kClaimHeld, "claim_held", "another process holds the claim", kNotRun},
    error_entry{errc::kVoided, "voided", "the attempt was voided before it started", kNotRun},
    error_entry{errc::kHostLost, "host_lost", "the host was lost while the work ran", kUnknown},
    error_entry{errc::kNotOwner, "not_owner", "the process does not own the partition", kNotRun},
    error_entry{errc::kNotHolder, "not_holder", "the process does not hold the host", kNotRun},
    error_entry{errc::kRetryBudgetExhausted, "retry_budget_exhausted",
                "the retry budget is exhausted", kFailed},
    error_entry{errc::kOffsetForgotten, "offset_forgotten", "the offset is no longer in the log",
                kNotRun},
    error_entry{errc::kHttpStatus, "http_status", "unexpected HTTP status", kUnknown},
    error_entry{errc::kInternal, "internal", "internal error", kUnknown},
};

const error_entry& FindEntry(errc code) {
  const auto* entry = std::find_if(kErrors.begin(), kErrors.end(),
                                   [code](const error_entry& r) { return r.code == code; });
  return entry == kErrors.end() ? kErrors.back() : *entry;
}

class sycamorehinge_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "sycamorehinge"; }
  std::string message(int value) const override {
    return std::string(FindEntry(static_cast<errc>(value)).message);
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

std::string_view ErrorName(errc code) { return FindEntry(code).name; }

std::optional<errc> ErrorByName(std::string_view name) {
  for (const error_entry& entry : kErrors) {
    if (entry.name == name) return entry.code;
  }
  return std::nullopt;
}

work_outcome OutcomeOf(errc code) { return FindEntry(code).outcome; }

}  // namespace sycamorehinge
