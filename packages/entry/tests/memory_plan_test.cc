#include "memory_plan.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;

// Guards against limits that each fit into the memory, but not together: unfinished headers on all
// connections of a machine of 160 MB took 67 MB beside the bytes of requests.
TEST_CASE("All limits together fit into the memory of the machine") {
  for (const std::size_t megabytes : {40, 64, 160, 260, 512, 4096}) {
    CAPTURE(megabytes);
    const memory_plan plan = PlanMemory(megabytes * kMegabyte, 8192);
    CHECK(MostMemory(plan) <= megabytes * kMegabyte);
    CHECK(plan.callers.max_connections <= 6144);
  }
}

// Guards against limits that an ordinary installation reaches.
TEST_CASE("The smallest machines hold the connections and requests of ordinary callers") {
  const memory_plan plan = PlanMemory(160 * kMegabyte, 4100);
  CHECK(plan.callers.max_connections >= 1000);
  CHECK(plan.callers.max_held_bytes >= 16 * kMegabyte);
  CHECK(plan.peers.max_connections >= 300);
  CHECK(plan.readiness.max_connections >= 8);
  // A plan for less memory than a process needs still serves somebody.
  CHECK(PlanMemory(0, 100).callers.max_connections > 0);
  CHECK(PlanMemory(0, 0).peers.max_connections > 0);
}

}  // namespace
}  // namespace sycamorehinge
