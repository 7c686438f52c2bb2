// Events of all histories, arranged for the checks.
#ifndef SYCAMOREHINGE_TESTING_CHECK_INDEX_H_
#define SYCAMOREHINGE_TESTING_CHECK_INDEX_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/testing/checker.h"
#include "sycamorehinge/testing/history.h"

namespace sycamorehinge::testing {

// One stay of an attempt on a host.
struct run_interval {
  attempt_started start;
  time_point from;
  // time_point::max() while it runs.
  time_point to = time_point::max();
  std::string end_state;
};

// One sending of a request or job, with its answer.
struct sending {
  std::string entry;
  time_point at;
  bool answered = false;
  time_point answered_at = time_point::max();
  // As in request_answered and job_answered; "none" without an answer.
  std::string outcome = "none";
  std::string error;
  std::uint64_t expected = 0;
  std::uint64_t received = 0;
  std::string job;
};

// A request or job of a caller with all its sendings.
struct caller_work {
  std::string request;
  bool job = false;
  bool idempotent = true;
  std::string key;
  std::string work_class;
  std::uint64_t content = 0;
  std::uint32_t tasks = 1;
  std::vector<sending> sendings;
};

struct seen_state {
  time_point at;
  std::string state;
  std::string error;
};

struct process_life {
  // Multiply of each change, oldest first.
  std::vector<std::pair<time_point, std::string>> changes;
};

struct seen_version {
  time_point at;
  std::uint64_t version = 0;
};
struct accepted_version {
  time_point at;
  std::string document;
  std::uint64_t version = 0;
};

struct check_index {
  explicit check_index(std::span<const history_event> events);

  // Runs that began with this content, oldest first.
  std::span<const std::size_t> RunsOf(std::uint64_t content) const;

  std::map<std::string, resources> capacities;
  std::vector<run_interval> runs;
  std::unordered_map<std::uint64_t, std::vector<std::size_t>> runs_by_content;
  // By host and by task, for example "p3-120-7.0".
  std::map<std::string, std::vector<std::size_t>> runs_by_host;
  std::map<std::string, std::vector<std::size_t>> runs_by_task;
  std::map<std::string, std::vector<std::pair<time_point, bool>>> leaving;
  std::uint64_t overfill_events = 0;
  platform_totals totals;

  std::map<std::string, caller_work> works;
  std::map<std::string, std::vector<seen_state>> jobs_seen;

  // By entry address.
  std::map<std::string, process_life> processes;
  // By document, then by entry address.
  std::map<std::string, std::map<std::string, std::vector<seen_version>>> versions;
  std::vector<accepted_version> accepted_versions;
  time_point last{};

 private:
  void Add(time_point at, const host_present& event);
  void Add(time_point at, const leaving_changed& event);
  void Add(time_point at, const attempt_started& event);
  void Add(time_point at, const attempt_ended& event);
  void Add(time_point at, const host_overfilled& event);
  void Add(time_point at, const platform_totals& event);
  void Add(time_point at, const request_sent& event);
  void Add(time_point at, const request_answered& event);
  void Add(time_point at, const job_sent& event);
  void Add(time_point at, const job_answered& event);
  void Add(time_point at, const job_seen& event);
  void Add(time_point at, const process_changed& event);
  void Add(time_point at, const document_accepted& event);
  void Add(time_point at, const document_seen& event);
  // Events that no check needs.
  void Add(time_point /*at*/, const claim_taken& /*event*/) {}
  void Add(time_point /*at*/, const attempt_voided& /*event*/) {}
  void Add(time_point /*at*/, const start_refused& /*event*/) {}
  void Add(time_point /*at*/, const job_cancel_sent& /*event*/) {}

  sending* FindUnanswered(const std::string& request, const std::string& entry);

  // Open runs by host and attempt.
  std::map<std::pair<std::string, std::string>, std::size_t> open_;
};

// Collects the findings of one promise.
class findings {
 public:
  findings(std::string_view name, std::size_t shown) : result_{name, 0, {}}, shown_(shown) {}

  // `at` is the time of the offending event.
  void Add(time_point at, std::string_view text);
  std::uint64_t Count() const { return result_.broken; }
  promise_result Take() { return std::move(result_); }

 private:
  promise_result result_;
  std::size_t shown_;
};

// "p3-120-7.0/1" gives "p3-120-7.0" and "p3-120-7".
std::string_view TaskOf(std::string_view attempt);
std::string_view JobOf(std::string_view attempt);
// Requests without a partition are idempotent and may run twice at once after a timeout.
bool HasPartition(std::string_view attempt);

void CheckRoom(const check_index& index, findings& found);
void CheckSingle(const check_index& index, findings& found);
void CheckLeaving(const check_index& index, duration grace, findings& found);
void CheckAnswers(const check_index& index, findings& found);
void CheckNotRun(const check_index& index, findings& found);
void CheckOnce(const check_index& index, findings& found);
void CheckGraceful(const check_index& index, findings& found);
void CheckOrder(const check_index& index, findings& found);
void CheckInForce(const check_index& index, duration within, findings& found);
// Returns the number of jobs lost, which are findings too.
std::uint64_t CheckJobs(const check_index& index, findings& found);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_CHECK_INDEX_H_
