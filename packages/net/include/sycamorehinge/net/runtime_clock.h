// Clock of the runtime and the timers that wait on it.
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

// CLOCK_BOOTTIME: steady, and keeps counting while the machine is suspended, so that a lease
// never looks younger than it is.
class system_clock {
 public:
  time_point Now() const;
  std::int64_t WallMilliseconds() const;
};

// Clock that tests advance; copies share their time.
class manual_clock {
 public:
  manual_clock();

  time_point Now() const;
  std::int64_t WallMilliseconds() const;
  // Moves the time on and wakes waiting timers.
  void Advance(duration step);

 private:
  friend class timer_queue;
  struct shared_time {
    std::mutex mutex;
    time_point now{std::chrono::hours(1)};
    std::int64_t wall_ms = 1'800'000'000'000;
    std::map<std::uint64_t, std::function<void()>> listeners;
    std::uint64_t next_listener = 0;
  };
  std::uint64_t Listen(std::function<void()> wake) const;
  void Unlisten(std::uint64_t listener) const;

  std::shared_ptr<shared_time> shared_;
};

using runtime_clock = std::variant<system_clock, manual_clock>;

time_point Now(const runtime_clock& clock);
// Milliseconds since 1970.
std::int64_t WallMilliseconds(const runtime_clock& clock);

// Runs functions at their time on one thread, which sleeps in between.
class timer_queue {
 public:
  explicit timer_queue(runtime_clock clock);
  // Drops what has not run. Must not run on the timer thread.
  ~timer_queue();
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  using timer_id = std::uint64_t;

  // Functions of equal time run in the order of these calls; a time in the past means at once.
  // They must not block, since later timers wait for them.
  timer_id At(time_point when, std::function<void()> task);
  timer_id After(duration delay, std::function<void()> task);
  // False if the function has run, is running or was cancelled.
  bool Cancel(timer_id id);

 private:
  using key = std::pair<time_point, timer_id>;
  void Run();
  void Sleep(std::unique_lock<std::mutex>& lock);

  const runtime_clock clock_;
  std::uint64_t listener_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<key, std::function<void()>> timers_;
  std::map<timer_id, time_point> times_;
  timer_id next_ = 0;
  // Set when the manual clock moved, so that a move between the check and the wait is not lost.
  bool woken_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_RUNTIME_CLOCK_H_
