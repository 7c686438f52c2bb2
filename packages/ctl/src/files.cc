#include "files.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sycamorehinge {

namespace {

constexpr std::size_t kMaxInputBytes = 64U << 20;

result<std::string> ReadStream(std::istream& stream, const std::string& path) {
  std::string text;
  std::string chunk(64U << 10, '\0');
  while (stream) {
    stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    text.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaxInputBytes) return {errc::kTooLarge, path + " is too large"};
  }
  if (stream.bad()) return {errc::kMalformed, path + " cannot be read"};
  return text;
}

}  // namespace

result<std::string> ReadInput(const std::string& path) {
  if (path == "-") return ReadStream(std::cin, "standard input");
  std::ifstream file(path, std::ios::binary);
  // Opening a directory succeeds, reading it does not.
  if (!file || file.peek() == std::ifstream::traits_type::eof()) {
    if (!file.eof()) return {errc::kMalformed, path + " cannot be read"};
    return std::string();
  }
  return ReadStream(file, path);
}

}  // namespace sycamorehinge
