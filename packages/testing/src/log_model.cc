#include "sycamorehinge/testing/log_model.h"

#include <algorithm>

namespace sycamorehinge::testing {

namespace {

// Share of a second's rate that may be appended at once after a pause.
constexpr double kBurstSeconds = 0.1;

}  // namespace

bool log_model::TakeToken(time_point now) {
  if (settings_.rate <= 0) return true;
  const double seconds = std::chrono::duration<double>(now - refilled_).count();
  const double burst = std::max(1.0, settings_.rate * kBurstSeconds);
  tokens_ = std::min(burst, tokens_ + std::max(0.0, seconds) * settings_.rate);
  refilled_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void log_model::Forget(log_stream& stream, time_point now) const {
  auto& entries = stream.entries;
  while (settings_.retention > 0 && entries.size() > settings_.retention) entries.pop_front();
  if (settings_.retention_age <= duration::zero()) return;
  while (!entries.empty() && entries.front().at + settings_.retention_age < now) {
    entries.pop_front();
  }
}

result<std::uint64_t> log_model::Append(std::string_view stream, std::string_view bytes,
                                        time_point now) {
  if (settings_.down) return errc::kLogUnavailable;
  if (!TakeToken(now)) return errc::kOverloaded;
  auto found = streams_.find(stream);
  if (found == streams_.end()) found = streams_.emplace(std::string(stream), log_stream()).first;
  log_stream& target = found->second;
  const std::uint64_t offset = target.next++;
  target.entries.push_back({offset, now, std::string(bytes)});
  Forget(target, now);
  if (settings_.lose_answers > 0 &&
      std::uniform_real_distribution<double>(0, 1)(random_) < settings_.lose_answers) {
    return errc::kTimeout;
  }
  return offset;
}

result<read_page> log_model::Read(std::string_view stream, std::uint64_t from, std::uint32_t max,
                                  time_point now) {
  if (settings_.down) return errc::kLogUnavailable;
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return read_page();
  log_stream& source = found->second;
  Forget(source, now);
  read_page page;
  page.next = source.next;
  page.oldest = source.entries.empty() ? source.next : source.entries.front().offset;
  if (from < page.oldest) return {errc::kOffsetForgotten, std::to_string(page.oldest)};
  for (std::uint64_t offset = from; offset < page.next && page.entries.size() < max; ++offset) {
    page.entries.push_back(source.entries[offset - page.oldest]);
  }
  return page;
}

}  // namespace sycamorehinge::testing
