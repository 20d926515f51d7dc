#include "bench/routing_bench/allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocation_count{0};

}  // namespace

void* operator new(std::size_t size) {
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  void* const memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace briarspread::bench {

std::uint64_t AllocationCount() { return allocation_count.load(); }

}  // namespace briarspread::bench
