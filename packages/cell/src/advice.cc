// Questions to the policy service: which hosts may run a step.
//
// The verdict on a host does not change; its ticket holds for a short time. So a step asks about
// hosts that have room now, and again about approved ones when it can use them.
#include <algorithm>
#include <cmath>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// More hosts are asked for than needed, since some lose their room meanwhile.
constexpr double kAskSpare = 1.3;
constexpr std::size_t kAskLeast = 4;
// Pause after a question without an answer.
constexpr duration kAskRetry = std::chrono::milliseconds(300);
// Pause after an answer before the same step asks again.
constexpr duration kAskPause = std::chrono::milliseconds(50);
// Weight of a new answer in the approval rate of a queue.
constexpr double kApprovalWeight = 0.1;
constexpr double kApprovalLeast = 0.05;

}  // namespace

void scheduler::state::AskForTasks(const task_ref& ref, job_entry& job, step_state& step,
                                   std::uint32_t tasks) {
  if (step.question != 0 || now < step.ask_again) return;
  const step_spec& spec = SpecOf(job, ref.step);
  const std::uint32_t priority = PriorityOf(job);
  step.verdicts.resize(hosts.size());
  struct candidate {
    bool known;
    std::int64_t free;
    host_slot slot;
    std::uint32_t copies;
  };
  std::vector<candidate> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const host_verdict& verdict = step.verdicts[slot];
    if (verdict.known && (!verdict.approved || TicketHolds(step, slot))) continue;
    const std::uint32_t copies = FitCount(job, spec, step, slot, priority, false);
    if (copies > 0) {
      candidates.push_back({verdict.known, hosts[slot].Free().cores_milli, slot, copies});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.known, a.free, a.slot) < std::tuple(!b.known, b.free, b.slot);
  });
  const double rate = std::max(approval[job.queue].value, kApprovalLeast);
  const double wanted = kAskSpare * tasks;
  double expected = 0;
  std::vector<host_slot> chosen;
  for (const candidate& next : candidates) {
    if (chosen.size() >= kAskLeast && expected >= wanted) break;
    chosen.push_back(next.slot);
    expected += next.known ? next.copies : rate * next.copies;
  }
  Ask(ref, job, step, std::move(chosen));
}

void scheduler::state::AskForGang(const task_ref& ref, job_entry& job, step_state& step) {
  if (step.question != 0 || now < step.ask_again) return;
  const step_spec& spec = SpecOf(job, ref.step);
  const std::uint32_t priority = PriorityOf(job);
  step.verdicts.resize(hosts.size());
  // Approved hosts have the room: keep it until their tickets come.
  const auto chosen = ChooseGangHosts(job, spec, step, priority, false);
  if (!chosen.empty()) {
    std::vector<host_slot> slots;
    for (const auto& [slot, count] : chosen) slots.push_back(slot);
    Unreserve(step, spec);
    for (const auto& [slot, count] : chosen) {
      const resources room = spec.fills ? resources{0, spec.size.memory_mb, 0, 0} : spec.size;
      for (std::uint32_t i = 0; i < count; ++i) hosts[slot].taken += room;
    }
    step.reserved = chosen;
    return Ask(ref, job, step, std::move(slots));
  }
  std::vector<std::pair<std::int64_t, host_slot>> unknown;
  std::uint32_t room = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    if (step.verdicts[slot].known) continue;
    const std::uint32_t copies = FitCount(job, spec, step, slot, priority, false);
    if (copies == 0) continue;
    room += copies;
    unknown.emplace_back(-hosts[slot].Free().cores_milli, slot);
  }
  std::sort(unknown.begin(), unknown.end());
  const double rate = std::max(approval[job.queue].value, kApprovalLeast);
  const double wanted = kAskSpare * static_cast<double>(step.tasks.size()) / rate;
  std::vector<host_slot> slots;
  double expected = 0;
  for (const auto& [free, slot] : unknown) {
    if (slots.size() >= kAskLeast && expected >= wanted) break;
    slots.push_back(slot);
    expected += FitCount(job, spec, step, slot, priority, false);
  }
  Ask(ref, job, step, std::move(slots));
}

void scheduler::state::Ask(const task_ref& ref, const job_entry& job, step_state& step,
                           std::vector<host_slot> slots) {
  if (slots.empty()) return;
  if (slots.size() > options.advice_hosts) slots.resize(options.advice_hosts);
  const advice_settings& advice = *QueueOf(job)->advice;
  ask_advice ask{next_question++, ref, {}, {}};
  for (const host_slot slot : slots) ask.hosts.push_back(hosts[slot].entry.id);
  ask.cost = advice.decision + advice.per_host * static_cast<std::int64_t>(slots.size());
  step.question = ask.question;
  questions[ask.question] = {ref, std::move(slots)};
  actions.emplace_back(std::move(ask));
}

void scheduler::state::OnAdvice(std::uint64_t question, bool answered,
                                std::span<const std::pair<host_id, std::string>> approved) {
  const auto found = questions.find(question);
  if (found == questions.end()) return;
  const question_state asked = std::move(found->second);
  questions.erase(found);
  job_entry* job = FindJob(asked.step.job);
  step_state* step = FindStep(asked.step);
  if (!job || !step || step->question != question) return;
  step->question = 0;
  pass_needed = true;
  const queue_settings* queue = QueueOf(*job);
  if (!answered || !queue || !queue->advice) {
    Unreserve(*step, SpecOf(*job, asked.step.step));
    step->ask_again = now + kAskRetry;
    return;
  }
  step->ask_again = now + kAskPause;
  step->verdicts.resize(hosts.size());
  std::size_t fresh = 0;
  std::size_t fresh_approved = 0;
  for (const host_slot slot : asked.hosts) {
    host_verdict& verdict = step->verdicts[slot];
    const auto row = std::find_if(approved.begin(), approved.end(), [&](const auto& pair) {
      return pair.first == hosts[slot].entry.id;
    });
    if (!verdict.known) ++fresh;
    if (!verdict.known && row != approved.end()) ++fresh_approved;
    verdict.known = true;
    verdict.approved = row != approved.end();
    if (verdict.approved) {
      verdict.ticket = row->second;
      verdict.valid_until = now + queue->advice->validity;
    }
  }
  if (fresh > 0) {
    double& rate = approval[job->queue].value;
    rate += kApprovalWeight * (static_cast<double>(fresh_approved) / static_cast<double>(fresh) -
                               rate);
  }
  // A gang takes its reserved room now or gives it back.
  const task_ref& ref = asked.step;
  if (step->waiting && !step->reserved.empty()) PlaceGang(ref, *job, *step);
  if (step->question == 0) Unreserve(*step, SpecOf(*job, ref.step));
}

}  // namespace sycamorehinge::cell
