// Appends journal records in order, many at a time, one append after the other.
#ifndef SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_
#define SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control {

struct journal_options {
  std::string producer;
  // Records are collected this long before an append.
  duration collect = std::chrono::milliseconds(8);
  // Most bytes of values in one append.
  std::size_t batch_bytes = std::size_t{1} << 20;
};

struct journal_handlers {
  // Records up to this sequence are stored.
  std::function<void(std::uint64_t sequence)> on_durable;
  // A newer owner writes; nothing more will be stored.
  std::function<void()> on_fenced;
  // The store stopped or resumed to take records.
  std::function<void(bool available)> on_availability;
};

// One writer of one epoch.
class journal_writer : public std::enable_shared_from_this<journal_writer> {
 public:
  journal_writer(const ports& port, journal_options options, std::uint64_t epoch,
                 journal_handlers handlers);

  // Shuts out the writers of earlier epochs; tries until the store says kOk or kStaleTerm.
  void Fence(std::function<void(errc)> done);
  void Add(std::uint64_t sequence, const cell::journal_record& record);
  // Time for which the oldest append has had no success; zero if none is open.
  duration StalledFor(time_point now);
  // Drops what is not stored; no handler runs for it.
  void Stop();

 private:
  struct batch {
    std::vector<stream_record> records;
    std::uint64_t last = 0;
    std::uint64_t number = 0;
  };

  void Collect();
  void Send(std::uint64_t number, std::uint32_t tries);
  void OnAppended(std::uint64_t number, time_point sent, const result<std::uint64_t>& outcome);
  void SendFence(std::uint32_t tries);
  void OnFenced(errc code, time_point sent);
  duration RepeatPause(std::uint32_t tries) const;
  void LearnAnswerTime(time_point sent);
  errc Judge(const result<std::uint64_t>& outcome) const;

  const ports& port_;
  const journal_options options_;
  const std::uint64_t epoch_;
  const journal_handlers handlers_;

  std::mutex mutex_;
  bool stopped_ = false;
  bool collecting_ = false;
  bool available_ = true;
  std::deque<std::pair<std::uint64_t, std::vector<stream_record>>> pending_;
  batch current_;
  bool sending_ = false;
  // First try of the current batch.
  time_point sent_;
  std::uint64_t next_number_ = 1;
  std::function<void(errc)> fence_done_;
  // Usual time of an answer; zero before the first one.
  duration answer_time_{};
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_JOURNAL_WRITER_H_
