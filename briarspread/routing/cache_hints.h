#ifndef BRIARSPREAD_ROUTING_CACHE_HINTS_H_
#define BRIARSPREAD_ROUTING_CACHE_HINTS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "briarspread/core/ids.h"

namespace briarspread {

/// What happened to a prefix in an engine's cache.
enum class CacheChange { kStored, kEvicted };

/// One cache event of an engine. Events arrive late and with gaps.
struct CacheEvent {
  /// Counts up by one with each event of the engine.
  std::uint64_t sequence = 0;
  /// What happened.
  CacheChange change = CacheChange::kStored;
  /// The prefix, hashed as in `RouteRequest::prefix_hash`.
  std::uint64_t prefix_hash = 0;
};

/// Which engine is thought to hold which prefix. Hints only: a wrong one costs
/// a cache miss, never a wrong answer. Bounded: the prefix heard of longest ago
/// makes room. After a gap in an engine's events all that was known of it is
/// dropped, as an eviction may have been missed. Thread-safe.
class CacheHints {
 public:
  /// Precondition: `capacity` >= `kShards`.
  explicit CacheHints(std::size_t capacity);

  /// Takes one event of the engine whose name hashes to `upstream_hash`.
  /// Events that were seen already are ignored.
  void Take(std::uint64_t upstream_hash, const CacheEvent& event);
  /// Drops all that is known of an engine. Call it when an engine has restarted
  /// (its sequence begins anew) or has left the list.
  void Forget(std::uint64_t upstream_hash);
  /// The name hash of the engine that last stored the prefix; empty where none
  /// is known.
  std::optional<std::uint64_t> Find(std::uint64_t prefix_hash) const;
  /// Prefixes known, valid or not.
  std::size_t size() const;

  /// Parts with a lock each.
  static constexpr std::size_t kShards = 16;

 private:
  /// One prefix in one engine.
  struct Hint {
    std::uint64_t prefix_hash = 0;
    std::uint64_t upstream_hash = 0;
    /// The engine's generation when it was stored; a hint of an older
    /// generation is void.
    std::uint32_t generation = 0;
    /// The engine's generation now; read without `progress_mutex_`.
    std::shared_ptr<const std::atomic<std::uint32_t>> current;
  };
  struct Shard {
    mutable std::mutex mutex;
    /// Oldest first.
    std::list<Hint> hints;
    /// Into `hints`, by prefix.
    std::unordered_map<std::uint64_t, std::list<Hint>::iterator> by_prefix;
  };
  /// How far an engine's events were followed.
  struct Progress {
    std::uint64_t sequence = 0;
    /// Goes up with each gap, so that dropping costs nothing.
    std::shared_ptr<std::atomic<std::uint32_t>> generation;
  };

  Shard& ShardOf(std::uint64_t prefix_hash) const;
  std::optional<Hint> Follow(std::uint64_t upstream_hash,
                             const CacheEvent& event);
  void Store(Hint hint);
  void Evict(std::uint64_t upstream_hash, std::uint64_t prefix_hash);

  /// Prefixes that one shard holds.
  const std::size_t shard_capacity_;
  /// The hints.
  mutable std::array<Shard, kShards> shards_;
  /// Guards `progress_`.
  mutable std::mutex progress_mutex_;
  /// By engine.
  std::unordered_map<std::uint64_t, Progress> progress_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_CACHE_HINTS_H_
