#include "partition_runner.h"

#include <charconv>

#include "parts.h"
#include "sycamorehinge/wire/codec.h"

namespace sycamorehinge {

namespace {

constexpr std::uint32_t kPageEntries = 256;
// Keeps a batch with payloads of 1 KB below the largest message of 4 MiB.
constexpr std::size_t kMaxBatchRecords = 2000;
constexpr duration kRetryAppend = std::chrono::milliseconds(20);
constexpr std::uint32_t kFailuresOfOutage = 3;
constexpr duration kRetryLog = std::chrono::milliseconds(500);
// An owner appends a keepalive every 5 s, so three are missing.
constexpr duration kSilenceBeforeTakeover = std::chrono::seconds(15);
// A process that has just started is not preferred at once, so that ownership does not move twice
// during a rolling replacement.
constexpr duration kUnpreferredBeforeRetire = std::chrono::seconds(10);

std::uint64_t OldestIn(std::string_view detail) {
  std::uint64_t oldest = 0;
  std::from_chars(detail.data(), detail.data() + detail.size(), oldest);
  return oldest;
}

}  // namespace

partition_runner::partition_runner(entry_node::parts& parts, partition_number number)
    : parts_(parts),
      number_(number),
      region_(RegionOfPartition(number, parts.options.regions)),
      shard_(number, parts.options.self, parts.options.partition) {}

template <class Change>
void partition_runner::Apply(Change&& change) {
  shard_.Apply(std::forward<Change>(change), [this](delivery& item) { Deliver(item); });
}

void partition_runner::Handle(const partition_event& event) {
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.now == phase::kOwner || s.now == phase::kRetiring) Step(s, event, out);
  });
}

void partition_runner::Step(state& s, const partition_event& event, std::vector<delivery>& out) {
  s.core.Handle(event, parts_.Now(), s.actions);
  Collect(s, out);
}

// Records join the pending batch; effects wait for their records or go out now.
void partition_runner::Collect(state& s, std::vector<delivery>& out) {
  for (partition_action& action : s.actions) {
    if (auto* record = std::get_if<emit_record>(&action.effect)) {
      if (s.pending.empty()) s.pending_first = record->sequence;
      s.pending.push_back(std::move(record->record));
    } else if (action.after_sequence > s.durable) {
      s.held.emplace(action.after_sequence, std::move(action.effect));
    } else {
      out.emplace_back(std::move(action.effect));
    }
  }
  s.actions.clear();
  if (!s.pending.empty() && !s.appending) out.emplace_back(flush_wanted{});
}

void partition_runner::ReleaseHeld(state& s, std::vector<delivery>& out) {
  const auto end = s.held.upper_bound(s.durable);
  for (auto it = s.held.begin(); it != end; ++it) out.emplace_back(std::move(it->second));
  s.held.erase(s.held.begin(), end);
}

bool partition_runner::IsOwner() const {
  return shard_.View([](const state& s) { return s.now == phase::kOwner; });
}

std::uint64_t partition_runner::Epoch() const {
  return shard_.View(
      [](const state& s) { return s.now == phase::kOwner ? s.core.Epoch() : std::uint64_t{0}; });
}

std::optional<job_status> partition_runner::FindJob(const job_id& job) const {
  return shard_.View([&](const state& s) -> std::optional<job_status> {
    const job_status* status = s.core.FindJob(job);
    if (status == nullptr) return std::nullopt;
    return *status;
  });
}

std::vector<job_status> partition_runner::Jobs() const {
  return shard_.View([](const state& s) {
    return s.now == phase::kOwner ? s.core.Jobs() : std::vector<job_status>{};
  });
}

void partition_runner::Tick(time_point now) {
  const bool owner = IsOwner();
  const process_id known = parts_.alive.KnownOwner(number_);
  const process_id preferred = parts_.alive.PreferredOwner(number_, region_);
  if (owner) {
    bool retire = false;
    Apply([&](state& s, std::vector<delivery>& out) {
      Step(s, partition_tick{parts_.port.wall_ms()}, out);
      const bool settled = preferred == parts_.options.self || preferred.empty();
      if (settled) s.unpreferred_since = now;
      retire = now > s.unpreferred_since + kUnpreferredBeforeRetire;
    });
    if (known != parts_.options.self && !known.empty())
      LoseToNewerOwner(parts_.partitions.KnownEpoch(number_));
    if (retire) Retire();
    return;
  }
  if (parts_.draining || preferred != parts_.options.self || !known.empty()) return;
  if (region_ == parts_.options.where.region) {
    Acquire();
  } else {
    CheckSilence(now);
  }
}

// --- ownership ---

void partition_runner::Acquire() {
  std::uint64_t generation = 0;
  Apply([&](state& s, std::vector<delivery>&) {
    if (s.now != phase::kIdle || parts_.Now() < s.next_attempt) return;
    s.now = phase::kReading;
    generation = ++s.generation;
    s.core = partition(number_, parts_.options.self, parts_.options.partition);
    s.next_offset = 1;
  });
  if (generation != 0) ReadOn(generation, 0);
}

// The owner may be alive behind a cut between regions: only its silence in the log itself counts.
void partition_runner::CheckSilence(time_point now) {
  std::uint64_t from = 0;
  Apply([&](state& s, std::vector<delivery>&) {
    if (s.now != phase::kIdle || s.checking || now < s.next_attempt) return;
    s.checking = true;
    s.next_attempt = now + kRetryLog;
    from = std::max<std::uint64_t>(s.silent_offset, 1);
  });
  if (from == 0) return;
  parts_.port.read(Stream(), from, 1, [this](result<log_page> page) {
    bool acquire = false;
    Apply([&](state& s, std::vector<delivery>&) {
      s.checking = false;
      if (!page) {
        if (page.code() == errc::kOffsetForgotten) s.silent_offset = OldestIn(page.detail());
        s.silent_since = parts_.Now();
        return;
      }
      if (page->next != s.silent_offset || s.silent_since == time_point{}) {
        s.silent_offset = page->next;
        s.silent_since = parts_.Now();
      }
      acquire = parts_.Now() > s.silent_since + kSilenceBeforeTakeover;
    });
    if (acquire) Acquire();
  });
}

// Replays from next_offset; `until` 0 reads to the end and takes the ownership there.
void partition_runner::ReadOn(std::uint64_t generation, std::uint64_t until) {
  const std::uint64_t from = shard_.View([](const state& s) { return s.next_offset; });
  parts_.port.read(Stream(), from, kPageEntries,
                   [this, generation, until](auto page) { OnPage(generation, until, page); });
}

void partition_runner::OnPage(std::uint64_t generation, std::uint64_t until,
                              const result<log_page>& page) {
  bool more = false;
  bool take = false;
  bool failed = false;
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.generation != generation) return;
    if (!page) {
      const std::uint64_t oldest = OldestIn(page.detail());
      more = page.code() == errc::kOffsetForgotten && oldest > s.next_offset;
      if (more) s.next_offset = oldest;
      failed = !more;
      return;
    }
    for (const log_entry& entry : page->entries) {
      if (until != 0 && entry.offset > until) break;
      result<record_batch> batch = DecodeBatch(entry.bytes);
      // A batch that no release can read holds nothing that this one could honour.
      if (batch) s.core.Replay({entry.offset, std::move(*batch)});
      s.next_offset = entry.offset + 1;
    }
    if (until != 0) {
      more = s.next_offset <= until;
      if (!more) BecomeOwner(s, until, out);
      return;
    }
    more = s.next_offset < page->next;
    take = !more;
    if (take) s.now = phase::kTaking;
  });
  if (more) ReadOn(generation, until);
  if (take) AppendOwnership(generation);
  if (failed) GiveUp(generation);
}

void partition_runner::AppendOwnership(std::uint64_t generation) {
  record_batch batch;
  batch.records.push_back(owner_changed{parts_.options.self, parts_.options.incarnation});
  parts_.port.append(Stream(), EncodeBatch(batch),
                     [this, generation](auto offset) { OnOwnershipAppended(generation, offset); });
}

void partition_runner::OnOwnershipAppended(std::uint64_t generation,
                                           const result<std::uint64_t>& offset) {
  if (!offset) {
    GiveUp(generation);
    return;
  }
  // Reads up to the own record: others may have written in between.
  ReadOn(generation, *offset);
}

void partition_runner::GiveUp(std::uint64_t generation) {
  Apply([&](state& s, std::vector<delivery>&) {
    if (s.generation != generation) return;
    s.now = phase::kIdle;
    s.next_attempt = parts_.Now() + kRetryLog;
  });
}

void partition_runner::BecomeOwner(state& s, std::uint64_t epoch, std::vector<delivery>& out) {
  s.now = phase::kOwner;
  s.next_offset = epoch + 1;
  s.pending.clear();
  s.held.clear();
  s.durable = 0;
  s.appending = false;
  s.flush_scheduled = false;
  s.unpreferred_since = parts_.Now();
  for (const auto& document : parts_.documents.All()) Step(s, document_changed{document}, out);
  Step(s, ownership_taken{epoch, parts_.port.wall_ms()}, out);
  const std::string stream = Stream();
  parts_.Event(event_number::kPartitionAcquired, {{"partition", stream}, {"epoch", epoch}});
}

void partition_runner::Lose(state& s, std::vector<delivery>& out) {
  if (s.now == phase::kIdle) return;
  ++s.generation;
  s.now = phase::kIdle;
  s.next_attempt = parts_.Now() + kRetryLog;
  s.pending.clear();
  s.held.clear();
  s.durable = 0;
  s.appending = false;
  s.core.Handle(ownership_lost{}, parts_.Now(), s.actions);
  // Records and whatever waits for them are void; only answers to callers go out.
  for (partition_action& action : s.actions) {
    if (std::holds_alternative<emit_record>(action.effect)) continue;
    out.emplace_back(std::move(action.effect));
  }
  s.actions.clear();
  const std::string stream = Stream();
  parts_.Event(event_number::kPartitionLost, {{"partition", stream}});
}

void partition_runner::LoseToNewerOwner(std::uint64_t epoch) {
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.now == phase::kOwner && epoch > s.core.Epoch()) Lose(s, out);
  });
}

void partition_runner::Retire() {
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.now != phase::kOwner) return;
    s.now = phase::kRetiring;
    if (s.pending.empty() && !s.appending) Lose(s, out);
  });
}

// --- group commit ---

void partition_runner::ScheduleFlush() {
  time_point when;
  bool schedule = false;
  Apply([&](state& s, std::vector<delivery>&) {
    schedule = !s.flush_scheduled && !s.appending && !s.pending.empty();
    if (schedule) s.flush_scheduled = true;
  });
  if (!schedule) return;
  when = parts_.partitions.NextAppendTime();
  if (when <= parts_.Now()) {
    Flush();
  } else {
    parts_.At(when, [this] { Flush(); });
  }
}

record_batch partition_runner::TakeBatch(state& s) {
  const std::size_t count = std::min(s.pending.size(), kMaxBatchRecords);
  const auto end = s.pending.begin() + static_cast<std::ptrdiff_t>(count);
  record_batch batch{s.core.Epoch(), s.pending_first, {}};
  batch.records.assign(std::make_move_iterator(s.pending.begin()), std::make_move_iterator(end));
  s.pending.erase(s.pending.begin(), end);
  s.pending_first += count;
  return batch;
}

void partition_runner::Flush() {
  std::uint64_t generation = 0;
  Apply([&](state& s, std::vector<delivery>&) {
    s.flush_scheduled = false;
    if (s.appending || s.pending.empty()) return;
    if (s.now != phase::kOwner && s.now != phase::kRetiring) return;
    record_batch batch = TakeBatch(s);
    s.sending_last = batch.first_sequence + batch.records.size() - 1;
    s.sending = EncodeBatch(batch);
    s.appending = true;
    generation = s.generation;
  });
  if (generation != 0) Send(generation);
}

void partition_runner::Send(std::uint64_t generation) {
  std::string bytes = shard_.View([](const state& s) { return s.sending; });
  parts_.port.append(Stream(), std::move(bytes),
                     [this, generation](auto offset) { OnAppended(generation, offset); });
}

void partition_runner::OnAppended(std::uint64_t generation, const result<std::uint64_t>& offset) {
  bool again = false;
  bool gap = false;
  duration wait{};
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.generation != generation || !s.appending) return;
    if (!offset) {
      again = true;
      ++s.failures;
      // One lost answer is no outage.
      const bool down = offset.code() == errc::kLogUnavailable || s.failures >= kFailuresOfOutage;
      if (down && offset.code() != errc::kOverloaded) {
        if (!s.log_down) ReportLog(event_number::kLogUnavailable);
        s.log_down = true;
        Step(s, log_availability{false}, out);
      }
      wait = s.failures >= kFailuresOfOutage ? kRetryLog : kRetryAppend;
      return;
    }
    gap = *offset != s.next_offset;
    if (!gap) OnDurable(s, *offset, out);
  });
  // Appending the same batch again is safe: readers drop sequences that they have seen.
  if (again) {
    parts_.At(parts_.Now() + wait, [this, generation] {
      if (shard_.View([&](const state& s) { return s.generation == generation && s.appending; })) {
        Send(generation);
      }
    });
  }
  if (gap) ReadGap(generation, *offset);
}

void partition_runner::ReportLog(event_number number) const {
  const std::string stream = Stream();
  parts_.Event(number, {{"stream", stream}});
}

void partition_runner::OnDurable(state& s, std::uint64_t offset, std::vector<delivery>& out) {
  s.next_offset = offset + 1;
  s.appending = false;
  s.failures = 0;
  if (s.log_down) ReportLog(event_number::kLogAvailable);
  s.log_down = false;
  s.sending.clear();
  s.durable = s.sending_last;
  Step(s, log_availability{true}, out);
  Step(s, records_durable{s.sending_last}, out);
  ReleaseHeld(s, out);
  if (!s.pending.empty()) out.emplace_back(flush_wanted{});
  if (s.now == phase::kRetiring && s.pending.empty()) Lose(s, out);
}

void partition_runner::ReadGap(std::uint64_t generation, std::uint64_t offset) {
  const std::uint64_t from = shard_.View([](const state& s) { return s.next_offset; });
  parts_.port.read(Stream(), from, kPageEntries,
                   [this, generation, offset](auto page) { OnGap(generation, offset, page); });
}

// Someone else wrote before the own append: a newer owner, or this owner's own repeated batch.
void partition_runner::OnGap(std::uint64_t generation, std::uint64_t offset,
                             const result<log_page>& page) {
  bool again = false;
  bool more = false;
  Apply([&](state& s, std::vector<delivery>& out) {
    if (s.generation != generation || !s.appending) return;
    if (!page) {
      // If the gap can no longer be read, a newer owner cannot be has_rule out.
      if (page.code() == errc::kOffsetForgotten) Lose(s, out);
      again = page.code() != errc::kOffsetForgotten;
      return;
    }
    for (const log_entry& entry : page->entries) {
      if (entry.offset >= offset) break;
      s.next_offset = entry.offset + 1;
      const result<record_batch> batch = DecodeBatch(entry.bytes);
      if (!batch) continue;
      for (const partition_record& record : batch->records) {
        if (!std::holds_alternative<owner_changed>(record)) continue;
        Lose(s, out);
        return;
      }
    }
    more = s.next_offset < offset;
    if (!more) OnDurable(s, offset, out);
  });
  if (more) ReadGap(generation, offset);
  if (again) {
    parts_.At(parts_.Now() + kRetryLog,
              [this, generation, offset] { ReadGap(generation, offset); });
  }
}

}  // namespace sycamorehinge
