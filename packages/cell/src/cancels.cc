// Cancelled jobs that are not known: their submission may still be on its way, in a process that is
// paused, or held by one that knows no owner. The cancelling is kept, durably, for as long as that,
// so that such a submission does not run.
#include "state.h"

namespace sycamorehinge::cell {

namespace {

constexpr duration kCancelRetryAfter = std::chrono::milliseconds(1000);

}  // namespace

void scheduler::state::RestoreCancel(const cancelled_record& record) {
  early_cancels.emplace(record.job, early_cancel{record.cancelled_ms, 0, record.tenant});
  early_cancel_times.emplace(record.cancelled_ms, record.job);
}

// Cancels a job that was never submitted, as far as the owner knows.
void scheduler::state::CancelUnknown(call_number call, job_number number, std::string_view tenant) {
  const answer_call unknown{call, errc::kUnknownJob};
  const auto known = early_cancels.find(number);
  if (known != early_cancels.end() && known->second.tenant == tenant) {
    return Answer(unknown, known->second.sequence);
  }
  // One cancelling is kept for each number, so another tenant has to come back.
  if (known != early_cancels.end() || early_cancels.size() >= options.max_early_cancels) {
    answer_call refused{call, errc::kOverloaded};
    refused.retry_after = kCancelRetryAfter;
    return Answer(refused, 0);
  }
  const std::uint64_t written = Write(cancelled_record{number, wall_ms, std::string(tenant)});
  early_cancels.emplace(number, early_cancel{wall_ms, written, std::string(tenant)});
  early_cancel_times.emplace(wall_ms, number);
  LogDecision(decision_kind::kJobCancelled, {number}, 0, {}, "it has not been submitted");
  Answer(unknown, written);
}

// Handles a submission whose cancelling came first: the job ends as cancelled, like one that was
// cancelled after its submission. Returns false if the job was not cancelled, or by another tenant.
bool scheduler::state::SubmitCancelled(call_number call, job_number number, std::string_view queue,
                                       std::string_view tenant) {
  const auto found = early_cancels.find(number);
  if (found == early_cancels.end() || found->second.tenant != tenant) return false;
  early_cancel_times.erase({found->second.cancelled_ms, number});
  early_cancels.erase(found);
  job_entry& job = jobs[number];
  job.queue = queue;
  job.tenant = tenants.IndexOf(tenant);
  job.tenant_name = tenant;
  job.phase = job_phase::kCancelled;
  job.accepted_ms = job.ended_ms = wall_ms;
  WriteProgress(number, job);
  Write(remove_cancelled{number});
  ended_jobs.emplace_back(job.ended_ms, number);
  Answer({call, errc::kOk, job.phase}, job.phase_sequence);
  LogDecision(decision_kind::kJobCancelled, {number}, 0, {}, "it was cancelled before it arrived");
  return true;
}

void scheduler::state::RemoveExpiredCancels() {
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.early_cancel_retention);
  while (!early_cancel_times.empty() &&
         early_cancel_times.begin()->first + keep.count() < wall_ms) {
    const job_number number = early_cancel_times.begin()->second;
    early_cancel_times.erase(early_cancel_times.begin());
    early_cancels.erase(number);
    Write(remove_cancelled{number});
  }
}

}  // namespace sycamorehinge::cell
