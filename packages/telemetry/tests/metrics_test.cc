#include "sycamorehinge/telemetry/metrics.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace sycamorehinge {
namespace {

using namespace std::chrono_literals;

bool Near(std::optional<duration> value, duration wanted) {
  if (!value) return false;
  const double ratio = static_cast<double>(value->count()) / static_cast<double>(wanted.count());
  return ratio > 0.94 && ratio < 1.06;
}

// Guards against wrong percentiles, and against samples counted for the wrong tenant or class.
TEST_CASE("Percentiles cover one pair, one class and all work") {
  metrics all;
  for (int ms = 1; ms <= 1000; ++ms) {
    all.Record(latency::kQueueWait, "ledger", "payout", std::chrono::milliseconds(ms));
    all.Record(latency::kQueueWait, "orders", "payout", std::chrono::milliseconds(ms + 1000));
  }
  all.Record(latency::kQueueWait, "orders", "confirm", 20us);
  CHECK(Near(all.Percentile(latency::kQueueWait, "ledger", "payout", 0.5), 500ms));
  CHECK(Near(all.Percentile(latency::kQueueWait, "ledger", "payout", 0.99), 990ms));
  CHECK(Near(all.Percentile(latency::kQueueWait, "", "payout", 0.5), 1000ms));
  CHECK(Near(all.Percentile(latency::kQueueWait, "", "", 0.75), 1500ms));
  CHECK(Near(all.Percentile(latency::kQueueWait, "orders", "confirm", 0.5), 20us));
  CHECK_FALSE(all.Percentile(latency::kRunTime, "ledger", "payout", 0.5));
}

// Guards against times outside the histogram's range that crash or are not counted.
TEST_CASE("Extreme times are counted in the outer buckets") {
  metrics all;
  all.Record(latency::kRunTime, "t", "c", 0us);
  all.Record(latency::kRunTime, "t", "c", -5s);
  CHECK(all.Percentile(latency::kRunTime, "t", "c", 1.0) <= 10us);
  all.Record(latency::kRunTime, "t", "c", 100h);
  CHECK(all.Percentile(latency::kRunTime, "t", "c", 1.0) == 10'000s);
}

// Guards against pages that collectors reject.
TEST_CASE("The exposition page has escaped labels and cumulative buckets") {
  metrics all;
  all.Count(work_event::kAccepted, "a\"b\\c\nd", "batch", 3);
  all.Record(latency::kAnswerTime, "ledger", "confirm", 20ms);
  all.Record(latency::kAnswerTime, "ledger", "confirm", 500ms);
  exposition page;
  all.WriteTo(page);
  const std::string& text = page.Text();
  const auto has = [&](std::string_view line) { return text.find(line) != std::string::npos; };
  CHECK(
      has("sycamorehinge_work_total{tenant=\"a\\\"b\\\\c\\nd\",class=\"batch\","
          "event=\"accepted\"} 3\n"));
  CHECK(has("# TYPE sycamorehinge_answer_seconds histogram\n"));
  const std::string labels = "{tenant=\"ledger\",class=\"confirm\",le=";
  CHECK(has("sycamorehinge_answer_seconds_bucket" + labels + "\"0.01\"} 0\n"));
  CHECK(has("sycamorehinge_answer_seconds_bucket" + labels + "\"0.03162\"} 1\n"));
  CHECK(has("sycamorehinge_answer_seconds_bucket" + labels + "\"1\"} 2\n"));
  CHECK(has("sycamorehinge_answer_seconds_bucket" + labels + "\"+Inf\"} 2\n"));
  CHECK(has("sycamorehinge_answer_seconds_sum{tenant=\"ledger\",class=\"confirm\"} 0.52\n"));
  CHECK(has("sycamorehinge_answer_seconds_count{tenant=\"ledger\",class=\"confirm\"} 2\n"));
}

// Guards against lost counts under concurrent use.
TEST_CASE("Counts and samples of several threads add up") {
  metrics all;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 5000; ++i) {
        const std::string tenant = std::to_string(i % 50);
        all.Count(work_event::kStarted, tenant, "batch");
        all.Record(latency::kQueueWait, tenant, "batch", 1ms);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(all.Total(work_event::kStarted, "", "batch") == 20'000);
  CHECK(all.Total(work_event::kStarted, "7", "") == 400);
  CHECK(all.Total(work_event::kFailed, "", "") == 0);
}

// Guards against memory use that grows with the number of invented tenants.
TEST_CASE("Pairs of tenant and class beyond the limit share one series") {
  metrics_options options;
  options.max_series = 32;
  metrics all(options);
  for (int i = 0; i < 1000; ++i) all.Count(work_event::kRefused, std::to_string(i), "batch");
  CHECK(all.Total(work_event::kRefused, "", "") == 1000);
  CHECK(all.Total(work_event::kRefused, "other", "other") >= 968);
}

}  // namespace
}  // namespace sycamorehinge
