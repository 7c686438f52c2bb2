#include "sycamorehinge/net/json_fields.h"

#include <array>
#include <limits>

namespace sycamorehinge {

namespace {

using nlohmann::json;

// About 34 years. Sums of several thousand such times fit into `duration`.
constexpr std::uint64_t kMaxMilliseconds = std::uint64_t{1} << 40;

std::optional<std::uint64_t> ReadUnsigned(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  if (value.is_number_integer() && value.get<std::int64_t>() >= 0) {
    return static_cast<std::uint64_t>(value.get<std::int64_t>());
  }
  return std::nullopt;
}

// Leaves `value` unchanged if the field is absent; false if it is not a valid number.
bool ReadResource(const json& object, const char* name, std::int64_t& value) {
  const auto found = object.find(name);
  if (found == object.end()) return true;
  const auto number = ReadUnsigned(*found);
  if (!number || *number > std::numeric_limits<std::int64_t>::max()) return false;
  value = static_cast<std::int64_t>(*number);
  return true;
}

bool ReadResources(const json& value, resources& amounts) {
  return value.is_object() && ReadResource(value, "cores_milli", amounts.cores_milli) &&
         ReadResource(value, "memory_mb", amounts.memory_mb) &&
         ReadResource(value, "accelerators", amounts.accelerators) &&
         ReadResource(value, "slots", amounts.slots);
}

constexpr std::array<std::int8_t, 256> MakeBase64Table() {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::array<std::int8_t, 256> table{};
  table.fill(-1);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    table[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  }
  return table;
}

// Stops the parser at the first value or key over the limit. Builds nothing.
class value_counter : public nlohmann::json_sax<json> {
 public:
  bool IsOver() const { return count_ > kMaxCallerValues; }

  bool null() override { return Count(); }
  bool boolean(bool /*value*/) override { return Count(); }
  bool number_integer(number_integer_t /*value*/) override { return Count(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return Count(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return Count(); }
  bool string(string_t& /*value*/) override { return Count(); }
  bool binary(binary_t& /*value*/) override { return Count(); }
  bool start_object(std::size_t /*elements*/) override { return Count(); }
  bool key(string_t& /*value*/) override { return Count(); }
  bool end_object() override { return true; }
  bool start_array(std::size_t /*elements*/) override { return Count(); }
  bool end_array() override { return true; }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  bool Count() { return ++count_ <= kMaxCallerValues; }

  std::size_t count_ = 0;
};

// Each value and key has at least one byte of its own.
bool HasTooManyValues(std::string_view text) {
  if (text.size() <= kMaxCallerValues) return false;
  value_counter counter;
  json::sax_parse(text, &counter);
  return counter.IsOver();
}

}  // namespace

json ParseJson(std::string_view text) { return json::parse(text, nullptr, false); }

json ParseCallerJson(std::string_view text) {
  return HasTooManyValues(text) ? json(json::value_t::discarded) : ParseJson(text);
}

const json* json_fields::Find(const char* name) const {
  if (!object_->is_object()) return nullptr;
  const auto found = object_->find(name);
  return found == object_->end() ? nullptr : &*found;
}

const json* json_fields::Require(const char* name) {
  const json* value = Find(name);
  if (value == nullptr) ok_ = false;
  return value;
}

std::string json_fields::String(const char* name) {
  const json* value = Require(name);
  if (value != nullptr && value->is_string()) return value->get<std::string>();
  ok_ = false;
  return {};
}

std::uint64_t json_fields::Unsigned(const char* name) {
  const json* value = Require(name);
  const auto number = value == nullptr ? std::nullopt : ReadUnsigned(*value);
  if (!number) ok_ = false;
  return number.value_or(0);
}

duration json_fields::Milliseconds(const char* name) {
  const std::uint64_t number = Unsigned(name);
  if (number > kMaxMilliseconds) {
    ok_ = false;
    return {};
  }
  return std::chrono::milliseconds(number);
}

attempt_id json_fields::Attempt(const char* name) {
  attempt_id id;
  if (!ParseAttemptId(String(name), id)) ok_ = false;
  return id;
}

resources json_fields::Resources(const char* name) {
  if (Require(name) == nullptr) return {};
  return ResourcesOr(name, {});
}

const json& json_fields::Array(const char* name) {
  static const json empty = json::array();
  const json* value = Require(name);
  if (value != nullptr && value->is_array()) return *value;
  ok_ = false;
  return empty;
}

std::string json_fields::StringOr(const char* name, std::string_view fallback) {
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return std::string(fallback);
  return String(name);
}

bool json_fields::BoolOr(const char* name, bool fallback) {
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return fallback;
  if (!value->is_boolean()) {
    ok_ = false;
    return fallback;
  }
  return value->get<bool>();
}

std::uint64_t json_fields::UnsignedOr(const char* name, std::uint64_t fallback, std::uint64_t max) {
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return fallback;
  const std::uint64_t number = Unsigned(name);
  if (number <= max) return number;
  ok_ = false;
  return fallback;
}

std::int64_t json_fields::AmountOr(const char* name, std::int64_t fallback) {
  return static_cast<std::int64_t>(
      UnsignedOr(name, static_cast<std::uint64_t>(fallback), kMaxAmount));
}

double json_fields::DoubleOr(const char* name, double fallback) {
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return fallback;
  if (value->is_number()) return value->get<double>();
  ok_ = false;
  return fallback;
}

duration json_fields::MillisecondsOr(const char* name, duration fallback) {
  const double ms = DoubleOr(name, -1);
  if (ms < 0) return fallback;
  if (ms > static_cast<double>(kMaxMilliseconds)) {
    ok_ = false;
    return fallback;
  }
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

const json& json_fields::ArrayOrEmpty(const char* name) {
  static const json empty = json::array();
  const json* value = Find(name);
  return value == nullptr || value->is_null() ? empty : Array(name);
}

const json& json_fields::ObjectOrEmpty(const char* name) {
  static const json empty = json::object();
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return empty;
  if (value->is_object()) return *value;
  ok_ = false;
  return empty;
}

resources json_fields::ResourcesOr(const char* name, const resources& fallback) {
  const json* value = Find(name);
  if (value == nullptr || value->is_null()) return fallback;
  resources amounts;
  if (!ReadResources(*value, amounts)) ok_ = false;
  return amounts;
}

json ToJson(const resources& size) {
  return {{"cores_milli", size.cores_milli},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators},
          {"slots", size.slots}};
}

std::int64_t ToMilliseconds(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::optional<std::string> DumpJson(const json& value) {
  try {
    return value.dump();
  } catch (const json::type_error&) {
    return std::nullopt;
  }
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  static constexpr std::array<std::int8_t, 256> kTable = MakeBase64Table();
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && text.ends_with('=')) {
    text.remove_suffix(1);
    ++padding;
  }
  std::string decoded;
  decoded.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const char c : text) {
    const std::int8_t digit = kTable[static_cast<unsigned char>(c)];
    if (digit < 0) return std::nullopt;
    bits = (bits << 6) | static_cast<std::uint32_t>(digit);
    bit_count += 6;
    if (bit_count < 8) continue;
    bit_count -= 8;
    decoded += static_cast<char>((bits >> bit_count) & 0xff);
  }
  return decoded;
}

}  // namespace sycamorehinge
