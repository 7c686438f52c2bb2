#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/attributes/attribute_value_set.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/keywords/start_thread.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "sycamorehinge/telemetry/events.h"

namespace sycamorehinge {

namespace logging = boost::log;

namespace {

BOOST_LOG_ATTRIBUTE_KEYWORD(log_channel, "Channel", std::uint64_t)

// All event_logs share the one core of Boost.Log; each takes only the records of its channel.
std::uint64_t NextChannel() {
  static std::atomic<std::uint64_t> next = 0;
  return ++next;
}

// About 2 MB of lines.
constexpr std::size_t kMaxWaitingLines = 8192;
// Time for which lines are collected to be written in one batch.
constexpr auto kBatchInterval = std::chrono::milliseconds(20);
// Interval at which counts of repeated events are checked.
constexpr auto kRepeatCheckInterval = std::chrono::seconds(1);

// Overflow policy for the queue of Boost.Log: drops and counts lines while the queue is full.
class drop_and_count {
 public:
  template <class Lock>
  static bool on_overflow(const logging::record_view& /*record*/, Lock& /*lock*/) {
    dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
  static std::uint64_t Take() { return dropped.exchange(0, std::memory_order_relaxed); }

 private:
  static inline std::atomic<std::uint64_t> dropped = 0;
};

std::string SubjectOf(std::span<const event_field> fields) {
  if (fields.empty()) return {};
  const auto* text = std::get_if<std::string_view>(&fields.front().value);
  return text == nullptr ? std::string() : std::string(*text);
}

}  // namespace

// Writes lines from a bounded queue on its own thread, since the stream may block.
class event_log::sink {
 public:
  // `summary_lines` returns the lines that report omitted events; it runs on the sink's thread.
  sink(std::ostream* out, std::function<std::vector<std::string>()> summary_lines)
      : channel_(NextChannel()),
        logger_(channel_),
        out_(out),
        summary_lines_(std::move(summary_lines)) {
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    // No deleter: the caller owns the stream.
    backend->add_stream(boost::shared_ptr<std::ostream>(out, [](std::ostream*) {}));
    frontend_ = boost::make_shared<frontend>(backend, logging::keywords::start_thread = false);
    frontend_->set_filter(log_channel == channel_);
    frontend_->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(frontend_);
    thread_ = std::thread([this] { Run(); });
  }
  ~sink() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
    logging::core::get()->remove_sink(frontend_);
  }
  sink(const sink&) = delete;
  sink& operator=(const sink&) = delete;

  void Add(const std::string& line) {
    logging::record record = logger_.open_record();
    if (!record) return;
    logging::record_ostream stream(record);
    stream << line;
    stream.flush();
    logger_.push_record(std::move(record));
    // The thread was already notified for an earlier line that still waits.
    if (waiting_.exchange(true)) return;
    const std::lock_guard lock(mutex_);
    wake_.notify_all();
  }

  bool Flush(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    const std::uint64_t wanted = ++flushes_requested_;
    wake_.notify_all();
    return written_.wait_for(lock, timeout, [&] { return flushes_done_ >= wanted; });
  }

 private:
  using queue = logging::sinks::bounded_fifo_queue<kMaxWaitingLines, drop_and_count>;
  using frontend = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend, queue>;

  void Run() {
    std::unique_lock lock(mutex_);
    const auto urgent = [this] { return stopping_ || flushes_requested_ > flushes_done_; };
    auto next_check = std::chrono::steady_clock::now();
    while (true) {
      wake_.wait_for(lock, kRepeatCheckInterval, [&] { return waiting_ || urgent(); });
      if (waiting_) wake_.wait_for(lock, kBatchInterval, urgent);
      const std::uint64_t flushes = flushes_requested_;
      const bool last = stopping_;
      const auto now = std::chrono::steady_clock::now();
      const bool check = urgent() || now >= next_check;
      if (check) next_check = now + kRepeatCheckInterval;
      lock.unlock();
      Write(check);
      lock.lock();
      flushes_done_ = flushes;
      written_.notify_all();
      if (last) return;
    }
  }

  // Examining the repeated events costs more than writing some lines, so it is done less often.
  void Write(bool check_repeated) {
    waiting_ = false;
    frontend_->feed_records();
    if (check_repeated) {
      // Written directly, since the queue may be full again.
      for (const std::string& line : summary_lines_()) *out_ << line << '\n';
    }
    out_->flush();
  }

  std::uint64_t channel_;
  logging::sources::channel_logger_mt<std::uint64_t> logger_;
  std::ostream* out_;
  std::function<std::vector<std::string>()> summary_lines_;
  boost::shared_ptr<frontend> frontend_;

  std::atomic<bool> waiting_ = false;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable written_;
  bool stopping_ = false;
  std::uint64_t flushes_requested_ = 0;
  std::uint64_t flushes_done_ = 0;
  std::thread thread_;
};

// Decides which events are logged and counts the others. Sharded by event number.
class event_log::repeat_filter {
 public:
  repeat_filter(duration interval, std::size_t max_subjects)
      : interval_(interval), max_subjects_(max_subjects) {}

  struct decision {
    bool log = false;
    // Events not logged since the last one that was.
    std::uint64_t repeated = 0;
  };
  struct overdue {
    event_number number;
    std::string subject;
    std::uint64_t repeated = 0;
  };

  decision Check(event_number number, std::string subject, time_point now) {
    shard& selected = shards_[static_cast<std::size_t>(number) % kShards];
    const std::lock_guard lock(selected.mutex);
    auto& subjects = selected.numbers[number];
    if (subjects.size() >= max_subjects_ && !subjects.contains(subject)) {
      RemoveExpired(subjects, now);
      if (subjects.size() >= max_subjects_) subject.clear();
    }
    const auto [found, is_new] = subjects.try_emplace(std::move(subject), entry{now, 0});
    entry& state = found->second;
    if (!is_new && now - state.logged < interval_) {
      ++state.repeated;
      return {};
    }
    state.logged = now;
    return {true, std::exchange(state.repeated, 0)};
  }

  // Takes the counts whose interval has ended without another event.
  std::vector<overdue> TakeOverdue(time_point now) {
    std::vector<overdue> taken;
    for (shard& current : shards_) {
      const std::lock_guard lock(current.mutex);
      for (auto& [number, subjects] : current.numbers) {
        for (auto& [subject, state] : subjects) {
          if (state.repeated == 0 || now - state.logged < interval_) continue;
          state.logged = now;
          taken.push_back({number, subject, std::exchange(state.repeated, 0)});
        }
      }
    }
    return taken;
  }

 private:
  struct entry {
    time_point logged;
    std::uint64_t repeated = 0;
  };
  using subject_map = std::map<std::string, entry>;
  static constexpr std::size_t kShards = 8;
  struct shard {
    std::mutex mutex;
    std::map<event_number, subject_map> numbers;
  };

  void RemoveExpired(subject_map& subjects, time_point now) const {
    std::erase_if(subjects, [&](const auto& item) {
      return item.second.repeated == 0 && now - item.second.logged >= interval_;
    });
  }

  duration interval_;
  std::size_t max_subjects_;
  std::array<shard, kShards> shards_;
};

event_log::event_log(event_log_options options) : options_(std::move(options)) {
  if (options_.out == nullptr) options_.out = &std::clog;
  if (!options_.now) {
    options_.now = [] {
      return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    };
  }
  if (!options_.wall_ms) {
    options_.wall_ms = [] {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
  }
  filter_ = std::make_unique<repeat_filter>(options_.repeat_interval, options_.max_subjects);
  sink_ = std::make_unique<sink>(options_.out, [this] { return SummaryLines(); });
}

event_log::~event_log() = default;

void event_log::Write(event_number number, std::span<const event_field> fields) {
  const event_description* row = FindEvent(number);
  if (row == nullptr || row->level < options_.min_severity) return;
  const auto checked = filter_->Check(number, SubjectOf(fields), options_.now());
  if (checked.log) {
    sink_->Add(FormatEvent(options_.wall_ms(), *row, fields, checked.repeated));
  }
}

void event_log::Write(event_number number, std::initializer_list<event_field> fields) {
  Write(number, std::span<const event_field>(fields.begin(), fields.size()));
}

bool event_log::Flush(std::chrono::milliseconds timeout) { return sink_->Flush(timeout); }

std::vector<std::string> event_log::SummaryLines() {
  std::vector<std::string> lines;
  const auto add = [&](event_number number, std::span<const event_field> fields,
                       std::uint64_t repeated) {
    lines.push_back(FormatEvent(options_.wall_ms(), *FindEvent(number), fields, repeated));
  };
  for (const auto& overdue : filter_->TakeOverdue(options_.now())) {
    const event_field subject{"subject", std::string_view(overdue.subject)};
    add(overdue.number, std::span(&subject, overdue.subject.empty() ? 0 : 1), overdue.repeated);
  }
  if (const std::uint64_t dropped = drop_and_count::Take(); dropped > 0) {
    const event_field count{"lines", dropped};
    add(event_number::kLogLinesDropped, std::span(&count, 1), 0);
  }
  return lines;
}

}  // namespace sycamorehinge
