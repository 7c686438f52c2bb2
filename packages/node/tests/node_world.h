// Several entry nodes on one paused clock, with the platform's models at their ports.
//
// Everything happens in events ordered by time, on one thread. A paused node gets no event until
// it resumes; then it gets all that it missed, at once.
#ifndef SYCAMOREHINGE_NODE_TESTS_NODE_WORLD_H_
#define SYCAMOREHINGE_NODE_TESTS_NODE_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sycamorehinge/node/entry_node.h"
#include "sycamorehinge/testing/checker.h"
#include "sycamorehinge/testing/host_model.h"
#include "sycamorehinge/testing/log_model.h"

namespace sycamorehinge {

struct world_options {
  std::size_t nodes = 3;
  std::size_t workers = 4;
  std::size_t targets = 3;
  std::uint64_t seed = 1;
  duration service_time = std::chrono::milliseconds(5);
  partition_options partition;
};

class node_world {
 public:
  explicit node_world(world_options options);
  ~node_world();

  // Runs all events up to now + `step`.
  void Run(duration step);
  // Runs until `done` holds; false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& done, duration limit);
  // Starts the nodes and puts a document into force everywhere.
  void Boot();

  entry_node& Node(std::size_t index) { return *nodes_[index]->node; }
  void Pause(std::size_t index) { nodes_[index]->paused = true; }
  void Resume(std::size_t index);
  // The node dies without a word.
  void Kill(std::size_t index);
  // Messages between the two nodes are dropped while `cut`.
  void Cut(std::size_t a, std::size_t b, bool cut);

  testing::log_model& Log() { return log_; }
  testing::host_model& Host(const std::string& name) { return *hosts_.at(name).model; }
  // The host takes no calls and runs nothing any more.
  void KillHost(const std::string& name);
  void SetListed(const std::string& name, bool leaving) { hosts_.at(name).row.leaving = leaving; }
  // The next answers of hosts to starts and executes are lost after the call took effect.
  void LoseHostAnswers(std::size_t count) { lose_answers_ = count; }

  // Sends a request and returns where its answer will be; `key` empty for an idempotent one.
  std::shared_ptr<request_answer> Send(std::size_t node, const std::string& key,
                                       const std::string& body);
  std::shared_ptr<job_answer> Submit(std::size_t node, job_spec spec);
  static job_spec Job(const std::string& key, std::uint32_t tasks, duration run_time);
  // True once the answer has come.
  static bool Answered(const std::shared_ptr<request_answer>& answer) { return answer->call == 1; }
  static bool Answered(const std::shared_ptr<job_answer>& answer) { return answer->call == 1; }
  job_state StateOf(const job_id& job);

  // Starts on the host since `when`.
  std::size_t StartsOn(const std::string& host, time_point when);
  time_point Now() const { return now_; }
  // Starts on hosts of a key (empty: of all tasks of jobs).
  std::size_t Starts(const std::string& key);
  testing::check_report Check();

 private:
  struct hosted {
    listed_host row;
    std::unique_ptr<testing::host_model> model;
    bool dead = false;
  };
  struct running_node {
    std::unique_ptr<entry_node> node;
    bool paused = false;
    bool dead = false;
    std::vector<std::function<void()>> missed;
  };
  using work = std::function<void()>;

  void At(time_point when, work event);
  // Runs `event` on behalf of a node, after `delay`.
  void For(std::size_t node, duration delay, work event);
  ports PortsOf(std::size_t index);
  void AddHost(host_kind kind, std::size_t index);
  node_options OptionsOf(std::size_t index) const;
  void CallHost(std::size_t node, const listed_host& row, const host_call& call,
                completion<host_answer> done);
  void Execute(std::size_t node, hosted& host, const execute_call& call,
               completion<host_answer> done);
  void Answer(std::size_t node, const completion<host_answer>& done,
              const result<host_answer>& answer, bool may_lose);
  void Deliver(std::size_t from, const process_id& to, work event);
  std::size_t IndexOf(const process_id& process) const;

  world_options options_;
  time_point now_{std::chrono::hours(1)};
  std::multimap<time_point, work> events_;
  testing::log_model log_;
  std::map<std::string, hosted> hosts_;
  std::vector<std::unique_ptr<running_node>> nodes_;
  std::map<std::pair<std::size_t, std::size_t>, bool> cut_;
  std::size_t lose_answers_ = 0;
  std::vector<testing::history_event> history_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_TESTS_NODE_WORLD_H_
