// The platform's append-only log, in memory and without I/O.
#ifndef SYCAMOREHINGE_TESTING_LOG_MODEL_H_
#define SYCAMOREHINGE_TESTING_LOG_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::testing {

struct log_settings {
  bool down = false;
  // Time that each call takes.
  duration delay{};
  // Share of appends that take effect without an answer, 0..1.
  double lose_answers = 0;
  // Entries kept in each stream; 0 for no bound.
  std::uint64_t retention = 0;
  // Age up to which entries are kept; zero for no bound.
  duration retention_age{};
  // Appends per second over all streams; 0 for no bound.
  double rate = 0;
};

struct kept_entry {
  std::uint64_t offset = 0;
  time_point at;
  std::string bytes;
};

struct read_page {
  std::vector<kept_entry> entries;
  std::uint64_t oldest = 1;
  std::uint64_t next = 1;
};

class log_model {
 public:
  explicit log_model(std::uint64_t seed) : random_(seed) {}

  log_settings& Settings() { return settings_; }
  const log_settings& Settings() const { return settings_; }

  // Errors: kLogUnavailable, kOverloaded, and kTimeout if the entry is stored but its answer lost.
  result<std::uint64_t> Append(std::string_view stream, std::string_view bytes, time_point now);
  // Errors: kLogUnavailable, and kOffsetForgotten with the oldest offset as detail.
  result<read_page> Read(std::string_view stream, std::uint64_t from, std::uint32_t max,
                         time_point now);

 private:
  struct log_stream {
    std::deque<kept_entry> entries;
    std::uint64_t next = 1;
  };

  bool TakeToken(time_point now);
  void Forget(log_stream& stream, time_point now) const;

  log_settings settings_;
  std::map<std::string, log_stream, std::less<>> streams_;
  std::mt19937_64 random_;
  // Token bucket of the append rate; holds at most a tenth of a second's worth.
  double tokens_ = 1;
  time_point refilled_{};
};

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_LOG_MODEL_H_
