// Decides which requests a server takes and which connections it closes, so that callers who keep
// to no limits use a bounded part of its memory and of its connections.
//
// Answers many large bodies at once, requests that are sent slowly or never end, and answers that
// are not read. A body that arrives at an ordinary rate is never cut off.
#ifndef SYCAMOREHINGE_NET_REQUEST_BUDGET_H_
#define SYCAMOREHINGE_NET_REQUEST_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Limits of one request.
struct request_size_limits {
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_header_bytes = std::size_t{16} << 10;
  // From the request line to the end of the headers.
  duration header_timeout = std::chrono::seconds(20);
  // Without progress: between two requests, in a body, or with an answer that is not read.
  duration idle_timeout = std::chrono::seconds(120);
};

struct budget_options {
  // Bytes of all requests and answers that the server holds.
  std::size_t max_bytes = std::size_t{64} << 20;
  std::size_t max_connections = 1024;
};

using connection_id = std::uint64_t;

struct take_request {};
// The request is answered with this status, and its connection closed.
struct refuse_request {
  int status = 503;
  duration retry_after{};
};
// These connections are closed, and the request is taken.
struct make_room {
  std::vector<connection_id> close;
};
using request_decision = std::variant<take_request, refuse_request, make_room>;

struct overdue_connections {
  // No request was in progress.
  std::vector<connection_id> idle;
  // A request or an answer made no progress, or the connection gives way to others.
  std::vector<connection_id> stalled;
};

// Not thread-safe.
class request_budget {
 public:
  explicit request_budget(budget_options options) : options_(options) {}

  void SetLimits(const request_size_limits& limits) { limits_ = limits; }
  const request_size_limits& Limits() const { return limits_; }

  void OnConnected(connection_id id, time_point now);
  void OnClosed(connection_id id);
  void OnRequestLine(connection_id id, time_point now);
  // The headers are complete. `announced` is the length of the body, if the headers tell it. Room
  // for an announced body is kept from now on.
  request_decision OnHeaders(connection_id id, std::size_t header_bytes,
                             std::optional<std::size_t> announced, time_point now);
  // More of the body has arrived.
  request_decision OnBody(connection_id id, std::size_t bytes, time_point now);
  // The whole request has arrived and is worked on.
  void OnReceived(connection_id id, time_point now);
  void OnAnswer(connection_id id, std::size_t bytes, time_point now);
  // The answer was sent.
  void OnDone(connection_id id, time_point now);

  // Returns connections that have made no progress for too long, and, if most connections are in
  // use, those that have waited longest.
  overdue_connections Overdue(time_point now) const;

  std::size_t HeldBytes() const { return held_bytes_; }
  std::size_t Connections() const { return connections_.size(); }

 private:
  enum class phase { kIdle, kHeaders, kBody, kWork, kAnswer };
  struct connection_state {
    phase current = phase::kIdle;
    // Bytes that count against the budget, and those of the body that have arrived.
    std::size_t held = 0;
    std::size_t received = 0;
    time_point phase_began;
    time_point last_progress;
  };

  void Enter(connection_state& state, phase next, time_point now);
  void Hold(connection_state& state, std::size_t bytes);
  request_decision TakeBytes(connection_id id, std::size_t bytes, time_point now);
  bool IsSlowBody(const connection_state& state, time_point now) const;
  bool IsExpired(const connection_state& state, time_point now) const;

  const budget_options options_;
  request_size_limits limits_;
  std::unordered_map<connection_id, connection_state> connections_;
  std::size_t held_bytes_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_REQUEST_BUDGET_H_
