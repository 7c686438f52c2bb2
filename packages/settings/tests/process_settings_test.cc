#include "sycamorehinge/settings/process_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "sycamorehinge/settings/environment.h"
#include "sycamorehinge/settings/job_file.h"
#include "sycamorehinge/settings/parameters.h"

namespace sycamorehinge {
namespace {

constexpr std::string_view kSettings = R"(
[process]
name = "e1"
region = "harju"
data_centre = "h1"
[peers]
port = 7101
key = "test key"
list = [
  {name = "e1", address = "127.0.0.1:7101", region = "harju", data_centre = "h1"},
  {name = "e2", address = "127.0.0.1:7102", region = "tartu", data_centre = "t1"},
]
[partitions]
regions = ["tartu", "harju", "parnu"]
[claims]
renew_ms = 500
[access]
callers = ["ENV:CALLER_TOKEN", "FILE:/etc/token"]
operators = ["ENV:OPERATOR_TOKEN"]
)";

// Guards against settings that reach the process with another unit or default.
TEST_CASE("Settings are read with their defaults") {
  const auto read = ParseSettings(kSettings, "e1.toml");
  REQUIRE(ToString(read.Mistakes()) == "");
  CHECK(read->process.name.value == "e1");
  CHECK(read->claims.renew == std::chrono::milliseconds(500));
  CHECK(read->claims.ttl == std::chrono::seconds(2));
  CHECK(read->http.max_body_bytes == 1048576);
  CHECK(read->platform.hosts_address == read->platform.log_address);
  CHECK(read->partitions.regions == std::vector<std::string>{"harju", "parnu", "tartu"});
  REQUIRE(read->peers.list.size() == 1);
  CHECK(read->peers.list[0].name.value == "e2");
  CHECK(std::get<secret_value>(PeerKeySource(read->peers)).text == "test key");
}

// Guards against a start with half of the mistakes shown.
TEST_CASE("All mistakes of settings are reported at once") {
  const auto read = ParseSettings(
      "[process]\nname = 3\nregion = \"haju\"\ndata_center = \"h1\"\n[http]\nport = 70000\n"
      "[claims]\nttl_ms = 1000\n[partitions]\nregions = [\"harju\", "
      "\"harju\"]\n[pears]\n[access]\ncallers = [\"ENV:T\", \"token\"]\n",
      "e1.toml");
  REQUIRE_FALSE(read);
  const std::string report = ToString(read.Mistakes());
  for (const char* line : {
           "e1.toml:2:8: process.name: expected 1 to 64 letters",
           "process.region: expected one of partitions.regions (malformed); did you mean harju?",
           "process.data_centre: missing",
           "e1.toml:4:1: process.data_center: unknown key (unknown_key); did you mean data_centre?",
           "e1.toml:6:8: http.port: expected whole number from 1 to 65535",
           "claims.renew_ms: expected at most half of claims.ttl_ms",
           "partitions.regions: appears twice",
           "pears: unknown key (unknown_key); did you mean peers?",
           "access.callers: expected ENV:NAME or FILE:PATH",
           "access.operators: expected at least one source",
           "peers.key: expected exactly one of key, key_file and key_env",
       }) {
    INFO(report << "lacks: " << line);
    CHECK(report.find(line) != std::string::npos);
  }
}

// Guards against addresses that the network calls would refuse only after the start.
TEST_CASE("Listen and peer addresses are checked") {
  for (const char* address :
       {"", "127.0.0", "127.0.0.1.1", "127.0.0.256", "1.2.3.", "host", "::1"}) {
    const std::string text = "[http]\nlisten = \"" + std::string(address) + "\"\n";
    const std::string report = ToString(ParseSettings(text, "f").Mistakes());
    INFO(address);
    CHECK(report.find("http.listen: expected IPv4 address") != std::string::npos);
  }
}

std::string ReadSource(const std::string& path) {
  std::ifstream file(std::string(SYCAMOREHINGE_SOURCE) + "/" + path);
  INFO(path);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against examples that a new user copies and that do not load.
TEST_CASE("The examples load without mistakes") {
  for (const char* name : {"sutepuu.toml", "koinopraxia.toml"}) {
    const auto read = ParseEnvironment(ReadSource("examples/" + std::string(name)), name);
    CHECK(ToString(read.Mistakes()) == "");
    REQUIRE(read);
    CHECK(read->classes.size() == 3);
    CHECK(read->tenants.size() == 3);
  }
  const auto settings = ParseSettings(ReadSource("examples/sycamorehinged.toml"), "example");
  CHECK(ToString(settings.Mistakes()) == "");
  const auto job = ParseJob(ReadSource("examples/payout-job.toml"), "example");
  CHECK(ToString(job.Mistakes()) == "");
}

// Guards against a manual that describes other settings than the program has.
TEST_CASE("The operators' page holds the table of settings") {
  const std::string page = ReadSource("docs/OPERATIONS.md");
  const std::string begin = "<!-- settings: begin -->\n";
  const std::size_t from = page.find(begin);
  const std::size_t to = page.find("<!-- settings: end -->");
  REQUIRE(from != std::string::npos);
  REQUIRE(to != std::string::npos);
  CHECK(page.substr(from + begin.size(), to - from - begin.size()) == ParameterMarkdown());
}

// Guards against defaults or ranges that the loader itself would refuse.
TEST_CASE("Every default lies in its own range") {
  for (const parameter& row : Parameters()) {
    INFO(row.section << "." << row.key);
    CHECK_FALSE(row.help.empty());
    std::string text = "[" + std::string(row.section) + "]\n";
    if (!row.required) text += std::string(row.key) + " = " + DefaultText(row) + "\n";
    const auto read = ParseSettings(text, "f");
    const std::string key = std::string(row.section) + "." + std::string(row.key);
    for (const mistake& found : read.Mistakes()) {
      // The default of peers.key is empty on purpose: one of three keys must be given.
      if (row.required || key == "peers.key") continue;
      CHECK(found.key != key);
    }
  }
}

}  // namespace
}  // namespace sycamorehinge
