#include "sycamorehinge/net/request_budget.h"

#include <algorithm>
#include <tuple>

namespace sycamorehinge {

namespace {

// Memory of a request beside its body: headers, and what the handler keeps of it.
constexpr std::size_t kRequestBytes = std::size_t{4} << 10;
// A body that makes no progress for this long, or arrives more slowly than this after it, gives way
// to other requests if the budget is used up.
constexpr duration kStallTime = std::chrono::seconds(1);
constexpr double kMinBytesPerSecond = 16 * 1024;
constexpr duration kRetryAfter = std::chrono::milliseconds(1000);
// Connections are closed for others from this part of the limit on, down to the second one.
constexpr double kCrowded = 0.875;
constexpr double kUncrowded = 0.75;

}  // namespace

void request_budget::OnConnected(connection_id id, time_point now) {
  Enter(connections_[id], phase::kIdle, now);
}

void request_budget::OnClosed(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  held_bytes_ -= found->second.held;
  connections_.erase(found);
}

void request_budget::Enter(connection_state& state, phase next, time_point now) {
  state.current = next;
  state.phase_began = state.last_progress = now;
}

void request_budget::Hold(connection_state& state, std::size_t bytes) {
  held_bytes_ = held_bytes_ - state.held + bytes;
  state.held = bytes;
}

void request_budget::OnRequestLine(connection_id id, time_point now) {
  Enter(connections_[id], phase::kHeaders, now);
}

request_decision request_budget::OnHeaders(connection_id id, std::size_t header_bytes,
                                           std::optional<std::size_t> announced, time_point now) {
  if (header_bytes > limits_.max_header_bytes) return refuse_request{431, {}};
  if (announced && *announced > limits_.max_body_bytes) return refuse_request{413, {}};
  Enter(connections_[id], phase::kBody, now);
  connections_[id].received = 0;
  return TakeBytes(id, kRequestBytes + announced.value_or(0), now);
}

request_decision request_budget::OnBody(connection_id id, std::size_t bytes, time_point now) {
  connection_state& state = connections_[id];
  state.received += bytes;
  state.last_progress = now;
  if (state.received > limits_.max_body_bytes) return refuse_request{413, {}};
  const std::size_t needed = kRequestBytes + state.received;
  return needed <= state.held ? take_request{} : TakeBytes(id, needed - state.held, now);
}

// Keeps room for `bytes` more. If the budget is used up, stalled bodies give way, the largest
// first.
request_decision request_budget::TakeBytes(connection_id id, std::size_t bytes, time_point now) {
  connection_state& state = connections_[id];
  if (held_bytes_ + bytes <= options_.max_bytes) {
    Hold(state, state.held + bytes);
    return take_request{};
  }
  std::vector<std::pair<std::size_t, connection_id>> stalled;
  std::size_t available = options_.max_bytes - std::min(held_bytes_, options_.max_bytes);
  for (const auto& [other, row] : connections_) {
    if (other != id && row.held > 0 && IsSlowBody(row, now)) stalled.emplace_back(row.held, other);
  }
  std::sort(stalled.rbegin(), stalled.rend());
  make_room room;
  for (const auto& [held, other] : stalled) {
    if (available >= bytes) break;
    available += held;
    room.close.push_back(other);
  }
  if (available < bytes) return refuse_request{503, kRetryAfter};
  for (const connection_id other : room.close) Hold(connections_[other], 0);
  Hold(state, state.held + bytes);
  return room;
}

bool request_budget::IsSlowBody(const connection_state& state, time_point now) const {
  if (state.current != phase::kBody) return false;
  const duration open = now - state.phase_began;
  if (open < kStallTime) return false;
  const double rate =
      static_cast<double>(state.received) / std::chrono::duration<double>(open).count();
  return now - state.last_progress >= kStallTime || rate < kMinBytesPerSecond;
}

void request_budget::OnReceived(connection_id id, time_point now) {
  connection_state& state = connections_[id];
  Enter(state, phase::kWork, now);
  Hold(state, kRequestBytes + state.received);
}

void request_budget::OnAnswer(connection_id id, std::size_t bytes, time_point now) {
  connection_state& state = connections_[id];
  Enter(state, phase::kAnswer, now);
  Hold(state, bytes);
}

void request_budget::OnDone(connection_id id, time_point now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Hold(found->second, 0);
  Enter(found->second, phase::kIdle, now);
}

bool request_budget::IsExpired(const connection_state& state, time_point now) const {
  const duration silent = now - state.last_progress;
  switch (state.current) {
    case phase::kHeaders:
      return silent >= limits_.header_timeout;
    case phase::kIdle:
      // The first bytes of a request line are not seen as progress.
      return silent >= limits_.idle_timeout + limits_.header_timeout;
    case phase::kBody:
    case phase::kAnswer:
      return silent >= limits_.idle_timeout;
    case phase::kWork:
      return false;
  }
  return false;
}

overdue_connections request_budget::Overdue(time_point now) const {
  overdue_connections overdue;
  std::vector<std::pair<time_point, connection_id>> waiting;
  for (const auto& [id, state] : connections_) {
    const bool silent = state.current != phase::kWork && now - state.last_progress >= kStallTime;
    if (IsExpired(state, now)) {
      (state.current == phase::kIdle ? overdue.idle : overdue.stalled).push_back(id);
    } else if (silent || IsSlowBody(state, now)) {
      waiting.emplace_back(state.phase_began, id);
    }
  }
  const auto most = static_cast<double>(options_.max_connections);
  if (static_cast<double>(connections_.size()) < kCrowded * most) return overdue;
  std::size_t left = connections_.size() - overdue.idle.size() - overdue.stalled.size();
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [since, id] : waiting) {
    if (static_cast<double>(left) <= kUncrowded * most) break;
    overdue.stalled.push_back(id);
    --left;
  }
  return overdue;
}

}  // namespace sycamorehinge
