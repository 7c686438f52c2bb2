#include "sycamorehinge/cell/work.h"

#include <catch2/catch.hpp>

#include "simulated_cell.h"
#include "sycamorehinge/cell/fleet_config.h"

namespace sycamorehinge::cell {
namespace {

using std::chrono::seconds;
using testing::OneStep;

// Guards against jobs that can never end or that take too much memory.
TEST_CASE("A spec with steps that cannot run is malformed") {
  CHECK(ValidateSpec(OneStep(1, 1000, seconds(1))) == errc::kOk);
  CHECK(ValidateSpec({}) == errc::kMalformed);
  CHECK(ValidateSpec(OneStep(0, 1000, seconds(1))) == errc::kMalformed);
  CHECK(ValidateSpec(OneStep(kMaxTasksPerStep + 1, 1000, seconds(1))) == errc::kMalformed);
  CHECK(ValidateSpec(OneStep(1, -1, seconds(1))) == errc::kMalformed);
  job_spec forward = OneStep(1, 1000, seconds(1));
  forward.steps[0].after = {0};
  CHECK(ValidateSpec(forward) == errc::kMalformed);
  forward.steps[0].after = {7};
  CHECK(ValidateSpec(forward) == errc::kMalformed);
  job_spec dependent = OneStep(1, 1000, seconds(1));
  dependent.steps.push_back(dependent.steps[0]);
  dependent.steps[1].after.assign(kMaxSteps, 0);
  CHECK(ValidateSpec(dependent) == errc::kOk);
  dependent.steps[1].after.push_back(0);
  CHECK(ValidateSpec(dependent) == errc::kMalformed);
  job_spec many = OneStep(1, 1000, seconds(1));
  many.occurrences = kMaxOccurrences + 1;
  CHECK(ValidateSpec(many) == errc::kMalformed);
}

// Guards against routing a request to the queue of another prefix or host.
TEST_CASE("The longest prefix of the host selects the queue") {
  fleet_config config;
  for (const auto& [name, host, prefix] :
       {std::tuple{"a", "x.example", "/a/"}, std::tuple{"ab", "x.example", "/a/b/"},
        std::tuple{"y", "y.example", "/a/b/"}}) {
    queue_settings queue;
    queue.name = name;
    queue.host = host;
    queue.prefix = prefix;
    config.queues.push_back(queue);
  }
  REQUIRE(config.Route("x.example", "/a/b/1"));
  CHECK(config.Route("x.example", "/a/b/1")->name == "ab");
  CHECK(config.Route("x.example", "/a/1")->name == "a");
  CHECK(config.Route("y.example", "/a/b/1")->name == "y");
  CHECK_FALSE(config.Route("y.example", "/a/1"));
  CHECK_FALSE(config.Route("z.example", "/a/1"));
}

}  // namespace
}  // namespace sycamorehinge::cell
