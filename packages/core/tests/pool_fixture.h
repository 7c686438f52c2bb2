// Builders and a recording driver for tests of the pool.
#ifndef SYCAMOREHINGE_CORE_TESTS_POOL_FIXTURE_H_
#define SYCAMOREHINGE_CORE_TESTS_POOL_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "sycamorehinge/core/pool.h"

namespace sycamorehinge::testing {

inline time_point At(std::int64_t milliseconds) {
  return time_point(std::chrono::milliseconds(milliseconds));
}

inline attempt_id Id(std::uint64_t job, std::uint32_t index = 0) {
  return {{{1, 1, job}, index}, 1};
}

inline resources Cores(std::int64_t cores, std::int64_t memory_mb = 0) {
  return {cores * 1000, memory_mb, 0, 0};
}

inline work_item Item(std::uint64_t job, const resources& size, std::string work_class = "batch",
                      std::string tenant = "t1") {
  work_item item;
  item.id = Id(job);
  item.kind = work_kind::kBatch;
  item.tenant = {std::move(tenant)};
  item.work_class = {std::move(work_class)};
  item.size = size;
  item.run_time = std::chrono::seconds(1);
  return item;
}

inline class_rule Class(std::string name, double share, std::int32_t urgency) {
  class_rule rule;
  rule.name = {std::move(name)};
  rule.share = share;
  rule.urgency = urgency;
  return rule;
}

// A pool with its time and the actions of the last event.
class pool_driver {
 public:
  explicit pool_driver(pool_options options = {}) : target(options) {}

  void Send(const pool_event& event) {
    actions.clear();
    target.Handle(event, now, actions);
  }
  void Tick(std::int64_t milliseconds) {
    now = At(milliseconds);
    Send(pool_tick{});
  }
  void Claim(std::string host, const resources& capacity, std::uint64_t term = 1,
             std::vector<held_work> running = {}) {
    Send(host_claimed{{std::move(host)}, term, capacity, {}, std::move(running), false});
  }
  void Rules(std::vector<class_rule> classes, std::vector<tenant_rule> tenants = {}) {
    auto document = std::make_shared<environment_document>();
    document->classes = std::move(classes);
    document->tenants = std::move(tenants);
    Send(rules_changed{std::move(document)});
  }
  void Finish(std::uint64_t job, std::string host, finish_kind outcome = finish_kind::kSucceeded,
              std::uint32_t index = 0) {
    Send(work_finished{Id(job, index), {std::move(host)}, outcome, std::chrono::seconds(1)});
  }

  template <class Action>
  std::vector<Action> Of() const {
    std::vector<Action> found;
    for (const pool_action& action : actions) {
      if (const auto* match = std::get_if<Action>(&action)) found.push_back(*match);
    }
    return found;
  }
  // Jobs placed by the last event, in order.
  std::vector<std::uint64_t> Placed() const {
    std::vector<std::uint64_t> jobs;
    for (const work_placed& placed : Of<work_placed>()) {
      jobs.push_back(placed.item.id.task.job.number);
    }
    return jobs;
  }
  errc Refused() const {
    const auto refused = Of<work_refused>();
    return refused.empty() ? errc::kOk : refused.front().reason;
  }

  pool target;
  time_point now = At(0);
  std::vector<pool_action> actions;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_CORE_TESTS_POOL_FIXTURE_H_
