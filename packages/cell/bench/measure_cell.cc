// sycamorehinge-measure-cell: measures what the decisions of a cell cost, by hosts and tenants.
//
// Hosts, journal and callers answer at once on a simulated clock; only the time spent in the
// scheduler counts. Prints lines of the form "name value unit".
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sycamorehinge/cell/scheduler.h"

namespace sycamorehinge::cell {

namespace {

using std::chrono::milliseconds;

constexpr duration kStep = milliseconds(10);
constexpr duration kRunTime = std::chrono::seconds(2);
constexpr std::uint32_t kTasksPerJob = 8;
constexpr resources kHost = {64'000, 256'000, 0, 0};
constexpr resources kTask = {4'000, 8'000, 0, 0};
// Submitted work in relation to the capacity, so that some always waits.
constexpr double kLoad = 1.05;

class measured_cell {
 public:
  measured_cell(std::uint32_t hosts, std::uint32_t tenants) : tenants_(tenants) {
    auto config = std::make_shared<fleet_config>();
    config->version = 1;
    queue_settings& queue = config->queues.emplace_back();
    queue.name = "q";
    queue.service = "s";
    queue.max_attempts = 3;
    queue.stretch = 10;
    for (std::uint32_t i = 0; i < tenants; ++i) {
      tenant_settings& tenant = config->tenants.emplace_back();
      tenant.name.value = TenantName(i);
      tenant.weight = 1;
      tenant.quota.cores_milli = 4 * kHost.cores_milli * hosts / tenants;
    }
    owner_.SetConfig(config);
    for (std::uint32_t i = 0; i < hosts; ++i) {
      host_entry entry;
      entry.id.value = "h" + std::to_string(i);
      entry.address = entry.id.value;
      entry.service = "s";
      entry.capacity = kHost;
      entry.started_ms = 1;
      owner_.SetHost(entry, now_);
    }
    owner_.OnOwnershipConfirmed(now_);
    owner_.BeginTerm(1, 1, "owner", now_, Wall());
    const double slots = static_cast<double>(hosts) * kHost.cores_milli / kTask.cores_milli;
    jobs_per_step_ = kLoad * slots / kTasksPerJob * std::chrono::duration<double>(kStep) /
                     std::chrono::duration<double>(kRunTime);
    PerformActions();
  }

  // Runs for a simulated time and returns the time spent in the scheduler.
  duration Run(duration time) {
    spent_ = {};
    starts_ = 0;
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += kStep;
      owner_.OnOwnershipConfirmed(now_);
      for (due_ += jobs_per_step_; due_ >= 1; due_ -= 1) Submit();
      while (!polls_.empty() && polls_.begin()->first <= now_) {
        const poll_host poll = std::move(polls_.begin()->second);
        polls_.erase(polls_.begin());
        Answer(poll);
      }
      Measure([&] { owner_.Tick(now_, Wall()); });
      PerformActions();
    }
    return spent_;
  }
  std::uint64_t Starts() const { return starts_; }
  std::size_t WaitingSteps() const { return owner_.Summary().waiting_steps; }

 private:
  struct running_task {
    task_ref task;
    std::uint32_t run = 0;
    time_point started;
  };
  struct simulated_host {
    std::vector<running_task> running;
    std::vector<end_report> ended;
    std::uint64_t next_end = 1;
  };

  static std::string TenantName(std::uint64_t number) { return "t" + std::to_string(number); }
  std::int64_t Wall() const {
    return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
  }

  template <class Call>
  void Measure(const Call& call) {
    const auto start = std::chrono::steady_clock::now();
    call();
    spent_ += std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
  }

  void Submit() {
    job_spec spec;
    step_spec& step = spec.steps.emplace_back();
    step.count = kTasksPerJob;
    step.size = kTask;
    step.run_time = kRunTime;
    const job_number job = ++last_job_;
    const std::string tenant = TenantName(job % tenants_);
    Measure([&] { owner_.Submit(job, job, "q", tenant, spec, now_, Wall()); });
    PerformActions();
  }

  // Answers a poll, and reports the tasks that have run for their time as ended.
  void Answer(const poll_host& poll) {
    simulated_host& host = hosts_[poll.host.value];
    std::erase_if(host.ended,
                  [&](const end_report& end) { return end.number <= poll.journaled_end; });
    host_report report;
    report.clock_ms = Wall() + 1;
    report.started_ms = 1;
    std::erase_if(host.running, [&](const running_task& row) {
      if (now_ - row.started < kRunTime) return false;
      host.ended.push_back({host.next_end++, row.task, row.run, end_kind::kDone, {}});
      return true;
    });
    for (const running_task& row : host.running) {
      const auto percent = static_cast<std::uint32_t>((now_ - row.started) * 100 / kRunTime);
      report.running.push_back({row.task, row.run, {}, percent, 0});
    }
    report.ended = host.ended;
    Measure([&] { owner_.OnPollResult(poll.host, now_, call_outcome::kDone, &report, now_); });
    PerformActions();
  }

  void PerformActions() {
    for (;;) {
      std::vector<action> actions;
      owner_.TakeActions(actions);
      if (actions.empty()) return;
      std::uint64_t written = 0;
      for (const action& next : actions) {
        std::visit(
            overloaded{[&](const write_record& row) { written = row.sequence; },
                       [&](const poll_host& poll) {
                         const duration wait = std::min<duration>(poll.wait, milliseconds(250));
                         polls_.emplace(now_ + wait, poll);
                       },
                       [&](const start_task& start) {
                         ++starts_;
                         hosts_[start.host.value].running.push_back({start.task, start.run, now_});
                         Measure([&] {
                           owner_.OnStart(start.host, start.task, start.run, now_,
                                          {call_outcome::kDone, Wall() + 1}, now_);
                         });
                       },
                       [](const auto&) {}},
            next);
      }
      if (written > 0) Measure([&] { owner_.OnDurable(written); });
    }
  }

  scheduler owner_{scheduler_options{}};
  std::uint32_t tenants_;
  time_point now_{std::chrono::hours(1)};
  std::map<std::string, simulated_host> hosts_;
  std::multimap<time_point, poll_host> polls_;
  double jobs_per_step_ = 0;
  double due_ = 0;
  job_number last_job_ = 0;
  duration spent_{};
  std::uint64_t starts_ = 0;
};

void Print(const std::string& scenario, const char* figure, double value, const char* unit) {
  std::printf("%s.%s %.6g %s\n", scenario.c_str(), figure, value, unit);
}

void MeasureCell(std::uint32_t hosts, std::uint32_t tenants, std::int64_t seconds) {
  measured_cell cell(hosts, tenants);
  cell.Run(std::chrono::seconds(5));
  const double spent =
      std::chrono::duration<double>(cell.Run(std::chrono::seconds(seconds))).count();
  const std::string scenario =
      "cell." + std::to_string(hosts) + "_hosts." + std::to_string(tenants) + "_tenants";
  const auto starts = static_cast<double>(cell.Starts());
  Print(scenario, "busy", spent / static_cast<double>(seconds) * 100, "%");
  Print(scenario, "starts", starts / static_cast<double>(seconds), "1/s");
  Print(scenario, "start_cost", spent / starts * 1e6, "us");
  Print(scenario, "waiting", static_cast<double>(cell.WaitingSteps()), "steps");
}

}  // namespace

}  // namespace sycamorehinge::cell

// Usage: sycamorehinge-measure-cell [SECONDS]
int main(int count, char** arguments) {
  const std::int64_t seconds = count > 1 ? std::atoll(arguments[1]) : 10;
  for (const std::uint32_t hosts : {350, 1400}) {
    for (const std::uint32_t tenants : {20, 380}) {
      sycamorehinge::cell::MeasureCell(hosts, tenants, seconds);
    }
  }
  return 0;
}
