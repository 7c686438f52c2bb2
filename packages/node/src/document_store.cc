#include "document_store.h"

#include <charconv>

#include "parts.h"
#include "sycamorehinge/wire/codec.h"

namespace sycamorehinge {

namespace {

constexpr std::string_view kConfigStream = "config";
constexpr std::uint32_t kPageEntries = 256;
// With a read every second and heartbeats that tell of newer versions, a document is in force
// everywhere well within the target of 2 s.
constexpr duration kReadInterval = std::chrono::seconds(1);
constexpr duration kRetryInterval = std::chrono::seconds(1);

environment_id NameInForce(const config_key& key) {
  if (key.stage == stage_name::kProduction) return key.environment;
  return {key.environment.value + "@trial"};
}

std::uint64_t NumberIn(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

void document_store::Tick(time_point now) {
  bool read = false;
  bool restate = false;
  shard_.Apply(
      [&](state& s, std::vector<notice>&) {
        read = !s.reading && now >= s.next_read;
        if (read) s.reading = true;
        if (s.next_restate == time_point{}) s.next_restate = now + parts_.options.restate;
        restate = now >= s.next_restate;
        if (restate) s.next_restate = now + parts_.options.restate;
      },
      Deliver);
  if (read) Read();
  if (restate) Restate(now);
}

void document_store::Read() {
  const std::uint64_t from = shard_.View([](const state& s) { return s.order.NextOffset(); });
  parts_.port.read(kConfigStream, from, kPageEntries,
                   [this](result<log_page> page) { OnPage(std::move(page)); });
}

void document_store::OnPage(result<log_page> page) {
  bool more = false;
  shard_.Apply(
      [&](state& s, std::vector<notice>& out) {
        const time_point now = parts_.Now();
        s.reading = false;
        s.next_read = now + (page ? kReadInterval : kRetryInterval);
        if (!page) {
          // Older records were restated before the log forgot them, so skipping loses nothing.
          if (page.code() == errc::kOffsetForgotten) {
            s.order.Merge({}, NumberIn(page.detail()));
            s.next_read = now;
          }
          return;
        }
        for (const log_entry& entry : page->entries) Fold(s, entry, out);
        more = s.order.NextOffset() < page->next && !page->entries.empty();
        if (more) s.reading = true;
        if (!more) s.loaded = true;
      },
      Deliver);
  if (more) Read();
}

void document_store::Fold(state& s, const log_entry& entry, std::vector<notice>& out) {
  const result<config_record> record = DecodeConfig(entry.bytes);
  if (!record) {
    // A record that no process can read is skipped by all of them alike.
    s.order.Merge({}, entry.offset + 1);
    parts_.Event(
        event_number::kRecordMalformed,
        {{"stream", kConfigStream}, {"offset", entry.offset}, {"error", ErrorName(record.code())}});
    return;
  }
  const config_key key{record->environment, record->stage};
  const config_decision decision = s.order.Apply(entry.offset, *record);
  if (decision.outcome == config_outcome::kAccepted ||
      decision.outcome == config_outcome::kRestated) {
    Adopt(s, key, out);
  }
  const auto waiting = s.proposals.find(entry.offset);
  if (waiting == s.proposals.end()) return;
  proposal_answer answer;
  answer.version = decision.in_force;
  if (decision.outcome != config_outcome::kAccepted) {
    answer.code = errc::kVersionConflict;
    answer.detail = "version " + std::to_string(decision.in_force.version) + " by " +
                    decision.in_force.author + " is in force";
  }
  out.push_back([reply = std::move(waiting->second.reply), answer] { reply(answer); });
  s.proposals.erase(waiting);
}

void document_store::Adopt(state& s, const config_key& key, std::vector<notice>& out) {
  const config_version* version = s.order.InForce(key);
  if (version == nullptr) return;
  result<environment_document> document = parts_.options.parse_document(version->text);
  if (!document) {
    parts_.Event(event_number::kDocumentInvalid,
                 {{"environment", key.environment.value}, {"detail", document.detail()}});
    return;
  }
  document->name = NameInForce(key);
  auto shared = std::make_shared<const environment_document>(std::move(*document));
  s.parsed[shared->name] = shared;
  out.push_back([this, shared, number = version->version] {
    parts_.Event(event_number::kDocumentInForce,
                 {{"environment", shared->name.value}, {"version", number}});
    parts_.pools.RulesChanged(shared);
    parts_.partitions.DocumentChanged(shared);
  });
}

void document_store::NewerVersionAt(const process_id& peer, std::uint64_t version) {
  if (version <= NewestVersion()) return;
  bool read = false;
  shard_.Apply(
      [&](state& s, std::vector<notice>&) {
        read = !s.reading;
        s.reading = true;
      },
      Deliver);
  if (read) Read();
  parts_.peers.Send(peer, config_fetch{});
}

void document_store::Propose(const config_record& record,
                             std::function<void(const proposal_answer&)> reply) {
  const result<environment_document> document = parts_.options.parse_document(record.text);
  if (!document) {
    reply({document.code(), std::string(document.detail()), {}});
    return;
  }
  const config_key key{record.environment, record.stage};
  parts_.port.append(kConfigStream, EncodeConfig(record),
                     [this, key, reply = std::move(reply)](const result<std::uint64_t>& offset) {
                       OnAppended(key, reply, offset);
                     });
}

void document_store::OnAppended(const config_key& key,
                                std::function<void(const proposal_answer&)> reply,
                                const result<std::uint64_t>& offset) {
  if (!offset) {
    const bool unknown = offset.code() == errc::kTimeout;
    reply({unknown ? errc::kOutcomeUnknown : offset.code(),
           unknown ? "the log did not answer; read the version in force before trying again" : "",
           {}});
    return;
  }
  bool read = false;
  shard_.Apply(
      [&](state& s, std::vector<notice>& out) {
        if (s.order.NextOffset() > *offset) {
          // The reader was faster than the append's answer: the fold has decided already.
          const config_version* in_force = s.order.InForce(key);
          proposal_answer answer;
          if (in_force != nullptr) answer.version = *in_force;
          bool accepted = false;
          for (const config_version& past : s.order.History(key)) {
            if (past.version == *offset) accepted = true;
          }
          if (!accepted) answer.code = errc::kVersionConflict;
          out.push_back([reply, answer] { reply(answer); });
          return;
        }
        s.proposals.emplace(*offset, waiting_proposal{key, std::move(reply)});
        read = !s.reading;
        s.reading = true;
      },
      Deliver);
  if (read) Read();
}

void document_store::Merge(const config_state& documents) {
  shard_.Apply(
      [&](state& s, std::vector<notice>& out) {
        for (const config_key& key : s.order.Merge(documents.documents, 0)) Adopt(s, key, out);
        if (!documents.documents.empty()) s.loaded = true;
      },
      Deliver);
}

config_state document_store::State() const {
  return shard_.View([](const state& s) {
    return config_state{s.order.All(), s.order.NextOffset()};
  });
}

void document_store::Restate(time_point) {
  // One process is enough: the one that the hash prefers.
  const region_id region = RegionOfPartition(0, parts_.options.regions);
  if (parts_.alive.PreferredOwner(0, region) != parts_.options.self) return;
  const config_state current = State();
  for (const auto& [key, version] : current.documents) {
    config_record record{key.environment, key.stage,    version.base,   version.version,
                         version.author,  version.text, version.wall_ms};
    parts_.port.append(kConfigStream, EncodeConfig(record), [](const result<std::uint64_t>&) {});
  }
}

std::shared_ptr<const environment_document> document_store::Find(
    const environment_id& environment) const {
  return shard_.View([&](const state& s) -> std::shared_ptr<const environment_document> {
    const auto found = s.parsed.find(environment);
    return found == s.parsed.end() ? nullptr : found->second;
  });
}

std::vector<std::shared_ptr<const environment_document>> document_store::All() const {
  return shard_.View([](const state& s) {
    std::vector<std::shared_ptr<const environment_document>> all;
    for (const auto& [name, document] : s.parsed) all.push_back(document);
    return all;
  });
}

std::optional<config_version> document_store::InForce(const config_key& key) const {
  return shard_.View([&](const state& s) -> std::optional<config_version> {
    const config_version* version = s.order.InForce(key);
    if (version == nullptr) return std::nullopt;
    return *version;
  });
}

std::vector<config_version> document_store::History(const config_key& key) const {
  return shard_.View([&](const state& s) { return s.order.History(key); });
}

std::uint64_t document_store::NewestVersion() const {
  return shard_.View([](const state& s) { return s.order.NewestVersion(); });
}

bool document_store::Loaded() const {
  return shard_.View([](const state& s) { return s.loaded; });
}

}  // namespace sycamorehinge
