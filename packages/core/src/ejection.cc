#include "sycamorehinge/core/ejection.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

constexpr duration kWindow = std::chrono::seconds(10);
constexpr duration kProbeInterval = std::chrono::seconds(5);
// A broken host usually fails tasks quickly, so a probe that is still running after this time
// counts as a success. A repaired host is then reinstated within a minute even if tasks are long.
constexpr duration kProbeSuccessAfter = std::chrono::seconds(15);
constexpr std::uint32_t kProbesToReinstate = 2;
// Largest share of hosts that may be ejected; one of two or more hosts may always be ejected.
constexpr double kMaxEjectedShare = 0.3;
// With fewer outcomes the failure share of a host is not significant.
constexpr std::uint32_t kMinOutcomes = 4;
// A host is an outlier if its failure share reaches the minimum and exceeds that of all other hosts
// by the gap.
constexpr double kMinFailureShare = 0.5;
constexpr double kMinFailureShareGap = 0.3;
constexpr std::uint32_t kMinFailedJobs = 2;

std::int64_t SecondOf(time_point now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

void outlier_ejection::AddHost(host_slot host) {
  if (host >= hosts_.size()) hosts_.resize(host + 1);
  if (hosts_[host].present) return;
  hosts_[host] = host_outcomes();
  hosts_[host].present = true;
  ++host_count_;
}

void outlier_ejection::RemoveHost(host_slot host) {
  if (host >= hosts_.size() || !hosts_[host].present) return;
  std::erase(ejected_hosts_, host);
  hosts_[host] = host_outcomes();
  --host_count_;
}

void outlier_ejection::AddOutcome(std::array<bucket, kBucketCount>& buckets, bool failed,
                                  time_point now) {
  const std::int64_t second = SecondOf(now);
  bucket& current = buckets[static_cast<std::size_t>(second) % kBucketCount];
  if (current.second != second) current = {second, 0, 0};
  ++current.finished;
  if (failed) ++current.failed;
}

outlier_ejection::outcome_counts outlier_ejection::SumWindow(
    const std::array<bucket, kBucketCount>& buckets, time_point now) {
  const std::int64_t oldest = SecondOf(now) - static_cast<std::int64_t>(kBucketCount);
  outcome_counts sum;
  for (const bucket& b : buckets) {
    if (b.second <= oldest) continue;
    sum.finished += b.finished;
    sum.failed += b.failed;
  }
  return sum;
}

void outlier_ejection::RecordFailedJob(host_outcomes& host, const job_id& job,
                                       time_point now) const {
  std::size_t oldest = 0;
  for (std::size_t i = 0; i < kMaxFailedJobs; ++i) {
    if (host.failed_jobs[i] == job) {
      host.failed_at[i] = now;
      return;
    }
    if (host.failed_at[i] < host.failed_at[oldest]) oldest = i;
  }
  host.failed_jobs[oldest] = job;
  host.failed_at[oldest] = now;
}

// Requires failures of several jobs, so that one job that fails on every host ejects none.
bool outlier_ejection::IsOutlier(const host_outcomes& host, time_point now) const {
  const outcome_counts own = SumWindow(host.buckets, now);
  if (own.finished < kMinOutcomes) return false;
  std::uint32_t jobs = 0;
  for (std::size_t i = 0; i < kMaxFailedJobs; ++i) {
    if (host.failed_jobs[i] != job_id() && now - host.failed_at[i] <= kWindow) ++jobs;
  }
  if (jobs < kMinFailedJobs) return false;
  const outcome_counts all = SumWindow(all_hosts_, now);
  const double others_finished = std::max(1.0, static_cast<double>(all.finished - own.finished));
  const double others_share = static_cast<double>(all.failed - own.failed) / others_finished;
  const double share = static_cast<double>(own.failed) / own.finished;
  return share >= kMinFailureShare && share >= others_share + kMinFailureShareGap;
}

bool outlier_ejection::RecordOutcome(host_slot host, const job_id& job, bool failed, bool was_probe,
                                     time_point now) {
  host_outcomes& entry = hosts_[host];
  if (!enabled_ || !entry.present) return false;
  if (entry.ejected) {
    // Attempts placed before the ejection are no evidence of recovery.
    return was_probe && RecordProbe(entry, failed, now);
  }
  AddOutcome(entry.buckets, failed, now);
  AddOutcome(all_hosts_, failed, now);
  if (!failed) return false;
  RecordFailedJob(entry, job, now);
  const double limit = std::max(1.0, kMaxEjectedShare * static_cast<double>(host_count_));
  if (host_count_ < 2 || static_cast<double>(ejected_hosts_.size() + 1) > limit) return false;
  if (!IsOutlier(entry, now)) return false;
  entry.ejected = true;
  entry.successful_probes = 0;
  entry.probing = false;
  entry.next_probe = now + kProbeInterval;
  ejected_hosts_.push_back(host);
  return true;
}

bool outlier_ejection::RecordProbe(host_outcomes& host, bool failed, time_point now) {
  host.probing = false;
  host.next_probe = std::max(now, host.probe_started + kProbeInterval);
  host.successful_probes = failed ? 0 : host.successful_probes + 1;
  if (host.successful_probes < kProbesToReinstate) return false;
  Reinstate(host);
  return true;
}

void outlier_ejection::Reinstate(host_outcomes& host) {
  const auto slot = static_cast<host_slot>(&host - hosts_.data());
  std::erase(ejected_hosts_, slot);
  host = host_outcomes();
  host.present = true;
}

host_slot outlier_ejection::ProbeDue(time_point now) const {
  for (const host_slot host : ejected_hosts_) {
    if (!hosts_[host].probing && hosts_[host].next_probe <= now) return host;
  }
  return kNoSlot;
}

void outlier_ejection::ProbeStarted(host_slot host, const attempt_id& probe, time_point now) {
  hosts_[host].probing = true;
  hosts_[host].probe = probe;
  hosts_[host].probe_started = now;
}

bool outlier_ejection::IsProbe(host_slot host, const attempt_id& attempt) const {
  return hosts_[host].probing && hosts_[host].probe == attempt;
}

void outlier_ejection::ProbeAbandoned(host_slot host) {
  hosts_[host].probing = false;
  hosts_[host].next_probe = hosts_[host].probe_started + kProbeInterval;
}

void outlier_ejection::Tick(time_point now, std::vector<host_slot>& reinstated) {
  const std::vector<host_slot> ejected = ejected_hosts_;
  for (const host_slot host : ejected) {
    host_outcomes& entry = hosts_[host];
    if (!entry.probing || now - entry.probe_started < kProbeSuccessAfter) continue;
    if (RecordProbe(entry, false, now)) reinstated.push_back(host);
  }
}

time_point outlier_ejection::NextProbe() const {
  time_point next = time_point::max();
  for (const host_slot host : ejected_hosts_) {
    if (!hosts_[host].probing) next = std::min(next, hosts_[host].next_probe);
  }
  return next;
}

time_point outlier_ejection::NextTick() const {
  time_point next = time_point::max();
  for (const host_slot host : ejected_hosts_) {
    if (hosts_[host].probing)
      next = std::min(next, hosts_[host].probe_started + kProbeSuccessAfter);
  }
  return next;
}

}  // namespace sycamorehinge
