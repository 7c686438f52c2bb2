#include "sycamorehinge/testing/checker.h"

#include <algorithm>

#include "check_index.h"

namespace sycamorehinge::testing {

namespace {

bool Any(const caller_work& work, std::string_view outcome) {
  return std::any_of(work.sendings.begin(), work.sendings.end(),
                     [&](const sending& sent) { return sent.outcome == outcome; });
}

void CountJobEnd(const check_index& index, const caller_work& work, check_summary& summary) {
  for (const sending& sent : work.sendings) {
    const auto seen = index.jobs_seen.find(sent.job);
    if (seen == index.jobs_seen.end()) continue;
    if (seen->second.back().state == "succeeded") ++summary.done;
    return;
  }
}

void Count(const check_index& index, check_summary& summary) {
  for (const auto& [request, work] : index.works) {
    const bool not_run = std::all_of(
        work.sendings.begin(), work.sendings.end(),
        [](const sending& sent) { return sent.outcome == "not_run" || sent.outcome == "refused"; });
    const bool accepted = Any(work, "accepted") || Any(work, "done") || Any(work, "failed");
    if (accepted) {
      ++summary.accepted;
      if (Any(work, "done")) ++summary.done;
      if (work.job) CountJobEnd(index, work, summary);
    } else if (not_run) {
      ++summary.not_run;
    } else {
      ++summary.unknown;
    }
  }
}

}  // namespace

bool check_report::Held() const {
  return std::all_of(promises.begin(), promises.end(),
                     [](const promise_result& promise) { return promise.broken == 0; });
}

const promise_result* check_report::Find(std::string_view name) const {
  const auto found =
      std::find_if(promises.begin(), promises.end(),
                   [name](const promise_result& promise) { return promise.name == name; });
  return found == promises.end() ? nullptr : &*found;
}

check_report Check(std::span<const history_event> events, const check_options& options) {
  const check_index index(events);
  check_report report;
  const auto run = [&](std::string_view name, auto check) {
    findings found(name, options.shown_findings);
    check(found);
    report.promises.push_back(found.Take());
    return report.promises.back().broken;
  };
  report.summary.overfilled = run(kRoomPromise, [&](findings& found) { CheckRoom(index, found); });
  report.summary.doubled = run(kSinglePromise, [&](findings& found) { CheckSingle(index, found); });
  run(kAnswersPromise, [&](findings& found) { CheckAnswers(index, found); });
  run(kNotRunPromise, [&](findings& found) { CheckNotRun(index, found); });
  report.summary.doubled += run(kOncePromise, [&](findings& found) { CheckOnce(index, found); });
  run(kLeavingPromise, [&](findings& found) { CheckLeaving(index, options.leaving_grace, found); });
  run(kGracefulPromise, [&](findings& found) { CheckGraceful(index, found); });
  run(kOrderPromise, [&](findings& found) { CheckOrder(index, found); });
  run(kInForcePromise,
      [&](findings& found) { CheckInForce(index, options.document_within, found); });
  run(kJobsPromise, [&](findings& found) { report.summary.lost = CheckJobs(index, found); });
  Count(index, report.summary);
  return report;
}

std::string ToString(const check_report& report) {
  std::string text;
  for (const promise_result& promise : report.promises) {
    text += promise.name;
    text += promise.broken == 0 ? ": held\n" : ": broken " + std::to_string(promise.broken) + "\n";
    for (const std::string& finding : promise.findings) text += "  " + finding + "\n";
  }
  const check_summary& sum = report.summary;
  text += "accepted " + std::to_string(sum.accepted) + " done " + std::to_string(sum.done) +
          " not_run " + std::to_string(sum.not_run) + " unknown " + std::to_string(sum.unknown) +
          " lost " + std::to_string(sum.lost) + " doubled " + std::to_string(sum.doubled) +
          " overfilled " + std::to_string(sum.overfilled) + "\n";
  return text;
}

}  // namespace sycamorehinge::testing
