#include "sycamorehinge/testing/platform.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sycamorehinge::testing {

namespace {

// Interval at which ended work is recorded without any call on its host.
constexpr duration kAdvanceInterval = std::chrono::milliseconds(50);

std::string HostName(bool worker, std::string_view region, std::uint32_t index) {
  char number[16];
  (void)std::snprintf(number, sizeof(number), "%04u", index);
  return std::string(worker ? "worker-" : "target-") + std::string(region) + "-" + number;
}

}  // namespace

platform::platform(topology shape, std::uint64_t seed, std::shared_ptr<history_writer> history)
    : shape_(std::move(shape)), history_(std::move(history)), log_(seed) {
  for (std::uint32_t index = 0; index < shape_.workers; ++index) AddHost(index, true, seed);
  for (std::uint32_t index = 0; index < shape_.targets; ++index) AddHost(index, false, seed);
  background_ = std::thread([this] { RunBackground(); });
}

platform::~platform() { Stop(); }

resources platform::CapacityOf(std::uint32_t index, bool worker) const {
  if (!worker) return {0, 0, 0, shape_.slots};
  resources capacity = shape_.worker;
  const std::uint32_t before = index * shape_.accelerators_per_worker;
  if (before < shape_.accelerators) {
    capacity.accelerators = std::min(shape_.accelerators_per_worker, shape_.accelerators - before);
  }
  return capacity;
}

void platform::AddHost(std::uint32_t index, bool worker, std::uint64_t seed) {
  const auto regions = static_cast<std::uint32_t>(shape_.regions.size());
  const std::string& region = shape_.regions[index % regions];
  const std::uint32_t in_region = index / regions;
  const std::uint32_t centre = in_region % shape_.data_centres_per_region;
  const std::uint32_t in_centre = in_region / shape_.data_centres_per_region;
  const std::string name = HostName(worker, region, in_region);

  host_settings settings;
  settings.host.value = name;
  settings.capacity = CapacityOf(index, worker);
  settings.usage_lag = shape_.usage_lag;
  settings.service_time = shape_.service_time;
  const time_point now = MonotonicNow();
  auto shard = std::make_unique<host_shard>(std::move(settings), now, StableHash(name, seed));
  shard->row.host = name;
  shard->row.worker = worker;
  shard->row.region = region;
  shard->row.data_centre = region + "-" + std::to_string(centre + 1);
  shard->row.rack = shard->row.data_centre + (worker ? "-w" : "-t") +
                    std::to_string(in_centre / shape_.rack_size + 1);
  WriteEvents(*shard);
  hosts_.emplace(name, std::move(shard));
}

void platform::WriteEvents(host_shard& shard) {
  for (const history_event& event : shard.model.TakeEvents()) history_->Write(event);
}

platform::call_fate platform::DrawFate(std::string_view host) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return {};
  host_shard& shard = *found->second;
  const std::lock_guard lock(shard.mutex);
  std::uniform_real_distribution<double> draw(0, 1);
  const bool lose = shard.faults.lose_answers > 0 && draw(shard.random) < shard.faults.lose_answers;
  return {true, shard.faults.down, lose, shard.faults.delay};
}

bool platform::IsDown(std::string_view host) {
  host_shard& shard = *hosts_.find(host)->second;
  const std::lock_guard lock(shard.mutex);
  return shard.faults.down;
}

result<std::uint64_t> platform::Append(std::string_view stream, std::string_view bytes) {
  ++counters_.appends;
  counters_.append_bytes += bytes.size();
  const std::lock_guard lock(log_mutex_);
  return log_.Append(stream, bytes, MonotonicNow());
}

result<read_page> platform::Read(std::string_view stream, std::uint64_t from, std::uint32_t max) {
  ++counters_.reads;
  const std::lock_guard lock(log_mutex_);
  return log_.Read(stream, from, max, MonotonicNow());
}

duration platform::LogDelay() {
  const std::lock_guard lock(log_mutex_);
  return log_.Settings().delay;
}

void platform::ChangeLog(const std::function<void(log_settings&)>& change) {
  const std::lock_guard lock(log_mutex_);
  change(log_.Settings());
}

std::vector<listed_row> platform::ListHosts() {
  ++counters_.list_calls;
  time_point as_of;
  {
    const std::lock_guard lock(list_mutex_);
    as_of = (list_.frozen ? frozen_at_ : MonotonicNow()) - list_.lag;
  }
  std::vector<listed_row> rows;
  rows.reserve(hosts_.size());
  for (const auto& [name, shard] : hosts_) {
    const std::lock_guard lock(shard->mutex);
    listed_row row = shard->row;
    for (const auto& [at, leaving] : shard->leaving_changes) {
      if (at <= as_of) row.leaving = leaving;
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void platform::ChangeList(const std::function<void(list_settings&)>& change) {
  const std::lock_guard lock(list_mutex_);
  const bool was_frozen = list_.frozen;
  change(list_);
  if (list_.frozen && !was_frozen) frozen_at_ = MonotonicNow();
}

void platform::Apply(host_shard& shard, const host_fault_change& change, time_point now) {
  if (change.down) shard.faults.down = *change.down;
  if (change.delay) shard.faults.delay = *change.delay;
  if (change.lose_answers) shard.faults.lose_answers = *change.lose_answers;
  if (change.fail) shard.model.SetFailing(*change.fail);
  if (change.leaving && *change.leaving != shard.model.IsLeaving()) {
    shard.model.SetLeaving(*change.leaving, now);
    shard.leaving_changes.emplace_back(now, *change.leaving);
  }
  if (change.restart && *change.restart) shard.model.Restart(now);
}

std::size_t platform::ChangeHosts(std::string_view pattern, const host_fault_change& change) {
  const bool prefix = pattern.ends_with('*');
  if (prefix) pattern.remove_suffix(1);
  std::size_t changed = 0;
  for (auto& [name, shard] : hosts_) {
    if (prefix ? !name.starts_with(pattern) : name != pattern) continue;
    const std::lock_guard lock(shard->mutex);
    Apply(*shard, change, MonotonicNow());
    WriteEvents(*shard);
    ++changed;
  }
  return changed;
}

occupancy platform::WorkerOccupancy() {
  occupancy sum;
  for (auto& [name, shard] : hosts_) {
    if (!shard->row.worker) continue;
    const std::lock_guard lock(shard->mutex);
    sum.capacity += shard->model.Settings().capacity;
    sum.taken += shard->model.Taken();
  }
  return sum;
}

void platform::counters::CountHostCall(std::string_view call, std::uint64_t bytes) {
  ++host_calls;
  host_bytes += bytes;
  if (call == "claim") {
    ++claim_calls;
    claim_bytes += bytes;
  }
  if (call == "start") ++start_calls;
  if (call == "execute") ++execute_calls;
  if (call == "void") ++void_calls;
  if (call == "stop") ++stop_calls;
}

platform_totals platform::Totals() const {
  return {counters_.appends,       counters_.append_bytes, counters_.reads,
          counters_.read_bytes,    counters_.host_calls,   counters_.host_bytes,
          counters_.claim_calls,   counters_.claim_bytes,  counters_.start_calls,
          counters_.execute_calls, counters_.void_calls,   counters_.stop_calls,
          counters_.list_calls};
}

bool platform::WaitUntil(time_point until) {
  std::unique_lock lock(stop_mutex_);
  return !stop_changed_.wait_until(lock, until, [this] { return stopped_; });
}

void platform::RunBackground() {
  while (WaitUntil(MonotonicNow() + kAdvanceInterval)) {
    for (auto& [name, shard] : hosts_) {
      const std::lock_guard lock(shard->mutex);
      shard->model.Advance(MonotonicNow());
      WriteEvents(*shard);
    }
    history_->Flush();
  }
}

void platform::Stop() {
  {
    const std::lock_guard lock(stop_mutex_);
    if (stopped_) return;
    stopped_ = true;
  }
  stop_changed_.notify_all();
  background_.join();
  for (auto& [name, shard] : hosts_) {
    const std::lock_guard lock(shard->mutex);
    shard->model.Advance(MonotonicNow());
    WriteEvents(*shard);
  }
  history_->Write({MonotonicNow(), Totals()});
  history_->Flush();
}

}  // namespace sycamorehinge::testing
