#ifndef BRIARSPREAD_CORE_RENDEZVOUS_H_
#define BRIARSPREAD_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briarspread {

/// The 64-bit xxHash of `text`; the same on every machine. Thread-safe.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// The indexes of `nodes` from the highest rendezvous weight for `key` down to
/// the lowest. Removing a node moves only the keys it was first for.
/// Thread-safe.
std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> nodes);

/// The index of the node with the highest weight for `key`.
/// Precondition: `nodes` is not empty. Thread-safe.
std::size_t RendezvousFirst(std::string_view key,
                            std::span<const std::string> nodes);

}  // namespace briarspread

#endif  // BRIARSPREAD_CORE_RENDEZVOUS_H_
