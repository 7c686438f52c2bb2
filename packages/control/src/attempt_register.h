// Tells attempts that their senders still wait for from those that they have replaced or given up.
// The latter must not take effect: the sender may have been refused the call since.
#ifndef SYCAMOREHINGE_CONTROL_SRC_ATTEMPT_REGISTER_H_
#define SYCAMOREHINGE_CONTROL_SRC_ATTEMPT_REGISTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "sycamorehinge/control/calls.h"

namespace sycamorehinge::control {

class attempt_register {
 public:
  // Of more senders, those that have sent no attempt for the longest time are forgotten. A process
  // that starts again is another sender.
  static constexpr std::size_t kMaxSenders = 1024;

  // Records the attempt. Returns false if a later attempt of the call has been recorded, or if the
  // sender has told that the call has ended.
  bool Admit(const call_attempt& attempt);

 private:
  struct sender {
    std::uint64_t oldest_open_call = 0;
    // Newest attempt of each open call that was attempted again.
    std::map<std::uint64_t, std::uint32_t> repeated;
    // Value of `admissions_` at the last attempt.
    std::uint64_t last_used = 0;
  };
  sender& SenderOf(std::string_view name);

  std::map<std::string, sender, std::less<>> senders_;
  std::uint64_t admissions_ = 0;
};

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_SRC_ATTEMPT_REGISTER_H_
