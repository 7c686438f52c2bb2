#include "host_claims.h"

#include <algorithm>

#include "parts.h"

namespace sycamorehinge {

namespace {

// Drift allowed between the clocks of two machines over one lease.
constexpr int kDriftPercent = 10;
// A request that was sent before its connection broke may still be delivered within this time.
constexpr duration kDeliveryMargin = std::chrono::seconds(1);
// Interval between claim calls to a host that does not answer or is held by another process.
constexpr duration kRetryClaim = std::chrono::milliseconds(300);
// Running tasks are reported this often, so that the partition's owner knows the holder is there.
constexpr duration kReportRunning = std::chrono::seconds(20);
// Reports that wait for an answer (keep, stop) are repeated this often.
constexpr duration kReportAgain = std::chrono::seconds(1);

bool IsRequest(const attempt_id& id) { return id.task.job.partition == kNoPartition; }

}  // namespace

host_claims::claim_shard& host_claims::Shard(const host_id& host) {
  return shards_[StableHash(host.value) % kShards];
}

const host_claims::claim_shard& host_claims::Shard(const host_id& host) const {
  return shards_[StableHash(host.value) % kShards];
}

void host_claims::Tick(time_point now) {
  {
    const std::lock_guard lock(list_mutex_);
    if (now >= next_list_) {
      next_list_ = now + parts_.options.claims.list_interval;
      ReadList();
    }
  }
  for (claim_shard& shard : shards_) {
    shard.Apply(
        [&](claim_table& table, std::vector<notice>& out) {
          for (auto& [host, entry] : table.hosts) TickEntry(entry, now, out);
        },
        Deliver);
  }
}

void host_claims::ReadList() {
  parts_.port.list_hosts([this](result<std::vector<listed_host>> rows) {
    if (rows) {
      OnList(*rows);
      return;
    }
    parts_.Event(event_number::kHostListUnavailable, {{"error", ErrorName(rows.code())}});
    const std::lock_guard lock(list_mutex_);
    next_list_ = parts_.Now() + kReportAgain;
  });
}

void host_claims::OnList(const std::vector<listed_host>& rows) {
  for (const listed_host& row : rows) {
    Shard(row.host).Apply(
        [&](claim_table& table, std::vector<notice>& out) {
          claim_entry& entry = table.hosts[row.host];
          const bool leaving = entry.row.leaving;
          entry.row = row;
          if (entry.held && row.leaving && !leaving && !entry.leaving) {
            out.push_back([this, row] {
              parts_.pools.Handle(PoolOf(row), host_leaving{row.host, true});
            });
          }
        },
        Deliver);
  }
}

void host_claims::TickEntry(claim_entry& entry, time_point now, std::vector<notice>& out) {
  const claim_options& options = parts_.options.claims;
  if (entry.held && now > entry.last_granted + options.ttl) Lapse(entry, out);
  const duration lease = options.task_lease + options.task_lease * kDriftPercent / 100;
  if (!entry.held && !entry.tasks.empty() && now > entry.last_kept + lease + kDeliveryMargin) {
    ReportLost(entry, out);
  }
  if (entry.calling || now < entry.next_call) return;
  const bool wanted =
      !parts_.draining &&
      parts_.alive.PreferredHolder(entry.row.host, entry.row.where) == parts_.options.self;
  if (entry.held && !wanted) {
    Release(entry, out);
    if (entry.releasing) return;
  }
  // Hosts of other processes are looked at again after a while, not at every tick.
  if (!wanted && !entry.held) entry.next_call = now + kRetryClaim;
  if (wanted || entry.held) CallClaim(entry, now, out);
  if (entry.held) ReportDue(entry, now, out);
}

std::vector<attempt_id> host_claims::LeasesToRenew(const claim_entry& entry, time_point now) const {
  std::vector<attempt_id> keep;
  if (!entry.held) return keep;
  // Shorter than the owner's own limit by the longest delay of a message, 3 s, and clock drift.
  const duration contact_ttl = parts_.options.claims.contact_ttl * 9 / 10;
  for (const auto& [id, task] : entry.tasks) {
    if (task.ended || !task.kept) continue;
    if (!IsRequest(id) && !parts_.partitions.IsOwner(id.task.job.partition) &&
        now > task.contact + contact_ttl) {
      continue;
    }
    keep.push_back(id);
  }
  return keep;
}

void host_claims::CallClaim(claim_entry& entry, time_point now, std::vector<notice>& out) {
  claim_call call{parts_.options.self, entry.held ? entry.term : 0, parts_.options.claims.ttl,
                  LeasesToRenew(entry, now), entry.ack};
  entry.calling = true;
  entry.next_call = now + parts_.options.claims.renew;
  if (!call.keep.empty()) entry.last_kept = now;
  out.push_back([this, row = entry.row, call = std::move(call)] {
    const time_point sent = parts_.Now();
    const std::vector<attempt_id> acked = call.ack;
    parts_.port.call_host(row, call, [this, host = row.host, sent, acked](auto answer) {
      OnClaimed(host, sent, acked, answer);
    });
  });
}

// Gives the claim back if another process should hold the host. Requests in flight end first.
void host_claims::Release(claim_entry& entry, std::vector<notice>& out) {
  for (const auto& [id, task] : entry.tasks) {
    if (entry.row.kind == host_kind::kTarget && !task.ended) return;
  }
  entry.releasing = true;
  entry.held = false;
  entry.tasks.clear();
  entry.next_call = parts_.Now() + parts_.options.claims.ttl;
  out.push_back([this, row = entry.row, term = entry.term] {
    parts_.pools.Handle(PoolOf(row), host_released{row.host});
    parts_.port.call_host(row, release_call{parts_.options.self, term},
                          [](const result<host_answer>&) {});
  });
}

void host_claims::Lapse(claim_entry& entry, std::vector<notice>& out) {
  entry.held = false;
  out.push_back([this, row = entry.row] {
    parts_.Event(event_number::kClaimLost, {{"host", row.host.value}});
    parts_.pools.Handle(PoolOf(row), host_released{row.host});
  });
}

// The leases of all tasks have lapsed by the host's clock: nothing of them runs any more, unless
// another process claimed the host, which the recorded term of the attempt shows.
void host_claims::ReportLost(claim_entry& entry, std::vector<notice>& out) {
  parts_.Event(event_number::kHostLost,
               {{"host", entry.row.host.value}, {"tasks", std::uint64_t{entry.tasks.size()}}});
  for (const auto& [id, task] : entry.tasks) {
    if (IsRequest(id)) continue;
    out.push_back([this, id = id, term = entry.term] {
      SendToOwner(id, task_lost{id, term}, attempt_lost{id, term});
    });
  }
  entry.tasks.clear();
}

void host_claims::OnClaimed(const host_id& host, time_point sent,
                            const std::vector<attempt_id>& acked,
                            const result<host_answer>& answer) {
  OnEntry(host, [&](claim_entry& entry, std::vector<notice>& out) {
    entry.calling = false;
    if (!answer) {
      entry.next_call = parts_.Now() + kRetryClaim;
      return;
    }
    if (const auto* denied = std::get_if<claim_denied>(&*answer)) {
      if (entry.held) Lapse(entry, out);
      const duration remaining = std::max(denied->remaining, duration{});
      entry.next_call = parts_.Now() + std::min<duration>(remaining, kRetryClaim);
      return;
    }
    const auto* granted = std::get_if<claim_granted>(&*answer);
    if (granted == nullptr) return;
    std::erase_if(entry.ack, [&](const attempt_id& id) {
      return std::find(acked.begin(), acked.end(), id) != acked.end();
    });
    if (parts_.Now() > sent + parts_.options.claims.ttl) return;
    OnGranted(entry, sent, *granted, out);
  });
}

void host_claims::OnGranted(claim_entry& entry, time_point sent, const claim_granted& granted,
                            std::vector<notice>& out) {
  const bool renewal = entry.held && entry.term == granted.term;
  entry.last_granted = sent;
  entry.releasing = false;
  if (!renewal) {
    AdoptHost(entry, granted, out);
    return;
  }
  if (granted.leaving != entry.leaving) {
    entry.leaving = granted.leaving;
    const bool leaving = granted.leaving || entry.row.leaving;
    out.push_back([this, row = entry.row, leaving] {
      parts_.pools.Handle(PoolOf(row), host_leaving{row.host, leaving});
    });
  }
  UpdateTasks(entry, granted, out);
}

// A new claim: what the host runs now is the truth, and each task needs its owner's consent.
void host_claims::AdoptHost(claim_entry& entry, const claim_granted& granted,
                            std::vector<notice>& out) {
  parts_.Event(event_number::kHostClaimed,
               {{"host", entry.row.host.value}, {"term", granted.term}});
  entry.held = true;
  entry.term = granted.term;
  entry.leaving = granted.leaving;
  entry.last_kept = entry.last_granted;
  entry.tasks.clear();
  host_claimed claimed{entry.row.host,  granted.term, granted.capacity,
                       entry.row.where, {},           granted.leaving || entry.row.leaving};
  for (const host_task& task : granted.tasks) {
    if (task.state != host_task_state::kRunning) continue;
    claimed.running.push_back(task.work);
    entry.tasks[task.work.id].work = task.work;
  }
  out.push_back([this, row = entry.row, claimed = std::move(claimed)] {
    parts_.pools.Handle(PoolOf(row), claimed);
  });
  for (const host_task& task : granted.tasks) {
    if (task.state == host_task_state::kRunning) continue;
    claimed_task& known = entry.tasks[task.work.id];
    known.work = task.work;
    TaskEnded(entry, known, task.state, out);
  }
  ReportDue(entry, parts_.Now(), out);
}

void host_claims::UpdateTasks(claim_entry& entry, const claim_granted& granted,
                              std::vector<notice>& out) {
  for (const host_task& task : granted.tasks) {
    const auto found = entry.tasks.find(task.work.id);
    if (found == entry.tasks.end()) {
      if (task.state == host_task_state::kRunning) {
        // A start that was given up here took effect late: its owner has it stopped.
        out.push_back([this, host = entry.row.host, id = task.work.id, term = entry.term] {
          Report(id, host, term, attempt_fact::kRunning);
        });
        continue;
      }
      if (IsRequest(task.work.id)) {
        entry.ack.push_back(task.work.id);
      } else {
        claimed_task& known = entry.tasks[task.work.id];
        known.work = task.work;
        TaskEnded(entry, known, task.state, out);
      }
      continue;
    }
    if (task.used != resources{}) {
      out.push_back([this, row = entry.row, id = task.work.id, used = task.used] {
        parts_.pools.Handle(PoolOf(row), usage_reported{row.host, id, used});
      });
    }
    if (task.state != host_task_state::kRunning && !found->second.ended) {
      TaskEnded(entry, found->second, task.state, out);
    }
  }
}

void host_claims::TaskEnded(claim_entry& entry, claimed_task& task, host_task_state state,
                            std::vector<notice>& out) {
  task.ended = true;
  finish_kind outcome = finish_kind::kLost;
  if (state == host_task_state::kSucceeded) outcome = finish_kind::kSucceeded;
  if (state == host_task_state::kFailed) outcome = finish_kind::kFailed;
  if (state == host_task_state::kStopped) outcome = finish_kind::kCancelled;
  task.fact =
      state == host_task_state::kSucceeded ? attempt_fact::kSucceeded : attempt_fact::kFailed;
  RecordRun(task);
  out.push_back([this, row = entry.row, id = task.work.id, outcome, ran = RunTimeOf(task)] {
    FinishInPool(row, id, outcome, ran);
  });
  if (IsRequest(task.work.id)) {
    entry.ack.push_back(task.work.id);
    return;
  }
  // A task that was stopped or whose lease lapsed did not fail by itself: the host no longer has
  // it.
  if (state == host_task_state::kLapsed || state == host_task_state::kStopped) {
    task.fact = attempt_fact::kNever;
  }
  task.reported = parts_.Now();
  out.push_back([this, host = entry.row.host, id = task.work.id, term = entry.term,
                 fact = task.fact] { Report(id, host, term, fact); });
}

void host_claims::ReportDue(claim_entry& entry, time_point now, std::vector<notice>& out) {
  for (auto& [id, task] : entry.tasks) {
    if (IsRequest(id)) continue;
    const duration every = task.kept && !task.ended ? kReportRunning : kReportAgain;
    if (now < task.reported + every) continue;
    task.reported = now;
    if (task.unanswered == time_point{}) task.unanswered = now;
    out.push_back([this, host = entry.row.host, id = id, term = entry.term, fact = task.fact] {
      Report(id, host, term, fact);
    });
  }
}

std::optional<listed_host> host_claims::Find(const host_id& host) const {
  return Shard(host).View([&](const claim_table& table) -> std::optional<listed_host> {
    const auto found = table.hosts.find(host);
    if (found == table.hosts.end()) return std::nullopt;
    return found->second.row;
  });
}

std::size_t host_claims::Executing() const {
  std::size_t running = 0;
  for (const claim_shard& shard : shards_) {
    running += shard.View([](const claim_table& table) {
      std::size_t count = 0;
      for (const auto& [host, entry] : table.hosts) {
        if (entry.row.kind == host_kind::kTarget && entry.held) count += entry.tasks.size();
      }
      return count;
    });
  }
  return running;
}

void host_claims::ReleaseAll() {
  for (claim_shard& shard : shards_) {
    shard.Apply(
        [&](claim_table& table, std::vector<notice>& out) {
          for (auto& [host, entry] : table.hosts) {
            if (entry.held) Release(entry, out);
          }
        },
        Deliver);
  }
}

}  // namespace sycamorehinge
