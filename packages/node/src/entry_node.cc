#include "sycamorehinge/node/entry_node.h"

#include "parts.h"

namespace sycamorehinge {

namespace {

// Period of the node's own timer. Claims, heartbeats and ownership are due at multiples of it.
constexpr duration kTickPeriod = std::chrono::milliseconds(100);
constexpr duration kDrainPoll = std::chrono::milliseconds(20);

}  // namespace

void entry_node::parts::At(time_point when, std::function<void()> work) {
  port.at(when, [this, work = std::move(work)] {
    if (!stopped) work();
  });
}

std::uint64_t entry_node::parts::Random() {
  const std::lock_guard lock(random_mutex_);
  return random_();
}

entry_node::entry_node(node_options options, ports port, node_observer observer)
    : parts_(std::make_unique<parts>(std::move(options), std::move(port), observer)) {}

entry_node::~entry_node() { Stop(); }

void entry_node::Start() {
  parts& p = *parts_;
  const time_point now = p.Now();
  p.documents.Tick(now);
  p.claims.Tick(now);
  p.partitions.Tick(now);
  p.alive.Tick(now);
  p.pools.LearnPeers(p.alive.Alive());
  p.peers.Tick(now);
  for (const keyed_call& late : p.keyed_calls.TakeExpired(now)) {
    request_answer answer;
    answer.code = errc::kOutcomeUnknown;
    answer.detail = "no answer before the deadline; ask again with the same key";
    late.reply(answer);
  }
  for (const job_function& late : p.job_calls.TakeExpired(now)) {
    job_answer answer;
    answer.code = errc::kOutcomeUnknown;
    answer.detail = "no answer in time; ask again with the same key";
    late(answer);
  }
  p.At(now + kTickPeriod, [this] { Start(); });
}

void entry_node::Stop() { parts_->stopped = true; }

void entry_node::Request(caller_request request, answer_function reply) {
  parts_->requests.FromCaller(std::move(request), std::move(reply));
}

void entry_node::Submit(job_spec spec, job_function reply) {
  parts_->partitions.Submit(std::move(spec), true, std::move(reply));
}

void entry_node::Status(const job_id& job, duration wait, job_function reply) {
  parts_->partitions.Status(job, wait, true, std::move(reply));
}

void entry_node::Cancel(const job_id& job, job_function reply) {
  parts_->partitions.Cancel(job, true, std::move(reply));
}

std::vector<std::string> entry_node::Explain(const job_id& job) const {
  std::vector<std::string> lines;
  const auto status = parts_->partitions.FindJob(job);
  if (!status) {
    const process_id owner = parts_->alive.KnownOwner(job.partition);
    lines.push_back("not known here; partition " + std::to_string(job.partition) +
                    (owner.empty() ? " has no live owner" : " is owned by " + owner.value));
    return lines;
  }
  for (const task_status& task : status->tasks) {
    if (task.open) {
      const attempt_id attempt{task.task, task.attempts};
      lines.push_back(ToString(attempt) + " is on host " + task.host.value);
      continue;
    }
    const std::string why = parts_->pools.Explain({task.task, task.attempts + 1});
    lines.push_back(ToString(task.task) + (why.empty() ? " is not waiting here" : ": " + why));
  }
  return lines;
}

void entry_node::Propose(config_record record, std::function<void(const proposal_answer&)> reply) {
  record.wall_ms = parts_->port.wall_ms();
  parts_->documents.Propose(record, std::move(reply));
}

std::optional<config_version> entry_node::InForce(const config_key& key) const {
  return parts_->documents.InForce(key);
}

std::vector<config_version> entry_node::History(const config_key& key) const {
  return parts_->documents.History(key);
}

node_summary entry_node::Summary() const {
  node_summary summary;
  summary.alive = parts_->alive.Alive();
  for (const process_status& status : summary.alive) {
    if (status.process == parts_->options.self) summary.self = status;
  }
  summary.pools = parts_->pools.Summaries();
  summary.jobs = parts_->partitions.Jobs().size();
  summary.calls_waiting = parts_->keyed_calls.Size() + parts_->job_calls.Size();
  return summary;
}

std::vector<host_summary> entry_node::Hosts() const { return parts_->pools.Hosts(); }

bool entry_node::Ready() const { return !parts_->draining && parts_->documents.Loaded(); }

void entry_node::Drain(duration timeout, std::function<void()> done) {
  parts& p = *parts_;
  const time_point give_up = p.Now() + timeout;
  if (!p.draining.exchange(true)) p.alive.Announce();
  const bool busy = p.requests.InFlight() > 0 || p.claims.Executing() > 0;
  if (busy && p.Now() < give_up) {
    p.At(p.Now() + kDrainPoll,
         [this, give_up, done = std::move(done)] { Drain(give_up - parts_->Now(), done); });
    return;
  }
  p.partitions.RetireAll();
  p.claims.ReleaseAll();
  p.alive.Announce();
  // Retiring partitions end with one last append; peers then hear that they have no owner.
  p.At(p.Now() + std::chrono::milliseconds(300), [this, done = std::move(done)] {
    parts_->alive.Announce();
    parts_->At(parts_->Now() + kDrainPoll, done);
  });
}

void entry_node::OnPeerMessage(const process_id& from, const peer_message& message) {
  parts_->peers.Receive(from, message);
}

errc entry_node::OnHeartbeat(const process_status& status) {
  const errc heard = parts_->alive.RecordHeartbeat(status);
  if (heard != errc::kOk) return heard;
  parts_->partitions.RecordHeartbeat(status);
  parts_->documents.NewerVersionAt(status.process, status.config_version);
  return errc::kOk;
}

}  // namespace sycamorehinge
