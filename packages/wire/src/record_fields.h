// Serialization of partition records. Empty records need none.
#ifndef SYCAMOREHINGE_WIRE_SRC_RECORD_FIELDS_H_
#define SYCAMOREHINGE_WIRE_SRC_RECORD_FIELDS_H_

#include "core_fields.h"

namespace sycamorehinge {

template <class Archive>
void serialize(Archive& archive, owner_changed& value) {
  SerializeFields(archive, value.owner, value.incarnation);
}
template <class Archive>
void serialize(Archive& archive, job_accepted& value) {
  SerializeFields(archive, value.job, value.spec, value.accepted_ms);
}
template <class Archive>
void serialize(Archive& archive, attempt_assigned& value) {
  SerializeFields(archive, value.id, value.host, value.term, value.holder);
}
template <class Archive>
void serialize(Archive& archive, attempt_adopted& value) {
  SerializeFields(archive, value.id, value.term, value.holder);
}
template <class Archive>
void serialize(Archive& archive, attempt_suspected& value) {
  SerializeFields(archive, value.id);
}
template <class Archive>
void serialize(Archive& archive, attempt_closed& value) {
  SerializeFields(archive, value.id, value.outcome);
}
template <class Archive>
void serialize(Archive& archive, job_cancelled& value) {
  SerializeFields(archive, value.job);
}
template <class Archive>
void serialize(Archive& archive, job_finished& value) {
  SerializeFields(archive, value.job, value.outcome);
}
template <class Archive>
void serialize(Archive& archive, request_intended& value) {
  SerializeFields(archive, value.key, value.id, value.host, value.term, value.holder,
                  value.body_hash, value.accepted_ms);
}
template <class Archive>
void serialize(Archive& archive, request_finished& value) {
  SerializeFields(archive, value.key, value.outcome, value.answer);
}
template <class Archive>
void serialize(Archive& archive, snapshot_begun& value) {
  SerializeFields(archive, value.next_number);
}
template <class Archive>
void serialize(Archive& archive, record_batch& value) {
  SerializeFields(archive, value.epoch, value.first_sequence, value.records);
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_SRC_RECORD_FIELDS_H_
