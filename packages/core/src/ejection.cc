#include "sycamorehinge/core/ejection.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

constexpr duration kWindow = std::chrono::seconds(10);
constexpr duration kProbeInterval = std::chrono::seconds(5);
// Hosts that fail every task fail quickly; a probe that still runs after this time counts as a
// success, so that a mended host is back within a minute even if tasks are long.
constexpr duration kProbeRunsWell = std::chrono::seconds(15);
constexpr std::uint32_t kGoodProbes = 2;
// At most this share of the hosts is ejected, but always one if there are at least two.
constexpr double kMaxEjected = 0.3;
// Fewer outcomes say too little about a host.
constexpr std::uint32_t kMinFinished = 4;
// A host is an outlier above this failure share if it also exceeds its peers' share by the gap.
constexpr double kMinFailureShare = 0.5;
constexpr double kMinGap = 0.3;
constexpr std::uint32_t kMinJobs = 2;

std::int64_t SecondOf(time_point now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

void outlier_ejection::AddHost(host_slot host) {
  if (host >= hosts_.size()) hosts_.resize(host + 1);
  if (hosts_[host].present) return;
  hosts_[host] = host_outcomes();
  hosts_[host].present = true;
  ++present_;
}

void outlier_ejection::RemoveHost(host_slot host) {
  if (host >= hosts_.size() || !hosts_[host].present) return;
  std::erase(ejected_, host);
  hosts_[host] = host_outcomes();
  --present_;
}

void outlier_ejection::CountIn(std::array<bucket, kBuckets>& buckets, bool failed, time_point now) {
  const std::int64_t second = SecondOf(now);
  bucket& target = buckets[static_cast<std::size_t>(second) % kBuckets];
  if (target.second != second) target = {second, 0, 0};
  ++target.finished;
  if (failed) ++target.failed;
}

outlier_ejection::window outlier_ejection::WindowOf(const std::array<bucket, kBuckets>& buckets,
                                                    time_point now) {
  const std::int64_t oldest = SecondOf(now) - static_cast<std::int64_t>(kBuckets);
  window sum;
  for (const bucket& b : buckets) {
    if (b.second <= oldest) continue;
    sum.finished += b.finished;
    sum.failed += b.failed;
  }
  return sum;
}

void outlier_ejection::NoteFailedJob(host_outcomes& host, const job_id& job, time_point now) const {
  std::size_t oldest = 0;
  for (std::size_t i = 0; i < kJobs; ++i) {
    if (host.failed_jobs[i] == job) {
      host.failed_at[i] = now;
      return;
    }
    if (host.failed_at[i] < host.failed_at[oldest]) oldest = i;
  }
  host.failed_jobs[oldest] = job;
  host.failed_at[oldest] = now;
}

// A job that fails wherever it runs must not make its hosts look bad, hence the different jobs.
bool outlier_ejection::IsOutlier(const host_outcomes& host, time_point now) const {
  const window own = WindowOf(host.buckets, now);
  if (own.finished < kMinFinished) return false;
  std::uint32_t jobs = 0;
  for (std::size_t i = 0; i < kJobs; ++i) {
    if (host.failed_jobs[i] != job_id() && now - host.failed_at[i] <= kWindow) ++jobs;
  }
  if (jobs < kMinJobs) return false;
  const window all = WindowOf(all_, now);
  const double peers_finished = std::max(1.0, static_cast<double>(all.finished - own.finished));
  const double peers = static_cast<double>(all.failed - own.failed) / peers_finished;
  const double share = static_cast<double>(own.failed) / own.finished;
  return share >= kMinFailureShare && share >= peers + kMinGap;
}

bool outlier_ejection::Count(host_slot host, const job_id& job, bool failed, bool was_probe,
                             time_point now) {
  host_outcomes& entry = hosts_[host];
  if (!enabled_ || !entry.present) return false;
  if (entry.ejected) {
    // Attempts placed before the ejection say nothing new.
    return was_probe && CountProbe(entry, failed, now);
  }
  CountIn(entry.buckets, failed, now);
  CountIn(all_, failed, now);
  if (!failed) return false;
  NoteFailedJob(entry, job, now);
  const double limit = std::max(1.0, kMaxEjected * static_cast<double>(present_));
  if (present_ < 2 || static_cast<double>(ejected_.size() + 1) > limit) return false;
  if (!IsOutlier(entry, now)) return false;
  entry.ejected = true;
  entry.good_probes = 0;
  entry.probing = false;
  entry.next_probe = now + kProbeInterval;
  ejected_.push_back(host);
  return true;
}

bool outlier_ejection::CountProbe(host_outcomes& host, bool failed, time_point now) {
  host.probing = false;
  host.next_probe = std::max(now, host.probe_started + kProbeInterval);
  host.good_probes = failed ? 0 : host.good_probes + 1;
  if (host.good_probes < kGoodProbes) return false;
  Reinstate(host);
  return true;
}

void outlier_ejection::Reinstate(host_outcomes& host) {
  const auto slot = static_cast<host_slot>(&host - hosts_.data());
  std::erase(ejected_, slot);
  host = host_outcomes();
  host.present = true;
}

host_slot outlier_ejection::ProbeDue(time_point now) const {
  for (const host_slot host : ejected_) {
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

void outlier_ejection::ProbeDropped(host_slot host) {
  hosts_[host].probing = false;
  hosts_[host].next_probe = hosts_[host].probe_started + kProbeInterval;
}

void outlier_ejection::Tick(time_point now, std::vector<host_slot>& reinstated) {
  const std::vector<host_slot> ejected = ejected_;
  for (const host_slot host : ejected) {
    host_outcomes& entry = hosts_[host];
    if (!entry.probing || now - entry.probe_started < kProbeRunsWell) continue;
    if (CountProbe(entry, false, now)) reinstated.push_back(host);
  }
}

time_point outlier_ejection::NextProbe() const {
  time_point next = time_point::max();
  for (const host_slot host : ejected_) {
    if (!hosts_[host].probing) next = std::min(next, hosts_[host].next_probe);
  }
  return next;
}

time_point outlier_ejection::NextTick() const {
  time_point next = time_point::max();
  for (const host_slot host : ejected_) {
    if (hosts_[host].probing) next = std::min(next, hosts_[host].probe_started + kProbeRunsWell);
  }
  return next;
}

}  // namespace sycamorehinge
