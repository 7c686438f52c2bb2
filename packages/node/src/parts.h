// The parts of an entry node and what they share.
#ifndef SYCAMOREHINGE_NODE_SRC_PARTS_H_
#define SYCAMOREHINGE_NODE_SRC_PARTS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <random>

#include "call_table.h"
#include "document_store.h"
#include "host_claims.h"
#include "members.h"
#include "overflow.h"
#include "partition_set.h"
#include "peer_link.h"
#include "pool_set.h"
#include "request_runner.h"
#include "sycamorehinge/node/entry_node.h"

namespace sycamorehinge {

// A caller's keyed request that waits for its partition, here or at the partition's owner.
struct keyed_call {
  caller_request request;
  answer_function reply;
};

struct entry_node::parts {
  parts(node_options node, ports outside, node_observer watcher)
      : options(std::move(node)), port(std::move(outside)), observer(watcher) {}

  time_point Now() const { return port.now(); }
  // Runs the function later unless the node has stopped by then.
  void At(time_point when, std::function<void()> work);
  void Event(event_number number, std::initializer_list<event_field> fields) const {
    if (observer.events != nullptr) observer.events->Write(number, fields);
  }
  void Record(latency kind, const tenant_id& tenant, const class_id& work_class,
              duration time) const {
    if (observer.numbers != nullptr) {
      observer.numbers->Record(kind, tenant.value, work_class.value, time);
    }
  }
  void Count(work_event kind, const tenant_id& tenant, const class_id& work_class) const {
    if (observer.numbers != nullptr) {
      observer.numbers->Count(kind, tenant.value, work_class.value);
    }
  }
  std::uint64_t Random();

  const node_options options;
  const ports port;
  const node_observer observer;

  std::atomic<bool> stopped = false;
  std::atomic<bool> draining = false;

  call_table<job_function> job_calls;
  call_table<keyed_call> keyed_calls;

  members alive{*this};
  document_store documents{*this};
  pool_set pools{*this};
  host_claims claims{*this};
  partition_set partitions{*this};
  request_runner requests{*this};
  overflow_router overflow{*this};
  peer_link peers{*this};

 private:
  std::mutex random_mutex_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_PARTS_H_
