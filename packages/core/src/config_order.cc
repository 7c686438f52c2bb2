#include "sycamorehinge/core/config_order.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

std::uint64_t VersionInForce(const std::vector<config_version>& versions) {
  return versions.empty() ? 0 : versions.back().version;
}

void Append(std::vector<config_version>& versions, config_version version) {
  versions.push_back(std::move(version));
  if (versions.size() > config_order::kHistoryLength) versions.erase(versions.begin());
}

config_version MakeVersion(std::uint64_t version, const config_record& record) {
  return {version, record.base, record.author, record.text, record.wall_ms};
}

config_outcome ApplyRestatement(std::uint64_t offset, const config_record& record,
                                std::vector<config_version>& versions) {
  // A restatement always follows the record whose offset is the version.
  if (record.restated_version >= offset) return config_outcome::kStale;
  // A restatement may race with a newer document, which it must not replace.
  if (record.restated_version < VersionInForce(versions)) return config_outcome::kStale;
  if (record.restated_version > VersionInForce(versions)) {
    Append(versions, MakeVersion(record.restated_version, record));
  }
  return config_outcome::kRestated;
}

// A reader that starts after a gap left by log retention may not know the base, and then reports a
// conflict where other readers accept. It catches up with the next restatement. Accepting an
// unknown base instead could put a document in force that no other process has.
config_outcome ApplyProposal(std::uint64_t offset, const config_record& record,
                             std::vector<config_version>& versions) {
  if (record.base != VersionInForce(versions)) return config_outcome::kConflict;
  Append(versions, MakeVersion(offset, record));
  return config_outcome::kAccepted;
}

}  // namespace

config_decision config_order::Apply(std::uint64_t offset, const config_record& record) {
  const config_key key{record.environment, record.stage};
  config_decision decision;
  if (offset >= next_offset_) {
    next_offset_ = offset + 1;
    std::vector<config_version>& versions = versions_[key];
    decision.outcome = record.restated_version != 0 ? ApplyRestatement(offset, record, versions)
                                                    : ApplyProposal(offset, record, versions);
  }
  if (const config_version* in_force = InForce(key)) decision.in_force = *in_force;
  return decision;
}

std::vector<config_key> config_order::Merge(
    std::span<const std::pair<config_key, config_version>> documents, std::uint64_t next_offset) {
  std::vector<config_key> changed;
  for (const auto& [key, version] : documents) {
    std::vector<config_version>& versions = versions_[key];
    if (version.version <= VersionInForce(versions)) continue;
    Append(versions, version);
    changed.push_back(key);
  }
  next_offset_ = std::max(next_offset_, next_offset);
  return changed;
}

const config_version* config_order::InForce(const config_key& key) const {
  const auto found = versions_.find(key);
  if (found == versions_.end() || found->second.empty()) return nullptr;
  return &found->second.back();
}

std::vector<config_version> config_order::History(const config_key& key) const {
  const auto found = versions_.find(key);
  if (found == versions_.end()) return {};
  return {found->second.rbegin(), found->second.rend()};
}

std::vector<std::pair<config_key, config_version>> config_order::All() const {
  std::vector<std::pair<config_key, config_version>> documents;
  for (const auto& [key, versions] : versions_) {
    if (!versions.empty()) documents.emplace_back(key, versions.back());
  }
  return documents;
}

std::uint64_t config_order::NewestVersion() const {
  std::uint64_t newest = 0;
  for (const auto& [key, versions] : versions_) {
    newest = std::max(newest, VersionInForce(versions));
  }
  return newest;
}

}  // namespace sycamorehinge
