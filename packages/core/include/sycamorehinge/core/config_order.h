// Applies the records of the `config` stream in order to get the documents in force. Every process
// applies the same records and so gets the same documents.
#ifndef SYCAMOREHINGE_CORE_CONFIG_ORDER_H_
#define SYCAMOREHINGE_CORE_CONFIG_ORDER_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// An operator's proposal in the stream. If it is accepted, its offset becomes its version.
struct config_record {
  environment_id environment;
  stage_name stage = stage_name::kTrial;
  // Version of the same environment and stage that the proposal replaces; 0 for none.
  std::uint64_t base = 0;
  // Non-zero in a restatement of a document in force: the version that the document keeps.
  std::uint64_t restated_version = 0;
  std::string author;
  std::string text;
  std::int64_t wall_ms = 0;
};

// A document that is or was in force.
struct config_version {
  std::uint64_t version = 0;
  std::uint64_t base = 0;
  std::string author;
  std::string text;
  std::int64_t wall_ms = 0;
};

struct config_key {
  environment_id environment;
  stage_name stage = stage_name::kTrial;
  friend auto operator<=>(const config_key&, const config_key&) = default;
};

// Outcome of applying one record.
enum class config_outcome { kAccepted, kConflict, kRestated, kStale };

struct config_decision {
  config_outcome outcome = config_outcome::kStale;
  // The document in force after the record; after a conflict, the one that was accepted before.
  config_version in_force;
};

class config_order {
 public:
  // Applies the record at `offset`. Records below the next expected offset are ignored (kStale).
  // Offsets start at 1; version 0 means "no document".
  config_decision Apply(std::uint64_t offset, const config_record& record);

  // Merges documents in force at a peer, where they are newer, and returns the keys that changed.
  std::vector<config_key> Merge(std::span<const std::pair<config_key, config_version>> documents,
                                std::uint64_t next_offset);

  // The document in force; null if there is none.
  const config_version* InForce(const config_key& key) const;
  // The last versions, newest first, at most kHistoryLength.
  std::vector<config_version> History(const config_key& key) const;
  std::vector<std::pair<config_key, config_version>> All() const;
  // The highest version of all documents in force; grows with every accepted record.
  std::uint64_t NewestVersion() const;
  std::uint64_t NextOffset() const { return next_offset_; }

  static constexpr std::size_t kHistoryLength = 32;

 private:
  std::map<config_key, std::vector<config_version>> versions_;
  std::uint64_t next_offset_ = 1;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_CONFIG_ORDER_H_
