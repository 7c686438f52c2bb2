// Measures the time of one decision: the handling of one event with 6,800 tasks running.
#include <chrono>
#include <memory>
#include <string>

#include "measure.h"

namespace sycamorehinge {

namespace {

constexpr std::uint32_t kRunningTasks = 6'800;
constexpr std::uint64_t kTenants = 380;
constexpr std::array<std::uint32_t, 3> kWorkers = {50, 350, 1'400};
constexpr std::array<std::string_view, 4> kClasses = {"urgent", "normal", "service", "batch"};
// Decisions of one variant in each round. Rounds alternate between the variants, so that changes of
// the machine's speed affect all of them.
constexpr int kDecisionsPerRound = 5'000;
// Number of queued items in the runs with a queue.
constexpr std::uint64_t kQueuedItems = 2'000;

environment_document SpeedRules() {
  environment_document document;
  constexpr std::array<double, 4> kShares = {0.15, 0.25, 0.2, 0.4};
  for (std::size_t i = 0; i < kClasses.size(); ++i) {
    class_rule rule;
    rule.name = {std::string(kClasses[i])};
    rule.share = kShares[i];
    rule.urgency = static_cast<std::int32_t>(kClasses.size() - i);
    rule.max_wait = std::chrono::hours(10);
    document.classes.push_back(rule);
  }
  return document;
}

// Keeps 6,800 tasks running: offers new work after each one that finishes.
class speed_run {
 public:
  speed_run(pool_options options, std::uint32_t workers, bool queued, std::uint64_t seed)
      : target_(options), with_queue_(queued), random_(seed) {
    // The tasks take 0.9 of the cores, or slightly more than all of them in the runs with a queue.
    mean_cores_ = 30'000.0 * workers * (queued ? 1.02 : 0.9) / kRunningTasks;
    Send(rules_changed{std::make_shared<environment_document>(SpeedRules())});
    for (std::uint32_t n = 0; n < workers; ++n) {
      Send(host_claimed{{"worker-" + std::to_string(n)}, 1, kLargeWorker, {}, {}, false});
    }
    for (std::uint32_t n = 0; n < kRunningTasks + (queued ? kQueuedItems : 0); ++n) Offer();
    times_.clear();
  }

  void Run(int decisions) {
    for (int n = 0; n < decisions; n += 2) {
      now_ += duration(1000);
      FinishOne();
      Offer();
      if (target_.NextTick() <= now_) Send(pool_tick{});
    }
  }
  const std::vector<double>& Multiply() const { return times_; }
  std::size_t Running() const { return running_.size(); }

 private:
  void Send(const pool_event& event) {
    actions_.clear();
    const auto start = std::chrono::steady_clock::now();
    target_.Handle(event, now_, actions_);
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    times_.push_back(took.count());
    for (const pool_action& action : actions_) {
      if (const auto* placed = std::get_if<work_placed>(&action)) {
        running_.push_back({placed->item.id, placed->places.front().host});
      }
    }
  }

  void Offer() {
    if (!with_queue_ && running_.size() >= kRunningTasks) return;
    const std::uint64_t kind = NextRandom(random_) % 100;
    work_item item;
    item.id.task.job = {1, 1, ++last_job_};
    item.kind = work_kind::kBatch;
    item.work_class = {std::string(kClasses[kind < 15 ? 0 : kind < 40 ? 1 : kind < 60 ? 2 : 3])};
    item.tenant = {"team-" + std::to_string(NextRandom(random_) % kTenants)};
    item.preemptible = kind >= 40;
    const double cores = mean_cores_ * (0.25 + 1.5 * UniformDouble(random_));
    item.size = {static_cast<std::int64_t>(cores), static_cast<std::int64_t>(cores * 3), 0, 0};
    item.run_time = std::chrono::seconds(60);
    Send(work_offered{std::move(item)});
  }

  void FinishOne() {
    if (running_.empty()) return;
    std::swap(running_[NextRandom(random_) % running_.size()], running_.back());
    const auto [id, host] = running_.back();
    running_.pop_back();
    Send(work_finished{id, host, finish_kind::kSucceeded, std::chrono::seconds(60)});
  }

  pool target_;
  bool with_queue_;
  std::uint64_t random_;
  double mean_cores_ = 0;
  time_point now_;
  std::uint64_t last_job_ = 0;
  std::vector<pool_action> actions_;
  std::vector<std::pair<attempt_id, host_id>> running_;
  std::vector<double> times_;
};

void MeasureDecisions(const measure_options& options, bool queued) {
  const std::vector<pool_variant> variants = PoolVariants();
  std::vector<std::unique_ptr<speed_run>> runs;
  for (const pool_variant& variant : variants) {
    for (const std::uint32_t workers : kWorkers) {
      runs.push_back(std::make_unique<speed_run>(variant.options, workers, queued, options.seed));
    }
  }
  for (std::int64_t round = 0; round < options.seconds; ++round) {
    for (const auto& run : runs) run->Run(kDecisionsPerRound);
  }
  std::size_t next = 0;
  for (const pool_variant& variant : variants) {
    for (const std::uint32_t workers : kWorkers) {
      const speed_run& run = *runs[next++];
      double sum = 0;
      for (const double time : run.Multiply()) sum += time;
      const std::string scenario =
          std::string(queued ? "decision_queued." : "decision.") + std::to_string(workers);
      Print(scenario, variant.name, "running", static_cast<double>(run.Running()), "tasks");
      Print(scenario, variant.name, "p50", Percentile(run.Multiply(), 0.5), "us");
      Print(scenario, variant.name, "p99", Percentile(run.Multiply(), 0.99), "us");
      Print(scenario, variant.name, "rate", static_cast<double>(run.Multiply().size()) / sum * 1e6,
            "decisions/s");
    }
  }
}

}  // namespace

void MeasureSpeed(const measure_options& options) {
  MeasureDecisions(options, false);
  MeasureDecisions(options, true);
}

}  // namespace sycamorehinge
