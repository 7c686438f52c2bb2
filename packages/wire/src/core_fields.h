// Serialization of the core types: fields in wire order.
#ifndef SYCAMOREHINGE_WIRE_SRC_CORE_FIELDS_H_
#define SYCAMOREHINGE_WIRE_SRC_CORE_FIELDS_H_

#include "sycamorehinge/wire/archive.h"

namespace sycamorehinge {

template <>
struct last_enumerator<work_kind> {
  static constexpr auto kValue = work_kind::kGang;
};
template <>
struct last_enumerator<stage_name> {
  static constexpr auto kValue = stage_name::kProduction;
};
template <>
struct last_enumerator<finish_kind> {
  static constexpr auto kValue = finish_kind::kCancelled;
};
template <>
struct last_enumerator<job_state> {
  static constexpr auto kValue = job_state::kCancelled;
};
template <>
struct last_enumerator<attempt_fact> {
  static constexpr auto kValue = attempt_fact::kUnreachable;
};

template <class Archive>
void serialize(Archive& archive, resources& value) {
  SerializeFields(archive, value.cores_milli, value.memory_mb, value.accelerators, value.slots);
}
template <class Archive>
void serialize(Archive& archive, location& value) {
  SerializeFields(archive, value.region, value.data_centre, value.rack);
}
template <class Archive>
void serialize(Archive& archive, job_id& value) {
  SerializeFields(archive, value.partition, value.epoch, value.number);
}
template <class Archive>
void serialize(Archive& archive, task_id& value) {
  SerializeFields(archive, value.job, value.index);
}
template <class Archive>
void serialize(Archive& archive, attempt_id& value) {
  SerializeFields(archive, value.task, value.number);
}
template <class Archive>
void serialize(Archive& archive, placement& value) {
  SerializeFields(archive, value.host, value.term);
}
// Omits the deadline, which is a time on the sender's clock; reserve_room has the time left.
template <class Archive>
void serialize(Archive& archive, work_item& value) {
  SerializeFields(archive, value.id, value.kind, value.tenant, value.work_class, value.size,
                  value.count, value.run_time, value.preemptible, value.avoid);
}
template <class Archive>
void serialize(Archive& archive, job_spec& value) {
  SerializeFields(archive, value.environment, value.tenant, value.work_class, value.key, value.kind,
                  value.tasks, value.size, value.run_time, value.deadline, value.idempotent,
                  value.preemptible, value.payload);
}
template <class Archive>
void serialize(Archive& archive, task_status& value) {
  SerializeFields(archive, value.task, value.attempts, value.open, value.host, value.last);
}
template <class Archive>
void serialize(Archive& archive, job_status& value) {
  SerializeFields(archive, value.job, value.spec, value.state, value.outcome, value.done,
                  value.tasks);
}
template <class Archive>
void serialize(Archive& archive, owned_partition& value) {
  SerializeFields(archive, value.number, value.epoch);
}
template <class Archive>
void serialize(Archive& archive, pool_load& value) {
  SerializeFields(archive, value.environment, value.service, value.free, value.largest_free,
                  value.largest_host, value.expected_wait);
}
template <class Archive>
void serialize(Archive& archive, process_status& value) {
  SerializeFields(archive, value.process, value.incarnation, value.where, value.config_version,
                  value.ready, value.draining, value.partitions, value.loads);
}
template <class Archive>
void serialize(Archive& archive, config_key& value) {
  SerializeFields(archive, value.environment, value.stage);
}
template <class Archive>
void serialize(Archive& archive, config_version& value) {
  SerializeFields(archive, value.version, value.base, value.author, value.text, value.wall_ms);
}
template <class Archive>
void serialize(Archive& archive, config_record& value) {
  SerializeFields(archive, value.environment, value.stage, value.base, value.restated_version,
                  value.author, value.text, value.wall_ms);
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_SRC_CORE_FIELDS_H_
