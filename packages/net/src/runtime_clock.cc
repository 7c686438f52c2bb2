#include "sycamorehinge/net/runtime_clock.h"

#include <algorithm>
#include <ctime>
#include <vector>

namespace sycamorehinge {

namespace {

duration ReadClock(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

// Waits on condition variables do not count time in which the machine is suspended, so the clock
// is read again at least this often while a timer is pending.
constexpr duration kMaxSleep = std::chrono::seconds(1);

}  // namespace

time_point system_clock::Now() const { return time_point(ReadClock(CLOCK_BOOTTIME)); }

std::int64_t system_clock::WallMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(ReadClock(CLOCK_REALTIME)).count();
}

manual_clock::manual_clock() : shared_(std::make_shared<shared_time>()) {}

time_point manual_clock::Now() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->now;
}

std::int64_t manual_clock::WallMilliseconds() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->wall_ms;
}

void manual_clock::Advance(duration step) {
  const std::lock_guard lock(shared_->mutex);
  shared_->now += step;
  shared_->wall_ms += std::chrono::duration_cast<std::chrono::milliseconds>(step).count();
  // Under the lock, so that no listener is called after its Unlisten.
  for (const auto& [id, wake] : shared_->listeners) wake();
}

std::uint64_t manual_clock::Listen(std::function<void()> wake) const {
  const std::lock_guard lock(shared_->mutex);
  const std::uint64_t id = shared_->next_listener++;
  shared_->listeners.emplace(id, std::move(wake));
  return id;
}

void manual_clock::Unlisten(std::uint64_t listener) const {
  const std::lock_guard lock(shared_->mutex);
  shared_->listeners.erase(listener);
}

time_point Now(const runtime_clock& clock) {
  return std::visit([](const auto& typed) { return typed.Now(); }, clock);
}

std::int64_t WallMilliseconds(const runtime_clock& clock) {
  return std::visit([](const auto& typed) { return typed.WallMilliseconds(); }, clock);
}

timer_queue::timer_queue(runtime_clock clock) : clock_(std::move(clock)) {
  std::visit(overloaded{[](const system_clock&) {},
                        [this](const manual_clock& manual) {
                          listener_ = manual.Listen([this] {
                            {
                              const std::lock_guard lock(mutex_);
                              woken_ = true;
                            }
                            changed_.notify_one();
                          });
                        }},
             clock_);
  thread_ = std::thread([this] { Run(); });
}

timer_queue::~timer_queue() {
  std::visit(overloaded{[](const system_clock&) {},
                        [this](const manual_clock& manual) { manual.Unlisten(listener_); }},
             clock_);
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

timer_queue::timer_id timer_queue::At(time_point when, std::function<void()> task) {
  timer_id id = 0;
  bool is_first = false;
  {
    const std::lock_guard lock(mutex_);
    id = ++next_;
    timers_.emplace(key{when, id}, std::move(task));
    times_.emplace(id, when);
    is_first = timers_.begin()->first.second == id;
    if (is_first) woken_ = true;
  }
  if (is_first) changed_.notify_one();
  return id;
}

timer_queue::timer_id timer_queue::After(duration delay, std::function<void()> task) {
  return At(Now(clock_) + delay, std::move(task));
}

bool timer_queue::Cancel(timer_id id) {
  // Destroyed outside the lock, since what the function holds may call back.
  std::function<void()> cancelled;
  const std::lock_guard lock(mutex_);
  const auto found = times_.find(id);
  if (found == times_.end()) return false;
  const auto timer = timers_.find(key{found->second, id});
  cancelled = std::move(timer->second);
  timers_.erase(timer);
  times_.erase(found);
  return true;
}

void timer_queue::Sleep(std::unique_lock<std::mutex>& lock) {
  const auto ready = [this] { return woken_ || stopping_; };
  if (timers_.empty() || std::holds_alternative<manual_clock>(clock_)) {
    changed_.wait(lock, ready);
  } else {
    const duration left = timers_.begin()->first.first - Now(clock_);
    changed_.wait_for(lock, std::min(left, kMaxSleep), ready);
  }
  woken_ = false;
}

void timer_queue::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    // The manual clock's own lock is taken without this one; see manual_clock::Advance.
    lock.unlock();
    const time_point now = Now(clock_);
    lock.lock();
    std::vector<std::function<void()>> due;
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      due.push_back(std::move(timers_.begin()->second));
      times_.erase(timers_.begin()->first.second);
      timers_.erase(timers_.begin());
    }
    if (due.empty()) {
      if (!stopping_) Sleep(lock);
      continue;
    }
    lock.unlock();
    for (const auto& task : due) task();
    due.clear();
    lock.lock();
  }
}

}  // namespace sycamorehinge
