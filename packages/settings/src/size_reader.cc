#include "size_reader.h"

#include <cmath>

namespace sycamorehinge {

namespace {

constexpr double kMaxCores = 1e7;
constexpr double kMaxMemoryGb = 1e7;
constexpr std::int64_t kMaxAccelerators = 1'000'000;
constexpr std::int64_t kMaxSlots = 10'000'000;

constexpr double kMillisPerCore = 1000;
constexpr double kMbPerGb = 1024;

}  // namespace

resources ReadSize(const toml::table& table, const std::string& path, mistake_list& mistakes) {
  section_reader reader(table, path, mistakes);
  resources size;
  double cores = 0;
  double memory_gb = 0;
  reader.Read("cores", cores, {.least = 0, .most = kMaxCores});
  reader.Read("memory_gb", memory_gb, {.least = 0, .most = kMaxMemoryGb, .unit = "GB"});
  reader.ReadInteger("accelerators", size.accelerators, 0, kMaxAccelerators);
  reader.ReadInteger("slots", size.slots, 0, kMaxSlots);
  reader.Finish();
  size.cores_milli = std::llround(cores * kMillisPerCore);
  size.memory_mb = std::llround(memory_gb * kMbPerGb);
  return size;
}

}  // namespace sycamorehinge
