#include "stream_follower.h"

#include <algorithm>
#include <utility>

namespace sycamorehinge::control {

namespace {

constexpr duration kMinBackoff = std::chrono::milliseconds(150);
constexpr duration kMaxBackoff = std::chrono::milliseconds(600);

}  // namespace

stream_follower::stream_follower(const ports& port, follower_options options,
                                 follower_handlers handlers)
    : port_(port), options_(options), handlers_(std::move(handlers)) {}

void stream_follower::Start() { Read(); }

void stream_follower::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void stream_follower::Read() {
  read_position position;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    position = position_;
  }
  const bool snapshot = std::holds_alternative<from_latest_values>(position);
  port_.read(options_.stream, std::move(position),
             [self = shared_from_this(), snapshot](const result<stream_page>& page) {
               self->OnPage(page, snapshot);
             });
}

void stream_follower::OnPage(const result<stream_page>& page, bool snapshot) {
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    const bool answered = page || page.code() == errc::kOffsetForgotten;
    changed = std::exchange(available_, answered) != answered;
    if (page.code() == errc::kOffsetForgotten) {
      position_ = from_latest_values{};
      snapshot_.clear();
    }
    backoff_ = page ? duration() : std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
    // A read that waits for a change would show only after that wait that the store is back.
    auto* change = std::get_if<from_offset>(&position_);
    if (!page && change) change->wait = {};
  }
  if (changed && handlers_.on_availability) handlers_.on_availability(available_);
  if (!page) return ReadAfter(backoff_);
  if (snapshot) return OnSnapshotPage(*page);
  {
    const std::lock_guard lock(mutex_);
    position_ = from_offset{page->next_offset, options_.max_wait};
  }
  for (const stream_record& record : page->records) handlers_.on_change(record);
  ReadAfter(options_.read_interval);
}

void stream_follower::OnSnapshotPage(const stream_page& page) {
  std::vector<stream_record> complete;
  {
    const std::lock_guard lock(mutex_);
    const bool first = std::get<from_latest_values>(position_).after.empty();
    // Later pages may already hold newer records; changes since the first page are read again.
    if (first) snapshot_next_ = page.next_offset;
    snapshot_.insert(snapshot_.end(), page.records.begin(), page.records.end());
    if (page.more && !page.records.empty()) {
      position_ = from_latest_values{page.records.back().key};
    } else {
      complete = std::exchange(snapshot_, {});
      position_ = from_offset{snapshot_next_, options_.max_wait};
    }
  }
  if (std::holds_alternative<from_latest_values>(position_)) return Read();
  handlers_.on_snapshot(std::move(complete));
  ReadAfter(options_.read_interval);
}

void stream_follower::ReadAfter(duration delay) {
  if (delay == duration::zero()) return Read();
  port_.run_at(port_.now() + delay, [self = shared_from_this()] { self->Read(); });
}

}  // namespace sycamorehinge::control
