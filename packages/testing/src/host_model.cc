#include "sycamorehinge/testing/host_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorehinge::testing {

namespace {

// Ended attempts remembered for void and repeated starts; bounds the memory of long runs.
constexpr std::size_t kRememberedRuns = 20'000;
// Time in which a failing worker ends a task.
constexpr duration kFailureTime = std::chrono::milliseconds(5);

std::int64_t UnsignedOr(const nlohmann::json& object, const char* key, std::int64_t fallback) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<std::int64_t>() : fallback;
}

}  // namespace

std::string_view ToString(run_state state) {
  switch (state) {
    case run_state::kRunning:
      return "running";
    case run_state::kSucceeded:
      return "succeeded";
    case run_state::kFailed:
      return "failed";
    case run_state::kLapsed:
      return "lapsed";
    case run_state::kStopped:
      return "stopped";
  }
  return "failed";
}

host_model::host_model(host_settings settings, time_point now) : settings_(std::move(settings)) {
  Record(now, host_present{settings_.host.value, settings_.capacity});
}

bool host_model::Holds(std::uint64_t term, time_point now) const {
  return term == term_ && !holder_.empty() && now < claimed_until_;
}

claim_grant host_model::Grant(time_point now) const {
  claim_grant grant{term_, settings_.capacity, leaving_, {}};
  for (const auto& [id, work] : runs_) {
    if (work.task.state != run_state::kRunning && !work.reported) continue;
    grant.tasks.push_back(work.task);
    if (now - work.started >= settings_.usage_lag) grant.tasks.back().used = work.actual;
  }
  return grant;
}

void host_model::Renew(std::span<const attempt_id> keep, time_point now) {
  for (const attempt_id& id : keep) {
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.task.state != run_state::kRunning) continue;
    if (found->second.lease > duration::zero()) {
      found->second.lease_until = now + found->second.lease;
    }
  }
}

claim_reply host_model::Claim(const claim_order& order, time_point now) {
  Advance(now);
  const bool lapsed = holder_.empty() || now >= claimed_until_;
  const bool renewal = order.term != 0 && order.term == term_ && order.holder == holder_ && !lapsed;
  // A holder that asks for a new claim has restarted; the new term fences its earlier starts.
  const bool fresh = order.term == 0 && (lapsed || order.holder == holder_);
  if (!renewal && !fresh) {
    if (lapsed) return claim_refusal{{}, term_, duration::zero()};
    return claim_refusal{holder_, term_, claimed_until_ - now};
  }
  if (fresh) {
    holder_ = order.holder;
    ++term_;
    Record(now, claim_taken{settings_.host.value, holder_.value, term_});
  }
  claimed_until_ = now + order.ttl;
  Renew(order.keep, now);
  for (const attempt_id& id : order.ack) {
    const auto found = runs_.find(id);
    if (found != runs_.end() && found->second.task.state != run_state::kRunning) runs_.erase(found);
  }
  return Grant(now);
}

errc host_model::RefuseStart(std::uint64_t term, const attempt_id& id, time_point now) {
  errc code = errc::kOk;
  if (!Holds(term, now)) {
    code = errc::kStaleTerm;
  } else if (tombstones_.contains(id)) {
    code = errc::kVoided;
  }
  if (code != errc::kOk) {
    Record(now, start_refused{settings_.host.value, ToString(id), std::string(ErrorName(code))});
  }
  return code;
}

host_model::run& host_model::Begin(run work, std::string_view key, std::uint64_t content,
                                   time_point now) {
  work.started = now;
  const attempt_id id = work.task.id;
  Record(now, attempt_started{settings_.host.value, ToString(id), std::string(key), work.term,
                              content, work.task.size});
  taken_ += work.task.size;
  if (!settings_.capacity.CanFit(taken_)) {
    Record(now, host_overfilled{settings_.host.value, ToString(id)});
  }
  return runs_.insert_or_assign(id, std::move(work)).first->second;
}

errc host_model::Start(const start_order& order, time_point now) {
  Advance(now);
  if (const errc code = RefuseStart(order.term, order.id, now); code != errc::kOk) return code;
  if (runs_.contains(order.id) || past_.contains(order.id)) return errc::kOk;
  run work;
  work.task = {
      order.id, order.tenant, order.work_class, order.preemptible, order.size, run_state::kRunning,
      {}};
  work.term = order.term;
  work.lease = order.lease;
  if (order.lease > duration::zero()) work.lease_until = now + order.lease;
  const auto payload = nlohmann::json::parse(order.payload, nullptr, false);
  work.actual = order.size;
  duration run_time = order.run_time;
  if (payload.is_object()) {
    run_time = std::chrono::milliseconds(
        UnsignedOr(payload, "actual_run_ms", order.run_time / std::chrono::milliseconds(1)));
    work.actual.cores_milli = UnsignedOr(payload, "actual_cores_milli", order.size.cores_milli);
    work.actual.memory_mb = UnsignedOr(payload, "actual_memory_mb", order.size.memory_mb);
    if (payload.contains("fail") && payload["fail"] == true) work.end_state = run_state::kFailed;
  }
  if (run_time > duration::zero()) work.ends = now + run_time;
  if (failing_) {
    work.end_state = run_state::kFailed;
    work.ends = now + kFailureTime;
  }
  Begin(std::move(work), "", StableHash(order.payload), now);
  return errc::kOk;
}

execute_reply host_model::Execute(const execute_order& order, time_point now) {
  Advance(now);
  if (const errc code = RefuseStart(order.term, order.id, now); code != errc::kOk) return code;
  if (runs_.contains(order.id) || past_.contains(order.id)) return ExecuteResult(order.id, now);
  run work;
  work.task.id = order.id;
  work.task.size.slots = 1;
  work.actual.slots = 1;
  work.request = true;
  work.term = order.term;
  work.ends = now + (failing_ ? kFailureTime : settings_.service_time);
  work.end_state = failing_ ? run_state::kFailed : run_state::kSucceeded;
  work.answer = failing_ ? std::string() : "done:" + order.body;
  Begin(std::move(work), order.key, StableHash(order.body), now);
  return ExecuteResult(order.id, now);
}

execute_reply host_model::ExecuteResult(const attempt_id& id, time_point now) {
  Advance(now);
  const auto running = runs_.find(id);
  if (running != runs_.end() && running->second.task.state == run_state::kRunning) {
    return execute_pending{running->second.ends};
  }
  const auto past = past_.find(id);
  if (past == past_.end() || past->second.state != run_state::kSucceeded) return errc::kFailed;
  return execute_done{past->second.answer};
}

void host_model::End(run& work, run_state state, time_point at) {
  work.task.state = state;
  taken_ -= work.task.size;
  const attempt_id& id = work.task.id;
  Record(at, attempt_ended{settings_.host.value, ToString(id), std::string(ToString(state))});
  past_[id] = {state, state == run_state::kSucceeded ? std::move(work.answer) : std::string()};
  // The outcome of a request travels in its answer; a later holder has seen it only in claims.
  work.reported = !work.request || work.term != term_;
  if (!work.request) return;
  past_order_.push_back(id);
  if (past_order_.size() <= kRememberedRuns) return;
  past_.erase(past_order_.front());
  past_order_.pop_front();
}

void host_model::Advance(time_point now) {
  for (auto next = runs_.begin(); next != runs_.end();) {
    run& work = next->second;
    if (work.task.state == run_state::kRunning) {
      if (work.lease_until <= now && work.lease_until < work.ends) {
        End(work, run_state::kLapsed, work.lease_until);
      } else if (work.ends <= now) {
        End(work, work.end_state, work.ends);
      }
    }
    const bool forget = work.task.state != run_state::kRunning && !work.reported;
    next = forget ? runs_.erase(next) : std::next(next);
  }
}

result<void_reply> host_model::Void(std::uint64_t term, const attempt_id& id, time_point now) {
  Advance(now);
  if (!Holds(term, now)) return errc::kStaleTerm;
  const auto running = runs_.find(id);
  if (running != runs_.end() && running->second.task.state == run_state::kRunning) {
    return void_reply{"running", {}};
  }
  const auto past = past_.find(id);
  if (past != past_.end()) {
    const bool succeeded = past->second.state == run_state::kSucceeded;
    return void_reply{succeeded ? "succeeded" : "failed", past->second.answer};
  }
  if (tombstones_.emplace(id, now).second) {
    Record(now, attempt_voided{settings_.host.value, ToString(id)});
  }
  return void_reply{"never", {}};
}

errc host_model::Stop(std::uint64_t term, const attempt_id& id, time_point now) {
  Advance(now);
  if (!Holds(term, now)) return errc::kStaleTerm;
  const auto found = runs_.find(id);
  if (found != runs_.end() && found->second.task.state == run_state::kRunning) {
    End(found->second, run_state::kStopped, now);
  }
  return errc::kOk;
}

errc host_model::Checkpoint(std::uint64_t term, const attempt_id& id, time_point now) {
  Advance(now);
  if (!Holds(term, now)) return errc::kStaleTerm;
  return runs_.contains(id) ? errc::kOk : errc::kFailed;
}

errc host_model::Throttle(std::uint64_t term, const attempt_id& id, std::uint32_t percent,
                          time_point now) {
  Advance(now);
  if (!Holds(term, now)) return errc::kStaleTerm;
  if (percent == 0 || percent > 100) return errc::kMalformed;
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.task.state != run_state::kRunning) return errc::kFailed;
  run& work = found->second;
  work.actual.cores_milli = work.actual.cores_milli * percent / 100;
  if (work.ends != time_point::max()) work.ends = now + (work.ends - now) * 100 / percent;
  return errc::kOk;
}

errc host_model::Release(const process_id& holder, std::uint64_t term, time_point now) {
  Advance(now);
  if (!Holds(term, now) || holder != holder_) return errc::kStaleTerm;
  holder_ = {};
  return errc::kOk;
}

void host_model::SetLeaving(bool leaving, time_point now) {
  if (leaving == leaving_) return;
  leaving_ = leaving;
  Record(now, leaving_changed{settings_.host.value, leaving});
}

void host_model::Restart(time_point now) {
  Advance(now);
  holder_ = {};
  for (auto& [id, work] : runs_) {
    if (work.task.state == run_state::kRunning) End(work, run_state::kFailed, now);
  }
}

std::vector<history_event> host_model::TakeEvents() { return std::exchange(events_, {}); }

}  // namespace sycamorehinge::testing
