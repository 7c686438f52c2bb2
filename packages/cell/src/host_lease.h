// Knows when the lease of a host is over: the time after which nothing runs there any more, unless
// a later call renews the lease.
//
// A host grants a lease up to the deadline of a call, by its own clock, and for `max_lease` from
// the arrival of the call at most. Deadlines by the present clock of the host bound its lease
// whenever the call arrives. All others do not: a deadline for an earlier life is far ahead of the
// clock of the present one, and those of earlier owners are not known. Such calls grant the longest
// lease from the time at which they are carried out, seconds after they were sent if they get no
// answer.
#ifndef SYCAMOREHINGE_CELL_SRC_HOST_LEASE_H_
#define SYCAMOREHINGE_CELL_SRC_HOST_LEASE_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

inline std::int64_t ToMs(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Allowance for the delay between the clock reading on a host and the arrival of its answer.
inline constexpr duration kClockReadingDelay = std::chrono::milliseconds(100);

struct lease_rules {
  // Lease that a call asks for, and the longest that a host grants.
  duration lease{};
  duration max_lease{};
  // Time after which a call without an answer is carried out at the latest, if at all.
  duration max_call_delay{};
  // Fraction by which the clock of a host may run slow.
  double clock_drift = 0;

  // Time that passes here at most while a lease of this length lasts.
  duration LongestTime(duration length) const;
  // Expiry of a lease whose deadline is far ahead, granted by a call that is carried out at `at` at
  // the latest.
  time_point LongestExpiry(time_point at) const { return at + LongestTime(max_lease); }
  // Time that passes on the clock of a host at least.
  duration ShortestOnHost(duration passed) const;
};

// Calls that may have granted the lease that lasts longest.
enum class lease_grant {
  kOwnCall,
  kCallForEarlierLife,
  kCallOfEarlierOwner,
};
std::string_view ToString(lease_grant grant);

class host_lease {
 public:
  bool HasClock() const { return clock_ms_ != 0; }
  time_point ClockReadAt() const { return clock_read_at_; }
  // Handles a reading of the host's clock that arrived at `now`.
  void OnClock(std::int64_t clock_ms, time_point now);
  // Returns whether a reading in the answer to a call sent at `sent` is behind the last one. Then
  // the host has restarted, or was suspended.
  bool IsBehind(const lease_rules& rules, time_point sent, std::int64_t clock_ms) const;

  // Renews the lease by a call sent at `now`, and returns its deadline on the host's clock.
  std::int64_t Renew(const lease_rules& rules, time_point now);
  // As Renew(), for a call with the deadline of an earlier one.
  std::int64_t Repeat(time_point now);

  // Handles the answer to a call sent at `sent` that may have renewed the lease.
  void OnAnswered(const lease_rules& rules, time_point sent, time_point now);
  // Handles such a call that gets no answer.
  void OnUnanswered(const lease_rules& rules, time_point sent);

  // Handles a clock that is behind.
  void OnSuspectedRestart(const lease_rules& rules, time_point now);
  // Handles a new life of the host, noticed at `now`.
  void OnRestart(const lease_rules& rules, time_point now);
  // Handles the first report of the host in this term or in its present life: from then on it
  // refuses earlier owners, which have sent no call after `last_earlier_grant`.
  void OnFirstReport(const lease_rules& rules, time_point now, time_point last_earlier_grant);

  // Time by which runs have ended that were confirmed in the life of the host that is known.
  time_point Expiry() const { return expires_; }
  // As Expiry(), for a run that may be in a later life. Does not allow for calls that are carried
  // out late: every task whose host falls silent would wait for 22 s, longer than accepted work
  // may.
  time_point UnconfirmedExpiry(const lease_rules& rules) const;
  // What Expiry() is due to.
  lease_grant LongestGrant() const { return granted_by_; }

 private:
  void Extend(time_point expiry, lease_grant grant);
  bool IsForEarlierLife(time_point sent) const { return sent <= life_noticed_at_; }

  // Reading of the host's clock, 0 if unknown, and the local time of that reading.
  std::int64_t clock_ms_ = 0;
  time_point clock_read_at_;
  // Latest deadline sent to the present life, on its clock.
  std::int64_t deadline_ms_ = 0;
  // Time of the last call that granted a lease, and of the last of them that got no answer.
  time_point sent_at_ = time_point::min();
  time_point unanswered_at_ = time_point::min();
  time_point life_noticed_at_ = time_point::min();
  time_point expires_;
  lease_grant granted_by_ = lease_grant::kOwnCall;
};

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_SRC_HOST_LEASE_H_
