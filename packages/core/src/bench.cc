#include "sycamorehinge/core/bench.h"

#include <array>

#include "simulated_pool.h"
#include "sycamorehinge/core/placement.h"

namespace sycamorehinge {

namespace {

constexpr resources kWorker{30'000, 130'000, 0, 0};
constexpr std::uint32_t kTenants = 20;
// Three classes that together offer more work than the hosts can run, so that the workload covers
// queueing, refusal, preemption and borrowing.
constexpr std::array<std::string_view, 3> kClasses = {"urgent", "normal", "batch"};
// Offered work as a multiple of the cores of all hosts.
constexpr double kOfferedLoad = 1.2;

class decision_digest {
 public:
  void Add(std::uint64_t number) {
    value_ = (value_ ^ number) * 0x9e3779b97f4a7c15ULL;
    value_ ^= value_ >> 29;
  }
  void Add(std::string_view text) { Add(StableHash(text)); }
  void Add(const attempt_id& id) {
    Add(id.task.job.number);
    Add((static_cast<std::uint64_t>(id.task.index) << 32) | id.number);
  }
  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

struct pool_recorder {
  decision_digest digest;
  std::uint64_t placed = 0;
  std::uint64_t refused = 0;
  std::uint64_t preempted = 0;
  std::uint64_t overflowed = 0;

  void Record(const work_placed& action) {
    ++placed;
    digest.Add(action.item.id);
    for (const placement& place : action.places) digest.Add(place.host.value);
  }
  void Record(const work_refused& action) {
    ++refused;
    digest.Add(action.id);
    digest.Add(static_cast<std::uint64_t>(action.reason));
    digest.Add(static_cast<std::uint64_t>(action.retry_after.count()));
  }
  void Record(const preemption_wanted& action) {
    ++preempted;
    digest.Add(action.id);
    digest.Add(action.host.value);
  }
  void Record(const overflow_wanted& action) {
    ++overflowed;
    digest.Add(action.item.id);
  }
};

environment_document BenchRules() {
  environment_document document;
  constexpr std::array<double, 3> kShares = {0.2, 0.3, 0.5};
  for (std::size_t i = 0; i < kClasses.size(); ++i) {
    class_rule rule;
    rule.name = {std::string(kClasses[i])};
    rule.share = kShares[i];
    rule.urgency = static_cast<std::int32_t>(kClasses.size() - i);
    rule.max_wait = std::chrono::seconds(10);
    document.classes.push_back(rule);
  }
  return document;
}

work_item NextItem(std::uint64_t number, std::uint64_t& random) {
  work_item item;
  item.id.task.job = {0, 1, number};
  const std::uint64_t kind = NextRandom(random) % 100;
  item.work_class = {std::string(kClasses[kind < 15 ? 0 : kind < 40 ? 1 : 2])};
  item.tenant = {"t" + std::to_string(NextRandom(random) % kTenants)};
  item.kind = work_kind::kBatch;
  item.preemptible = kind >= 40;
  const auto cores = static_cast<std::int64_t>(1 + NextRandom(random) % 6);
  item.size = {cores * 1000, static_cast<std::int64_t>(cores * (1 + NextRandom(random) % 6)) * 1000,
               0, 0};
  if (NextRandom(random) % 20 == 0) item.size.accelerators = 1;
  if (NextRandom(random) % 25 == 0) {
    item.kind = work_kind::kGang;
    item.count = static_cast<std::uint32_t>(2 + NextRandom(random) % 8);
  }
  return item;
}

bench_section RunPool(const bench_options& options) {
  pool_recorder recorder;
  simulated_pool simulated(pool_options{});
  simulated.on_action = [&recorder](const pool_action& action, time_point) {
    std::visit([&recorder](const auto& a) { recorder.Record(a); }, action);
  };
  simulated.SetRules(BenchRules());
  simulated.ClaimHosts(options.hosts, kWorker, options.hosts / 5, 4);
  std::uint64_t random = options.seed;
  // An item has 3.5 cores, 1.2 tasks and 1 s on average.
  const double mean_gap_us = 3.5 * 1.2 * 1e6 / (30.0 * options.hosts * kOfferedLoad);
  const auto max_gap_us = static_cast<std::uint64_t>(2 * mean_gap_us) + 1;
  time_point at;
  for (std::uint32_t n = 1; n <= options.items; ++n) {
    at += duration(static_cast<std::int64_t>(NextRandom(random) % max_gap_us));
    simulated.RunUntil(at);
    work_item item = NextItem(n, random);
    const duration run(static_cast<std::int64_t>(100'000 + NextRandom(random) % 1'800'000));
    item.run_time = run;
    simulated.Offer(item, run);
    if (NextRandom(random) % 100 == 0) simulated.Send(work_withdrawn{item.id});
    if (n % 1000 == 0) {
      const host_id host = simulated.Pool().Hosts()[NextRandom(random) % options.hosts].host;
      simulated.SetFailing(host, n % 2000 == 0);
    }
  }
  simulated.RunUntil(at + std::chrono::seconds(30));
  return {"pool",
          recorder.digest.Value(),
          {{"offered", options.items},
           {"placed", recorder.placed},
           {"refused", recorder.refused},
           {"preempted", recorder.preempted},
           {"overflowed", recorder.overflowed}}};
}

}  // namespace

bench_result RunBench(const bench_options& options) {
  bench_result result;
  result.sections.push_back(RunPool(options));
  decision_digest digest;
  for (const bench_section& section : result.sections) {
    digest.Add(section.module);
    digest.Add(section.signature);
  }
  result.signature = digest.Value();
  return result;
}

}  // namespace sycamorehinge
