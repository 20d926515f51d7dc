#ifndef BRIARSPREAD_CORE_RENDEZVOUS_H_
#define BRIARSPREAD_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// Returns the 64-bit xxHash (XXH3) of `text`, which is the same on every
/// machine. Thread-safe.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// Returns the indexes of `nodes` in descending order of their rendezvous
/// weight for `key`. Removing a node changes the first node only of the keys
/// for which that node was first. Thread-safe.
std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> nodes);

/// Returns the index of the node with the highest rendezvous weight for `key`.
/// Precondition: `nodes` is not empty. Thread-safe.
std::size_t RendezvousFirst(std::string_view key,
                            std::span<const std::string> nodes);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RENDEZVOUS_H_
