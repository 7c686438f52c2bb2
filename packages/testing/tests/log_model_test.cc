#include "sycamorehinge/testing/log_model.h"

#include <catch2/catch.hpp>

namespace sycamorehinge::testing {
namespace {

time_point At(std::int64_t ms) { return time_point(std::chrono::milliseconds(ms)); }

// Guards against gaps and shared offsets, which owners take for a foreign writer.
TEST_CASE("Offsets are dense from 1 in each stream") {
  log_model log(1);
  for (std::uint64_t offset = 1; offset <= 5; ++offset) {
    CHECK(*log.Append("p1", "a", At(0)) == offset);
  }
  CHECK(*log.Append("p2", "b", At(0)) == 1);
  const auto page = log.Read("p1", 2, 2, At(0));
  REQUIRE(page);
  REQUIRE(page->entries.size() == 2);
  CHECK(page->entries[0].offset == 2);
  CHECK(page->entries[1].offset == 3);
  CHECK(page->oldest == 1);
  CHECK(page->next == 6);
}

// Guards against a reader that takes a truncated stream for a whole one.
TEST_CASE("Reading below the retained offsets is an error that names the oldest") {
  log_model log(1);
  log.Settings().retention = 3;
  for (int i = 0; i < 5; ++i) (void)*log.Append("p1", "a", At(0));
  const auto page = log.Read("p1", 1, 10, At(0));
  CHECK(page.code() == errc::kOffsetForgotten);
  CHECK(page.detail() == "3");
  CHECK(log.Read("p1", 3, 10, At(0))->entries.size() == 3);
}

// Guards against retention by age that never takes effect without appends.
TEST_CASE("Entries older than the retention age are forgotten") {
  log_model log(1);
  log.Settings().retention_age = std::chrono::seconds(1);
  (void)*log.Append("p1", "a", At(0));
  (void)*log.Append("p1", "b", At(900));
  CHECK(log.Read("p1", 1, 10, At(1'000))->entries.size() == 2);
  CHECK(log.Read("p1", 1, 10, At(1'500)).code() == errc::kOffsetForgotten);
  CHECK(log.Read("p1", 2, 10, At(5'000)).code() == errc::kOffsetForgotten);
  const auto end = log.Read("p1", 3, 10, At(5'000));
  REQUIRE(end);
  CHECK(end->entries.empty());
  CHECK(end->next == 3);
}

// Guards against an empty stream that looks like a forgotten one.
TEST_CASE("An unknown stream is empty") {
  log_model log(1);
  const auto page = log.Read("config", 1, 10, At(0));
  REQUIRE(page);
  CHECK(page->entries.empty());
  CHECK(page->oldest == 1);
  CHECK(page->next == 1);
}

// Guards against an outage that stores or serves anything.
TEST_CASE("A log that is down refuses and stores nothing") {
  log_model log(1);
  log.Settings().down = true;
  CHECK(log.Append("p1", "a", At(0)).code() == errc::kLogUnavailable);
  CHECK(log.Read("p1", 1, 10, At(0)).code() == errc::kLogUnavailable);
  log.Settings().down = false;
  CHECK(log.Read("p1", 1, 10, At(0))->next == 1);
}

// Guards against lost answers that lose the entry as well.
TEST_CASE("A lost answer leaves its entry in the stream") {
  log_model log(1);
  log.Settings().lose_answers = 1;
  CHECK(log.Append("p1", "a", At(0)).code() == errc::kTimeout);
  CHECK(log.Read("p1", 1, 10, At(0))->entries.size() == 1);
}

// Guards against a rate limit that counts over the wrong time.
TEST_CASE("Appends over the rate are refused") {
  log_model log(1);
  log.Settings().rate = 200;
  int accepted = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    const auto offset = log.Append("p1", "a", At(ms));
    if (offset) {
      ++accepted;
    } else {
      CHECK(offset.code() == errc::kOverloaded);
    }
  }
  CHECK(accepted >= 1'990);
  CHECK(accepted <= 2'025);
}

}  // namespace
}  // namespace sycamorehinge::testing
