#ifndef BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_
#define BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace briarspread::bench {

/// Calls of `operator new` so far in this process, which the program replaces
/// to count them. Thread-safe.
std::uint64_t AllocationCount();

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_
