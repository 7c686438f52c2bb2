#include <charconv>

#include "sycamorehinge/control/calls.h"
#include "sycamorehinge/control/journal_codec.h"
#include "sycamorehinge/wire/versioned.h"

namespace sycamorehinge {

template <>
struct last_enumerator<cell::job_phase> {
  static constexpr auto kValue = cell::job_phase::kCancelled;
};

namespace cell {

template <class Archive>
void serialize(Archive& archive, task_ref& value) {
  SerializeFields(archive, value.job, value.occurrence, value.step, value.index);
}
template <class Archive>
void serialize(Archive& archive, step_spec& value) {
  SerializeFields(archive, value.count, value.size.cores_milli, value.size.memory_mb,
                  value.size.accelerators, value.run_time, value.after, value.gang, value.same_rack,
                  value.checkpoints, value.speculative, value.long_running, value.fills,
                  value.label, value.rack, value.spread_limit, value.image, value.latency_target,
                  value.max_unavailable);
}
template <class Archive>
void serialize(Archive& archive, job_spec& value) {
  SerializeFields(archive, value.payload, value.steps, value.occurrences, value.first_start_ms,
                  value.interval_ms);
}
template <class Archive>
void serialize(Archive& archive, term_record& value) {
  SerializeFields(archive, value.term);
}
template <class Archive>
void serialize(Archive& archive, lease_granters_record& value) {
  SerializeFields(archive, value.addresses);
}
template <class Archive>
void serialize(Archive& archive, accepted_record& value) {
  SerializeFields(archive, value.queue, value.accepted_ms, value.spec);
}
template <class Archive>
void serialize(Archive& archive, task_progress& value) {
  SerializeFields(archive, value.done, value.failed_runs);
}
template <class Archive>
void serialize(Archive& archive, occurrence_progress& value) {
  SerializeFields(archive, value.number, value.steps);
}
template <class Archive>
void serialize(Archive& archive, progress_record& value) {
  SerializeFields(archive, value.queue, value.phase, value.ended_ms, value.next_occurrence,
                  value.open);
}
template <class Archive>
void serialize(Archive& archive, cancelled_record& value) {
  SerializeFields(archive, value.cancelled_ms);
}
template <class Archive>
void serialize(Archive& archive, host_record& value) {
  SerializeFields(archive, value.address, value.service);
}

}  // namespace cell

namespace control {

template <class Archive>
void serialize(Archive& archive, submit_call& value) {
  SerializeFields(archive, value.job, value.queue, value.spec, value.tenant);
}
template <class Archive>
void serialize(Archive& archive, cancel_call& value) {
  SerializeFields(archive, value.job, value.tenant);
}
template <class Archive>
void serialize(Archive& archive, job_state_call& value) {
  SerializeFields(archive, value.job, value.tenant);
}
template <class Archive>
void serialize(Archive& archive, pending_jobs_call& value) {
  SerializeFields(archive, value.queue);
}
template <class Archive>
void serialize(Archive& archive, call_attempt& value) {
  SerializeFields(archive, value.owner_epoch, value.sender, value.call_number, value.attempt_number,
                  value.oldest_open_call, value.sent_ms);
}
template <class Archive>
void serialize(Archive& archive, routed_call& value) {
  SerializeFields(archive, value.attempt, value.call);
}
template <class Archive>
void serialize(Archive& archive, advice_call& value) {
  SerializeFields(archive, value.step, value.hosts);
}
template <class Archive>
void serialize(Archive& archive, offer_call& value) {
  SerializeFields(archive, value.member);
}
template <class Archive>
void serialize(Archive& archive, announce_call& value) {
  SerializeFields(archive, value.member);
}
template <class Archive>
void serialize(Archive& archive, fence_call& value) {
  SerializeFields(archive, value.epoch);
}
template <class Archive>
void serialize(Archive& archive, config_call& value) {
  SerializeFields(archive, value.version);
}
template <class Archive>
void serialize(Archive& archive, owner_info& value) {
  SerializeFields(archive, value.epoch, value.address);
}
template <class Archive>
void serialize(Archive& archive, approved_host& value) {
  SerializeFields(archive, value.host, value.ticket);
}
template <class Archive>
void serialize(Archive& archive, peer_answer& value) {
  SerializeFields(archive, value.code, value.phase, value.pending, value.retry_after,
                  value.approved, value.owner, value.acting_epoch, value.config);
}

namespace {

// Versions of records in the journal, and of calls and answers between processes.
constexpr std::uint8_t kRecordVersion = 1;
// The record is followed by the tenant of the job.
constexpr std::uint8_t kTenantRecordVersion = 2;
constexpr std::uint8_t kCallVersion = 4;
constexpr std::size_t kMaxBytes = std::size_t{4} << 20;

// What the scheduler writes can be read again.
static_assert(cell::kMaxOpenTasks <= kMaxElements && cell::kMaxTasksPerStep <= kMaxElements &&
              cell::kMaxSteps <= kMaxElements);

// A key is a kind letter followed by the job number in 16 hexadecimal digits or the host id.
constexpr char kTermKey = 't';
constexpr char kGrantersKey = 'o';
constexpr char kAcceptedKey = 'j';
constexpr char kProgressKey = 's';
constexpr char kCancelledKey = 'c';
constexpr char kHostKey = 'h';
constexpr std::size_t kJobDigits = 16;

template <class Value>
std::string Encode(const Value& value) {
  return EncodeVersioned(kRecordVersion, value);
}

// A record with the tenant that owns it, which version 1 does not have.
template <class Record>
struct tenant_record {
  Record record;
};
template <class Archive, class Record>
void serialize(Archive& archive, tenant_record<Record>& value) {
  SerializeFields(archive, value.record, value.record.tenant);
}

// Records without a tenant stay readable for processes that know no tenants.
template <class Record>
std::string EncodeOwned(const Record& record) {
  if (record.tenant.empty()) return Encode(record);
  return EncodeVersioned(kTenantRecordVersion, tenant_record<Record>{record});
}

template <class Value>
errc DecodeInto(std::string_view bytes, Value& value) {
  return DecodeVersioned(kRecordVersion, kMaxBytes, bytes, value);
}

template <class Value>
result<Value> DecodeMessage(std::string_view bytes) {
  Value value;
  const errc code = DecodeVersioned(kCallVersion, kMaxBytes, bytes, value);
  if (code != errc::kOk) return code;
  return value;
}

std::string JobKey(char kind, cell::job_number job) { return kind + cell::FormatJobNumber(job); }

bool ParseJobKey(std::string_view key, cell::job_number& job) {
  if (key.size() != 1 + kJobDigits) return false;
  const char* end = key.data() + key.size();
  return std::from_chars(key.data() + 1, end, job, 16).ptr == end;
}

template <class Record>
result<cell::journal_record> DecodeRecord(std::string_view value) {
  Record record;
  if (const errc code = DecodeInto(value, record); code != errc::kOk) return code;
  return cell::journal_record(std::move(record));
}

template <class Record>
result<cell::journal_record> DecodeJobRecord(std::string_view key, std::string_view value) {
  tenant_record<Record> owned;
  cell::job_number job = 0;
  if (!ParseJobKey(key, job)) return errc::kMalformed;
  errc code = DecodeVersioned(kTenantRecordVersion, kMaxBytes, value, owned);
  if (code == errc::kWrongVersion) code = DecodeInto(value, owned.record);
  if (code != errc::kOk) return code;
  owned.record.job = job;
  return cell::journal_record(std::move(owned.record));
}

}  // namespace

std::string EncodeCall(const peer_call& call) { return EncodeVersioned(kCallVersion, call); }
result<peer_call> DecodeCall(std::string_view bytes) { return DecodeMessage<peer_call>(bytes); }
std::string EncodeAnswer(const peer_answer& answer) {
  return EncodeVersioned(kCallVersion, answer);
}
result<peer_answer> DecodeAnswer(std::string_view bytes) {
  return DecodeMessage<peer_answer>(bytes);
}

void EncodeJournalRecord(const cell::journal_record& record, std::vector<stream_record>& out) {
  std::visit(overloaded{[&](const cell::term_record& row) {
                          out.push_back({std::string(1, kTermKey), Encode(row)});
                        },
                        [&](const cell::lease_granters_record& row) {
                          out.push_back({std::string(1, kGrantersKey), Encode(row)});
                        },
                        [&](const cell::accepted_record& row) {
                          out.push_back({JobKey(kAcceptedKey, row.job), EncodeOwned(row)});
                        },
                        [&](const cell::progress_record& row) {
                          out.push_back({JobKey(kProgressKey, row.job), EncodeOwned(row)});
                        },
                        [&](const cell::remove_accepted_job& row) {
                          out.push_back({JobKey(kAcceptedKey, row.job), std::nullopt});
                        },
                        [&](const cell::remove_job& row) {
                          out.push_back({JobKey(kProgressKey, row.job), std::nullopt});
                        },
                        [&](const cell::cancelled_record& row) {
                          out.push_back({JobKey(kCancelledKey, row.job), EncodeOwned(row)});
                        },
                        [&](const cell::remove_cancelled& row) {
                          out.push_back({JobKey(kCancelledKey, row.job), std::nullopt});
                        },
                        [&](const cell::host_record& row) {
                          out.push_back({kHostKey + row.host.value, Encode(row)});
                        },
                        [&](const cell::remove_host& row) {
                          out.push_back({kHostKey + row.host.value, std::nullopt});
                        }},
             record);
}

result<cell::journal_record> DecodeJournalRecord(std::string_view key, std::string_view value) {
  if (key.empty()) return errc::kMalformed;
  switch (key.front()) {
    case kTermKey:
      return DecodeRecord<cell::term_record>(value);
    case kGrantersKey:
      return DecodeRecord<cell::lease_granters_record>(value);
    case kAcceptedKey:
      return DecodeJobRecord<cell::accepted_record>(key, value);
    case kProgressKey:
      return DecodeJobRecord<cell::progress_record>(key, value);
    case kCancelledKey:
      return DecodeJobRecord<cell::cancelled_record>(key, value);
    case kHostKey: {
      cell::host_record record;
      record.host.value = key.substr(1);
      if (const errc code = DecodeInto(value, record); code != errc::kOk) return code;
      return cell::journal_record(std::move(record));
    }
    default:
      return errc::kMalformed;
  }
}

std::optional<cell::job_number> JobOfJournalKey(std::string_view key) {
  cell::job_number job = 0;
  if (!ParseJobKey(key, job)) return std::nullopt;
  const char kind = key.front();
  if (kind != kAcceptedKey && kind != kProgressKey && kind != kCancelledKey) return std::nullopt;
  return job;
}

}  // namespace control
}  // namespace sycamorehinge
