#include "sycamorehinge/core/bench.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

// Guards against a signature that depends on anything but the options, such as addresses or the
// order of a hash table, and against one that does not cover the workload.
TEST_CASE("The bench signature depends only on its options") {
  bench_options options;
  options.items = 2000;
  const bench_result first = RunBench(options);
  CHECK(RunBench(options).signature == first.signature);
  options.seed = 2;
  CHECK(RunBench(options).signature != first.signature);
  REQUIRE(first.sections.size() == 1);
  CHECK(first.sections.front().counts[1].second > 1000);
}

}  // namespace
}  // namespace sycamorehinge
