// Lines of the processes' logs, as telemetry writes them.
#ifndef SYCAMOREHINGE_CTL_LOG_LINES_H_
#define SYCAMOREHINGE_CTL_LOG_LINES_H_

#include <optional>
#include <string>
#include <string_view>

namespace sycamorehinge {

// "time level event=N name key=value ..."; views into the line.
struct log_line {
  // What stands in front of the time, for example the machine's name that a log collector adds.
  std::string_view source;
  // UTC, "2026-12-04T07:51:04.123Z"; sorts by time.
  std::string_view time;
  std::string_view level;
  std::string_view number;
  std::string_view name;
  std::string_view fields;
};

// nullopt for a line of another form.
std::optional<log_line> ParseLogLine(std::string_view line);

// Value of a field without its quotes and escapes; empty if the line has no such field.
std::string FieldOf(const log_line& line, std::string_view key);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_LOG_LINES_H_
