// Questions to the policy service: which hosts may run a step.
//
// The verdict on a host does not change; its ticket holds for a short time. So a step asks about
// hosts that have room now, and again about approved ones when it can use them.
#include <algorithm>
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

// Whether the policy service and the free room leave a place for a question about that much work.
// Without the first bound tickets come after their time; without the second, many steps ask for the
// same room, and all but one in vain.
bool scheduler::state::MayAsk(const demand& wanted, std::uint32_t tasks, duration cost) const {
  const auto machines = static_cast<std::int64_t>(advice_machines);
  const duration most = options.advice_backlog * machines;
  // Urgent work gets through while others have used up their part.
  const duration part = wanted.queue->priority == 0 ? most * 3 / 2 : most;
  if (asked_cost > duration::zero() && asked_cost + cost > part) return false;
  return asked_cores == 0 || asked_cores + wanted.room.cores_milli * tasks <= free_cores;
}

void scheduler::state::AskForTasks(const task_ref& ref, const demand& wanted, step_state& step,
                                   std::uint32_t tasks) {
  if (step.question != 0 || now < step.ask_again) return;
  if (!MayAsk(wanted, tasks, wanted.queue->advice->decision)) return;
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
    const std::uint32_t copies = FitCount(wanted, slot, false);
    if (copies > 0) {
      candidates.push_back({verdict.known, hosts[slot].Free().cores_milli, slot, copies});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.known, a.free, a.slot) < std::tuple(!b.known, b.free, b.slot);
  });
  const double rate = std::max(approval[wanted.queue->name].value, kApprovalLeast);
  double expected = 0;
  std::vector<host_slot> chosen;
  for (const candidate& next : candidates) {
    if (chosen.size() >= kAskLeast && expected >= kAskSpare * tasks) break;
    chosen.push_back(next.slot);
    expected += next.known ? next.copies : rate * next.copies;
  }
  Ask(ref, wanted, step, std::move(chosen), tasks);
}

void scheduler::state::AskForGang(const task_ref& ref, const demand& wanted, step_state& step) {
  if (step.question != 0 || now < step.ask_again) return;
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  if (!MayAsk(wanted, members, wanted.queue->advice->decision)) return;
  step.verdicts.resize(hosts.size());
  // Approved hosts have the room: keep it until their tickets come.
  const auto chosen = ChooseGangHosts(wanted, false);
  if (chosen.empty()) return AskUnknown(ref, wanted, step);
  std::vector<host_slot> slots;
  slots.reserve(chosen.size());
  for (const auto& [slot, count] : chosen) slots.push_back(slot);
  if (!Ask(ref, wanted, step, std::move(slots), members)) return;
  Unreserve(step, *wanted.spec);
  Reserve(step, *wanted.spec, chosen);
}

// Asks about hosts without a verdict: those with room if they promise to suffice, and all of them
// if the gang has waited, so that hosts can be kept free for it.
void scheduler::state::AskUnknown(const task_ref& ref, const demand& wanted, step_state& step) {
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  struct candidate {
    std::int64_t free;
    host_slot slot;
    std::uint32_t copies;
  };
  std::vector<candidate> unknown;
  double approved_room = 0;
  double unknown_room = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const host_verdict& verdict = step.verdicts[slot];
    if (verdict.known && !verdict.approved) continue;
    const std::uint32_t copies = FitCount(wanted, slot, false);
    (verdict.known ? approved_room : unknown_room) += copies;
    if (verdict.known || !Usable(hosts[slot])) continue;
    if (!HasLabel(hosts[slot], wanted.spec->label)) continue;
    unknown.push_back({hosts[slot].Free().cores_milli, slot, copies});
  }
  std::sort(unknown.begin(), unknown.end(), [](const auto& a, const auto& b) {
    return std::tie(b.free, a.slot) < std::tie(a.free, b.slot);
  });
  const double rate = std::max(approval[wanted.queue->name].value, kApprovalLeast);
  const bool promising = approved_room + rate * unknown_room >= members;
  if (!promising && now - step.ready_since < options.learn_after) return;
  std::vector<host_slot> slots;
  double expected = approved_room;
  for (const candidate& next : unknown) {
    const bool enough = slots.size() >= kAskLeast && expected >= kAskSpare * members;
    if (promising && enough) break;
    slots.push_back(next.slot);
    expected += rate * next.copies;
  }
  Ask(ref, wanted, step, std::move(slots), members);
}

bool scheduler::state::Ask(const task_ref& ref, const demand& wanted, step_state& step,
                           std::vector<host_slot> slots, std::uint32_t tasks) {
  if (slots.empty()) return false;
  if (slots.size() > options.advice_hosts) slots.resize(options.advice_hosts);
  const advice_settings& advice = *wanted.queue->advice;
  const duration cost = advice.decision + advice.per_host * static_cast<std::int64_t>(slots.size());
  if (!MayAsk(wanted, tasks, cost)) return false;
  const std::int64_t cores = wanted.room.cores_milli * tasks;
  ask_advice ask{next_question++, ref, {}, cost};
  for (const host_slot slot : slots) ask.hosts.push_back(hosts[slot].entry.id);
  step.question = ask.question;
  questions[ask.question] = {ref, std::move(slots), cores, cost};
  asked_cores += cores;
  asked_cost += cost;
  actions.emplace_back(std::move(ask));
  return true;
}

// Takes the question out of the table; its work counts as asked for until then.
std::optional<question_state> scheduler::state::TakeQuestion(std::uint64_t question) {
  const auto found = questions.find(question);
  if (found == questions.end()) return std::nullopt;
  question_state asked = std::move(found->second);
  questions.erase(found);
  asked_cores -= asked.cores;
  asked_cost -= asked.cost;
  return asked;
}

void scheduler::state::OnAdvice(std::uint64_t question, bool answered,
                                std::span<const std::pair<host_id, std::string>> approved) {
  const std::optional<question_state> taken = TakeQuestion(question);
  if (!taken) return;
  const question_state& asked = *taken;
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
    rate +=
        kApprovalWeight * (static_cast<double>(fresh_approved) / static_cast<double>(fresh) - rate);
  }
  // A gang takes its reserved room now or gives it back.
  const task_ref& ref = asked.step;
  if (step->waiting && !step->reserved.empty()) PlaceGang(ref, *job, *step);
  if (step->question == 0) Unreserve(*step, SpecOf(*job, ref.step));
}

}  // namespace sycamorehinge::cell
