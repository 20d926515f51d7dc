#include "briarspread/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace briarspread {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::size_t> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> nodes) {
  const std::uint64_t key_hash = StableHash(key);
  std::vector<std::uint64_t> weights;
  weights.reserve(nodes.size());
  for (const std::string& node : nodes) {
    weights.push_back(StableHash(node, key_hash));
  }
  std::vector<std::size_t> order(nodes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&weights](std::size_t a, std::size_t b) {
                     return weights[a] > weights[b];
                   });
  return order;
}

std::size_t RendezvousFirst(std::string_view key,
                            std::span<const std::string> nodes) {
  assert(!nodes.empty());
  const std::uint64_t key_hash = StableHash(key);
  std::size_t best = 0;
  std::uint64_t best_weight = StableHash(nodes[0], key_hash);
  for (std::size_t i = 1; i < nodes.size(); ++i) {
    const std::uint64_t weight = StableHash(nodes[i], key_hash);
    if (weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace briarspread
