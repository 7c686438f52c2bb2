// Carries out the scheduler's actions: calls to hosts, the journal and the policy service, and the
// handling of their answers.
#include <utility>

#include "cell_owner.h"

namespace sycamorehinge::control {

namespace {

constexpr duration kFenceCallTimeout = std::chrono::milliseconds(1000);

std::int64_t Milliseconds(duration time) { return time.count() / 1000; }

}  // namespace

void cell_owner::Execute(const effect& item) {
  if (item.run) item.run();
  if (!item.action) return;
  const std::uint64_t epoch = item.epoch;
  std::visit(overloaded{[&](const cell::write_record& write) {
                          const auto journal = state_.View([&](const state& s) {
                            return s.epoch == epoch ? s.journal : nullptr;
                          });
                          if (journal) journal->Add(write.sequence, write.record);
                        },
                        [&](const cell::poll_host& poll) { PollHost(epoch, poll); },
                        [&](const cell::start_task& start) { StartTask(epoch, start); },
                        [&](const cell::stop_task& stop) { StopTask(epoch, stop); },
                        [&](const cell::throttle_task& pace) {
                          port_.throttle_task(pace, [](cell::call_outcome) {});
                        },
                        [&](const cell::request_advice& ask) { RequestAdvice(epoch, ask); },
                        [&](const cell::fence_owner& call) { FenceOwner(epoch, call); },
                        [&](const cell::step_down&) { OnFencedOut(epoch, "fenced by a host"); },
                        [&](const cell::log_decision& note) { LogDecision(epoch, note); },
                        [](const cell::answer_call&) {}},
             *item.action);
}

void cell_owner::LogDecision(std::uint64_t epoch, const cell::log_decision& note) {
  log_.Write(note);
  if (note.kind != cell::decision_kind::kRecoveryFinished) return;
  const auto claimed = state_.View(
      [&](const state& s) { return s.epoch == epoch ? s.claim_started : time_point::max(); });
  if (claimed != time_point::max()) log_.RecordTakeoverTime("recovered", port_.now() - claimed);
}

void cell_owner::PollHost(std::uint64_t epoch, const cell::poll_host& poll) {
  const time_point sent = port_.now();
  port_.poll_host(poll, [this, epoch, host = poll.host, sent](cell::call_outcome outcome,
                                                              const cell::host_report* seen) {
    UpdateScheduler(epoch, [&](cell::scheduler& scheduler) {
      scheduler.OnPollResult(host, sent, outcome, seen, port_.now());
    });
  });
}

void cell_owner::StartTask(std::uint64_t epoch, const cell::start_task& start) {
  const time_point sent = port_.now();
  port_.start_task(start, [this, epoch, host = start.host, task = start.task, run = start.run,
                           sent](const cell::start_report& answer) {
    UpdateScheduler(epoch, [&](cell::scheduler& scheduler) {
      scheduler.OnStart(host, task, run, sent, answer, port_.now());
    });
  });
}

void cell_owner::StopTask(std::uint64_t epoch, const cell::stop_task& stop) {
  port_.stop_task(stop, [this, epoch, host = stop.host, task = stop.task,
                         run = stop.run](cell::call_outcome outcome) {
    UpdateScheduler(epoch, [&](cell::scheduler& scheduler) {
      scheduler.OnStop(host, task, run, outcome, port_.now());
    });
  });
}

// A process that owned the cell has ended if nothing listens at its address.
void cell_owner::FenceOwner(std::uint64_t epoch, const cell::fence_owner& call) {
  port_.call_peer(call.address, fence_call{epoch}, kFenceCallTimeout,
                  [this, epoch, address = call.address](const result<peer_answer>& outcome) {
                    const bool confirmed = outcome && outcome->code == errc::kOk;
                    const bool ended = !outcome && outcome.detail() == kNoListenerDetail;
                    if (!confirmed && !ended) return;
                    UpdateScheduler(epoch, [&](cell::scheduler& scheduler) {
                      scheduler.OnOwnerFenced(address, port_.now());
                    });
                  });
}

void cell_owner::RequestAdvice(std::uint64_t epoch, const cell::request_advice& ask) {
  std::optional<member_info> chosen;
  Update([&](state& s, effects&) {
    chosen = s.advice.Choose(ask.service_time, port_.now());
    const bool owned = s.HasBegun() && s.epoch == epoch;
    if (!chosen && owned) s.scheduler->OnAdvice(ask.request_id, false, {}, port_.now());
  });
  if (!chosen) return;
  const member_info& member = *chosen;
  const duration timeout = ask.service_time * 2 + options_.advice_timeout_margin;
  const time_point sent = port_.now();
  const auto done = [this, epoch, question = ask.request_id, name = member.name,
                     sent](const result<std::vector<approved_host>>& outcome) {
    if (!outcome) {
      log_.Write(event_number::kAdviceUnanswered, {{"member", name},
                                                   {"cause", ErrorName(outcome.code())},
                                                   {"detail", outcome.detail()},
                                                   {"after_ms", Milliseconds(port_.now() - sent)}});
    }
    OnAdvised(epoch, question, name, outcome);
  };
  if (member.name == options_.self.name) {
    return port_.advise(ask.step, ask.hosts, timeout, done);
  }
  port_.call_peer(member.address, advice_call{ask.step, ask.hosts}, timeout,
                  [done](const result<peer_answer>& outcome) {
                    if (!outcome) return done({outcome.code(), std::string(outcome.detail())});
                    if (outcome->code != errc::kOk) return done(outcome->code);
                    done(outcome->approved);
                  });
}

void cell_owner::OnAdvised(std::uint64_t epoch, std::uint64_t question, const std::string& member,
                           const result<std::vector<approved_host>>& outcome) {
  const time_point now = port_.now();
  Update([&](state& s, effects&) {
    s.advice.OnFinished(member, outcome.code(), now);
    if (!s.HasBegun() || s.epoch != epoch) return;
    std::vector<std::pair<host_id, std::string>> approved;
    if (outcome) {
      for (const approved_host& row : *outcome) approved.emplace_back(row.host, row.ticket);
    }
    s.scheduler->OnAdvice(question, bool(outcome), approved, now);
  });
}

}  // namespace sycamorehinge::control
