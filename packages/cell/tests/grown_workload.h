// The users' workload on their grown deployment: 350 hosts, three queues with the rates and sizes
// of their sheet, and a policy service that handles one request at a time for each of 29 machines.
#ifndef SYCAMOREHINGE_CELL_TESTS_GROWN_WORKLOAD_H_
#define SYCAMOREHINGE_CELL_TESTS_GROWN_WORKLOAD_H_

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "simulated_cell.h"

namespace sycamorehinge::cell::testing {

enum class job_class { kSettlement, kReprice, kConfirm };
inline constexpr std::size_t kJobClasses = 3;

struct class_result {
  std::uint32_t jobs = 0;
  // Completed within the target of the queue.
  std::uint32_t in_time = 0;
  std::uint32_t completed = 0;
};

class grown_workload {
 public:
  explicit grown_workload(std::uint64_t seed);

  // Submits jobs for this long at the rates of the sheet, each times the load of its class.
  void Submit(duration time, const std::array<double, kJobClasses>& load = {1, 1, 1});
  // Lets the cell work without new jobs.
  void Run(duration time) { cell_.Run(time); }

  simulated_cell& Cell() { return cell_; }
  // Results of the jobs submitted at `from` or later and before `until`, by class.
  std::array<class_result, kJobClasses> Results(time_point from, time_point until) const;
  // Jobs of which no task has started.
  std::uint32_t Unstarted() const;
  // Thousandths of cores of the running tasks, and of all hosts.
  std::int64_t RunningCores() const;
  std::int64_t Cores() const { return cell_.owner->Summary().capacity.cores_milli; }

 private:
  struct submitted_job {
    job_class kind = job_class::kConfirm;
    time_point at;
    duration target{};
  };
  std::uint64_t NextRandom(std::uint64_t below);
  std::int64_t Between(std::int64_t low, std::int64_t high);
  void SubmitJob(job_class kind);

  simulated_cell cell_;
  std::uint64_t random_;
  job_number next_job_ = 1;
  std::map<job_number, submitted_job> jobs_;
  std::map<std::pair<job_number, std::uint32_t>, duration> run_times_;
};

}  // namespace sycamorehinge::cell::testing

#endif  // SYCAMOREHINGE_CELL_TESTS_GROWN_WORKLOAD_H_
