// Placement policies: choose hosts for work from the index.
#ifndef SYCAMOREHINGE_CORE_PLACEMENT_H_
#define SYCAMOREHINGE_CORE_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "sycamorehinge/core/document.h"
#include "sycamorehinge/core/host_index.h"
#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// The host with the largest share of its room free.
struct spread {};
// The host that the work fills best, so that large room stays whole.
struct pack {};
// Like pack, and fills one host with tasks of a gang before the next.
struct all_at_once {};
// Measured baselines: any host with room, and the first one.
struct random_fit {};
struct first_fit {};
using placement_policy = std::variant<spread, pack, all_at_once, random_fit, first_fit>;

placement_policy PolicyByName(placement_name name);

struct placement_request {
  resources size;
  std::uint32_t count = 1;
  std::span<const host_slot> avoid;
  // Hosts that are drained for this work may be used.
  bool use_drained = false;
};

// Chooses a host for each of the `count` tasks and appends them to `out`; appends nothing and
// returns false if not all of them fit. The index is the same afterwards as before.
bool ChooseHosts(const placement_policy& policy, const placement_request& request,
                 host_index& index, std::uint64_t& random, std::vector<host_slot>& out);

// Next number of a small deterministic generator (splitmix64).
std::uint64_t NextRandom(std::uint64_t& state);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_PLACEMENT_H_
