// Outlier ejection: hosts that fail far more often than their peers get no work but probes.
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

  // Adds a host, or forgets the outcomes of a known one.
  void AddHost(host_slot host);
  void RemoveHost(host_slot host);

  // Counts the outcome of an attempt. True if the host was ejected or reinstated by it.
  bool Count(host_slot host, const job_id& job, bool failed, bool was_probe, time_point now);
  bool IsEjected(host_slot host) const { return hosts_[host].ejected; }

  // An ejected host whose probe is due; kNoSlot if there is none.
  host_slot ProbeDue(time_point now) const;
  void ProbeStarted(host_slot host, const attempt_id& probe, time_point now);
  bool IsProbe(host_slot host, const attempt_id& attempt) const;
  // A probe that left without an outcome: the next one is due after the usual interval.
  void ProbeDropped(host_slot host);
  // Counts probes that have run long enough as successes; appends hosts that come back.
  void Tick(time_point now, std::vector<host_slot>& reinstated);
  // When the next probe is due, and when Tick would count a probe; time_point::max() if never.
  time_point NextProbe() const;
  time_point NextTick() const;

 private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr std::size_t kJobs = 3;
  struct bucket {
    std::int64_t second = -1;
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
  };
  struct host_outcomes {
    bool present = false;
    bool ejected = false;
    std::array<bucket, kBuckets> buckets;
    // The last different jobs that failed, and when.
    std::array<job_id, kJobs> failed_jobs;
    std::array<time_point, kJobs> failed_at;
    std::uint32_t good_probes = 0;
    time_point next_probe;
    bool probing = false;
    attempt_id probe;
    time_point probe_started;
  };
  struct window {
    std::uint32_t finished = 0;
    std::uint32_t failed = 0;
  };

  static void CountIn(std::array<bucket, kBuckets>& buckets, bool failed, time_point now);
  static window WindowOf(const std::array<bucket, kBuckets>& buckets, time_point now);
  void NoteFailedJob(host_outcomes& host, const job_id& job, time_point now) const;
  bool IsOutlier(const host_outcomes& host, time_point now) const;
  bool CountProbe(host_outcomes& host, bool failed, time_point now);
  void Reinstate(host_outcomes& host);

  bool enabled_;
  std::vector<host_outcomes> hosts_;
  std::vector<host_slot> ejected_;
  std::array<bucket, kBuckets> all_;
  std::size_t present_ = 0;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_EJECTION_H_
