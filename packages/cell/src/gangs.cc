// Gangs: all members start within a time limit, or all are stopped.
#include <algorithm>
#include <array>
#include <string>

#include "state.h"

namespace sycamorehinge::cell {

void scheduler::state::ExpectGang(const task_ref& ref, std::uint32_t run, time_point deadline) {
  gang_deadlines.insert({deadline, {ref.job, ref.occurrence, ref.step, 0}, run});
}

bool scheduler::state::HasRun(const task_ref& ref, std::uint32_t number) {
  const step_state* step = FindStep(ref);
  return step && std::any_of(step->tasks.begin(), step->tasks.end(), [&](const auto& task) {
           return task.active_run != kNoRun && runs.at(task.active_run).number == number;
         });
}

// Stops a gang that lacks members and makes no progress: its hosts would end it after
// `gang_timeout`.
void scheduler::state::CheckGang(const task_ref& ref, std::string_view cause) {
  const job_entry* job = FindJob(ref.job);
  const step_state* step = FindStep(ref);
  if (!job || !step || step->active_runs == 0) return;
  const bool checkpoints = SpecOf(*job, ref.step).checkpoints;
  bool whole = true;
  std::uint32_t number = 0;
  for (const task_state& task : step->tasks) {
    if (task.active_run == kNoRun) {
      whole = false;
      continue;
    }
    const run_state& run = runs.at(task.active_run);
    // The progress of a resumed run includes that of earlier runs.
    if (run.last_progress > run.started || (run.percent > 0 && !checkpoints)) return;
    if (number == 0) number = run.number;
    whole = whole && run.phase == run_phase::kRunning && run.number == number;
  }
  if (!whole) AbortGang(ref, cause);
}

void scheduler::state::TickGangs() {
  while (!gang_deadlines.empty() && gang_deadlines.begin()->at <= now) {
    const gang_deadline due = *gang_deadlines.begin();
    gang_deadlines.erase(gang_deadlines.begin());
    // The gang may have been placed again since.
    if (HasRun(due.step, due.run)) CheckGang(due.step, "not all members have started");
  }
}

// Stops the remaining members of a gang that lost one. The step is placed again once all have
// ended.
void scheduler::state::AbortGang(const task_ref& ref, std::string_view cause) {
  step_state* step = FindStep(ref);
  if (!step) return;
  const auto stopped = std::find_if(step->tasks.begin(), step->tasks.end(), [&](const auto& task) {
    return task.active_run != kNoRun && runs.at(task.active_run).phase != run_phase::kStopping;
  });
  if (stopped == step->tasks.end()) return;
  LogDecision(decision_kind::kGangStopped, {ref.job, ref.occurrence, ref.step, 0},
              runs.at(stopped->active_run).number, {},
              std::string(cause) + ": " + MemberStates(*step));
  for (task_state& task : step->tasks) {
    if (task.active_run == kNoRun) continue;
    if (runs.at(task.active_run).phase != run_phase::kStopping) SendStop(task.active_run, cause);
  }
}

// Logs a gang whose last member was just confirmed.
void scheduler::state::LogGangStarted(const task_ref& ref) {
  const step_state* step = FindStep(ref);
  if (!step || step->active_runs < step->tasks.size()) return;
  time_point first = time_point::max();
  std::uint32_t number = 0;
  for (const task_state& task : step->tasks) {
    const run_state& run = runs.at(task.active_run);
    if (run.phase != run_phase::kRunning) return;
    first = std::min(first, run.started);
    number = run.number;
  }
  LogDecision(decision_kind::kGangStarted, {ref.job, ref.occurrence, ref.step, 0}, number, {},
              std::to_string(step->tasks.size()) + " members", now - first);
}

// Lists the members of a gang by state, as "running 0 2; stopping 1; not started 3".
std::string scheduler::state::MemberStates(const step_state& step) const {
  // In the order of run_phase.
  static constexpr std::array<std::string_view, 5> kNames = {"starting", "unanswered", "running",
                                                             "stopping", "not started"};
  std::array<std::string, kNames.size()> members;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const run_id id = step.tasks[i].active_run;
    const std::size_t name =
        id == kNoRun ? kNames.size() - 1 : static_cast<std::size_t>(runs.at(id).phase);
    members[name] += ' ' + std::to_string(i);
  }
  std::string text;
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (members[i].empty()) continue;
    if (!text.empty()) text += "; ";
    text += kNames[i];
    text += members[i];
  }
  return text;
}

}  // namespace sycamorehinge::cell
