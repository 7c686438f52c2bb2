// Replaces operator new to count the bytes that decoders allocate.
#ifndef SYCAMOREHINGE_WIRE_TESTS_ALLOCATION_COUNT_H_
#define SYCAMOREHINGE_WIRE_TESTS_ALLOCATION_COUNT_H_

#include <cstddef>

namespace sycamorehinge {

// Bytes requested from operator new on this thread since the last reset.
void ResetAllocatedBytes();
std::size_t AllocatedBytes();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_WIRE_TESTS_ALLOCATION_COUNT_H_
