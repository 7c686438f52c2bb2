// How much of the workers' room is filled, against the volume bound, and conflicts of gangs.
#include <algorithm>

#include "measure.h"

namespace sycamorehinge {

namespace {

constexpr std::uint32_t kWorkers = 50;
constexpr std::uint32_t kAcceleratorWorkers = 10;
constexpr std::int64_t kAccelerators = 4;

// Tasks of 1 to 12 cores whose memory for each core lies around the workers' own, some with
// accelerators, and gangs of up to 12 tasks.
work_item MixedItem(std::uint64_t number, const resources& worker, std::uint64_t& random) {
  work_item item;
  item.id.task.job = {1, 1, number};
  item.kind = work_kind::kBatch;
  item.work_class = {"batch"};
  item.tenant = {"team-" + std::to_string(NextRandom(random) % 20)};
  constexpr std::array<std::int64_t, 8> kCores = {1, 1, 2, 2, 4, 4, 8, 12};
  const std::int64_t cores = kCores[NextRandom(random) % kCores.size()] * 1000;
  const double each = static_cast<double>(worker.memory_mb) /
                      static_cast<double>(worker.cores_milli) * (0.4 + UniformDouble(random));
  item.size = {cores, static_cast<std::int64_t>(static_cast<double>(cores) * each), 0, 0};
  if (NextRandom(random) % 25 == 0) {
    item.size.accelerators = static_cast<std::int64_t>(1 + NextRandom(random) % 2);
  }
  if (NextRandom(random) % 10 == 0) {
    item.kind = work_kind::kGang;
    item.count = static_cast<std::uint32_t>(2 + NextRandom(random) % 11);
  }
  return item;
}

resources TotalOf(const work_item& item) {
  const std::int64_t count = item.count;
  return {item.size.cores_milli * count, item.size.memory_mb * count,
          item.size.accelerators * count, 0};
}

double BoundShare(const resources& amount, const resources& capacity) {
  const double cores =
      static_cast<double>(amount.cores_milli) / static_cast<double>(capacity.cores_milli);
  const double memory =
      static_cast<double>(amount.memory_mb) / static_cast<double>(capacity.memory_mb);
  return std::max(cores, memory);
}

// Offers `volume` times the room of the workers on the scarcest axis, and returns the placed
// volume on that axis relative to the bound.
double PackOnce(const pool_options& options, const resources& worker, double volume,
                std::uint64_t seed) {
  simulated_pool simulated(options);
  simulated.ClaimHosts(kWorkers, worker, kAcceleratorWorkers, kAccelerators);
  const resources capacity = simulated.Target().Summary().capacity;
  std::uint64_t random = seed;
  resources offered;
  for (std::uint64_t number = 1;; ++number) {
    work_item item = MixedItem(number, worker, random);
    const resources next = offered + TotalOf(item);
    if (next.accelerators > capacity.accelerators) continue;
    if (BoundShare(next, capacity) > volume) break;
    offered = next;
    constexpr duration kRun = std::chrono::hours(10);
    item.run_time = kRun;
    simulated.Offer(item, kRun);
  }
  simulated.RunUntil(simulated.Now() + std::chrono::seconds(1));
  const double bound = std::min(1.0, BoundShare(offered, capacity));
  return BoundShare(simulated.Target().Summary().taken, capacity) / bound;
}

struct gang_result {
  std::uint64_t placed = 0;
  std::uint64_t refused = 0;
  // Room held free for waiting gangs, as a share of all room over time.
  double idle = 0;
  double longest_wait_s = 0;
};

std::uint64_t WaitingTasks(const pool& target) {
  for (const class_summary& summary : target.Summary().classes) {
    if (summary.work_class.value == "task") return summary.waiting;
  }
  return 0;
}

gang_result GangsOnce(const pool_options& options, std::uint64_t seed) {
  constexpr int kGangs = 20;
  simulated_pool simulated(options);
  simulated.ClaimHosts(kWorkers, kLargeWorker, 0, 0);
  std::uint64_t random = seed;
  gang_result result;
  simulated.observe = [&result](const pool_action& action, time_point) {
    if (const auto* placed = std::get_if<work_placed>(&action)) {
      if (placed->item.count == 1) return;
      ++result.placed;
      const double waited = std::chrono::duration<double>(placed->waited).count();
      result.longest_wait_s = std::max(result.longest_wait_s, waited);
    } else if (std::holds_alternative<work_refused>(action)) {
      ++result.refused;
    }
  };
  std::uint64_t number = 0;
  const auto offer = [&](std::uint32_t count, std::int64_t cores) {
    work_item item;
    item.id.task.job = {1, 1, ++number};
    item.kind = count > 1 ? work_kind::kGang : work_kind::kBatch;
    item.count = count;
    item.work_class = {count > 1 ? "gang" : "task"};
    item.tenant = {"team-" + std::to_string(number % 5)};
    item.size = {cores * 1000, cores * 4000, 0, 0};
    const duration run(static_cast<std::int64_t>(5e5 + UniformDouble(random) * 1e6));
    item.run_time = run;
    simulated.Offer(item, run);
  };
  // Single tasks keep the workers busy; the gangs arrive at once and each takes up to 60% of them.
  const time_point end = simulated.Now() + std::chrono::seconds(60);
  bool offered = false;
  double taken = 0;
  int samples = 0;
  while (simulated.Now() < end && result.placed + result.refused < kGangs) {
    if (WaitingTasks(simulated.Target()) < 100) {
      for (int n = 0; n < 100; ++n) offer(1, 1 + static_cast<std::int64_t>(NextRandom(random) % 4));
    }
    if (!offered && simulated.Now() > time_point(std::chrono::seconds(2))) {
      for (int n = 0; n < kGangs; ++n) {
        offer(static_cast<std::uint32_t>(50 + NextRandom(random) % 100), 6);
      }
      offered = true;
    }
    simulated.RunUntil(simulated.Now() + std::chrono::milliseconds(10));
    if (!offered) continue;
    const pool_summary summary = simulated.Target().Summary();
    taken += BoundShare(summary.taken, summary.capacity);
    ++samples;
  }
  result.idle = samples > 0 ? 1 - taken / samples : 0;
  return result;
}

}  // namespace

void MeasurePacking(const measure_options& options) {
  constexpr int kMixes = 20;
  for (const auto& [worker, name] : {std::pair{kLargeWorker, std::string("130gb")},
                                     std::pair{kSmallWorker, std::string("60gb")}}) {
    for (const auto& [volume, load] :
         {std::pair{1.0, std::string("exact")}, std::pair{1.5, std::string("backlog")}}) {
      const std::vector<pool_variant> variants = PoolVariants();
      std::vector<double> sums(variants.size());
      std::vector<double> least(variants.size(), 1);
      for (int mix = 0; mix < kMixes; ++mix) {
        for (std::size_t v = 0; v < variants.size(); ++v) {
          const double ratio = PackOnce(variants[v].options, worker, volume,
                                        options.seed + static_cast<std::uint64_t>(mix));
          sums[v] += ratio;
          least[v] = std::min(least[v], ratio);
        }
      }
      for (std::size_t v = 0; v < variants.size(); ++v) {
        const std::string scenario = "packing_" + load + "." + name;
        Print(scenario, variants[v].name, "mean", sums[v] / kMixes, "of_bound");
        Print(scenario, variants[v].name, "least", least[v], "of_bound");
      }
    }
  }
}

void MeasureGangs(const measure_options& options) {
  for (const pool_variant& variant : PoolVariants()) {
    const gang_result result = GangsOnce(variant.options, options.seed);
    Print("gangs", variant.name, "placed", static_cast<double>(result.placed), "of_20");
    Print("gangs", variant.name, "refused", static_cast<double>(result.refused), "of_20");
    Print("gangs", variant.name, "idle_room", result.idle, "share");
    Print("gangs", variant.name, "longest_wait", result.longest_wait_s, "s");
  }
}

}  // namespace sycamorehinge
