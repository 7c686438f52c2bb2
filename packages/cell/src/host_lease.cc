#include "host_lease.h"

#include <algorithm>

namespace sycamorehinge::cell {

std::string_view ToString(lease_grant grant) {
  switch (grant) {
    case lease_grant::kOwnCall:
      return "this owner";
    case lease_grant::kCallForEarlierLife:
      return "a call for an earlier life of the host";
    case lease_grant::kCallOfEarlierOwner:
      return "an earlier owner";
  }
  return "unknown";
}

duration lease_rules::LongestTime(duration length) const {
  return std::chrono::duration_cast<duration>(length / (1 - clock_drift)) + kClockReadingDelay;
}

duration lease_rules::ShortestOnHost(duration passed) const {
  return std::chrono::duration_cast<duration>(passed * (1 - clock_drift));
}

void host_lease::Extend(time_point expiry, lease_grant grant) {
  if (expiry <= expires_) return;
  expires_ = expiry;
  granted_by_ = grant;
}

void host_lease::OnClock(std::int64_t clock_ms, time_point now) {
  clock_ms_ = clock_ms;
  clock_read_at_ = now;
}

bool host_lease::IsBehind(const lease_rules& rules, time_point sent, std::int64_t clock_ms) const {
  if (!HasClock()) return false;
  duration passed = sent - clock_read_at_;
  if (passed > duration::zero()) passed = rules.ShortestOnHost(passed);
  return clock_ms < clock_ms_ + ToMs(passed - kClockReadingDelay);
}

std::int64_t host_lease::Renew(const lease_rules& rules, time_point now) {
  sent_at_ = now;
  const duration passed = rules.ShortestOnHost(now - clock_read_at_);
  deadline_ms_ = std::max(deadline_ms_, clock_ms_ + ToMs(passed + rules.lease));
  const auto left = std::chrono::milliseconds(deadline_ms_ - clock_ms_);
  Extend(clock_read_at_ + rules.LongestTime(left), lease_grant::kOwnCall);
  return deadline_ms_;
}

std::int64_t host_lease::Repeat(time_point now) {
  sent_at_ = now;
  return deadline_ms_;
}

void host_lease::OnAnswered(const lease_rules& rules, time_point sent, time_point now) {
  if (!IsForEarlierLife(sent)) return;
  Extend(rules.LongestExpiry(now), lease_grant::kCallForEarlierLife);
}

void host_lease::OnUnanswered(const lease_rules& rules, time_point sent) {
  unanswered_at_ = std::max(unanswered_at_, sent);
  if (!IsForEarlierLife(sent)) return;
  Extend(rules.LongestExpiry(sent + rules.max_call_delay), lease_grant::kCallForEarlierLife);
}

void host_lease::OnSuspectedRestart(const lease_rules& rules, time_point now) {
  clock_ms_ = 0;
  life_noticed_at_ = now;
  const time_point last_carried_out = std::max(now, unanswered_at_ + rules.max_call_delay);
  Extend(rules.LongestExpiry(last_carried_out), lease_grant::kCallForEarlierLife);
}

void host_lease::OnRestart(const lease_rules& rules, time_point now) {
  deadline_ms_ = 0;
  OnSuspectedRestart(rules, now);
}

void host_lease::OnFirstReport(const lease_rules& rules, time_point now,
                               time_point last_earlier_grant) {
  const time_point last_carried_out = std::min(now, last_earlier_grant + rules.max_call_delay);
  Extend(rules.LongestExpiry(last_carried_out), lease_grant::kCallOfEarlierOwner);
}

time_point host_lease::UnconfirmedExpiry(const lease_rules& rules) const {
  return std::max(expires_, rules.LongestExpiry(sent_at_));
}

}  // namespace sycamorehinge::cell
