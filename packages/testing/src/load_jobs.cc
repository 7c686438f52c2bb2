// The part of the load runner that follows jobs and watches documents.
#include "job_answer.h"
#include "sycamorehinge/testing/load_runner.h"

namespace sycamorehinge::testing {

namespace {

// Longest wait of one status query.
constexpr duration kStatusWait = std::chrono::seconds(2);
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
    const std::size_t number = next_job_++;
    accepted_job accepted;
    {
      const std::lock_guard lock(jobs_mutex_);
      if (number >= jobs_.size()) return;
      accepted = jobs_[number];
    }
    Follow(accepted, number, client, until);
  }
}

std::optional<job_seen> load_runner::Ask(const std::string& job, const std::string& entry,
                                         caller_client& client) {
  caller_call call;
  call.method = "GET";
  call.path =
      "/v1/jobs/" + job + "?wait_ms=" + std::to_string(kStatusWait / std::chrono::milliseconds(1));
  call.timeout = options_.timeout;
  const caller_reply reply = client.Call(entry, call);
  if (reply.end != call_end::kAnswered) return std::nullopt;
  if (reply.status == 200) return job_seen{job, StateIn(reply.body), OutcomeIn(reply.body)};
  if (ErrorIn(reply.body) == "unknown_job") return job_seen{job, "unknown_job", ""};
  return std::nullopt;
}

// Asks all entries in turn until one reports the job's end. A job counts as unknown or unreachable
// only if that is what the entries say when the time is over.
void load_runner::Follow(const accepted_job& accepted, std::uint64_t number, caller_client& client,
                         time_point until) {
  if (accepted.cancel_at_end) Cancel(accepted.job, number, client);
  job_seen last{accepted.job, "unreachable", ""};
  // The first job of a thread gets a look even if the time is over.
  for (std::uint32_t attempt = 0; attempt == 0 || MonotonicNow() < until; ++attempt) {
    const auto seen = Ask(accepted.job, EntryFor(number, attempt), client);
    if (seen && (seen->state != "unknown_job" || last.state == "unreachable")) last = *seen;
    if (IsFinal(last)) break;
    if (!seen || seen->state == "unknown_job") {
      if (!SleepUntil(MonotonicNow() + kAskAgain)) break;
    }
  }
  stats_.Add("jobs_" + last.state);
  if (last.state == "failed") stats_.Add("job_error_" + last.error);
  Record(std::move(last));
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
