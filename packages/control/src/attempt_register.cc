#include "attempt_register.h"

#include <algorithm>

namespace sycamorehinge::control {

attempt_register::sender& attempt_register::SenderOf(const std::string& name) {
  const auto found = senders_.find(name);
  if (found != senders_.end()) return found->second;
  if (senders_.size() >= kMaxSenders) {
    senders_.erase(std::min_element(senders_.begin(), senders_.end(), [](auto& a, auto& b) {
      return a.second.last_used < b.second.last_used;
    }));
  }
  return senders_[name];
}

bool attempt_register::Admit(const call_attempt& attempt) {
  sender& from = SenderOf(attempt.sender);
  from.last_used = ++admissions_;
  if (attempt.oldest_open_call > from.oldest_open_call) {
    from.oldest_open_call = attempt.oldest_open_call;
    from.repeated.erase(from.repeated.begin(), from.repeated.lower_bound(from.oldest_open_call));
  }
  if (attempt.call < from.oldest_open_call) return false;
  const auto newest = from.repeated.find(attempt.call);
  if (newest != from.repeated.end() && attempt.number < newest->second) return false;
  // Nothing precedes a first attempt.
  if (attempt.number > 1) from.repeated[attempt.call] = attempt.number;
  return true;
}

}  // namespace sycamorehinge::control
