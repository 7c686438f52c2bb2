#include "sycamorehinge/settings/environment.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

constexpr std::string_view kDocument = R"(
name = "koinopraxia"
[[service]]
name = "queries"
timeout_ms = 1500
[[class]]
name = "return"
share = 0.6
urgency = 10
[[class]]
name = "dashboard"
share = 0.2
limit = 0.5
max_wait_ms = 300
[[tenant]]
name = "attiki-office"
home = "attiki"
quota = {cores = 4.5, memory_gb = 16, accelerators = 2}
max_jobs = 20
[placement]
batch = "spread"
[retry]
budget = 0.05
)";

bool Mentions(const parsed<environment_document>& read, std::string_view text) {
  return ToString(read.Mistakes()).find(text) != std::string::npos;
}

// Guards against a document that changes its meaning between the file and the process.
TEST_CASE("A document is read with its units and defaults") {
  const auto read = ParseEnvironment(kDocument, "doc.toml");
  REQUIRE(ToString(read.Mistakes()) == "");
  CHECK(read->name.value == "koinopraxia");
  CHECK(read->FindService("queries")->timeout == std::chrono::milliseconds(1500));
  CHECK(read->FindClass("return")->limit == 1.0);
  CHECK(read->FindClass("dashboard")->max_wait == std::chrono::milliseconds(300));
  CHECK(read->FindTenant("attiki-office")->quota == resources{4500, 16384, 2, 0});
  CHECK(read->placement.batch == placement_kind::kSpread);
  CHECK(read->placement.gang == placement_kind::kAllAtOnce);
  CHECK(read->retry.budget == 0.05);
}

// Guards against a promotion that writes a document differing from the one that was tried.
TEST_CASE("Canonical text reads back as the same document") {
  const auto read = ParseEnvironment(kDocument, "doc.toml");
  REQUIRE(read);
  const std::string text = EnvironmentText(*read);
  const auto again = ParseEnvironment(text, "canonical.toml");
  REQUIRE(ToString(again.Mistakes()) == "");
  CHECK(EnvironmentText(*again) == text);
  CHECK(again->FindTenant("attiki-office")->quota == read->FindTenant("attiki-office")->quota);
}

// Guards against reports that stop at the first mistake or point at the wrong place.
TEST_CASE("All mistakes of a document are reported with place and nearest key") {
  const auto read = ParseEnvironment(
      "name = \"x y\"\n[[class]]\nname = \"a\"\nshare = 0.7\nlimit = 0.5\n[[class]]\n"
      "name = \"a\"\nshare = 0.6\nurgncy = 3\n[[tenant]]\nname = \"t\"\nhome = \"\"\n"
      "quota = {cores = -1}\n[placement]\ngang = \"al_at_once\"\n",
      "doc.toml");
  REQUIRE_FALSE(read);
  CHECK(Mentions(read, "doc.toml:1:8: name: expected 1 to 64 letters"));
  CHECK(Mentions(read, "class[0].limit: expected at least the share"));
  CHECK(Mentions(read, "class[1].name: another class has this name (duplicate_name)"));
  CHECK(Mentions(
      read, "doc.toml:9:1: class[1].urgncy: unknown key (unknown_key); did you mean urgency?"));
  CHECK(Mentions(read, "tenant[0].home: expected 1 to 64 letters"));
  CHECK(Mentions(read, "tenant[0].quota.cores: expected number from 0 to 1e+07"));
  CHECK(Mentions(read, "did you mean all_at_once?"));
  CHECK(Mentions(read, "expected shares that add up to at most 1"));
  CHECK(read.Mistakes().size() == 8);
}

// Guards against numbers that pass every comparison.
TEST_CASE("Numbers that are not finite are refused") {
  for (const char* share : {"nan", "inf", "-inf", "true", "\"0.1\"", "2"}) {
    const std::string text =
        "name=\"e\"\n[[class]]\nname=\"c\"\nshare=" + std::string(share) + "\n";
    CHECK(Mentions(ParseEnvironment(text, "f"), "class[0].share: expected number from 0 to 1"));
  }
}

}  // namespace
}  // namespace sycamorehinge
