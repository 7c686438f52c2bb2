#include "attempt_register.h"

#include <algorithm>

namespace sycamorehinge::control {

attempt_register::sender& attempt_register::SenderOf(std::string_view name) {
  const auto found = senders_.find(name);
  if (found != senders_.end()) return found->second;
  if (senders_.size() >= kMaxSenders) {
    senders_.erase(std::min_element(
        senders_.begin(), senders_.end(),
        [](const auto& a, const auto& b) { return a.second.last_used < b.second.last_used; }));
  }
  return senders_[std::string(name)];
}

bool attempt_register::Admit(const call_attempt& attempt) {
  sender& from = SenderOf(attempt.sender);
  from.last_used = ++admissions_;
  if (attempt.oldest_open_call > from.oldest_open_call) {
    from.oldest_open_call = attempt.oldest_open_call;
    from.repeated.erase(from.repeated.begin(), from.repeated.lower_bound(from.oldest_open_call));
  }
  if (attempt.call_number < from.oldest_open_call) return false;
  const auto newest = from.repeated.find(attempt.call_number);
  if (newest != from.repeated.end() && attempt.attempt_number < newest->second) return false;
  // Nothing precedes a first attempt.
  if (attempt.attempt_number > 1) from.repeated[attempt.call_number] = attempt.attempt_number;
  return true;
}

}  // namespace sycamorehinge::control
