#include "sycamorehinge/core/types.h"

#include <catch2/catch.hpp>
#include <set>

#include "sycamorehinge/core/error.h"

namespace sycamorehinge {
namespace {

// Guards against ids that change when they are formatted and parsed again.
TEST_CASE("Ids round-trip through their text form") {
  const attempt_id id{{{3, 120, 7}, 2}, 5};
  CHECK(ToString(id) == "p3-120-7.2/5");
  attempt_id parsed;
  REQUIRE(ParseAttemptId(ToString(id), parsed));
  CHECK(parsed == id);

  const job_id request{kNoPartition, 9, 1};
  job_id job;
  REQUIRE(ParseJobId(ToString(request), job));
  CHECK(job == request);
}

// Guards against accepting malformed text whose prefix is a valid id.
TEST_CASE("Malformed ids are rejected and leave the output unchanged") {
  job_id job{1, 2, 3};
  for (const char* text : {"", "p", "p1", "p1-2", "p1-2-3x", "x1-2-3", "p1-2-3.0", "p-1-2-3"}) {
    CHECK_FALSE(ParseJobId(text, job));
  }
  CHECK(job == job_id{1, 2, 3});
}

// Guards against a size that exceeds one resource but is taken to fit.
TEST_CASE("A size fits only if every resource suffices") {
  const resources free{1000, 100, 1, 0};
  CHECK(free.CanFit({1000, 100, 1, 0}));
  CHECK_FALSE(free.CanFit({1001, 100, 1, 0}));
  CHECK_FALSE(free.CanFit({1, 101, 0, 0}));
  CHECK_FALSE(free.CanFit({1, 1, 2, 0}));
  CHECK_FALSE(free.CanFit({1, 1, 0, 1}));
}

// Guards against two errors with the same name, which callers could not tell apart.
TEST_CASE("Error names are unique and can be looked up") {
  std::set<std::string_view> names;
  for (int value = 0; value < 300; ++value) {
    const errc code = static_cast<errc>(value);
    const std::string_view name = ErrorName(code);
    if (ErrorByName(name) != code) continue;
    CHECK(names.insert(name).second);
  }
  CHECK(names.size() == 42);
  CHECK(std::error_code(errc::kNoRoom).category() == SycamorehingeCategory());
}

}  // namespace
}  // namespace sycamorehinge
