#include "grown_workload.h"

#include <string>

namespace sycamorehinge::cell::testing {

namespace {

using std::chrono::microseconds;

constexpr int kHosts = 350;
constexpr int kHostsPerRack = 12;
constexpr resources kHost = {32'000, 131'072, 0, 0};
constexpr std::size_t kPolicyClients = 29;
// Of a hundred hosts, those that may run a step.
constexpr std::uint64_t kApprovedPercent = 30;
// Hosts of the request to the policy service that the target of a job includes for each step.
constexpr int kTargetRequestHosts = 30;
constexpr duration kArrivalStep = milliseconds(20);

struct class_spec {
  std::string_view queue;
  std::uint32_t priority;
  double stretch;
  duration latency_target;
  advice_settings advice;
  double jobs_per_second;
  // Mean number of steps in tenths.
  std::uint32_t step_tenths;
  std::int64_t max_tasks;
  std::int64_t min_cores, max_cores;
  duration run_time;
  bool gang;
};

constexpr std::array<class_spec, kJobClasses> kClasses = {
    class_spec{"settlement",
               1,
               2.2,
               milliseconds(1200),
               {milliseconds(559), microseconds(8060), std::chrono::seconds(2)},
               4.76,
               12,
               39,
               4000,
               14'000,
               milliseconds(5000),
               true},
    class_spec{"reprice",
               2,
               4.0,
               milliseconds(3000),
               {milliseconds(104), microseconds(1430), std::chrono::seconds(2)},
               12.3,
               15,
               49,
               2000,
               5000,
               milliseconds(2200),
               false},
    class_spec{"confirm",
               0,
               1.5,
               milliseconds(600),
               {microseconds(9360), microseconds(130), std::chrono::seconds(2)},
               137,
               10,
               5,
               3000,
               7000,
               milliseconds(640),
               false}};

const class_spec& SpecOf(job_class kind) { return kClasses[static_cast<std::size_t>(kind)]; }

// A verdict depends on step and host only.
bool IsApproved(const task_ref& step, const host_id& host) {
  std::uint64_t mixed = step.job * 0x9e3779b97f4a7c15ULL + step.step * 0xbf58476d1ce4e5b9ULL;
  for (const char letter : host.value)
    mixed = (mixed ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
  mixed ^= mixed >> 29;
  mixed *= 0x94d049bb133111ebULL;
  return (mixed >> 40) % 100 < kApprovedPercent;
}

}  // namespace

grown_workload::grown_workload(std::uint64_t seed) : cell_({}, seed), random_(seed) {
  for (const class_spec& spec : kClasses) {
    queue_settings& queue = cell_.AddQueue(std::string(spec.queue), spec.priority, 4);
    queue.stretch = spec.stretch;
    queue.latency_target = spec.latency_target;
    queue.advice = spec.advice;
  }
  for (int i = 0; i < kHosts; ++i) {
    cell_.AddHost("h" + std::to_string(i), kHost, "r" + std::to_string(i / kHostsPerRack));
  }
  cell_.policy_clients.resize(kPolicyClients);
  cell_.approve = IsApproved;
  cell_.run_time = [this](const task_ref& task, duration) {
    return run_times_.at({task.job, task.step});
  };
  cell_.StartFirstOwner();
  cell_.Run(std::chrono::seconds(1));
}

std::uint64_t grown_workload::NextRandom(std::uint64_t below) {
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return (random_ >> 33) % below;
}

std::int64_t grown_workload::Between(std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(NextRandom(static_cast<std::uint64_t>(high - low + 1)));
}

void grown_workload::SubmitJob(job_class kind) {
  const class_spec& spec = SpecOf(kind);
  const job_number number = next_job_++;
  job_spec job;
  job.payload = "work";
  const std::uint32_t steps = 1 + (NextRandom(10) < spec.step_tenths - 10 ? 1 : 0);
  duration chain{};
  for (std::uint32_t i = 0; i < steps; ++i) {
    step_spec& step = job.steps.emplace_back();
    step.count = static_cast<std::uint32_t>(Between(1, spec.max_tasks));
    step.size = {Between(spec.min_cores, spec.max_cores), Between(500, 8000), 0, 0};
    step.gang = spec.gang;
    if (i > 0) step.after = {i - 1};
    const duration time = spec.run_time * Between(50, 150) / 100;
    run_times_[{number, i}] = time;
    // Callers' estimates are off by up to half of the run time.
    step.run_time = time * Between(50, 150) / 100;
    chain += time + spec.advice.decision_time + kTargetRequestHosts * spec.advice.time_per_host;
  }
  const auto stretched =
      duration(static_cast<std::int64_t>(static_cast<double>(chain.count()) * spec.stretch));
  jobs_[number] = {kind, cell_.now, stretched + spec.latency_target};
  cell_.Submit(number, std::string(spec.queue), std::move(job));
}

void grown_workload::Submit(duration time, const std::array<double, kJobClasses>& load) {
  const time_point end = cell_.now + time;
  const double steps_per_second = 1e6 / static_cast<double>(kArrivalStep.count());
  while (cell_.now < end) {
    for (std::size_t kind = 0; kind < kJobClasses; ++kind) {
      // Twenty draws a step make the arrivals irregular.
      constexpr int kDraws = 20;
      const double chance = kClasses[kind].jobs_per_second * load[kind] / steps_per_second / kDraws;
      for (int draw = 0; draw < kDraws; ++draw) {
        if (static_cast<double>(NextRandom(1'000'000)) < chance * 1e6) {
          SubmitJob(static_cast<job_class>(kind));
        }
      }
    }
    cell_.Run(kArrivalStep);
  }
}

std::array<class_result, kJobClasses> grown_workload::Results(time_point from,
                                                              time_point until) const {
  std::map<job_number, duration> ended;
  for (const log_decision& decision : cell_.decisions) {
    if (decision.kind == decision_kind::kJobEnded) ended[decision.task.job] = decision.elapsed;
  }
  std::array<class_result, kJobClasses> results;
  for (const auto& [number, job] : jobs_) {
    if (job.at < from || job.at >= until) continue;
    class_result& result = results[static_cast<std::size_t>(job.kind)];
    ++result.jobs;
    const auto found = ended.find(number);
    if (found == ended.end()) continue;
    ++result.completed;
    if (found->second <= job.target) ++result.in_time;
  }
  return results;
}

std::uint32_t grown_workload::Unstarted() const {
  std::uint32_t count = 0;
  for (const auto& [number, job] : jobs_) {
    const auto first = cell_.tasks.lower_bound({number, 0, 0, 0});
    if (first == cell_.tasks.end() || first->first.job != number) ++count;
  }
  return count;
}

std::int64_t grown_workload::RunningCores() const {
  std::int64_t cores = 0;
  for (const auto& [name, host] : cell_.hosts) {
    for (const auto& [key, run] : host.running) cores += run.size.cores_milli;
  }
  return cores;
}

}  // namespace sycamorehinge::cell::testing
