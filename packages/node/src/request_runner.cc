#include "request_runner.h"

#include "parts.h"

namespace sycamorehinge {

namespace {

request_answer Refusal(errc code, std::string detail = {}, duration retry_after = {}) {
  request_answer answer;
  answer.code = code;
  answer.detail = std::move(detail);
  answer.retry_after = retry_after;
  return answer;
}

// Checks the names of a request against the document in force.
errc CheckNames(const environment_document* document, const caller_request& request) {
  if (document == nullptr) return errc::kUnknownEnvironment;
  if (document->FindService(request.service.value) == nullptr) return errc::kUnknownService;
  if (document->FindClass(request.work_class.value) == nullptr) return errc::kUnknownClass;
  if (document->FindTenant(request.tenant.value) == nullptr) return errc::kUnknownTenant;
  if (!request.idempotent && request.key.empty()) return errc::kMalformed;
  return errc::kOk;
}

work_event CountOf(errc code) {
  if (code == errc::kOk) return work_event::kSucceeded;
  switch (OutcomeOf(code)) {
    case work_outcome::kNotRun:
      return work_event::kRefused;
    case work_outcome::kUnknown:
      return work_event::kUnknown;
    case work_outcome::kFailed:
      return work_event::kFailed;
  }
  return work_event::kUnknown;
}

}  // namespace

request_runner::request_runner(entry_node::parts& parts) : parts_(parts) {}

void request_runner::FromCaller(caller_request request, answer_function reply) {
  Accept(std::move(request), std::move(reply), true);
}

void request_runner::FromPeer(caller_request request, answer_function reply) {
  Accept(std::move(request), std::move(reply), false);
}

void request_runner::Accept(caller_request request, answer_function reply, bool may_forward) {
  const auto document = parts_.documents.Find(request.environment);
  errc wrong = CheckNames(document.get(), request);
  if (document == nullptr && !parts_.documents.Loaded()) wrong = errc::kNotReady;
  if (wrong != errc::kOk) {
    reply(Refusal(wrong));
    return;
  }
  if (request.time_left <= duration{}) {
    request.time_left = document->FindService(request.service.value)->timeout;
  }
  ++in_flight_;
  parts_.Count(work_event::kAccepted, request.tenant, request.work_class);
  auto counted = [this, reply = std::move(reply), tenant = request.tenant,
                  work_class = request.work_class,
                  trace = request.trace](const request_answer& answer) {
    parts_.Count(CountOf(answer.code), tenant, work_class);
    if (answer.code == errc::kOutcomeUnknown) {
      parts_.Event(event_number::kOutcomeUnknown, {{"tenant", tenant.value}, {"request", trace}});
    }
    reply(answer);
    --in_flight_;
  };
  if (request.idempotent) {
    RunUnkeyed(std::move(request), std::move(counted), may_forward);
  } else {
    const time_point deadline = parts_.Now() + request.time_left;
    RunKeyed(std::move(request), std::move(counted), may_forward, deadline);
  }
}

void request_runner::RunKeyed(caller_request request, answer_function reply, bool may_forward,
                              time_point deadline) {
  const auto document = parts_.documents.Find(request.environment);
  const tenant_rule* tenant =
      document == nullptr ? nullptr : document->FindTenant(request.tenant.value);
  if (tenant == nullptr) {
    reply(Refusal(errc::kUnknownTenant));
    return;
  }
  const partition_number partition = PartitionOfKey(
      request.tenant, request.key, tenant->home, parts_.options.regions, parts_.options.partitions);
  if (parts_.partitions.IsOwner(partition)) {
    RunKeyedHere(partition, std::move(request), std::move(reply), deadline);
    return;
  }
  const process_id owner = parts_.alive.KnownOwner(partition);
  if (may_forward && !owner.empty() && owner != parts_.options.self) {
    SendKeyed(owner, request, std::move(reply), deadline);
    return;
  }
  const time_point now = parts_.Now();
  if (!may_forward || now + kOwnerRetry >= deadline) {
    reply(Refusal(errc::kHomeUnreachable));
    return;
  }
  // The partition is between two owners.
  parts_.At(now + kOwnerRetry, [this, request = std::move(request), reply = std::move(reply),
                                deadline] { RunKeyed(request, reply, true, deadline); });
}

void request_runner::RunKeyedHere(partition_number partition, caller_request request,
                                  answer_function reply, time_point deadline) {
  keyed_request keyed{
      request.environment,      request.tenant, request.work_class, request.service, request.key,
      StableHash(request.body), deadline};
  request.time_left = deadline - parts_.Now();
  const std::uint64_t call =
      parts_.keyed_calls.Add({std::move(request), std::move(reply)}, deadline);
  parts_.partitions.Handle(partition,
                           keyed_request_arrived{call, std::move(keyed), parts_.port.wall_ms()});
}

void request_runner::SendKeyed(const process_id& owner, const caller_request& request,
                               answer_function reply, time_point deadline) {
  caller_request copy = request;
  copy.time_left = deadline - parts_.Now();
  parts_.peers.Call(
      owner, forward_request{0, std::move(copy)}, deadline,
      [this, request, reply = std::move(reply), deadline](errc code, const peer_message* message) {
        const auto* answer = message == nullptr ? nullptr : std::get_if<request_answer>(message);
        const bool moved = MayRouteAgain(code, answer == nullptr ? nullptr : &answer->code);
        const time_point again = parts_.Now() + kOwnerRetry;
        if (moved && again < deadline) {
          // Nothing was sent or nothing ran there: the partition has moved.
          parts_.At(again,
                    [this, request, reply, deadline] { RunKeyed(request, reply, true, deadline); });
        } else if (answer != nullptr) {
          reply(*answer);
        } else {
          reply(Refusal(RefusalOfUnanswered(code), "ask again with the same key"));
        }
      });
}

void request_runner::RunUnkeyed(caller_request request, answer_function reply, bool may_forward) {
  const std::uint64_t number = ++last_;
  const time_point now = parts_.Now();
  CountFirstAttempt(request.environment);
  const pool_key key{request.environment, request.service};
  {
    request_shard& shard = Shard(number);
    const std::lock_guard lock(shard.mutex);
    request_state& state = shard.requests[number];
    state.deadline = now + request.time_left;
    state.arrived = now;
    state.request = std::move(request);
    state.reply = std::move(reply);
    state.may_forward = may_forward;
  }
  Offer(number);
}

void request_runner::Offer(std::uint64_t number) {
  work_item item;
  pool_key key;
  {
    request_shard& shard = Shard(number);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.requests.find(number);
    if (found == shard.requests.end()) return;
    const request_state& state = found->second;
    item.id = {{{kNoPartition, parts_.options.incarnation, number}, 0}, state.attempt};
    item.kind = work_kind::kRequest;
    item.tenant = state.request.tenant;
    item.work_class = state.request.work_class;
    item.deadline = state.deadline;
    item.avoid = state.avoid;
    key = {state.request.environment, state.request.service};
  }
  const auto document = parts_.documents.Find(key.environment);
  const service_rule* service =
      document == nullptr ? nullptr : document->FindService(key.service.value);
  item.size.slots = service == nullptr ? 1 : service->slots;
  parts_.pools.Offer(key, std::move(item), request_work{number});
}

void request_runner::Placed(std::uint64_t request, const work_item& item, const placement& place) {
  caller_request copy;
  {
    request_shard& shard = Shard(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.requests.find(request);
    if (found == shard.requests.end()) {
      copy.time_left = duration{-1};
    } else {
      copy = found->second.request;
      copy.time_left = found->second.deadline - parts_.Now();
    }
  }
  if (copy.time_left <= duration{}) {
    parts_.claims.ReturnHold(place.host, item.id);
    Finish(request, Refusal(errc::kDeadlinePassed));
    return;
  }
  parts_.claims.Execute(item.id, place, copy,
                        [this, request, host = place.host](const execute_outcome& outcome) {
                          OnExecuted(request, host, outcome);
                        });
}

void request_runner::OnExecuted(std::uint64_t number, const host_id& host,
                                const execute_outcome& outcome) {
  request_answer answer;
  answer.code = outcome.code;
  answer.fact = outcome.fact;
  answer.body = outcome.answer;
  if (outcome.fact == attempt_fact::kSucceeded) {
    Finish(number, answer);
    return;
  }
  if (Retry(number, host)) return;
  switch (outcome.fact) {
    case attempt_fact::kNever:
      answer.code = errc::kNoRoom;
      break;
    case attempt_fact::kFailed:
      answer.code = errc::kFailed;
      break;
    default:
      answer.code = errc::kOutcomeUnknown;
  }
  Finish(number, answer);
}

bool request_runner::Retry(std::uint64_t number, const host_id& host) {
  time_point when;
  {
    request_shard& shard = Shard(number);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.requests.find(number);
    if (found == shard.requests.end()) return false;
    request_state& state = found->second;
    const auto document = parts_.documents.Find(state.request.environment);
    if (document == nullptr || state.attempt + 1 >= document->retry.max_attempts) return false;
    when = parts_.Now() + RetryDelay(document->retry, state.attempt + 1, parts_.Random());
    if (when >= state.deadline || !TakeRetry(state.request.environment)) return false;
    parts_.Count(work_event::kRetried, state.request.tenant, state.request.work_class);
    ++state.attempt;
    state.avoid.push_back(host);
  }
  parts_.At(when, [this, number] { Offer(number); });
  return true;
}

void request_runner::CountFirstAttempt(const environment_id& environment) {
  const std::lock_guard lock(budget_mutex_);
  budgets_.try_emplace(environment, parts_.options.retries).first->second.CountFirstAttempt();
}

bool request_runner::TakeRetry(const environment_id& environment) {
  const std::lock_guard lock(budget_mutex_);
  return budgets_.try_emplace(environment, parts_.options.retries).first->second.TryRetry();
}

void request_runner::Refused(std::uint64_t request, errc reason, duration retry_after) {
  Finish(request, Refusal(reason, {}, retry_after));
}

void request_runner::Forward(std::uint64_t request, const process_id& peer) {
  caller_request copy;
  time_point deadline;
  {
    request_shard& shard = Shard(request);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.requests.find(request);
    if (found == shard.requests.end()) return;
    copy = found->second.request;
    deadline = found->second.deadline;
  }
  copy.time_left = deadline - parts_.Now();
  parts_.peers.Call(peer, forward_request{0, std::move(copy)}, deadline,
                    [this, request](errc code, const peer_message* message) {
                      const auto* answer =
                          message == nullptr ? nullptr : std::get_if<request_answer>(message);
                      if (answer != nullptr) {
                        Finish(request, *answer);
                      } else if (code == errc::kConnectionFailed) {
                        Offer(request);
                      } else {
                        Finish(request, Refusal(errc::kOutcomeUnknown));
                      }
                    });
}

void request_runner::Finish(std::uint64_t number, const request_answer& answer) {
  request_state state;
  {
    request_shard& shard = Shard(number);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.requests.find(number);
    if (found == shard.requests.end()) return;
    state = std::move(found->second);
    shard.requests.erase(found);
  }
  parts_.Record(latency::kAnswerTime, state.request.tenant, state.request.work_class,
                parts_.Now() - state.arrived);
  state.reply(answer);
}

}  // namespace sycamorehinge
