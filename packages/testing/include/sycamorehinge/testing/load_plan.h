// Which work the load generator sends: a pure function of the options and a running number.
#ifndef SYCAMOREHINGE_TESTING_LOAD_PLAN_H_
#define SYCAMOREHINGE_TESTING_LOAD_PLAN_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge::testing {

struct weighted_name {
  std::string name;
  double weight = 1;
};

// Parses "confirmation=3,query" into names with weights (1 if none is given).
result<std::vector<weighted_name>> ParseWeights(std::string_view text);

// Range from which a job's declared run time is drawn.
struct run_range {
  duration least = std::chrono::milliseconds(200);
  duration most = std::chrono::milliseconds(2'000);
};

struct load_mix {
  // Prefix of the names of all requests and jobs; unique among the runs of one history.
  std::string name = "load";
  std::uint64_t seed = 1;
  std::string environment = "sutepuu";
  std::string service = "orders";
  std::vector<weighted_name> tenants = {{"tenant", 1}};
  std::vector<weighted_name> request_classes = {{"confirmation", 1}};
  std::vector<weighted_name> job_classes = {{"payout", 1}};
  // Share of all work that is a job, 0..1.
  double job_share = 0;
  // Shares of requests.
  double keyed_share = 0.3;
  // Shares of jobs; the rest are batch jobs.
  double gang_share = 0.1;
  double service_share = 0.05;
  double cancel_share = 0.05;
  double failing_share = 0;
  double once_share = 0.1;
  std::uint32_t most_tasks = 4;
  run_range run;
  // Actual run times and sizes differ from the declared ones by up to this factor.
  double deviation = 2;
  std::int64_t cores_milli = 4'000;
  std::int64_t memory_mb = 8'192;
  std::int64_t accelerators = 0;
  std::size_t body_bytes = 64;
  // Zero sends none.
  duration deadline{};
};

struct planned_request {
  std::string name;
  std::string tenant;
  std::string work_class;
  // Empty for a request that may run more than once.
  std::string key;
  std::string body;
};

enum class job_kind { kBatch, kService, kGang };
std::string_view ToString(job_kind kind);

struct planned_job {
  std::string name;
  std::string tenant;
  std::string work_class;
  job_kind kind = job_kind::kBatch;
  std::uint32_t tasks = 1;
  resources size;
  duration run_time{};
  bool idempotent = true;
  bool cancel = false;
  std::string payload;
};

using planned_work = std::variant<planned_request, planned_job>;

planned_work PlanWork(const load_mix& mix, std::uint64_t number);

// JSON body of POST /v1/jobs.
std::string JobBody(const load_mix& mix, const planned_job& job);

// Answer that the targets of the stand-in give to a request body.
std::string ExpectedAnswer(std::string_view body);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_LOAD_PLAN_H_
