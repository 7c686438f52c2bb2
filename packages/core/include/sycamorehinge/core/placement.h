// Placement policies, which choose hosts for work from the host index.
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

// Worst fit: the host with the largest free share of its scarcest resource.
struct spread {};
// Best fit: the host that the work fills most evenly and completely, so that large blocks of
// capacity stay free.
struct pack {};
// Like pack, but fills one host with tasks of a gang before it uses the next one.
struct all_at_once {};
// Baselines for measurements: a random host with enough free capacity, and the first one.
struct random_fit {};
struct first_fit {};
using placement_policy = std::variant<spread, pack, all_at_once, random_fit, first_fit>;

placement_policy PolicyByName(placement_kind name);

struct placement_request {
  resources size;
  std::uint32_t count = 1;
  std::span<const host_slot> avoid;
  // Whether hosts that are being drained for this work may be used.
  bool use_drained = false;
};

// Chooses a host for each of the `count` tasks and appends them to `out`. Returns false and leaves
// `out` unchanged if not all tasks fit. `index` is changed during the search and restored.
bool ChooseHosts(const placement_policy& policy, const placement_request& request,
                 host_index& index, std::uint64_t& random, std::vector<host_slot>& out);

// Returns the next number of the splitmix64 generator.
std::uint64_t NextRandom(std::uint64_t& state);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CORE_PLACEMENT_H_
