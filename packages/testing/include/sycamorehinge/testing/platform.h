// All stand-ins of one platform: the log, the host list and the hosts, each under its own lock.
#ifndef SYCAMOREHINGE_TESTING_PLATFORM_H_
#define SYCAMOREHINGE_TESTING_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "sycamorehinge/testing/history.h"
#include "sycamorehinge/testing/host_model.h"
#include "sycamorehinge/testing/log_model.h"

namespace sycamorehinge::testing {

struct topology {
  std::vector<std::string> regions = {"harju", "tartu", "parnu"};
  std::uint32_t data_centres_per_region = 1;
  std::uint32_t workers = 50;
  std::uint32_t targets = 50;
  std::uint32_t rack_size = 8;
  // Capacity of each worker, without accelerators.
  resources worker{30'000, 130'000, 0, 0};
  // Accelerators of all workers, `accelerators_per_worker` on each of the first workers.
  std::uint32_t accelerators = 0;
  std::uint32_t accelerators_per_worker = 4;
  // Requests that a target runs at once.
  std::int64_t slots = 8;
  std::string environment = "sutepuu";
  std::string service = "orders";
  duration service_time = std::chrono::milliseconds(5);
  duration usage_lag = std::chrono::seconds(2);
};

struct host_faults {
  // No call gets through or is answered; running work goes on.
  bool down = false;
  duration delay{};
  double lose_answers = 0;
};

struct list_settings {
  duration lag{};
  bool frozen = false;
};

// SerializeFields without a value stay as they are.
struct host_fault_change {
  std::optional<bool> down;
  std::optional<bool> fail;
  std::optional<bool> leaving;
  std::optional<bool> restart;
  std::optional<duration> delay;
  std::optional<double> lose_answers;
};

struct listed_row {
  std::string host;
  bool worker = true;
  std::string region;
  std::string data_centre;
  std::string rack;
  bool leaving = false;
};

struct occupancy {
  resources capacity;
  resources taken;
};

class platform {
 public:
  platform(topology shape, std::uint64_t seed, std::shared_ptr<history_writer> history);
  ~platform();
  platform(const platform&) = delete;
  platform& operator=(const platform&) = delete;

  // What happens around one call on a host.
  struct call_fate {
    bool known = false;
    bool down = false;
    bool lose_answer = false;
    duration delay{};
  };
  call_fate DrawFate(std::string_view host);
  bool IsDown(std::string_view host);

  // Runs `call` on the host's model under the host's lock, and writes its events.
  template <class Call>
  auto OnHost(std::string_view host, Call&& call) {
    host_shard& shard = *hosts_.find(host)->second;
    const std::lock_guard lock(shard.mutex);
    auto answer = call(shard.model);
    WriteEvents(shard);
    return answer;
  }

  result<std::uint64_t> Append(std::string_view stream, std::string_view bytes);
  result<read_page> Read(std::string_view stream, std::uint64_t from, std::uint32_t max);
  duration LogDelay();
  void ChangeLog(const std::function<void(log_settings&)>& change);

  std::vector<listed_row> ListHosts();
  void ChangeList(const std::function<void(list_settings&)>& change);

  // Applies the change to the host, or to all hosts with the prefix before a final '*'.
  // Returns the number of hosts changed.
  std::size_t ChangeHosts(std::string_view pattern, const host_fault_change& change);

  occupancy WorkerOccupancy();
  const topology& Shape() const { return shape_; }

  struct counters {
    std::atomic<std::uint64_t> appends = 0;
    std::atomic<std::uint64_t> append_bytes = 0;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> read_bytes = 0;
    std::atomic<std::uint64_t> host_calls = 0;
    std::atomic<std::uint64_t> host_bytes = 0;
    std::atomic<std::uint64_t> claim_calls = 0;
    std::atomic<std::uint64_t> claim_bytes = 0;
    std::atomic<std::uint64_t> start_calls = 0;
    std::atomic<std::uint64_t> execute_calls = 0;
    std::atomic<std::uint64_t> void_calls = 0;
    std::atomic<std::uint64_t> stop_calls = 0;
    std::atomic<std::uint64_t> list_calls = 0;

    // Counts a call on a host with the bytes of its request and reply.
    void CountHostCall(std::string_view call, std::uint64_t bytes);
  };
  counters& Counters() { return counters_; }
  platform_totals Totals() const;

  // Blocks until `until` or Stop; false if stopped.
  bool WaitUntil(time_point until);
  // Wakes all waiting calls, ends the background thread and writes the totals. Idempotent.
  void Stop();

 private:
  struct host_shard {
    host_shard(host_settings settings, time_point now, std::uint64_t seed)
        : model(std::move(settings), now), random(seed) {}

    std::mutex mutex;
    host_model model;
    host_faults faults;
    std::mt19937_64 random;
    listed_row row;
    // State of `leaving` from each time on, for the lagging list.
    std::vector<std::pair<time_point, bool>> leaving_changes;
  };

  void AddHost(std::uint32_t index, bool worker, std::uint64_t seed);
  resources CapacityOf(std::uint32_t index, bool worker) const;
  static void Apply(host_shard& shard, const host_fault_change& change, time_point now);
  void WriteEvents(host_shard& shard);
  void RunBackground();

  topology shape_;
  std::shared_ptr<history_writer> history_;
  std::map<std::string, std::unique_ptr<host_shard>, std::less<>> hosts_;

  std::mutex log_mutex_;
  log_model log_;

  std::mutex list_mutex_;
  list_settings list_;
  time_point frozen_at_{};

  counters counters_;

  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopped_ = false;
  std::thread background_;
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_PLATFORM_H_
