#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "sycamorehinge/testing/caller_client.h"
#include "sycamorehinge/testing/load_plan.h"

namespace sycamorehinge::testing {
namespace {

// Guards against a load that differs between two runs with one seed.
TEST_CASE("The plan depends only on the seed and the number") {
  load_mix mix;
  mix.job_share = 0.5;
  load_mix other = mix;
  other.seed = 2;
  int differing = 0;
  for (std::uint64_t number = 0; number < 200; ++number) {
    const planned_work work = PlanWork(mix, number);
    const planned_work again = PlanWork(mix, number);
    REQUIRE(work.index() == again.index());
    if (const auto* job = std::get_if<planned_job>(&work)) {
      CHECK(JobBody(mix, *job) == JobBody(mix, std::get<planned_job>(again)));
    }
    if (PlanWork(other, number).index() != work.index()) ++differing;
  }
  CHECK(differing > 50);
}

// Guards against equal contents, by which the checker would mix up two pieces of work.
TEST_CASE("No two pieces of work have the same content") {
  load_mix mix;
  mix.job_share = 0.5;
  std::set<std::uint64_t> contents;
  for (std::uint64_t number = 0; number < 2'000; ++number) {
    const planned_work work = PlanWork(mix, number);
    const std::uint64_t content = std::visit(
        overloaded{[](const planned_request& request) { return StableHash(request.body); },
                   [](const planned_job& job) { return StableHash(job.payload); }},
        work);
    CHECK(contents.insert(content).second);
  }
}

// Guards against shares that leave out a kind of work.
TEST_CASE("The shares of the mix are kept") {
  load_mix mix;
  mix.job_share = 0.4;
  mix.keyed_share = 0.25;
  mix.gang_share = 0.2;
  mix.service_share = 0.1;
  std::map<std::string, int> counts;
  for (std::uint64_t number = 0; number < 10'000; ++number) {
    const planned_work work = PlanWork(mix, number);
    if (const auto* request = std::get_if<planned_request>(&work)) {
      ++counts[request->key.empty() ? "free" : "keyed"];
      continue;
    }
    const auto& job = std::get<planned_job>(work);
    ++counts[std::string(ToString(job.kind))];
    CHECK(job.tasks >= (job.kind == job_kind::kGang ? 2 : 1));
    CHECK(job.tasks <= mix.most_tasks);
    CHECK((job.run_time == duration::zero()) == (job.kind == job_kind::kService));
  }
  CHECK(counts["free"] == Approx(4'500).margin(200));
  CHECK(counts["keyed"] == Approx(1'500).margin(150));
  CHECK(counts["gang"] == Approx(800).margin(120));
  CHECK(counts["service"] == Approx(400).margin(80));
  CHECK(counts["batch"] == Approx(2'800).margin(150));
}

// Guards against weights that are read as names.
TEST_CASE("Weights are parsed and mistakes refused") {
  const auto names = ParseWeights("confirmation=3,query");
  REQUIRE(names);
  REQUIRE(names->size() == 2);
  CHECK((*names)[0].name == "confirmation");
  CHECK((*names)[0].weight == 3);
  CHECK((*names)[1].weight == 1);
  for (const char* text : {"", "a,,b", "=2", "a=", "a=x", "a=-1", "a=0"}) {
    CHECK(ParseWeights(text).code() == errc::kMalformed);
  }
}

// Guards against a caller that takes a lost answer for a refusal, or the reverse.
TEST_CASE("Callers conclude no more than an answer says") {
  CHECK(Conclude({call_end::kRefused, 0, ""}, 200, "done").outcome == "refused");
  CHECK(Conclude({call_end::kCut, 0, ""}, 200, "done").outcome == "cut");
  CHECK(Conclude({call_end::kTimedOut, 0, ""}, 200, "done").outcome == "unknown");
  CHECK(Conclude({call_end::kAnswered, 200, "x"}, 200, "done").outcome == "done");
  CHECK(Conclude({call_end::kAnswered, 200, "{}"}, 202, "accepted").outcome == "unknown");
  CHECK(Conclude({call_end::kAnswered, 503, "no JSON"}, 200, "done").outcome == "unknown");
  const auto refused =
      Conclude({call_end::kAnswered, 429,
                R"({"error":"overloaded","outcome":"not_run","retry_after_ms":250})"},
               200, "done");
  CHECK(refused.outcome == "not_run");
  CHECK(refused.error == "overloaded");
  CHECK(refused.retry_after == std::chrono::milliseconds(250));
}

}  // namespace
}  // namespace sycamorehinge::testing
