// The environment document, which operators write, apply to trial and promote to production.
#ifndef SYCAMOREHINGE_CORE_DOCUMENT_H_
#define SYCAMOREHINGE_CORE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

enum class work_kind { kRequest, kBatch, kService, kGang };
enum class placement_kind { kSpread, kPack, kAllAtOnce, kRandom, kFirstFit };
enum class stage_name { kTrial, kProduction };

// A class of work, for example "confirmation" or "payout".
struct class_rule {
  class_id name;
  // Guaranteed share of the capacity, 0..1; the shares of all classes add up to at most 1.
  double share = 0;
  // Largest share of the capacity that the class may hold, 0..1.
  double limit = 1;
  // Classes that have their guaranteed share are served in descending order of urgency.
  std::int32_t urgency = 0;
  // New work of the class is refused if its expected wait is longer.
  duration max_wait = std::chrono::seconds(30);
};

// A customer team. Its quotas hold over all entry processes.
struct tenant_rule {
  tenant_id name;
  // Region whose partitions store the jobs and idempotency keys of the tenant.
  region_id home;
  // Weight relative to the other tenants of a class.
  double weight = 1;
  // Most resources held at once; a zero field means no quota.
  resources quota;
  // Most jobs open at once; 0 means no quota.
  std::uint32_t max_jobs = 0;
};

// A service whose requests are answered by targets.
struct service_rule {
  service_id name;
  // Longest time that a target may take for one request.
  duration timeout = std::chrono::seconds(10);
  // Slots that one request takes on a target.
  std::int64_t slots = 1;
};

struct retry_rule {
  std::uint32_t max_attempts = 3;
  // Largest number of retries as a share of first attempts.
  double budget = 0.1;
  duration backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::seconds(5);
};

struct placement_rules {
  placement_kind request = placement_kind::kSpread;
  placement_kind batch = placement_kind::kPack;
  placement_kind service = placement_kind::kSpread;
  placement_kind gang = placement_kind::kAllAtOnce;
};

struct environment_document {
  environment_id name;
  std::vector<service_rule> services;
  std::vector<class_rule> classes;
  std::vector<tenant_rule> tenants;
  placement_rules placement;
  retry_rule retry;

  // These return null if there is no such entry.
  const service_rule* FindService(std::string_view service) const;
  const class_rule* FindClass(std::string_view work_class) const;
  const tenant_rule* FindTenant(std::string_view tenant) const;
};

std::string_view ToString(work_kind kind);
std::string_view ToString(placement_kind name);
std::string_view ToString(stage_name stage);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_DOCUMENT_H_
