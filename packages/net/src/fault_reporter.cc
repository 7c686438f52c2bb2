#include "fault_reporter.h"

#include <utility>

namespace sycamorehinge {

namespace {

constexpr std::array<std::string_view, 6> kNames = {"garbage",  "wrong_version",  "wrong_key",
                                                    "replayed", "unknown_sender", "oversized"};

}  // namespace

std::string_view ToString(peer_fault_kind kind) { return kNames[static_cast<std::size_t>(kind)]; }

peer_fault_kind FaultOf(errc code) {
  switch (code) {
    case errc::kUnauthorized:
      return peer_fault_kind::kWrongKey;
    case errc::kWrongVersion:
      return peer_fault_kind::kWrongVersion;
    case errc::kTooLarge:
      return peer_fault_kind::kOversized;
    default:
      return peer_fault_kind::kGarbage;
  }
}

fault_reporter::fault_reporter(boost::asio::io_context& io, duration interval,
                               const std::function<void(const peer_fault&)>& report)
    : interval_(interval), report_(report) {
  entries_.reserve(kNames.size());
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    entries_.emplace_back(io).pending.kind = static_cast<peer_fault_kind>(i);
  }
}

void fault_reporter::Count(peer_fault_kind kind, std::string_view source) {
  entry& counted = entries_[static_cast<std::size_t>(kind)];
  ++counted.pending.count;
  counted.pending.source = source;
  if (!counted.waiting) Report(counted);
}

void fault_reporter::Report(entry& counted) {
  counted.waiting = counted.pending.count > 0;
  if (!counted.waiting) return;
  if (report_) report_(counted.pending);
  counted.pending.count = 0;
  counted.timer.expires_after(interval_);
  counted.timer.async_wait([this, &counted](boost::system::error_code error) {
    if (!error) Report(counted);
  });
}

}  // namespace sycamorehinge
