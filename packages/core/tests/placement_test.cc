#include "sycamorehinge/core/placement.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

constexpr resources kHost{30'000, 130'000, 0, 0};
constexpr std::array<placement_policy, 5> kPolicies = {spread{}, pack{}, all_at_once{},
                                                       random_fit{}, first_fit{}};

std::vector<host_slot> Choose(const placement_policy& policy, host_index& index,
                              const resources& size, std::uint32_t count = 1,
                              std::span<const host_slot> avoid = {}) {
  std::vector<host_slot> hosts;
  std::uint64_t random = 1;
  ChooseHosts(policy, {size, count, avoid, false}, index, random, hosts);
  return hosts;
}

// Guards against sampling that misses the only host that fits, whichever resource is scarce.
TEST_CASE("Every policy finds the only host that fits") {
  host_index index;
  for (host_slot host = 0; host < 1400; ++host) {
    index.Set(host, host_group::kPlain,
              {host % 2 == 0 ? 1000 : 30'000, host % 2 == 0 ? 130'000 : 500, 0, 0}, kHost);
  }
  index.SetFree(777, {2000, 600, 0, 0});
  for (const placement_policy& policy : kPolicies) {
    CHECK(Choose(policy, index, {2000, 600, 0, 0}) == std::vector<host_slot>{777});
    const std::vector<host_slot> avoid = {777};
    CHECK(Choose(policy, index, {2000, 600, 0, 0}, 1, avoid).empty());
  }
}

// Guards against pack fragmenting large free capacity, and against spread crowding tasks on one
// host.
TEST_CASE("Pack fills a host and spread chooses the emptiest") {
  host_index index;
  for (host_slot host = 0; host < 20; ++host) index.Set(host, host_group::kPlain, kHost, kHost);
  index.SetFree(5, {4000, 17'333, 0, 0});
  index.SetFree(6, {15'000, 65'000, 0, 0});
  CHECK(Choose(pack{}, index, {4000, 17'333, 0, 0}) == std::vector<host_slot>{5});
  const std::vector<host_slot> spread_to = Choose(spread{}, index, {4000, 17'333, 0, 0});
  REQUIRE(spread_to.size() == 1);
  CHECK(index.At(spread_to.front()).free == kHost);
}

// Guards against other work that takes the hosts which accelerator work needs.
TEST_CASE("Accelerator hosts are used by other work only as a last resort") {
  host_index index;
  index.Set(0, host_group::kAccelerator, {30'000, 130'000, 4, 0}, {30'000, 130'000, 4, 0});
  index.Set(1, host_group::kPlain, kHost, kHost);
  CHECK(Choose(pack{}, index, {1000, 1000, 0, 0}) == std::vector<host_slot>{1});
  CHECK(Choose(pack{}, index, {1000, 1000, 1, 0}) == std::vector<host_slot>{0});
  index.SetFree(1, {});
  CHECK(Choose(pack{}, index, {1000, 1000, 0, 0}) == std::vector<host_slot>{0});
}

// Guards against partly placed gangs, and against capacity that stays taken after a failed
// placement.
TEST_CASE("A gang gets all its hosts or none") {
  host_index index;
  for (host_slot host = 0; host < 4; ++host) index.Set(host, host_group::kPlain, kHost, kHost);
  for (const placement_policy& policy : kPolicies) {
    CHECK(Choose(policy, index, {10'000, 1000, 0, 0}, 12).size() == 12);
    CHECK(Choose(policy, index, {10'000, 1000, 0, 0}, 13).empty());
    CHECK(index.LargestFree(host_group::kPlain) == kHost);
  }
}

// Guards against a wrong index after hosts of another size arrive, leave or change their group.
TEST_CASE("The index stays correct when hosts arrive, leave and differ in size") {
  host_index index;
  index.Set(0, host_group::kPlain, {0, 0, 0, 8}, {0, 0, 0, 8});
  CHECK(Choose(pack{}, index, {0, 0, 0, 1}) == std::vector<host_slot>{0});
  index.Set(1, host_group::kPlain, kHost, kHost);
  index.Set(2, host_group::kPlain, {64'000, 500'000, 0, 0}, {64'000, 500'000, 0, 0});
  CHECK(Choose(pack{}, index, {0, 0, 0, 8}) == std::vector<host_slot>{0});
  CHECK(Choose(pack{}, index, {31'000, 1, 0, 0}) == std::vector<host_slot>{2});
  index.Set(2, host_group::kUnavailable, {64'000, 500'000, 0, 0}, {64'000, 500'000, 0, 0});
  CHECK(Choose(pack{}, index, {31'000, 1, 0, 0}).empty());
  CHECK(Choose(first_fit{}, index, {1000, 1, 0, 0}) == std::vector<host_slot>{1});
}

}  // namespace
}  // namespace sycamorehinge
