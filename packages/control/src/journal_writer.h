// Appends journal records to the store in order, in batches, with one append in flight.
#ifndef SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_
#define SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control {

struct journal_options {
  std::string producer;
  // Time to collect records for a batch after the first one.
  duration batch_delay = std::chrono::milliseconds(8);
  // A batch is closed once its keys and values reach this size.
  std::size_t batch_bytes = std::size_t{1} << 20;
  // A writer that has been confirmed by no append for this long asks the store.
  duration confirm_interval = std::chrono::milliseconds(1000);
};

struct journal_handlers {
  // All records up to this sequence are durable.
  std::function<void(std::uint64_t sequence)> on_durable;
  // No writer of a higher epoch had fenced this one at `at`.
  std::function<void(time_point at)> on_confirmed;
  // A writer of a higher epoch has fenced this one; no further record is stored.
  std::function<void()> on_fenced;
  // The store stopped or resumed accepting appends.
  std::function<void(bool available)> on_availability;
};

// Writer for one epoch of the cell.
class journal_writer : public std::enable_shared_from_this<journal_writer> {
 public:
  journal_writer(const ports& port, journal_options options, std::uint64_t epoch,
                 journal_handlers handlers);

  // Fences the writers of earlier epochs; retries until the store answers kOk or kStaleTerm. From
  // then on the store is asked at intervals whether this writer has been fenced.
  void Fence(std::function<void(errc)> done);
  void Add(std::uint64_t sequence, const cell::journal_record& record);
  // Has `on_confirmed` called soon for a time that is not before this call, unless the store cannot
  // be reached.
  void Confirm();
  // Time since the first attempt of the append in flight; zero if there is none.
  duration OldestAppendAge(time_point now);
  // Returns how long the store has stored nothing, if a record added now would probably not become
  // durable soon; otherwise zero.
  duration OutageAge(time_point now);
  // Removes the records with these sequences, which are in ascending order, that have not been part
  // of an append attempt, and returns their sequences. Nothing of them has been or will be stored.
  std::vector<std::uint64_t> Withdraw(std::span<const std::uint64_t> sequences);
  // Drops pending records; their handlers do not run.
  void Stop();

 private:
  struct batch {
    std::vector<stream_record> records;
    std::uint64_t last_sequence = 0;
    std::uint64_t append_sequence = 0;
  };

  void SendNextBatch();
  void SendBatch(std::uint64_t append_sequence, std::uint32_t attempt);
  void OnAppended(std::uint64_t append_sequence, time_point sent,
                  const result<std::uint64_t>& outcome);
  void SendFence(std::uint32_t attempt);
  void OnFenced(errc code, time_point sent);
  void ScheduleConfirmation();
  void RequestConfirmation();
  void ScheduleWantedConfirmation();
  void ConfirmIfWanted();
  void SendConfirmation();
  void OnConfirmation(errc code, time_point sent);
  duration RetryDelay(std::uint32_t attempt) const;
  duration SilentLimit() const;
  void UpdateAnswerTime(time_point sent);
  errc ClassifyOutcome(const result<std::uint64_t>& outcome) const;

  const ports& port_;
  const journal_options options_;
  const std::uint64_t epoch_;
  const journal_handlers handlers_;

  std::mutex mutex_;
  bool stopped_ = false;
  bool batch_scheduled_ = false;
  bool available_ = true;
  std::deque<std::pair<std::uint64_t, std::vector<stream_record>>> pending_;
  batch current_;
  bool sending_ = false;
  // First attempt of the current batch.
  time_point batch_started_;
  std::uint64_t next_append_sequence_ = 1;
  std::function<void(errc)> fence_done_;
  bool confirmation_scheduled_ = false;
  // Time of the last call of Confirm(), and whether it has a check that is due.
  time_point confirmation_wanted_at_;
  bool wanted_confirmation_scheduled_ = false;
  // An append without records has no answer yet.
  bool confirming_ = false;
  // After a confirmation that failed, the next one is sent no earlier.
  time_point next_confirmation_at_;
  time_point confirmed_at_;
  // Moving average of the time to an answer; zero before the first one.
  duration answer_time_{};
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_
