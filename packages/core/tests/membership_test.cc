#include "sycamorehinge/core/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace sycamorehinge {
namespace {

using std::chrono::milliseconds;

process_status Status(std::string name, std::string region, std::uint64_t incarnation = 1) {
  process_status status;
  status.process = {std::move(name)};
  status.incarnation = incarnation;
  status.where = {{std::move(region)}, {"dc"}, {}};
  status.ready = true;
  return status;
}

// Guards against routing to dead processes, and against suspecting processes of other regions too
// early.
TEST_CASE("A process without heartbeats is suspected, later if it is in another region") {
  membership group(Status("a", "harju"), {});
  const time_point start{std::chrono::seconds(9)};
  group.RecordHeartbeat(Status("b", "harju"), start);
  group.RecordHeartbeat(Status("c", "tartu"), start);
  CHECK(group.IsAlive({"b"}, start + milliseconds(1499)));
  CHECK_FALSE(group.IsAlive({"b"}, start + milliseconds(1500)));
  CHECK(group.IsAlive({"c"}, start + milliseconds(5999)));
  CHECK(group.Alive(start + milliseconds(1500)).size() == 2);
  CHECK(group.LastHeartbeat({"d"}) == std::nullopt);
}

// Guards against two processes with the same name, and against delayed heartbeats of an old
// process.
TEST_CASE("Heartbeats with an older incarnation are rejected") {
  membership group(Status("a", "harju", 5), {});
  CHECK(group.RecordHeartbeat(Status("a", "harju", 6), {}) == errc::kDuplicateName);
  CHECK(group.RecordHeartbeat(Status("a", "harju", 4), {}) == errc::kReplayed);
  CHECK(group.RecordHeartbeat(Status("b", "harju", 5), {}) == errc::kOk);
  CHECK(group.RecordHeartbeat(Status("b", "harju", 4), {}) == errc::kReplayed);
}

// Guards against processes that choose different holders, and against moving hosts needlessly.
TEST_CASE("Rendezvous hashing agrees everywhere and moves only the hosts of a lost process") {
  std::vector<membership> views;
  for (const char* name : {"a", "b", "c", "d"})
    views.emplace_back(Status(name, "harju"), membership_options{});
  for (membership& view : views) {
    for (const char* name : {"a", "b", "c", "d"}) view.RecordHeartbeat(Status(name, "harju"), {});
  }
  std::map<process_id, int> held;
  std::map<host_id, process_id> before;
  const location where{{"harju"}, {"dc"}, {}};
  for (int i = 0; i < 200; ++i) {
    const host_id host{"host" + std::to_string(i)};
    before[host] = views[0].PreferredHolder(host, where, {});
    CHECK(views[3].PreferredHolder(host, where, {}) == before[host]);
    ++held[before[host]];
  }
  for (const auto& [process, hosts] : held) CHECK(hosts > 25);
  process_status draining = Status("d", "harju");
  draining.draining = true;
  views[0].RecordHeartbeat(draining, {});
  for (const auto& [host, holder] : before) {
    const process_id after = views[0].PreferredHolder(host, where, {});
    CHECK(after != process_id{"d"});
    if (holder != process_id{"d"}) CHECK(after == holder);
  }
}

// Guards against keys of a tenant outside its home region, and against keys in partitions that do
// not exist.
TEST_CASE("Keys are stored in partitions of the tenant's home") {
  const std::vector<region_id> regions{{"tartu"}, {"harju"}, {"parnu"}};
  std::set<partition_number> used;
  for (int i = 0; i < 300; ++i) {
    const auto number = PartitionOfKey({"t"}, std::to_string(i), {"parnu"}, regions, 16);
    CHECK(RegionOfPartition(number, regions) == region_id{"parnu"});
    used.insert(number);
  }
  CHECK(used.size() == 5);
  CHECK(PartitionOfKey({"t"}, "k", {"elsewhere"}, regions, 16) < 16);
}

// Guards against asking a replaced owner although its successor is known.
TEST_CASE("The owner with the highest epoch is the known one") {
  membership group(Status("a", "harju"), {});
  process_status older = Status("b", "harju");
  older.partitions = {{3, 10}};
  process_status newer = Status("c", "harju");
  newer.partitions = {{3, 20}};
  group.RecordHeartbeat(newer, {});
  group.RecordHeartbeat(older, {});
  CHECK(group.KnownOwner(3, {}) == process_id{"c"});
  CHECK(group.KnownOwner(4, {}).empty());
}

}  // namespace
}  // namespace sycamorehinge
