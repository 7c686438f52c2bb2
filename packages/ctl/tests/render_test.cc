#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "exposition.h"
#include "histogram_text.h"
#include "line_diff.h"
#include "text_table.h"

namespace sycamorehinge {
namespace {

// Guards against columns that shift with the width of non-ASCII names.
TEST_CASE("Tables align text left and numbers right") {
  text_table table({"name", "count"});
  table.Add({"S\xc3\xbctepuu", "5"});
  table.Add({"x", "120"});
  CHECK(table.Render() == "name     count\nS\xc3\xbctepuu      5\nx          120\n");
  CHECK(DurationText(200'000) == "3 min 20 s");
  CHECK(WallTimeText(1'000) == "1970-01-01 00:00:01Z");
  CHECK(SizeText({2500, 4096, 1, 0}) == "2.5 cores, 4 GB, 1 acc");
}

// Guards against a diff that hides a change from the person who promotes it.
TEST_CASE("A diff shows removed and added lines with context") {
  CHECK(LineDiff("a\nb\n", "a\nb\n").empty());
  CHECK(LineDiff("1\n2\n3\n4\n5\n6\n", "1\n2\n3\n4\nfive\n6\n") ==
        "...\n 2\n 3\n 4\n-5\n+five\n 6\n");
  CHECK(LineDiff("", "a\n") == "+a\n");
  CHECK(LineDiff("a\nb\n", "") == "-a\n-b\n");
}

// Guards against edits that cannot be replayed: a diff must contain both texts in full.
TEST_CASE("Removed and kept lines of a diff give the old text") {
  constexpr std::uint64_t kSeed = 7;
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 500; ++round) {
    std::string before;
    std::string after;
    for (std::uint64_t i = random() % 7; i > 0; --i)
      before += "abc"[random() % 3] + std::string("\n");
    for (std::uint64_t i = random() % 7; i > 0; --i)
      after += "abc"[random() % 3] + std::string("\n");
    std::string old_text;
    std::string new_text;
    const std::string diff = LineDiff(before, after);
    INFO("seed " << kSeed << ", round " << round << "\n" << diff);
    if (diff.find("...") != std::string::npos) continue;
    for (std::size_t at = 0; at < diff.size(); at += 3) {
      if (diff[at] != '+') old_text += diff.substr(at + 1, 2);
      if (diff[at] != '-') new_text += diff.substr(at + 1, 2);
    }
    if (before == after) continue;
    CHECK(old_text == before);
    CHECK(new_text == after);
  }
}

constexpr std::string_view kMetrics =
    "# HELP wait Wait in seconds.\n# TYPE wait histogram\n"
    "wait_bucket{class=\"pay\\\"out\",le=\"0.01\"} 2\nwait_bucket{class=\"pay\\\"out\",le=\"0.1\"} "
    "8\n"
    "wait_bucket{class=\"pay\\\"out\",le=\"+Inf\"} 10\nwait_sum{class=\"pay\\\"out\"} 5\n"
    "wait_count{class=\"pay\\\"out\"} 10\nappends_total 42 1700000000\nbroken{a=\nalso broken\n";

// Guards against quantiles computed from cumulative counts as if they were single ones.
TEST_CASE("Histograms are read from the text exposition") {
  const metric_groups groups = GroupMetrics(ParseExposition(kMetrics));
  REQUIRE(groups.histograms.size() == 1);
  const metric_histogram& wait = groups.histograms[0];
  CHECK(wait.labels.at("class") == "pay\"out");
  REQUIRE(wait.buckets.size() == 3);
  CHECK(wait.buckets[1].count == 6);
  CHECK(QuantileLimit(wait, 0.5) == 0.1);
  CHECK(std::isinf(QuantileLimit(wait, 0.99)));
  REQUIRE(groups.single.size() == 1);
  CHECK(groups.single[0].value == 42);
  const std::string text = MetricsText(groups);
  CHECK(text.find("count 10  mean 0.5  p50 <= 0.1") != std::string::npos);
  CHECK(text.find("<=  0.1  6  " + std::string(40, '#') + "\n") != std::string::npos);
}

// Guards against an exposition that brings the program down.
TEST_CASE("Mutated expositions neither crash nor hang") {
  constexpr std::uint64_t kSeed = 11;
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 5'000; ++round) {
    std::string text(kMetrics);
    for (int i = 0; i < 6; ++i) text[random() % text.size()] = static_cast<char>(random());
    INFO("seed " << kSeed << ", round " << round);
    CHECK_FALSE(MetricsText(GroupMetrics(ParseExposition(text))).empty());
  }
}

}  // namespace
}  // namespace sycamorehinge
