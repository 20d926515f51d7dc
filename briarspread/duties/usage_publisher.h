#ifndef BRIARSPREAD_DUTIES_USAGE_PUBLISHER_H_
#define BRIARSPREAD_DUTIES_USAGE_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarspread/duties/true_time.h"
#include "briarspread/duties/usage_counter.h"
#include "briarspread/duties/usage_digest.h"
#include "briarspread/fleet/instance_registry.h"

namespace briarspread::duties {

/// Settings of `UsagePublisher`.
struct UsagePublisherSettings {
  /// Interval at which clock readings are exchanged while no count changes.
  milliseconds clock_interval{10'000};
  /// Maximum number of counts in one message, of about 12 bytes each.
  std::size_t max_counts_per_message = 50'000;
};

/// Sends this instance's counts to the holder of the order lease and to one
/// further instance, which all instances choose alike by rendezvous hashing.
/// Only counts that changed since the last answered message are sent; a new
/// recipient gets all of them, and the counts of instances that are not
/// registered any more. Clock readings are exchanged with the same messages.
/// Loop's thread only.
class UsagePublisher final {
 public:
  /// Receives the answer to a message; nothing if there was none.
  using OnAnswer = std::function<void(std::optional<std::string>)>;
  /// Sends a message to a peer. `OnAnswer` is called exactly once, and never
  /// from within the call.
  using Send = std::function<void(const InstanceRecord& peer,
                                  std::string message, OnAnswer done)>;

  /// Precondition: references outlive this object and its calls in flight.
  UsagePublisher(const InstanceRegistry& registry, UsageCounter& counter,
                 TrueTime& true_time, const Clock& clock, Send send,
                 const UsagePublisherSettings& settings);

  /// Sends what has changed. To be called about once a second.
  void Step();
  /// Merges a peer's message and returns the answer; nothing if the message is
  /// malformed.
  std::optional<std::string> OnMessage(const std::string& message);

 private:
  struct Recipient {
    Incarnation incarnation;
    UsageCounter::CountKeys unsent;
    UsageCounter::CountKeys in_flight;
    bool is_call_in_flight = false;
    /// When the last message was sent; nothing before the first.
    std::optional<TimePoint> sent_at;
    /// Sources whose counts were added to `unsent` as a whole.
    std::set<UsageSource> handed_over;
  };

  /// Returns the current recipients.
  std::vector<InstanceRecord> ListRecipients() const;
  /// Adds the own changed counts, and all counts of this instance and of
  /// sources that are gone if the recipient does not have them yet.
  void AddUnsent(Recipient& recipient, const UsageCounter::CountKeys& changed);
  void SendTo(const InstanceRecord& peer, Recipient& recipient);
  void OnSent(const InstanceRecord& peer, TimePoint sent_at,
              const std::optional<std::string>& answer);
  UsageDigest MakeDigest() const;
  void MergeHead(const UsageDigest& digest, TimePoint taken_at);

  const InstanceRegistry& registry_;
  UsageCounter& counter_;
  TrueTime& true_time_;
  const Clock& clock_;
  const Send send_;
  const UsagePublisherSettings settings_;
  std::map<InstanceId, Recipient> recipients_;
};

}  // namespace briarspread::duties

#endif  // BRIARSPREAD_DUTIES_USAGE_PUBLISHER_H_
