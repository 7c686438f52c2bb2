// Requests of callers: routes them, runs those without a key, retries within the budget.
#ifndef SYCAMOREHINGE_NODE_SRC_REQUEST_RUNNER_H_
#define SYCAMOREHINGE_NODE_SRC_REQUEST_RUNNER_H_

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "host_claims.h"
#include "node_fwd.h"
#include "sycamorehinge/core/retry.h"

namespace sycamorehinge {

class request_runner {
 public:
  explicit request_runner(entry_node::parts& parts);

  void FromCaller(caller_request request, answer_function reply);
  // A peer sent the request here: it is not sent on to a third process.
  void FromPeer(caller_request request, answer_function reply);

  // --- from the pools ---
  void Placed(std::uint64_t request, const work_item& item, const placement& place);
  void Refused(std::uint64_t request, errc reason, duration retry_after);
  void Forward(std::uint64_t request, const process_id& peer);

  std::size_t InFlight() const { return in_flight_; }

 private:
  struct request_state {
    caller_request request;
    answer_function reply;
    time_point deadline;
    time_point arrived;
    std::uint32_t attempt = 0;
    bool may_forward = true;
    std::vector<host_id> avoid;
  };
  struct request_shard {
    std::mutex mutex;
    std::unordered_map<std::uint64_t, request_state> requests;
  };
  static constexpr std::size_t kShards = 8;

  request_shard& Shard(std::uint64_t number) { return shards_[number % kShards]; }
  void Accept(caller_request request, answer_function reply, bool may_forward);
  void RunKeyed(caller_request request, answer_function reply, bool may_forward,
                time_point deadline);
  void RunKeyedHere(partition_number partition, caller_request request, answer_function reply,
                    time_point deadline);
  void RunUnkeyed(caller_request request, answer_function reply, bool may_forward);
  void SendKeyed(const process_id& owner, const caller_request& request, answer_function reply,
                 time_point deadline);
  void Offer(std::uint64_t number);
  void Finish(std::uint64_t number, const request_answer& answer);
  void OnExecuted(std::uint64_t number, const host_id& host, const execute_outcome& outcome);
  // True if another attempt was scheduled.
  bool Retry(std::uint64_t number, const host_id& host);
  bool TakeRetry(const environment_id& environment);
  void CountFirstAttempt(const environment_id& environment);

  entry_node::parts& parts_;
  std::atomic<std::uint64_t> last_{0};
  std::atomic<std::size_t> in_flight_{0};
  std::array<request_shard, kShards> shards_;
  std::mutex budget_mutex_;
  std::map<environment_id, retry_budget> budgets_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_REQUEST_RUNNER_H_
