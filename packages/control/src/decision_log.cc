#include <charconv>
#include <string>

#include "sycamorehinge/control/control_node.h"

namespace sycamorehinge::control {

namespace {

event_number EventFor(cell::decision_kind kind) {
  using cell::decision_kind;
  switch (kind) {
    case decision_kind::kJobAccepted:
      return event_number::kCellJobAccepted;
    case decision_kind::kJobRefused:
      return event_number::kCellJobRefused;
    case decision_kind::kJobCancelled:
      return event_number::kCellJobCancelled;
    case decision_kind::kJobEnded:
      return event_number::kCellJobEnded;
    case decision_kind::kTaskStarted:
      return event_number::kCellTaskStarted;
    case decision_kind::kTaskEnded:
      return event_number::kCellTaskEnded;
    case decision_kind::kTaskLost:
      return event_number::kCellTaskLost;
    case decision_kind::kTaskStopped:
      return event_number::kCellTaskStopped;
    case decision_kind::kStartFailed:
      return event_number::kCellStartFailed;
    case decision_kind::kHostFound:
      return event_number::kCellHostFound;
    case decision_kind::kHostGone:
      return event_number::kCellHostGone;
    case decision_kind::kHostUnreachable:
      return event_number::kCellHostUnreachable;
    case decision_kind::kHostRestarted:
      return event_number::kCellHostRestarted;
    case decision_kind::kHostAvoided:
      return event_number::kCellHostAvoided;
    case decision_kind::kRecoveryFinished:
      return event_number::kRecoveryFinished;
    case decision_kind::kOwnerFenced:
      return event_number::kOwnerFenced;
    case decision_kind::kLeasesGranted:
      return event_number::kLeasesGranted;
    case decision_kind::kLeasesPaused:
      return event_number::kLeasesPaused;
    case decision_kind::kStepWaits:
      return event_number::kCellStepWaits;
    case decision_kind::kGangStarted:
      return event_number::kCellGangStarted;
    case decision_kind::kGangStopped:
      return event_number::kCellGangStopped;
    case decision_kind::kMemberAdopted:
      return event_number::kCellMemberAdopted;
  }
  return event_number::kRecoveryFinished;
}

// JOB[.OCCURRENCE.STEP.TASK/RUN], with the job number in the form that callers use; or the host.
std::string SubjectOf(const cell::log_decision& decision) {
  if (decision.task.job == 0) return decision.host;
  std::string text = cell::FormatJobNumber(decision.task.job);
  if (decision.run == 0) return text;
  for (const std::uint32_t part :
       {decision.task.occurrence, decision.task.step, decision.task.index}) {
    text += '.' + std::to_string(part);
  }
  return text + '/' + std::to_string(decision.run);
}

std::string SubjectOf(const cell_call& call) {
  const auto job =
      std::visit(overloaded{[](const pending_jobs_call&) { return cell::job_number{0}; },
                            [](const auto& row) { return row.job; }},
                 call);
  return job == 0 ? std::string() : cell::FormatJobNumber(job);
}

std::int64_t Milliseconds(duration time) { return time.count() / 1000; }

// Class label of series by tenant, which tells them from those by queue.
constexpr std::string_view kTenantClass = "tenant";

}  // namespace

// Wait times are recorded by queue and by tenant, run times by outcome.
void decision_log::RecordMetrics(const cell::log_decision& decision) const {
  if (!observer_.metric_sink) return;
  metrics& numbers = *observer_.metric_sink;
  using cell::decision_kind;
  RecordTenant(decision);
  switch (decision.kind) {
    case decision_kind::kJobAccepted:
      return numbers.Count(work_event::kAccepted, decision.cause, "jobs");
    case decision_kind::kJobCancelled:
      return numbers.Count(work_event::kCancelled, "all", "jobs");
    case decision_kind::kTaskStarted:
      numbers.Count(work_event::kStarted, decision.cause, "tasks");
      return numbers.Record(latency::kQueueWait, decision.cause, "tasks", decision.elapsed);
    case decision_kind::kTaskEnded:
      return numbers.Record(latency::kRunTime, "all", decision.cause, decision.elapsed);
    case decision_kind::kTaskLost:
      return numbers.Count(work_event::kLost, "all", "tasks");
    case decision_kind::kStartFailed:
      return numbers.Count(work_event::kRetried, "all", decision.cause);
    default:
      return;
  }
}

void decision_log::RecordTenant(const cell::log_decision& decision) const {
  if (decision.tenant.empty()) return;
  metrics& numbers = *observer_.metric_sink;
  using cell::decision_kind;
  if (decision.kind == decision_kind::kJobAccepted) {
    numbers.Count(work_event::kAccepted, decision.tenant, kTenantClass);
  } else if (decision.kind == decision_kind::kJobRefused) {
    numbers.Count(work_event::kRefused, decision.tenant, kTenantClass);
  } else if (decision.kind == decision_kind::kTaskStarted) {
    numbers.Record(latency::kQueueWait, decision.tenant, kTenantClass, decision.elapsed);
  }
}

void decision_log::RecordTakeoverTime(std::string_view stage, duration time) const {
  if (observer_.metric_sink) observer_.metric_sink->Record(latency::kTakeover, "all", stage, time);
}

void decision_log::Write(const cell::log_decision& decision) const {
  RecordMetrics(decision);
  const std::string subject = SubjectOf(decision);
  Write(EventFor(decision.kind), {{"subject", std::string_view(subject)},
                                  {"host", std::string_view(decision.host)},
                                  {"cause", std::string_view(decision.cause)},
                                  {"after_ms", Milliseconds(decision.elapsed)}});
}

void decision_log::WriteUnanswered(const cell_call& call, errc code, duration held,
                                   const owner_info& known) const {
  WriteEnded(event_number::kCallUnanswered, call, code, held, known);
}

void decision_log::WriteRefused(const cell_call& call, errc code, duration held,
                                const owner_info& owner) const {
  WriteEnded(event_number::kCallRefused, call, code, held, owner);
}

void decision_log::WriteEnded(event_number number, const cell_call& call, errc code, duration held,
                              const owner_info& owner) const {
  const std::string subject = SubjectOf(call);
  Write(number, {{"subject", std::string_view(subject)},
                 {"error", ErrorName(code)},
                 {"held_ms", Milliseconds(held)},
                 {"owner", std::string_view(owner.address)},
                 {"epoch", owner.epoch}});
}

void decision_log::WriteLate(const routed_call& call, duration age, errc outcome) const {
  const std::string job = SubjectOf(call.call);
  Write(event_number::kCallLate, {{"subject", std::string_view(call.attempt.sender)},
                                  {"job", std::string_view(job)},
                                  {"attempt", std::uint64_t{call.attempt.attempt_number}},
                                  {"outcome", ErrorName(outcome)},
                                  {"after_ms", Milliseconds(age)}});
}

void decision_log::Write(event_number number, std::initializer_list<event_field> fields) const {
  if (observer_.events) observer_.events->Write(number, fields);
}

}  // namespace sycamorehinge::control
