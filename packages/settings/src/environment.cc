#include "sycamorehinge/settings/environment.h"

#include <array>
#include <set>

#include "section_reader.h"
#include "size_reader.h"
#include "text_rules.h"

namespace sycamorehinge {

namespace {

constexpr std::int64_t kMaxDurationMs = 86'400'000;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxUrgency = 1'000'000;
constexpr std::int64_t kMaxOpenJobs = 10'000'000;
constexpr double kMaxWeight = 1e6;
// Sums of shares such as 0.1 + 0.2 + 0.7 differ from 1 in the last binary digits.
constexpr double kShareTolerance = 1e-9;

constexpr std::array kPlacements = {placement_kind::kSpread, placement_kind::kPack,
                                    placement_kind::kAllAtOnce, placement_kind::kRandom,
                                    placement_kind::kFirstFit};

service_rule ReadService(section_reader& reader) {
  service_rule rule;
  reader.Read("name", rule.name.value, kName, true);
  reader.Read("timeout_ms", rule.timeout, 1, kMaxDurationMs);
  reader.ReadInteger("slots", rule.slots, 1, kMaxSlots);
  return rule;
}

class_rule ReadClass(section_reader& reader) {
  class_rule rule;
  reader.Read("name", rule.name.value, kName, true);
  reader.Read("share", rule.share, {.least = 0, .most = 1});
  reader.Read("limit", rule.limit, {.least = 0, .most = 1});
  reader.ReadInteger("urgency", rule.urgency, -kMaxUrgency, kMaxUrgency);
  reader.Read("max_wait_ms", rule.max_wait, 1, kMaxDurationMs);
  if (rule.limit < rule.share) {
    reader.Report("limit", errc::kMalformed, "expected at least the share of the class");
  }
  return rule;
}

tenant_rule ReadTenant(section_reader& reader, mistake_list& mistakes) {
  tenant_rule rule;
  reader.Read("name", rule.name.value, kName, true);
  reader.Read("home", rule.home.value, kName, true);
  // A weight of 0 would starve the tenant; the smallest weight keeps divisions finite.
  reader.Read("weight", rule.weight, {.least = 1e-3, .most = kMaxWeight});
  if (const toml::table* quota = reader.TakeTable("quota")) {
    rule.quota = ReadSize(*quota, reader.FullKey("quota"), mistakes);
  }
  reader.ReadInteger("max_jobs", rule.max_jobs, 0, kMaxOpenJobs);
  return rule;
}

void ReadPlacementName(section_reader& reader, std::string_view key, placement_kind& out) {
  std::string text(ToString(out));
  reader.Read(key, text, kAnyText);
  std::vector<std::string_view> names;
  for (const placement_kind name : kPlacements) {
    names.push_back(ToString(name));
    if (names.back() != text) continue;
    out = name;
    return;
  }
  std::string expected = "expected one of";
  for (const std::string_view name : names) expected += " " + std::string(name);
  reader.Report(key, errc::kMalformed, std::move(expected), NearestName(text, names));
}

void ReadPlacement(const toml::table& table, mistake_list& mistakes, placement_rules& out) {
  section_reader reader(table, "placement", mistakes);
  ReadPlacementName(reader, "request", out.request);
  ReadPlacementName(reader, "batch", out.batch);
  ReadPlacementName(reader, "service", out.service);
  ReadPlacementName(reader, "gang", out.gang);
  reader.Finish();
}

void ReadRetry(const toml::table& table, mistake_list& mistakes, retry_rule& out) {
  constexpr std::int64_t kMaxAttempts = 100;
  section_reader reader(table, "retry", mistakes);
  reader.ReadInteger("max_attempts", out.max_attempts, 1, kMaxAttempts);
  reader.Read("budget", out.budget, {.least = 0, .most = 1});
  reader.Read("backoff_ms", out.backoff, 1, kMaxDurationMs);
  reader.Read("max_backoff_ms", out.max_backoff, 1, kMaxDurationMs);
  if (out.max_backoff < out.backoff) {
    reader.Report("max_backoff_ms", errc::kMalformed, "expected at least retry.backoff_ms");
  }
  reader.Finish();
}

// Reads the entries of [[key]] with `read` and refuses names that appear twice.
template <class Rule, class ReadRule>
std::vector<Rule> ReadRules(section_reader& root, std::string_view key, mistake_list& mistakes,
                            const ReadRule& read) {
  std::vector<Rule> rules;
  std::set<std::string> names;
  for (const auto& [full_key, table] : root.TakeTables(key)) {
    section_reader reader(*table, full_key, mistakes);
    Rule rule = read(reader);
    reader.Finish();
    if (!rule.name.empty() && !names.insert(rule.name.value).second) {
      reader.Report("name", errc::kDuplicateName, "another " + std::string(key) + " has this name");
    }
    rules.push_back(std::move(rule));
  }
  return rules;
}

void CheckClasses(section_reader& root, const std::vector<class_rule>& classes) {
  double shares = 0;
  for (const class_rule& rule : classes) shares += rule.share;
  if (shares > 1 + kShareTolerance) {
    root.Report("class", errc::kMalformed, "expected shares that add up to at most 1");
  }
  if (classes.empty()) root.Report("class", errc::kMalformed, "expected at least one [[class]]");
}

}  // namespace

parsed<environment_document> ParseEnvironment(std::string_view text, std::string_view file) {
  mistake_list mistakes(file);
  const std::optional<toml::table> table = ParseToml(text, kMaxDocumentBytes, mistakes);
  if (!table) return mistakes.Take();
  environment_document document;
  section_reader root(*table, "", mistakes);
  root.Read("name", document.name.value, kName, true);
  document.services = ReadRules<service_rule>(root, "service", mistakes, ReadService);
  document.classes = ReadRules<class_rule>(root, "class", mistakes, ReadClass);
  document.tenants = ReadRules<tenant_rule>(
      root, "tenant", mistakes,
      [&mistakes](section_reader& reader) { return ReadTenant(reader, mistakes); });
  if (const toml::table* rules = root.TakeTable("placement")) {
    ReadPlacement(*rules, mistakes, document.placement);
  }
  if (const toml::table* rules = root.TakeTable("retry")) {
    ReadRetry(*rules, mistakes, document.retry);
  }
  CheckClasses(root, document.classes);
  root.Finish();
  if (!mistakes.empty()) return mistakes.Take();
  return document;
}

}  // namespace sycamorehinge
