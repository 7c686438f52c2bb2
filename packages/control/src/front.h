// Takes calls and brings each to the owner of the cell, wherever it is, until there is an answer or
// the caller's time is over. All calls may be repeated: the owner knows a job by its number.
#ifndef SYCAMOREHINGE_CONTROL_SRC_FRONT_H_
#define SYCAMOREHINGE_CONTROL_SRC_FRONT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/core/shard.h"

namespace sycamorehinge::control {

using peer_reply = std::function<void(peer_answer)>;

struct front_options {
  // Address of this process for calls between processes.
  std::string address;
  // Longest wait for one try; a silent connection costs no more than this.
  duration try_timeout = std::chrono::milliseconds(1200);
  // Pause before another try when no owner is known or it failed.
  duration retry_pause = std::chrono::milliseconds(60);
  // A call that was sent nowhere is refused after this long.
  duration hold = std::chrono::milliseconds(2000);
  // When refused callers may come back.
  duration retry_after = std::chrono::milliseconds(1000);
  // Without an answer of an owner for this long, the process should get no new connections.
  duration silence_limit = std::chrono::milliseconds(1500);
};

class front {
 public:
  // Hands a call to the owner in this process.
  using local_call = std::function<void(const peer_call&, peer_reply)>;

  // A call that ends without an answer of an owner, how long it was held, and whether an owner may
  // have acted on it.
  using unanswered_call =
      std::function<void(const peer_call&, errc, duration held, const owner_info&)>;

  front(const ports& port, front_options options, local_call local, unanswered_call unanswered);

  // Calls `reply` exactly once, at the latest at `deadline`.
  void Call(peer_call call, time_point deadline, peer_reply reply);
  // A newer owner is known; older news are ignored.
  void LearnOwner(const owner_info& owner);
  // The process at this address does not own the cell any more.
  void ForgetOwner(std::string_view address);
  owner_info Owner() const;
  // Other processes that may know the owner while the store does not answer.
  void SetPeers(std::vector<std::string> addresses);
  // Calls without an answer.
  std::size_t Open() const;
  // False while calls get no answer from any owner.
  bool Reachable() const;

 private:
  struct open_call {
    std::shared_ptr<const peer_call> call;
    time_point arrived;
    time_point deadline;
    peer_reply reply;
    // The owner may have acted on it.
    bool sent = false;
    bool trying = false;
    // Where the last try went.
    std::string tried;
  };
  struct table {
    owner_info owner;
    std::vector<std::string> peers;
    std::size_t next_peer = 0;
    std::unordered_map<std::uint64_t, open_call> calls;
    std::uint64_t next_call = 1;
    // First failure since the last answer; max() if there is none.
    time_point failing_since = time_point::max();
  };
  using effect = std::function<void()>;
  using effects = std::vector<effect>;

  void Change(const std::function<void(table&, effects&)>& change);
  void Try(table& state, std::uint64_t id, effects& out);
  void OnTried(std::uint64_t id, const result<peer_answer>& outcome);
  void RetryLater(std::uint64_t id, effects& out);
  void Retry(std::uint64_t id);
  void GiveUp(std::uint64_t id);
  void Finish(table& state, std::uint64_t id, peer_answer answer, effects& out);
  void Refuse(table& state, std::uint64_t id, errc code, effects& out);
  bool LearnInto(table& state, const owner_info& owner, effects& out);

  const ports& port_;
  const front_options options_;
  const local_call local_;
  const unanswered_call unanswered_;
  shard<table, effect> state_;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_FRONT_H_
