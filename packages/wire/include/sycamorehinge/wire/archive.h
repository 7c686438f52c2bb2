// cereal archives for messages and records. Numbers are written as varints; a length that exceeds
// the remaining input is rejected before anything is allocated for it.
#ifndef SYCAMOREHINGE_WIRE_ARCHIVE_H_
#define SYCAMOREHINGE_WIRE_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"
#include "sycamorehinge/wire/codec.h"

namespace sycamorehinge {

// Thrown only inside decoders; DecodeVersioned() returns its code.
struct decode_error {
  errc code;
};

class output_archive
    : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit output_archive(std::string& out) : OutputArchive(this), out_(&out) {}

  void WriteByte(std::uint8_t byte) { out_->push_back(static_cast<char>(byte)); }
  void WriteBytes(std::string_view bytes) { out_->append(bytes); }

 private:
  std::string* out_;
};

class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit input_archive(std::string_view input) : InputArchive(this), rest_(input) {}

  std::size_t Remaining() const { return rest_.size(); }
  std::uint8_t ReadByte() { return static_cast<std::uint8_t>(ReadBytes(1).front()); }
  std::string_view ReadBytes(std::size_t count) {
    if (count > rest_.size()) throw decode_error{errc::kTruncated};
    const std::string_view bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
  }

 private:
  std::string_view rest_;
};

template <class Archive>
inline constexpr bool kIsLoading = std::is_same_v<Archive, input_archive>;

// --- numbers: varints of 7 bits per byte, least significant group first ---

inline void WriteVarint(output_archive& archive, std::uint64_t number) {
  while (number >= 0x80) {
    archive.WriteByte(static_cast<std::uint8_t>(number | 0x80));
    number >>= 7;
  }
  archive.WriteByte(static_cast<std::uint8_t>(number));
}

inline std::uint64_t ReadVarint(input_archive& archive) {
  std::uint64_t number = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    const std::uint8_t byte = archive.ReadByte();
    // The tenth byte holds only the last of the 64 bits.
    if (shift == 63 && byte > 1) break;
    number |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if ((byte & 0x80) == 0) return number;
  }
  throw decode_error{errc::kMalformed};
}

template <class Archive, class Number>
requires std::is_unsigned_v<Number>
void SerializeField(Archive& archive, Number& number) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t wide = ReadVarint(archive);
    if (wide > std::numeric_limits<Number>::max()) throw decode_error{errc::kMalformed};
    number = static_cast<Number>(wide);
  } else {
    WriteVarint(archive, number);
  }
}

// Signed numbers use zigzag encoding (0, -1, 1, -2, ...), so that small absolute values stay short.
template <class Archive>
void SerializeField(Archive& archive, std::int64_t& number) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t zigzag = ReadVarint(archive);
    number = static_cast<std::int64_t>(zigzag >> 1) ^ -static_cast<std::int64_t>(zigzag & 1);
  } else {
    WriteVarint(archive, (static_cast<std::uint64_t>(number) << 1) ^
                             static_cast<std::uint64_t>(number >> 63));
  }
}

template <class Archive>
void SerializeField(Archive& archive, bool& flag) {
  std::uint8_t byte = flag ? 1 : 0;
  SerializeField(archive, byte);
  if (byte > 1) throw decode_error{errc::kMalformed};
  flag = byte == 1;
}

template <class Archive>
void SerializeField(Archive& archive, duration& time) {
  std::int64_t count = time.count();
  SerializeField(archive, count);
  time = duration(count);
}

// --- strings and enumerations ---

template <class Archive>
void SerializeField(Archive& archive, std::string& text) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t size = ReadVarint(archive);
    if (size > archive.Remaining()) throw decode_error{errc::kTruncated};
    text.assign(archive.ReadBytes(static_cast<std::size_t>(size)));
  } else {
    WriteVarint(archive, text.size());
    archive.WriteBytes(text);
  }
}

template <class Archive, class Tag>
void SerializeField(Archive& archive, name_id<Tag>& id) {
  SerializeField(archive, id.value);
}

template <class Archive>
void SerializeField(Archive& archive, errc& code) {
  auto number = static_cast<std::uint16_t>(code);
  SerializeField(archive, number);
  code = static_cast<errc>(number);
  // For a number without an errc, ErrorName returns the name of another code.
  if (ErrorByName(ErrorName(code)) != code) throw decode_error{errc::kMalformed};
}

// Last enumerator of an enumeration that starts at 0; specialised next to the serialize functions.
template <class Enum>
struct last_enumerator;

template <class Archive, class Enum>
requires std::is_enum_v<Enum>
void SerializeField(Archive& archive, Enum& value) {
  auto number = static_cast<std::uint8_t>(value);
  SerializeField(archive, number);
  if (number > static_cast<std::uint8_t>(last_enumerator<Enum>::kValue)) {
    throw decode_error{errc::kMalformed};
  }
  value = static_cast<Enum>(number);
}

// --- compound types ---

template <class Archive, class... Alternatives>
void SerializeField(Archive& archive, std::variant<Alternatives...>& value);
template <class Archive, class First, class Second>
void SerializeField(Archive& archive, std::pair<First, Second>& pair);

template <class Archive, class Element>
void SerializeField(Archive& archive, std::vector<Element>& elements);

// Structs: cereal finds their serialize function.
template <class Archive, class Struct>
requires(std::is_class_v<Struct>) void SerializeField(Archive& archive, Struct& value) {
  archive(value);
}

template <class Archive, class... Values>
void SerializeFields(Archive& archive, Values&... values) {
  (SerializeField(archive, values), ...);
}

template <class Archive, class First, class Second>
void SerializeField(Archive& archive, std::pair<First, Second>& pair) {
  SerializeFields(archive, pair.first, pair.second);
}

template <class Archive, class Element>
void SerializeField(Archive& archive, std::vector<Element>& elements) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t count = ReadVarint(archive);
    if (count > archive.Remaining()) throw decode_error{errc::kTruncated};
    if (count > kMaxElements) throw decode_error{errc::kTooLarge};
    elements.clear();
    // No reserve(): memory grows with the elements in the input, not with the count that it claims.
    for (std::uint64_t i = 0; i < count; ++i) SerializeField(archive, elements.emplace_back());
  } else {
    WriteVarint(archive, elements.size());
    for (Element& element : elements) SerializeField(archive, element);
  }
}

template <std::size_t Index, class... Alternatives>
void ReadAlternative(input_archive& archive, std::size_t index,
                     std::variant<Alternatives...>& value) {
  if constexpr (Index < sizeof...(Alternatives)) {
    if (index == Index) {
      SerializeField(archive, value.template emplace<Index>());
    } else {
      ReadAlternative<Index + 1>(archive, index, value);
    }
  } else {
    throw decode_error{errc::kMalformed};
  }
}

template <class Archive, class... Alternatives>
void SerializeField(Archive& archive, std::variant<Alternatives...>& value) {
  if constexpr (kIsLoading<Archive>) {
    ReadAlternative<0>(archive, archive.ReadByte(), value);
  } else {
    archive.WriteByte(static_cast<std::uint8_t>(value.index()));
    std::visit([&](auto& alternative) { SerializeField(archive, alternative); }, value);
  }
}

}  // namespace sycamorehinge

CEREAL_SETUP_ARCHIVE_TRAITS(sycamorehinge::input_archive, sycamorehinge::output_archive)

#endif  // SYCAMOREHINGE_WIRE_ARCHIVE_H_
