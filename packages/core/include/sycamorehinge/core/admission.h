// Admission control: refuses work that would wait too long, and estimates run times from finished
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

struct admission_decision {
  // kOk if the work is admitted.
  errc code = errc::kOk;
  duration retry_after{};
};

class admission {
 public:
  // Estimated run time of work with the declared run time `declared` (zero if none is declared).
  duration ExpectedRun(work_kind kind, class_index work_class, tenant_index tenant,
                       duration declared) const;
  // Updates the estimates with the run time of finished work.
  void RecordRunTime(class_index work_class, tenant_index tenant, duration declared, duration ran);

  // Expected work of an item: its dominant share of the capacity times its estimated run time, in
  // millionths of the capacity times microseconds. The backlog of a class is the sum over its
  // items.
  std::int64_t ExpectedWork(const work_item& item, class_index work_class, tenant_index tenant,
                            const share_accounting& shares) const;
  void AddBacklog(class_index work_class, std::int64_t volume);
  void RemoveBacklog(class_index work_class, std::int64_t volume);

  // Expected wait of new work of the class: its backlog divided by its expected share of the
  // capacity.
  duration ExpectedWait(class_index work_class, const share_accounting& shares) const;

  // Decides whether new work that cannot start at once may wait.
  admission_decision Check(const work_item& item, class_index work_class, tenant_index tenant,
                           time_point now, const share_accounting& shares);

 private:
  struct run_estimate {
    // Moving averages of the ratio of actual to declared run time and of the actual run time.
    double ratio = 1;
    double mean_us = 0;
    std::uint32_t samples = 0;
    std::uint32_t ratio_samples = 0;
  };
  struct class_state {
    std::int64_t backlog = 0;
    run_estimate run;
    std::vector<run_estimate> tenants;
    // Each level doubles the retry delay; recent refusals raise it.
    std::uint32_t backoff_level = 0;
    time_point backoff_level_since;
  };
  duration RetryAfter(class_state& state, duration excess, time_point now) const;
  class_state& GetClassState(class_index work_class);

  std::vector<class_state> classes_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_ADMISSION_H_
