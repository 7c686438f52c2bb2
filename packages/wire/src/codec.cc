#include "sycamorehinge/wire/codec.h"

#include <array>

#include "message_fields.h"
#include "record_fields.h"
#include "sycamorehinge/wire/versioned.h"

namespace sycamorehinge {

namespace {

template <class Value>
std::string Encode(const Value& value) {
  return EncodeVersioned(kWireVersion, value);
}

template <class Value>
result<Value> Decode(std::string_view bytes) {
  Value value;
  const errc code = DecodeVersioned(kWireVersion, kMaxMessageBytes, bytes, value);
  if (code != errc::kOk) return code;
  return value;
}

constexpr std::array<std::string_view, std::variant_size_v<peer_message>> kMessageNames = {
    "forward_request", "forward_run",    "request_answer", "forward_submit", "forward_cancel",
    "forward_status",  "job_answer",     "reserve_room",   "room_answer",    "return_hold",
    "start_task",      "stop_task",      "void_task",      "keep_task",      "task_report",
    "task_lost",       "task_preempted", "config_fetch",   "config_state"};

}  // namespace

std::string_view MessageName(std::size_t index) {
  return index < kMessageNames.size() ? kMessageNames[index] : "heartbeat";
}

std::string EncodeMessage(const peer_message& message) { return Encode(message); }
result<peer_message> DecodeMessage(std::string_view bytes) { return Decode<peer_message>(bytes); }

std::string EncodeHeartbeat(const process_status& status) { return Encode(status); }
result<process_status> DecodeHeartbeat(std::string_view bytes) {
  return Decode<process_status>(bytes);
}

std::string EncodeBatch(const record_batch& batch) { return Encode(batch); }
result<record_batch> DecodeBatch(std::string_view bytes) { return Decode<record_batch>(bytes); }

std::string EncodeConfig(const config_record& record) { return Encode(record); }
result<config_record> DecodeConfig(std::string_view bytes) { return Decode<config_record>(bytes); }

}  // namespace sycamorehinge
