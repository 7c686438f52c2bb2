#include "sycamorehinge/wire/seal.h"

#include <catch2/catch.hpp>

namespace sycamorehinge {
namespace {

constexpr std::string_view kKey = "0123456789abcdef0123456789abcdef";

// Guards against forged, modified or truncated frames that are accepted.
TEST_CASE("Only unmodified frames with the right key are opened") {
  const std::string frame = Seal(kKey, {{"entry-1"}, 7, 42}, "payload");
  const auto opened = Open(kKey, frame);
  REQUIRE(opened);
  CHECK(opened->header.from.value == "entry-1");
  CHECK(opened->header.incarnation == 7);
  CHECK(opened->header.counter == 42);
  CHECK(opened->payload == "payload");
  CHECK(Open("another key", frame).code() == errc::kUnauthorized);
  for (std::size_t i = 0; i < frame.size(); ++i) {
    std::string changed = frame;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    CHECK_FALSE(Open(kKey, changed));
    CHECK_FALSE(Open(kKey, frame.substr(0, i)));
  }
  CHECK(Open(kKey, "").code() == errc::kTruncated);
  CHECK(Open(kKey, "\x02garbage").code() == errc::kWrongVersion);
}

// Guards against replayed frames that take effect again.
TEST_CASE("The replay window accepts each counter once") {
  replay_window window;
  const process_id peer{"entry-1"};
  CHECK(window.Accept({peer, 7, 100}));
  CHECK_FALSE(window.Accept({peer, 7, 100}));
  CHECK(window.Accept({peer, 7, 98}));
  CHECK_FALSE(window.Accept({peer, 7, 98}));
  CHECK(window.Accept({peer, 7, 163}));
  CHECK(window.Accept({peer, 7, 101}));
  CHECK_FALSE(window.Accept({peer, 7, 100}));
  CHECK_FALSE(window.Accept({peer, 7, 99}));
  CHECK(window.Accept({peer, 7, 1000}));
  CHECK_FALSE(window.Accept({peer, 7, 163}));
}

// Guards against late frames of a replaced process that count as frames of its successor.
TEST_CASE("An older incarnation is rejected and a newer one resets the window") {
  replay_window window;
  const process_id peer{"entry-1"};
  CHECK(window.Accept({peer, 7, 100}));
  CHECK(window.Accept({peer, 8, 1}));
  CHECK_FALSE(window.Accept({peer, 7, 101}));
  CHECK_FALSE(window.Accept({peer, 8, 1}));
  CHECK(window.Accept({{"entry-2"}, 1, 1}));
}

}  // namespace
}  // namespace sycamorehinge
