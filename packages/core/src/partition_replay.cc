// Reading a partition's stream.
#include <variant>

#include "partition_state.h"

namespace sycamorehinge {

void partition::state::Replay(const stored_batch& stored) {
  if (owner) return;
  const record_batch& batch = stored.batch;
  if (batch.epoch == 0) {
    // Only owner_changed may precede an epoch; anything else in such a batch has no valid owner.
    if (batch.records.empty() || !std::holds_alternative<owner_changed>(batch.records.front()) ||
        stored.offset <= read_epoch) {
      return;
    }
    read_epoch = stored.offset;
    read_sequence = 0;
    frame.reset();
    return;
  }
  if (batch.epoch < read_epoch) return;
  if (batch.epoch > read_epoch) {
    // The read began behind this epoch's owner_changed.
    read_epoch = batch.epoch;
    read_sequence = 0;
    frame.reset();
  }
  std::uint64_t sequence = batch.first_sequence;
  for (const partition_record& record : batch.records) {
    if (sequence > read_sequence) {
      // A read that begins at a late duplicate may skip records; a frame with a gap is incomplete.
      if (sequence > read_sequence + 1) frame.reset();
      read_sequence = sequence;
      ReplayRecord(record);
    }
    ++sequence;
  }
}

void partition::state::ReplayRecord(const partition_record& record) {
  ++records_since_snapshot;
  if (std::holds_alternative<snapshot_begun>(record)) {
    frame.emplace();
  } else if (std::holds_alternative<snapshot_ended>(record)) {
    if (!frame.has_value()) return;
    ledger = std::move(*frame);
    frame.reset();
    records_since_snapshot = 0;
  } else {
    (frame.has_value() ? *frame : ledger).Apply(record);
  }
}

}  // namespace sycamorehinge
