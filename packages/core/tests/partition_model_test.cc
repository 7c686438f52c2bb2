// Generated schedules of faults around partitions.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <random>

#include "partition_world.h"

namespace sycamorehinge {
namespace {

constexpr std::size_t kSteps = 900;

partition_options ModelOptions() {
  partition_options options;
  // Small enough that most schedules write several snapshots.
  options.snapshot_after_records = 40;
  options.key_retention = std::chrono::hours(24);
  options.job_retention = std::chrono::hours(24);
  return options;
}

// Schedules are not shrunk: one wrong step moves all later ones, and 900 numbers take minutes.
rc::Gen<std::uint32_t> Seed() {
  return rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

void RunSchedule(partition_world& world, std::uint32_t seed) {
  std::mt19937 random(seed);
  for (std::size_t i = 0; i < kSteps; ++i) world.Step(random() >> 2);
  world.Drain();
  world.CheckEnd();
}

// First batch from which a reader sees the newest complete snapshot; nullopt if there is none.
std::optional<std::size_t> StartOfLastSnapshot(const std::vector<stored_batch>& log,
                                               std::uint64_t epoch) {
  std::optional<std::size_t> begun;
  std::optional<std::size_t> complete;
  std::uint64_t read = 0;
  for (std::size_t i = 0; i < log.size(); ++i) {
    const record_batch& batch = log[i].batch;
    // A batch that lands again much later does not start a newer snapshot.
    if (batch.epoch != epoch || batch.first_sequence <= read) continue;
    read = batch.first_sequence;
    for (const partition_record& record : batch.records) {
      if (std::holds_alternative<snapshot_begun>(record)) begun = i;
      if (std::holds_alternative<snapshot_ended>(record)) complete = begun;
    }
  }
  return complete;
}

// Guards against two running attempts of a task, a key that runs twice, "not run" of work that
// runs, accepted jobs that are lost, and calls that get no reply or two.
TEST_CASE("Generated schedules break no guarantee of jobs and keys") {
  CHECK(rc::check([] {
    const std::uint32_t seed = *Seed();
    partition_world world(ModelOptions());
    RunSchedule(world, seed);
    if (!world.Violations().empty()) RC_FAIL(world.Violations().front());
  }));
}

// Guards against owners and readers that disagree about the same records, and against snapshots
// that leave something out.
TEST_CASE("Replays from the start, from a snapshot and the owner's state agree") {
  CHECK(rc::check([] {
    const std::uint32_t seed = *Seed();
    partition_world world(ModelOptions());
    RunSchedule(world, seed);
    const std::uint64_t digest = world.Newest().core.Digest();
    RC_ASSERT(world.Replayed(0).Digest() == digest);
    const auto snapshot = StartOfLastSnapshot(world.Log(), world.Newest().core.Epoch());
    RC_ASSERT(snapshot.has_value());
    RC_ASSERT(world.Replayed(*snapshot).Digest() == digest);
    RC_ASSERT(world.Replayed(*snapshot / 2).Digest() == digest);
  }));
}

// Guards against a checker that would pass a scheduler without write-ahead records.
TEST_CASE("The checker finds starts that do not wait for their record") {
  partition_options options = ModelOptions();
  options.unsafe_start_before_durable = true;
  bool two_attempts = false;
  bool key_twice = false;
  for (std::uint32_t seed = 1; seed <= 400 && !(two_attempts && key_twice); ++seed) {
    partition_world world(options);
    RunSchedule(world, seed);
    for (const std::string& violation : world.Violations()) {
      two_attempts = two_attempts || violation.starts_with("two attempts run");
      key_twice = key_twice || violation.starts_with("key runs twice");
    }
  }
  CHECK(two_attempts);
  CHECK(key_twice);
}

}  // namespace
}  // namespace sycamorehinge
