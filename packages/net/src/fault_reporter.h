// Rate-limited reporting of rejected peer input: at most one report per kind and interval.
#ifndef SYCAMOREHINGE_NET_SRC_FAULT_REPORTER_H_
#define SYCAMOREHINGE_NET_SRC_FAULT_REPORTER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/net/peer_transport.h"

namespace sycamorehinge {

// Accessed only on the I/O thread.
class fault_reporter {
 public:
  fault_reporter(boost::asio::io_context& io, duration interval,
                 const std::function<void(const peer_fault&)>& report);

  // Reports the first fault immediately. Later ones within the interval are added up and reported
  // together at its end.
  void Count(peer_fault_kind kind, std::string_view source);

 private:
  struct pending_report {
    explicit pending_report(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    bool timer_active = false;
    peer_fault fault;
  };
  void Report(pending_report& report);

  duration interval_;
  const std::function<void(const peer_fault&)>& on_fault_;
  std::vector<pending_report> reports_by_kind_;
};

// Maps an error from unsealing or decoding to the kind of fault to report.
peer_fault_kind FaultKindOf(errc code);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_FAULT_REPORTER_H_
