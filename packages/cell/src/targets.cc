// Targets of jobs: the latest starts of their steps, and which new jobs can still end in time.
#include <algorithm>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// The target of a job includes one request to the policy service on this many hosts for each step.
constexpr std::int64_t kHostsInTarget = 30;
// A result later than this many times the target is of no use to the caller.
constexpr std::int64_t kUsefulTargets = 3;
// For callers whose job does not fit into the memory of the owner.
constexpr duration kMemoryRetryAfter = std::chrono::milliseconds(2000);

// Returns the length of the longest chain of steps that begins with each step.
std::vector<duration> ChainsOf(std::span<const step_spec> steps, const queue_settings& queue) {
  std::vector<duration> chains(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    chains[i] += steps[i].run_time;
    if (queue.advice) {
      chains[i] += queue.advice->decision_time + kHostsInTarget * queue.advice->time_per_host;
    }
    for (const std::uint32_t earlier : steps[i].after) {
      chains[earlier] = std::max(chains[earlier], chains[i]);
    }
  }
  return chains;
}

// The target of a job is its longest chain of steps times the stretch of the queue, plus the
// latency target of the queue.
duration TargetOf(std::span<const duration> chains, const queue_settings& queue) {
  const duration longest = *std::max_element(chains.begin(), chains.end());
  return ScaleTime(longest, queue.stretch) + queue.latency_target;
}

}  // namespace

// Sets the times by which the step has to start for its job to end within its target, and for its
// result to be of use. They count from the acceptance, or from the due time of the occurrence.
void scheduler::state::SetLatestStarts(job_entry& job, std::uint32_t occurrence,
                                       std::uint32_t index) {
  step_state& step = job.occurrences[occurrence].steps[index];
  const queue_settings* queue = QueueOf(job);
  step.latest_start = step.latest_useful_start = time_point::max();
  if (!queue || job.spec.steps[index].long_running) return;
  const std::vector<duration> chains = ChainsOf(job.spec.steps, *queue);
  const duration target = TargetOf(chains, *queue);
  const std::int64_t since = job.IsPeriodic() ? DueMs(job, occurrence) : job.accepted_ms;
  step.latest_start = now - std::chrono::milliseconds(wall_ms - since) + target - chains[index];
  step.latest_useful_start = step.latest_start + target * (kUsefulTargets - 1);
}

// Decides whether a new job can still end in time. The code of the answer is kOk if so.
answer_call scheduler::state::Admit(call_number call, const accepted_record& record) {
  answer_call answer{call};
  if (!FitsMemory(record)) {
    answer.code = errc::kOverloaded;
    answer.retry_after = SpreadRetry(kMemoryRetryAfter, record.job);
    return answer;
  }
  if (!config->HasTenants()) return answer;
  const tenant_index tenant = tenants.IndexOf(record.tenant);
  tenants.CountSubmission(tenant, now);
  const queue_settings& queue = *config->FindQueue(record.queue);
  const bool has_long_running =
      std::any_of(record.spec.steps.begin(), record.spec.steps.end(),
                  [](const step_spec& step) { return step.long_running; });
  if (has_long_running || record.spec.occurrences > 0) return answer;
  const std::vector<duration> chains = ChainsOf(record.spec.steps, queue);
  const admission_request request{*std::max_element(chains.begin(), chains.end()),
                                  TargetOf(chains, queue), tenants.OverRate(tenant)};
  const queue_load load = LoadOf(record.queue, tenant);
  std::visit(overloaded{[](const admitted&) {},
                        [&](const refused& decision) {
                          answer.code = errc::kOverloaded;
                          answer.retry_after =
                              queue_rates[record.queue].returns.NextReturn(decision, load, now);
                        }},
             DecideAdmission(request, load));
  return answer;
}

// Returns what waits in the queue ahead of a new job of the tenant.
queue_load scheduler::state::LoadOf(std::string_view queue, tenant_index tenant) {
  queue_load load;
  duration ages{};
  for (const waiting_key& key : waiting) {
    const job_entry* job = FindJob(key.job);
    const step_state* step = FindStep({key.job, key.occurrence, key.step, 0});
    if (!job || !step || job->queue != queue || now > step->latest_useful_start) continue;
    // What waits for the quota or the share of another tenant is not ahead of the job.
    const bool behind = tenants.OverShare(job->tenant) || IsQuotaClosed(*job);
    if (job->tenant != tenant && behind) continue;
    ++load.waiting_steps;
    ages += now - step->ready_since;
  }
  if (load.waiting_steps > 0) {
    load.mean_age = ages / static_cast<std::int64_t>(load.waiting_steps);
  }
  queue_rate& rate = queue_rates[std::string(queue)];
  rate.Decay(now);
  load.starts_per_second = rate.starts;
  return load;
}

}  // namespace sycamorehinge::cell
