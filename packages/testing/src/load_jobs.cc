// The part of the load runner that follows jobs and watches documents.
#include "job_answer.h"
#include "sycamorehinge/testing/load_runner.h"

namespace sycamorehinge::testing {

namespace {

// Longest wait of one status query; short, so that jobs that do not end delay others little.
constexpr duration kStatusWait = std::chrono::milliseconds(500);
// Pause before a job that no entry knows is asked for again: partitions move within seconds.
constexpr duration kAskAgain = std::chrono::milliseconds(500);
constexpr duration kWatchInterval = std::chrono::milliseconds(250);
constexpr duration kWatchTimeout = std::chrono::seconds(2);

bool IsFinal(const job_seen& seen) {
  return seen.state == "succeeded" || seen.state == "failed" || seen.state == "cancelled";
}

}  // namespace

void load_runner::FollowJobs(time_point until) {
  caller_client client(options_.caller_token);
  while (true) {
    accepted_job accepted;
    {
      const std::lock_guard lock(jobs_mutex_);
      if (jobs_.empty()) return;
      accepted = std::move(jobs_.front());
      jobs_.pop_front();
    }
    if (!Follow(accepted, client, until)) {
      const std::lock_guard lock(jobs_mutex_);
      jobs_.push_back(std::move(accepted));
      continue;
    }
    stats_.Add("jobs_" + accepted.last.state);
    if (accepted.last.state == "failed") stats_.Add("job_error_" + accepted.last.error);
    Record(std::move(accepted.last));
  }
}

std::optional<job_seen> load_runner::Ask(const std::string& job, const std::string& entry,
                                         duration wait, caller_client& client) {
  caller_call call;
  call.method = "GET";
  call.path = "/v1/jobs/" + job + "?wait_ms=" + std::to_string(wait / std::chrono::milliseconds(1));
  call.timeout = options_.timeout;
  const caller_reply reply = client.Call(entry, call);
  if (reply.end != call_end::kAnswered) return std::nullopt;
  if (reply.status == 200) return job_seen{job, StateIn(reply.body), OutcomeIn(reply.body)};
  if (ErrorIn(reply.body) == "unknown_job") return job_seen{job, "unknown_job", ""};
  return std::nullopt;
}

// Before the time is over only an end counts. Then all entries are asked once more, and what was
// seen earlier does not: a job that was running and is now known to no entry is lost.
bool load_runner::Follow(accepted_job& accepted, caller_client& client, time_point until) {
  const std::uint64_t first = StableHash(accepted.job);
  if (accepted.queries == 0 && accepted.cancel_at_end) Cancel(accepted.job, first, client);
  if (MonotonicNow() < until) {
    const std::string& entry = EntryFor(first, accepted.queries++);
    const auto seen = Ask(accepted.job, entry, kStatusWait, client);
    if (seen && IsFinal(*seen)) {
      accepted.last = *seen;
      return true;
    }
    if (!seen || seen->state == "unknown_job") (void)SleepUntil(MonotonicNow() + kAskAgain);
    return false;
  }
  for (std::size_t i = 0; i < options_.entries.size(); ++i) {
    const auto seen = Ask(accepted.job, options_.entries[i], duration::zero(), client);
    if (seen) accepted.last = *seen;
    if (seen && seen->state != "unknown_job") break;
  }
  return true;
}

void load_runner::Cancel(const std::string& job, std::uint64_t number, caller_client& client) {
  caller_call call;
  call.method = "DELETE";
  call.path = "/v1/jobs/" + job;
  call.timeout = options_.timeout;
  Record(job_cancel_sent{job});
  conclusion last;
  for (std::uint32_t attempt = 0; attempt == 0 || MayRetry(last, attempt - 1); ++attempt) {
    last = Conclude(client.Call(EntryFor(number, attempt), call), 200, "accepted");
  }
  stats_.Add("cancels_" + last.outcome);
}

void load_runner::Watch() {
  caller_client client(options_.operator_token);
  caller_call call;
  call.method = "GET";
  call.path = "/v1/environments/" + options_.watch;
  call.timeout = kWatchTimeout;
  do {
    for (const std::string& entry : options_.entries) {
      const caller_reply reply = client.Call(entry, call);
      const std::uint64_t version = reply.status == 200 ? VersionIn(reply.body) : 0;
      if (version > 0) Record(document_seen{options_.watch, entry, version});
    }
  } while (SleepUntil(MonotonicNow() + kWatchInterval));
}

}  // namespace sycamorehinge::testing
