#include "sycamorehinge/core/routing.h"

#include <catch2/catch.hpp>
#include <set>

namespace sycamorehinge {
namespace {

process_status Peer(std::string name, std::string region, std::int64_t cores) {
  process_status peer;
  peer.process = {std::move(name)};
  peer.where.region = {std::move(region)};
  peer.ready = true;
  peer.loads = {{{"env"}, {}, {cores, 100, 0, 0}, {cores, 100, 0, 0}, {}}};
  return peer;
}

// Guards against billed cross-region traffic while the own region has free capacity, and against
// work that waits although another region has some.
TEST_CASE("Other regions are asked only if no peer of the region has free capacity") {
  std::vector<process_status> peers{Peer("a", "harju", 4000), Peer("b", "tartu", 9000)};
  route_request request;
  request.environment = {"env"};
  request.size = {2000, 1, 0, 0};
  request.region = {"harju"};
  CHECK(OverflowCandidates(request, peers) == std::vector<process_id>{{"a"}});
  peers[0].draining = true;
  CHECK(OverflowCandidates(request, peers) == std::vector<process_id>{{"b"}});
  const std::vector<process_id> refused{{"b"}};
  request.refused = refused;
  CHECK(OverflowCandidates(request, peers).empty());
}

// Guards against all processes sending their overflow to the same peer.
TEST_CASE("The peer with more free capacity of two sampled ones comes first") {
  std::vector<process_status> peers;
  peers.reserve(6);
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    peers.push_back(Peer(name, "harju", 1000 * (1 + static_cast<std::int64_t>(peers.size()))));
  }
  route_request request;
  request.environment = {"env"};
  request.size = {500, 1, 0, 0};
  request.region = {"harju"};
  std::set<process_id> firsts;
  for (std::uint64_t i = 0; i < 64; ++i) {
    request.random = StableHash(std::to_string(i));
    const auto order = OverflowCandidates(request, peers);
    REQUIRE(order.size() == 6);
    CHECK(std::set<process_id>(order.begin(), order.end()).size() == 6);
    CHECK(order[0] > order[1]);
    firsts.insert(order[0]);
  }
  CHECK(firsts.size() == 5);
}

}  // namespace
}  // namespace sycamorehinge
