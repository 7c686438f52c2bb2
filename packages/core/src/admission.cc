#include "sycamorehinge/core/admission.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

// Run times assumed for work that declares none while its class has too few samples.
constexpr duration kDefaultRequestRun = std::chrono::milliseconds(50);
constexpr duration kDefaultTaskRun = std::chrono::seconds(10);
// Smallest weight of a new sample in the moving averages; the first samples weigh 1/n.
constexpr double kMinSampleWeight = 0.05;
// Declared run times may be wrong by orders of magnitude. The bounds keep one outlier from making
// the class refuse or admit all work.
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 100;
constexpr std::uint32_t kMinSamples = 5;
// Smallest share of the capacity that a class is expected to get; keeps the expected wait finite.
constexpr double kMinShare = 0.01;

constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(60);
// The retry delay doubles after each period with refusals and is reset after a time without any.
constexpr duration kBackoffPeriod = std::chrono::milliseconds(500);
constexpr duration kBackoffReset = std::chrono::seconds(2);
constexpr std::uint32_t kMaxBackoffLevel = 5;

template <class Run>
void UpdateAverages(Run& run, double ratio, double ran_us) {
  const double weight = std::max(kMinSampleWeight, 1.0 / (run.samples + 1.0));
  run.mean_us += weight * (ran_us - run.mean_us);
  ++run.samples;
  if (ratio <= 0) return;
  const double ratio_weight = std::max(kMinSampleWeight, 1.0 / (run.ratio_samples + 1.0));
  run.ratio += ratio_weight * (ratio - run.ratio);
  ++run.ratio_samples;
}

}  // namespace

admission::class_state& admission::GetClassState(class_index work_class) {
  if (work_class >= classes_.size()) classes_.resize(work_class + 1);
  return classes_[work_class];
}

duration admission::ExpectedRun(work_kind kind, class_index work_class, tenant_index tenant,
                                duration declared) const {
  const run_estimate* run = nullptr;
  if (work_class < classes_.size()) {
    const class_state& state = classes_[work_class];
    run = &state.run;
    if (tenant < state.tenants.size() && state.tenants[tenant].samples >= kMinSamples) {
      run = &state.tenants[tenant];
    }
  }
  if (declared.count() > 0) {
    const bool learned = run != nullptr && run->ratio_samples >= kMinSamples;
    const double ratio = learned ? run->ratio : 1;
    return duration(static_cast<std::int64_t>(static_cast<double>(declared.count()) * ratio));
  }
  if (run != nullptr && run->samples >= kMinSamples) {
    return duration(static_cast<std::int64_t>(run->mean_us));
  }
  return kind == work_kind::kRequest ? kDefaultRequestRun : kDefaultTaskRun;
}

void admission::RecordRunTime(class_index work_class, tenant_index tenant, duration declared,
                              duration ran) {
  class_state& state = GetClassState(work_class);
  if (tenant >= state.tenants.size()) state.tenants.resize(tenant + 1);
  const double ran_us = static_cast<double>(std::max<std::int64_t>(ran.count(), 1));
  double ratio = 0;
  if (declared.count() > 0) {
    ratio = std::clamp(ran_us / static_cast<double>(declared.count()), kMinRatio, kMaxRatio);
  }
  UpdateAverages(state.run, ratio, ran_us);
  UpdateAverages(state.tenants[tenant], ratio, ran_us);
}

std::int64_t admission::ExpectedWork(const work_item& item, class_index work_class,
                                     tenant_index tenant, const share_accounting& shares) const {
  const double share = DominantShare(Multiply(item.size, item.count), shares.Capacity());
  const duration run = ExpectedRun(item.kind, work_class, tenant, item.run_time);
  return static_cast<std::int64_t>(std::min(share, 1.0) * 1e6 * static_cast<double>(run.count()));
}

void admission::AddBacklog(class_index work_class, std::int64_t volume) {
  GetClassState(work_class).backlog += volume;
}

void admission::RemoveBacklog(class_index work_class, std::int64_t volume) {
  GetClassState(work_class).backlog -= volume;
}

duration admission::ExpectedWait(class_index work_class, const share_accounting& shares) const {
  if (work_class >= classes_.size() || classes_[work_class].backlog <= 0) return duration(0);
  const class_usage& standing = shares.Class(work_class);
  const double share = std::max({standing.rule.share, standing.share, kMinShare});
  const double wait = static_cast<double>(classes_[work_class].backlog) / 1e6 / share;
  return duration(static_cast<std::int64_t>(wait));
}

admission_decision admission::Check(const work_item& item, class_index work_class,
                                    tenant_index tenant, time_point now,
                                    const share_accounting& shares) {
  const resources total = Multiply(item.size, item.count);
  class_state& state = GetClassState(work_class);
  if (!shares.QuotaCouldAllow(tenant, total)) return {errc::kQuotaExceeded, duration(0)};
  // Requests over quota are refused, not queued as tasks are: they are short, and their callers
  // wait.
  if (item.kind == work_kind::kRequest && !shares.QuotaAllows(tenant, total)) {
    return {errc::kQuotaExceeded, RetryAfter(state, kMinRetryAfter, now)};
  }
  const duration wait = ExpectedWait(work_class, shares);
  const duration max_wait = shares.Class(work_class).rule.max_wait;
  if (wait > max_wait) return {errc::kOverloaded, RetryAfter(state, wait - max_wait, now)};
  if (item.deadline != time_point::max() && wait > item.deadline - now) {
    return {errc::kOverloaded, RetryAfter(state, wait - (item.deadline - now), now)};
  }
  return {};
}

duration admission::RetryAfter(class_state& state, duration excess, time_point now) const {
  if (now - state.backoff_level_since > kBackoffReset) {
    state.backoff_level = 0;
    state.backoff_level_since = now;
  } else if (now - state.backoff_level_since > kBackoffPeriod) {
    state.backoff_level = std::min(state.backoff_level + 1, kMaxBackoffLevel);
    state.backoff_level_since = now;
  }
  const duration base = std::max(excess, kMinRetryAfter);
  return std::min(kMaxRetryAfter,
                  std::min(base, kMaxRetryAfter) * (std::int64_t{1} << state.backoff_level));
}

}  // namespace sycamorehinge
