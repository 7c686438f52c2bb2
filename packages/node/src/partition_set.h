// All partitions as this process sees them: routes jobs to their owners, answers callers.
#ifndef SYCAMOREHINGE_NODE_SRC_PARTITION_SET_H_
#define SYCAMOREHINGE_NODE_SRC_PARTITION_SET_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "call_table.h"
#include "host_claims.h"
#include "node_fwd.h"
#include "partition_runner.h"
#include "sycamorehinge/core/membership.h"

namespace sycamorehinge {

class partition_set {
 public:
  explicit partition_set(entry_node::parts& parts);

  void Tick(time_point now);
  void Handle(partition_number partition, const partition_event& event);
  void DocumentChanged(const std::shared_ptr<const environment_document>& document);
  void RetireAll();

  bool IsOwner(partition_number partition) const;
  std::vector<owned_partition> Owned() const;
  // Highest epoch that a live peer claims for the partition.
  std::uint64_t KnownEpoch(partition_number partition) const;
  // Notes that a peer's heartbeat names it as owner.
  void RecordHeartbeat(const process_status& status);

  // --- jobs; `may_forward` is false for calls that a peer sent here ---
  void Submit(job_spec spec, bool may_forward, job_function reply);
  void Cancel(const job_id& job, bool may_forward, job_function reply);
  void Status(const job_id& job, duration wait, bool may_forward, job_function reply);
  std::optional<job_status> FindJob(const job_id& job) const;
  std::vector<job_status> Jobs() const;

  // --- effects of the runners ---
  void Void(const void_attempt& effect);
  void Run(const run_request& effect);
  void ReplyJob(call_number call, const job_id& job);
  void ReplyAnswer(call_number call, errc code, std::string detail, duration retry_after,
                   std::string answer);
  void ReplyError(call_number call, errc code, std::string detail, duration retry_after);
  void JobEnded(const job_id& job);
  // A host said what became of a voided attempt; goes to the partition's owner.
  void ReportVoided(const attempt_id& id, const host_id& host, std::uint64_t term,
                    attempt_fact fact, const std::string& answer);

  // A holder reports an attempt; of a request on a target, the answer comes with it.
  void Reported(const task_report& report, const process_id& from);

  // When the next append may be sent, within the budget of appends.
  time_point NextAppendTime();

 private:
  partition_runner* Find(partition_number partition) const;
  partition_number PartitionOfSpec(const job_spec& spec) const;
  template <class Question>
  void Route(partition_number partition, bool may_forward, Question question, time_point give_up,
             job_function reply);
  template <class Question>
  void RouteLater(partition_number partition, Question question, time_point give_up,
                  job_function reply);
  template <class Question>
  void SendTo(const process_id& owner, partition_number partition, Question question,
              time_point give_up, job_function reply);
  void RunHere(const forward_submit& question, job_function reply);
  void RunHere(const forward_cancel& question, job_function reply);
  void RunHere(const forward_status& question, job_function reply);
  void OnExecuted(const attempt_id& id, partition_number partition, const execute_outcome& outcome);

  struct waiter {
    job_id job;
    job_function reply;
  };

  entry_node::parts& parts_;
  std::vector<std::unique_ptr<partition_runner>> runners_;
  mutable std::mutex mutex_;
  std::map<partition_number, std::uint64_t> heard_;
  std::multimap<job_id, std::uint64_t> waiting_;
  call_table<waiter> waiters_;
  time_point next_append_{};
  std::uint64_t voids_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_PARTITION_SET_H_
