// The part of host_claims that starts, runs, stops and resolves work on hosts.
#include <algorithm>

#include "host_claims.h"
#include "parts.h"

namespace sycamorehinge {

namespace {

constexpr duration kResolveAgain = std::chrono::milliseconds(200);
// After this many unanswered questions only the claim's lapse can settle the attempt.
constexpr std::uint32_t kMostResolves = 50;

// What a failed start or execute call says about the attempt.
attempt_fact FactOf(const result<host_answer>& answer) {
  if (answer) return attempt_fact::kRunning;
  switch (answer.code()) {
    case errc::kStaleTerm:
    case errc::kVoided:
    case errc::kNoRoom:
    case errc::kMalformed:
      return attempt_fact::kNever;
    case errc::kFailed:
      return attempt_fact::kFailed;
    case errc::kTimeout:
    case errc::kConnectionFailed:
      return answer.detail() == "not sent" || answer.detail() == "refused"
                 ? attempt_fact::kNever
                 : attempt_fact::kUnreachable;
    default:
      return attempt_fact::kUnreachable;
  }
}

finish_kind FinishOf(attempt_fact fact) {
  if (fact == attempt_fact::kSucceeded) return finish_kind::kSucceeded;
  return fact == attempt_fact::kNever ? finish_kind::kNeverRan : finish_kind::kFailed;
}

}  // namespace

// Notes the task under the claim of `place` and confirms its room. Nullopt if the claim or the room
// is gone: no start under that term and reservation may be sent then.
std::optional<listed_host> host_claims::Admit(const placement& place, held_work work) {
  std::optional<listed_host> row;
  const attempt_id id = work.id;
  OnEntry(place.host, [&](claim_entry& entry, std::vector<notice>&) {
    if (!entry.held || entry.term != place.term) return;
    row = entry.row;
    claimed_task& task = entry.tasks[id];
    task.work = std::move(work);
    task.kept = true;
    task.started = parts_.Now();
    task.contact = task.started;
    task.reported = task.started;
    // The start itself grants a lease, which a loss must wait out like one of a renewal.
    entry.last_kept = task.started;
  });
  if (!row || parts_.pools.Confirm(PoolOf(*row), id, place)) return row;
  OnEntry(place.host, [&](claim_entry& entry, std::vector<notice>&) { entry.tasks.erase(id); });
  return std::nullopt;
}

void host_claims::Start(const attempt_id& id, const placement& place, const job_spec& spec) {
  const std::optional<listed_host> row =
      Admit(place, {id, spec.tenant, spec.work_class, spec.size, spec.preemptible});
  if (!row) {
    Report(id, place.host, place.term, attempt_fact::kNever);
    return;
  }
  start_call call{
      parts_.options.self, place.term,       id,        spec.tenant,
      spec.work_class,     spec.preemptible, spec.size, parts_.options.claims.task_lease,
      spec.run_time,       spec.payload};
  parts_.port.call_host(*row, std::move(call),
                        [this, row = *row, id, term = place.term](const auto& answer) {
                          OnStarted(row, id, term, answer);
                        });
}

void host_claims::OnStarted(const listed_host& row, const attempt_id& id, std::uint64_t term,
                            const result<host_answer>& answer) {
  const attempt_fact fact = FactOf(answer);
  if (fact == attempt_fact::kNever || fact == attempt_fact::kFailed) {
    Forget(row.host, id, FinishOf(fact));
  }
  Report(id, row.host, term, fact);
}

void host_claims::Execute(const attempt_id& id, const placement& place,
                          const caller_request& request, execute_handler handler) {
  const std::optional<listed_host> row =
      Admit(place, {id, request.tenant, request.work_class, {0, 0, 0, 1}, false});
  if (!row) {
    handler({errc::kStaleTerm, attempt_fact::kNever, {}});
    return;
  }
  parts_.port.call_host(
      *row, execute_call{place.term, id, request.key, request.time_left, request.body},
      [this, row = *row, id, term = place.term, handler = std::move(handler)](const auto& answer) {
        OnExecuted(row, id, term, answer, handler);
      });
}

void host_claims::OnExecuted(const listed_host& row, const attempt_id& id, std::uint64_t term,
                             const result<host_answer>& answer, const execute_handler& handler) {
  if (answer) {
    Forget(row.host, id, finish_kind::kSucceeded);
    const auto* executed = std::get_if<execute_answer>(&*answer);
    handler({errc::kOk, attempt_fact::kSucceeded, executed == nullptr ? "" : executed->body});
    return;
  }
  const attempt_fact fact = FactOf(answer);
  if (fact != attempt_fact::kUnreachable) {
    Forget(row.host, id, FinishOf(fact));
    handler({answer.code(), fact, {}});
    return;
  }
  // Whether the request ran is unknown: the host says, and refuses a late start from then on.
  Resolve(row.host, id, term, 0, [handler](attempt_fact known, std::string text) {
    const errc code = known == attempt_fact::kSucceeded ? errc::kOk : errc::kTimeout;
    handler({code, known, std::move(text)});
  });
}

void host_claims::Resolve(const host_id& host, const attempt_id& id, std::uint64_t term,
                          std::uint32_t tries,
                          const std::function<void(attempt_fact, std::string)>& handler) {
  const std::optional<listed_host> row = Find(host);
  if (!row || tries >= kMostResolves) {
    if (handler) handler(attempt_fact::kUnreachable, {});
    return;
  }
  parts_.port.call_host(*row, void_call{term, id},
                        [this, host, id, term, tries, handler](result<host_answer> answer) {
                          const auto* fact = answer ? std::get_if<void_answer>(&*answer) : nullptr;
                          if (fact != nullptr && fact->fact != attempt_fact::kRunning) {
                            Forget(host, id, FinishOf(fact->fact));
                            if (handler) handler(fact->fact, fact->answer);
                            return;
                          }
                          if (answer.code() == errc::kStaleTerm) {
                            if (handler) handler(attempt_fact::kUnreachable, {});
                            return;
                          }
                          parts_.At(parts_.Now() + kResolveAgain,
                                    [this, host, id, term, tries, handler] {
                                      Resolve(host, id, term, tries + 1, handler);
                                    });
                        });
}

void host_claims::Keep(const host_id& host, const attempt_id& id, std::uint64_t term) {
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>&) {
    if (!entry.held || entry.term != term) return;
    const auto found = entry.tasks.find(id);
    if (found == entry.tasks.end()) return;
    claimed_task& task = found->second;
    task.kept = true;
    // The owner counts its contact from the report, which was sent before it arrived there.
    if (task.unanswered != time_point{}) task.contact = task.unanswered;
    task.unanswered = time_point{};
  });
}

void host_claims::StopTask(const host_id& host, const attempt_id& id, bool checkpoint) {
  std::optional<listed_host> row;
  std::uint64_t term = 0;
  bool known = false;
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>&) {
    const auto found = entry.tasks.find(id);
    known = found != entry.tasks.end();
    const bool ended = known && found->second.ended;
    if (ended || !known) entry.ack.push_back(id);
    if (ended) entry.tasks.erase(found);
    if (ended || !entry.held) return;
    row = entry.row;
    term = entry.term;
  });
  if (!row) return;
  parts_.port.call_host(*row, stop_call{term, id, checkpoint},
                        [this, host, id, term, known](const result<host_answer>& answer) {
                          if (!answer && FactOf(answer) == attempt_fact::kUnreachable) return;
                          Forget(host, id, finish_kind::kCancelled);
                          // The owner answers every report on a closed attempt with a stop, so a
                          // stop of an unknown attempt must not cause another report.
                          if (known) Report(id, host, term, attempt_fact::kNever);
                        });
}

void host_claims::VoidTask(const host_id& host, const attempt_id& id) {
  std::optional<listed_host> row;
  std::uint64_t term = 0;
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>&) {
    if (!entry.held) return;
    row = entry.row;
    term = entry.term;
  });
  if (!row) {
    Report(id, host, 0, attempt_fact::kUnreachable);
    return;
  }
  parts_.port.call_host(*row, void_call{term, id},
                        [this, host, id, term](const result<host_answer>& answer) {
                          const auto* fact = answer ? std::get_if<void_answer>(&*answer) : nullptr;
                          if (fact == nullptr) {
                            Report(id, host, term, attempt_fact::kUnreachable);
                            return;
                          }
                          if (fact->fact != attempt_fact::kRunning) {
                            Forget(host, id, FinishOf(fact->fact));
                          }
                          parts_.partitions.ReportVoided(id, host, term, fact->fact, fact->answer);
                        });
}

void host_claims::Preempt(const host_id& host, const attempt_id& id) {
  std::optional<listed_host> row;
  std::uint64_t term = 0;
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>&) {
    if (!entry.held || !entry.tasks.contains(id)) return;
    row = entry.row;
    term = entry.term;
  });
  if (!row) return;
  parts_.port.call_host(*row, stop_call{term, id, true},
                        [this, host, id](const result<host_answer>& answer) {
                          if (!answer) return;
                          Forget(host, id, finish_kind::kPreempted);
                          SendToOwner(id, task_preempted{id}, attempt_preempted{id});
                        });
}

void host_claims::ReturnHold(const host_id& host, const attempt_id& id) {
  const std::optional<listed_host> row = Find(host);
  if (row) parts_.pools.Handle(PoolOf(*row), hold_released{id});
}

void host_claims::Forget(const host_id& host, const attempt_id& id, finish_kind outcome) {
  std::optional<listed_host> row;
  claimed_task task;
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>&) {
    const auto found = entry.tasks.find(id);
    if (found == entry.tasks.end()) return;
    task = std::move(found->second);
    entry.tasks.erase(found);
    row = entry.row;
  });
  if (!row) return;
  RecordRun(task);
  FinishInPool(*row, id, outcome, RunTimeOf(task));
}

duration host_claims::RunTimeOf(const claimed_task& task) const {
  // The start of a task taken over from another holder is not known.
  return task.started == time_point{} ? duration{} : parts_.Now() - task.started;
}

void host_claims::RecordRun(const claimed_task& task) const {
  const duration ran = RunTimeOf(task);
  if (ran > duration{}) {
    parts_.Record(latency::kRunTime, task.work.tenant, task.work.work_class, ran);
  }
}

void host_claims::FinishInPool(const listed_host& row, const attempt_id& id, finish_kind outcome,
                               duration ran) {
  parts_.pools.Handle(PoolOf(row), work_finished{id, row.host, outcome, ran});
}

void host_claims::Report(const attempt_id& id, const host_id& host, std::uint64_t term,
                         attempt_fact fact) {
  SendToOwner(id, task_report{id, host, term, fact, {}},
              attempt_reported{id, host, term, parts_.options.self, fact});
}

void host_claims::SendToOwner(const attempt_id& id, const peer_message& message,
                              const partition_event& event) {
  const partition_number partition = id.task.job.partition;
  if (partition == kNoPartition) return;
  if (parts_.partitions.IsOwner(partition)) {
    parts_.partitions.Handle(partition, event);
    return;
  }
  const process_id owner = parts_.alive.KnownOwner(partition);
  if (!owner.empty() && owner != parts_.options.self) parts_.peers.Send(owner, message);
}

}  // namespace sycamorehinge
