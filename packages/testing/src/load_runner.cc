#include "sycamorehinge/testing/load_runner.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "job_answer.h"

namespace sycamorehinge::testing {

namespace {

// Pause before a retry whose answer names none.
constexpr duration kRetryPause = std::chrono::milliseconds(20);
// Longest pause that a caller accepts before it retries.
constexpr duration kLongestPause = std::chrono::milliseconds(500);

std::vector<std::string> RequestHeaders(const load_mix& mix, const planned_request& request) {
  std::vector<std::string> headers = {
      "Sycamorehinge-Environment: " + mix.environment, "Sycamorehinge-Tenant: " + request.tenant,
      "Sycamorehinge-Class: " + request.work_class, "Sycamorehinge-Request: " + request.name};
  if (!request.key.empty()) {
    headers.push_back("Sycamorehinge-Key: " + request.key);
    headers.emplace_back("Sycamorehinge-Idempotent: false");
  }
  if (mix.deadline > duration::zero()) {
    headers.push_back("Sycamorehinge-Deadline-Ms: " +
                      std::to_string(mix.deadline / std::chrono::milliseconds(1)));
  }
  return headers;
}

void RunThreads(std::uint32_t count, const std::function<void()>& body) {
  std::vector<std::thread> threads;
  for (std::uint32_t i = 0; i < count; ++i) threads.emplace_back(body);
  for (std::thread& thread : threads) thread.join();
}

}  // namespace

load_runner::load_runner(load_options options, std::shared_ptr<history_writer> history)
    : options_(std::move(options)), history_(std::move(history)) {}

bool load_runner::SleepUntil(time_point until) {
  std::unique_lock lock(end_mutex_);
  return !ended_changed_.wait_until(lock, until, [this] { return ended_; });
}

void load_runner::Run() {
  std::thread watcher;
  if (!options_.watch.empty()) watcher = std::thread([this] { Watch(); });
  const time_point start = MonotonicNow();
  RunThreads(options_.threads, [this, start] { SendAll(start); });
  const double seconds = std::chrono::duration<double>(MonotonicNow() - start).count();
  measured_rate_ = static_cast<double>(stats_.Count("sent")) / std::max(seconds, 1e-3);
  const time_point until = MonotonicNow() + options_.job_wait;
  RunThreads(options_.threads, [this, until] { FollowJobs(until); });
  {
    const std::lock_guard lock(end_mutex_);
    ended_ = true;
  }
  ended_changed_.notify_all();
  if (watcher.joinable()) watcher.join();
  history_->Flush();
}

void load_runner::SendAll(time_point start) {
  caller_client client(options_.caller_token);
  const auto interval = std::chrono::duration<double>(1 / options_.rate);
  while (true) {
    const std::uint64_t number = next_number_++;
    const auto offset =
        std::chrono::duration_cast<duration>(interval * static_cast<double>(number));
    if (offset >= options_.length) return;
    if (MonotonicNow() > start + offset + std::chrono::milliseconds(10)) stats_.Add("sent_late");
    if (!SleepUntil(start + offset)) return;
    stats_.Add("sent");
    std::visit([&](const auto& work) { Send(work, number, client); },
               PlanWork(options_.mix, number));
  }
}

const std::string& load_runner::EntryFor(std::uint64_t number, std::uint32_t attempt) const {
  return options_.entries[(number + attempt) % options_.entries.size()];
}

bool load_runner::MayRetry(const conclusion& last, std::uint32_t attempt) {
  if (last.outcome == "done" || last.outcome == "accepted" || last.outcome == "failed") {
    return false;
  }
  if (attempt + 1 >= options_.attempts) return false;
  stats_.Add("retries");
  const duration pause = last.retry_after > duration::zero() ? last.retry_after : kRetryPause;
  return SleepUntil(MonotonicNow() + std::min(pause, kLongestPause));
}

void load_runner::Send(const planned_request& request, std::uint64_t number,
                       caller_client& client) {
  caller_call call;
  call.method = "POST";
  call.path = "/v1/requests/" + options_.mix.service;
  call.headers = RequestHeaders(options_.mix, request);
  call.body = request.body;
  call.timeout = options_.timeout;
  const std::uint64_t expected = StableHash(ExpectedAnswer(request.body));
  conclusion last;
  for (std::uint32_t attempt = 0; attempt == 0 || MayRetry(last, attempt - 1); ++attempt) {
    const std::string& entry = EntryFor(number, attempt);
    Record(request_sent{request.name, entry, request.key, request.work_class, request.key.empty(),
                        StableHash(request.body)});
    const time_point sent = MonotonicNow();
    const caller_reply reply = client.Call(entry, call);
    last = Conclude(reply, 200, "done");
    if (last.outcome == "done") stats_.AddWait(request.work_class, MonotonicNow() - sent);
    Record(request_answered{request.name, entry, last.outcome, last.error, expected,
                            StableHash(reply.body)});
  }
  stats_.Add("requests_" + last.outcome);
  if (!last.error.empty()) stats_.Add("error_" + last.error);
}

void load_runner::Send(const planned_job& job, std::uint64_t number, caller_client& client) {
  caller_call call;
  call.method = "POST";
  call.path = "/v1/jobs";
  call.body = JobBody(options_.mix, job);
  call.timeout = options_.timeout;
  conclusion last;
  std::string id;
  for (std::uint32_t attempt = 0; attempt == 0 || MayRetry(last, attempt - 1); ++attempt) {
    const std::string& entry = EntryFor(number, attempt);
    Record(job_sent{job.name, entry, job.name, job.work_class, std::string(ToString(job.kind)),
                    job.tasks, job.idempotent, StableHash(job.payload)});
    const time_point sent = MonotonicNow();
    const caller_reply reply = client.Call(entry, call);
    last = Conclude(reply, 202, "accepted");
    if (last.outcome == "accepted") {
      stats_.AddWait("submit_" + job.work_class, MonotonicNow() - sent);
      id = JobIn(reply.body);
    }
    Record(job_answered{job.name, entry, last.outcome, last.error, id});
  }
  stats_.Add("jobs_" + last.outcome);
  if (!last.error.empty()) stats_.Add("error_" + last.error);
  if (id.empty()) return;
  if (job.cancel) Cancel(id, number, client);
  const std::lock_guard lock(jobs_mutex_);
  jobs_.push_back({id, job.kind == job_kind::kService && !job.cancel});
}

}  // namespace sycamorehinge::testing
