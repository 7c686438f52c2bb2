#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "cluster.h"
#include "stream_follower.h"

namespace sycamorehinge::control::testing {
namespace {

// Guards against an older configuration replacing a newer one, and against applying a malformed
// one.
TEST_CASE("Versions of the configuration only rise") {
  cluster group(1);
  group.store.Run(seconds(1));
  REQUIRE(group.nodes["p0"]->Config());
  CHECK(group.nodes["p0"]->Config()->version == 3);
  group.store.Put(stream_name::kConfig, "config", "7");
  group.store.Put(stream_name::kConfig, "config", "5");
  group.store.Put(stream_name::kConfig, "config", "bad");
  group.store.Run(seconds(2));
  CHECK(group.nodes["p0"]->Config()->version == 7);
}

// Guards against a process that accepts withdrawn keys for as long as the store turns it away.
TEST_CASE("A process that the store turns away follows the configuration through the owner") {
  cluster group(3);
  group.store.Run(seconds(3));
  REQUIRE(group.OwnerName() == "p0");
  group.store.cut_off["p2"] = true;
  group.store.Run(seconds(3));
  group.store.Put(stream_name::kConfig, "config", "7");
  group.store.Run(seconds(5));
  CHECK(group.nodes["p2"]->Config()->version == 7);
  // The store again gives an older version, as a stale read would.
  group.store.cut_off["p2"] = false;
  group.store.Put(stream_name::kConfig, "config", "5");
  group.store.Run(seconds(5));
  CHECK(group.nodes["p2"]->Config()->version == 7);
}

// Guards against an owner that hands on an old configuration while it cannot read a newer one.
TEST_CASE("Only an owner that can read the store hands on its configuration") {
  cluster group(2);
  group.store.Run(seconds(3));
  const auto ask = [&](std::uint64_t version) {
    peer_answer got;
    group.nodes["p0"]->OnPeerCall(config_call{version},
                                  [&](const peer_answer& answer) { got = answer; });
    return got;
  };
  CHECK(ask(0).config == "3");
  CHECK(ask(3).config.empty());
  CHECK(ask(3).code == errc::kOk);
  group.store.available = false;
  group.store.Run(seconds(3));
  CHECK(ask(0).code == errc::kNotOwner);
  CHECK(ask(0).config.empty());
}

// Guards against a process that takes the store for away until its next long read ends, 2 s after
// the store is back, and refuses calls meanwhile that it could hold for the next owner.
TEST_CASE("A follower learns at its next read that the store is back") {
  std::vector<duration> waits;
  std::vector<completion<stream_page>> open;
  std::vector<bool> available;
  ports port;
  port.now = [] { return time_point(); };
  port.run_at = [](time_point, const std::function<void()>& task) { task(); };
  port.read = [&](stream_name, const read_position& position, completion<stream_page> done) {
    const auto* change = std::get_if<from_offset>(&position);
    waits.push_back(change ? change->wait : duration());
    open.push_back(std::move(done));
  };
  follower_handlers handlers;
  handlers.on_snapshot = [](const auto&) {};
  handlers.on_change = [](const auto&) {};
  handlers.on_availability = [&](bool answers) { available.push_back(answers); };
  const auto follower = std::make_shared<stream_follower>(
      port, follower_options{stream_name::kConfig, seconds(2), {}}, std::move(handlers));
  follower->Start();
  const auto answer = [&](const result<stream_page>& page) {
    const completion<stream_page> done = open.back();
    done(page);
  };
  answer(stream_page{});
  CHECK(waits.back() == seconds(2));
  answer(errc::kTimeout);
  CHECK(waits.back() == duration());
  answer(errc::kLogUnavailable);
  CHECK(waits.back() == duration());
  answer(stream_page{});
  CHECK(waits.back() == seconds(2));
  CHECK(available == std::vector<bool>{false, true});
  follower->Stop();
}

}  // namespace
}  // namespace sycamorehinge::control::testing
