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
bool scheduler::state::MayAsk(std::int64_t cores, duration cost, std::uint32_t priority) const {
  const auto machines = static_cast<std::int64_t>(advice_machines);
  const duration most = options.advice_backlog * machines;
  if (asked_cost > duration::zero() && asked_cost + cost > most * (priority == 0 ? 2 : 1)) {
    return false;
  }
  return asked_cores == 0 || asked_cores + cores <= FreeCores();
}

std::int64_t scheduler::state::FreeCores() const {
  std::int64_t free = 0;
  for (const host_state& host : hosts) {
    if (Usable(host)) free += std::max<std::int64_t>(host.Free().cores_milli, 0);
  }
  return free;
}

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
  Ask(ref, job, step, std::move(chosen), tasks);
}

void scheduler::state::AskForGang(const task_ref& ref, job_entry& job, step_state& step) {
  if (step.question != 0 || now < step.ask_again) return;
  const step_spec& spec = SpecOf(job, ref.step);
  const std::uint32_t priority = PriorityOf(job);
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  step.verdicts.resize(hosts.size());
  // Approved hosts have the room: keep it until their tickets come.
  const auto chosen = ChooseGangHosts(job, spec, step, priority, false);
  if (!chosen.empty()) {
    std::vector<host_slot> slots;
    for (const auto& [slot, count] : chosen) slots.push_back(slot);
    if (!Ask(ref, job, step, std::move(slots), members)) return;
    Unreserve(step, spec);
    Reserve(step, spec, chosen);
    return;
  }
  AskUnknown(ref, job, step);
}

// Asks about hosts without a verdict: those with room if they promise to suffice, and all of them
// if the gang has waited, so that hosts can be kept free for it.
void scheduler::state::AskUnknown(const task_ref& ref, job_entry& job, step_state& step) {
  const step_spec& spec = SpecOf(job, ref.step);
  const std::uint32_t priority = PriorityOf(job);
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  std::vector<std::pair<std::int64_t, host_slot>> unknown;
  double approved_room = 0;
  double unknown_room = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const std::uint32_t copies = FitCount(job, spec, step, slot, priority, false);
    if (step.verdicts[slot].known) {
      if (step.verdicts[slot].approved) approved_room += copies;
      continue;
    }
    if (!Usable(hosts[slot]) || !HasLabel(hosts[slot], spec.label)) continue;
    unknown_room += copies;
    unknown.emplace_back(-hosts[slot].Free().cores_milli, slot);
  }
  std::sort(unknown.begin(), unknown.end());
  const double rate = std::max(approval[job.queue].value, kApprovalLeast);
  const bool promising = approved_room + rate * unknown_room >= members;
  if (!promising && now - step.ready_since < options.learn_after) return;
  std::vector<host_slot> slots;
  double expected = approved_room;
  for (const auto& [free, slot] : unknown) {
    const bool enough = slots.size() >= kAskLeast && expected >= kAskSpare * members;
    if (promising && enough) break;
    slots.push_back(slot);
    expected += rate * FitCount(job, spec, step, slot, priority, false);
  }
  Ask(ref, job, step, std::move(slots), members);
}

bool scheduler::state::Ask(const task_ref& ref, const job_entry& job, step_state& step,
                           std::vector<host_slot> slots, std::uint32_t tasks) {
  if (slots.empty()) return false;
  if (slots.size() > options.advice_hosts) slots.resize(options.advice_hosts);
  const advice_settings& advice = *QueueOf(job)->advice;
  const duration cost = advice.decision + advice.per_host * static_cast<std::int64_t>(slots.size());
  const std::int64_t cores = RoomOf(SpecOf(job, ref.step)).cores_milli * tasks;
  if (!MayAsk(cores, cost, PriorityOf(job))) return false;
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
    rate += kApprovalWeight * (static_cast<double>(fresh_approved) / static_cast<double>(fresh) -
                               rate);
  }
  // A gang takes its reserved room now or gives it back.
  const task_ref& ref = asked.step;
  if (step->waiting && !step->reserved.empty()) PlaceGang(ref, *job, *step);
  if (step->question == 0) Unreserve(*step, SpecOf(*job, ref.step));
}

}  // namespace sycamorehinge::cell
