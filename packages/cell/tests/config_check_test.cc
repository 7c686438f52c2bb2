#include "sycamorehinge/cell/config_check.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace sycamorehinge::cell {
namespace {

using std::chrono::milliseconds;
using enum finding_severity;

queue_settings Queue(std::string name, std::string prefix) {
  queue_settings queue;
  queue.name = std::move(name);
  queue.host = "h";
  queue.prefix = std::move(prefix);
  queue.service = "s";
  queue.latency_target = milliseconds(1200);
  queue.timeout = milliseconds(3000);
  return queue;
}

tenant_settings Tenant(std::string name, std::vector<std::string> keys) {
  tenant_settings tenant;
  tenant.name.value = std::move(name);
  tenant.keys = std::move(keys);
  return tenant;
}

fleet_config Sound() {
  fleet_config config;
  config.version = 7;
  config.queues = {Queue("a", "/a/"), Queue("b", "/a/b/")};
  config.services = {{"s"}};
  config.tenants = {Tenant("t", {"secret-1"}), Tenant("u", {"secret-2"})};
  config.limits = {262'144, 16'384, milliseconds(3000), milliseconds(15'000)};
  return config;
}

// Whether one finding has this severity and contains the text. No finding may show a key.
bool Has(const std::vector<config_finding>& findings, finding_severity severity,
         std::string_view text) {
  return std::any_of(findings.begin(), findings.end(), [&](const config_finding& found) {
    const std::string line = ToString(found.subject) + ": " + found.text;
    CHECK(line.find("secret") == std::string::npos);
    return found.severity == severity && line.find(text) != std::string::npos;
  });
}

// Guards against warnings that operators learn to ignore.
TEST_CASE("A sound configuration has no findings") {
  CHECK(CheckConfig(Sound()).empty());
  CHECK(CompareConfigs({}, {}).size() == 1);
}

// Guards against a version that every process rejects, or that mixes up its queues.
TEST_CASE("Names and keys that are not unique are errors") {
  fleet_config config = Sound();
  config.queues[1].name = "a";
  config.queues.push_back(Queue("c", "/c/"));
  config.queues[2].service = "x\n";
  config.tenants[1].keys = {"secret-1", ""};
  config.tenants[0].weight = -1;
  config.tenants[1].quota.memory_mb = -1;
  const auto found = CheckConfig(config);
  CHECK(Has(found, kError, "queue 'a': is defined more than once"));
  CHECK(Has(found, kError, "queue 'c': has the unknown service 'x?'"));
  CHECK(Has(found, kError, "tenant 'u': shares a key with tenant 't'"));
  CHECK(Has(found, kError, "tenant 'u': has an empty key"));
  CHECK(Has(found, kError, "tenant 't': has a negative weight"));
  CHECK(Has(found, kError, "tenant 'u': has a negative quota"));
  CHECK_FALSE(config.IndexKeys());
}

// Guards against entries that the operator believes to be in effect.
TEST_CASE("Entries without effect are warnings") {
  fleet_config config = Sound();
  config.queues[1].prefix = "/a/";
  config.queues.push_back(Queue("c", "c/"));
  config.services.push_back({"idle"});
  config.tenants = {Tenant("t", {"secret-1", "secret-1"}), Tenant("t", {})};
  const auto found = CheckConfig(config);
  CHECK(Has(found, kWarning, "queue 'b': never matches: queue 'a'"));
  CHECK(Has(found, kWarning, "queue 'c': never matches: the prefix"));
  CHECK(Has(found, kWarning, "service 'idle': has no queue"));
  CHECK(Has(found, kWarning, "tenant 't': never matches: it has no key"));
  CHECK(Has(found, kWarning, "tenant 't': is defined more than once"));
  CHECK(Has(found, kWarning, "tenant 't': lists a key more than once"));
  CHECK(found.front().severity == kWarning);
}

// Guards against limits that let a request in which then cannot be stored or answered in time.
TEST_CASE("Limits that contradict each other are warnings") {
  fleet_config config = Sound();
  config.limits = {262'145, 16'384, milliseconds(3001), milliseconds(3000)};
  config.queues[0].latency_target = milliseconds(3001);
  config.queues[1].timeout = {};
  const auto found = CheckConfig(config);
  CHECK(found.size() == 4);
  CHECK(Has(found, kWarning, "limits: bodies of 262145 bytes"));
  CHECK(Has(found, kWarning, "limits: unfinished headers"));
  CHECK(Has(found, kWarning, "queue 'a': the latency target of 3001 ms"));
  CHECK(Has(found, kWarning, "queue 'a': the timeout of 3000 ms"));
}

// Guards against a change that goes unseen, and against keys in the output.
TEST_CASE("The comparison names every difference but no key") {
  fleet_config next = Sound();
  next.queues[0].priority = 2;
  next.queues[1].name = "c";
  next.services[0].standby = true;
  next.tenants[0].keys = {"secret-3", "secret-4"};
  next.tenants[1].weight = 2.5;
  next.limits.max_body_bytes = 1000;
  auto found = CompareConfigs(Sound(), next);
  CHECK(found.size() == 8);
  CHECK(Has(found, kError, "version 7 is not higher than version 7"));
  CHECK(Has(found, kChange, "queue 'a': priority 0 -> 2"));
  CHECK(Has(found, kChange, "queue 'b': removed"));
  CHECK(Has(found, kChange, "queue 'c': added"));
  CHECK(Has(found, kChange, "service 's': standby no -> yes"));
  CHECK(Has(found, kChange, "tenant 't': keys added: 2, keys removed: 1"));
  CHECK(Has(found, kChange, "tenant 'u': weight 0 -> 2.5"));
  CHECK(Has(found, kChange, "limits: body bytes 262144 -> 1000"));
  next = Sound();
  next.version = 8;
  CHECK(CompareConfigs(Sound(), next).empty());
}

}  // namespace
}  // namespace sycamorehinge::cell
