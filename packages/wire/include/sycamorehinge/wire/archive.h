// cereal archives for messages and records: compact numbers on the way out, and on the way in no
// length that exceeds what the input can hold.
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

// Thrown inside decoders only; Decode* turn it into a result.
struct decode_failure {
  errc code;
};

class output_archive
    : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit output_archive(std::string& out) : OutputArchive(this), out_(&out) {}

  void Byte(std::uint8_t byte) { out_->push_back(static_cast<char>(byte)); }
  void Bytes(std::string_view bytes) { out_->append(bytes); }

 private:
  std::string* out_;
};

class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit input_archive(std::string_view input) : InputArchive(this), rest_(input) {}

  std::size_t Remaining() const { return rest_.size(); }
  std::uint8_t Byte() { return static_cast<std::uint8_t>(Bytes(1).front()); }
  std::string_view Bytes(std::size_t count) {
    if (count > rest_.size()) throw decode_failure{errc::kTruncated};
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }

 private:
  std::string_view rest_;
};

template <class Archive>
inline constexpr bool kIsLoading = std::is_same_v<Archive, input_archive>;

// --- numbers: 7 bits a byte, least significant first ---

inline void PutNumber(output_archive& archive, std::uint64_t number) {
  while (number >= 0x80) {
    archive.Byte(static_cast<std::uint8_t>(number | 0x80));
    number >>= 7;
  }
  archive.Byte(static_cast<std::uint8_t>(number));
}

inline std::uint64_t TakeNumber(input_archive& archive) {
  std::uint64_t number = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    const std::uint8_t byte = archive.Byte();
    // The tenth byte holds the last bit of 64.
    if (shift == 63 && byte > 1) break;
    number |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    if ((byte & 0x80) == 0) return number;
  }
  throw decode_failure{errc::kMalformed};
}

template <class Archive, class Number>
requires std::is_unsigned_v<Number>
void Field(Archive& archive, Number& number) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t wide = TakeNumber(archive);
    if (wide > std::numeric_limits<Number>::max()) throw decode_failure{errc::kMalformed};
    number = static_cast<Number>(wide);
  } else {
    PutNumber(archive, number);
  }
}

// Signed numbers as 0, -1, 1, -2, ..., so that small ones stay short.
template <class Archive>
void Field(Archive& archive, std::int64_t& number) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t folded = TakeNumber(archive);
    number = static_cast<std::int64_t>(folded >> 1) ^ -static_cast<std::int64_t>(folded & 1);
  } else {
    PutNumber(archive,
              (static_cast<std::uint64_t>(number) << 1) ^ static_cast<std::uint64_t>(number >> 63));
  }
}

template <class Archive>
void Field(Archive& archive, bool& flag) {
  std::uint8_t byte = flag ? 1 : 0;
  Field(archive, byte);
  if (byte > 1) throw decode_failure{errc::kMalformed};
  flag = byte == 1;
}

template <class Archive>
void Field(Archive& archive, duration& time) {
  std::int64_t count = time.count();
  Field(archive, count);
  time = duration(count);
}

// --- texts and enumerations ---

template <class Archive>
void Field(Archive& archive, std::string& text) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t size = TakeNumber(archive);
    if (size > archive.Remaining()) throw decode_failure{errc::kTruncated};
    text.assign(archive.Bytes(static_cast<std::size_t>(size)));
  } else {
    PutNumber(archive, text.size());
    archive.Bytes(text);
  }
}

template <class Archive, class Tag>
void Field(Archive& archive, name_id<Tag>& id) {
  Field(archive, id.value);
}

template <class Archive>
void Field(Archive& archive, errc& code) {
  auto number = static_cast<std::uint16_t>(code);
  Field(archive, number);
  code = static_cast<errc>(number);
  // ErrorName gives the name of another code for a number that is none.
  if (ErrorByName(ErrorName(code)) != code) throw decode_failure{errc::kMalformed};
}

// Last enumerator of an enumeration that starts at 0; specialised beside the structs.
template <class Enum>
struct last_of;

template <class Archive, class Enum>
requires std::is_enum_v<Enum>
void Field(Archive& archive, Enum& value) {
  auto number = static_cast<std::uint8_t>(value);
  Field(archive, number);
  if (number > static_cast<std::uint8_t>(last_of<Enum>::kValue)) {
    throw decode_failure{errc::kMalformed};
  }
  value = static_cast<Enum>(number);
}

// --- compounds ---

template <class Archive, class... Alternatives>
void Field(Archive& archive, std::variant<Alternatives...>& value);
template <class Archive, class First, class Second>
void Field(Archive& archive, std::pair<First, Second>& pair);

template <class Archive, class Element>
void Field(Archive& archive, std::vector<Element>& elements);

// Structs: cereal finds their serialize function.
template <class Archive, class Struct>
requires(std::is_class_v<Struct>) void Field(Archive& archive, Struct& value) { archive(value); }

template <class Archive, class... Values>
void Fields(Archive& archive, Values&... values) {
  (Field(archive, values), ...);
}

template <class Archive, class First, class Second>
void Field(Archive& archive, std::pair<First, Second>& pair) {
  Fields(archive, pair.first, pair.second);
}

template <class Archive, class Element>
void Field(Archive& archive, std::vector<Element>& elements) {
  if constexpr (kIsLoading<Archive>) {
    const std::uint64_t count = TakeNumber(archive);
    if (count > archive.Remaining()) throw decode_failure{errc::kTruncated};
    if (count > kMaxElements) throw decode_failure{errc::kTooLarge};
    elements.clear();
    // Grows with the elements that are really there, not with the count that the sender claims.
    for (std::uint64_t i = 0; i < count; ++i) Field(archive, elements.emplace_back());
  } else {
    PutNumber(archive, elements.size());
    for (Element& element : elements) Field(archive, element);
  }
}

template <std::size_t Index, class... Alternatives>
void TakeAlternative(input_archive& archive, std::size_t index,
                     std::variant<Alternatives...>& value) {
  if constexpr (Index < sizeof...(Alternatives)) {
    if (index == Index) {
      Field(archive, value.template emplace<Index>());
    } else {
      TakeAlternative<Index + 1>(archive, index, value);
    }
  } else {
    throw decode_failure{errc::kMalformed};
  }
}

template <class Archive, class... Alternatives>
void Field(Archive& archive, std::variant<Alternatives...>& value) {
  if constexpr (kIsLoading<Archive>) {
    TakeAlternative<0>(archive, archive.Byte(), value);
  } else {
    archive.Byte(static_cast<std::uint8_t>(value.index()));
    std::visit([&](auto& alternative) { Field(archive, alternative); }, value);
  }
}

}  // namespace sycamorehinge

CEREAL_SETUP_ARCHIVE_TRAITS(sycamorehinge::input_archive, sycamorehinge::output_archive)

#endif  // SYCAMOREHINGE_WIRE_ARCHIVE_H_
