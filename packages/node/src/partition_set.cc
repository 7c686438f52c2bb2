#include "partition_set.h"

#include <algorithm>

#include "parts.h"

namespace sycamorehinge {

namespace {

// Time that a call waits for a partition that is between two owners: a takeover is done in 3 s.
constexpr duration kOwnerWait = std::chrono::seconds(5);
// Longest wait that the HTTP interface grants to a status call.
constexpr duration kLongestJobWait = std::chrono::seconds(25);

job_answer Refusal(errc code, std::string detail = {}, duration retry_after = {}) {
  job_answer answer;
  answer.code = code;
  answer.detail = std::move(detail);
  answer.retry_after = retry_after;
  return answer;
}

bool HasEnded(const job_status& status) {
  return status.state != job_state::kQueued && status.state != job_state::kRunning;
}

}  // namespace

partition_set::partition_set(entry_node::parts& parts) : parts_(parts) {
  for (partition_number number = 0; number < parts.options.partitions; ++number) {
    runners_.push_back(std::make_unique<partition_runner>(parts, number));
  }
}

partition_runner* partition_set::Find(partition_number partition) const {
  return partition < runners_.size() ? runners_[partition].get() : nullptr;
}

void partition_set::Tick(time_point now) {
  for (const auto& runner : runners_) runner->Tick(now);
  for (waiter& late : waiters_.TakeExpired(now)) {
    job_answer answer;
    if (const auto status = FindJob(late.job)) {
      answer.status = *status;
    } else {
      answer.code = errc::kNotOwner;
    }
    late.reply(answer);
  }
}

void partition_set::Handle(partition_number partition, const partition_event& event) {
  if (partition_runner* runner = Find(partition)) runner->Handle(event);
}

void partition_set::DocumentChanged(const std::shared_ptr<const environment_document>& document) {
  for (const auto& runner : runners_) runner->Handle(document_changed{document});
}

void partition_set::RetireAll() {
  for (const auto& runner : runners_) runner->Retire();
}

bool partition_set::IsOwner(partition_number partition) const {
  const partition_runner* runner = Find(partition);
  return runner != nullptr && runner->IsOwner();
}

std::vector<owned_partition> partition_set::Owned() const {
  std::vector<owned_partition> owned;
  for (partition_number number = 0; number < runners_.size(); ++number) {
    const std::uint64_t epoch = runners_[number]->Epoch();
    if (epoch != 0) owned.push_back({number, epoch});
  }
  return owned;
}

void partition_set::RecordHeartbeat(const process_status& status) {
  const std::lock_guard lock(mutex_);
  for (const owned_partition& owned : status.partitions) {
    std::uint64_t& epoch = heard_[owned.number];
    epoch = std::max(epoch, owned.epoch);
  }
}

std::uint64_t partition_set::KnownEpoch(partition_number partition) const {
  const std::lock_guard lock(mutex_);
  const auto found = heard_.find(partition);
  return found == heard_.end() ? 0 : found->second;
}

time_point partition_set::NextAppendTime() {
  const time_point now = parts_.Now();
  const auto spacing = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1.0 / parts_.options.appends_per_second));
  const std::lock_guard lock(mutex_);
  // A burst of one second's budget is allowed, so that a quiet process appends without waiting.
  const int burst = static_cast<int>(parts_.options.appends_per_second);
  next_append_ = std::max(next_append_, now - spacing * burst) + spacing;
  return next_append_;
}

// Runs the call here or at the partition's owner. While the partition is between two owners, and
// nothing was done yet, the call waits up to kOwnerWait.
template <class Question>
void partition_set::Route(partition_number partition, bool may_forward, Question question,
                          time_point give_up, job_function reply) {
  if (IsOwner(partition)) {
    RunHere(question, std::move(reply));
    return;
  }
  const process_id owner = parts_.alive.KnownOwner(partition);
  if (may_forward && !owner.empty() && owner != parts_.options.self) {
    SendTo(owner, partition, std::move(question), give_up, std::move(reply));
    return;
  }
  if (!may_forward || parts_.Now() >= give_up) {
    reply(Refusal(errc::kHomeUnreachable));
    return;
  }
  RouteLater(partition, std::move(question), give_up, std::move(reply));
}

template <class Question>
void partition_set::RouteLater(partition_number partition, Question question, time_point give_up,
                               job_function reply) {
  parts_.At(parts_.Now() + kOwnerRetry,
            [this, partition, question = std::move(question), give_up, reply = std::move(reply)] {
              Route(partition, true, question, give_up, reply);
            });
}

template <class Question>
void partition_set::SendTo(const process_id& owner, partition_number partition, Question question,
                           time_point give_up, job_function reply) {
  const time_point deadline = parts_.Now() + parts_.options.call_timeout + kLongestJobWait;
  parts_.peers.Call(
      owner, question, deadline,
      [this, partition, question, give_up, reply = std::move(reply)](errc code,
                                                                     const peer_message* message) {
        const auto* answer = message == nullptr ? nullptr : std::get_if<job_answer>(message);
        const bool moved = MayRouteAgain(code, answer == nullptr ? nullptr : &answer->code);
        if (moved && parts_.Now() < give_up) {
          RouteLater(partition, question, give_up, reply);
        } else if (answer != nullptr) {
          reply(*answer);
        } else {
          reply(Refusal(RefusalOfUnanswered(code), "ask again with the same key"));
        }
      });
}

void partition_set::Submit(job_spec spec, bool may_forward, job_function reply) {
  const auto document = parts_.documents.Find(spec.environment);
  const tenant_rule* tenant =
      document == nullptr ? nullptr : document->FindTenant(spec.tenant.value);
  if (document == nullptr || tenant == nullptr) {
    const errc missing = parts_.documents.Loaded() ? errc::kUnknownEnvironment : errc::kNotReady;
    reply(Refusal(document == nullptr ? missing : errc::kUnknownTenant));
    return;
  }
  if (document->FindClass(spec.work_class.value) == nullptr) {
    reply(Refusal(errc::kUnknownClass));
    return;
  }
  const partition_number partition = PartitionOfSpec(spec);
  Route(partition, may_forward, forward_submit{0, std::move(spec)}, parts_.Now() + kOwnerWait,
        std::move(reply));
}

void partition_set::Cancel(const job_id& job, bool may_forward, job_function reply) {
  Route(job.partition, may_forward, forward_cancel{0, job}, parts_.Now() + kOwnerWait,
        std::move(reply));
}

void partition_set::Status(const job_id& job, duration wait, bool may_forward, job_function reply) {
  Route(job.partition, may_forward, forward_status{0, job, wait}, parts_.Now() + kOwnerWait,
        std::move(reply));
}

partition_number partition_set::PartitionOfSpec(const job_spec& spec) const {
  const auto document = parts_.documents.Find(spec.environment);
  const tenant_rule* tenant =
      document == nullptr ? nullptr : document->FindTenant(spec.tenant.value);
  const region_id home = tenant == nullptr ? region_id{} : tenant->home;
  return PartitionOfKey(spec.tenant, spec.key, home, parts_.options.regions,
                        parts_.options.partitions);
}

void partition_set::RunHere(const forward_submit& question, job_function reply) {
  if (parts_.draining) {
    reply(Refusal(errc::kDraining));
    return;
  }
  const partition_number partition = PartitionOfSpec(question.spec);
  const std::uint64_t call =
      parts_.job_calls.Add(std::move(reply), parts_.Now() + parts_.options.call_timeout);
  Handle(partition, submit_requested{call, question.spec, parts_.port.wall_ms()});
}

void partition_set::RunHere(const forward_cancel& question, job_function reply) {
  const std::uint64_t call =
      parts_.job_calls.Add(std::move(reply), parts_.Now() + parts_.options.call_timeout);
  Handle(question.job.partition, cancel_requested{call, question.job});
}

void partition_set::RunHere(const forward_status& question, job_function reply) {
  const auto status = FindJob(question.job);
  if (!status) {
    reply(Refusal(errc::kUnknownJob));
    return;
  }
  if (HasEnded(*status) || question.wait <= duration{}) {
    job_answer answer;
    answer.status = *status;
    reply(answer);
    return;
  }
  const std::uint64_t call =
      waiters_.Add({question.job, std::move(reply)}, parts_.Now() + question.wait);
  {
    const std::lock_guard lock(mutex_);
    waiting_.emplace(question.job, call);
  }
  // The job may have ended between the look and the registration.
  const auto again = FindJob(question.job);
  if (again && HasEnded(*again)) JobEnded(question.job);
}

void partition_set::JobEnded(const job_id& job) {
  std::vector<std::uint64_t> calls;
  {
    const std::lock_guard lock(mutex_);
    const auto [first, last] = waiting_.equal_range(job);
    for (auto it = first; it != last; ++it) calls.push_back(it->second);
    waiting_.erase(first, last);
  }
  const auto status = FindJob(job);
  for (const std::uint64_t call : calls) {
    auto waiting = waiters_.Take(call);
    if (!waiting) continue;
    job_answer answer;
    if (status) answer.status = *status;
    waiting->reply(answer);
  }
}

std::optional<job_status> partition_set::FindJob(const job_id& job) const {
  const partition_runner* runner = Find(job.partition);
  if (runner == nullptr) return std::nullopt;
  return runner->FindJob(job);
}

std::vector<job_status> partition_set::Jobs() const {
  std::vector<job_status> all;
  for (const auto& runner : runners_) {
    std::vector<job_status> jobs = runner->Jobs();
    std::move(jobs.begin(), jobs.end(), std::back_inserter(all));
  }
  return all;
}

void partition_set::Void(const void_attempt& effect) {
  // The recorded holder may have lost the host; the process that should hold it now is asked in
  // turn with it.
  process_id holder = effect.holder;
  bool other = !parts_.alive.IsAlive(holder);
  {
    const std::lock_guard lock(mutex_);
    other = other || (++voids_ % 2 == 0);
  }
  const auto row = parts_.claims.Find(effect.host);
  if (other && row) holder = parts_.alive.PreferredHolder(effect.host, row->where);
  if (holder == parts_.options.self) {
    parts_.claims.VoidTask(effect.host, effect.id);
  } else if (!parts_.peers.Send(holder, void_task{effect.id, effect.host})) {
    Handle(effect.id.task.job.partition,
           attempt_reported{effect.id, effect.host, 0, holder, attempt_fact::kUnreachable});
  }
}

void partition_set::ReportVoided(const attempt_id& id, const host_id& host, std::uint64_t term,
                                 attempt_fact fact, const std::string& answer) {
  const partition_number partition = id.task.job.partition;
  if (IsOwner(partition)) {
    Reported({id, host, term, fact, answer}, parts_.options.self);
    return;
  }
  const process_id owner = parts_.alive.KnownOwner(partition);
  if (owner.empty() || owner == parts_.options.self) return;
  parts_.peers.Send(owner, task_report{id, host, term, fact, answer});
}

void partition_set::Reported(const task_report& report, const process_id& from) {
  const partition_number partition = report.id.task.job.partition;
  const auto row = parts_.claims.Find(report.host);
  const bool ended =
      report.fact != attempt_fact::kRunning && report.fact != attempt_fact::kUnreachable;
  const bool settled = !report.answer.empty() || report.fact != attempt_fact::kSucceeded;
  if (row && row->kind == host_kind::kTarget && ended && settled) {
    Handle(partition, request_answered{report.id, report.fact, report.answer});
  }
  Handle(partition, attempt_reported{report.id, report.host, report.term, from, report.fact});
}

void partition_set::Run(const run_request& effect) {
  const partition_number partition = effect.id.task.job.partition;
  const auto call = parts_.keyed_calls.Find(effect.call);
  if (!call) {
    // Nothing was sent to the target, and nothing will be under this attempt.
    Handle(partition, request_answered{effect.id, attempt_fact::kNever, {}});
    return;
  }
  if (effect.holder == parts_.options.self) {
    parts_.claims.Execute(effect.id, effect.place, call->request,
                          [this, id = effect.id, partition](const execute_outcome& outcome) {
                            OnExecuted(id, partition, outcome);
                          });
    return;
  }
  parts_.peers.Call(effect.holder, forward_run{0, effect.id, effect.place, call->request},
                    parts_.Now() + call->request.time_left,
                    [this, id = effect.id, partition](errc code, const peer_message* message) {
                      execute_outcome outcome{code, attempt_fact::kUnreachable, {}};
                      if (message != nullptr) {
                        const auto* answer = std::get_if<request_answer>(message);
                        if (answer != nullptr) outcome = {answer->code, answer->fact, answer->body};
                      } else if (code == errc::kConnectionFailed) {
                        outcome.fact = attempt_fact::kNever;
                      }
                      OnExecuted(id, partition, outcome);
                    });
}

void partition_set::OnExecuted(const attempt_id& id, partition_number partition,
                               const execute_outcome& outcome) {
  Handle(partition, request_answered{id, outcome.fact, outcome.answer});
}

void partition_set::ReplyJob(call_number call, const job_id& job) {
  const auto reply = parts_.job_calls.Take(call);
  if (!reply) return;
  job_answer answer;
  if (const auto status = FindJob(job)) answer.status = *status;
  answer.status.job = job;
  (*reply)(answer);
}

void partition_set::ReplyAnswer(call_number call, errc code, std::string detail,
                                duration retry_after, std::string answer) {
  const auto waiting = parts_.keyed_calls.Take(call);
  if (!waiting) return;
  request_answer reply;
  reply.code = code;
  reply.detail = std::move(detail);
  reply.retry_after = retry_after;
  reply.body = std::move(answer);
  reply.fact = code == errc::kOk ? attempt_fact::kSucceeded : attempt_fact::kUnreachable;
  waiting->reply(reply);
}

void partition_set::ReplyError(call_number call, errc code, std::string detail,
                               duration retry_after) {
  if (const auto reply = parts_.job_calls.Take(call)) {
    (*reply)(Refusal(code, std::move(detail), retry_after));
    return;
  }
  ReplyAnswer(call, code, std::move(detail), retry_after, {});
}

}  // namespace sycamorehinge
