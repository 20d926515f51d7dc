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

/// One prefix cache event of an engine. Events may arrive late, and some may be
/// lost.
struct CacheEvent {
  /// Sequence number; increases by one with each event of the engine.
  std::uint64_t sequence = 0;
  CacheChange change = CacheChange::kStored;
  /// Hash of the prefix, as in `RouteRequest::prefix_hash`.
  std::uint64_t prefix_hash = 0;
};

/// Records which engine probably has which prefix in its cache. The entries are
/// hints: a wrong hint costs a cache miss, never a wrong response. The size is
/// bounded; a full shard evicts its oldest hint. After a gap in the sequence
/// numbers of an engine, all earlier hints for that engine are invalidated,
/// because an eviction may have been among the lost events. Thread-safe.
class CacheHints {
 public:
  /// Precondition: `capacity` >= `kShards`.
  explicit CacheHints(std::size_t capacity);

  /// Applies one event of the engine whose name hashes to `upstream_hash`.
  /// Events with the sequence number of the last event or a lower one are
  /// ignored.
  void ApplyEvent(std::uint64_t upstream_hash, const CacheEvent& event);
  /// Invalidates all hints for an engine and resets its sequence number. Must
  /// be called when an engine has restarted, because its sequence numbers start
  /// again, and when the engine is no longer listed.
  void RemoveEngine(std::uint64_t upstream_hash);
  /// Returns the name hash of the engine that last stored the prefix, or
  /// nothing if no valid hint exists.
  std::optional<std::uint64_t> Find(std::uint64_t prefix_hash) const;
  /// Number of hints, including invalidated ones.
  std::size_t size() const;

  /// Number of shards; each has its own lock.
  static constexpr std::size_t kShards = 16;

 private:
  /// A prefix in the cache of an engine.
  struct Hint {
    std::uint64_t prefix_hash = 0;
    std::uint64_t upstream_hash = 0;
    /// Generation of the engine when the hint was stored. A hint of an older
    /// generation is invalid.
    std::uint32_t generation = 0;
    /// Current generation of the engine; read without `progress_mutex_`.
    std::shared_ptr<const std::atomic<std::uint32_t>> current;
  };
  struct Shard {
    mutable std::mutex mutex;
    /// Hints, oldest first.
    std::list<Hint> hints;
    /// Iterators into `hints` by prefix hash.
    std::unordered_map<std::uint64_t, std::list<Hint>::iterator> by_prefix;
  };
  /// State of the event sequence of one engine.
  struct Progress {
    /// Sequence number of the last event applied.
    std::uint64_t sequence = 0;
    /// Incremented at each gap, which invalidates all hints of the engine
    /// without a search for them.
    std::shared_ptr<std::atomic<std::uint32_t>> generation;
  };

  Shard& ShardOf(std::uint64_t prefix_hash) const;
  std::optional<Hint> AdvanceSequence(std::uint64_t upstream_hash,
                                      const CacheEvent& event);
  void Store(Hint hint);
  void Evict(std::uint64_t upstream_hash, std::uint64_t prefix_hash);

  /// Maximum number of hints in one shard.
  const std::size_t shard_capacity_;
  mutable std::array<Shard, kShards> shards_;
  /// Guards `progress_`.
  mutable std::mutex progress_mutex_;
  /// Event sequence states by the name hash of the engine.
  std::unordered_map<std::uint64_t, Progress> progress_;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_ROUTING_CACHE_HINTS_H_
