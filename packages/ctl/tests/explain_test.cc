#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "fake_api.h"
#include "json_fields.h"
#include "log_lines.h"

namespace sycamorehinge {
namespace {

// Recorded lines of two processes: the owner is lost while the job runs. The first file has the
// machine's name in front, as a log collector writes it.
constexpr const char* kFirst =
    "   5.51 edge-1 2026-09-01T22:07:44.513Z info event=8101 job_accepted "
    "subject=d75e7c12430ec23c host=\"\" cause=r-qs6 after_ms=0\n"
    "   5.60 edge-1 2026-09-01T22:07:44.602Z info event=8105 task_started "
    "subject=d75e7c12430ec23c.0.0.0/1 host=i-bf21 cause=r-qs6 after_ms=79\n"
    "   5.61 edge-1 2026-09-01T22:07:44.603Z info event=8105 task_started "
    "subject=d75e7c12430ec23cff.0.0.0/1 host=i-bf21 cause=r-qs6 after_ms=79\n"
    "   6.30 edge-1 2026-09-01T22:07:45.307Z warning event=8203 host_unreachable subject=i-bf21 "
    "host=i-bf21 cause=\"no answer\" after_ms=0\n"
    "   6.31 edge-1 2026-09-01T22:07:45.308Z warning event=8203 host_unreachable subject=i-other "
    "host=i-other cause=\"no answer\" after_ms=0\n"
    "torn lin";
constexpr const char* kSecond =
    "2026-09-01T22:07:52.562Z info event=8001 cell_acquired epoch=2 term=2\n"
    "2026-09-01T22:07:53.000Z info event=8106 task_ended subject=d75e7c12430ec23c.0.0.0/1 "
    "host=i-bf21 cause=done after_ms=0\n"
    "2026-09-01T22:07:53.001Z info event=8104 job_ended subject=d75e7c12430ec23c host=\"\" "
    "cause=\"all tasks succeeded\" after_ms=8488\n"
    "2026-09-01T22:07:59.000Z warning event=8002 cell_lost epoch=2 cause=\"fenced by a host\"\n";

class log_files {
 public:
  log_files() {
    std::filesystem::create_directories(directory_);
    std::ofstream(First()) << kFirst;
    std::ofstream(Second()) << kSecond;
  }
  ~log_files() { std::filesystem::remove_all(directory_); }
  log_files(const log_files&) = delete;
  log_files& operator=(const log_files&) = delete;

  std::string First() const { return directory_ / "first.log"; }
  std::string Second() const { return directory_ / "second.log"; }

 private:
  std::filesystem::path directory_ =
      std::filesystem::temp_directory_path() / ("explain-" + std::to_string(::getpid()));
};

// Guards against lines that are read with other values than were written.
TEST_CASE("A log line is taken apart into its fields") {
  const auto line = ParseLogLine(
      "edge 1 2026-12-04T07:51:04.123Z warning event=7003 unauthorized source=\"a "
      "b\\x0a\\\"=\\\\\" "
      "n=-2 empty=\"\"");
  REQUIRE(line);
  CHECK(line->source == "edge 1");
  CHECK(line->time == "2026-12-04T07:51:04.123Z");
  CHECK(line->level == "warning");
  CHECK(line->number == "7003");
  CHECK(line->name == "unauthorized");
  CHECK(FieldOf(*line, "source") == "a b\n\"=\\");
  CHECK(FieldOf(*line, "n") == "-2");
  CHECK(FieldOf(*line, "empty").empty());
  CHECK(FieldOf(*line, "none").empty());
  for (const char* bad : {"", "text", "2026-12-04T07:51:04.123Z", "2026-12-04T07:51:04.123Z info x",
                          "2026-12-04 07:51:04 info event=1 x", "\"\\"}) {
    CHECK_FALSE(ParseLogLine(bad));
  }
}

// Guards against a story with gaps, with the lines of another job, or in the order of the files.
TEST_CASE("Explain tells a job's story over the logs of all processes") {
  const log_files files;
  fake_api api;
  CHECK(api.Run({"--output", "json", "explain", "d75e7c12430ec23c", files.Second(),
                 files.First()}) == 0);
  const nlohmann::json story = ParseJson(api.out.str());
  std::vector<std::string> events;
  for (const auto& event : story["events"]) {
    events.push_back((event["context"] == true ? "- " : "") + event["event"].get<std::string>());
  }
  CHECK(events == std::vector<std::string>{"job_accepted", "task_started", "- host_unreachable",
                                           "- cell_acquired", "task_ended", "job_ended"});
  CHECK(story["events"][0]["source"] == "5.51 edge-1");
  CHECK(story["events"][3]["source"] == files.Second());
  CHECK(story["summary"] == "runs: 1 done, 1 started, on 1 hosts; job_ended: all tasks succeeded");
  CHECK(api.calls.empty());
}

// Guards against an empty story that looks like a job without trouble.
TEST_CASE("Explain fails for an id that no line names") {
  const log_files files;
  fake_api api;
  CHECK(api.Run({"explain", "0000000000000000", files.First()}) != 0);
  CHECK(api.err.str().find("no line of these files is about") != std::string::npos);
  fake_api other;
  CHECK(other.Run({"explain", "d75e7c12430ec23c", files.First() + ".none"}) != 0);
}

}  // namespace
}  // namespace sycamorehinge
