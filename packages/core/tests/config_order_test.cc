#include "sycamorehinge/core/config_order.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

namespace sycamorehinge {
namespace {

config_key Key() { return {{"payouts"}, stage_name::kProduction}; }

config_record Proposal(std::uint64_t base, std::string author) {
  return {Key().environment, Key().stage, base, 0, std::move(author), "text", 0};
}

// Guards against a lost update: of two concurrent changes to one version only the first is
// accepted, and the second operator learns whose change that was.
TEST_CASE("A conflict reports the version and author of the accepted change") {
  config_order order;
  REQUIRE(order.Apply(1, Proposal(0, "ann")).outcome == config_outcome::kAccepted);
  CHECK(order.Apply(2, Proposal(1, "ben")).outcome == config_outcome::kAccepted);
  const config_decision lost = order.Apply(3, Proposal(1, "eva"));
  CHECK(lost.outcome == config_outcome::kConflict);
  CHECK(lost.in_force.version == 2);
  CHECK(lost.in_force.author == "ben");
  CHECK(order.Apply(2, Proposal(2, "ben")).outcome == config_outcome::kStale);
  CHECK(order.History(Key()).front().version == 2);
  CHECK(order.NextOffset() == 4);
}

// Guards against a restatement that replaces a newer document by an older one.
TEST_CASE("A restatement keeps its version and never replaces a newer one") {
  config_order late;
  config_record restated = Proposal(0, "ann");
  restated.restated_version = 5;
  CHECK(late.Apply(9, restated).outcome == config_outcome::kRestated);
  CHECK(late.InForce(Key())->version == 5);
  CHECK(late.Apply(10, Proposal(5, "ben")).outcome == config_outcome::kAccepted);
  CHECK(late.Apply(11, restated).outcome == config_outcome::kStale);
  CHECK(late.InForce(Key())->version == 10);
  restated.restated_version = 12;
  CHECK(late.Apply(12, restated).outcome == config_outcome::kStale);
}

// Guards against processes that get different documents from the same records.
TEST_CASE("All readers agree and versions never decrease") {
  CHECK(rc::check([](std::uint32_t seed) {
    std::mt19937 random(seed);
    config_order full;
    config_order lagging;
    std::uint64_t seen = 0;
    for (std::uint64_t offset = 1; offset <= 200; ++offset) {
      const config_version* now = full.InForce(Key());
      const std::uint64_t in_force = now == nullptr ? 0 : now->version;
      config_record record = Proposal(random() % 3 == 0 ? random() % offset : in_force, "a");
      if (random() % 8 == 0 && in_force != 0) record.restated_version = in_force;
      full.Apply(offset, record);
      const bool missed = random() % 4 == 0;
      if (!missed && lagging.NextOffset() == offset) lagging.Apply(offset, record);
      if (random() % 4 == 0) lagging.Merge(full.All(), full.NextOffset());
      const config_version* version = lagging.InForce(Key());
      if (version == nullptr) continue;
      RC_ASSERT(version->version >= seen);
      seen = version->version;
    }
    lagging.Merge(full.All(), full.NextOffset());
    RC_ASSERT(lagging.InForce(Key())->version == full.InForce(Key())->version);
    RC_ASSERT(lagging.NewestVersion() == full.NewestVersion());
  }));
}

}  // namespace
}  // namespace sycamorehinge
