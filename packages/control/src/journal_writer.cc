#include "journal_writer.h"

#include <algorithm>

#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {

namespace {

constexpr duration kFirstBackoff = std::chrono::milliseconds(30);
constexpr duration kLongestBackoff = std::chrono::milliseconds(400);

}  // namespace

journal_writer::journal_writer(const ports& port, journal_options options, std::uint64_t epoch,
                               journal_handlers handlers)
    : port_(port), options_(std::move(options)), epoch_(epoch), handlers_(std::move(handlers)) {}

void journal_writer::Fence(std::function<void(errc)> done) {
  port_.append(
      stream_name::kJournal, append_guard{options_.producer, epoch_, 0}, {},
      [done = std::move(done)](const result<std::uint64_t>& outcome) { done(outcome.code()); });
}

void journal_writer::Add(std::uint64_t sequence, const cell::journal_record& record) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    pending_.emplace_back(sequence, std::vector<stream_record>());
    AppendEncoded(record, pending_.back().second);
    if (sending_ || std::exchange(collecting_, true)) return;
  }
  port_.at(port_.now() + options_.collect, [self = shared_from_this()] { self->Collect(); });
}

duration journal_writer::StalledFor(time_point now) {
  const std::lock_guard lock(mutex_);
  return sending_ ? now - sent_ : duration();
}

void journal_writer::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  pending_.clear();
}

// Builds the next batch and sends it.
void journal_writer::Collect() {
  {
    const std::lock_guard lock(mutex_);
    collecting_ = false;
    if (stopped_ || sending_ || pending_.empty()) return;
    sending_ = true;
    sent_ = port_.now();
    current_ = {};
    current_.number = next_number_++;
    std::size_t bytes = 0;
    while (!pending_.empty() && bytes < options_.batch_bytes) {
      for (stream_record& record : pending_.front().second) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        current_.records.push_back(std::move(record));
      }
      current_.last = pending_.front().first;
      pending_.pop_front();
    }
  }
  Send();
}

void journal_writer::Send() {
  std::vector<stream_record> records;
  append_guard guard{options_.producer, epoch_, 0};
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    records = current_.records;
    guard.sequence = current_.number;
  }
  port_.append(stream_name::kJournal, guard, std::move(records),
               [self = shared_from_this()](const result<std::uint64_t>& outcome) {
                 self->OnAppended(outcome);
               });
}

// A repeated append that was already stored answers like the first one, or names the number after
// it as the next.
errc journal_writer::Judge(const result<std::uint64_t>& outcome) const {
  if (outcome.code() != errc::kVersionConflict) return outcome.code();
  return outcome.detail() == std::to_string(current_.number + 1) ? errc::kOk : errc::kStaleTerm;
}

void journal_writer::OnAppended(const result<std::uint64_t>& outcome) {
  errc code;
  std::uint64_t durable = 0;
  bool changed = false;
  bool more = false;
  duration backoff;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    code = Judge(outcome);
    const bool stored = code == errc::kOk;
    const bool fenced = code == errc::kStaleTerm;
    changed = !fenced && std::exchange(available_, stored) != stored;
    if (stored) {
      durable = current_.last;
      sending_ = false;
      more = !pending_.empty();
    }
    if (fenced) stopped_ = true;
    backoff_ = stored ? duration() : std::clamp(backoff_ * 2, kFirstBackoff, kLongestBackoff);
    backoff = backoff_;
  }
  if (changed) handlers_.on_availability(code == errc::kOk);
  if (code == errc::kStaleTerm) return handlers_.on_fenced();
  if (code != errc::kOk) {
    return port_.at(port_.now() + backoff, [self = shared_from_this()] { self->Send(); });
  }
  handlers_.on_durable(durable);
  if (more) Collect();
}

}  // namespace sycamorehinge::control
