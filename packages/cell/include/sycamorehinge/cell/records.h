// Records in the journal of a cell. The journal keeps the newest record of each key.
#ifndef SYCAMOREHINGE_CELL_RECORDS_H_
#define SYCAMOREHINGE_CELL_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "sycamorehinge/cell/work.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::cell {

// The current term of ownership. Run numbers of a term exceed those of all earlier terms.
struct term_record {
  std::uint64_t term = 0;
};

// Addresses of the processes that may still renew leases: the owner, and earlier owners that have
// not confirmed that they stopped. Durable before the owner renews a lease.
struct lease_granters_record {
  std::vector<std::string> addresses;
};

// An accepted job that has not ended. Written once, before the submission is acknowledged.
struct accepted_record {
  job_number job = 0;
  std::string queue;
  std::int64_t accepted_ms = 0;
  job_spec spec;
  // Tenant that submitted the job; empty if there is none.
  std::string tenant{};
};

struct task_progress {
  bool done = false;
  // Numbers of the failed runs. Hosts may report an end repeatedly and in any order; a set of
  // numbers counts each failure once.
  std::vector<std::uint32_t> failed_runs;
};

struct occurrence_progress {
  std::uint32_t number = 0;
  std::vector<std::vector<task_progress>> steps;
};

// Phase and task results of a job. Each record replaces the previous one as a whole.
struct progress_record {
  job_number job = 0;
  std::string queue;
  job_phase phase = job_phase::kQueued;
  // End of the job in Unix milliseconds; 0 while it has not ended.
  std::int64_t ended_ms = 0;
  // All occurrences below this number have ended, except those in `open`.
  std::uint32_t next_occurrence = 0;
  std::vector<occurrence_progress> open;
  // As in accepted_record, which is removed when the job ends.
  std::string tenant{};
};

// Removes the accepted_record of a job that has ended.
struct remove_accepted_job {
  job_number job = 0;
};
// Removes the progress_record of a job, the last record that the journal holds of it.
struct remove_job {
  job_number job = 0;
};

// A job that was cancelled before its submission arrived.
struct cancelled_record {
  job_number job = 0;
  // Time of the cancelling in Unix milliseconds.
  std::int64_t cancelled_ms = 0;
  // Tenant that cancelled it; empty if there is none.
  std::string tenant{};
};
// Removes a cancelled_record.
struct remove_cancelled {
  job_number job = 0;
};

// A host that the owner has used. A later owner polls it even if the platform no longer lists it.
struct host_record {
  host_id host;
  std::string address;
  std::string service;
};
// Removes a host_record.
struct remove_host {
  host_id host;
};

using journal_record = std::variant<term_record, lease_granters_record, accepted_record,
                                    progress_record, remove_accepted_job, remove_job,
                                    cancelled_record, remove_cancelled, host_record, remove_host>;

// Upper bounds of the encoded sizes in bytes, without the key.
std::size_t MaxEncodedBytes(const accepted_record& record);
std::size_t MaxEncodedBytes(const progress_record& record);
// Upper bound for the part of a progress_record that holds one occurrence of the job, of which no
// task has failed.
std::size_t MaxOccurrenceBytes(const job_spec& spec);

}  // namespace sycamorehinge::cell

#endif  // SYCAMOREHINGE_CELL_RECORDS_H_
