// Decides from histories alone whether the scheduler kept its guarantees (docs/design.md, P1..P8).
#ifndef SYCAMOREHINGE_TESTING_CHECKER_H_
#define SYCAMOREHINGE_TESTING_CHECKER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/testing/history.h"

namespace sycamorehinge::testing {

struct check_options {
  // Time after which a leaving host must not get new work.
  duration leaving_grace = std::chrono::seconds(5);
  // Time within which an accepted document must be in force on every live process.
  duration document_within = std::chrono::seconds(9);
  // Findings of one promise that are kept as text; all are counted.
  std::size_t shown_findings = 5;
};

struct promise_result {
  // For example "P1 room".
  std::string_view name;
  std::uint64_t broken = 0;
  std::vector<std::string> findings;
};

struct check_summary {
  // Jobs accepted, and requests done or failed.
  std::uint64_t accepted = 0;
  // Requests answered and jobs succeeded.
  std::uint64_t done = 0;
  // Work that every sending was told "not run" for.
  std::uint64_t not_run = 0;
  // Work whose caller cannot know whether it ran.
  std::uint64_t unknown = 0;
  // Accepted jobs that no process knows any more.
  std::uint64_t lost = 0;
  // Tasks or keys that ran in two places at once or more often than allowed.
  std::uint64_t doubled = 0;
  // Starts beyond the room of a host.
  std::uint64_t overfilled = 0;
};

struct check_report {
  std::vector<promise_result> promises;
  check_summary summary;

  bool Held() const;
  // Null if there is no such promise.
  const promise_result* Find(std::string_view name) const;
};

// Names of the promises in the report.
inline constexpr std::string_view kRoomPromise = "P1 room";
inline constexpr std::string_view kSinglePromise = "P2 single";
inline constexpr std::string_view kAnswersPromise = "P3 answers";
inline constexpr std::string_view kNotRunPromise = "P4 not_run";
inline constexpr std::string_view kOncePromise = "P5 once";
inline constexpr std::string_view kLeavingPromise = "P6 leaving";
inline constexpr std::string_view kGracefulPromise = "P7 graceful";
inline constexpr std::string_view kOrderPromise = "P8 order";
inline constexpr std::string_view kInForcePromise = "P8 in_force";
inline constexpr std::string_view kJobsPromise = "jobs";

// The events may come in any order, from any number of files.
check_report Check(std::span<const history_event> events, const check_options& options);

// One line a promise, its first findings indented below it, and the summary line.
std::string ToString(const check_report& report);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_CHECKER_H_
