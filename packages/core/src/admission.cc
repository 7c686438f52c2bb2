#include "sycamorehinge/core/admission.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

// Run time of work that declares none, before any of its class has finished.
constexpr duration kUnknownRequestRun = std::chrono::milliseconds(50);
constexpr duration kUnknownTaskRun = std::chrono::seconds(10);
// Weight of one finished task in the moving averages.
constexpr double kLearnWeight = 0.05;
// Declared run times are wrong by orders of magnitude; the bounds keep one outlier from
// closing or opening a class.
constexpr double kMinRatio = 0.01;
constexpr double kMaxRatio = 100;
constexpr std::uint32_t kMinSamples = 5;
// A class is expected to get at least this share of the room, so that its wait stays finite.
constexpr double kMinShare = 0.01;

constexpr duration kMinRetry = std::chrono::milliseconds(100);
constexpr duration kMaxRetry = std::chrono::seconds(60);
// The advised delay doubles for each period with refusals and falls back after a quiet one.
constexpr duration kLevelPeriod = std::chrono::milliseconds(500);
constexpr duration kLevelReset = std::chrono::seconds(2);
constexpr std::uint32_t kMaxLevel = 5;

template <class Run>
void Average(Run& run, double ratio, double ran_us) {
  const double weight = std::max(kLearnWeight, 1.0 / (run.samples + 1.0));
  run.mean_us += weight * (ran_us - run.mean_us);
  ++run.samples;
  if (ratio <= 0) return;
  const double ratio_weight = std::max(kLearnWeight, 1.0 / (run.ratio_samples + 1.0));
  run.ratio += ratio_weight * (ratio - run.ratio);
  ++run.ratio_samples;
}

}  // namespace

admission::class_load& admission::Load(class_index work_class) {
  if (work_class >= classes_.size()) classes_.resize(work_class + 1);
  return classes_[work_class];
}

duration admission::ExpectedRun(work_kind kind, class_index work_class, tenant_index tenant,
                                duration declared) const {
  const learned_run* run = nullptr;
  if (work_class < classes_.size()) {
    const class_load& load = classes_[work_class];
    run = &load.run;
    if (tenant < load.tenants.size() && load.tenants[tenant].samples >= kMinSamples) {
      run = &load.tenants[tenant];
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
  return kind == work_kind::kRequest ? kUnknownRequestRun : kUnknownTaskRun;
}

void admission::Learn(class_index work_class, tenant_index tenant, duration declared,
                      duration ran) {
  class_load& load = Load(work_class);
  if (tenant >= load.tenants.size()) load.tenants.resize(tenant + 1);
  const double ran_us = static_cast<double>(std::max<std::int64_t>(ran.count(), 1));
  double ratio = 0;
  if (declared.count() > 0) {
    ratio = std::clamp(ran_us / static_cast<double>(declared.count()), kMinRatio, kMaxRatio);
  }
  Average(load.run, ratio, ran_us);
  Average(load.tenants[tenant], ratio, ran_us);
}

std::int64_t admission::VolumeOf(const work_item& item, class_index work_class, tenant_index tenant,
                                 const share_book& shares) const {
  const double share = DominantShare(Times(item.size, item.count), shares.Capacity());
  const duration run = ExpectedRun(item.kind, work_class, tenant, item.run_time);
  return static_cast<std::int64_t>(std::min(share, 1.0) * 1e6 * static_cast<double>(run.count()));
}

void admission::AddBacklog(class_index work_class, std::int64_t volume) {
  Load(work_class).backlog += volume;
}

void admission::RemoveBacklog(class_index work_class, std::int64_t volume) {
  Load(work_class).backlog -= volume;
}

duration admission::ExpectedWait(class_index work_class, const share_book& shares) const {
  if (work_class >= classes_.size() || classes_[work_class].backlog <= 0) return duration(0);
  const class_standing& standing = shares.Class(work_class);
  const double share = std::max({standing.rule.share, standing.share, kMinShare});
  const double wait = static_cast<double>(classes_[work_class].backlog) / 1e6 / share;
  return duration(static_cast<std::int64_t>(wait));
}

admission_verdict admission::Check(const work_item& item, class_index work_class,
                                   tenant_index tenant, time_point now, const share_book& shares) {
  const resources total = Times(item.size, item.count);
  class_load& load = Load(work_class);
  if (!shares.QuotaCouldAllow(tenant, total)) return {errc::kQuotaExceeded, duration(0)};
  // Requests are short-lived and their callers wait, so they are refused where tasks would queue.
  if (item.kind == work_kind::kRequest && !shares.QuotaAllows(tenant, total)) {
    return {errc::kQuotaExceeded, RetryAfter(load, kMinRetry, now)};
  }
  const duration wait = ExpectedWait(work_class, shares);
  const duration longest = shares.Class(work_class).rule.max_wait;
  if (wait > longest) return {errc::kOverloaded, RetryAfter(load, wait - longest, now)};
  if (item.deadline != time_point::max() && wait > item.deadline - now) {
    return {errc::kOverloaded, RetryAfter(load, wait - (item.deadline - now), now)};
  }
  return {};
}

duration admission::RetryAfter(class_load& load, duration excess, time_point now) const {
  if (now - load.raised > kLevelReset) {
    load.level = 0;
    load.raised = now;
  } else if (now - load.raised > kLevelPeriod) {
    load.level = std::min(load.level + 1, kMaxLevel);
    load.raised = now;
  }
  const duration base = std::max(excess, kMinRetry);
  return std::min(kMaxRetry, std::min(base, kMaxRetry) * (std::int64_t{1} << load.level));
}

}  // namespace sycamorehinge
