#ifndef BRIARSPREAD_FORWARD_DURABLE_SUSPECTS_H_
#define BRIARSPREAD_FORWARD_DURABLE_SUSPECTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "briarspread/contracts/suspect_table.h"
#include "briarspread/core/async_store.h"
#include "briarspread/core/clock.h"
#include "briarspread/fleet/loop_timer.h"

namespace briarspread::forward {

/// Settings of `DurableSuspects`.
struct DurableSuspectsSettings {
  /// Convictions that follow each other within this time are written together.
  milliseconds write_delay{100};
  /// How much later each further writer checks that a conviction was written.
  milliseconds backup_delay{2000};
  /// Number of instances that write a conviction or check that it was written.
  std::size_t max_writers = 2;
  /// Time until a call to the store that failed is repeated.
  milliseconds retry_delay{1000};
  /// Maximum time that a start waits for the store.
  milliseconds max_start_wait{1000};
  /// Maximum number of refused requests that are kept. A request has at most
  /// `SuspectSettings::max_crashes_held` crashes of about 100 bytes, so that
  /// all fit into one value of the store.
  std::size_t max_requests = 128;
};

/// Serializes convictions for the store. Ages count from `written`.
/// Thread-safe.
std::string EncodeStoredSuspects(const SuspectDigest& convictions,
                                 WallTime written);
/// Parses stored convictions, with their ages at `now`. Returns
/// `kInvalidArgument` if the text is malformed. Thread-safe.
Result<SuspectDigest> ParseStoredSuspects(std::string_view text, WallTime now);

/// Keeps the requests that are refused because they crash upstreams in the
/// store, so that instances that all start at once still refuse them. The store
/// is read after a start, and called when a conviction changes; otherwise not.
/// Must be used on the event loop's thread only.
class DurableSuspects final {
 public:
  static constexpr char kKey[] = "suspects/convictions";
  /// Returns this instance's rank among the live ones for a request, from 0.
  /// The first ones write its conviction.
  using RankFunction = std::function<std::size_t(Fingerprint)>;

  /// Precondition: references outlive this object, and this object outlives its
  /// calls to the store.
  DurableSuspects(asio::io_context& loop, SuspectTable& table,
                  AsyncStore& store, const Clock& clock, RankFunction rank,
                  const DurableSuspectsSettings& settings);

  /// Reads the stored convictions, and repeats it until the store answers. Must
  /// be called once.
  void Start();
  /// Reads the stored convictions again, after a time in which this instance
  /// may have missed some.
  void ReadAgain();
  /// Returns whether a start need not wait any longer: the convictions were
  /// read, or `max_start_wait` is over.
  bool is_initial_read_done() const { return is_initial_read_done_; }
  /// Must be called when a request becomes refused, is tried, or is no longer
  /// refused.
  void OnConvictionChanged(Fingerprint request);

 private:
  using Stored = std::optional<KeyValue>;

  void Read();
  void OnRead(const Result<Stored>& stored);
  void ScheduleSave(Duration delay);
  /// Reads what is stored, then writes this instance's convictions if they
  /// differ.
  void Save();
  void Write(const Stored& stored);
  void OnWritten(const Result<StoreOutcome>& outcome, std::size_t requests);
  /// Returns the stored convictions; none if they are absent or malformed.
  SuspectDigest Parse(const Stored& stored) const;

  SuspectTable& table_;
  AsyncStore& store_;
  const Clock& clock_;
  const RankFunction rank_;
  const DurableSuspectsSettings settings_;
  LoopTimer start_timer_;
  LoopTimer read_timer_;
  LoopTimer save_timer_;
  /// When the scheduled save is due.
  TimePoint save_due_{};
  bool is_reading_ = false;
  bool is_saving_ = false;
  bool is_initial_read_done_ = false;
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_DURABLE_SUSPECTS_H_
