// Outlier ejection: hosts that fail far more often than the other hosts get only probes.
#ifndef SYCAMOREHINGE_CORE_EJECTION_H_
#define SYCAMOREHINGE_CORE_EJECTION_H_

#include <array>
#include <cstdint>
#include <vector>

#include "sycamorehinge/core/room.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

class outlier_ejection {
 public:
  explicit outlier_ejection(bool enabled) : enabled_(enabled) {}

  // Adds a host; does nothing if the host is already present.
  void AddHost(host_slot host);
  void RemoveHost(host_slot host);

  // Records the outcome of an attempt. Returns true if this ejects or reinstates the host.
  bool RecordOutcome(host_slot host, const job_id& job, bool failed, bool was_probe,
                     time_point now);
  bool IsEjected(host_slot host) const { return hosts_[host].ejected; }

  // Returns an ejected host whose probe is due, or kNoSlot.
  host_slot ProbeDue(time_point now) const;
  void ProbeStarted(host_slot host, const attempt_id& probe, time_point now);
  bool IsProbe(host_slot host, const attempt_id& attempt) const;
  // The probe ended without an outcome; the next one is due after the usual interval.
  void ProbeAbandoned(host_slot host);
  // Counts probes that have run long enough as successes and appends the hosts that this
  // reinstates.
  void Tick(time_point now, std::vector<host_slot>& reinstated);
  // Time at which the next probe is due, and time of the next useful Tick; time_point::max() if
  // none.
  time_point NextProbe() const;
  time_point NextTick() const;

 private:
  // One bucket for each second of the outcome_counts.
  static constexpr std::size_t kBucketCount = 10;
  static constexpr std::size_t kMaxFailedJobs = 3;
  struct bucket {
    std::int64_t second = -1;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
  };
  struct host_outcomes {
    bool present = false;
    bool ejected = false;
    std::array<bucket, kBucketCount> buckets;
    // The most recent distinct jobs that failed, and when each failed last.
    std::array<job_id, kMaxFailedJobs> failed_jobs;
    std::array<time_point, kMaxFailedJobs> failed_at;
    std::uint32_t successful_probes = 0;
    time_point next_probe;
    bool probing = false;
    attempt_id probe;
    time_point probe_started;
  };
  struct outcome_counts {
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
  };

  static void AddOutcome(std::array<bucket, kBucketCount>& buckets, bool failed, time_point now);
  static outcome_counts SumWindow(const std::array<bucket, kBucketCount>& buckets, time_point now);
  void RecordFailedJob(host_outcomes& host, const job_id& job, time_point now) const;
  bool IsOutlier(const host_outcomes& host, time_point now) const;
  bool RecordProbe(host_outcomes& host, bool failed, time_point now);
  void Reinstate(host_outcomes& host);

  bool enabled_;
  std::vector<host_outcomes> hosts_;
  std::vector<host_slot> ejected_hosts_;
  std::array<bucket, kBucketCount> all_hosts_;
  std::size_t host_count_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_EJECTION_H_
