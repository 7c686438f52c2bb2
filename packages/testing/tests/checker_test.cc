#include "sycamorehinge/testing/checker.h"

#include <catch2/catch.hpp>

namespace sycamorehinge::testing {
namespace {

// Builds a history by hand; times are milliseconds.
class story {
 public:
  story& Add(std::int64_t ms, event_body body) {
    events_.push_back({time_point(std::chrono::milliseconds(ms)), std::move(body)});
    return *this;
  }
  story& Host(const char* host, resources capacity) { return Add(0, host_present{host, capacity}); }
  story& Start(std::int64_t ms, const char* host, const char* attempt, std::uint64_t content,
               resources size = {1'000, 0, 0, 0}) {
    return Add(ms, attempt_started{host, attempt, "", 1, content, size});
  }
  story& End(std::int64_t ms, const char* host, const char* attempt,
             const char* state = "succeeded") {
    return Add(ms, attempt_ended{host, attempt, state});
  }
  story& Request(std::int64_t ms, const char* request, const char* entry, std::uint64_t content,
                 bool idempotent = true) {
    return Add(ms,
               request_sent{request, entry, idempotent ? "" : request, "", idempotent, content});
  }
  story& Answer(std::int64_t ms, const char* request, const char* entry, const char* outcome,
                std::uint64_t expected = 0, std::uint64_t received = 0) {
    return Add(ms, request_answered{request, entry, outcome, "", expected, received});
  }
  story& Job(std::int64_t ms, const char* request, const char* entry, std::uint64_t content,
             std::uint32_t tasks = 1, bool idempotent = true) {
    return Add(ms, job_sent{request, entry, request, "", "batch", tasks, idempotent, content});
  }
  story& JobAnswer(std::int64_t ms, const char* request, const char* entry, const char* outcome,
                   const char* job = "") {
    return Add(ms, job_answered{request, entry, outcome, "", job});
  }
  story& Seen(std::int64_t ms, const char* job, const char* state) {
    return Add(ms, job_seen{job, state, ""});
  }
  story& Process(std::int64_t ms, const char* process, const char* change) {
    return Add(ms, process_changed{process, std::string("http://") + process, change});
  }
  story& Version(std::int64_t ms, const char* process, std::uint64_t version) {
    return Add(ms, document_seen{"sutepuu/production", std::string("http://") + process, version});
  }

  check_report Check() const { return testing::Check(events_, {}); }

 private:
  std::vector<history_event> events_;
};

// True if exactly the named promise is broken, `times` times.
bool OnlyBroken(const check_report& report, std::string_view name, std::uint64_t times = 1) {
  for (const promise_result& promise : report.promises) {
    if (promise.broken != (promise.name == name ? times : 0)) return false;
  }
  return report.Find(name) != nullptr && !report.Held();
}

story GoodStory() {
  story told;
  told.Host("w1", {2'000, 100, 0, 0}).Host("t1", {0, 0, 0, 1});
  told.Process(1, "e1", "started").Process(1, "e2", "started");
  told.Version(2, "e1", 4).Version(2, "e2", 4);
  // Full at once, and a start at the instant of an end.
  told.Job(10, "j1", "http://e1", 1, 3).JobAnswer(20, "j1", "http://e1", "accepted", "p1-1-1");
  told.Start(30, "w1", "p1-1-1.0/1", 1).Start(30, "w1", "p1-1-1.1/1", 1);
  told.End(50, "w1", "p1-1-1.0/1").Start(50, "w1", "p1-1-1.2/1", 1);
  told.End(60, "w1", "p1-1-1.1/1").End(90, "w1", "p1-1-1.2/1", "lapsed");
  told.Start(91, "w1", "p1-1-1.2/2", 1).End(100, "w1", "p1-1-1.2/2");
  told.Seen(40, "p1-1-1", "running").Seen(120, "p1-1-1", "succeeded");
  // Refused at one entry, run through another.
  told.Request(10, "r1", "http://e1", 2, false).Answer(11, "r1", "http://e1", "not_run");
  told.Request(12, "r1", "http://e2", 2, false);
  told.Start(13, "t1", "p2-1-1.0/1", 2, {0, 0, 0, 1}).End(18, "t1", "p2-1-1.0/1");
  told.Answer(19, "r1", "http://e2", "done", 77, 77);
  told.Request(20, "r2", "http://e1", 3).Answer(21, "r2", "http://e1", "not_run");
  told.Request(20, "r3", "http://e1", 4).Answer(1'000, "r3", "http://e1", "unknown");
  told.Add(200, leaving_changed{"t1", true});
  told.Start(5'100, "t1", "r-5-1.0/1", 4, {0, 0, 0, 1}).End(5'105, "t1", "r-5-1.0/1");
  told.Add(300, document_accepted{"sutepuu/production", 9});
  told.Version(400, "e1", 9).Version(500, "e2", 4).Version(9'000, "e2", 9);
  told.Process(20'000, "e1", "stopping").Process(21'000, "e1", "gone");
  return told;
}

// Guards against a checker that refuses correct schedulers.
TEST_CASE("A good history holds all promises") {
  const check_report report = GoodStory().Check();
  INFO(ToString(report));
  CHECK(report.Held());
  CHECK(report.summary.accepted == 2);
  CHECK(report.summary.done == 2);
  CHECK(report.summary.not_run == 1);
  CHECK(report.summary.unknown == 1);
  CHECK(report.summary.lost == 0);
}

// Guards against overfilled hosts that go unnoticed on any axis.
TEST_CASE("More than the room of a host is found") {
  const resources sizes[] = {{1'001, 0, 0, 0}, {0, 51, 0, 0}, {0, 0, 1, 0}, {0, 0, 0, 1}};
  for (const resources& size : sizes) {
    story told;
    told.Host("w1", {2'000, 100, 1, 1});
    told.Start(10, "w1", "p1-1-1.0/1", 1, size).Start(11, "w1", "p1-1-2.0/1", 2, size);
    const check_report report = told.Check();
    CHECK(OnlyBroken(report, kRoomPromise));
    CHECK(report.summary.overfilled == 1);
  }
  story recorded;
  recorded.Host("w1", {1, 1, 1, 1}).Add(5, host_overfilled{"w1", "p1-1-1.0/1"});
  CHECK(OnlyBroken(recorded.Check(), kRoomPromise));
  story unknown_host;
  unknown_host.Start(10, "w9", "p1-1-1.0/1", 1);
  CHECK(OnlyBroken(unknown_host.Check(), kRoomPromise));
}

// Guards against a task that runs on two hosts, also when a third run lies between.
TEST_CASE("Two attempts of a task at the same time are found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Host("w2", {9'000, 9, 9, 9});
  told.Start(10, "w1", "p1-1-1.0/1", 1).Start(20, "w2", "p1-1-1.0/2", 1);
  told.End(25, "w2", "p1-1-1.0/2").Start(30, "w2", "p1-1-1.0/3", 1);
  const check_report report = told.Check();
  CHECK(OnlyBroken(report, kSinglePromise, 2));
  CHECK(report.summary.doubled == 2);
}

// Guards against one attempt that was sent to two hosts.
TEST_CASE("One attempt on two hosts at the same time is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Host("w2", {9'000, 9, 9, 9});
  told.Start(10, "w1", "p1-1-1.0/1", 1).Start(20, "w2", "p1-1-1.0/1", 1);
  CHECK(OnlyBroken(told.Check(), kSinglePromise));
}

// Guards against answers that are truncated or belong to another request.
TEST_CASE("A wrong answer is found") {
  story told;
  told.Host("t1", {0, 0, 0, 8}).Request(1, "r1", "http://e1", 5);
  told.Start(2, "t1", "r-1-1.0/1", 5, {0, 0, 0, 1}).End(3, "t1", "r-1-1.0/1");
  told.Answer(4, "r1", "http://e1", "done", 10, 11);
  CHECK(OnlyBroken(told.Check(), kAnswersPromise));
}

// Guards against answers that no host gave.
TEST_CASE("An answer without a run is found") {
  story told;
  told.Host("t1", {0, 0, 0, 8}).Request(1, "r1", "http://e1", 5);
  told.Answer(4, "r1", "http://e1", "done", 10, 10);
  told.Start(5, "t1", "r-1-1.0/1", 5, {0, 0, 0, 1}).End(6, "t1", "r-1-1.0/1");
  CHECK(OnlyBroken(told.Check(), kAnswersPromise));
}

// Guards against work that ran before or after its caller was told that it did not.
TEST_CASE("Work that ran despite not_run is found") {
  for (const std::int64_t start : {2, 60'000}) {
    story told;
    told.Host("t1", {0, 0, 0, 8}).Request(1, "r1", "http://e1", 5);
    told.Answer(4, "r1", "http://e1", "not_run");
    told.Start(start, "t1", "r-1-1.0/1", 5, {0, 0, 0, 1});
    CHECK(OnlyBroken(told.Check(), kNotRunPromise));
  }
  story job;
  job.Host("w1", {9'000, 9, 9, 9}).Job(1, "j1", "http://e1", 5);
  job.JobAnswer(4, "j1", "http://e1", "not_run").Start(10, "w1", "p1-1-1.0/1", 5);
  CHECK(OnlyBroken(job.Check(), kNotRunPromise));
}

// Guards against a run of a refused sending that a later accepted one seems to explain.
TEST_CASE("A run before the first sending that was not refused is found") {
  story told;
  told.Host("t1", {0, 0, 0, 8}).Request(1, "r1", "http://e1", 5);
  told.Answer(4, "r1", "http://e1", "not_run");
  told.Start(3, "t1", "r-1-1.0/1", 5, {0, 0, 0, 1}).End(5, "t1", "r-1-1.0/1");
  told.Request(10, "r1", "http://e2", 5).Answer(20, "r1", "http://e2", "done", 1, 1);
  CHECK(OnlyBroken(told.Check(), kNotRunPromise));
}

// Guards against a payment that is made twice.
TEST_CASE("A non-idempotent request that ran twice is found") {
  story told;
  told.Host("t1", {0, 0, 0, 8}).Request(1, "r1", "http://e1", 5, false);
  told.Start(2, "t1", "p1-1-1.0/1", 5, {0, 0, 0, 1}).End(3, "t1", "p1-1-1.0/1", "failed");
  told.Start(4, "t1", "p1-1-1.0/2", 5, {0, 0, 0, 1}).End(5, "t1", "p1-1-1.0/2");
  told.Answer(6, "r1", "http://e1", "done", 1, 1);
  const check_report report = told.Check();
  CHECK(OnlyBroken(report, kOncePromise));
  CHECK(report.summary.doubled == 1);
}

// Guards against a repeated task of a job that must not be repeated.
TEST_CASE("A non-idempotent task that ran twice is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Job(1, "j1", "http://e1", 5, 1, false);
  told.JobAnswer(2, "j1", "http://e1", "accepted", "p1-1-1");
  told.Start(3, "w1", "p1-1-1.0/1", 5).End(4, "w1", "p1-1-1.0/1", "lapsed");
  told.Start(5, "w1", "p1-1-1.0/2", 5).End(6, "w1", "p1-1-1.0/2");
  told.Seen(7, "p1-1-1", "succeeded");
  CHECK(OnlyBroken(told.Check(), kOncePromise));
}

// Guards against a submission that was repeated by key and became two jobs.
TEST_CASE("One key that ran as two jobs is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Job(1, "j1", "http://e1", 5);
  told.JobAnswer(2, "j1", "http://e1", "unknown").Job(3, "j1", "http://e2", 5);
  told.JobAnswer(4, "j1", "http://e2", "accepted", "p1-1-2");
  told.Start(5, "w1", "p1-1-1.0/1", 5).End(6, "w1", "p1-1-1.0/1");
  told.Start(5, "w1", "p1-1-2.0/1", 5).End(6, "w1", "p1-1-2.0/1").Seen(7, "p1-1-2", "succeeded");
  CHECK(OnlyBroken(told.Check(), kOncePromise));
}

// Guards against new work on a host that is about to go away.
TEST_CASE("A late start on a leaving host is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Add(1'000, leaving_changed{"w1", true});
  told.Start(6'000, "w1", "p1-1-1.0/1", 1).Start(6'001, "w1", "p1-1-2.0/1", 2);
  told.Add(7'000, leaving_changed{"w1", false}).Start(20'000, "w1", "p1-1-3.0/1", 3);
  CHECK(OnlyBroken(told.Check(), kLeavingPromise));
}

// Guards against accepted jobs that vanish.
TEST_CASE("A lost job is found") {
  for (const char* state : {"", "unknown_job", "unreachable"}) {
    story told;
    told.Job(1, "j1", "http://e1", 5).JobAnswer(2, "j1", "http://e1", "accepted", "p1-1-1");
    if (*state != '\0') told.Seen(3, "p1-1-1", "queued").Seen(4, "p1-1-1", state);
    const check_report report = told.Check();
    CHECK(OnlyBroken(report, kJobsPromise));
    CHECK(report.summary.lost == 1);
  }
}

// Guards against a job that is called succeeded although one of its tasks did not run.
TEST_CASE("A job that succeeded without all of its tasks is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Job(1, "j1", "http://e1", 5, 2);
  told.JobAnswer(2, "j1", "http://e1", "accepted", "p1-1-1");
  told.Start(3, "w1", "p1-1-1.0/1", 5).End(4, "w1", "p1-1-1.0/1");
  told.Start(3, "w1", "p1-1-1.1/1", 5).End(4, "w1", "p1-1-1.1/1", "failed");
  told.Seen(5, "p1-1-1", "succeeded");
  CHECK(OnlyBroken(told.Check(), kJobsPromise));
}

// Guards against ended jobs that come back.
TEST_CASE("A job that changes or runs after its end is found") {
  story told;
  told.Host("w1", {9'000, 9, 9, 9}).Job(1, "j1", "http://e1", 5);
  told.JobAnswer(2, "j1", "http://e1", "accepted", "p1-1-1");
  told.Seen(5, "p1-1-1", "cancelled").Seen(9, "p1-1-1", "running");
  told.Start(7, "w1", "p1-1-1.0/1", 5);
  CHECK(OnlyBroken(told.Check(), kJobsPromise, 2));
}

// Guards against a graceful stop that cuts requests; a kill may cut them.
TEST_CASE("A request cut by a graceful stop is found, one cut by a kill is not") {
  for (const char* change : {"stopping", "killed"}) {
    story told;
    told.Process(1, "e1", "started").Request(10, "r1", "http://e1", 5);
    told.Process(20, "e1", change).Answer(30, "r1", "http://e1", "cut");
    const check_report report = told.Check();
    if (std::string_view(change) == "stopping") {
      CHECK(OnlyBroken(report, kGracefulPromise));
    } else {
      CHECK(report.Held());
    }
  }
}

// Guards against a process that falls back to an older document, also over a restart.
TEST_CASE("A version that goes back is found") {
  story told;
  told.Version(1, "e1", 4).Version(2, "e1", 9).Process(3, "e1", "killed");
  told.Process(4, "e1", "started").Version(5, "e1", 4);
  CHECK(OnlyBroken(told.Check(), kOrderPromise));
}

// Guards against documents that stay unknown to a live process.
TEST_CASE("A document that is not in force in time is found") {
  story late;
  late.Add(1'000, document_accepted{"sutepuu/production", 9});
  late.Version(10'001, "e1", 4).Version(11'000, "e1", 9).Version(2'000, "e2", 9);
  CHECK(OnlyBroken(late.Check(), kInForcePromise));
  story never;
  never.Process(1, "e1", "started").Process(1, "e2", "started").Process(1, "e3", "started");
  never.Add(1'000, document_accepted{"sutepuu/production", 9});
  never.Version(2'000, "e1", 9).Version(2'000, "e2", 4).Process(3'000, "e3", "killed");
  never.Version(12'000, "e1", 9);
  CHECK(OnlyBroken(never.Check(), kInForcePromise));
}

// Guards against a report whose text hides a broken promise.
TEST_CASE("The report names broken promises and the first findings") {
  story told;
  told.Host("w1", {1, 1, 1, 1});
  for (int i = 0; i < 9; ++i) told.Start(i, "w1", "p1-1-1.0/1", 1);
  const std::string text = ToString(told.Check());
  CHECK(text.find("P1 room: broken 9\n  at 0.000000 p1-1-1.0/1 on w1") != std::string::npos);
  CHECK(text.find("P6 leaving: held\n") != std::string::npos);
  CHECK(text.find("accepted 0 done 0 not_run 0 unknown 0 lost 0 doubled") != std::string::npos);
}

}  // namespace
}  // namespace sycamorehinge::testing
