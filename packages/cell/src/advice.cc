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
constexpr std::size_t kMinHostsPerGangRequest = 30;
// A gang asks about hosts that could run this multiple of its members if they were empty.
constexpr double kKnownCapacity = 3;
// All waiting gangs together examine this many hosts in a second to choose those that they ask
// about: a tenth of a core, at 0.08 us for each.
constexpr std::int64_t kMaxHostsPerSecond = 1'250'000;
// Delay before the next request after one without an answer.
constexpr duration kNoAnswerDelay = std::chrono::milliseconds(300);
// Delay after an answer before the same step sends another request.
constexpr duration kMinRequestInterval = std::chrono::milliseconds(50);
// Weight of a new answer in the moving average of the approval rate.
constexpr double kApprovalWeight = 0.1;
constexpr double kMinApprovalRate = 0.05;

// Hosts with more free capacity are asked about first, of equal ones the faster.
bool IsAskedLater(const unknown_host& a, const unknown_host& b) {
  return std::tie(a.copies, a.speed_class, a.free, b.slot) <
         std::tie(b.copies, b.speed_class, b.free, a.slot);
}

}  // namespace

// Limits the time for which a request waits before the policy service handles it, since a ticket
// that arrives late cannot be used. Each machine handles one request at a time.
bool scheduler::state::MayRequestAdvice(const demand& wanted, duration cost) const {
  const bool is_long = cost >= kLongAdviceRequest;
  const duration pending = pending_advice_time[is_long];
  if (pending == duration::zero()) return true;
  const auto all = static_cast<std::int64_t>(policy_clients);
  const auto for_long = static_cast<std::int64_t>(MachinesForLongRequests(policy_clients));
  if (is_long) return pending + cost <= (options.max_advice_wait + cost) * for_long;
  const duration limit = options.max_advice_wait * std::max<std::int64_t>(all - for_long, 1);
  // The highest priority gets half as much again, so that other queues cannot exhaust its share.
  return pending + cost <= (wanted.queue->priority == 0 ? limit * 3 / 2 : limit);
}

void scheduler::state::RequestAdviceForTasks(const task_ref& ref, const demand& wanted,
                                             step_state& step, std::uint32_t tasks) {
  if (!step.advice_requests.empty() || now < step.next_advice_at) return;
  if (!MayRequestAdvice(wanted, wanted.queue->advice->decision_time)) return;
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
    const std::uint32_t copies = UnclaimedCopies(wanted, slot);
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
  RequestAdvice(ref, wanted, step, chosen, tasks);
}

// Requests tickets for approved hosts that fit the gang, and reserves the capacity meanwhile. If
// none do, requests advice on more hosts.
void scheduler::state::RequestAdviceForGang(const task_ref& ref, const demand& wanted,
                                            step_state& step) {
  if (!step.reserved_capacity.empty() || now < step.next_advice_at) return;
  if (!MayRequestAdvice(wanted, wanted.queue->advice->decision_time)) return;
  step.verdicts.resize(hosts.size());
  const auto chosen = ChooseGangHosts(wanted, false);
  if (chosen.empty()) return RequestAdviceForUnknownHosts(ref, wanted, step);
  std::vector<host_slot> slots;
  slots.reserve(chosen.size());
  for (const auto& [slot, count] : chosen) slots.push_back(slot);
  if (!RequestAdvice(ref, wanted, step, slots, 0)) return;
  advice_requests.at(step.advice_requests.back()).reserves_capacity = true;
  ReserveCapacity(step, *wanted.spec, chosen);
}

// Requests advice on hosts for which the policy service has not answered yet.
void scheduler::state::RequestAdviceForUnknownHosts(const task_ref& ref, const demand& wanted,
                                                    step_state& step) {
  if (!step.advice_requests.empty() || now < step.next_host_choice_at) return;
  const auto pairs = static_cast<std::int64_t>(waiting.size() * hosts.size());
  step.next_host_choice_at = now + duration(std::chrono::seconds(1)) * pairs / kMaxHostsPerSecond;
  const std::vector<host_slot> slots = ChooseUnknownHosts(wanted);
  std::span<const host_slot> left = slots;
  while (!left.empty()) {
    const auto part = left.first(std::min(left.size(), options.max_hosts_per_advice_request));
    const std::size_t share = step.tasks.size() * part.size() / slots.size();
    if (!RequestAdvice(ref, wanted, step, part, static_cast<std::uint32_t>(share))) return;
    left = left.subspan(part.size());
  }
}

// Counts how many members of a gang are expected to fit, and lists the hosts without a verdict.
gang_outlook scheduler::state::OutlookOf(const demand& wanted, double rate) {
  const step_state& step = *wanted.step;
  examined_hosts += hosts.size();
  gang_outlook outlook;
  for (host_slot slot = 0; slot < hosts.size(); ++slot) {
    const policy_verdict& verdict = step.verdicts[slot];
    const host_state& host = hosts[slot];
    if (verdict.known && !verdict.approved) continue;
    if (!IsUsable(host) || !IsEligible(wanted, host)) continue;
    const std::uint32_t copies = UnclaimedCopies(wanted, slot);
    const std::uint32_t copies_when_empty = CopiesThatFit(host.Reclaimable(), wanted.task_size);
    if (verdict.known) {
      outlook.fit += copies;
      outlook.fit_when_empty += copies_when_empty;
    } else {
      outlook.fit_on_unknown += rate * copies;
      outlook.unknown.push_back(
          {copies, host.speed_class, host.Free().cores_milli, slot, copies_when_empty});
    }
  }
  return outlook;
}

// Chooses hosts to request advice on, those with the most free capacity first. If the gang is
// expected to fit now, these are as many as it needs now; otherwise, after `gang_advice_delay`, as
// many as it needs once other tasks have ended.
std::vector<host_slot> scheduler::state::ChooseUnknownHosts(const demand& wanted) {
  const step_state& step = *wanted.step;
  const auto members = static_cast<double>(step.tasks.size());
  const auto found = approval.find(wanted.queue->name);
  const double rate = std::max((found == approval.end() ? approval_rate() : found->second).average,
                               kMinApprovalRate);
  gang_outlook outlook = OutlookOf(wanted, rate);
  const bool promising = outlook.fit + outlook.fit_on_unknown >= members;
  if (!promising && now - step.ready_since < options.gang_advice_delay) return {};
  // A heap, since only the first hosts are needed in order.
  std::vector<unknown_host>& unknown = outlook.unknown;
  std::make_heap(unknown.begin(), unknown.end(), IsAskedLater);
  std::vector<host_slot> slots;
  while (!unknown.empty()) {
    const bool enough = promising ? outlook.fit >= kRequestMargin * members
                                  : outlook.fit_when_empty >= kKnownCapacity * members;
    if (enough && (slots.empty() || slots.size() >= kMinHostsPerGangRequest)) break;
    std::pop_heap(unknown.begin(), unknown.end(), IsAskedLater);
    const unknown_host next = unknown.back();
    unknown.pop_back();
    slots.push_back(next.slot);
    outlook.fit += rate * next.copies;
    outlook.fit_when_empty += rate * next.copies_when_empty;
  }
  return slots;
}

// Sends a request unless too many are open. `tasks` are those that the step is expected to start
// with the answer; requests for reserved capacity expect none beside it.
bool scheduler::state::RequestAdvice(const task_ref& ref, const demand& wanted, step_state& step,
                                     std::span<const host_slot> slots, std::uint32_t tasks) {
  if (slots.empty()) return false;
  slots = slots.first(std::min(slots.size(), options.max_hosts_per_advice_request));
  const advice_settings& advice = *wanted.queue->advice;
  const duration cost =
      advice.decision_time + advice.time_per_host * static_cast<std::int64_t>(slots.size());
  if (!MayRequestAdvice(wanted, cost)) return false;
  request_advice ask{next_advice_request++, ref, {}, cost};
  std::vector<std::int64_t> expected;
  std::int64_t total = 0;
  for (const host_slot slot : slots) {
    ask.hosts.push_back(hosts[slot].entry.id);
    total += expected.emplace_back(UnclaimedCopies(wanted, slot));
  }
  for (std::size_t i = 0; i < slots.size(); ++i) {
    expected[i] = total == 0 ? 0 : wanted.task_size.cores_milli * tasks * expected[i] / total;
    hosts[slots[i]].expected_cores += expected[i];
  }
  step.advice_requests.push_back(ask.request_id);
  advice_requests[ask.request_id] = {ref, {slots.begin(), slots.end()}, std::move(expected), cost};
  pending_advice_time[cost >= kLongAdviceRequest] += cost;
  actions.emplace_back(std::move(ask));
  return true;
}

// Removes an open request and subtracts it from the totals.
std::optional<advice_request_state> scheduler::state::RemoveAdviceRequest(std::uint64_t request) {
  const auto found = advice_requests.find(request);
  if (found == advice_requests.end()) return std::nullopt;
  advice_request_state removed = std::move(found->second);
  advice_requests.erase(found);
  for (std::size_t i = 0; i < removed.hosts.size(); ++i) {
    hosts[removed.hosts[i]].expected_cores -= removed.expected_cores[i];
  }
  pending_advice_time[removed.cost >= kLongAdviceRequest] -= removed.cost;
  return removed;
}

void scheduler::state::OnAdvice(std::uint64_t request, bool answered,
                                std::span<const std::pair<host_id, std::string>> approved) {
  const std::optional<advice_request_state> found = RemoveAdviceRequest(request);
  if (!found) return;
  const advice_request_state& sent = *found;
  job_entry* job = FindJob(sent.step.job);
  step_state* step = FindStep(sent.step);
  if (!job || !step || std::erase(step->advice_requests, request) == 0) return;
  pass_needed = true;
  const queue_settings* queue = QueueOf(*job);
  if (!answered || !queue || !queue->advice) {
    if (sent.reserves_capacity) ReleaseReservedCapacity(*step, SpecOf(*job, sent.step.step));
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
  if (!sent.reserves_capacity) return;
  const task_ref& ref = sent.step;
  if (step->waiting && !step->reserved_capacity.empty()) PlaceGang(ref, *job, *step);
  ReleaseReservedCapacity(*step, SpecOf(*job, ref.step));
}

}  // namespace sycamorehinge::cell
