#ifndef BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_
#define BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace briarspread::bench {

/// Returns the number of calls of the global `operator new` in this process.
/// The program replaces that operator to count the calls. Thread-safe.
std::uint64_t AllocationCount();

}  // namespace briarspread::bench

#endif  // BENCH_ROUTING_BENCH_ALLOCATION_COUNTER_H_
