#include "allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocated_bytes = 0;

}  // namespace

namespace sycamorehinge {

void ResetAllocatedBytes() { allocated_bytes = 0; }
std::size_t AllocatedBytes() { return allocated_bytes; }

}  // namespace sycamorehinge

void* operator new(std::size_t size) {
  allocated_bytes += size;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  allocated_bytes += size;
  return std::malloc(size);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }
