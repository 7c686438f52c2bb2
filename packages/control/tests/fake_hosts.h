// Hosts behind the ports: they check fencing tokens, hold leases by their own clocks, and run tasks
// without an end. Counts tasks that run twice.
#ifndef SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_
#define SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "sycamorehinge/cell/actions.h"

namespace sycamorehinge::control::testing {

class fake_hosts {
 public:
  // All functions take the current time; a call of a process that is cut off has no effect.
  cell::call_outcome Poll(const std::string& process, const cell::poll_host& poll, time_point now,
                          cell::host_report& report);
  cell::start_report Start(const std::string& process, const cell::start_task& start,
                           time_point now);
  cell::call_outcome Stop(const std::string& process, const cell::stop_task& stop, time_point now);

  // Tasks at work on the host.
  std::size_t Running(const std::string& address, time_point now);

  // Processes, with the addresses of the hosts that they cannot reach.
  std::set<std::pair<std::string, std::string>> cut_off;
  // Starts of tasks that were at work on another host.
  std::uint32_t double_runs = 0;
  std::uint32_t starts = 0;

 private:
  struct host {
    std::uint64_t token = 0;
    std::int64_t lease_until_ms = 0;
    std::set<std::pair<cell::task_ref, std::uint32_t>> running;
  };
  // Returns the host with its runs whose lease has not expired.
  host& At(const std::string& address, time_point now);
  // Returns kDone if the call is carried out.
  cell::call_outcome Check(host& target, const std::string& process, const std::string& address,
                           std::uint64_t token) const;

  std::map<std::string, host> hosts_;
};

}  // namespace sycamorehinge::control::testing

#endif  // SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_
