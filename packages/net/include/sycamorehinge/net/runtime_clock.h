// System and manual clocks, and a timer queue that runs on either.
#ifndef SYCAMOREHINGE_NET_RUNTIME_CLOCK_H_
#define SYCAMOREHINGE_NET_RUNTIME_CLOCK_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// CLOCK_BOOTTIME: monotonic, and includes time while the machine is suspended, so that a lease does
// not appear valid after it has expired.
class system_clock {
 public:
  time_point Now() const;
  std::int64_t WallMilliseconds() const;
};

// Clock for tests that only moves when advanced; copies share the same time.
class manual_clock {
 public:
  manual_clock();

  time_point Now() const;
  std::int64_t WallMilliseconds() const;
  // Advances the time and wakes the timer queues on this clock.
  void Advance(duration step);

 private:
  friend class timer_queue;
  struct shared_state {
    std::mutex mutex;
    time_point now{std::chrono::hours(1)};
    std::int64_t wall_ms = 1'800'000'000'000;
    std::map<std::uint64_t, std::function<void()>> listeners;
    std::uint64_t next_listener_id = 0;
  };
  std::uint64_t AddListener(std::function<void()> wake) const;
  void RemoveListener(std::uint64_t listener) const;

  std::shared_ptr<shared_state> shared_;
};

using runtime_clock = std::variant<system_clock, manual_clock>;

time_point Now(const runtime_clock& clock);
// Milliseconds since the Unix epoch.
std::int64_t WallMilliseconds(const runtime_clock& clock);

// Runs functions at scheduled times on one thread, which blocks in between.
class timer_queue {
 public:
  explicit timer_queue(runtime_clock clock);
  // Drops pending functions. Must not be called on the timer thread.
  ~timer_queue();
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  using timer_id = std::uint64_t;

  // Schedules `task`. Functions with equal times run in the order they were scheduled; a time in
  // the past runs the function immediately. Functions must not block, since that delays later
  // timers.
  timer_id ScheduleAt(time_point when, std::function<void()> task);
  timer_id ScheduleAfter(duration delay, std::function<void()> task);
  // False if the function has run, is running or was cancelled.
  bool Cancel(timer_id id);

 private:
  using key = std::pair<time_point, timer_id>;
  void Run();
  void WaitForNextTimer(std::unique_lock<std::mutex>& lock);

  const runtime_clock clock_;
  std::uint64_t listener_id_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::map<key, std::function<void()>> timers_;
  std::map<timer_id, time_point> due_times_;
  timer_id last_id_ = 0;
  // Set by the manual clock and when an earlier timer is added, so that a wake-up between the check
  // and the wait is not lost.
  bool wake_pending_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_RUNTIME_CLOCK_H_
