#include "partition_world.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge {

namespace {

constexpr int kHosts = 3;
process_id Holder() { return {"holder"}; }

std::int64_t WallMs(time_point now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

bool HasOwner(const stored_batch& stored) {
  return stored.batch.epoch == 0 && !stored.batch.records.empty();
}

}  // namespace

partition_world::partition_world(partition_options options) : options_(options) {
  for (int i = 0; i < kHosts; ++i) hosts_.push_back({{"host" + std::to_string(i)}, 1, {}});
  Take();
}

partition partition_world::Replayed(std::size_t first) const {
  partition reader(0, {"reader"}, options_);
  for (std::size_t i = first; i < log_.size(); ++i) reader.Replay(log_[i]);
  return reader;
}

void partition_world::Take() {
  const process_id self{"owner" + std::to_string(owners_.size())};
  partition core(0, self, options_);
  for (const stored_batch& stored : log_) core.Replay(stored);
  const std::uint64_t epoch = log_.size() + 1;
  log_.push_back({epoch, {0, 0, {owner_changed{self, epoch}}}});
  core.Replay(log_.back());
  owners_.emplace_back(std::move(core));
  owners_.back().known_offset = epoch;
  Handle(static_cast<int>(owners_.size()) - 1, ownership_taken{epoch, WallMs(now_)});
}

void partition_world::Handle(int owner, const partition_event& event) {
  test_owner& node = owners_[static_cast<std::size_t>(owner)];
  if (!node.alive) return;
  std::vector<partition_action> actions;
  node.core.Handle(event, now_, actions);
  for (partition_action& action : actions) {
    if (auto* emit = std::get_if<emit_record>(&action.effect)) {
      if (node.buffer.empty()) node.buffer_first = emit->sequence;
      node.buffer.push_back(std::move(emit->record));
    } else if (action.after_sequence <= node.durable) {
      Perform(owner, action.effect);
    } else {
      node.held.emplace(action.after_sequence, std::move(action.effect));
    }
  }
}

void partition_world::Perform(int owner, const partition_effect& effect) {
  test_owner& node = owners_[static_cast<std::size_t>(owner)];
  std::visit(
      overloaded{
          [&](const want_room& want) { node.wants.push_back(want.item); },
          [&](const withdraw_room& withdrawn) {
            std::erase_if(node.wants, [&](const work_item& w) { return w.id == withdrawn.id; });
          },
          [&](const start_attempt& start) {
            Send(owner, start.id, false, [=, this] { Start(owner, start); });
          },
          [&](const run_request& run) {
            Send(owner, run.id, true, [=, this] { Run(owner, run); });
          },
          [&](const void_attempt& question) {
            // Whether the attempt is a request is known to the caller's node, not to the world.
            Send(owner, question.id, false, [=, this] { Void(owner, question); });
          },
          [&](const stop_attempt& stop) { Send(owner, stop.id, false, [=, this] { Stop(stop); }); },
          [&](const keep_attempt& keep) { Send(owner, keep.id, false, [=, this] { Keep(keep); }); },
          [&](const reply_job& reply) {
            if (calls_[reply.call].is_submit) accepted_.insert(reply.job);
            Reply(owner, reply.call, errc::kOk);
          },
          [&](const reply_answer& reply) {
            if (executions_[calls_[reply.call].key] != 1) Violate("answer of a key that never ran");
            Reply(owner, reply.call, errc::kOk);
          },
          [&](const reply_error& reply) { Reply(owner, reply.call, reply.code); },
          [](const auto&) {}},
      effect);
}

void partition_world::Send(int owner, const attempt_id& id, bool is_request,
                           std::function<void()> deliver) {
  net_.push_back({std::move(deliver), [=, this] {
                    if (is_request) {
                      Handle(owner, request_answered{id, attempt_fact::kUnreachable, {}});
                    } else {
                      Handle(owner, attempt_reported{id, {}, 0, {}, attempt_fact::kUnreachable});
                    }
                  }});
}

test_host& partition_world::Host(const host_id& name) {
  return *std::find_if(hosts_.begin(), hosts_.end(),
                       [&](const test_host& host) { return host.name == name; });
}

void partition_world::Report(int owner, const test_host& host, const attempt_id& id,
                             attempt_fact fact) {
  const attempt_reported report{id, host.name, host.term, Holder(), fact};
  net_.push_back({[=, this] { Handle(owner, report); }, [] {}});
}

void partition_world::CheckTwoRuns(const attempt_id& id) {
  int running = 0;
  for (const test_host& host : hosts_) {
    for (const auto& [other, attempt] : host.attempts) {
      if (other.task == id.task && attempt.fact == attempt_fact::kRunning) ++running;
    }
  }
  if (running > 1) Violate("two attempts run: " + ToString(id));
}

void partition_world::Start(int owner, const start_attempt& start) {
  test_host& host = Host(start.place.host);
  const auto known = host.attempts.find(start.id);
  attempt_fact fact = known == host.attempts.end() ? attempt_fact::kRunning : known->second.fact;
  if (known == host.attempts.end()) {
    if (start.place.term != host.term) {
      fact = attempt_fact::kNever;
    } else {
      host.attempts[start.id] = {fact, now_ + options_.contact_ttl + options_.task_lease, {}, -1};
      CheckTwoRuns(start.id);
    }
  }
  const attempt_reported report{start.id, host.name, start.place.term, Holder(), fact};
  net_.push_back({[=, this] { Handle(owner, report); },
                  [=, this] {
                    Handle(owner, attempt_reported{report.id, report.host, report.term, Holder(),
                                                   attempt_fact::kUnreachable});
                  }});
}

void partition_world::Run(int owner, const run_request& run) {
  test_host& host = Host(run.place.host);
  const test_call& call = calls_.at(run.call);
  if (host.attempts.contains(run.id) || run.place.term != host.term) {
    const request_answered never{run.id, attempt_fact::kNever, {}};
    // Only a tombstone or a stale term refuses: a run is sent once for each attempt.
    net_.push_back({[=, this] { Handle(owner, never); },
                    [=, this] {
                      Handle(owner, request_answered{run.id, attempt_fact::kUnreachable, {}});
                    }});
    return;
  }
  host.attempts[run.id] = {attempt_fact::kRunning, time_point::max(), call.key, owner};
  if (++executions_[call.key] > 1) Violate("key runs twice: " + call.key);
  for (const auto& [number, other] : calls_) {
    if (!other.told_not_run || other.key != call.key) continue;
    if (number == run.call || other.earlier.contains(run.call)) Violate("ran after not run");
  }
}

void partition_world::Void(int owner, const void_attempt& question) {
  test_host& host = Host(question.host);
  // A missing attempt becomes a tombstone.
  const test_attempt& attempt = host.attempts[question.id];
  const attempt_id id = question.id;
  if (!attempt.key.empty()) {
    const request_answered answer{id, attempt.fact, "answer:" + attempt.key};
    net_.push_back({[=, this] { Handle(owner, answer); },
                    [=, this] {
                      Handle(owner, request_answered{id, attempt_fact::kUnreachable, {}});
                    }});
    return;
  }
  Report(owner, host, id, attempt.fact);
}

void partition_world::Stop(const stop_attempt& stop) {
  test_host& host = Host(stop.host);
  const auto found = host.attempts.find(stop.id);
  if (found == host.attempts.end() || found->second.fact != attempt_fact::kRunning) return;
  found->second.fact = attempt_fact::kFailed;
  Report(SomeOwner(0), host, stop.id, attempt_fact::kFailed);
}

void partition_world::Keep(const keep_attempt& keep) {
  test_host& host = Host(keep.host);
  const auto found = host.attempts.find(keep.id);
  if (found == host.attempts.end() || host.term != keep.term) return;
  found->second.lease_until = now_ + options_.contact_ttl + options_.task_lease;
}

void partition_world::Reply(int owner, call_number number, errc code) {
  test_call& call = calls_.at(number);
  if (call.answered) Violate("second reply to one call");
  call.answered = true;
  if (code == errc::kOk || OutcomeOf(code) != work_outcome::kNotRun) return;
  if (code == errc::kKeyReused || code == errc::kNotOwner || call.is_submit) return;
  call.told_not_run = true;
  for (const auto& [other, known] : calls_) {
    if (known.owner == owner && known.key == call.key) call.earlier.insert(other);
  }
  for (const test_host& host : hosts_) {
    for (const auto& [id, attempt] : host.attempts) {
      if (attempt.key == call.key && attempt.runner == owner) Violate("not run, but it ran");
    }
  }
}

int partition_world::SomeOwner(std::uint32_t choice) const {
  const int newest = static_cast<int>(owners_.size()) - 1;
  // One in four events goes to a replaced owner, if there is one.
  if (choice % 4 != 3) return newest;
  return static_cast<int>(choice / 4 % owners_.size());
}

void partition_world::Submit(std::uint32_t choice) {
  job_spec spec;
  spec.tenant = {"tenant"};
  spec.key = choice % 3 == 0 ? "" : "job" + std::to_string(choice / 3 % 6);
  spec.kind = choice % 5 == 0   ? work_kind::kGang
              : choice % 7 == 0 ? work_kind::kService
                                : work_kind::kBatch;
  spec.tasks = 1 + choice % 3;
  spec.idempotent = choice % 8 != 0;
  const int owner = SomeOwner(choice >> 8);
  const call_number call = next_call_++;
  calls_[call] = {owner, {}, true, false, false, {}};
  Handle(owner, submit_requested{call, spec, WallMs(now_)});
}

void partition_world::Request(std::uint32_t choice) {
  const int owner = SomeOwner(choice >> 8);
  const call_number call = next_call_++;
  keyed_request request;
  request.tenant = {"tenant"};
  request.service = {"service"};
  request.key = "key" + std::to_string(next_key_ + choice % 2);
  if (choice % 8 == 0) ++next_key_;
  request.body_hash = choice % 16 == 0 ? 2 : 1;
  request.deadline = now_ + std::chrono::seconds(1 + choice % 20);
  calls_[call] = {owner, request.key + (request.body_hash == 2 ? "x" : ""), false, false, false,
                  {}};
  Handle(owner, keyed_request_arrived{call, request, WallMs(now_)});
}

void partition_world::Cancel(std::uint32_t choice) {
  const int owner = SomeOwner(choice >> 8);
  const std::vector<job_status> jobs = owners_[static_cast<std::size_t>(owner)].core.Jobs();
  if (jobs.empty()) return;
  const call_number call = next_call_++;
  calls_[call] = {owner, {}, false, false, false, {}};
  Handle(owner, cancel_requested{call, jobs[choice % jobs.size()].job});
}

void partition_world::StartAppend(int owner) {
  test_owner& node = owners_[static_cast<std::size_t>(owner)];
  if (!node.alive || !node.core.IsOwner()) return;
  if (!node.in_flight.has_value()) {
    if (node.buffer.empty()) return;
    node.in_flight = {node.core.Epoch(), node.buffer_first, std::exchange(node.buffer, {})};
  }
  // Without an answer the same batch is sent again, so it may land twice.
  const record_batch batch = *node.in_flight;
  net_.push_back({[=, this] { Land(owner, batch); }, [] {}});
}

void partition_world::Land(int owner, const record_batch& batch) {
  if (!log_up_) return;
  const std::uint64_t offset = log_.size() + 1;
  log_.push_back({offset, batch});
  net_.push_back({[=, this] { Acknowledge(owner, offset, batch.first_sequence); }, [] {}});
}

void partition_world::Acknowledge(int owner, std::uint64_t offset, std::uint64_t first_sequence) {
  test_owner& node = owners_[static_cast<std::size_t>(owner)];
  if (!node.alive || !node.in_flight || node.in_flight->first_sequence != first_sequence) return;
  for (std::uint64_t gap = node.known_offset + 1; gap < offset; ++gap) {
    if (!HasOwner(log_[gap - 1])) continue;
    node.held.clear();
    node.buffer.clear();
    node.in_flight.reset();
    return Handle(owner, ownership_lost{});
  }
  node.known_offset = std::max(node.known_offset, offset);
  node.durable = first_sequence + node.in_flight->records.size() - 1;
  node.in_flight.reset();
  while (!node.held.empty() && node.held.begin()->first <= node.durable) {
    const partition_effect effect = node.held.begin()->second;
    node.held.erase(node.held.begin());
    Perform(owner, effect);
  }
  Handle(owner, records_durable{node.durable});
}

void partition_world::AnswerWant(int owner, std::uint32_t choice) {
  test_owner& node = owners_[static_cast<std::size_t>(owner)];
  if (!node.alive || node.wants.empty()) return;
  const auto chosen = node.wants.begin() + static_cast<std::ptrdiff_t>(choice % node.wants.size());
  const work_item item = *chosen;
  node.wants.erase(chosen);
  if (choice % 16 == 15) return Handle(owner, room_refused{item.id, errc::kOverloaded});
  room_reserved reserved{item.id, Holder(), {}};
  for (std::uint32_t i = 0; i < item.count; ++i) {
    const test_host& host = hosts_[(choice / 16 + i) % hosts_.size()];
    reserved.places.push_back({host.name, host.term});
  }
  Handle(owner, reserved);
}

void partition_world::Advance(duration by) {
  now_ += by;
  for (test_host& host : hosts_) {
    for (auto& [id, attempt] : host.attempts) {
      if (attempt.fact == attempt_fact::kRunning && attempt.lease_until < now_) {
        attempt.fact = attempt_fact::kFailed;
      }
    }
  }
  for (std::size_t i = 0; i < owners_.size(); ++i) {
    Handle(static_cast<int>(i), partition_tick{WallMs(now_)});
  }
}

void partition_world::FinishOne(std::uint32_t choice) {
  test_host& host = hosts_[choice % hosts_.size()];
  for (auto& [id, attempt] : host.attempts) {
    if (attempt.fact != attempt_fact::kRunning) continue;
    attempt.fact = choice % 5 == 0 ? attempt_fact::kFailed : attempt_fact::kSucceeded;
    if (attempt.key.empty()) return Report(SomeOwner(choice >> 8), host, id, attempt.fact);
    const request_answered answer{id, attempt.fact, "answer:" + attempt.key};
    const int owner = attempt.runner;
    net_.push_back({[=, this] { Handle(owner, answer); },
                    [=, this] {
                      Handle(owner, request_answered{answer.id, attempt_fact::kUnreachable, {}});
                    }});
    return;
  }
}

// The holder lost the host, waited out all leases and says so.
void partition_world::LoseHost(test_host& host) {
  for (auto& [id, attempt] : host.attempts) {
    if (attempt.fact != attempt_fact::kRunning || !attempt.key.empty()) continue;
    attempt.fact = attempt_fact::kFailed;
    const attempt_lost lost{id, host.term};
    const int owner = SomeOwner(0);
    net_.push_back({[=, this] { Handle(owner, lost); }, [] {}});
  }
  ++host.term;
}

// The new holder renews only leases that the owner approves; the previous one stops renewing and
// says that it lost the host after all of its leases have run out.
void partition_world::ChangeHolder(test_host& host) {
  ++host.term;
  for (auto& [id, attempt] : host.attempts) {
    if (attempt.fact != attempt_fact::kRunning || !attempt.key.empty()) continue;
    attempt.lease_until = std::min(attempt.lease_until, now_ + options_.task_lease);
    Report(SomeOwner(0), host, id, attempt.fact);
    LoseLater(SomeOwner(0), {id, host.term - 1}, now_ + options_.task_lease * 11 / 10);
  }
}

void partition_world::LoseLater(int owner, const attempt_lost& lost, time_point due) {
  net_.push_back({[=, this] {
                    if (now_ < due) return LoseLater(owner, lost, due);
                    Handle(owner, lost);
                  },
                  [] {}});
}

test_message partition_world::TakeMessage(std::uint32_t choice) {
  if (net_.empty()) return {[] {}, [] {}};
  const auto chosen = net_.begin() + static_cast<std::ptrdiff_t>(choice % net_.size());
  test_message message = std::move(*chosen);
  net_.erase(chosen);
  return message;
}

void partition_world::Step(std::uint32_t choice) {
  const std::uint32_t kind = choice % 48;
  const std::uint32_t rest = choice / 48;
  if (kind < 2) return Submit(rest);
  if (kind < 4) return Request(rest);
  if (kind < 6) return TakeMessage(rest).lose();
  if (kind < 10) return StartAppend(SomeOwner(rest));
  if (kind < 14) return AnswerWant(SomeOwner(rest), rest / 4);
  if (kind < 15) return Advance(std::chrono::seconds(rest % 16 == 0 ? 70 : rest % 4 == 0 ? 6 : 1));
  if (kind < 16) return Advance(std::chrono::milliseconds(rest % 900));
  if (kind < 18) return FinishOne(rest);
  if (kind < 22) return Disturb(kind, rest);
  TakeMessage(rest).deliver();
}

void partition_world::Disturb(std::uint32_t kind, std::uint32_t choice) {
  if (choice % 4 != 0) return;
  const std::uint32_t rest = choice / 4;
  test_host& host = hosts_[rest % hosts_.size()];
  if (kind == 18) return rest % 2 == 0 ? LoseHost(host) : ChangeHolder(host);
  if (kind == 19) return Cancel(rest);
  if (kind == 20) {
    log_up_ = !log_up_;
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      Handle(static_cast<int>(i), log_availability{log_up_});
    }
    return;
  }
  // Half of the replaced owners go on without knowing that they were replaced.
  if (rest % 2 == 0) Newest().alive = false;
  Take();
}

void partition_world::Drain() {
  log_up_ = true;
  const int newest = static_cast<int>(owners_.size()) - 1;
  for (int i = 0; i <= newest; ++i) Handle(i, log_availability{true});
  for (const job_status& job : Newest().core.Jobs()) {
    if (job.spec.kind != work_kind::kService) continue;
    calls_[next_call_] = {newest, {}, false, false, false, {}};
    Handle(newest, cancel_requested{next_call_++, job.job});
  }
  for (int round = 0; round < 120; ++round) {
    Advance(std::chrono::seconds(2));
    while (!Newest().wants.empty()) AnswerWant(newest, 0);
    for (int i = 0; i <= newest; ++i) StartAppend(i);
    for (std::uint32_t host = 1; host <= kHosts; ++host) FinishOne(host);
    // Answers to the messages of this pass arrive in the next ones.
    for (int pass = 0; pass < 8; ++pass) {
      for (const test_message& message : std::exchange(net_, {})) message.deliver();
    }
  }
}

void partition_world::CheckEnd() {
  test_owner& owner = Newest();
  for (const job_id& id : accepted_) {
    const job_status* job = owner.core.FindJob(id);
    if (job == nullptr) {
      Violate("accepted job is unknown: " + ToString(id));
    } else if (job->state == job_state::kQueued || job->state == job_state::kRunning) {
      Violate("accepted job does not end: " + ToString(id));
    }
  }
  for (const auto& [number, call] : calls_) {
    const test_owner& node = owners_[static_cast<std::size_t>(call.owner)];
    if (node.alive && !call.answered) Violate("call without a reply");
  }
}

}  // namespace sycamorehinge
