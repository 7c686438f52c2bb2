#include "journal_writer.h"

#include <algorithm>

#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {

namespace {

// An append without an answer is repeated after this many times the usual answer, then after longer
// pauses: repeats are free of harm, since the store knows them by their number.
constexpr int kAnswersToRepeat = 3;
constexpr std::uint32_t kLongestShift = 3;
// A near store answers in 4 ms; both processes may wait some tens of milliseconds for a processor.
constexpr duration kLeastRepeat = std::chrono::milliseconds(80);
constexpr duration kLongestRepeat = std::chrono::milliseconds(1200);

}  // namespace

journal_writer::journal_writer(const ports& port, journal_options options, std::uint64_t epoch,
                               journal_handlers handlers)
    : port_(port), options_(std::move(options)), epoch_(epoch), handlers_(std::move(handlers)) {}

void journal_writer::Fence(std::function<void(errc)> done) {
  {
    const std::lock_guard lock(mutex_);
    fence_done_ = std::move(done);
  }
  SendFence(1);
}

void journal_writer::SendFence(std::uint32_t tries) {
  const time_point now = port_.now();
  duration pause;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !fence_done_) return;
    pause = RepeatPause(tries);
  }
  port_.append(stream_name::kJournal, append_guard{options_.producer, epoch_, 0}, {},
               [self = shared_from_this(), now](const result<std::uint64_t>& outcome) {
                 self->OnFenced(outcome.code(), now);
               });
  port_.at(now + pause, [self = shared_from_this(), tries] { self->SendFence(tries + 1); });
}

void journal_writer::OnFenced(errc code, time_point sent) {
  // After any other error the next try decides.
  if (code != errc::kOk && code != errc::kStaleTerm) return;
  std::function<void(errc)> done;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !fence_done_) return;
    done = std::exchange(fence_done_, nullptr);
    LearnAnswerTime(sent);
  }
  done(code);
}

duration journal_writer::RepeatPause(std::uint32_t tries) const {
  const duration first = std::clamp(answer_time_ * kAnswersToRepeat, kLeastRepeat, kLongestRepeat);
  return std::min(first * (1 << std::min(tries - 1, kLongestShift)), kLongestRepeat);
}

void journal_writer::LearnAnswerTime(time_point sent) {
  const duration taken = port_.now() - sent;
  answer_time_ = answer_time_ == duration() ? taken : answer_time_ + (taken - answer_time_) / 4;
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
  fence_done_ = nullptr;
}

// Builds the next batch and sends it.
void journal_writer::Collect() {
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    collecting_ = false;
    if (stopped_ || sending_ || pending_.empty()) return;
    sending_ = true;
    sent_ = port_.now();
    current_ = {};
    number = current_.number = next_number_++;
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
  Send(number, 1);
}

void journal_writer::Send(std::uint64_t number, std::uint32_t tries) {
  const time_point now = port_.now();
  std::vector<stream_record> records;
  duration pause;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !sending_ || current_.number != number) return;
    records = current_.records;
    pause = RepeatPause(tries);
  }
  port_.append(stream_name::kJournal, append_guard{options_.producer, epoch_, number},
               std::move(records),
               [self = shared_from_this(), number, now](const result<std::uint64_t>& outcome) {
                 self->OnAppended(number, now, outcome);
               });
  port_.at(now + pause,
           [self = shared_from_this(), number, tries] { self->Send(number, tries + 1); });
}

// A repeated append that was already stored answers like the first one, or names the number after
// it as the next.
errc journal_writer::Judge(const result<std::uint64_t>& outcome) const {
  if (outcome.code() != errc::kVersionConflict) return outcome.code();
  return outcome.detail() == std::to_string(current_.number + 1) ? errc::kOk : errc::kStaleTerm;
}

void journal_writer::OnAppended(std::uint64_t number, time_point sent,
                                const result<std::uint64_t>& outcome) {
  errc code;
  std::uint64_t durable = 0;
  bool changed = false;
  bool more = false;
  {
    const std::lock_guard lock(mutex_);
    // Another copy of the same append may have been answered before.
    if (stopped_ || !sending_ || current_.number != number) return;
    code = Judge(outcome);
    const bool stored = code == errc::kOk;
    const bool fenced = code == errc::kStaleTerm;
    changed = !fenced && std::exchange(available_, stored) != stored;
    if (stored) {
      LearnAnswerTime(sent);
      durable = current_.last;
      sending_ = false;
      more = !pending_.empty();
    }
    if (fenced) stopped_ = true;
  }
  if (changed) handlers_.on_availability(code == errc::kOk);
  if (code == errc::kStaleTerm) return handlers_.on_fenced();
  // After any other error the next try decides.
  if (code != errc::kOk) return;
  handlers_.on_durable(durable);
  if (more) Collect();
}

}  // namespace sycamorehinge::control
