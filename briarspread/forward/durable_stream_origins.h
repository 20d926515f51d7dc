#ifndef BRIARSPREAD_FORWARD_DURABLE_STREAM_ORIGINS_H_
#define BRIARSPREAD_FORWARD_DURABLE_STREAM_ORIGINS_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/core/async_store.h"
#include "briarspread/fleet/instance_record.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/forward/origin_exchange.h"

namespace briarspread::forward {

/// Settings of `DurableStreamOrigins`.
struct DurableStreamOriginsSettings {
  /// Origins are written together, at most once in this time or in
  /// `interval_per_instance` for each known instance, whichever is longer.
  milliseconds min_write_interval{250};
  milliseconds interval_per_instance{20};
  /// Time after which a written origin is removed from the store. Longer than a
  /// stream and its resumptions last.
  std::chrono::minutes retention{2};
  /// Time after which origins are written under a new store lease; they stay
  /// for the rest of `retention` at least.
  std::chrono::minutes lease_use{1};
  /// Origins are written together up to this sum of the sizes of their ids and
  /// versions, in bytes. Encoded, such a byte takes at most three (an invalid
  /// one is replaced) and an origin about 30 more, so that origins with ids of
  /// three bytes or more fit into one value of the store (1,000,000 bytes).
  std::size_t max_write_bytes = 100'000;
  /// Maximum number of origins that wait to be written; beyond it, the oldest
  /// are dropped.
  std::size_t max_unwritten = 100'000;
  /// The store's list is not read again within this time.
  milliseconds min_read_interval{2000};
  LocalStreamOriginsSettings local;
};

/// Keeps the origins of streams in the store as well, so that they are known
/// after all instances that had them in memory have died. The store is read
/// only if nobody else knows an origin. An origin that could not be written, or
/// was not yet, stays unknown. Must be used on the event loop's thread only.
class DurableStreamOrigins final : public StreamOrigins {
 public:
  /// Returns the number of instances that are known.
  using InstanceCount = std::function<std::size_t()>;

  /// Precondition: references outlive this object, and this object outlives its
  /// calls to the store.
  DurableStreamOrigins(asio::io_context& loop, StreamOrigins& shared,
                       AsyncStore& store, const InstanceRecord& self,
                       const Clock& clock, InstanceCount count_instances,
                       const DurableStreamOriginsSettings& settings);

  void Record(const AttemptId& attempt,
              const SoftwareVersion& software) override;
  void Find(const AttemptId& attempt, Done done) override;

 private:
  void ScheduleWrite();
  void Write();
  /// Returns how many of the unwritten origins, oldest first, are written
  /// together.
  std::size_t CountForOneWrite() const;
  /// Asks for a lease to write under; writes once it is granted.
  void RequestLease();
  void Read();
  void OnRead(const Result<StoreListing>& listing);
  /// Answers the queries that wait for the store.
  void AnswerPending();

  StreamOrigins& shared_;
  AsyncStore& store_;
  const InstanceRecord& self_;
  const Clock& clock_;
  const InstanceCount count_instances_;
  const DurableStreamOriginsSettings settings_;
  LoopTimer write_timer_;
  std::deque<StreamOrigin> unwritten_;
  bool is_calling_ = false;
  StoreLeaseId lease_;
  TimePoint lease_granted_{};
  TimePoint last_write_{};
  std::uint64_t writes_ = 0;
  /// Origins that were read from the store.
  LocalStreamOrigins stored_;
  std::optional<TimePoint> last_read_;
  bool is_reading_ = false;
  std::vector<std::pair<AttemptId, Done>> pending_;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DURABLE_STREAM_ORIGINS_H_
