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

// Condition variable timeouts do not advance while the machine is suspended, so the clock is read
// again at least this often while a timer is pending.
constexpr duration kMaxWait = std::chrono::seconds(1);

}  // namespace

time_point system_clock::Now() const { return time_point(ReadClock(CLOCK_BOOTTIME)); }

std::int64_t system_clock::WallMilliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(ReadClock(CLOCK_REALTIME)).count();
}

manual_clock::manual_clock() : shared_(std::make_shared<shared_state>()) {}

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
  // Called under the lock, so that no listener runs after its RemoveListener.
  for (const auto& [id, wake] : shared_->listeners) wake();
}

std::uint64_t manual_clock::AddListener(std::function<void()> wake) const {
  const std::lock_guard lock(shared_->mutex);
  const std::uint64_t id = shared_->next_listener_id++;
  shared_->listeners.emplace(id, std::move(wake));
  return id;
}

void manual_clock::RemoveListener(std::uint64_t listener) const {
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
                          listener_id_ = manual.AddListener([this] {
                            {
                              const std::lock_guard lock(mutex_);
                              wake_pending_ = true;
                            }
                            wake_condition_.notify_one();
                          });
                        }},
             clock_);
  thread_ = std::thread([this] { Run(); });
}

timer_queue::~timer_queue() {
  std::visit(
      overloaded{[](const system_clock&) {},
                 [this](const manual_clock& manual) { manual.RemoveListener(listener_id_); }},
      clock_);
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_condition_.notify_one();
  thread_.join();
}

timer_queue::timer_id timer_queue::ScheduleAt(time_point when, std::function<void()> task) {
  timer_id id = 0;
  bool is_first = false;
  {
    const std::lock_guard lock(mutex_);
    id = ++last_id_;
    timers_.emplace(key{when, id}, std::move(task));
    due_times_.emplace(id, when);
    is_first = timers_.begin()->first.second == id;
    if (is_first) wake_pending_ = true;
  }
  if (is_first) wake_condition_.notify_one();
  return id;
}

timer_queue::timer_id timer_queue::ScheduleAfter(duration delay, std::function<void()> task) {
  return ScheduleAt(Now(clock_) + delay, std::move(task));
}

bool timer_queue::Cancel(timer_id id) {
  // Destroyed after the lock is released: destructors of captured objects may call this queue.
  std::function<void()> cancelled;
  const std::lock_guard lock(mutex_);
  const auto found = due_times_.find(id);
  if (found == due_times_.end()) return false;
  const auto timer = timers_.find(key{found->second, id});
  cancelled = std::move(timer->second);
  timers_.erase(timer);
  due_times_.erase(found);
  return true;
}

void timer_queue::WaitForNextTimer(std::unique_lock<std::mutex>& lock) {
  const auto ready = [this] { return wake_pending_ || stopping_; };
  if (timers_.empty() || std::holds_alternative<manual_clock>(clock_)) {
    wake_condition_.wait(lock, ready);
  } else {
    const duration remaining = timers_.begin()->first.first - Now(clock_);
    wake_condition_.wait_for(lock, std::min(remaining, kMaxWait), ready);
  }
  wake_pending_ = false;
}

void timer_queue::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    // Released to avoid a lock-order inversion: manual_clock::Advance holds the clock's mutex while
    // its listener locks `mutex_`.
    lock.unlock();
    const time_point now = Now(clock_);
    lock.lock();
    std::vector<std::function<void()>> due;
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      due.push_back(std::move(timers_.begin()->second));
      due_times_.erase(timers_.begin()->first.second);
      timers_.erase(timers_.begin());
    }
    if (due.empty()) {
      if (!stopping_) WaitForNextTimer(lock);
      continue;
    }
    lock.unlock();
    for (const auto& task : due) task();
    due.clear();
    lock.lock();
  }
}

}  // namespace sycamorehinge
