// Reads the keys of one TOML table and collects every mistake on the way.
#ifndef SYCAMOREHINGE_SETTINGS_SECTION_READER_H_
#define SYCAMOREHINGE_SETTINGS_SECTION_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorehinge/core/types.h"
#include "sycamorehinge/settings/mistake.h"
#include "sycamorehinge/settings/parameters.h"

namespace sycamorehinge {

// Collects the mistakes of one file, at most kMaxMistakes.
class mistake_list {
 public:
  explicit mistake_list(std::string_view file) : file_(file) {}

  void Add(const toml::source_region& where, std::string_view key, errc code, std::string expected,
           std::string_view nearest = {});
  bool IsFull() const { return mistakes_.size() >= kMaxMistakes; }
  bool empty() const { return mistakes_.empty(); }
  // In the order of the file.
  std::vector<mistake> Take();

 private:
  std::string file_;
  std::vector<mistake> mistakes_;
};

// Longest list that a file may hold, which bounds checks for duplicates; 380 tenants are in use.
inline constexpr std::size_t kMaxListLength = 10'000;

// Range of a number and the unit in which the file gives it.
struct number_range {
  double least = 0;
  double most = 0;
  std::string_view unit = "";
};

class section_reader {
 public:
  // `path` names the table in mistakes; it is empty for the whole file.
  section_reader(const toml::table& table, std::string path, mistake_list& mistakes);

  // Each Read leaves `out` alone if the key is absent or wrong.
  void Read(std::string_view key, std::string& out, const text_rule& rule, bool required = false);
  void Read(std::string_view key, std::vector<std::string>& out, const text_rule& rule,
            bool required = false);
  void Read(std::string_view key, double& out, const number_range& range);
  void Read(std::string_view key, bool& out);
  // A duration, written as a whole number of milliseconds.
  void Read(std::string_view key, duration& out, std::int64_t least_ms, std::int64_t most_ms);
  template <class Integer>
  void ReadInteger(std::string_view key, Integer& out, std::int64_t least, std::int64_t most,
                   std::string_view unit = "") {
    if (const auto number = TakeInteger(key, least, most, unit)) {
      out = static_cast<Integer>(*number);
    }
  }
  // A table below this one; null if absent or not a table.
  const toml::table* TakeTable(std::string_view key);
  // Tables of an array of tables, for example [[class]], each with its full key.
  std::vector<std::pair<std::string, const toml::table*>> TakeTables(std::string_view key);

  // Reports a mistake at `key`, or at the table itself if the key is absent.
  void Report(std::string_view key, errc code, std::string expected, std::string_view nearest = {});
  // Reports the keys that nobody asked for.
  void Finish();

  std::string FullKey(std::string_view key) const;

 private:
  // Marks the key as known; null if absent.
  const toml::node* Take(std::string_view key);
  std::optional<std::int64_t> TakeInteger(std::string_view key, std::int64_t least,
                                          std::int64_t most, std::string_view unit);

  // Reports a list above kMaxListLength.
  bool IsTooLong(std::string_view key, std::size_t length);

  const toml::table& table_;
  std::string path_;
  mistake_list& mistakes_;
  std::vector<std::string_view> known_;
};

// Parses TOML text into a table; reports a syntax error, or text above `max_bytes`.
std::optional<toml::table> ParseToml(std::string_view text, std::size_t max_bytes,
                                     mistake_list& mistakes);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_SECTION_READER_H_
