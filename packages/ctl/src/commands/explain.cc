#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "answer.h"
#include "commands/commands.h"
#include "files.h"
#include "json_fields.h"
#include "log_lines.h"
#include "sycamorehinge/core/types.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

struct explain_options {
  std::string job;
  std::vector<std::string> files;
};

struct told_event {
  std::string source;
  log_line line;
  std::string subject;
  std::string host;
  // What the process or a host went through meanwhile, not the job itself.
  bool context = false;
};

// Events of the owner and the store that explain a gap in the story of a job.
constexpr std::string_view kContextEvents[] = {
    "cell_acquired",   "cell_lost",          "recovery_finished", "store_unavailable",
    "store_available", "process_was_paused", "config_in_force"};
// Events whose subject is a host.
constexpr std::string_view kHostEvents[] = {"host_gone", "host_unreachable", "host_restarted",
                                            "host_avoided"};

bool IsOneOf(std::span<const std::string_view> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The subject is the job, or a run of one of its tasks.
bool IsAbout(std::string_view subject, std::string_view id) {
  if (!subject.starts_with(id)) return false;
  return subject.size() == id.size() || subject[id.size()] == '.' || subject[id.size()] == '/';
}

std::vector<told_event> ReadEvents(std::string_view text, const std::string& file) {
  std::vector<told_event> events;
  while (!text.empty()) {
    const std::string_view row = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(row.size() + 1, text.size()));
    const auto line = ParseLogLine(row);
    if (!line) continue;
    const std::string source = line->source.empty() ? file : std::string(line->source);
    events.push_back({source, *line, FieldOf(*line, "subject"), FieldOf(*line, "host"), false});
  }
  return events;
}

// The job's events and, between the first and the last, those of its owner, hosts and store.
std::vector<told_event> Select(std::vector<told_event> events, std::string_view id) {
  std::stable_sort(events.begin(), events.end(), [](const told_event& a, const told_event& b) {
    return a.line.time < b.line.time;
  });
  const auto own = [&](const told_event& event) { return IsAbout(event.subject, id); };
  const auto first = std::find_if(events.begin(), events.end(), own);
  const auto last = std::find_if(events.rbegin(), events.rend(), own).base();
  std::set<std::string> hosts;
  for (auto at = first; at < last; ++at) {
    if (own(*at)) hosts.insert(at->host);
  }
  std::vector<told_event> story;
  for (auto at = first; at < last; ++at) {
    at->context = !own(*at);
    const bool host_event = IsOneOf(kHostEvents, at->line.name) && hosts.contains(at->subject);
    if (!at->context || host_event || IsOneOf(kContextEvents, at->line.name)) {
      story.push_back(std::move(*at));
    }
  }
  return story;
}

std::string Summary(const std::vector<told_event>& story) {
  std::map<std::string, int> runs;
  std::set<std::string> hosts;
  std::string end = "no end is logged";
  for (const told_event& event : story) {
    if (event.context) continue;
    if (event.line.name == "task_started") {
      ++runs["started"];
      hosts.insert(event.host);
    }
    if (event.line.name == "task_ended") ++runs[FieldOf(event.line, "cause")];
    if (event.line.name == "task_lost") ++runs["lost"];
    if (event.line.name == "start_failed") ++runs["start not confirmed"];
    if (event.line.name == "job_ended" || event.line.name == "job_cancelled" ||
        event.line.name == "job_refused" || event.line.name == "call_unanswered") {
      const bool call = event.line.name == "call_unanswered";
      end = std::string(event.line.name) + ": " + FieldOf(event.line, call ? "error" : "cause");
    }
  }
  std::string text = "runs:";
  for (const auto& [kind, count] : runs) text += " " + std::to_string(count) + " " + kind + ",";
  text += " on " + std::to_string(hosts.size()) + " hosts; " + end;
  return text;
}

nlohmann::json StoryJson(const std::vector<told_event>& story) {
  nlohmann::json list = nlohmann::json::array();
  for (const told_event& event : story) {
    list.push_back({{"time", event.line.time},
                    {"source", event.source},
                    {"event", event.line.name},
                    {"subject", event.subject},
                    {"host", event.host},
                    {"cause", FieldOf(event.line, "cause")},
                    {"after_ms", FieldOf(event.line, "after_ms")},
                    {"context", event.context}});
  }
  return {{"events", list}, {"summary", Summary(story)}};
}

std::string StoryTable(const std::vector<told_event>& story) {
  text_table table({"time", "source", "event", "subject", "host", "cause", "after ms"});
  for (const told_event& event : story) {
    std::string cause = FieldOf(event.line, "cause");
    if (cause.empty()) cause = FieldOf(event.line, "error");
    if (cause.empty()) cause = FieldOf(event.line, "stream");
    table.Add({std::string(event.line.time), Printable(event.source),
               (event.context ? "- " : "") + Printable(event.line.name), Printable(event.subject),
               Printable(event.host), Printable(cause), FieldOf(event.line, "after_ms")});
  }
  return table.Render();
}

exit_code ExplainFromLogs(command_context& context, const explain_options& options) {
  // Lines are views into these texts.
  std::vector<std::string> texts;
  texts.reserve(options.files.size());
  std::vector<told_event> events;
  for (const std::string& file : options.files) {
    result<std::string> text = ReadInput(file);
    if (!text) return FailUsage(context, text.detail());
    texts.push_back(*std::move(text));
    for (told_event& event : ReadEvents(texts.back(), file)) events.push_back(std::move(event));
  }
  const std::vector<told_event> story = Select(std::move(events), options.job);
  if (story.empty()) {
    context.err << "error: no line of these files is about " << Printable(options.job) << "\n";
    return exit_code::kFailed;
  }
  if (context.format == output_format::kJson) {
    context.out << JsonText(StoryJson(story)) << "\n";
  } else {
    context.out << StoryTable(story) << Summary(story) << "\n";
  }
  return exit_code::kOk;
}

exit_code ExplainFromEntry(command_context& context, const std::string& job) {
  const json_answer answer =
      Call(context.api, {.path = "/v1/jobs/" + job + "/explain"}, call_kind::kRead);
  if (const auto* error = std::get_if<call_error>(&answer)) return Fail(context, *error);
  const auto& body = std::get<nlohmann::json>(answer);
  if (context.format == output_format::kJson) {
    context.out << JsonText(body) << "\n";
    return exit_code::kOk;
  }
  for (const nlohmann::json& line : ListField(body, "lines")) {
    if (line.is_string()) context.out << Printable(line.get<std::string>()) << "\n";
  }
  return exit_code::kOk;
}

exit_code RunExplain(command_context& context, const explain_options& options) {
  if (!options.files.empty()) return ExplainFromLogs(context, options);
  job_id parsed;
  if (!ParseJobId(options.job, parsed)) return FailUsage(context, options.job + " is not a job id");
  return ExplainFromEntry(context, options.job);
}

}  // namespace

void AddExplainCommand(command_registry& registry) {
  AddCommand<explain_options>(
      registry, "explain",
      "Tell why a job waits or failed, or what became of it by the logs of the processes",
      [](CLI::App& app, explain_options& options) {
        app.add_option("JOB", options.job, "Job id, for example p3-120-7")->required();
        app.add_option("FILE", options.files,
                       "Log files of all processes; - is standard input. Without files the entry "
                       "process is asked");
      },
      RunExplain);
}

}  // namespace sycamorehinge
