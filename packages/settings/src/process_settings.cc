#include "sycamorehinge/settings/process_settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

#include "section_reader.h"
#include "sycamorehinge/settings/parameters.h"
#include "text_rules.h"

namespace sycamorehinge {

namespace {

constexpr std::size_t kMaxSettingsBytes = 1U << 20;

void ReadField(section_reader& reader, const parameter& row, std::string& out) {
  reader.Read(row.key, out, row.rule, row.required);
}
void ReadField(section_reader& reader, const parameter& row, duration& out) {
  reader.Read(row.key, out, row.least, row.most);
}
void ReadField(section_reader& reader, const parameter& row, std::vector<std::string>& out) {
  reader.Read(row.key, out, row.rule, row.required);
}
template <class Integer>
void ReadField(section_reader& reader, const parameter& row, Integer& out) {
  reader.ReadInteger(row.key, out, row.least, row.most, row.unit);
}

// Reads [[peers.list]] entries; `mistakes` receives their mistakes.
void ReadPeers(section_reader& reader, const parameter& row, mistake_list& mistakes,
               std::vector<peer_settings>& out) {
  for (const auto& [key, table] : reader.TakeTables(row.key)) {
    section_reader entry(*table, key, mistakes);
    peer_settings peer;
    entry.Read("name", peer.name.value, kName, true);
    entry.Read("address", peer.address, kPeerAddress, true);
    entry.Read("region", peer.region.value, kName, true);
    entry.Read("data_centre", peer.data_centre.value, kName, true);
    entry.Finish();
    const bool known = std::any_of(out.begin(), out.end(), [&peer](const peer_settings& other) {
      return other.name == peer.name || other.address == peer.address;
    });
    if (known && !peer.name.empty()) {
      entry.Report("name", errc::kDuplicateName, "another peer has this name or address");
    }
    out.push_back(std::move(peer));
  }
}

void CheckKey(section_reader& reader, const peers_section& peers) {
  const auto given = (peers.key.empty() ? 0 : 1) + (peers.key_file.empty() ? 0 : 1) +
                     (peers.key_env.empty() ? 0 : 1);
  if (given != 1) {
    reader.Report("key", errc::kMalformed, "expected exactly one of key, key_file and key_env");
  }
}

void CheckClaims(section_reader& reader, const claims_section& claims) {
  // One renewal may be lost without losing the claim.
  if (claims.renew * 2 > claims.ttl) {
    reader.Report("renew_ms", errc::kMalformed, "expected at most half of claims.ttl_ms");
  }
  // Tasks must survive the change of a claim's holder.
  if (claims.task_lease < claims.ttl * 2) {
    reader.Report("task_lease_ms", errc::kMalformed, "expected at least twice claims.ttl_ms");
  }
  if (claims.contact_ttl < claims.task_lease) {
    reader.Report("contact_ttl_ms", errc::kMalformed, "expected at least claims.task_lease_ms");
  }
}

void CheckHeartbeat(section_reader& reader, const heartbeat_section& heartbeat) {
  if (heartbeat.suspect < heartbeat.region * 2) {
    reader.Report("suspect_ms", errc::kMalformed, "expected at least twice heartbeat.region_ms");
  }
  if (heartbeat.suspect_elsewhere < heartbeat.elsewhere * 2) {
    reader.Report("suspect_elsewhere_ms", errc::kMalformed,
                  "expected at least twice heartbeat.elsewhere_ms");
  }
}

void CheckRegion(section_reader& reader, const process_settings& settings) {
  const std::vector<std::string>& regions = settings.partitions.regions;
  const std::string& region = settings.process.region.value;
  if (region.empty() || regions.empty()) return;
  if (std::find(regions.begin(), regions.end(), region) != regions.end()) return;
  const std::vector<std::string_view> known(regions.begin(), regions.end());
  reader.Report("region", errc::kMalformed, "expected one of partitions.regions",
                NearestName(region, known));
}

void CheckAccess(section_reader& reader, const access_section& access) {
  // Without tokens of operators, everyone who is no caller could still drain and promote.
  if (!access.callers.empty() && access.operators.empty()) {
    reader.Report("operators", errc::kMalformed,
                  "expected at least one source, since access.callers is restricted");
  }
}

// Checks that span several keys of one section; runs after all sections are read.
void CheckSection(std::string_view section, section_reader& reader,
                  const process_settings& settings) {
  if (section == "process") CheckRegion(reader, settings);
  if (section == "peers") CheckKey(reader, settings.peers);
  if (section == "claims") CheckClaims(reader, settings.claims);
  if (section == "access") CheckAccess(reader, settings.access);
  if (section == "heartbeat") CheckHeartbeat(reader, settings.heartbeat);
}

struct named_section {
  std::string_view name;
  section_reader reader;
};

// One reader for each section of the table; absent sections read as `nothing`.
std::vector<named_section> OpenSections(section_reader& root, const toml::table& nothing,
                                        mistake_list& mistakes) {
  std::vector<named_section> sections;
  for (const parameter& row : Parameters()) {
    if (!sections.empty() && sections.back().name == row.section) continue;
    const toml::table* table = root.TakeTable(row.section);
    sections.push_back({row.section, section_reader(table == nullptr ? nothing : *table,
                                                    std::string(row.section), mistakes)});
  }
  return sections;
}

void ReadSection(named_section& section, mistake_list& mistakes, process_settings& settings) {
  for (const parameter& row : Parameters()) {
    if (row.section != section.name) continue;
    std::visit(overloaded{[&](field_access<std::vector<peer_settings>> field) {
                            ReadPeers(section.reader, row, mistakes, field(settings));
                          },
                          [&](auto field) { ReadField(section.reader, row, field(settings)); }},
               row.field);
  }
  section.reader.Finish();
}

// Fills in what depends on other keys.
void Complete(process_settings& settings) {
  if (settings.platform.hosts_address.empty()) {
    settings.platform.hosts_address = settings.platform.log_address;
  }
  std::sort(settings.partitions.regions.begin(), settings.partitions.regions.end());
  std::erase_if(settings.peers.list, [&settings](const peer_settings& peer) {
    return peer.name == settings.process.name;
  });
}

}  // namespace

parsed<process_settings> ParseSettings(std::string_view text, std::string_view file) {
  mistake_list mistakes(file);
  const std::optional<toml::table> table = ParseToml(text, kMaxSettingsBytes, mistakes);
  if (!table) return mistakes.Take();
  const toml::table nothing;
  process_settings settings;
  section_reader root(*table, "", mistakes);
  std::vector<named_section> sections = OpenSections(root, nothing, mistakes);
  root.Finish();
  for (named_section& section : sections) ReadSection(section, mistakes, settings);
  for (named_section& section : sections) CheckSection(section.name, section.reader, settings);
  if (!mistakes.empty()) return mistakes.Take();
  Complete(settings);
  return settings;
}

parsed<process_settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::vector<mistake>{{path, 0, 0, "", errc::kMalformed, "cannot be read", ""}};
  // One byte above the limit is enough to refuse the file.
  std::string text(kMaxSettingsBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return ParseSettings(text, path);
}

secret_source PeerKeySource(const peers_section& peers) {
  if (!peers.key_file.empty()) return secret_in_file{peers.key_file};
  if (!peers.key_env.empty()) return secret_in_environment{peers.key_env};
  return secret_value{peers.key};
}

}  // namespace sycamorehinge
