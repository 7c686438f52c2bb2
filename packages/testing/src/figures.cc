#include "sycamorehinge/testing/figures.h"

#include <algorithm>
#include <cstdio>

#include "check_index.h"
#include "sycamorehinge/testing/load_stats.h"

namespace sycamorehinge::testing {

namespace {

// Room times seconds.
struct room_time {
  double cores = 0;
  double memory = 0;
  double accelerators = 0;

  void Add(const resources& size, double seconds) {
    cores += static_cast<double>(size.cores_milli) * seconds;
    memory += static_cast<double>(size.memory_mb) * seconds;
    accelerators += static_cast<double>(size.accelerators) * seconds;
  }
};

double Share(double taken, double capacity) { return capacity > 0 ? taken / capacity : 0; }

// Targets have slots and no cores.
bool IsWorker(const resources& capacity) { return capacity.cores_milli > 0; }

double Packing(const check_index& index) {
  time_point first = time_point::max();
  time_point last{};
  for (const run_interval& run : index.runs) {
    if (run.start.size.slots > 0) continue;
    first = std::min(first, run.from);
    last = std::max(last, run.from);
  }
  if (first >= last) return 0;
  room_time taken;
  for (const run_interval& run : index.runs) {
    const time_point to = std::min(run.to, last);
    if (run.start.size.slots > 0 || to <= run.from) continue;
    taken.Add(run.start.size, std::chrono::duration<double>(to - run.from).count());
  }
  room_time capacity;
  for (const auto& [host, size] : index.capacities) {
    if (IsWorker(size)) capacity.Add(size, std::chrono::duration<double>(last - first).count());
  }
  return std::max({Share(taken.cores, capacity.cores), Share(taken.memory, capacity.memory),
                   Share(taken.accelerators, capacity.accelerators)});
}

std::string Line(const std::string& name, std::uint64_t value, const char* unit) {
  return name + " " + std::to_string(value) + " " + unit + "\n";
}

}  // namespace

figures Measure(std::span<const history_event> events) {
  const check_index index(events);
  figures measured;
  for (const auto& [request, work] : index.works) {
    const auto runs = index.RunsOf(work.content);
    if (runs.empty() || work.sendings.empty()) continue;
    const duration wait = index.runs[runs.front()].from - work.sendings.front().at;
    measured.waits[work.work_class].push_back(wait);
  }
  measured.packing = Packing(index);
  measured.totals = index.totals;
  return measured;
}

std::string ToString(const figures& measured) {
  std::string text;
  for (const auto& [work_class, waits] : measured.waits) {
    text += "start_wait_" + work_class + "_p50 " + Milliseconds(Percentile(waits, 0.5)) + " ms\n";
    text += "start_wait_" + work_class + "_p99 " + Milliseconds(Percentile(waits, 0.99)) + " ms\n";
  }
  char packing[48];
  (void)std::snprintf(packing, sizeof(packing), "packing %.1f %%\n", measured.packing * 100);
  text += packing;
  const platform_totals& totals = measured.totals;
  text += Line("log_appends", totals.appends, "1");
  text += Line("log_append_bytes", totals.append_bytes, "B");
  text += Line("log_read_bytes", totals.read_bytes, "B");
  text += Line("claim_calls", totals.claim_calls, "1");
  text += Line("claim_bytes", totals.claim_bytes, "B");
  text += Line("start_calls", totals.start_calls, "1");
  text += Line("execute_calls", totals.execute_calls, "1");
  text += Line("void_calls", totals.void_calls, "1");
  text += Line("stop_calls", totals.stop_calls, "1");
  text += Line("host_bytes", totals.host_bytes, "B");
  return text;
}

}  // namespace sycamorehinge::testing
