#include <catch2/catch.hpp>
#include <limits>

#include "sycamorehinge/control/calls.h"
#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {
namespace {

cell::job_spec Sample() {
  cell::job_spec spec;
  spec.payload = std::string("text\0more", 9);
  cell::step_spec step;
  step.count = 3;
  step.size = {2500, 1024, 1, 0};
  step.after = {};
  step.gang = step.same_rack = step.checkpoints = true;
  step.label = "b";
  step.rack = "r1-2";
  step.spread_limit = 2;
  step.image = "i";
  step.max_unavailable = 1;
  spec.steps = {step, step};
  spec.steps[1].after = {0};
  spec.occurrences = 4;
  spec.first_start_ms = -5;
  spec.interval_ms = 100;
  return spec;
}

// Guards against fields that are missing from the encoding.
TEST_CASE("Calls and answers are decoded as they were encoded") {
  routed_call sample;
  sample.attempt = {8, "10.0.0.1:1/5/6", 3, 2, 1, 77};
  sample.call = submit_call{0xfedcba9876543210, "q", Sample()};
  const auto call = DecodeCall(EncodeCall(sample));
  REQUIRE(call);
  const auto& routed = std::get<routed_call>(*call);
  CHECK(routed.attempt.owner_epoch == 8);
  CHECK(routed.attempt.sender == "10.0.0.1:1/5/6");
  CHECK(routed.attempt.call_number == 3);
  CHECK(routed.attempt.attempt_number == 2);
  CHECK(routed.attempt.oldest_open_call == 1);
  CHECK(routed.attempt.sent_ms == 77);
  const auto& submit = std::get<submit_call>(routed.call);
  CHECK(submit.job == 0xfedcba9876543210);
  CHECK(submit.spec.payload == Sample().payload);
  REQUIRE(submit.spec.steps.size() == 2);
  CHECK(submit.spec.steps[1].after == std::vector<std::uint32_t>{0});
  CHECK(submit.spec.steps[0].size == Sample().steps[0].size);
  CHECK(submit.spec.steps[0].gang);
  CHECK(submit.spec.first_start_ms == -5);
  const auto fence = DecodeCall(EncodeCall(fence_call{9}));
  REQUIRE(fence);
  CHECK(std::get<fence_call>(*fence).epoch == 9);
  const auto wanted = DecodeCall(EncodeCall(config_call{41}));
  REQUIRE(wanted);
  CHECK(std::get<config_call>(*wanted).version == 41);
  peer_answer answer = ErrorAnswer(errc::kOverloaded, std::chrono::seconds(2));
  answer.approved = {{host_id{"h"}, "ticket"}};
  answer.owner = {7, "10.0.0.1:1"};
  answer.acting_epoch = 6;
  answer.config = "{}";
  const auto read = DecodeAnswer(EncodeAnswer(answer));
  REQUIRE(read);
  CHECK(read->code == errc::kOverloaded);
  CHECK(read->retry_after == std::chrono::seconds(2));
  CHECK(read->approved.front().ticket == "ticket");
  CHECK(read->owner.epoch == 7);
  CHECK(read->acting_epoch == 6);
  CHECK(read->config == "{}");
}

// Guards against a new owner that loads a state other than the previous owner wrote.
TEST_CASE("Journal records are decoded from their keys and values") {
  std::vector<stream_record> records;
  EncodeJournalRecord(cell::accepted_record{0xab, "q", 123, Sample()}, records);
  cell::progress_record progress;
  progress.job = 0xab;
  progress.queue = "q";
  progress.phase = cell::job_phase::kRunning;
  progress.open = {{2, {{{true, {}}, {false, {1, 65}}}}}};
  EncodeJournalRecord(progress, records);
  EncodeJournalRecord(cell::term_record{9}, records);
  EncodeJournalRecord(cell::host_record{host_id{"i-1"}, "10.0.0.1:1", "s"}, records);
  EncodeJournalRecord(cell::lease_granters_record{{"10.0.0.1:1", "10.0.0.2:1"}}, records);
  EncodeJournalRecord(cell::cancelled_record{0xac, 77}, records);
  REQUIRE(records.size() == 6);
  const auto accepted = DecodeJournalRecord(records[0].key, *records[0].value);
  REQUIRE(accepted);
  CHECK(std::get<cell::accepted_record>(*accepted).job == 0xab);
  CHECK(std::get<cell::accepted_record>(*accepted).spec.payload == Sample().payload);
  const auto read = DecodeJournalRecord(records[1].key, *records[1].value);
  REQUIRE(read);
  const auto& open = std::get<cell::progress_record>(*read).open;
  REQUIRE(open.size() == 1);
  CHECK(open[0].number == 2);
  CHECK(open[0].steps[0][0].done);
  CHECK(open[0].steps[0][1].failed_runs == std::vector<std::uint32_t>{1, 65});
  CHECK(std::get<cell::term_record>(*DecodeJournalRecord(records[2].key, *records[2].value)).term ==
        9);
  const auto host = DecodeJournalRecord(records[3].key, *records[3].value);
  CHECK(std::get<cell::host_record>(*host).host.value == "i-1");
  const auto granters = DecodeJournalRecord(records[4].key, *records[4].value);
  REQUIRE(granters);
  CHECK(std::get<cell::lease_granters_record>(*granters).addresses.size() == 2);
  const auto cancelled = DecodeJournalRecord(records[5].key, *records[5].value);
  REQUIRE(cancelled);
  CHECK(std::get<cell::cancelled_record>(*cancelled).job == 0xac);
  CHECK(std::get<cell::cancelled_record>(*cancelled).cancelled_ms == 77);
}

// Guards against progress that is written but not read: the next owner starts all tasks again
// (review/8).
TEST_CASE("The largest progress of a job is decoded as it was written") {
  cell::progress_record progress;
  progress.job = 1;
  SECTION("the most occurrences") {
    for (std::uint32_t i = 0; i < cell::kMaxOpenTasks; ++i) {
      progress.open.push_back({cell::kMaxOccurrences - i, {{{i % 2 == 0, {64'000 + i}}}}});
    }
  }
  SECTION("the most steps and tasks") {
    const std::vector<cell::task_progress> step(cell::kMaxTasksPerStep, {true, {}});
    progress.open.push_back({1, {cell::kMaxSteps, step}});
  }
  std::vector<stream_record> records;
  EncodeJournalRecord(progress, records);
  const auto read = DecodeJournalRecord(records[0].key, *records[0].value);
  REQUIRE(read);
  const auto& open = std::get<cell::progress_record>(*read).open;
  REQUIRE(open.size() == progress.open.size());
  CHECK(open.back().number == progress.open.back().number);
  CHECK(open.back().steps.size() == progress.open.back().steps.size());
  CHECK(open.back().steps.back().size() == progress.open.back().steps.back().size());
}

// Guards against a job that is accepted although its records do not fit into the journal.
TEST_CASE("Records are not larger than the scheduler expects") {
  constexpr auto kNumber = std::numeric_limits<std::uint32_t>::max();
  constexpr auto kWideNumber = std::numeric_limits<std::int64_t>::min();
  const auto size_of = [](const cell::journal_record& record) {
    std::vector<stream_record> records;
    EncodeJournalRecord(record, records);
    return records.front().value->size();
  };
  cell::step_spec step;
  step.count = step.spread_limit = step.max_unavailable = kNumber;
  step.size = {kWideNumber, kWideNumber, kWideNumber, kWideNumber};
  step.run_time = step.latency_target = duration(kWideNumber);
  step.after.assign(cell::kMaxSteps, kNumber);
  step.label = step.rack = step.image = std::string(200, 'x');
  cell::accepted_record accepted{1, std::string(300, 'q'), kWideNumber, {}};
  accepted.spec = {std::string(4000, 'p'), {}, kNumber, kWideNumber, kWideNumber};
  accepted.spec.steps.assign(cell::kMaxSteps, step);
  CHECK(size_of(accepted) <= cell::MaxEncodedBytes(accepted));
  cell::progress_record progress;
  progress.queue = accepted.queue;
  progress.ended_ms = kWideNumber;
  progress.next_occurrence = kNumber;
  const std::vector<std::uint32_t> failed(200, kNumber);
  const cell::occurrence_progress open{kNumber, {100, {200, {true, failed}}}};
  progress.open.assign(2, open);
  CHECK(size_of(progress) <= cell::MaxEncodedBytes(progress));
}

// Guards against keys that stay in the store after their job is forgotten.
TEST_CASE("Retiring and forgetting a job remove the keys that were written for it") {
  std::vector<stream_record> records;
  EncodeJournalRecord(cell::accepted_record{1, "q", 0, Sample()}, records);
  EncodeJournalRecord(cell::remove_accepted_job{1}, records);
  CHECK(records[0].key == records[1].key);
  CHECK_FALSE(records[1].value);
  records.clear();
  cell::progress_record progress;
  progress.job = 1;
  EncodeJournalRecord(progress, records);
  EncodeJournalRecord(cell::remove_job{1}, records);
  CHECK(records[0].key == records[1].key);
  CHECK_FALSE(records[1].value);
  records.clear();
  EncodeJournalRecord(cell::cancelled_record{1, 0}, records);
  EncodeJournalRecord(cell::remove_cancelled{1}, records);
  CHECK(records[0].key == records[1].key);
  CHECK_FALSE(records[1].value);
}

// Guards against crashes and unbounded allocation on malformed input.
TEST_CASE("Mutated bytes give an error or another valid value, never a crash") {
  routed_call sample;
  sample.call = submit_call{1, "q", Sample()};
  const std::string good = EncodeCall(sample);
  std::uint64_t random = 42;
  const auto next = [&random] {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<std::size_t>(random >> 33);
  };
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (std::size_t changes = 1 + next() % 4; changes > 0; --changes) {
      bytes[next() % bytes.size()] = static_cast<char>(next());
    }
    bytes.resize(1 + next() % bytes.size());
    const auto call = DecodeCall(bytes);
    if (!call) CHECK(call.code() != errc::kOk);
    (void)DecodeJournalRecord("j00000000000000ab", bytes);
    (void)DecodeJournalRecord("s00000000000000ab", bytes);
    (void)DecodeAnswer(bytes);
  }
  CHECK_FALSE(DecodeCall(""));
  CHECK(DecodeJournalRecord("x", good).code() == errc::kMalformed);
  CHECK(DecodeJournalRecord("jzz", good).code() == errc::kMalformed);
}

// Guards against a name that loses part of its member, and against foreign names that are taken for
// members.
TEST_CASE("Member names round-trip and malformed ones are rejected") {
  const member_info far = {1, "b", "10.0.0.2:1", {"s"}, {"e"}};
  const auto read = ParseMemberName(FormatMemberName(far));
  REQUIRE(read);
  CHECK(read->rank == 1);
  CHECK(read->name == "b");
  CHECK(read->address == "10.0.0.2:1");
  CHECK(read->region.value == "s");
  CHECK(read->data_centre.value == "e");
  for (const std::string& bad :
       {std::string(), std::string("x"), std::string("0|a|b|c"), std::string("0|a|b|c|d|e"),
        std::string("x|a|b|c|d"), std::string("-1|a|b|c|d"), std::string(400, '9') + "|a|b|c|d",
        std::string("0|18446744073709551615|000000000001000|a|b|c|d")}) {
    CHECK_FALSE(ParseMemberName(bad));
  }
}

}  // namespace
}  // namespace sycamorehinge::control
