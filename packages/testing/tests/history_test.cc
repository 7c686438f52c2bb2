#include "sycamorehinge/testing/history.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace sycamorehinge::testing {
namespace {

time_point At(std::int64_t ms) { return time_point(std::chrono::milliseconds(ms)); }

// A file of this test process only, removed at the end.
class temporary_file {
 public:
  explicit temporary_file(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              (name + std::to_string(MonotonicNow().time_since_epoch().count()))) {}
  ~temporary_file() { std::filesystem::remove(path_); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  std::string Path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// Guards against a field that is written under one name and read under another.
TEST_CASE("Events survive their text form") {
  const attempt_started started{"worker-1", "p1-2-3.0/1",          "k",
                                7,          0xfedcba9876543210ULL, {1000, 64, 1, 2}};
  const auto read = DecodeEvent(EncodeEvent({At(1234), started}));
  REQUIRE(read);
  CHECK(read->at == At(1234));
  const auto* body = std::get_if<attempt_started>(&read->body);
  REQUIRE(body != nullptr);
  CHECK(body->host == started.host);
  CHECK(body->attempt == started.attempt);
  CHECK(body->key == started.key);
  CHECK(body->term == started.term);
  CHECK(body->content == started.content);
  CHECK(body->size == started.size);
}

template <std::size_t I = 0>
void CheckAllAlternatives() {
  if constexpr (I < std::variant_size_v<event_body>) {
    const event_body body{std::in_place_index<I>};
    const auto read = DecodeEvent(EncodeEvent({At(5), body}));
    REQUIRE(read);
    CHECK(read->body.index() == I);
    CheckAllAlternatives<I + 1>();
  }
}

// Guards against two kinds of events with one name, of which only the first could be read.
TEST_CASE("Every kind of event is read back as itself") { CheckAllAlternatives(); }

// Guards against a checker that passes because it skipped what it could not read.
TEST_CASE("Unreadable lines are errors, except an unfinished last one") {
  const temporary_file file("history_test");
  const std::string good = EncodeEvent({At(1), job_cancel_sent{"p1-1-1"}});
  std::vector<history_event> events;
  std::string detail;
  std::ofstream(file.Path()) << good << "\n" << good.substr(0, good.size() / 2);
  CHECK(ReadHistory(file.Path(), events, detail) == errc::kOk);
  CHECK(events.size() == 1);
  std::ofstream(file.Path()) << good.substr(0, good.size() / 2) << "\n" << good << "\n";
  CHECK(ReadHistory(file.Path(), events, detail) == errc::kMalformed);
  CHECK(detail.find(":1:") != std::string::npos);
  std::ofstream(file.Path()) << R"({"at_ns":1,"event":"no_such_event"})"
                             << "\n";
  CHECK(ReadHistory(file.Path(), events, detail) == errc::kMalformed);
  CHECK(ReadHistory(file.Path() + ".missing", events, detail) == errc::kInternal);
}

// Guards against events that stay in the writer's buffer when its process ends.
TEST_CASE("Written events can be read") {
  const temporary_file file("history_test");
  {
    const auto writer = history_writer::Open(file.Path());
    REQUIRE(writer);
    for (int i = 0; i < 100; ++i) (*writer)->Write({At(i), job_cancel_sent{"p1-1-1"}});
  }
  std::vector<history_event> events;
  std::string detail;
  CHECK(ReadHistory(file.Path(), events, detail) == errc::kOk);
  CHECK(events.size() == 100);
}

}  // namespace
}  // namespace sycamorehinge::testing
