// The router alone, with peers whose answers the test writes.
#include "call_router.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>

namespace sycamorehinge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct router_fixture {
  struct sent_call {
    std::string address;
    call_attempt attempt;
    completion<peer_answer> done;
  };
  time_point now{std::chrono::hours(1)};
  std::multimap<time_point, std::function<void()>> timers;
  std::deque<sent_call> sent;
  std::vector<errc> replies;
  // Changes of the owner's silence.
  std::vector<bool> silences;
  ports port;
  call_router router;

  router_fixture() : port(MakePorts()), router(port, {"self:1"}, MakeHandlers()) {}

  call_router_handlers MakeHandlers() {
    const auto ignore = [](const cell_call&, errc, duration, const owner_info&) {};
    return {
        {}, ignore, ignore, [this](bool silent, const owner_info&) { silences.push_back(silent); }};
  }

  ports MakePorts() {
    ports made;
    made.now = [this] { return now; };
    made.wall_ms = [this] { return now.time_since_epoch().count() / 1000; };
    made.run_at = [this](time_point when, std::function<void()> task) {
      timers.emplace(when, std::move(task));
    };
    made.call_peer = [this](std::string_view address, const peer_call& call, duration, auto done) {
      sent.push_back({std::string(address), std::get<routed_call>(call).attempt, done});
    };
    return made;
  }
  void Submit() {
    router.Call(submit_call{1, "q", {}}, now + seconds(3),
                [this](const peer_answer& answer) { replies.push_back(answer.code); });
  }
  // Runs until a call is sent, and takes it.
  sent_call NextSent() {
    for (const time_point end = now + seconds(3); sent.empty() && now < end;) Run(milliseconds(1));
    REQUIRE_FALSE(sent.empty());
    sent_call next = std::move(sent.front());
    sent.pop_front();
    return next;
  }
  void Run(duration time) {
    for (const time_point end = now + time; now < end;) {
      now += milliseconds(1);
      while (!timers.empty() && timers.begin()->first <= now) {
        const auto task = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        task();
      }
    }
  }
};

peer_answer NotOwner(const owner_info& known, std::uint64_t acting_epoch = 0) {
  peer_answer answer = ErrorAnswer(errc::kNotOwner);
  answer.owner = known;
  answer.acting_epoch = acting_epoch;
  return answer;
}

// Guards against a refusal by an owner that was cut off, although a newer one had accepted the job
// and its answer was lost.
TEST_CASE("An error of an older owner does not end a call") {
  router_fixture played;
  played.router.LearnOwner({9, "new:1"});
  played.router.SetPeers({"old:1"});
  played.Submit();
  auto call = played.NextSent();
  CHECK(call.address == "new:1");
  CHECK(call.attempt.owner_epoch == 9);
  call.done(errc::kTimeout);
  call = played.NextSent();
  CHECK(call.address == "old:1");
  CHECK(call.attempt.owner_epoch == 0);
  call.done(NotOwner({8, "old:1"}, 8));
  call = played.NextSent();
  CHECK(call.address == "old:1");
  CHECK(call.attempt.owner_epoch == 8);
  SECTION("a refusal") {
    call.done(ErrorAnswer(errc::kLogUnavailable));
    CHECK(played.replies.empty());
    call = played.NextSent();
    call.done(NotOwner({9, "new:1"}));
    played.router.OnOwnerAnswer("new:1");
    call = played.NextSent();
    CHECK(call.address == "new:1");
    CHECK(call.attempt.owner_epoch == 9);
    call.done(ErrorAnswer(errc::kLogUnavailable));
    CHECK(played.replies == std::vector{errc::kLogUnavailable});
  }
  SECTION("a refusal, and the newer owner does not answer") {
    call.done(ErrorAnswer(errc::kLogUnavailable));
    played.Run(seconds(3));
    CHECK(played.replies == std::vector{errc::kOutcomeUnknown});
  }
  SECTION("a success") {
    call.done(peer_answer());
    CHECK(played.replies == std::vector{errc::kOk});
  }
}

// Guards against a refusal of an older owner that ends a call, if the newer owner is known from the
// call alone: it names its epoch, but its own process has no address for the owner.
TEST_CASE("An error of an owner older than one that was tried does not end a call") {
  router_fixture played;
  played.router.SetPeers({"new:1", "old:1"});
  played.Submit();
  played.NextSent().done(NotOwner({10, ""}, 10));
  auto call = played.NextSent();
  CHECK(call.address == "new:1");
  CHECK(call.attempt.owner_epoch == 10);
  call.done(errc::kTimeout);
  call = played.NextSent();
  CHECK(call.address == "old:1");
  call.done(NotOwner({9, "old:1"}, 9));
  call = played.NextSent();
  CHECK(call.attempt.owner_epoch == 9);
  call.done(ErrorAnswer(errc::kLogUnavailable));
  played.Run(seconds(3));
  CHECK(played.replies == std::vector{errc::kOutcomeUnknown});
}

// Guards against a call whose outcome is called unknown although no owner can have acted on it.
TEST_CASE("A call that was sent to no owner is refused") {
  router_fixture played;
  played.router.SetPeers({"peer:1"});
  played.Submit();
  SECTION("a peer does not answer") {
    const auto call = played.NextSent();
    CHECK(call.attempt.owner_epoch == 0);
    call.done(errc::kTimeout);
    played.NextSent().done(errc::kTimeout);
    played.Run(seconds(1));
  }
  SECTION("a peer has not answered at the deadline") {}
  played.Run(seconds(3));
  CHECK(played.replies == std::vector{errc::kNotReady});
}

// Guards against calls that wait for a claimant that never owned the cell, while the owner works.
TEST_CASE("A call reaches an owner that is older than the newest claim") {
  router_fixture played;
  played.router.LearnOwner({9, "claimant:1"});
  played.router.SetPeers({"owner:1"});
  played.Submit();
  played.NextSent().done(NotOwner({9, "claimant:1"}));
  auto call = played.NextSent();
  CHECK(call.address == "owner:1");
  call.done(NotOwner({9, "claimant:1"}, 8));
  call = played.NextSent();
  CHECK(call.address == "owner:1");
  CHECK(call.attempt.owner_epoch == 8);
  call.done(peer_answer());
  CHECK(played.replies == std::vector{errc::kOk});
}

// Guards against a process that does not know the owner any more because it answered a read with
// "not ready", as it does in an outage of the store (review/7).
TEST_CASE("The router keeps the owner that does not end a call") {
  router_fixture played;
  played.router.LearnOwner({9, "new:1"});
  played.router.SetPeers({"peer:1"});
  played.Submit();
  auto call = played.NextSent();
  SECTION("it answers without a result") {
    call.done(ErrorAnswer(errc::kNotReady));
    CHECK(played.silences.empty());
    call = played.NextSent();
    CHECK(call.address == "peer:1");
    // The peer knows no newer owner.
    call.done(NotOwner({9, "new:1"}));
    CHECK(played.NextSent().address == "new:1");
  }
  SECTION("it does not answer") {
    call.done(errc::kTimeout);
    CHECK(played.silences == std::vector{true});
  }
  CHECK(played.router.Owner().address == "new:1");
  CHECK(played.router.Owner().epoch == 9);
}

// Guards against calls that get an unknown outcome or wait for a timeout at an owner that is gone,
// and against a process that does not use an owner that answers again.
TEST_CASE("While the owner does not answer, calls ask the peers for a newer one") {
  router_fixture played;
  played.router.LearnOwner({9, "new:1"});
  played.router.SetPeers({"peer:1"});
  played.Submit();
  played.NextSent().done(errc::kTimeout);
  for (int i = 0; i < 3; ++i) {
    auto call = played.NextSent();
    CHECK(call.address == "peer:1");
    CHECK(call.attempt.owner_epoch == 0);
    call.done(NotOwner({9, "new:1"}));
  }
  SECTION("it answers an announcement") {
    played.router.OnOwnerAnswer("new:1");
    CHECK(played.silences == std::vector{true, false});
    CHECK(played.NextSent().address == "new:1");
  }
  SECTION("there is a newer one") {
    played.router.LearnOwner({10, "newest:1"});
    CHECK(played.NextSent().address == "newest:1");
  }
}

// Guards against calls that avoid an owner that works: it answers a submission once the store has
// the job, which may take longer than an attempt.
TEST_CASE("An owner that answers other calls is not silent") {
  router_fixture played;
  played.router.LearnOwner({9, "new:1"});
  played.router.SetPeers({"peer:1"});
  played.Submit();
  const auto slow = played.NextSent();
  played.Run(milliseconds(100));
  played.Submit();
  played.NextSent().done(peer_answer());
  slow.done(errc::kTimeout);
  CHECK(played.silences.empty());
  played.Submit();
  CHECK(played.NextSent().address == "new:1");
}

// Guards against calls that wake each other at the speed of a round trip while a claimant loads: a
// peer that names an owner that is known already is no news to other calls.
TEST_CASE("Calls that wait for a claimant do not wake each other") {
  constexpr int kCalls = 5;
  router_fixture played;
  played.router.LearnOwner({9, "new:1"});
  played.router.SetPeers({"peer:1", "peer:2"});
  for (int i = 0; i < kCalls; ++i) played.Submit();
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    while (!played.sent.empty()) {
      ++sent;
      played.NextSent().done(NotOwner({9, "new:1"}));
    }
    played.Run(milliseconds(1));
  }
  // One attempt at a peer and one at the owner after each pause of 60 ms.
  CHECK(sent <= kCalls * 2 * (1000 / 60 + 1));
  CHECK(sent >= kCalls * 1000 / 60);
}

}  // namespace
}  // namespace sycamorehinge::control
