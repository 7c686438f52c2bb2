#include "random_id.h"

#include <random>
#include <string_view>

namespace sycamorehinge {

std::string RandomId() {
  constexpr int kDigits = 32;
  constexpr std::string_view kAlphabet = "0123456789abcdef";
  std::random_device device;
  std::string id = "ctl-";
  for (int digit = 0; digit < kDigits; ++digit) id += kAlphabet[device() % kAlphabet.size()];
  return id;
}

}  // namespace sycamorehinge
