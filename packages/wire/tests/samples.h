// A sample with non-default fields for each kind of message and record.
#ifndef SYCAMOREHINGE_WIRE_TESTS_SAMPLES_H_
#define SYCAMOREHINGE_WIRE_TESTS_SAMPLES_H_

#include <vector>

#include "sycamorehinge/wire/codec.h"

namespace sycamorehinge {

inline job_spec SampleSpec() {
  job_spec spec;
  spec.environment = {"payouts"};
  spec.tenant = {"ledger"};
  spec.work_class = {"batch"};
  spec.key = "2026-12-04";
  spec.kind = work_kind::kGang;
  spec.tasks = 3;
  spec.size = {4000, 8000, 1, 0};
  spec.run_time = std::chrono::seconds(90);
  spec.deadline = std::chrono::hours(2);
  spec.idempotent = false;
  spec.payload = std::string("a\0b", 3);
  return spec;
}

inline std::vector<peer_message> SampleMessages() {
  const attempt_id id{{{3, 120, 7}, 2}, 5};
  const placement place{{"w1"}, 9};
  const caller_request request{{"e"}, {"t"}, {"c"}, {"s"}, "key", false, duration(5), "body", "r1"};
  job_status status{id.task.job, SampleSpec(), job_state::kRunning, errc::kOk, 1, {}};
  status.tasks = {{id.task, 2, true, {"w1"}, finish_kind::kFailed}};
  work_item item;
  item.id = id;
  item.kind = work_kind::kGang;
  item.size = {-1, 2, 3, 4};
  item.count = 2;
  item.avoid = {{"w2"}, {"w3"}};
  return {forward_request{1, request},
          forward_run{2, id, place, request},
          request_answer{3, errc::kOverloaded, "d", duration(7), attempt_fact::kSucceeded, "b"},
          forward_submit{4, SampleSpec()},
          forward_cancel{5, id.task.job},
          forward_status{6, id.task.job, duration(8)},
          job_answer{7, errc::kUnknownJob, "d", duration(9), status},
          reserve_room{8, {"e"}, {"s"}, item, duration(10), duration(11)},
          room_answer{9, errc::kNoRoom, {place, place}},
          return_hold{id, {"w1"}},
          start_task{id, place, SampleSpec()},
          stop_task{id, {"w1"}, true},
          void_task{id, {"w1"}},
          keep_task{id, {"w1"}, ~std::uint64_t{0}},
          task_report{id, {"w1"}, 4, attempt_fact::kFailed, "stored"},
          task_lost{id, 5},
          task_preempted{id},
          config_fetch{},
          config_state{{{{{"e"}, stage_name::kProduction}, {7, 6, "a", "text", -1}}}, 8}};
}

inline record_batch SampleBatch() {
  const attempt_id id{{{3, 120, 7}, 0}, 1};
  const job_id job = id.task.job;
  record_batch batch;
  batch.epoch = 120;
  batch.first_sequence = 44;
  batch.records = {owner_changed{{"p1"}, 9},
                   owner_alive{},
                   job_accepted{job, SampleSpec(), 1'796'000'000'000},
                   attempt_assigned{id, {"w1"}, 3, {"p1"}},
                   attempt_adopted{id, 4, {"p2"}},
                   attempt_suspected{id},
                   attempt_closed{id, finish_kind::kLost},
                   job_cancelled{job},
                   job_finished{job, errc::kFailsEverywhere},
                   request_intended{"k", id, {"t1"}, 5, {"p1"}, 77, 88},
                   request_finished{"k", errc::kOk, "answer"},
                   snapshot_begun{12},
                   snapshot_ended{}};
  return batch;
}

inline process_status SampleStatus() {
  process_status status;
  status.process = {"entry-1"};
  status.incarnation = 1'796'000'000;
  status.where = {{"harju"}, {"dc1"}, {"r1"}};
  status.config_version = 17;
  status.ready = true;
  status.partitions = {{3, 120}, {9, 121}};
  status.loads = {
      {{"payouts"}, {"confirm"}, {0, 0, 0, 320}, {0, 0, 0, 8}, {0, 0, 0, 8}, duration(1500)},
      {{"payouts"},
       {},
       {900'000, 2'000'000, 0, 0},
       {30'000, 130'000, 0, 0},
       {30'000, 130'000, 2, 0},
       {}}};
  return status;
}

inline config_record SampleConfig() {
  return {{"payouts"}, stage_name::kProduction, 3, 0, "mari", "name = \"payouts\"\n", 5};
}

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_TESTS_SAMPLES_H_
