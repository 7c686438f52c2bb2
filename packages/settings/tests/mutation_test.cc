// All parsers on damaged and hostile text: no crash, no hang, and a refusal always says why.
// A hang, or a check whose time grows with the square of the text, exceeds ctest's time limit.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "sycamorehinge/settings/environment.h"
#include "sycamorehinge/settings/job_file.h"
#include "sycamorehinge/settings/process_settings.h"

namespace sycamorehinge {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kRounds = 20'000;

constexpr std::array<std::string_view, 3> kSeeds = {
    "name = \"e\"\n[[service]]\nname = \"s\"\ntimeout_ms = 10\n[[class]]\nname = 'c'\nshare = 0.5\n"
    "[[tenant]]\nname = \"t\"\nhome = \"h\"\nquota = {cores = 1.5, memory_gb = 2}\n"
    "[placement]\ngang = \"all_at_once\"\n[retry]\nbudget = 0.1\n",
    "[process]\nname = \"e1\"\nregion = \"r\"\ndata_centre = \"d\"\n[peers]\nkey = \"k\"\n"
    "list = [{name = \"e2\", address = \"127.0.0.1:1\", region = \"r\", data_centre = \"d\"}]\n"
    "[partitions]\nregions = [\"r\"]\n[access]\ncallers = [\"ENV:T\"] # comment\n",
    "environment = \"e\"\ntenant = \"t\"\nclass = \"c\"\nkind = \"gang\"\ntasks = 4\n"
    "size = {cores = 2, memory_gb = 1.5}\nrun_ms = 10\nidempotent = false\npayload = "
    "\"\"\"p\"\"\"\n"};

constexpr std::array<std::string_view, 14> kTokens = {"[",     "]]",
                                                      "{",     "\"\"\"",
                                                      "'''",   "=",
                                                      "\n",    "\\u0000",
                                                      "nan",   "-9223372036854775808",
                                                      "1e400", "\xff\xfe",
                                                      ".",     "1979-05-27T07:32:00Z"};

template <class Generator>
void Mutate(std::string& text, Generator& random) {
  const std::size_t at = random() % (text.size() + 1);
  switch (random() % 5) {
    case 0:
      if (at < text.size()) text[at] = static_cast<char>(random());
      return;
    case 1:
      text.erase(at, random() % 16);
      return;
    case 2:
      text.insert(at, kTokens[random() % kTokens.size()]);
      return;
    case 3:
      text.insert(at, text.substr(random() % (text.size() + 1), random() % 64));
      return;
    default:
      text.insert(at, 1, static_cast<char>(random()));
  }
}

// Parses the text in all formats and checks what is common to all answers.
void CheckAll(const std::string& text) {
  const auto document = ParseEnvironment(text, "document");
  const auto settings = ParseSettings(text, "settings");
  const auto job = ParseJob(text, "job");
  REQUIRE(static_cast<bool>(document) == document.Mistakes().empty());
  REQUIRE(static_cast<bool>(settings) == settings.Mistakes().empty());
  REQUIRE(document.Mistakes().size() <= kMaxMistakes);
  REQUIRE(settings.Mistakes().size() <= kMaxMistakes);
  REQUIRE(static_cast<bool>(job) == job.Mistakes().empty());
  // A document that is accepted must survive its canonical form.
  if (document) REQUIRE(ParseEnvironment(EnvironmentText(*document), "canonical"));
}

std::string Repeat(std::string_view part, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += part;
  return text;
}

// Guards against a parser that an operator's typing error or a foreign file brings down.
TEST_CASE("Mutated text neither crashes nor hangs the parsers") {
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    std::string text(kSeeds[random() % kSeeds.size()]);
    const std::uint64_t changes = random() % 8;
    for (std::uint64_t i = 0; i <= changes; ++i) Mutate(text, random);
    INFO("seed " << kSeed << ", round " << round);
    CheckAll(text);
  }
}

// Guards against input that never was TOML.
TEST_CASE("Random bytes neither crash nor hang the parsers") {
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < kRounds / 10; ++round) {
    std::string text(random() % 512, '\0');
    std::generate(text.begin(), text.end(), [&random] { return static_cast<char>(random()); });
    INFO("seed " << kSeed << ", round " << round);
    CheckAll(text);
  }
}

// Guards against the stack overflow of toml++ on long dotted keys, and against quadratic checks.
TEST_CASE("Deep and wide text is refused in bounded time") {
  constexpr std::size_t kMany = 250'000;
  CheckAll(Repeat("a.", kMany) + "a = 1\n");
  CheckAll("[" + Repeat("a . ", kMany) + "a]\n");
  CheckAll(Repeat("\",\".'='.", kMany / 2) + "a = 1\n");
  CheckAll("x = \"\"\"\"\"\"\"\"\n" + Repeat("a.", kMany) + "a = 1\n");
  CheckAll("a = " + Repeat("[\n{a.b.c.d.e.f.g.h = ", 10'000));
  CheckAll("a = " + Repeat("[", kMany));
  CheckAll(Repeat("[[class]]\n", 100'000));
  std::string keys;
  for (std::size_t i = 0; i < 90'000; ++i) keys += "k" + std::to_string(i) + "=1\n";
  CheckAll(keys);
  std::string regions = "[partitions]\nregions = [";
  for (std::size_t i = 0; i < 90'000; ++i) regions += "\"" + std::to_string(i) + "\",";
  CheckAll(regions + "]\n");
  CheckAll(std::string(kMaxDocumentBytes + 1, ' '));
}

}  // namespace
}  // namespace sycamorehinge
