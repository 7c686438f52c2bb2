// Counts dropped input and reports each kind once in an interval.
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

// Used by the I/O thread only.
class fault_reporter {
 public:
  fault_reporter(boost::asio::io_context& io, duration interval,
                 const std::function<void(const peer_fault&)>& report);

  // Reports the first fault at once; those that follow within the interval are summed up.
  void Count(peer_fault_kind kind, std::string_view source);

 private:
  struct entry {
    explicit entry(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    bool waiting = false;
    peer_fault pending;
  };
  void Report(entry& counted);

  duration interval_;
  const std::function<void(const peer_fault&)>& report_;
  std::vector<entry> entries_;
};

// Kind of fault behind an error of Open or Decode.
peer_fault_kind FaultOf(errc code);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_FAULT_REPORTER_H_
