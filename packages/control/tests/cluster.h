// Several control nodes on one fake store, on a simulated clock.
#ifndef SYCAMOREHINGE_CONTROL_TESTS_CLUSTER_H_
#define SYCAMOREHINGE_CONTROL_TESTS_CLUSTER_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fake_store.h"
#include "sycamorehinge/control/control_node.h"

namespace sycamorehinge::control::testing {

using std::chrono::seconds;

class cluster {
 public:
  explicit cluster(int processes) {
    store.Put(stream_name::kConfig, "config", "3");
    store.Put(stream_name::kHosts, "h1", "host:1");
    for (int i = 0; i < processes; ++i) Start(i);
  }

  void Start(int number) {
    const std::string name = "p" + std::to_string(number);
    Start(name, name);
  }
  // Starts a process on the machine `name`; `process` identifies it in the store.
  void Start(const std::string& process, const std::string& name) {
    control_options options;
    options.self = {0, name, name + ":1", {"r"}, {"d"}};
    if (const auto found = processor_cores.find(process); found != processor_cores.end()) {
      options.membership.processor_cores = found->second;
    }
    nodes[process] =
        std::make_unique<control_node>(options, store.PortsOf(process), control_observer{});
    control_node* node = nodes[process].get();
    store.peers[name + ":1"] = [node](const peer_call& call, auto reply) {
      node->OnPeerCall(call, reply);
    };
    node->Start();
  }
  // Ends the process as a crash would: none of its calls arrives any more.
  void Kill(const std::string& name) { Kill(name, name); }
  void Kill(const std::string& process, const std::string& machine) {
    store.crashed.insert(process);
    store.peers.erase(machine + ":1");
    nodes.at(process)->Drain();
  }
  // Pauses the process for a time, as SIGSTOP and SIGCONT would.
  void Pause(const std::string& process, const std::string& machine, duration time) {
    store.paused_until[process] = store.now + time;
    store.paused_until[machine + ":1"] = store.now + time;
  }
  std::string OwnerName() const {
    std::string owner;
    for (const auto& [name, node] : nodes) {
      if (node->Summary().owns_cell) owner += name;
    }
    return owner;
  }
  errc Call(const std::string& name, cell_call call, duration wait = seconds(3)) {
    errc code = errc::kInternal;
    nodes[name]->Call(std::move(call), store.now + wait,
                      [&code](const peer_answer& answer) { code = answer.code; });
    store.Run(wait + milliseconds(10));
    return code;
  }

  fake_store store;
  // By process; 1 by default.
  std::map<std::string, double> processor_cores;
  std::map<std::string, std::unique_ptr<control_node>> nodes;
};

inline std::string MemberName(const std::string& machine) {
  return FormatMemberName({0, machine, machine + ":1", {"r"}, {"d"}});
}

inline submit_call Job(cell::job_number number) {
  submit_call call;
  call.job = number;
  call.queue = "q";
  cell::step_spec step;
  step.size = {1000, 100, 0, 0};
  call.spec.steps.push_back(step);
  return call;
}

}  // namespace sycamorehinge::control::testing

#endif  // SYCAMOREHINGE_CONTROL_TESTS_CLUSTER_H_
