#include "sycamorehinge/telemetry/events.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace sycamorehinge {
namespace {

using namespace std::chrono_literals;

// 2026-12-04T07:51:04.123Z
constexpr std::int64_t kWallMs = 1'796'370'664'123;

struct log_fixture {
  std::ostringstream out;
  time_point now{1h};
  event_log_options Options() {
    event_log_options options;
    options.out = &out;
    options.now = [this] { return now; };
    options.wall_ms = [] { return kWallMs; };
    return options;
  }
  std::vector<std::string> Lines(event_log& log) const {
    REQUIRE(log.Flush(10s));
    std::vector<std::string> lines;
    std::istringstream in(out.str());
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
  }
};

// Guards against events that are missing from the operators' page.
TEST_CASE("docs/events.md is the page generated from the catalogue") {
  std::ifstream file(SYCAMOREHINGE_DOCS "/events.md");
  std::stringstream page;
  page << file.rdbuf();
  if (page.str() != EventsPage()) std::ofstream("events.md.expected") << EventsPage();
  INFO("copy events.md.expected from the test's working directory to docs/events.md");
  CHECK(page.str() == EventsPage());
}

// Guards against two events with the same number or name, which would break alerts.
TEST_CASE("Numbers and names of events are unique and every row is filled in") {
  std::set<std::string_view> names;
  std::uint16_t last = 0;
  for (const event_description& row : EventCatalogue()) {
    const auto number = static_cast<std::uint16_t>(row.number);
    CHECK(number > last);
    last = number;
    CHECK(names.insert(row.name).second);
    CHECK_FALSE(row.cause.empty());
    CHECK_FALSE(row.action.empty());
    CHECK(FindEvent(row.number) == &row);
  }
  CHECK(FindEvent(event_number::kForbidden) != nullptr);
  CHECK(FindEvent(static_cast<event_number>(9999)) == nullptr);
}

// Guards against lines that tools cannot parse into fields.
TEST_CASE("An event is written as one line with its fields") {
  log_fixture fixture;
  event_log log(fixture.Options());
  log.Write(event_number::kHostClaimed, {{"host", std::string_view("w1")},
                                         {"term", std::uint64_t{7}},
                                         {"balance", std::int64_t{-2}},
                                         {"share", 0.25},
                                         {"leaving", false}});
  CHECK(fixture.Lines(log) ==
        std::vector<std::string>{"2026-12-04T07:51:04.123Z info event=3001 host_claimed host=w1 "
                                 "term=7 balance=-2 share=0.25 leaving=false"});
}

// Guards against callers that forge log lines or fields with their input.
TEST_CASE("Values are quoted and escaped") {
  log_fixture fixture;
  event_log log(fixture.Options());
  log.Write(event_number::kUnauthorized,
            {{"source", std::string_view("a b\n2026 error event=1 \"x\\=")}});
  REQUIRE(fixture.Lines(log).size() == 1);
  CHECK(fixture.Lines(log)[0].ends_with(
      "unauthorized source=\"a b\\x0a2026 error event=1 \\\"x\\\\=\""));
}

// Guards against a log flooded by one repeated event, and against lost counts.
TEST_CASE("Repeated events are counted per subject") {
  log_fixture fixture;
  event_log log(fixture.Options());
  const auto lost = [&](std::string_view host) {
    log.Write(event_number::kHostLost, {{"host", host}});
  };
  for (int i = 0; i < 100; ++i) lost("w1");
  lost("w2");
  CHECK(fixture.Lines(log).size() == 2);
  fixture.now += 11s;
  lost("w1");
  REQUIRE(fixture.Lines(log).size() == 3);
  CHECK(fixture.Lines(log)[2].ends_with("host_lost host=w1 repeated=99"));
  lost("w1");
  CHECK(fixture.Lines(log).size() == 3);
  fixture.now += 11s;
  REQUIRE(fixture.Lines(log).size() == 4);
  CHECK(fixture.Lines(log)[3].ends_with("host_lost subject=w1 repeated=1"));
}

// Guards against a log thread that examines the counts of all subjects for each batch of lines;
// this took an eighth of the processor time of a busy process.
TEST_CASE("Repeated events are not examined for each batch of lines") {
  log_fixture fixture;
  event_log_options options = fixture.Options();
  std::atomic<int> examinations = 0;
  std::atomic<bool> writing = false;
  options.now = [&] {
    if (!writing) ++examinations;
    return fixture.now;
  };
  event_log log(options);
  constexpr int kBatches = 40;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kBatches; ++i) {
    const std::string host = "w" + std::to_string(i);
    writing = true;
    log.Write(event_number::kHostLost, {{"host", std::string_view(host)}});
    writing = false;
    std::this_thread::sleep_for(25ms);
  }
  const auto elapsed = std::chrono::steady_clock::now() - began;
  // Once a second, and once at the start.
  CHECK(examinations <= std::chrono::ceil<std::chrono::seconds>(elapsed).count() + 1);
}

// Guards against memory use that grows with the number of invented subjects.
TEST_CASE("Subjects beyond the limit share one count") {
  log_fixture fixture;
  event_log_options options = fixture.Options();
  options.max_subjects = 10;
  event_log log(options);
  for (int i = 0; i < 1000; ++i) {
    const std::string host = "w" + std::to_string(i);
    log.Write(event_number::kHostLost, {{"host", std::string_view(host)}});
  }
  CHECK(fixture.Lines(log).size() == 11);
}

// Guards against lines that reach the wrong log or are interleaved.
TEST_CASE("Each log writes whole lines to its own stream from several threads") {
  log_fixture first;
  log_fixture second;
  event_log_options options = first.Options();
  options.min_severity = severity::kWarning;
  event_log log(options);
  event_log other(second.Options());
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 200; ++i) {
        const std::string host = std::to_string(t) + "-" + std::to_string(i);
        log.Write(event_number::kHostLost, {{"host", std::string_view(host)}});
        log.Write(event_number::kHostClaimed, {{"host", std::string_view(host)}});
      }
    });
  }
  for (auto& thread : threads) thread.join();
  other.Write(event_number::kProcessReady);
  const auto lines = first.Lines(log);
  CHECK(lines.size() == 800);
  for (const std::string& line : lines) {
    REQUIRE(line.starts_with("2026-12-04T07:51:04.123Z warning event=3004 host_lost host="));
  }
  CHECK(second.Lines(other).size() == 1);
}

// Stream buffer that blocks all writes until Open() is called.
class blocked_buffer : public std::stringbuf {
 public:
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    opened_.notify_all();
  }

 protected:
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    std::unique_lock lock(mutex_);
    opened_.wait(lock, [this] { return open_; });
    return std::stringbuf::xsputn(text, size);
  }

 private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = false;
};

// Guards against writers that block because nobody reads the log, against a queue that grows
// without bound, and against dropped lines that are not counted.
TEST_CASE("A blocked stream drops and counts lines without blocking writers") {
  log_fixture fixture;
  blocked_buffer buffer;
  std::ostream out(&buffer);
  event_log_options options = fixture.Options();
  options.out = &out;
  options.max_subjects = 100'000;
  event_log log(options);
  constexpr std::uint64_t kEvents = 20'000;
  for (std::uint64_t i = 0; i < kEvents; ++i) {
    const std::string host = "w" + std::to_string(i);
    log.Write(event_number::kHostLost, {{"host", std::string_view(host)}});
  }
  CHECK_FALSE(log.Flush(50ms));
  buffer.Open();
  REQUIRE(log.Flush(30s));
  REQUIRE(log.Flush(30s));
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  std::istringstream lines(buffer.str());
  for (std::string line; std::getline(lines, line);) {
    const auto at = line.find("log_lines_dropped lines=");
    if (at == std::string::npos) {
      ++written;
    } else {
      dropped += std::stoull(line.substr(line.find('=', at) + 1));
    }
  }
  CHECK(dropped > 0);
  CHECK(written < 10'000);
  CHECK(written + dropped == kEvents);
}

}  // namespace
}  // namespace sycamorehinge
