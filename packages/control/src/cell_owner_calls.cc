// Calls of jobs to the owner: which attempts it acts on, and when it may answer.
#include <algorithm>
#include <utility>

#include "cell_owner.h"

namespace sycamorehinge::control {

namespace {

constexpr duration kMinOutageRetry = std::chrono::milliseconds(1000);
constexpr duration kMaxOutageRetry = std::chrono::milliseconds(3000);

// Counts of waiting jobs may be this old.
constexpr duration kMaxCountAge = std::chrono::seconds(2);

// Callers come back soon after a short outage, and later the longer it lasts.
duration RetryAfterOutage(duration outage) {
  return std::clamp<duration>(outage / 2, kMinOutageRetry, kMaxOutageRetry);
}

// Returns whether the answer to the call has to wait for a record that is not written yet.
bool NeedsNewRecord(const cell::scheduler& scheduler, const cell_call& call) {
  return std::visit(overloaded{[&](const submit_call& row) { return !scheduler.Knows(row.job); },
                               [&](const cancel_call& row) {
                                 return !scheduler.Knows(row.job) &&
                                        !scheduler.KnowsCancel(row.job);
                               },
                               [](const auto&) { return false; }},
                    call);
}

}  // namespace

cell_owner::read_kind cell_owner::KindOf(const cell_call& call) {
  return std::visit(overloaded{[](const job_state_call&) { return read_kind::kJobState; },
                               [](const pending_jobs_call&) { return read_kind::kCount; },
                               [](const auto&) { return read_kind::kNone; }},
                    call);
}

// Returns whether this owner may act on the attempt: kOk, kNotOwner or kVoided.
errc cell_owner::CheckAttempt(state& s, const call_attempt& attempt) {
  if (!s.HasBegun() || attempt.owner_epoch != s.epoch) return errc::kNotOwner;
  return s.attempts.Admit(attempt) ? errc::kOk : errc::kVoided;
}

void cell_owner::LogIfLate(const routed_call& call, errc outcome) const {
  const duration age = std::chrono::milliseconds(port_.wall_ms() - call.attempt.sent_ms);
  if (age > kAttemptTimeout || outcome == errc::kVoided) log_.WriteLate(call, age, outcome);
}

void cell_owner::Call(const routed_call& call, peer_reply reply) {
  Update([&](state& s, effects& out) {
    const errc outcome = CheckAttempt(s, call.attempt);
    LogIfLate(call, outcome);
    if (outcome != errc::kOk) {
      peer_answer answer = ErrorAnswer(outcome);
      if (outcome == errc::kNotOwner && s.HasBegun()) answer.acting_epoch = s.epoch;
      out.push_back({s.epoch, std::nullopt, [reply = std::move(reply), answer] { reply(answer); }});
      return;
    }
    const time_point now = port_.now();
    const duration outage = s.journal->OutageAge(now);
    if (outage > duration::zero() && NeedsNewRecord(*s.scheduler, call.call)) {
      const duration retry_after =
          cell::SpreadRetry(RetryAfterOutage(outage), call.attempt.call_number);
      out.push_back({s.epoch, std::nullopt, [reply = std::move(reply), retry_after] {
                       reply(ErrorAnswer(errc::kLogUnavailable, retry_after));
                     }});
      return;
    }
    const cell::call_number number = s.next_call++;
    s.open_calls.emplace(number, open_call{std::move(reply), now, KindOf(call.call)});
    std::visit(overloaded{[&](const submit_call& submit) {
                            s.scheduler->Submit(number, submit.job, submit.queue, submit.tenant,
                                                submit.spec, now, port_.wall_ms());
                          },
                          [&](const cancel_call& cancel) {
                            s.scheduler->Cancel(number, cancel.job, cancel.tenant, port_.wall_ms());
                          },
                          [&](const job_state_call& asked) {
                            s.scheduler->State(number, asked.job, asked.tenant);
                          },
                          [&](const pending_jobs_call& pending) {
                            s.scheduler->Pending(number, pending.queue);
                          }},
               call.call);
  });
}

// Refuses submissions whose records wait behind an append that the store does not answer. Nothing
// of them was sent to the store, so they can be refused as not run instead of being held.
void cell_owner::RefuseInOutage(state& s, time_point now) {
  const duration outage = s.journal->OutageAge(now);
  if (outage == duration::zero()) return;
  const std::vector<std::uint64_t> withdrawn = s.journal->Withdraw(s.scheduler->OpenSubmissions());
  if (withdrawn.empty()) return;
  log_.Write(event_number::kSubmissionsWithdrawn,
             {{"epoch", s.epoch},
              {"count", std::uint64_t{withdrawn.size()}},
              {"outage_ms", std::int64_t{outage.count() / 1000}}});
  s.scheduler->RefuseSubmissions(withdrawn, RetryAfterOutage(outage), now);
}

// Ends the calls of submissions of which nothing was sent to the store. This owner steps down, so
// the next one can take them.
void cell_owner::ReleaseUnsentSubmissions(state& s, effects& out) {
  const std::vector<std::uint64_t> unsent = s.journal->Withdraw(s.scheduler->OpenSubmissions());
  s.scheduler->RefuseSubmissions(unsent, {}, port_.now());
  std::vector<cell::action> actions;
  s.scheduler->TakeActions(actions);
  for (const cell::action& next : actions) {
    const auto* answer = std::get_if<cell::answer_call>(&next);
    const bool released = answer && answer->code == errc::kLogUnavailable;
    const auto found = released ? s.open_calls.find(answer->call) : s.open_calls.end();
    if (found == s.open_calls.end()) continue;
    out.push_back({s.epoch, std::nullopt, [reply = std::move(found->second.reply)] {
                     reply(ErrorAnswer(errc::kNotOwner));
                   }});
    s.open_calls.erase(found);
  }
}

// Returns the time at which this process must have owned the cell for the answer to be true. An
// owner that was replaced without knowing it does not know which jobs the next one has accepted.
time_point cell_owner::NeededConfirmation(const open_call& call, errc code) {
  if (call.kind == read_kind::kCount) return call.arrived - kMaxCountAge;
  if (call.kind == read_kind::kJobState && code == errc::kUnknownJob) return call.arrived;
  // The next owner may have accepted a job that this one refuses.
  if (code == errc::kOverloaded || code == errc::kQuotaExceeded) return call.arrived;
  return time_point::min();
}

void cell_owner::SendAnswer(state& s, const cell::answer_call& answer, effects& out) {
  const auto found = s.open_calls.find(answer.call);
  if (found == s.open_calls.end()) return;
  if (s.confirmed_at < NeededConfirmation(found->second, answer.code)) {
    s.unconfirmed_answers.push_back(answer);
    out.push_back({s.epoch, std::nullopt, [journal = s.journal] { journal->Confirm(); }});
    return;
  }
  peer_answer reply;
  reply.code = answer.code;
  reply.phase = answer.phase;
  reply.pending = answer.pending;
  reply.retry_after = answer.retry_after;
  out.push_back(
      {s.epoch, std::nullopt, [reply, call = std::move(found->second.reply)] { call(reply); }});
  s.open_calls.erase(found);
}

// Ends reads that the store has not confirmed, as their senders have given up the attempt.
void cell_owner::EndUnconfirmedReads(state& s, effects& out) {
  const time_point now = port_.now();
  std::erase_if(s.unconfirmed_answers, [&](const cell::answer_call& answer) {
    const auto found = s.open_calls.find(answer.call);
    if (found != s.open_calls.end()) {
      if (now - found->second.arrived < kAttemptTimeout) return false;
      out.push_back({s.epoch, std::nullopt, [reply = std::move(found->second.reply)] {
                       reply(ErrorAnswer(errc::kNotReady));
                     }});
      s.open_calls.erase(found);
    }
    return true;
  });
}

}  // namespace sycamorehinge::control
