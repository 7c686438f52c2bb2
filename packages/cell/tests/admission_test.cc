// Admission under load that exceeds the capacity.
#include "sycamorehinge/cell/admission.h"

#include <catch2/catch.hpp>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {
namespace {

using std::chrono::seconds;

constexpr resources kHost = {8000, 16'000, 0, 0};

bool Admits(const admission_request& request, const queue_load& load) {
  return std::holds_alternative<admitted>(DecideAdmission(request, load));
}

// Guards against refusals beside room, and against jobs that are accepted but cannot end in time.
TEST_CASE("A job is refused if it is expected to end too late") {
  const admission_request request{seconds(2), seconds(6), false};
  CHECK(Admits(request, {}));
  CHECK(Admits(request, {20, milliseconds(7900), 1}));
  CHECK_FALSE(Admits(request, {20, milliseconds(8100), 1}));
  // A few steps that wait long, such as wide gangs, do not tell the wait of others.
  CHECK(Admits(request, {2, seconds(30), 1}));
  // A job that is longer than its target gains nothing from a later submission.
  CHECK(Admits({seconds(20), seconds(6), false}, {}));
}

// Guards against a tenant at several times its rate that takes the time of the others.
TEST_CASE("Jobs beyond the rate of their tenant are refused first") {
  const queue_load load{20, seconds(3), 1};
  CHECK(Admits({seconds(2), seconds(6), false}, load));
  CHECK_FALSE(Admits({seconds(2), seconds(6), true}, load));
  CHECK(Admits({seconds(2), seconds(6), true}, {}));
}

// Guards against refused callers who all return at the same time.
TEST_CASE("Refused callers are told to return one after the other") {
  return_schedule schedule;
  const time_point now{std::chrono::hours(1)};
  const queue_load load{20, seconds(4), 10};
  const duration first = schedule.NextReturn({seconds(1)}, load, now);
  const duration second = schedule.NextReturn({seconds(1)}, load, now);
  CHECK(first == seconds(1));
  CHECK(second - first == milliseconds(100));
  for (int i = 0; i < 500; ++i) {
    const duration next = schedule.NextReturn({seconds(1)}, load, now);
    CHECK(next >= milliseconds(500));
    CHECK(next <= seconds(5));
  }
}

// Load of the tests below: two tenants, of which one is entitled to 2 jobs per second and the other
// to 20, on four hosts that finish 16 of the jobs per second.
class overloaded_cell {
 public:
  overloaded_cell() {
    cell.AddTenant("small", {}, 2);
    cell.AddTenant("large", {}, 20);
    queue_settings& queue = cell.AddQueue("q");
    queue.stretch = 2;
    queue.latency_target = milliseconds(600);
    for (int i = 0; i < 4; ++i) cell.AddHost("h" + std::to_string(i), kHost);
    cell.StartFirstOwner();
    cell.Run(milliseconds(200));
  }
  // Each tenant submits jobs of half a second on two cores at these rates per second.
  void Submit(duration time, int small, int large) {
    constexpr duration kStep = milliseconds(10);
    for (duration passed{}; passed < time; passed += kStep) {
      Add("small", small, small_due_, small_jobs);
      Add("large", large, large_due_, large_jobs);
      cell.Run(kStep);
    }
  }
  // Part of the jobs that were done within their target.
  double InTime(const std::map<job_number, time_point>& jobs, std::size_t first = 0) {
    std::size_t good = 0;
    std::size_t position = 0;
    for (const auto& [job, sent] : jobs) {
      if (position++ < first) continue;
      const auto done = done_.find(job);
      if (done != done_.end() && done->second - sent <= milliseconds(1650)) ++good;
    }
    return static_cast<double>(good) / static_cast<double>(jobs.size() - first);
  }
  std::size_t Refused(const std::map<job_number, time_point>& jobs) const {
    std::size_t count = 0;
    for (const auto& [job, sent] : jobs) {
      if (cell.AnswerTo(job) == errc::kOverloaded) ++count;
    }
    return count;
  }
  void NoteDone() {
    for (const auto* jobs : {&small_jobs, &large_jobs}) {
      for (const auto& [job, sent] : *jobs) {
        if (done_.contains(job) || cell.AnswerTo(job) != errc::kOk) continue;
        if (cell.Phase(job) == job_phase::kCompleted) done_[job] = cell.now;
      }
    }
  }

  simulated_cell cell;
  std::map<job_number, time_point> small_jobs;
  std::map<job_number, time_point> large_jobs;

 private:
  void Add(const std::string& tenant, int per_second, double& due,
           std::map<job_number, time_point>& jobs) {
    due += per_second * 0.01;
    for (; due >= 1; due -= 1) {
      const job_number job = next_++;
      jobs[job] = cell.now;
      cell.Submit(job, "q", OneStep(2, 1000, milliseconds(500)), tenant);
    }
    NoteDone();
  }

  double small_due_ = 0;
  double large_due_ = 0;
  job_number next_ = 1;
  std::map<job_number, time_point> done_;
};

// Guards against one tenant at seven times its rate whose jobs make those of the others late: with
// every job accepted in order of arrival, all tenants shared the backlog.
TEST_CASE("A tenant at seven times its rate costs the other tenants nothing") {
  overloaded_cell load;
  load.Submit(seconds(2), 2, 10);
  load.Submit(seconds(8), 14, 25);
  load.Submit(seconds(4), 2, 10);
  CHECK(load.InTime(load.large_jobs) > 0.9);
  CHECK(load.cell.violations.empty());
}

// Guards against accepted jobs that are not done in time because too many were accepted.
TEST_CASE("Under twice the load, what is accepted is done, and the rest is refused at once") {
  overloaded_cell load;
  load.Submit(seconds(10), 2, 64);
  const std::size_t refused = load.Refused(load.large_jobs);
  CHECK(refused > load.large_jobs.size() / 4);
  const time_point end = load.cell.now;
  load.Submit(seconds(15), 1, 1);
  for (const auto& [job, sent] : load.large_jobs) {
    if (sent >= end || load.cell.AnswerTo(job) != errc::kOk) continue;
    CHECK(load.cell.Phase(job) == job_phase::kCompleted);
  }
}

}  // namespace
}  // namespace sycamorehinge::cell::testing
