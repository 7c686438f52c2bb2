#include "sycamorehinge/wire/codec.h"

#include <catch2/catch.hpp>
#include <random>

#include "allocation_count.h"
#include "samples.h"
#include "sycamorehinge/wire/seal.h"

namespace sycamorehinge {
namespace {

// Re-encoding a decoded value gives the same bytes only if no field is lost or swapped.
template <class Value>
void CheckRoundTrip(const Value& value, std::string (*encode)(const Value&),
                    result<Value> (*decode)(std::string_view)) {
  const std::string bytes = encode(value);
  const auto decoded = decode(bytes);
  REQUIRE(decoded);
  CHECK(encode(*decoded) == bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decode(bytes.substr(0, size)));
  }
  CHECK(decode(bytes + "x").code() == errc::kMalformed);
  std::string other_version = bytes;
  other_version[0] = 2;
  CHECK(decode(other_version).code() == errc::kWrongVersion);
  CHECK(decode(std::string(kMaxMessageBytes + 1, '\1')).code() == errc::kTooLarge);
}

// Guards against fields lost in encoding, and against truncated input that is accepted.
TEST_CASE("All messages and records round-trip and truncated input is rejected") {
  REQUIRE(SampleMessages().size() == std::variant_size_v<peer_message>);
  REQUIRE(SampleBatch().records.size() == std::variant_size_v<partition_record>);
  for (const peer_message& message : SampleMessages()) {
    CheckRoundTrip<peer_message>(message, EncodeMessage, DecodeMessage);
  }
  CheckRoundTrip<record_batch>(SampleBatch(), EncodeBatch, DecodeBatch);
  CheckRoundTrip<process_status>(SampleStatus(), EncodeHeartbeat, DecodeHeartbeat);
  CheckRoundTrip<config_record>(SampleConfig(), EncodeConfig, DecodeConfig);
}

// Guards against a field that both the encoder and the decoder omit.
TEST_CASE("Decoded values equal the encoded ones") {
  const auto status = DecodeHeartbeat(EncodeHeartbeat(SampleStatus()));
  REQUIRE(status);
  CHECK(status->process.value == "entry-1");
  CHECK(status->where == SampleStatus().where);
  CHECK(status->ready);
  CHECK_FALSE(status->draining);
  CHECK(status->partitions[1].epoch == 121);
  CHECK(status->loads[0].largest_free == resources{0, 0, 0, 8});
  CHECK(status->loads[0].expected_wait == duration(1500));
  const auto batch = DecodeBatch(EncodeBatch(SampleBatch()));
  REQUIRE(batch);
  CHECK(batch->first_sequence == 44);
  const auto& spec = std::get<job_accepted>(batch->records[2]).spec;
  CHECK(spec.payload == std::string("a\0b", 3));
  CHECK(spec.kind == work_kind::kGang);
  CHECK(spec.size == resources{4000, 8000, 1, 0});
  CHECK_FALSE(spec.idempotent);
  CHECK(spec.preemptible);
  CHECK(std::get<request_intended>(batch->records[9]).body_hash == 77);
  const auto message = DecodeMessage(EncodeMessage(SampleMessages()[7]));
  REQUIRE(message);
  const auto& reserve = std::get<reserve_room>(*message);
  CHECK(reserve.item.size == resources{-1, 2, 3, 4});
  CHECK(reserve.item.avoid[1].value == "w3");
  CHECK(reserve.item.deadline == time_point::max());
  CHECK(reserve.hold_time == duration(11));
}

// Guards against heartbeats that exceed the budget for control traffic.
TEST_CASE("A heartbeat with two pools stays below its size budget") {
  const std::size_t sealed =
      Seal("key", {{"entry-1"}, 1'796'000'000, 1}, EncodeHeartbeat(SampleStatus())).size();
  CHECK(sealed <= 200);
}

// Guards against claimed counts and lengths that make the decoder allocate memory for elements that
// are not in the input.
TEST_CASE("Claimed lengths beyond the input are rejected without allocating") {
  // Version, epoch 0, sequence 0, then 2^34 records.
  const std::string records("\x01\0\0\x80\x80\x80\x80\x40", 8);
  // Version, then an environment name of 2^41 bytes.
  const std::string name("\x01\x80\x80\x80\x80\x80\x40", 7);
  ResetAllocatedBytes();
  const errc batch_code = DecodeBatch(records).code();
  const errc config_code = DecodeConfig(name).code();
  const std::size_t used = AllocatedBytes();
  CHECK(batch_code == errc::kTruncated);
  CHECK(config_code == errc::kTruncated);
  CHECK(used < 1000);
  // A list longer than the limit, with all its elements present: one byte each.
  std::string many("\x01\0\0\x80\x80\x02", 6);
  many.append(40'000, '\x01');
  ResetAllocatedBytes();
  CHECK(DecodeBatch(many).code() == errc::kTooLarge);
  CHECK(AllocatedBytes() < 10'000);
}

void DecodeAll(std::string_view bytes) {
  (void)DecodeMessage(bytes);
  (void)DecodeHeartbeat(bytes);
  (void)DecodeBatch(bytes);
  (void)DecodeConfig(bytes);
  (void)Open("key", bytes);
}

std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const int changes = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const std::size_t at = random() % bytes.size();
    switch (random() % 4) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes.insert(at, 1 + random() % 8, static_cast<char>(random()));
        break;
      case 2:
        bytes.erase(at, 1 + random() % 8);
        break;
      default:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
    }
  }
  return bytes;
}

// Guards against crashes and large allocations on arbitrary and mutated bytes.
TEST_CASE("Decoders survive arbitrary and mutated bytes") {
  std::mt19937_64 random(20261204);
  std::vector<std::string> seeds;
  for (const peer_message& message : SampleMessages()) seeds.push_back(EncodeMessage(message));
  seeds.push_back(EncodeBatch(SampleBatch()));
  seeds.push_back(EncodeHeartbeat(SampleStatus()));
  seeds.push_back(EncodeConfig(SampleConfig()));
  seeds.push_back(Seal("key", {{"p1"}, 1, 1}, "payload"));
  std::size_t most_per_byte = 0;
  for (int round = 0; round < 60'000; ++round) {
    std::string input;
    if (round % 4 == 0) {
      input.assign(1 + random() % 300, '\1');
      for (std::size_t i = 1; i < input.size(); ++i) input[i] = static_cast<char>(random());
    } else {
      input = Mutate(seeds[random() % seeds.size()], random);
    }
    ResetAllocatedBytes();
    DecodeAll(input);
    // Vectors double their capacity, and one byte can decode to an element of about 300 bytes.
    most_per_byte = std::max(most_per_byte, AllocatedBytes() / (input.size() + 1));
  }
  CHECK(most_per_byte < 2000);
}

}  // namespace
}  // namespace sycamorehinge
