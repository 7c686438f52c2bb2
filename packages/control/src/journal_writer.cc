#include "journal_writer.h"

#include <algorithm>

#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {

namespace {

// An append without an answer is retried after this multiple of the average answer time, then with
// exponential backoff. Retries are safe: the store recognises them by their sequence number.
constexpr int kRetryAnswerTimes = 3;
constexpr std::uint32_t kMaxBackoffShift = 3;
// A near store answers in 4 ms, but either process may wait tens of milliseconds for a CPU.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(80);
// Bounds the time for which records wait once the store is back.
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(400);
constexpr duration kMaxFirstRetryDelay = std::chrono::milliseconds(1200);
// Time after which an append that keeps failing means an outage.
constexpr duration kFailingLimit = std::chrono::milliseconds(300);
// An append without an answer for this multiple of the average answer time means an outage, so that
// callers learn of one soon. A store that is only slow answers in 400 ms.
constexpr int kOutageAnswerTimes = 5;
constexpr duration kMinSilentLimit = std::chrono::milliseconds(450);
constexpr duration kMaxSilentLimit = std::chrono::milliseconds(1000);
// Bounds the time until a writer is confirmed again once the store is back.
constexpr duration kConfirmationCheckInterval = std::chrono::milliseconds(250);
// An append of records that is sent meanwhile confirms as well; limits the additional ones.
constexpr duration kConfirmDelay = std::chrono::milliseconds(20);

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

void journal_writer::SendFence(std::uint32_t attempt) {
  const time_point now = port_.now();
  duration delay;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !fence_done_) return;
    delay = RetryDelay(attempt);
  }
  port_.append(stream_name::kJournal, append_guard{options_.producer, epoch_, 0}, {},
               [self = shared_from_this(), now](const result<std::uint64_t>& outcome) {
                 self->OnFenced(outcome.code(), now);
               });
  port_.run_at(now + delay, [self = shared_from_this(), attempt] { self->SendFence(attempt + 1); });
}

void journal_writer::OnFenced(errc code, time_point sent) {
  // Any other error is left to the next attempt, which is already scheduled.
  if (code != errc::kOk && code != errc::kStaleTerm) return;
  std::function<void(errc)> done;
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !fence_done_) return;
    done = std::exchange(fence_done_, nullptr);
    UpdateAnswerTime(sent);
    confirmed_at_ = std::max(confirmed_at_, sent);
    first = !std::exchange(confirmation_scheduled_, true);
  }
  if (code == errc::kOk) handlers_.on_confirmed(sent);
  if (first) ScheduleConfirmation();
  done(code);
}

void journal_writer::ScheduleConfirmation() {
  port_.run_at(port_.now() + kConfirmationCheckInterval,
               [self = shared_from_this()] { self->RequestConfirmation(); });
}

void journal_writer::RequestConfirmation() {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    const bool due = port_.now() - confirmed_at_ >= options_.confirm_interval;
    if (!due || sending_ || confirming_) return ScheduleConfirmation();
    confirming_ = true;
  }
  SendConfirmation();
  ScheduleConfirmation();
}

void journal_writer::Confirm() {
  {
    const std::lock_guard lock(mutex_);
    confirmation_wanted_at_ = port_.now();
    if (std::exchange(wanted_confirmation_scheduled_, true)) return;
  }
  ScheduleWantedConfirmation();
}

void journal_writer::ScheduleWantedConfirmation() {
  port_.run_at(port_.now() + kConfirmDelay,
               [self = shared_from_this()] { self->ConfirmIfWanted(); });
}

void journal_writer::ConfirmIfWanted() {
  {
    const std::lock_guard lock(mutex_);
    wanted_confirmation_scheduled_ = !stopped_ && confirmed_at_ < confirmation_wanted_at_;
    if (!wanted_confirmation_scheduled_) return;
    const bool paused = port_.now() < next_confirmation_at_;
    if (sending_ || confirming_ || paused) return ScheduleWantedConfirmation();
    confirming_ = true;
  }
  SendConfirmation();
  ScheduleWantedConfirmation();
}

// An append without records is accepted only from a writer that has not been fenced. There is one
// at a time, and none beside an append of records: a store that is slow works on one after another.
void journal_writer::SendConfirmation() {
  const time_point now = port_.now();
  port_.append(stream_name::kJournal, append_guard{options_.producer, epoch_, 0}, {},
               [self = shared_from_this(), now](const result<std::uint64_t>& outcome) {
                 self->OnConfirmation(outcome.code(), now);
               });
}

void journal_writer::OnConfirmation(errc code, time_point sent) {
  {
    const std::lock_guard lock(mutex_);
    confirming_ = false;
    if (code != errc::kOk) next_confirmation_at_ = port_.now() + kConfirmationCheckInterval;
    if (stopped_ || (code != errc::kOk && code != errc::kStaleTerm)) return;
    if (code == errc::kOk) confirmed_at_ = std::max(confirmed_at_, sent);
    if (code == errc::kStaleTerm) stopped_ = true;
  }
  if (code == errc::kOk) return handlers_.on_confirmed(sent);
  handlers_.on_fenced();
}

duration journal_writer::RetryDelay(std::uint32_t attempt) const {
  const duration first =
      std::clamp(answer_time_ * kRetryAnswerTimes, kMinRetryDelay, kMaxFirstRetryDelay);
  return std::min(first * (1 << std::min(attempt - 1, kMaxBackoffShift)),
                  std::max(first, kMaxRetryDelay));
}

void journal_writer::UpdateAnswerTime(time_point sent) {
  const duration taken = port_.now() - sent;
  answer_time_ = answer_time_ == duration() ? taken : answer_time_ + (taken - answer_time_) / 4;
}

void journal_writer::Add(std::uint64_t sequence, const cell::journal_record& record) {
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    pending_.emplace_back(sequence, std::vector<stream_record>());
    EncodeJournalRecord(record, pending_.back().second);
    if (sending_ || std::exchange(batch_scheduled_, true)) return;
  }
  port_.run_at(port_.now() + options_.batch_delay,
               [self = shared_from_this()] { self->SendNextBatch(); });
}

duration journal_writer::OldestAppendAge(time_point now) {
  const std::lock_guard lock(mutex_);
  return sending_ ? now - batch_started_ : duration();
}

duration journal_writer::OutageAge(time_point now) {
  const std::lock_guard lock(mutex_);
  if (!sending_) return {};
  const duration age = now - batch_started_;
  return age >= (available_ ? SilentLimit() : kFailingLimit) ? age : duration();
}

duration journal_writer::SilentLimit() const {
  return std::clamp(answer_time_ * kOutageAnswerTimes, kMinSilentLimit, kMaxSilentLimit);
}

std::vector<std::uint64_t> journal_writer::Withdraw(std::span<const std::uint64_t> sequences) {
  const std::lock_guard lock(mutex_);
  std::vector<std::uint64_t> withdrawn;
  std::erase_if(pending_, [&](const auto& entry) {
    if (!std::binary_search(sequences.begin(), sequences.end(), entry.first)) return false;
    withdrawn.push_back(entry.first);
    return true;
  });
  return withdrawn;
}

void journal_writer::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  pending_.clear();
  fence_done_ = nullptr;
}

void journal_writer::SendNextBatch() {
  std::uint64_t append_sequence = 0;
  {
    const std::lock_guard lock(mutex_);
    batch_scheduled_ = false;
    if (stopped_ || sending_ || pending_.empty()) return;
    sending_ = true;
    batch_started_ = port_.now();
    current_ = {};
    append_sequence = current_.append_sequence = next_append_sequence_++;
    std::size_t bytes = 0;
    while (!pending_.empty() && bytes < options_.batch_bytes) {
      for (stream_record& record : pending_.front().second) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        current_.records.push_back(std::move(record));
      }
      current_.last_sequence = pending_.front().first;
      pending_.pop_front();
    }
  }
  SendBatch(append_sequence, 1);
}

void journal_writer::SendBatch(std::uint64_t append_sequence, std::uint32_t attempt) {
  const time_point now = port_.now();
  std::vector<stream_record> records;
  duration delay;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !sending_ || current_.append_sequence != append_sequence) return;
    records = current_.records;
    delay = RetryDelay(attempt);
  }
  port_.append(
      stream_name::kJournal, append_guard{options_.producer, epoch_, append_sequence},
      std::move(records),
      [self = shared_from_this(), append_sequence, now](const result<std::uint64_t>& outcome) {
        self->OnAppended(append_sequence, now, outcome);
      });
  port_.run_at(now + delay, [self = shared_from_this(), append_sequence, attempt] {
    self->SendBatch(append_sequence, attempt + 1);
  });
}

// A retry of an append that is already stored gets the answer of the first one, or a version
// conflict that expects the following sequence number.
errc journal_writer::ClassifyOutcome(const result<std::uint64_t>& outcome) const {
  if (outcome.code() != errc::kVersionConflict) return outcome.code();
  return outcome.detail() == std::to_string(current_.append_sequence + 1) ? errc::kOk
                                                                          : errc::kStaleTerm;
}

void journal_writer::OnAppended(std::uint64_t append_sequence, time_point sent,
                                const result<std::uint64_t>& outcome) {
  errc code;
  std::uint64_t durable = 0;
  time_point confirmed;
  bool changed = false;
  bool more = false;
  {
    const std::lock_guard lock(mutex_);
    // An earlier attempt of the same append may have been answered already.
    if (stopped_ || !sending_ || current_.append_sequence != append_sequence) return;
    code = ClassifyOutcome(outcome);
    const bool stored = code == errc::kOk;
    const bool fenced = code == errc::kStaleTerm;
    changed = !fenced && std::exchange(available_, stored) != stored;
    if (stored) {
      UpdateAnswerTime(sent);
      durable = current_.last_sequence;
      // The store may repeat its answer to an earlier attempt after a newer writer has fenced.
      confirmed = batch_started_;
      confirmed_at_ = std::max(confirmed_at_, confirmed);
      sending_ = false;
      more = !pending_.empty();
    }
    if (fenced) stopped_ = true;
  }
  if (changed) handlers_.on_availability(code == errc::kOk);
  if (code == errc::kStaleTerm) return handlers_.on_fenced();
  // Any other error is left to the next attempt, which is already scheduled.
  if (code != errc::kOk) return;
  handlers_.on_confirmed(confirmed);
  handlers_.on_durable(durable);
  if (more) SendNextBatch();
}

}  // namespace sycamorehinge::control
