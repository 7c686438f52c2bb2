// Deterministic benchmark of the decision modules with a seeded workload. Its signature changes
// only if a decision changes, so an equal signature shows that a commit changes no decision.
#ifndef SYCAMOREHINGE_CORE_BENCH_H_
#define SYCAMOREHINGE_CORE_BENCH_H_

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamorehinge {

struct bench_options {
  std::uint64_t seed = 1;
  std::uint32_t hosts = 50;
  // Work items offered to the pool.
  std::uint32_t items = 20'000;
};

// Result of one decision module, for example "pool".
struct bench_section {
  std::string_view module;
  std::uint64_t signature = 0;
  // Counts by name, for example {"placed", 19800}.
  std::vector<std::pair<std::string_view, std::uint64_t>> counts;
};

struct bench_result {
  // Combines the signatures of all sections.
  std::uint64_t signature = 0;
  std::vector<bench_section> sections;
};

// Runs in simulated time, so the result depends only on the options, not on the machine.
bench_result RunBench(const bench_options& options);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_BENCH_H_
