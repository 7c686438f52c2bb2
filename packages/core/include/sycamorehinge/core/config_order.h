// Folds the `config` stream into the documents in force; the same fold runs in every process.
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

// A proposal of an operator as appended to the stream. Its version is its offset.
struct config_record {
  environment_id environment;
  stage_name stage = stage_name::kTrial;
  // Version of the same environment and stage that the proposal replaces; 0 for none.
  std::uint64_t base = 0;
  // Non-zero in a restatement: the version that the document already has.
  std::uint64_t restated_version = 0;
  std::string author;
  std::string text;
  std::int64_t wall_ms = 0;
};

// A document in force, or one that was.
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

// What became of one record.
enum class config_verdict { kAccepted, kConflict, kRestated, kStale };

struct config_decision {
  config_verdict verdict = config_verdict::kStale;
  // The document in force after the record: of a conflict, the winner.
  config_version in_force;
};

class config_order {
 public:
  // Applies the record at `offset`. Offsets below the next expected one are ignored (kStale).
  // Offsets start at 1, so version 0 means "no document".
  config_decision Apply(std::uint64_t offset, const config_record& record);

  // Takes over documents of a peer; only versions newer than those in force count.
  // Returns the keys that changed.
  std::vector<config_key> Merge(std::span<const std::pair<config_key, config_version>> documents,
                                std::uint64_t next_offset);

  // Null if there is none.
  const config_version* InForce(const config_key& key) const;
  // Newest first, at most kHistoryLength versions.
  std::vector<config_version> History(const config_key& key) const;
  std::vector<std::pair<config_key, config_version>> All() const;
  // Sum that grows with every accepted record: the largest version in force.
  std::uint64_t NewestVersion() const;
  std::uint64_t NextOffset() const { return next_offset_; }

  static constexpr std::size_t kHistoryLength = 32;

 private:
  std::map<config_key, std::vector<config_version>> versions_;
  std::uint64_t next_offset_ = 1;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_CONFIG_ORDER_H_
