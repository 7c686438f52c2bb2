// Hosts behind the ports: they check fencing tokens, hold leases by their own clocks, run tasks and
// list their ends. Checks that no task runs twice.
#ifndef SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_
#define SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
  // Last start of a task of the job; time_point() if there is none.
  time_point LastStart(cell::job_number job) const;

  // Processes, with the addresses of the hosts that they cannot reach.
  std::set<std::pair<std::string, std::string>> cut_off;
  // Time that tasks take; without an end by default.
  duration run_time = std::chrono::hours(1000);
  // Starts of tasks that were at work on another host.
  std::uint32_t double_runs = 0;
  // Starts of tasks whose success an owner has acknowledged.
  std::uint32_t runs_after_success = 0;
  std::uint32_t starts = 0;

 private:
  struct host {
    std::uint64_t token = 0;
    std::int64_t lease_until_ms = 0;
    // Runs, with their ends.
    std::map<std::pair<cell::task_ref, std::uint32_t>, time_point> running;
    std::vector<cell::end_report> ended;
    std::uint64_t next_end = 1;
  };
  // Returns the host after all runs that are due, or whose lease has expired, have ended.
  host& At(const std::string& address, time_point now);
  void CheckStart(const std::string& address, const cell::task_ref& task, time_point now);
  // Returns kDone if the call is carried out.
  cell::call_outcome Check(host& target, const std::string& process, const std::string& address,
                           std::uint64_t token) const;

  std::map<std::string, host> hosts_;
  std::map<cell::task_ref, time_point> started_;
  std::set<cell::task_ref> succeeded_;
};

}  // namespace sycamorehinge::control::testing

#endif  // SYCAMOREHINGE_CONTROL_TESTS_FAKE_HOSTS_H_
