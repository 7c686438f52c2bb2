// Measures how much of the workers' capacity is filled, relative to the volume bound, and how gangs
// that compete with each other are placed.
#include <algorithm>

#include "measure.h"

namespace sycamorehinge {

namespace {

constexpr std::uint32_t kWorkers = 50;
constexpr std::uint32_t kAcceleratorWorkers = 10;
constexpr std::int64_t kAccelerators = 4;

// Random work: 1 to 12 cores, 0.4 to 1.4 times the workers' memory for each core, some with
// accelerators, and some gangs of up to 12 tasks.
work_item RandomItem(std::uint64_t number, const resources& worker, std::uint64_t& random) {
  work_item item;
  item.id.task.job = {1, 1, number};
  item.kind = work_kind::kBatch;
  item.work_class = {"batch"};
  item.tenant = {"team-" + std::to_string(NextRandom(random) % 20)};
  constexpr std::array<std::int64_t, 8> kCores = {1, 1, 2, 2, 4, 4, 8, 12};
  const std::int64_t cores = kCores[NextRandom(random) % kCores.size()] * 1000;
  const double memory_per_core = static_cast<double>(worker.memory_mb) /
                                 static_cast<double>(worker.cores_milli) *
                                 (0.4 + UniformDouble(random));
  item.size = {cores, static_cast<std::int64_t>(static_cast<double>(cores) * memory_per_core), 0,
               0};
  if (NextRandom(random) % 25 == 0) {
    item.size.accelerators = static_cast<std::int64_t>(1 + NextRandom(random) % 2);
  }
  if (NextRandom(random) % 10 == 0) {
    item.kind = work_kind::kGang;
    item.count = static_cast<std::uint32_t>(2 + NextRandom(random) % 11);
  }
  return item;
}

resources TotalSize(const work_item& item) {
  const std::int64_t count = item.count;
  return {item.size.cores_milli * count, item.size.memory_mb * count,
          item.size.accelerators * count, 0};
}

double MaxShare(const resources& amount, const resources& capacity) {
  const double cores =
      static_cast<double>(amount.cores_milli) / static_cast<double>(capacity.cores_milli);
  const double memory =
      static_cast<double>(amount.memory_mb) / static_cast<double>(capacity.memory_mb);
  return std::max(cores, memory);
}

// Offers work for `volume` times the workers' capacity in its scarcer resource, cores or memory,
// and returns the share of the possible volume that is placed.
double RunPacking(const pool_options& options, const resources& worker, double volume,
                  std::uint64_t seed) {
  simulated_pool simulated(options);
  simulated.ClaimHosts(kWorkers, worker, kAcceleratorWorkers, kAccelerators);
  const resources capacity = simulated.Pool().Summary().capacity;
  std::uint64_t random = seed;
  resources offered;
  for (std::uint64_t number = 1;; ++number) {
    work_item item = RandomItem(number, worker, random);
    const resources next = offered + TotalSize(item);
    if (next.accelerators > capacity.accelerators) continue;
    if (MaxShare(next, capacity) > volume) break;
    offered = next;
    constexpr duration kRun = std::chrono::hours(10);
    item.run_time = kRun;
    simulated.Offer(item, kRun);
  }
  simulated.RunUntil(simulated.Now() + std::chrono::seconds(1));
  const double bound = std::min(1.0, MaxShare(offered, capacity));
  return MaxShare(simulated.Pool().Summary().taken, capacity) / bound;
}

struct gang_result {
  std::uint64_t placed = 0;
  std::uint64_t refused = 0;
  // Idle share of the capacity just before the gangs arrive, and on average while they wait.
  double idle_before = 0;
  double idle = 0;
  double longest_wait_s = 0;
};

std::uint64_t WaitingTasks(const pool& target) {
  for (const class_summary& summary : target.Summary().classes) {
    if (summary.work_class.value == "task") return summary.waiting;
  }
  return 0;
}

// Offers single tasks of 1 to 4 cores, and gangs with 6 cores for each task.
class gang_load {
 public:
  gang_load(simulated_pool& simulated, std::uint64_t seed) : simulated_(simulated), random_(seed) {}

  void OfferTasks(int tasks) {
    for (int n = 0; n < tasks; ++n)
      Offer(1, 1 + static_cast<std::int64_t>(NextRandom(random_) % 4));
  }
  void OfferGangs(int gangs) {
    for (int n = 0; n < gangs; ++n) {
      Offer(static_cast<std::uint32_t>(50 + NextRandom(random_) % 100), 6);
    }
  }

 private:
  void Offer(std::uint32_t count, std::int64_t cores) {
    work_item item;
    item.id.task.job = {1, 1, ++number_};
    item.kind = count > 1 ? work_kind::kGang : work_kind::kBatch;
    item.count = count;
    item.work_class = {count > 1 ? "gang" : "task"};
    item.tenant = {"team-" + std::to_string(number_ % 5)};
    item.size = {cores * 1000, cores * 4000, 0, 0};
    const duration run(static_cast<std::int64_t>(5e5 + UniformDouble(random_) * 1e6));
    item.run_time = run;
    simulated_.Offer(item, run);
  }

  simulated_pool& simulated_;
  std::uint64_t random_;
  std::uint64_t number_ = 0;
};

void RecordGang(const pool_action& action, gang_result& result) {
  if (const auto* placed = std::get_if<work_placed>(&action)) {
    if (placed->item.count == 1) return;
    ++result.placed;
    const double waited = std::chrono::duration<double>(placed->waited).count();
    result.longest_wait_s = std::max(result.longest_wait_s, waited);
  } else if (std::holds_alternative<work_refused>(action)) {
    ++result.refused;
  }
}

// Single tasks keep the workers busy; the gangs arrive at once and each takes 20% to 60% of them.
gang_result RunGangs(const pool_options& options, std::uint64_t seed) {
  constexpr int kGangs = 20;
  constexpr int kBacklog = 100;
  simulated_pool simulated(options);
  simulated.ClaimHosts(kWorkers, kLargeWorker, 0, 0);
  gang_result result;
  simulated.on_action = [&result](const pool_action& action, time_point) {
    RecordGang(action, result);
  };
  gang_load load(simulated, seed);
  const time_point start(std::chrono::seconds(2));
  const time_point end(std::chrono::seconds(60));
  bool offered = false;
  int samples = 0;
  while (simulated.Now() < end && result.placed + result.refused < kGangs) {
    if (WaitingTasks(simulated.Pool()) < kBacklog) load.OfferTasks(kBacklog);
    if (!offered && simulated.Now() > start) {
      load.OfferGangs(kGangs);
      offered = true;
    }
    simulated.RunUntil(simulated.Now() + std::chrono::milliseconds(10));
    const pool_summary summary = simulated.Pool().Summary();
    const double idle = 1 - MaxShare(summary.taken, summary.capacity);
    if (offered) {
      result.idle += idle;
      ++samples;
    } else {
      result.idle_before = idle;
    }
  }
  result.idle /= std::max(samples, 1);
  return result;
}

void MeasureWorkloads(const measure_options& options, const resources& worker, double volume,
                      std::string_view scenario) {
  constexpr int kWorkloads = 20;
  const std::vector<pool_variant> variants = PoolVariants();
  std::vector<double> sums(variants.size());
  std::vector<double> least(variants.size(), 1);
  for (int workload = 0; workload < kWorkloads; ++workload) {
    for (std::size_t v = 0; v < variants.size(); ++v) {
      const double ratio = RunPacking(variants[v].options, worker, volume,
                                      options.seed + static_cast<std::uint64_t>(workload));
      sums[v] += ratio;
      least[v] = std::min(least[v], ratio);
    }
  }
  for (std::size_t v = 0; v < variants.size(); ++v) {
    Print(scenario, variants[v].name, "mean", sums[v] / kWorkloads, "of_bound");
    Print(scenario, variants[v].name, "least", least[v], "of_bound");
  }
}

}  // namespace

void MeasurePacking(const measure_options& options) {
  for (const auto& [worker, name] :
       {std::pair{kLargeWorker, "130gb"}, std::pair{kSmallWorker, "60gb"}}) {
    MeasureWorkloads(options, worker, 1.0, std::string("packing_exact.") + name);
    MeasureWorkloads(options, worker, 1.5, std::string("packing_backlog.") + name);
  }
}

void MeasureGangs(const measure_options& options) {
  for (const pool_variant& variant : PoolVariants()) {
    const gang_result result = RunGangs(variant.options, options.seed);
    Print("gangs", variant.name, "placed", static_cast<double>(result.placed), "of_20");
    Print("gangs", variant.name, "refused", static_cast<double>(result.refused), "of_20");
    Print("gangs", variant.name, "idle_before", result.idle_before, "share");
    Print("gangs", variant.name, "idle_waiting", result.idle, "share");
    Print("gangs", variant.name, "longest_wait", result.longest_wait_s, "s");
  }
}

}  // namespace sycamorehinge
