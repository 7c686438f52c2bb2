// What the journal of a cell keeps: the newest record of each key.
#ifndef SYCAMOREHINGE_CELL_RECORDS_H_
#define SYCAMOREHINGE_CELL_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// The ownership that runs. Runs of a term are numbered above those of all earlier terms.
struct term_record {
  std::uint64_t term = 0;
};

// An accepted job that has not ended. Written once, before the caller is told.
struct accepted_record {
  job_number job = 0;
  std::string queue;
  std::int64_t accepted_ms = 0;
  job_spec spec;
};

struct task_progress {
  bool done = false;
  // Runs that failed. Their ends may be reported again, in any order, and count once.
  std::vector<std::uint32_t> failed_runs;
};

struct occurrence_progress {
  std::uint32_t number = 0;
  std::vector<std::vector<task_progress>> steps;
};

// What has become of a job; replaced as a whole.
struct progress_record {
  job_number job = 0;
  std::string queue;
  job_phase phase = job_phase::kQueued;
  // Wall-clock milliseconds of the end; 0 while the job goes on.
  std::int64_t ended_ms = 0;
  // Occurrences below this one have ended, apart from those listed.
  std::uint32_t next_occurrence = 0;
  std::vector<occurrence_progress> open;
};

// Removes the accepted record of a job that has ended.
struct retire_job {
  job_number job = 0;
};
// Removes all that is known of a job.
struct forget_job {
  job_number job = 0;
};

// A host that the owner has used. A later owner looks at it even if the platform's list lost it.
struct host_record {
  host_id host;
  std::string address;
  std::string service;
};
struct forget_host {
  host_id host;
};

using journal_record = std::variant<term_record, accepted_record, progress_record, retire_job,
                                    forget_job, host_record, forget_host>;

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_RECORDS_H_
