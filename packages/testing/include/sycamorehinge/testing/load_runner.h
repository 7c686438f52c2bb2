// Sends planned work at a target rate from several threads and follows the jobs to their ends.
#ifndef SYCAMOREHINGE_TESTING_LOAD_RUNNER_H_
#define SYCAMOREHINGE_TESTING_LOAD_RUNNER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "sycamorehinge/testing/caller_client.h"
#include "sycamorehinge/testing/history.h"
#include "sycamorehinge/testing/load_plan.h"
#include "sycamorehinge/testing/load_stats.h"

namespace sycamorehinge::testing {

struct load_options {
  // Addresses of entry hosts, for example "http://127.0.0.1:7000".
  std::vector<std::string> entries;
  std::string caller_token;
  std::string operator_token;
  // Document whose version is watched at all entries, for example "sutepuu/production".
  std::string watch;
  load_mix mix;
  std::uint32_t threads = 8;
  // Requests and jobs per second over all threads.
  double rate = 100;
  duration length = std::chrono::seconds(10);
  // Sendings of one piece of work, the first included.
  std::uint32_t attempts = 3;
  duration timeout = std::chrono::seconds(30);
  // Longest time that the end of all jobs is waited for.
  duration job_wait = std::chrono::seconds(60);
};

class load_runner {
 public:
  load_runner(load_options options, std::shared_ptr<history_writer> history);

  // Blocks until all work is sent and all jobs have ended or their time is over.
  void Run();

  const load_stats& Stats() const { return stats_; }
  // Work sent per second, the retries not counted.
  double MeasuredRate() const { return measured_rate_; }

 private:
  struct accepted_job {
    std::string job;
    bool cancel_at_end = false;
  };

  void SendAll(time_point start);
  void Send(const planned_request& request, std::uint64_t number, caller_client& client);
  void Send(const planned_job& job, std::uint64_t number, caller_client& client);
  const std::string& EntryFor(std::uint64_t number, std::uint32_t attempt) const;
  // Waits before the next attempt; false if there is none.
  bool MayRetry(const conclusion& last, std::uint32_t attempt);

  void FollowJobs(time_point until);
  void Follow(const accepted_job& accepted, std::uint64_t number, caller_client& client,
              time_point until);
  void Cancel(const std::string& job, std::uint64_t number, caller_client& client);
  // State of the job at the entry; nullopt if the entry gave none.
  std::optional<job_seen> Ask(const std::string& job, const std::string& entry,
                              caller_client& client);
  void Watch();
  void Record(event_body body) { history_->Write({MonotonicNow(), std::move(body)}); }
  // False if the run ended before `until`.
  bool SleepUntil(time_point until);

  load_options options_;
  std::shared_ptr<history_writer> history_;
  load_stats stats_;
  std::atomic<std::uint64_t> next_number_ = 0;
  double measured_rate_ = 0;

  std::mutex jobs_mutex_;
  std::vector<accepted_job> jobs_;
  std::atomic<std::size_t> next_job_ = 0;

  std::mutex end_mutex_;
  std::condition_variable ended_changed_;
  bool ended_ = false;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_LOAD_RUNNER_H_
