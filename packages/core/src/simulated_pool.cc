#include "simulated_pool.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

// Time after which a task on a failing host fails.
constexpr duration kFailureDelay = std::chrono::milliseconds(20);
// Time after which a preempted task stops.
constexpr duration kPreemptionDelay = std::chrono::milliseconds(50);

std::string NumberedName(const char* prefix, std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return prefix + std::string(5 - std::min<std::size_t>(5, digits.size()), '0') + digits;
}

}  // namespace

void simulated_pool::Send(const pool_event& event) {
  std::vector<pool_action> actions;
  actions.swap(actions_);
  actions.clear();
  if (handle_event) {
    handle_event(pool_, event, now_, actions);
  } else {
    pool_.Handle(event, now_, actions);
  }
  for (const pool_action& action : actions) {
    if (on_action) on_action(action, now_);
    std::visit([this](const auto& a) { Apply(a); }, action);
  }
  actions_.swap(actions);
}

void simulated_pool::ClaimHosts(std::uint32_t count, const resources& plain,
                                std::uint32_t accelerator_hosts, std::int64_t accelerators) {
  for (std::uint32_t n = 0; n < count; ++n) {
    resources capacity = plain;
    // Accelerator hosts are spread evenly, so that first fit does not find all of them first or
    // last.
    const bool has_accelerators = static_cast<std::uint64_t>(n) * accelerator_hosts / count !=
                                  (static_cast<std::uint64_t>(n) + 1) * accelerator_hosts / count;
    if (has_accelerators) capacity.accelerators = accelerators;
    const location where{{"r1"}, {"d1"}, {NumberedName("rack", n / 8)}};
    Send(host_claimed{{NumberedName("w", n)}, 1, capacity, where, {}, false});
  }
}

void simulated_pool::SetRules(const environment_document& document) {
  Send(rules_changed{std::make_shared<environment_document>(document)});
}

void simulated_pool::Offer(const work_item& item, duration run) {
  ++classes_[item.work_class].offered;
  waiting_[item.id] = run;
  waiting_class_[item.id] = item.work_class;
  Send(work_offered{item});
}

void simulated_pool::Advance(time_point to) {
  const double passed = static_cast<double>((to - now_).count());
  for (auto& [name, entry] : classes_) {
    entry.core_time += passed * static_cast<double>(entry.cores_milli);
  }
  now_ = to;
}

void simulated_pool::RunUntil(time_point end) {
  while (true) {
    const time_point tick = std::max(pool_.NextTick(), now_);
    const time_point due = completions_.empty() ? time_point::max() : completions_.top().at;
    if (std::min(tick, due) > end) break;
    if (due <= tick) {
      const completion next = completions_.top();
      completions_.pop();
      Advance(due);
      Complete(next);
    } else {
      Advance(tick);
      Send(pool_tick{});
    }
  }
  Advance(end);
}

void simulated_pool::StartCounting() {
  for (auto& [name, entry] : classes_) {
    const std::int64_t cores = entry.cores_milli;
    entry = simulated_class();
    entry.cores_milli = cores;
  }
  starts_.clear();
  total_starts_ = 0;
}

void simulated_pool::SetFailing(const host_id& host, bool failing) {
  if (failing) {
    failing_.insert(host);
  } else {
    failing_.erase(host);
  }
}

void simulated_pool::Apply(const work_placed& placed) {
  const duration run = waiting_[placed.item.id];
  waiting_.erase(placed.item.id);
  waiting_class_.erase(placed.item.id);
  simulated_class& counts = classes_[placed.item.work_class];
  ++counts.placed;
  counts.waits.push_back(placed.waited);
  running_task task{placed.item, run, {}, now_, false};
  task.item.count = 1;
  for (const placement& place : placed.places) {
    task.host = place.host;
    counts.cores_milli += task.item.size.cores_milli;
    ++starts_[place.host];
    ++total_starts_;
    const bool fails = failing_.count(place.host) > 0;
    completions_.push({now_ + (fails ? kFailureDelay : run), ++sequence_, task.item.id,
                       fails ? finish_kind::kFailed : finish_kind::kSucceeded});
    running_.emplace(task.item.id, task);
    ++task.item.id.task.index;
  }
}

void simulated_pool::Apply(const work_refused& refused) {
  ++classes_[waiting_class_[refused.id]].refused;
  waiting_.erase(refused.id);
  waiting_class_.erase(refused.id);
}

void simulated_pool::Apply(const preemption_wanted& wanted) {
  const auto found = running_.find(wanted.id);
  if (found == running_.end()) return;
  found->second.stopping = true;
  completions_.push({now_ + kPreemptionDelay, ++sequence_, wanted.id, finish_kind::kPreempted});
}

void simulated_pool::Complete(const completion& due) {
  const auto found = running_.find(due.id);
  if (found == running_.end()) return;
  const running_task task = found->second;
  running_.erase(found);
  simulated_class& counts = classes_[task.item.work_class];
  counts.cores_milli -= task.item.size.cores_milli;
  if (due.outcome == finish_kind::kSucceeded) ++counts.finished;
  const duration ran = now_ - task.started;
  Send(work_finished{task.item.id, task.host, due.outcome, ran});
  if (due.outcome == finish_kind::kPreempted) {
    // The task resumes from its checkpoint.
    Resubmit(task, std::max(task.run - ran, duration(1000)));
  } else if (due.outcome == finish_kind::kFailed) {
    running_task next = task;
    next.item.avoid.push_back(task.host);
    Resubmit(next, task.run);
  }
}

void simulated_pool::Resubmit(const running_task& task, duration run) {
  work_item item = task.item;
  ++item.id.number;
  Offer(item, run);
}

}  // namespace sycamorehinge
