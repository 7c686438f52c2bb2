// Requests to the policy service, which decides which hosts may run a step.
//
// The verdict on a host does not change, but its ticket expires soon. A step therefore requests
// advice on hosts with free capacity, and renews the tickets of approved hosts when it can use
// them.
#include <algorithm>
#include <utility>

#include "state.h"

namespace sycamorehinge::cell {

namespace {

// Requests cover more hosts than needed, since some lose their free capacity before the answer.
constexpr double kRequestMargin = 1.3;
constexpr std::size_t kMinHostsPerRequest = 4;
// Delay before the next request after one without an answer.
constexpr duration kNoAnswerDelay = std::chrono::milliseconds(300);
// Delay after an answer before the same step sends another request.
constexpr duration kMinRequestInterval = std::chrono::milliseconds(50);
// Weight of a new answer in the moving average of the approval rate.
constexpr double kApprovalWeight = 0.1;
constexpr double kMinApprovalRate = 0.05;

}  // namespace

// Limits open requests by the service time they take and by the free cores they compete for.
// Without the first limit, answers arrive too late to be used; without the second, many steps
// request advice for the same capacity and only one of them can use it.
bool scheduler::state::MayRequestAdvice(const demand& wanted, std::uint32_t tasks,
                                        duration cost) const {
  const auto clients = static_cast<std::int64_t>(policy_clients);
  const duration backlog = options.max_advice_backlog * clients;
  // The highest priority gets half as much again, so that other queues cannot exhaust its share.
  const duration limit = wanted.queue->priority == 0 ? backlog * 3 / 2 : backlog;
  if (pending_advice_time > duration::zero() && pending_advice_time + cost > limit) return false;
  return pending_advice_cores == 0 ||
         pending_advice_cores + wanted.task_size.cores_milli * tasks <= free_cores;
}

void scheduler::state::RequestAdviceForTasks(const task_ref& ref, const demand& wanted,
                                             step_state& step, std::uint32_t tasks) {
  if (step.advice_request != 0 || now < step.next_advice_at) return;
  if (!MayRequestAdvice(wanted, tasks, wanted.queue->advice->decision_time)) return;
  step.verdicts.resize(hosts.size());
  struct candidate {
    bool known;
    std::int64_t free;
    host_slot slot;
    std::uint32_t copies;
  };
  std::vector<candidate> candidates;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const policy_verdict& verdict = step.verdicts[slot];
    if (verdict.known && (!verdict.approved || TicketHolds(step, slot))) continue;
    const std::uint32_t copies = FitCount(wanted, slot, false);
    if (copies > 0) {
      candidates.push_back({verdict.known, hosts[slot].Free().cores_milli, slot, copies});
    }
  }
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.known, a.free, a.slot) < std::tuple(!b.known, b.free, b.slot);
  });
  const double rate = std::max(approval[wanted.queue->name].average, kMinApprovalRate);
  double expected = 0;
  std::vector<host_slot> chosen;
  for (const candidate& next : candidates) {
    if (chosen.size() >= kMinHostsPerRequest && expected >= kRequestMargin * tasks) break;
    chosen.push_back(next.slot);
    expected += next.known ? next.copies : rate * next.copies;
  }
  RequestAdvice(ref, wanted, step, std::move(chosen), tasks);
}

void scheduler::state::RequestAdviceForGang(const task_ref& ref, const demand& wanted,
                                            step_state& step) {
  if (step.advice_request != 0 || now < step.next_advice_at) return;
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  if (!MayRequestAdvice(wanted, members, wanted.queue->advice->decision_time)) return;
  step.verdicts.resize(hosts.size());
  // If approved hosts have enough free capacity, reserves it while the policy service issues their
  // tickets.
  const auto chosen = ChooseGangHosts(wanted, false);
  if (chosen.empty()) return RequestAdviceForUnknownHosts(ref, wanted, step);
  std::vector<host_slot> slots;
  slots.reserve(chosen.size());
  for (const auto& [slot, count] : chosen) slots.push_back(slot);
  if (!RequestAdvice(ref, wanted, step, std::move(slots), members)) return;
  ReleaseReservedCapacity(step, *wanted.spec);
  ReserveCapacity(step, *wanted.spec, chosen);
}

// Requests advice on hosts for which the policy service has not answered yet. If enough of them are
// expected to be approved for the gang to fit, requests advice only on those with the most free
// cores. Otherwise waits for `gang_advice_delay` and then requests advice on all of them, so that
// hosts can be reserved.
void scheduler::state::RequestAdviceForUnknownHosts(const task_ref& ref, const demand& wanted,
                                                    step_state& step) {
  const auto members = static_cast<std::uint32_t>(step.tasks.size());
  struct candidate {
    std::int64_t free;
    host_slot slot;
    std::uint32_t copies;
  };
  std::vector<candidate> unknown;
  double approved_capacity = 0;
  double unknown_capacity = 0;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const policy_verdict& verdict = step.verdicts[slot];
    if (verdict.known && !verdict.approved) continue;
    const std::uint32_t copies = FitCount(wanted, slot, false);
    (verdict.known ? approved_capacity : unknown_capacity) += copies;
    if (verdict.known || !IsUsable(hosts[slot])) continue;
    if (!HasLabel(hosts[slot], wanted.spec->label)) continue;
    unknown.push_back({hosts[slot].Free().cores_milli, slot, copies});
  }
  std::sort(unknown.begin(), unknown.end(), [](const auto& a, const auto& b) {
    return std::tie(b.free, a.slot) < std::tie(a.free, b.slot);
  });
  const double rate = std::max(approval[wanted.queue->name].average, kMinApprovalRate);
  const bool promising = approved_capacity + rate * unknown_capacity >= members;
  if (!promising && now - step.ready_since < options.gang_advice_delay) return;
  std::vector<host_slot> slots;
  double expected = approved_capacity;
  for (const candidate& next : unknown) {
    const bool enough = slots.size() >= kMinHostsPerRequest && expected >= kRequestMargin * members;
    if (promising && enough) break;
    slots.push_back(next.slot);
    expected += rate * next.copies;
  }
  RequestAdvice(ref, wanted, step, std::move(slots), members);
}

bool scheduler::state::RequestAdvice(const task_ref& ref, const demand& wanted, step_state& step,
                                     std::vector<host_slot> slots, std::uint32_t tasks) {
  if (slots.empty()) return false;
  if (slots.size() > options.max_hosts_per_advice_request) {
    slots.resize(options.max_hosts_per_advice_request);
  }
  const advice_settings& advice = *wanted.queue->advice;
  const duration cost =
      advice.decision_time + advice.time_per_host * static_cast<std::int64_t>(slots.size());
  if (!MayRequestAdvice(wanted, tasks, cost)) return false;
  const std::int64_t cores = wanted.task_size.cores_milli * tasks;
  request_advice ask{next_advice_request++, ref, {}, cost};
  for (const host_slot slot : slots) ask.hosts.push_back(hosts[slot].entry.id);
  step.advice_request = ask.request_id;
  advice_requests[ask.request_id] = {ref, std::move(slots), cores, cost};
  pending_advice_cores += cores;
  pending_advice_time += cost;
  actions.emplace_back(std::move(ask));
  return true;
}

// Removes an open request and subtracts it from the totals.
std::optional<advice_request_state> scheduler::state::RemoveAdviceRequest(std::uint64_t request) {
  const auto found = advice_requests.find(request);
  if (found == advice_requests.end()) return std::nullopt;
  advice_request_state removed = std::move(found->second);
  advice_requests.erase(found);
  pending_advice_cores -= removed.cores;
  pending_advice_time -= removed.cost;
  return removed;
}

void scheduler::state::OnAdvice(std::uint64_t request, bool answered,
                                std::span<const std::pair<host_id, std::string>> approved) {
  const std::optional<advice_request_state> found = RemoveAdviceRequest(request);
  if (!found) return;
  const advice_request_state& sent = *found;
  job_entry* job = FindJob(sent.step.job);
  step_state* step = FindStep(sent.step);
  if (!job || !step || step->advice_request != request) return;
  step->advice_request = 0;
  pass_needed = true;
  const queue_settings* queue = QueueOf(*job);
  if (!answered || !queue || !queue->advice) {
    ReleaseReservedCapacity(*step, SpecOf(*job, sent.step.step));
    step->next_advice_at = now + kNoAnswerDelay;
    return;
  }
  step->next_advice_at = now + kMinRequestInterval;
  step->verdicts.resize(hosts.size());
  std::size_t fresh = 0;
  std::size_t fresh_approved = 0;
  for (const host_slot slot : sent.hosts) {
    policy_verdict& verdict = step->verdicts[slot];
    const auto row = std::find_if(approved.begin(), approved.end(), [&](const auto& pair) {
      return pair.first == hosts[slot].entry.id;
    });
    if (!verdict.known) ++fresh;
    if (!verdict.known && row != approved.end()) ++fresh_approved;
    verdict.known = true;
    verdict.approved = row != approved.end();
    if (verdict.approved) {
      verdict.ticket = row->second;
      verdict.valid_until = now + queue->advice->ticket_validity;
    }
  }
  if (fresh > 0) {
    double& rate = approval[job->queue].average;
    rate +=
        kApprovalWeight * (static_cast<double>(fresh_approved) / static_cast<double>(fresh) - rate);
  }
  // The gang uses its reserved capacity now or releases it.
  const task_ref& ref = sent.step;
  if (step->waiting && !step->reserved_capacity.empty()) PlaceGang(ref, *job, *step);
  if (step->advice_request == 0) ReleaseReservedCapacity(*step, SpecOf(*job, ref.step));
}

}  // namespace sycamorehinge::cell
