#include "memory_plan.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

// Parts of the memory that is left beside kBaseMemory; together 7/8 of it.
constexpr std::size_t kCallerConnections = 4;
constexpr std::size_t kCallerBytes = 8;
constexpr std::size_t kPeerConnections = 16;
constexpr std::size_t kPeerBytes = 8;
constexpr std::size_t kReadiness = 32;
constexpr std::size_t kJobs = 4;
// The readiness check asks once a second, and its bodies are empty.
constexpr std::size_t kReadinessConnections = 64;

unsigned ConnectionsIn(std::size_t bytes, std::size_t most) {
  return static_cast<unsigned>(std::max<std::size_t>(std::min(bytes / kConnectionBytes, most), 1));
}

std::size_t MostMemory(const server_share& share) {
  return share.max_connections * kConnectionBytes + share.max_held_bytes;
}

}  // namespace

memory_plan PlanMemory(std::size_t memory_bytes, std::size_t max_sockets) {
  const std::size_t left = std::max(memory_bytes, 2 * kBaseMemory) - kBaseMemory;
  memory_plan plan;
  plan.callers = {ConnectionsIn(left / kCallerConnections, max_sockets * 3 / 4),
                  left / kCallerBytes};
  plan.peers = {ConnectionsIn(left / kPeerConnections, max_sockets / 8), left / kPeerBytes};
  const unsigned checks = ConnectionsIn(left / kReadiness / 2, kReadinessConnections);
  plan.readiness = {checks, left / kReadiness / 2};
  plan.job_bytes = left / kJobs;
  return plan;
}

std::size_t MostMemory(const memory_plan& plan) {
  return kBaseMemory + MostMemory(plan.callers) + MostMemory(plan.peers) +
         MostMemory(plan.readiness) + plan.job_bytes;
}

}  // namespace sycamorehinge
