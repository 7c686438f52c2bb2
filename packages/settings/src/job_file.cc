#include "sycamorehinge/settings/job_file.h"

#include <algorithm>
#include <array>

#include "section_reader.h"
#include "size_reader.h"
#include "sycamorehinge/settings/parameters.h"
#include "text_rules.h"

namespace sycamorehinge {

namespace {

constexpr std::size_t kMaxJobBytes = 1U << 20;
constexpr std::int64_t kMaxTasks = 10'000;
constexpr std::int64_t kMaxRunMs = 365LL * 86'400'000;

void ReadKind(section_reader& reader, work_kind& out) {
  constexpr std::array kKinds = {work_kind::kBatch, work_kind::kService, work_kind::kGang};
  std::string text(ToString(out));
  reader.Read("kind", text, kAnyText);
  std::vector<std::string_view> names;
  for (const work_kind kind : kKinds) {
    names.push_back(ToString(kind));
    if (names.back() != text) continue;
    out = kind;
    return;
  }
  reader.Report("kind", errc::kMalformed, "expected batch, service or gang",
                NearestName(text, names));
}

}  // namespace

parsed<job_spec> ParseJob(std::string_view text, std::string_view file) {
  mistake_list mistakes(file);
  const std::optional<toml::table> table = ParseToml(text, kMaxJobBytes, mistakes);
  if (!table) return mistakes.Take();
  job_spec job;
  section_reader root(*table, "", mistakes);
  root.Read("environment", job.environment.value, kName);
  root.Read("tenant", job.tenant.value, kName);
  root.Read("class", job.work_class.value, kName);
  root.Read("key", job.key, kName);
  ReadKind(root, job.kind);
  root.ReadInteger("tasks", job.tasks, 1, kMaxTasks);
  if (const toml::table* size = root.TakeTable("size")) {
    job.size = ReadSize(*size, "size", mistakes);
  }
  root.Read("run_ms", job.run_time, 0, kMaxRunMs);
  root.Read("deadline_ms", job.deadline, 0, kMaxRunMs);
  root.Read("idempotent", job.idempotent);
  root.Read("preemptible", job.preemptible);
  // The size of the file bounds the payload.
  root.Read("payload", job.payload, {.expected = "text"});
  root.Finish();
  if (!mistakes.empty()) return mistakes.Take();
  return job;
}

file_kind GuessFileKind(std::string_view text) {
  mistake_list ignored("");
  const std::optional<toml::table> table = ParseToml(text, kMaxJobBytes, ignored);
  if (!table) return file_kind::kEnvironment;
  const std::span<const parameter> rows = Parameters();
  if (std::any_of(rows.begin(), rows.end(),
                  [&table](const parameter& row) { return table->contains(row.section); })) {
    return file_kind::kSettings;
  }
  // An environment document has its own name, but never names an environment or tasks.
  return table->contains("environment") || table->contains("tasks") ? file_kind::kJob
                                                                    : file_kind::kEnvironment;
}

}  // namespace sycamorehinge
