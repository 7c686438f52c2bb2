// Error codes of sycamorehinge, as one std::error_code category.
#ifndef SYCAMOREHINGE_CORE_ERROR_H_
#define SYCAMOREHINGE_CORE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace sycamorehinge {

enum class errc {
  kOk = 0,
  // Refusals: the work did not run and will not run.
  kOverloaded = 1,
  kQuotaExceeded,
  kLogUnavailable,
  kHomeUnreachable,
  kNotReady,
  kDraining,
  kNoRoom,
  kFitsNowhere,
  kDeadlinePassed,
  kCancelled,
  // Invalid input.
  kMalformed = 100,
  kUnknownKey,
  kUnknownEnvironment,
  kUnknownService,
  kUnknownTenant,
  kUnknownClass,
  kUnknownJob,
  kTooLarge,
  kTruncated,
  kWrongVersion,
  kUnauthorized,
  kForbidden,
  kReplayed,
  kDuplicateName,
  kVersionConflict,
  kKeyReused,
  // Outcomes of work and of calls.
  kFailed = 200,
  kFailsEverywhere,
  kOutcomeUnknown,
  kTimeout,
  kConnectionFailed,
  kStaleTerm,
  kClaimHeld,
  kVoided,
  kHostLost,
  kNotOwner,
  kNotHolder,
  kRetryBudgetExhausted,
  kOffsetForgotten,
  kHttpStatus,
  kInternal,
};

// What a caller may conclude from an error about the work behind it.
enum class work_outcome { kNotRun, kUnknown, kFailed };

const std::error_category& SycamorehingeCategory() noexcept;
std::error_code make_error_code(errc code) noexcept;

// Snake-case name of the error as shown to callers, for example "log_unavailable".
std::string_view ErrorName(errc code);
// Inverse of ErrorName; nullopt for an unknown name.
std::optional<errc> ErrorByName(std::string_view name);
// Whether the work behind an error did not run, may have run, or ran and failed.
work_outcome OutcomeOf(errc code);

// A value, or an error with a human-readable detail.
template <class T>
class [[nodiscard]] result {
 public:
  result(T value) : state_(std::move(value)) {}  // NOLINT(google-explicit-constructor)
  result(errc code, std::string detail = {})     // NOLINT(google-explicit-constructor)
      : state_(failure{code, std::move(detail)}) {}

  explicit operator bool() const { return state_.index() == 0; }
  T& operator*() { return std::get<0>(state_); }
  const T& operator*() const { return std::get<0>(state_); }
  T* operator->() { return &std::get<0>(state_); }
  const T* operator->() const { return &std::get<0>(state_); }
  errc code() const { return state_.index() == 0 ? errc::kOk : std::get<1>(state_).code; }
  std::string_view detail() const {
    return state_.index() == 0 ? std::string_view() : std::string_view(std::get<1>(state_).detail);
  }

 private:
  struct failure {
    errc code;
    std::string detail;
  };
  std::variant<T, failure> state_;
};

}  // namespace sycamorehinge

template <>
struct std::is_error_code_enum<sycamorehinge::errc> : std::true_type {};

#endif  // SYCAMOREHINGE_CORE_ERROR_H_
