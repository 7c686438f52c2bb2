// Ownership, durability, timers and dispatch of a partition.
#include "sycamorehinge/core/partition.h"

#include <algorithm>
#include <utility>

#include "partition_state.h"

namespace sycamorehinge {

namespace {

// A new owner does not know the age of the last snapshot, so it writes one soon: owners that
// change faster than snapshot_after would otherwise let the last snapshot leave the log.
constexpr duration kSnapshotAfterTakeover = std::chrono::seconds(10);

bool IsWaiting(const live_request& live) {
  return live.phase == request_phase::kWaiting || live.phase == request_phase::kIntending;
}

}  // namespace

partition::partition(partition_number number, process_id self, partition_options options)
    : state_(std::make_unique<state>(number, std::move(self), options)) {}
partition::~partition() = default;
partition::partition(partition&&) noexcept = default;
partition& partition::operator=(partition&&) noexcept = default;

void partition::Replay(const stored_batch& stored) { state_->Replay(stored); }

void partition::Handle(const partition_event& event, time_point now,
                       std::vector<partition_action>& out) {
  state_->now = now;
  state_->out = &out;
  state_->Handle(event);
  state_->out = nullptr;
}

time_point partition::NextTick() const {
  if (!state_->owner) return time_point::max();
  time_point next = std::min(state_->last_emit + state_->options.keepalive, state_->snapshot_due);
  if (!state_->timers.empty()) next = std::min(next, state_->timers.top().at);
  return next;
}

bool partition::IsOwner() const { return state_->owner; }

std::uint64_t partition::Epoch() const { return state_->epoch; }

const job_status* partition::FindJob(const job_id& job) const {
  const job_row* row = std::as_const(state_->ledger).FindJob(job);
  return row == nullptr ? nullptr : &row->status;
}

std::vector<job_status> partition::Jobs() const {
  std::vector<job_status> jobs;
  for (const auto& [id, row] : state_->ledger.Jobs()) jobs.push_back(row.status);
  return jobs;
}

std::uint64_t partition::Digest() const { return state_->ledger.Digest(); }

void partition::state::Handle(const partition_event& event) {
  std::visit([this](const auto& e) { On(e); }, event);
  if (!owner) return;
  RunDeferred();
  EmitSnapshotIfDue();
}

void partition::state::On(const ownership_taken& event) {
  if (owner) return;
  owner = true;
  epoch = event.epoch;
  last_sequence = 0;
  durable = 0;
  next_number = 1;
  // A snapshot that the previous owner did not finish is worth nothing.
  frame.reset();
  wall_ms = event.wall_ms;
  wall_at = now;
  last_emit = now;
  snapshot_due = now + kSnapshotAfterTakeover;
  std::vector<job_id> jobs;
  for (const auto& [id, row] : ledger.Jobs()) jobs.push_back(id);
  for (const job_id& id : jobs) ResumeJob(*ledger.FindJob(id));
  for (const auto& [key, row] : ledger.Keys()) ResumeRequest(row);
}

void partition::state::On(const ownership_lost& /*event*/) {
  if (!owner) return;
  for (const auto& [sequence, action] : deferred) {
    // The record may or may not have reached the log before the new owner's.
    if (const auto* reply = std::get_if<deferred_reply>(&action)) {
      ReplyError(reply->call, errc::kOutcomeUnknown);
    }
  }
  for (auto& [id, live] : requests) {
    // The new owner may have run the key for another call of the same caller.
    ReplyAll(live, errc::kOutcomeUnknown, {});
  }
  state fresh(number, self, options);
  fresh.documents = std::move(documents);
  fresh.log_available = log_available;
  fresh.now = now;
  fresh.out = out;
  *this = std::move(fresh);
}

void partition::state::On(const records_durable& event) {
  if (!owner) return;
  durable = std::max(durable, std::min(event.sequence, last_sequence));
  std::erase_if(accepting, [this](const auto& entry) { return IsDurable(entry.second); });
}

void partition::state::On(const log_availability& event) {
  log_available = event.available;
  if (!owner) return;
  if (!log_available) {
    DropUnanswerableCalls();
    return;
  }
  std::vector<attempt_id> due;
  for (const auto& [id, want] : wanted) {
    if (!want.sent && want.due <= now) due.push_back(id);
  }
  for (const attempt_id& id : due) SendWant(id);
}

void partition::state::DropUnanswerableCalls() {
  for (auto entry = deferred.begin(); entry != deferred.end();) {
    const auto* reply = std::get_if<deferred_reply>(&entry->second);
    if (reply == nullptr || IsDurable(entry->first)) {
      ++entry;
      continue;
    }
    ReplyError(reply->call, errc::kOutcomeUnknown, "the log did not confirm the record");
    entry = deferred.erase(entry);
  }
  std::vector<job_id> waiting;
  for (const auto& [id, live] : requests) {
    if (IsWaiting(live)) waiting.push_back(id);
  }
  for (const job_id& id : waiting) {
    ReplyAll(requests.at(id), errc::kLogUnavailable, {});
    DropRequest(id);
  }
}

void partition::state::On(const document_changed& event) {
  if (event.document != nullptr) documents[event.document->name] = event.document;
}

void partition::state::On(const partition_tick& event) {
  if (!owner) return;
  wall_ms = event.wall_ms;
  wall_at = now;
  FireTimers();
  // Records that wait for the log show as much as a keepalive once they are durable.
  if (now - last_emit >= options.keepalive && durable == last_sequence) Emit(owner_alive{});
}

void partition::state::Do(std::uint64_t after, partition_effect effect) {
  out->push_back({after, std::move(effect)});
}

std::uint64_t partition::state::Emit(partition_record record) {
  ledger.Apply(record);
  return EmitUnapplied(std::move(record));
}

std::uint64_t partition::state::EmitUnapplied(partition_record record) {
  ++last_sequence;
  ++records_since_snapshot;
  last_emit = now;
  Do(0, emit_record{last_sequence, std::move(record)});
  return last_sequence;
}

void partition::state::Defer(std::uint64_t sequence, const deferred_action& action) {
  deferred.emplace(sequence, action);
}

void partition::state::RunDeferred() {
  while (!deferred.empty() && IsDurable(deferred.begin()->first)) {
    const std::uint64_t sequence = deferred.begin()->first;
    const deferred_action action = deferred.begin()->second;
    deferred.erase(deferred.begin());
    std::visit(overloaded{[&](const deferred_start& start) { StartDeferred(start.id, sequence); },
                          [&](const deferred_keep& keep) { KeepDeferred(keep.id, sequence); },
                          [&](const deferred_run& run) { RunDeferredRequest(run.id, sequence); },
                          [&](const deferred_reply& reply) {
                            Do(sequence, reply_job{reply.call, reply.job});
                          }},
               action);
  }
}

void partition::state::ReplyError(call_number call, errc code, std::string_view detail) {
  Do(0, reply_error{call, code, std::string(detail), {}});
}

void partition::state::SetTimer(time_point at, timer_kind kind, const attempt_id& id) {
  if (at != time_point::max()) timers.push({at, kind, id});
}

void partition::state::FireTimers() {
  while (!timers.empty() && timers.top().at <= now) {
    const timer due = timers.top();
    timers.pop();
    Fire(due);
  }
}

void partition::state::Fire(const timer& timer) {
  switch (timer.kind) {
    case timer_kind::kWantRoom:
      if (const auto found = wanted.find(timer.id);
          found != wanted.end() && found->second.due == timer.at) {
        SendWant(timer.id);
      }
      return;
    case timer_kind::kResolve:
      return Resolve(timer);
    case timer_kind::kSilence:
      return CheckSilence(timer);
    case timer_kind::kRequest:
      return OnRequestTimer(timer);
    case timer_kind::kDeadline:
      if (live_request* live = FindRequest(timer.id)) ExpireCalls(*live);
      return;
    case timer_kind::kExpire:
      return Expire(timer);
  }
}

void partition::state::ExpireAfter(const job_id& id, duration retention) {
  const time_point at = now + retention;
  expire_at[id] = at;
  SetTimer(at, timer_kind::kExpire, {{id, 0}, 0});
}

// Ended jobs and keys leave without a record: the next snapshot omits them, and a new owner that
// still reads them only keeps them longer.
void partition::state::Expire(const timer& timer) {
  const job_id& id = timer.id.task.job;
  const auto found = expire_at.find(id);
  if (found == expire_at.end() || found->second != timer.at) return;
  expire_at.erase(found);
  const job_row* job = ledger.FindJob(id);
  if (job != nullptr && job->closing && job->open_count == 0) ledger.EraseJob(id);
  if (job == nullptr && !requests.contains(id)) ledger.EraseKey(id);
}

void partition::state::EmitSnapshotIfDue() {
  // Rewriting a large state after few records would multiply the appended volume.
  const std::uint64_t limit =
      std::max<std::uint64_t>(options.snapshot_after_records, 2 * snapshot_records);
  if (!log_available || (records_since_snapshot < limit && now < snapshot_due)) return;
  std::vector<partition_record> records = ledger.Records();
  EmitUnapplied(snapshot_begun{next_number});
  for (partition_record& record : records) EmitUnapplied(std::move(record));
  EmitUnapplied(snapshot_ended{});
  snapshot_records = records.size() + 2;
  records_since_snapshot = 0;
  snapshot_due = now + options.snapshot_after;
}

const environment_document* partition::state::Document(const environment_id& environment) const {
  const auto found = documents.find(environment);
  return found == documents.end() ? nullptr : found->second.get();
}

retry_rule partition::state::RetryRule(const environment_id& environment) const {
  const environment_document* document = Document(environment);
  return document == nullptr ? retry_rule{} : document->retry;
}

duration partition::state::Backoff(const retry_rule& rule, std::uint32_t attempt,
                                   const attempt_id& id) const {
  // Beyond 2^16 every sensible rule is at its maximum.
  const std::uint32_t doublings = std::min(attempt, 16U);
  const duration full = std::min(rule.max_backoff, duration(rule.backoff.count() << doublings));
  // Half of the delay is jitter, so attempts that failed together do not return together.
  const std::uint64_t random = StableHash(
      ToString(id), attempt + static_cast<std::uint64_t>(now.time_since_epoch().count()));
  return full / 2 + duration(full.count() / 2 * static_cast<std::int64_t>(random % 1024) / 1024);
}

}  // namespace sycamorehinge
