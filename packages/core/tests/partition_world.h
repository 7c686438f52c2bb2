// A small world around partitions for generated schedules: a log that loses answers, owners that
// crash or go on as replaced owners, hosts with terms, leases and tombstones, and a checker.
#ifndef SYCAMOREHINGE_CORE_TESTS_PARTITION_WORLD_H_
#define SYCAMOREHINGE_CORE_TESTS_PARTITION_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamorehinge/core/partition.h"

namespace sycamorehinge {

// A message in flight. Either it arrives, or its sender learns at most that it was lost.
struct test_message {
  std::function<void()> deliver;
  std::function<void()> lose;
};

struct test_attempt {
  attempt_fact fact = attempt_fact::kNever;
  time_point lease_until = time_point::max();
  // Request only.
  std::string key;
  int runner = -1;
};

struct test_host {
  host_id name;
  std::uint64_t term = 1;
  std::map<attempt_id, test_attempt> attempts;
};

// A process that owns the partition, or believes that it does.
struct test_owner {
  explicit test_owner(partition owned) : core(std::move(owned)) {}
  partition core;
  bool alive = true;
  std::uint64_t known_offset = 0;
  std::uint64_t durable = 0;
  std::uint64_t buffer_first = 1;
  std::vector<partition_record> buffer;
  std::optional<record_batch> in_flight;
  std::multimap<std::uint64_t, partition_effect> held;
  std::vector<work_item> wants;
};

// A keyed request as its caller sees it.
struct test_call {
  int owner = 0;
  std::string key;
  bool is_submit = false;
  bool answered = false;
  bool told_not_run = false;
  // Calls of the same key at the same owner that had arrived when "not run" was answered.
  std::set<call_number> earlier;
};

class partition_world {
 public:
  explicit partition_world(partition_options options);

  // Carries out one step of a schedule; any number is valid.
  void Step(std::uint32_t choice);
  // Ends all disturbances and lets the newest owner finish its work.
  void Drain();
  // Checks what must hold after Drain.
  void CheckEnd();

  const std::vector<std::string>& Violations() const { return violations_; }
  const std::vector<stored_batch>& Log() const { return log_; }
  test_owner& Newest() { return owners_.back(); }
  partition Replayed(std::size_t first) const;

 private:
  test_message TakeMessage(std::uint32_t choice);
  void Disturb(std::uint32_t kind, std::uint32_t choice);
  void Handle(int owner, const partition_event& event);
  void Perform(int owner, const partition_effect& effect);
  void Take();
  void Submit(std::uint32_t choice);
  void Request(std::uint32_t choice);
  void Cancel(std::uint32_t choice);
  void StartAppend(int owner);
  void Land(int owner, const record_batch& batch);
  void Acknowledge(int owner, std::uint64_t offset, std::uint64_t first_sequence);
  void AnswerWant(int owner, std::uint32_t choice);
  void Advance(duration by);
  void FinishOne(std::uint32_t choice);
  void LoseHost(test_host& host);
  void ChangeHolder(test_host& host);
  void LoseLater(int owner, const attempt_lost& lost, time_point due);
  void Start(int owner, const start_attempt& start);
  void Run(int owner, const run_request& run);
  void Void(int owner, const void_attempt& question);
  void Stop(const stop_attempt& stop);
  void Keep(const keep_attempt& keep);
  void Report(int owner, const test_host& host, const attempt_id& id, attempt_fact fact);
  void Reply(int owner, call_number call, errc code);
  void Violate(std::string text) { violations_.push_back(std::move(text)); }
  int SomeOwner(std::uint32_t choice) const;
  test_host& Host(const host_id& name);
  // Puts a message into the net whose loss its sender sees as an unreachable host.
  void Send(int owner, const attempt_id& id, bool is_request, std::function<void()> deliver);
  void CheckTwoRuns(const attempt_id& id);

  partition_options options_;
  time_point now_ = time_point(std::chrono::hours(1));
  std::vector<stored_batch> log_;
  bool log_up_ = true;
  std::deque<test_owner> owners_;
  std::vector<test_host> hosts_;
  std::vector<test_message> net_;
  std::map<call_number, test_call> calls_;
  std::set<job_id> accepted_;
  std::map<std::string, int> executions_;
  std::vector<std::string> violations_;
  call_number next_call_ = 1;
  std::uint64_t next_key_ = 1;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_TESTS_PARTITION_WORLD_H_
