#include <sys/resource.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <vector>

#include "sycamorehinge/net/runtime_clock.h"

namespace sycamorehinge {
namespace {

using namespace std::chrono_literals;

// Guards against timers that run early, late or in the wrong order on a manual clock.
TEST_CASE("Timers on a manual clock run in time order when it is advanced") {
  manual_clock clock;
  timer_queue timers(clock);
  std::mutex mutex;
  std::vector<int> ran;
  std::promise<void> last;
  const auto record = [&](int number) {
    return [&, number] {
      const std::lock_guard lock(mutex);
      ran.push_back(number);
    };
  };
  const time_point start = clock.Now();
  timers.ScheduleAt(start + 30s, record(3));
  timers.ScheduleAt(start + 10s, record(1));
  timers.ScheduleAt(start + 10s, record(2));
  const auto cancelled = timers.ScheduleAt(start + 20s, record(9));
  timers.ScheduleAt(start + 50s, [&] { last.set_value(); });
  CHECK(timers.Cancel(cancelled));
  CHECK_FALSE(timers.Cancel(cancelled));
  std::promise<void> first;
  timers.ScheduleAt(start + 10s, [&] { first.set_value(); });
  clock.Advance(10s);
  REQUIRE(first.get_future().wait_for(5s) == std::future_status::ready);
  {
    const std::lock_guard lock(mutex);
    CHECK(ran == std::vector<int>{1, 2});
  }
  clock.Advance(40s);
  REQUIRE(last.get_future().wait_for(5s) == std::future_status::ready);
  CHECK(ran == std::vector<int>{1, 2, 3});
  CHECK(clock.WallMilliseconds() == 1'800'000'050'000);
}

// Guards against a lost wake-up when the clock advances just before the timer thread waits.
TEST_CASE("The timer queue notices every advance of the manual clock") {
  manual_clock clock;
  timer_queue timers(clock);
  for (int round = 0; round < 2000; ++round) {
    std::promise<void> ran;
    timers.ScheduleAt(clock.Now() + 1ms, [&] { ran.set_value(); });
    clock.Advance(1ms);
    REQUIRE(ran.get_future().wait_for(5s) == std::future_status::ready);
  }
}

// Guards against a busy-waiting timer thread and against late timers on the system clock.
TEST_CASE("Timers on the system clock run on time without busy-waiting") {
  const runtime_clock clock = system_clock{};
  timer_queue timers(clock);
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  std::promise<time_point> ran;
  const time_point due = Now(clock) + 300ms;
  timers.ScheduleAt(due, [&] { ran.set_value(Now(clock)); });
  timers.ScheduleAfter(10ms, [] {});
  const time_point when = ran.get_future().get();
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  CHECK(when >= due);
  CHECK(when < due + 200ms);
  const auto used = [](const rusage& usage) {
    return usage.ru_utime.tv_sec * 1'000'000 + usage.ru_utime.tv_usec;
  };
  CHECK(used(after) - used(before) < 100'000);
}

// Guards against functions that run after the queue is destroyed.
TEST_CASE("The destructor drops pending timers") {
  std::atomic<int> ran = 0;
  manual_clock clock;
  {
    timer_queue timers(clock);
    timers.ScheduleAt(clock.Now() + 1s, [&] { ++ran; });
  }
  clock.Advance(2s);
  CHECK(ran == 0);
}

}  // namespace
}  // namespace sycamorehinge
