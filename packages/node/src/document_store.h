// The configuration shard: follows the `config` stream and holds the documents in force.
#ifndef SYCAMOREHINGE_NODE_SRC_DOCUMENT_STORE_H_
#define SYCAMOREHINGE_NODE_SRC_DOCUMENT_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "node_fwd.h"
#include "sycamorehinge/core/config_order.h"
#include "sycamorehinge/core/shard.h"

namespace sycamorehinge {

class document_store {
 public:
  explicit document_store(entry_node::parts& parts) : parts_(parts) {}

  // Reads the stream if a read is due; also restates the documents when that is due.
  void Tick(time_point now);
  // A peer knows a newer version: read now, or take it from the peer if the log is down.
  void NewerVersionAt(const process_id& peer, std::uint64_t version);
  void Propose(const config_record& record, std::function<void(const proposal_answer&)> reply);
  void Merge(const config_state& state);
  config_state State() const;

  // Null if no such environment is in force. Trial documents are named "NAME@trial".
  std::shared_ptr<const environment_document> Find(const environment_id& environment) const;
  std::vector<std::shared_ptr<const environment_document>> All() const;
  std::optional<config_version> InForce(const config_key& key) const;
  std::vector<config_version> History(const config_key& key) const;
  std::uint64_t NewestVersion() const;
  // True once the stream was read to its end or a peer gave its documents.
  bool Loaded() const;

 private:
  struct waiting_proposal {
    config_key key;
    std::function<void(const proposal_answer&)> reply;
  };
  struct state {
    config_order order;
    std::map<environment_id, std::shared_ptr<const environment_document>> parsed;
    // Proposals by the offset of their record, until the fold reaches it.
    std::map<std::uint64_t, waiting_proposal> proposals;
    bool loaded = false;
    bool reading = false;
    time_point next_read{};
    time_point next_restate{};
  };
  using notice = std::function<void()>;

  void Read();
  void OnPage(result<log_page> page);
  void Fold(state& s, const log_entry& entry, std::vector<notice>& out);
  void Adopt(state& s, const config_key& key, std::vector<notice>& out);
  void OnAppended(const config_key& key, std::function<void(const proposal_answer&)> reply,
                  const result<std::uint64_t>& offset);
  void Restate(time_point now);
  static void Deliver(notice& item) { item(); }

  entry_node::parts& parts_;
  shard<state, notice> shard_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_DOCUMENT_STORE_H_
