// What the stand-ins and the callers saw, as JSON lines that the checker reads back.
#ifndef SYCAMOREHINGE_TESTING_HISTORY_H_
#define SYCAMOREHINGE_TESTING_HISTORY_H_

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::testing {

// Each event lists its fields once in Describe, for writing and for reading.

// --- events of the platform ---

struct host_present {
  static constexpr std::string_view kName = "host_present";
  std::string host;
  resources capacity;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("capacity", capacity);
  }
};
struct leaving_changed {
  static constexpr std::string_view kName = "leaving_changed";
  std::string host;
  bool leaving = false;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("leaving", leaving);
  }
};
// A claim with a new term; renewals are not recorded.
struct claim_taken {
  static constexpr std::string_view kName = "claim_taken";
  std::string host;
  std::string holder;
  std::uint64_t term = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("holder", holder);
    archive("term", term);
  }
};
// A task or request began to run. `content` is the StableHash of its payload or body.
struct attempt_started {
  static constexpr std::string_view kName = "attempt_started";
  std::string host;
  std::string attempt;
  std::string key;
  std::uint64_t term = 0;
  std::uint64_t content = 0;
  resources size;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("attempt", attempt);
    archive("key", key);
    archive("term", term);
    archive("content", content);
    archive("size", size);
  }
};
struct attempt_ended {
  static constexpr std::string_view kName = "attempt_ended";
  std::string host;
  std::string attempt;
  // succeeded, failed, lapsed or stopped.
  std::string state;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("attempt", attempt);
    archive("state", state);
  }
};
// The host promised that the attempt will never start on it.
struct attempt_voided {
  static constexpr std::string_view kName = "attempt_voided";
  std::string host;
  std::string attempt;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("attempt", attempt);
  }
};
struct start_refused {
  static constexpr std::string_view kName = "start_refused";
  std::string host;
  std::string attempt;
  std::string error;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("attempt", attempt);
    archive("error", error);
  }
};
// The host accepted a start beyond its capacity.
struct host_overfilled {
  static constexpr std::string_view kName = "host_overfilled";
  std::string host;
  std::string attempt;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("host", host);
    archive("attempt", attempt);
  }
};
// Counters of the platform, written at its end.
struct platform_totals {
  static constexpr std::string_view kName = "platform_totals";
  std::uint64_t appends = 0;
  std::uint64_t append_bytes = 0;
  std::uint64_t reads = 0;
  std::uint64_t read_bytes = 0;
  std::uint64_t host_calls = 0;
  std::uint64_t host_bytes = 0;
  std::uint64_t claim_calls = 0;
  std::uint64_t claim_bytes = 0;
  std::uint64_t start_calls = 0;
  std::uint64_t execute_calls = 0;
  std::uint64_t void_calls = 0;
  std::uint64_t stop_calls = 0;
  std::uint64_t list_calls = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("appends", appends);
    archive("append_bytes", append_bytes);
    archive("reads", reads);
    archive("read_bytes", read_bytes);
    archive("host_calls", host_calls);
    archive("host_bytes", host_bytes);
    archive("claim_calls", claim_calls);
    archive("claim_bytes", claim_bytes);
    archive("start_calls", start_calls);
    archive("execute_calls", execute_calls);
    archive("void_calls", void_calls);
    archive("stop_calls", stop_calls);
    archive("list_calls", list_calls);
  }
};

// --- events of callers ---

// One sending of a request; retries of one request share `request`.
struct request_sent {
  static constexpr std::string_view kName = "request_sent";
  std::string request;
  std::string entry;
  std::string key;
  std::string work_class;
  bool idempotent = true;
  // StableHash of the body.
  std::uint64_t content = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("request", request);
    archive("entry", entry);
    archive("key", key);
    archive("class", work_class);
    archive("idempotent", idempotent);
    archive("content", content);
  }
};
// Answer to the latest sending of the request to `entry`.
struct request_answered {
  static constexpr std::string_view kName = "request_answered";
  std::string request;
  std::string entry;
  // done, not_run, unknown, failed, cut (connection lost before the answer was whole) or refused
  // (no connection).
  std::string outcome;
  std::string error;
  // StableHash of the answer that the request calls for, and of the one that came.
  std::uint64_t expected = 0;
  std::uint64_t received = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("request", request);
    archive("entry", entry);
    archive("outcome", outcome);
    archive("error", error);
    archive("expected", expected);
    archive("received", received);
  }
};
// One sending of a job; retries share `request`.
struct job_sent {
  static constexpr std::string_view kName = "job_sent";
  std::string request;
  std::string entry;
  std::string key;
  std::string work_class;
  std::string kind;
  std::uint32_t tasks = 1;
  bool idempotent = true;
  // StableHash of the payload.
  std::uint64_t content = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("request", request);
    archive("entry", entry);
    archive("key", key);
    archive("class", work_class);
    archive("kind", kind);
    archive("tasks", tasks);
    archive("idempotent", idempotent);
    archive("content", content);
  }
};
struct job_answered {
  static constexpr std::string_view kName = "job_answered";
  std::string request;
  std::string entry;
  // accepted, or as in request_answered.
  std::string outcome;
  std::string error;
  std::string job;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("request", request);
    archive("entry", entry);
    archive("outcome", outcome);
    archive("error", error);
    archive("job", job);
  }
};
// State of an accepted job as some entry process reported it.
struct job_seen {
  static constexpr std::string_view kName = "job_seen";
  std::string job;
  // queued, running, succeeded, failed, cancelled, unknown_job or unreachable.
  std::string state;
  std::string error;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("job", job);
    archive("state", state);
    archive("error", error);
  }
};
struct job_cancel_sent {
  static constexpr std::string_view kName = "job_cancel_sent";
  std::string job;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("job", job);
  }
};

// --- events of operators and scripts ---

struct process_changed {
  static constexpr std::string_view kName = "process_changed";
  // Name of the process, and its address as callers use it.
  std::string process;
  std::string entry;
  // started, stopping (graceful stop asked), killed (any unclean end) or gone.
  std::string change;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("process", process);
    archive("entry", entry);
    archive("change", change);
  }
};
struct document_accepted {
  static constexpr std::string_view kName = "document_accepted";
  // Environment and stage, for example "sutepuu/production".
  std::string document;
  std::uint64_t version = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("document", document);
    archive("version", version);
  }
};
// A version that a process reported as in force.
struct document_seen {
  static constexpr std::string_view kName = "document_seen";
  std::string document;
  // Address of the process, as in process_changed.
  std::string entry;
  std::uint64_t version = 0;
  template <class Archive>
  void Describe(Archive& archive) {
    archive("document", document);
    archive("entry", entry);
    archive("version", version);
  }
};

using event_body =
    std::variant<host_present, leaving_changed, claim_taken, attempt_started, attempt_ended,
                 attempt_voided, start_refused, host_overfilled, platform_totals, request_sent,
                 request_answered, job_sent, job_answered, job_seen, job_cancel_sent,
                 process_changed, document_accepted, document_seen>;

// CLOCK_MONOTONIC orders events of all processes of one machine.
struct history_event {
  time_point at;
  event_body body;
};

time_point MonotonicNow();

// One line without the line end.
std::string EncodeEvent(const history_event& event);
result<history_event> DecodeEvent(std::string_view line);

// Appends events to a file; safe to use from several threads.
class history_writer {
 public:
  // An empty path gives a writer that drops all events.
  static result<std::shared_ptr<history_writer>> Open(const std::string& path);
  ~history_writer();
  history_writer(const history_writer&) = delete;
  history_writer& operator=(const history_writer&) = delete;

  void Write(const history_event& event);
  void Flush();

 private:
  explicit history_writer(std::FILE* file) : file_(file) {}

  std::mutex mutex_;
  std::FILE* file_;
};

// Adds all events of the file. An unfinished last line, as a killed writer leaves it, is skipped.
errc ReadHistory(const std::string& path, std::vector<history_event>& events, std::string& detail);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_HISTORY_H_
