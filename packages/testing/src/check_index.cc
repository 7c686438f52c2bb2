#include "check_index.h"

#include <algorithm>
#include <cstdio>

namespace sycamorehinge::testing {

std::string_view TaskOf(std::string_view attempt) { return attempt.substr(0, attempt.find('/')); }
std::string_view JobOf(std::string_view attempt) { return attempt.substr(0, attempt.find('.')); }
bool HasPartition(std::string_view attempt) { return !attempt.starts_with("r-"); }

void findings::Add(time_point at, std::string_view text) {
  ++result_.broken;
  if (result_.findings.size() >= shown_) return;
  char seconds[32];
  (void)std::snprintf(seconds, sizeof(seconds), "%.6f",
                      std::chrono::duration<double>(at.time_since_epoch()).count());
  result_.findings.push_back(std::string("at ") + seconds + " " + std::string(text));
}

check_index::check_index(std::span<const history_event> events) {
  std::vector<const history_event*> sorted;
  sorted.reserve(events.size());
  for (const history_event& event : events) sorted.push_back(&event);
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const history_event* a, const history_event* b) { return a->at < b->at; });
  for (const history_event* event : sorted) {
    std::visit([&](const auto& body) { Add(event->at, body); }, event->body);
  }
  if (!sorted.empty()) last = sorted.back()->at;
}

std::span<const std::size_t> check_index::RunsOf(std::uint64_t content) const {
  const auto found = runs_by_content.find(content);
  if (found == runs_by_content.end()) return {};
  return found->second;
}

void check_index::Add(time_point /*at*/, const host_present& event) {
  capacities[event.host] = event.capacity;
}

void check_index::Add(time_point at, const leaving_changed& event) {
  leaving[event.host].emplace_back(at, event.leaving);
}

void check_index::Add(time_point at, const attempt_started& event) {
  const std::size_t number = runs.size();
  runs.push_back({event, at, time_point::max(), {}});
  runs_by_content[event.content].push_back(number);
  runs_by_host[event.host].push_back(number);
  runs_by_task[std::string(TaskOf(event.attempt))].push_back(number);
  open_[{event.host, event.attempt}] = number;
}

void check_index::Add(time_point at, const attempt_ended& event) {
  const auto found = open_.find({event.host, event.attempt});
  if (found == open_.end()) return;
  runs[found->second].to = at;
  runs[found->second].end_state = event.state;
  open_.erase(found);
}

void check_index::Add(time_point /*at*/, const host_overfilled& /*event*/) { ++overfill_events; }

void check_index::Add(time_point /*at*/, const platform_totals& event) { totals = event; }

void check_index::Add(time_point at, const request_sent& event) {
  caller_work& work = works[event.request];
  work.request = event.request;
  work.idempotent = event.idempotent;
  work.key = event.key;
  work.work_class = event.work_class;
  work.content = event.content;
  work.sendings.emplace_back();
  work.sendings.back().entry = event.entry;
  work.sendings.back().at = at;
}

void check_index::Add(time_point at, const job_sent& event) {
  caller_work& work = works[event.request];
  work.request = event.request;
  work.job = true;
  work.idempotent = event.idempotent;
  work.key = event.key;
  work.work_class = event.work_class;
  work.content = event.content;
  work.tasks = event.tasks;
  work.sendings.emplace_back();
  work.sendings.back().entry = event.entry;
  work.sendings.back().at = at;
}

sending* check_index::FindUnanswered(const std::string& request, const std::string& entry) {
  const auto found = works.find(request);
  if (found == works.end()) return nullptr;
  auto& sendings = found->second.sendings;
  const auto match = std::find_if(sendings.rbegin(), sendings.rend(), [&](const sending& s) {
    return !s.answered && s.entry == entry;
  });
  return match == sendings.rend() ? nullptr : &*match;
}

void check_index::Add(time_point at, const request_answered& event) {
  sending* sent = FindUnanswered(event.request, event.entry);
  if (sent == nullptr) return;
  sent->answered = true;
  sent->answered_at = at;
  sent->outcome = event.outcome;
  sent->error = event.error;
  sent->expected = event.expected;
  sent->received = event.received;
}

void check_index::Add(time_point at, const job_answered& event) {
  sending* sent = FindUnanswered(event.request, event.entry);
  if (sent == nullptr) return;
  sent->answered = true;
  sent->answered_at = at;
  sent->outcome = event.outcome;
  sent->error = event.error;
  sent->job = event.job;
}

void check_index::Add(time_point at, const job_seen& event) {
  jobs_seen[event.job].push_back({at, event.state, event.error});
}

void check_index::Add(time_point at, const process_changed& event) {
  processes[event.entry].changes.emplace_back(at, event.change);
}

void check_index::Add(time_point at, const document_accepted& event) {
  accepted_versions.push_back({at, event.document, event.version});
}

void check_index::Add(time_point at, const document_seen& event) {
  versions[event.document][event.entry].push_back({at, event.version});
}

}  // namespace sycamorehinge::testing
