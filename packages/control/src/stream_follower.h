// Follows a stream of the store: a snapshot of the newest record of each key, then every change.
#ifndef SYCAMOREHINGE_CONTROL_SRC_STREAM_FOLLOWER_H_
#define SYCAMOREHINGE_CONTROL_SRC_STREAM_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control {

struct follower_options {
  stream_name stream = stream_name::kConfig;
  // Long-poll time: the store may delay its answer this long while there is no change.
  duration max_wait{};
  // Delay between two reads.
  duration read_interval{};
};

struct follower_handlers {
  // Newest record of each key; keys that are missing have been removed.
  std::function<void(std::vector<stream_record>)> on_snapshot;
  std::function<void(stream_record)> on_change;
  // The store stopped or resumed answering.
  std::function<void(bool available)> on_availability;
};

// Handlers run on threads of the ports, one at a time, and none starts after Stop.
class stream_follower : public std::enable_shared_from_this<stream_follower> {
 public:
  stream_follower(const ports& port, follower_options options, follower_handlers handlers);

  void Start();
  void Stop();

 private:
  void Read();
  void OnPage(const result<stream_page>& page, bool snapshot);
  void OnSnapshotPage(const stream_page& page);
  void ReadAfter(duration delay);

  const ports& port_;
  const follower_options options_;
  const follower_handlers handlers_;

  std::mutex mutex_;
  bool stopped_ = false;
  bool available_ = true;
  duration backoff_{};
  read_position position_ = from_latest_values{};
  std::vector<stream_record> snapshot_;
  // End of the stream at the first page of the snapshot; changes are read from here.
  std::uint64_t snapshot_next_ = 0;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_STREAM_FOLLOWER_H_
