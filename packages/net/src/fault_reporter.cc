#include "fault_reporter.h"

#include <utility>

namespace sycamorehinge {

namespace {

constexpr std::array<std::string_view, 6> kFaultNames = {"garbage",  "wrong_version",  "wrong_key",
                                                         "replayed", "unknown_sender", "oversized"};

}  // namespace

std::string_view ToString(peer_fault_kind kind) {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

peer_fault_kind FaultKindOf(errc code) {
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
    : interval_(interval), on_fault_(report) {
  reports_by_kind_.reserve(kFaultNames.size());
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    reports_by_kind_.emplace_back(io).fault.kind = static_cast<peer_fault_kind>(i);
  }
}

void fault_reporter::Count(peer_fault_kind kind, std::string_view source) {
  pending_report& report = reports_by_kind_[static_cast<std::size_t>(kind)];
  ++report.fault.count;
  report.fault.source = source;
  if (!report.timer_active) Report(report);
}

void fault_reporter::Report(pending_report& report) {
  report.timer_active = report.fault.count > 0;
  if (!report.timer_active) return;
  if (on_fault_) on_fault_(report.fault);
  report.fault.count = 0;
  report.timer.expires_after(interval_);
  report.timer.async_wait([this, &report](boost::system::error_code error) {
    if (!error) Report(report);
  });
}

}  // namespace sycamorehinge
