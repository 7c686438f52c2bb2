// Early refusal of work that would wait too long, and expected run times learned from finished
// work.
#ifndef SYCAMOREHINGE_CORE_ADMISSION_H_
#define SYCAMOREHINGE_CORE_ADMISSION_H_

#include <cstdint>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/pool.h"
#include "sycamorehinge/core/shares.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

struct admission_verdict {
  // kOk admits the work.
  errc code = errc::kOk;
  duration retry_after{};
};

class admission {
 public:
  // Run time to expect of work that declares `declared` (zero if it declares none).
  duration ExpectedRun(work_kind kind, class_index work_class, tenant_index tenant,
                       duration declared) const;
  // Takes the run time of finished work into account.
  void Learn(class_index work_class, tenant_index tenant, duration declared, duration ran);

  // Share of the room times expected run time of an item, in millionths of the room times
  // microseconds; added to and removed from the backlog of the class.
  std::int64_t VolumeOf(const work_item& item, class_index work_class, tenant_index tenant,
                        const share_book& shares) const;
  void AddBacklog(class_index work_class, std::int64_t volume);
  void RemoveBacklog(class_index work_class, std::int64_t volume);

  // Expected wait of new work of the class, from the backlog and the room that the class gets.
  duration ExpectedWait(class_index work_class, const share_book& shares) const;

  // Decides on new work that would have to wait.
  admission_verdict Check(const work_item& item, class_index work_class, tenant_index tenant,
                          time_point now, const share_book& shares);

 private:
  struct learned_run {
    // Moving averages: ratio of actual to declared run time, and actual run time.
    double ratio = 1;
    double mean_us = 0;
    std::uint32_t samples = 0;
    std::uint32_t ratio_samples = 0;
  };
  struct class_load {
    std::int64_t backlog = 0;
    learned_run run;
    std::vector<learned_run> tenants;
    // Recent refusals lengthen the advised delay.
    std::uint32_t level = 0;
    time_point raised;
  };
  duration RetryAfter(class_load& load, duration excess, time_point now) const;
  class_load& Load(class_index work_class);

  std::vector<class_load> classes_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ADMISSION_H_
