// Serialization of the messages between entry processes. Empty messages need none.
#ifndef SYCAMOREHINGE_WIRE_SRC_MESSAGE_FIELDS_H_
#define SYCAMOREHINGE_WIRE_SRC_MESSAGE_FIELDS_H_

#include "core_fields.h"

namespace sycamorehinge {

template <class Archive>
void serialize(Archive& archive, caller_request& value) {
  SerializeFields(archive, value.environment, value.tenant, value.work_class, value.service,
                  value.key, value.idempotent, value.time_left, value.body, value.trace);
}
template <class Archive>
void serialize(Archive& archive, forward_request& value) {
  SerializeFields(archive, value.call, value.request);
}
template <class Archive>
void serialize(Archive& archive, forward_run& value) {
  SerializeFields(archive, value.call, value.id, value.place, value.request);
}
template <class Archive>
void serialize(Archive& archive, request_answer& value) {
  SerializeFields(archive, value.call, value.code, value.detail, value.retry_after, value.fact,
                  value.body);
}
template <class Archive>
void serialize(Archive& archive, forward_submit& value) {
  SerializeFields(archive, value.call, value.spec);
}
template <class Archive>
void serialize(Archive& archive, forward_cancel& value) {
  SerializeFields(archive, value.call, value.job);
}
template <class Archive>
void serialize(Archive& archive, forward_status& value) {
  SerializeFields(archive, value.call, value.job, value.wait);
}
template <class Archive>
void serialize(Archive& archive, job_answer& value) {
  SerializeFields(archive, value.call, value.code, value.detail, value.retry_after, value.status);
}
template <class Archive>
void serialize(Archive& archive, reserve_room& value) {
  SerializeFields(archive, value.call, value.environment, value.service, value.item,
                  value.time_left, value.hold_time);
}
template <class Archive>
void serialize(Archive& archive, room_answer& value) {
  SerializeFields(archive, value.call, value.code, value.places);
}
template <class Archive>
void serialize(Archive& archive, return_hold& value) {
  SerializeFields(archive, value.id, value.host);
}
template <class Archive>
void serialize(Archive& archive, start_task& value) {
  SerializeFields(archive, value.id, value.place, value.spec);
}
template <class Archive>
void serialize(Archive& archive, stop_task& value) {
  SerializeFields(archive, value.id, value.host, value.checkpoint);
}
template <class Archive>
void serialize(Archive& archive, void_task& value) {
  SerializeFields(archive, value.id, value.host);
}
template <class Archive>
void serialize(Archive& archive, keep_task& value) {
  SerializeFields(archive, value.id, value.host, value.term);
}
template <class Archive>
void serialize(Archive& archive, task_report& value) {
  SerializeFields(archive, value.id, value.host, value.term, value.fact, value.answer);
}
template <class Archive>
void serialize(Archive& archive, task_lost& value) {
  SerializeFields(archive, value.id, value.term);
}
template <class Archive>
void serialize(Archive& archive, task_preempted& value) {
  SerializeFields(archive, value.id);
}
template <class Archive>
void serialize(Archive& archive, config_state& value) {
  SerializeFields(archive, value.documents, value.next_offset);
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_SRC_MESSAGE_FIELDS_H_
