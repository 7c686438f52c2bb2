// Sends work that finds no local room to peers.
#ifndef SYCAMOREHINGE_NODE_SRC_OVERFLOW_H_
#define SYCAMOREHINGE_NODE_SRC_OVERFLOW_H_

#include <mutex>
#include <unordered_map>
#include <vector>

#include "node_fwd.h"
#include "pool_set.h"

namespace sycamorehinge {

class overflow_router {
 public:
  explicit overflow_router(entry_node::parts& parts) : parts_(parts) {}

  // The item waits in the pool `key`; moves it to a peer with room if there is one.
  void Ask(const pool_key& key, const work_item& item, const work_owner& owner);

 private:
  // Peers that refused an item lately, so that the next question goes to another one.
  struct asked {
    std::vector<process_id> refused;
    bool waiting = false;
  };

  void AskForRoom(const pool_key& key, const work_item& item, const process_id& peer,
                  partition_number partition);
  void OnRoom(const work_item& item, const process_id& peer, partition_number partition, errc code,
              const std::vector<placement>& places);
  std::vector<process_id> PeersFor(const pool_key& key, const work_item& item,
                                   std::span<const process_id> refused) const;

  entry_node::parts& parts_;
  std::mutex mutex_;
  std::unordered_map<attempt_id, asked> asked_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_OVERFLOW_H_
