#include "briarspread/routing/cache_hints.h"

#include <cassert>
#include <iterator>
#include <utility>

namespace briarspread {

CacheHints::CacheHints(std::size_t capacity)
    : shard_capacity_(capacity / kShards) {
  assert(capacity >= kShards);
}

CacheHints::Shard& CacheHints::ShardOf(std::uint64_t prefix_hash) const {
  return shards_[prefix_hash % kShards];
}

std::optional<CacheHints::Hint> CacheHints::AdvanceSequence(
    std::uint64_t upstream_hash, const CacheEvent& event) {
  std::lock_guard lock(progress_mutex_);
  const auto [it, is_new] = progress_.try_emplace(upstream_hash);
  Progress& progress = it->second;
  if (is_new) {
    progress.generation = std::make_shared<std::atomic<std::uint32_t>>(0);
  } else {
    if (event.sequence <= progress.sequence) return std::nullopt;
    if (event.sequence != progress.sequence + 1) ++*progress.generation;
  }
  progress.sequence = event.sequence;
  return Hint{event.prefix_hash, upstream_hash, progress.generation->load(),
              progress.generation};
}

void CacheHints::ApplyEvent(std::uint64_t upstream_hash,
                            const CacheEvent& event) {
  std::optional<Hint> hint = AdvanceSequence(upstream_hash, event);
  if (!hint.has_value()) return;
  if (event.change == CacheChange::kStored) {
    Store(*std::move(hint));
  } else {
    Evict(upstream_hash, event.prefix_hash);
  }
}

void CacheHints::Store(Hint hint) {
  Shard& shard = ShardOf(hint.prefix_hash);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.by_prefix.find(hint.prefix_hash);
  if (it != shard.by_prefix.end()) {
    shard.hints.erase(it->second);
    shard.by_prefix.erase(it);
  } else if (shard.hints.size() >= shard_capacity_) {
    shard.by_prefix.erase(shard.hints.front().prefix_hash);
    shard.hints.pop_front();
  }
  shard.hints.push_back(std::move(hint));
  const auto last = std::prev(shard.hints.end());
  shard.by_prefix[last->prefix_hash] = last;
}

void CacheHints::Evict(std::uint64_t upstream_hash, std::uint64_t prefix_hash) {
  Shard& shard = ShardOf(prefix_hash);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.by_prefix.find(prefix_hash);
  if (it == shard.by_prefix.end()) return;
  if (it->second->upstream_hash != upstream_hash) return;
  shard.hints.erase(it->second);
  shard.by_prefix.erase(it);
}

void CacheHints::RemoveEngine(std::uint64_t upstream_hash) {
  std::lock_guard lock(progress_mutex_);
  const auto it = progress_.find(upstream_hash);
  if (it == progress_.end()) return;
  ++*it->second.generation;
  progress_.erase(it);
}

std::optional<std::uint64_t> CacheHints::Find(std::uint64_t prefix_hash) const {
  const Shard& shard = ShardOf(prefix_hash);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.by_prefix.find(prefix_hash);
  if (it == shard.by_prefix.end()) return std::nullopt;
  const Hint& hint = *it->second;
  if (hint.current->load() != hint.generation) return std::nullopt;
  return hint.upstream_hash;
}

std::size_t CacheHints::size() const {
  std::size_t total = 0;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex);
    total += shard.hints.size();
  }
  return total;
}

}  // namespace briarspread
