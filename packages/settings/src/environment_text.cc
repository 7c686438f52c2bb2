#include <array>
#include <charconv>
#include <cstdio>
#include <iterator>

#include "sycamorehinge/settings/environment.h"

namespace sycamorehinge {

namespace {

constexpr std::int64_t kMillisPerCore = 1000;
constexpr std::int64_t kMbPerGb = 1024;

// Shortest decimal that reads back as the same double, always with the mark of a TOML float.
std::string FloatText(double value) {
  std::array<char, 32> buffer{};
  const auto end = std::to_chars(buffer.begin(), buffer.end(), value);
  std::string text(buffer.begin(), end.ptr);
  if (text.find_first_of(".e") == std::string::npos) text += ".0";
  return text;
}

std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < 0x20 || byte == 0x7f) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      quoted += escaped.data();
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

// A whole number of small units in large ones; the shortest text reads back as the same number.
std::string UnitText(std::int64_t small, std::int64_t per_large) {
  return FloatText(static_cast<double>(small) / static_cast<double>(per_large));
}

std::string Line(std::string_view key, std::string_view value) {
  return std::string(key) + " = " + std::string(value) + "\n";
}

std::string DurationLine(std::string_view key, duration value) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(value);
  return Line(key, std::to_string(ms.count()));
}

std::string QuotaText(const resources& quota) {
  return "{cores = " + UnitText(quota.cores_milli, kMillisPerCore) +
         ", memory_gb = " + UnitText(quota.memory_mb, kMbPerGb) +
         ", accelerators = " + std::to_string(quota.accelerators) +
         ", slots = " + std::to_string(quota.slots) + "}";
}

std::string ServiceText(const service_rule& rule) {
  return "\n[[service]]\n" + Line("name", Quoted(rule.name.value)) +
         DurationLine("timeout_ms", rule.timeout) + Line("slots", std::to_string(rule.slots));
}

std::string ClassText(const class_rule& rule) {
  return "\n[[class]]\n" + Line("name", Quoted(rule.name.value)) +
         Line("share", FloatText(rule.share)) + Line("limit", FloatText(rule.limit)) +
         Line("urgency", std::to_string(rule.urgency)) + DurationLine("max_wait_ms", rule.max_wait);
}

std::string TenantText(const tenant_rule& rule) {
  return "\n[[tenant]]\n" + Line("name", Quoted(rule.name.value)) +
         Line("home", Quoted(rule.home.value)) + Line("weight", FloatText(rule.weight)) +
         Line("quota", QuotaText(rule.quota)) + Line("max_jobs", std::to_string(rule.max_jobs));
}

std::string PlacementText(const placement_rules& rules) {
  return "\n[placement]\n" + Line("request", Quoted(ToString(rules.request))) +
         Line("batch", Quoted(ToString(rules.batch))) +
         Line("service", Quoted(ToString(rules.service))) +
         Line("gang", Quoted(ToString(rules.gang)));
}

std::string RetryText(const retry_rule& rule) {
  return "\n[retry]\n" + Line("max_attempts", std::to_string(rule.max_attempts)) +
         Line("budget", FloatText(rule.budget)) + DurationLine("backoff_ms", rule.backoff) +
         DurationLine("max_backoff_ms", rule.max_backoff);
}

}  // namespace

std::string EnvironmentText(const environment_document& document) {
  std::string text = Line("name", Quoted(document.name.value));
  for (const service_rule& rule : document.services) text += ServiceText(rule);
  for (const class_rule& rule : document.classes) text += ClassText(rule);
  for (const tenant_rule& rule : document.tenants) text += TenantText(rule);
  return text + PlacementText(document.placement) + RetryText(document.retry);
}

}  // namespace sycamorehinge
