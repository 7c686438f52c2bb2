#include "sycamorehinge/core/admission.h"

#include <catch2/catch.hpp>

#include "pool_fixture.h"

namespace sycamorehinge {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a queue that grows until all its items miss their deadlines.
TEST_CASE("Work that would wait too long is refused at once with a growing retry delay") {
  pool_driver pool;
  class_rule rule = Class("batch", 1, 1);
  rule.max_wait = seconds(3);
  pool.Rules({rule});
  pool.Claim("h1", Cores(1));
  pool.Send(work_offered{Item(1, Cores(1))});
  std::uint64_t job = 2;
  for (; job <= 20; ++job) {
    pool.Send(work_offered{Item(job, Cores(1))});
    if (pool.Refused() != errc::kOk) break;
  }
  CHECK(pool.Refused() == errc::kOverloaded);
  CHECK(job == 6);
  const duration first = pool.Of<work_refused>().front().retry_after;
  CHECK(first > duration(0));
  for (int step = 1; step <= 3; ++step) {
    pool.now = At(std::int64_t{step} * 600);
    pool.Send(work_offered{Item(++job, Cores(1))});
    REQUIRE(pool.Refused() == errc::kOverloaded);
  }
  CHECK(pool.Of<work_refused>().front().retry_after > first);
}

// Guards against admitting work whose deadline passes in the queue.
TEST_CASE("Work is refused when its expected wait exceeds its deadline") {
  pool_driver pool;
  pool.Claim("h1", Cores(1));
  for (std::uint64_t job = 1; job <= 4; ++job) pool.Send(work_offered{Item(job, Cores(1))});
  work_item urgent = Item(5, Cores(1));
  urgent.deadline = At(2000);
  pool.Send(work_offered{urgent});
  CHECK(pool.Refused() == errc::kOverloaded);
  urgent = Item(6, Cores(1));
  urgent.deadline = At(4000);
  pool.Send(work_offered{urgent});
  CHECK(pool.actions.empty());
}

// Guards against waits computed from declared run times, which may be wrong by large factors.
TEST_CASE("Declared run times are corrected for each tenant and class") {
  admission admit;
  for (int n = 0; n < 50; ++n) {
    admit.RecordRunTime(0, 0, seconds(1), seconds(4));
    admit.RecordRunTime(0, 1, seconds(1), milliseconds(500));
  }
  CHECK(admit.ExpectedRun(work_kind::kBatch, 0, 0, seconds(10)) > seconds(35));
  CHECK(admit.ExpectedRun(work_kind::kBatch, 0, 1, seconds(10)) < seconds(6));
  CHECK(admit.ExpectedRun(work_kind::kBatch, 1, 0, seconds(10)) == seconds(10));
  CHECK(admit.ExpectedRun(work_kind::kBatch, 0, 1, duration(0)) < seconds(1));
}

// Guards against a tenant that exceeds its quota, and against queueing work that can never fit into
// the quota.
TEST_CASE("Quotas bound what a tenant holds") {
  tenant_rule tenant;
  tenant.name = {"t1"};
  tenant.quota = Cores(2);
  pool_driver pool;
  pool.Rules({Class("batch", 1, 1)}, {tenant});
  pool.Claim("h1", Cores(8));
  pool.Send(work_offered{Item(1, Cores(3))});
  CHECK(pool.Refused() == errc::kQuotaExceeded);
  pool.Send(work_offered{Item(2, Cores(2))});
  pool.Send(work_offered{Item(3, Cores(1))});
  CHECK(pool.actions.empty());
  work_item request = Item(4, Cores(1));
  request.kind = work_kind::kRequest;
  pool.Send(work_offered{request});
  CHECK(pool.Refused() == errc::kQuotaExceeded);
  CHECK(pool.Of<work_refused>().front().retry_after > duration(0));
  pool.Finish(2, "h1");
  CHECK(pool.Placed() == std::vector<std::uint64_t>{3});
}

// Guards against a class that exceeds its limit when capacity is free.
TEST_CASE("A class stays below its limit") {
  class_rule rule = Class("batch", 0.5, 1);
  rule.limit = 0.5;
  pool_driver pool;
  pool.Rules({rule});
  pool.Claim("h1", Cores(4));
  for (std::uint64_t job = 1; job <= 3; ++job) {
    work_item item = Item(job, Cores(1));
    item.preemptible = true;
    pool.Send(work_offered{item});
  }
  CHECK(pool.target.Summary().taken == Cores(2));
  pool.Send(work_offered{Item(9, Cores(1), "unknown")});
  CHECK(pool.Refused() == errc::kUnknownClass);
}

}  // namespace
}  // namespace sycamorehinge
