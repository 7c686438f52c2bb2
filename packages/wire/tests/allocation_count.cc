#include "allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::size_t allocated = 0;

}  // namespace

namespace sycamorehinge {

void ResetAllocated() { allocated = 0; }
std::size_t Allocated() { return allocated; }

}  // namespace sycamorehinge

void* operator new(std::size_t size) {
  allocated += size;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  allocated += size;
  return std::malloc(size);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }
