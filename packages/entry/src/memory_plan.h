// Divides the memory of a machine among all that a platform process holds for callers and peers.
//
// Answers callers outside our control, who may fill every part at the same time.
#ifndef SYCAMOREHINGE_ENTRY_SRC_MEMORY_PLAN_H_
#define SYCAMOREHINGE_ENTRY_SRC_MEMORY_PLAN_H_

#include <cstddef>

namespace sycamorehinge {

// Limits of one server.
struct server_share {
  unsigned max_connections = 0;
  // Bytes of requests and answers beside the buffers of the connections.
  std::size_t max_held_bytes = 0;
};

struct memory_plan {
  server_share callers;
  server_share peers;
  server_share readiness;
  // Open jobs, on a machine that owns the cell.
  std::size_t job_bytes = 0;
};

// What a process takes without any of these.
inline constexpr std::size_t kBaseMemory = std::size_t{12} << 20;
// Buffers of a connection with headers of 16 KiB that are not complete.
inline constexpr std::size_t kConnectionBytes = std::size_t{24} << 10;

// `max_sockets` is the number of descriptors that the process may open. Callers take three quarters
// of them at most and peers, each of which keeps some connections to the owner, an eighth.
memory_plan PlanMemory(std::size_t memory_bytes, std::size_t max_sockets);

// Returns the most that a process takes under the plan.
std::size_t MostMemory(const memory_plan& plan);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_MEMORY_PLAN_H_
