// Measures waits, shares and used cores while one class offers ten times its usual load, and
// outlier ejection.
#include <algorithm>
#include <span>
#include <string>

#include "measure.h"

namespace sycamorehinge {

namespace {

constexpr std::uint32_t kWorkers = 50;
constexpr double kCores = 30.0 * kWorkers;
constexpr duration kWarmUp = std::chrono::seconds(5);

struct class_load {
  std::string_view name;
  double share = 0;
  // Offered load as a share of all cores.
  double load = 0;
  double mean_run_s = 1;
  std::int64_t max_cores = 4;
  bool preemptible = false;
};

environment_document RulesOf(std::span<const class_load> loads) {
  environment_document document;
  std::int32_t urgency = 100;
  for (const class_load& load : loads) {
    class_rule rule;
    rule.name = {std::string(load.name)};
    rule.share = load.share;
    rule.urgency = urgency--;
    rule.max_wait = std::chrono::seconds(5);
    document.classes.push_back(rule);
  }
  return document;
}

// A simulated pool with an open-loop load generator: exponential intervals, 1 to max_cores cores.
class loaded_pool {
 public:
  loaded_pool(const pool_options& options, std::span<const class_load> loads, std::uint64_t seed)
      : simulated(options), loads_(loads.begin(), loads.end()), random_(seed) {
    simulated.SetRules(RulesOf(loads));
    simulated.ClaimHosts(kWorkers, kLargeWorker, 0, 0);
    for (std::size_t c = 0; c < loads_.size(); ++c)
      next_offers_.push_back(time_point(NextInterval(c)));
  }

  void RunUntil(time_point end) {
    while (true) {
      const auto first = std::min_element(next_offers_.begin(), next_offers_.end());
      if (*first > end) break;
      simulated.RunUntil(*first);
      const auto c = static_cast<std::size_t>(first - next_offers_.begin());
      Offer(loads_[c]);
      *first += NextInterval(c);
    }
    simulated.RunUntil(end);
  }

  simulated_pool simulated;

 private:
  duration NextInterval(std::size_t c) {
    const class_load& load = loads_[c];
    const double mean_cores = (1.0 + static_cast<double>(load.max_cores)) / 2;
    return ExponentialGap(1e6 * mean_cores * load.mean_run_s / (load.load * kCores), random_);
  }
  void Offer(const class_load& load) {
    work_item item;
    item.id.task.job = {1, 1, ++number_};
    item.kind = work_kind::kBatch;
    item.work_class = {std::string(load.name)};
    item.tenant = {"team-" + std::to_string(NextRandom(random_) % 20)};
    const std::int64_t cores =
        1 +
        static_cast<std::int64_t>(NextRandom(random_) % static_cast<std::uint64_t>(load.max_cores));
    item.size = {cores * 1000, cores * 3000, 0, 0};
    item.preemptible = load.preemptible;
    const duration run(
        static_cast<std::int64_t>((0.5 + UniformDouble(random_)) * load.mean_run_s * 1e6));
    // Declared run times are off by up to a factor of four.
    item.run_time = duration(static_cast<std::int64_t>(static_cast<double>(run.count()) *
                                                       (0.25 + 3.75 * UniformDouble(random_))));
    simulated.Offer(item, run);
  }

  std::vector<class_load> loads_;
  std::uint64_t random_;
  std::vector<time_point> next_offers_;
  std::uint64_t number_ = 0;
};

double WaitP99Ms(simulated_class& counts) {
  std::vector<double> waits;
  for (const duration wait : counts.waits) waits.push_back(static_cast<double>(wait.count()) / 1e3);
  return Percentile(std::move(waits), 0.99);
}

// Share of all cores that a class used since StartCounting.
double CoreShare(const simulated_class& counts, duration counted) {
  return counts.core_time / (kCores * 1000 * static_cast<double>(counted.count()));
}

std::vector<class_load> ShareLoads(bool preemptible) {
  return {{"urgent", 0.2, 0.2, 0.5, 2, preemptible},
          {"normal", 0.35, 0.35, 1, 4, preemptible},
          {"batch", 0.45, 0.45, 2, 4, preemptible}};
}

struct share_result {
  std::vector<double> held;
  double useful = 0;
};

share_result RunShares(const pool_options& options, std::span<const class_load> loads,
                       std::uint64_t seed, duration length) {
  loaded_pool loaded(options, loads, seed);
  loaded.RunUntil(time_point(kWarmUp));
  loaded.simulated.StartCounting();
  loaded.RunUntil(time_point(kWarmUp + length));
  share_result result;
  for (const class_load& load : loads) {
    const double held = CoreShare(loaded.simulated.Class({std::string(load.name)}), length);
    result.held.push_back(held);
    result.useful += held;
  }
  return result;
}

void MeasureOverload(const measure_options& options, std::span<const class_load> normal,
                     const std::string& scenario) {
  const duration length = std::chrono::seconds(options.seconds);
  for (const pool_variant& variant : PoolVariants()) {
    const share_result before = RunShares(variant.options, normal, options.seed, length);
    Print(scenario, variant.name, "useful_normal", before.useful, "share");
    for (std::size_t overloaded_class = 0; overloaded_class < normal.size(); ++overloaded_class) {
      std::vector<class_load> loads(normal.begin(), normal.end());
      loads[overloaded_class].load *= 10;
      const share_result after = RunShares(variant.options, loads, options.seed, length);
      const std::string overload = scenario + ".over_" + std::string(loads[overloaded_class].name);
      for (std::size_t c = 0; c < loads.size(); ++c) {
        Print(overload, variant.name, std::string("kept_").append(loads[c].name),
              after.held[c] / before.held[c], "ratio");
      }
      Print(overload, variant.name, "useful", after.useful, "share");
    }
  }
}

}  // namespace

void MeasureUrgentWait(const measure_options& options) {
  const duration length = std::chrono::seconds(options.seconds);
  for (const pool_variant& variant : PoolVariants()) {
    for (const double factor : {1.0, 10.0}) {
      const std::vector<class_load> loads = {{"urgent", 0.2, 0.1, 0.5, 2, false},
                                             {"batch", 0.8, 0.6 * factor, 2, 4, true}};
      loaded_pool loaded(variant.options, loads, options.seed);
      loaded.RunUntil(time_point(kWarmUp));
      loaded.simulated.StartCounting();
      loaded.RunUntil(time_point(kWarmUp + length));
      const std::string_view figure = factor > 1 ? "p99_overload" : "p99_normal";
      simulated_class& urgent = loaded.simulated.Class({"urgent"});
      Print("urgent_wait", variant.name, figure, WaitP99Ms(urgent), "ms");
      if (factor == 1.0) continue;
      Print("urgent_wait", variant.name, "placed_overload",
            static_cast<double>(urgent.placed) /
                static_cast<double>(std::max<std::uint64_t>(urgent.offered, 1)),
            "share");
    }
  }
}

void MeasureShares(const measure_options& options) {
  MeasureOverload(options, ShareLoads(true), "shares");
  // Without preemption no class may borrow, so each class can use only its guaranteed share.
  MeasureOverload(options, ShareLoads(false), "shares_fixed");
}

void MeasureEjection(const measure_options& options) {
  std::vector<pool_variant> variants = PoolVariants();
  variants.push_back({"no_ejection", {}});
  variants.back().options.eject_failing_hosts = false;
  const host_id failing_host{"w00007"};
  for (const pool_variant& variant : variants) {
    const std::vector<class_load> loads = {{"batch", 1.0, 0.8, 1, 4, true}};
    // Spread is the worst case: it prefers hosts with free capacity, and a host that fails every
    // task at once is always free.
    pool_options spreading = variant.options;
    if (!spreading.placement) spreading.placement = placement_kind::kSpread;
    loaded_pool loaded(spreading, loads, options.seed);
    loaded.RunUntil(time_point(kWarmUp));
    loaded.simulated.SetFailing(failing_host, true);
    loaded.RunUntil(time_point(kWarmUp + std::chrono::seconds(10)));
    loaded.simulated.StartCounting();
    loaded.RunUntil(time_point(kWarmUp + std::chrono::seconds(40)));
    const auto starts = loaded.simulated.Starts().find(failing_host);
    const double failing_host_starts =
        starts == loaded.simulated.Starts().end() ? 0 : static_cast<double>(starts->second);
    Print("ejection", variant.name, "starts_on_failing",
          failing_host_starts / static_cast<double>(loaded.simulated.TotalStarts()), "share");
    const time_point repaired_at = loaded.simulated.Now();
    loaded.simulated.SetFailing(failing_host, false);
    double reinstated_after_s = -1;
    for (int step = 1; step <= 600 && reinstated_after_s < 0; ++step) {
      loaded.RunUntil(repaired_at + std::chrono::milliseconds(100) * step);
      for (const host_summary& host : loaded.simulated.Pool().Hosts()) {
        if (host.host == failing_host && !host.ejected) reinstated_after_s = step * 0.1;
      }
    }
    Print("ejection", variant.name, "back_after_mending", reinstated_after_s, "s");
  }
}

}  // namespace sycamorehinge
