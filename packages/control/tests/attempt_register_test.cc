#include "attempt_register.h"

#include <catch2/catch.hpp>

namespace sycamorehinge::control {
namespace {

call_attempt Attempt(std::string_view sender, std::uint64_t call, std::uint32_t number,
                     std::uint64_t oldest_open_call = 1) {
  call_attempt attempt;
  attempt.sender = sender;
  attempt.call_number = call;
  attempt.attempt_number = number;
  attempt.oldest_open_call = oldest_open_call;
  return attempt;
}

// Guards against a call that takes effect after it was refused: its earlier attempt arrives late.
TEST_CASE("An attempt that its sender has replaced is turned away") {
  attempt_register attempts;
  CHECK(attempts.Admit(Attempt("a", 1, 2)));
  CHECK_FALSE(attempts.Admit(Attempt("a", 1, 1)));
  CHECK(attempts.Admit(Attempt("a", 1, 2)));
  CHECK(attempts.Admit(Attempt("a", 1, 5)));
  CHECK_FALSE(attempts.Admit(Attempt("a", 1, 4)));
  // Attempts of other calls and senders overtake each other.
  CHECK(attempts.Admit(Attempt("a", 3, 1)));
  CHECK(attempts.Admit(Attempt("a", 2, 1)));
  CHECK(attempts.Admit(Attempt("b", 1, 1)));
}

// Guards against a job of a caller that has gone: its call has ended, and an attempt arrives late.
TEST_CASE("An attempt of a call that has ended is turned away") {
  attempt_register attempts;
  CHECK(attempts.Admit(Attempt("a", 4, 2, 3)));
  CHECK(attempts.Admit(Attempt("a", 9, 1, 5)));
  CHECK_FALSE(attempts.Admit(Attempt("a", 4, 3, 3)));
  CHECK(attempts.Admit(Attempt("a", 5, 1, 4)));
  CHECK(attempts.Admit(Attempt("b", 4, 1, 3)));
}

// Guards against memory that grows with every restart of a process.
TEST_CASE("The senders that were silent for the longest time are forgotten") {
  attempt_register attempts;
  for (std::size_t i = 0; i < attempt_register::kMaxSenders; ++i) {
    CHECK(attempts.Admit(Attempt(std::to_string(i), 1, 2)));
  }
  CHECK_FALSE(attempts.Admit(Attempt("0", 1, 1)));
  CHECK(attempts.Admit(Attempt("new", 1, 2)));
  CHECK_FALSE(attempts.Admit(Attempt("0", 1, 1)));
  CHECK(attempts.Admit(Attempt("1", 1, 1)));
}

}  // namespace
}  // namespace sycamorehinge::control
