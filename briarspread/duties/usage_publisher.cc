#include "briarspread/duties/usage_publisher.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "briarspread/core/rendezvous.h"
#include "briarspread/fleet/order_lease_record.h"

namespace briarspread::duties {
namespace {

/// Rendezvous key of the instance that keeps the second copy of the counts.
constexpr char kCopyKey[] = "usage";

}  // namespace

UsagePublisher::UsagePublisher(const InstanceRegistry& registry,
                               UsageCounter& counter, TrueTime& true_time,
                               const Clock& clock, Send send,
                               const UsagePublisherSettings& settings)
    : registry_(registry),
      counter_(counter),
      true_time_(true_time),
      clock_(clock),
      send_(std::move(send)),
      settings_(settings) {}

std::vector<InstanceRecord> UsagePublisher::ListRecipients() const {
  std::optional<InstanceId> holder;
  if (const auto& lease = registry_.order_lease_record(); lease.has_value()) {
    const auto record = ParseOrderLeaseRecord(lease->value);
    if (record.has_value()) holder = record->holder;
  }
  // This instance takes part in the choice of the second one, so that all
  // instances choose the same.
  std::vector<InstanceRecord> candidates = registry_.Peers();
  if (!registry_.self().is_leaving) candidates.push_back(registry_.self());
  std::vector<InstanceRecord> recipients;
  std::vector<std::string> names;
  for (const InstanceRecord& candidate : candidates) {
    if (candidate.name == holder) {
      recipients.push_back(candidate);
    } else {
      names.push_back(candidate.name.value());
    }
  }
  if (!names.empty()) {
    const std::string& copy = names[RendezvousFirst(kCopyKey, names)];
    recipients.push_back(*std::find_if(
        candidates.begin(), candidates.end(),
        [&](const auto& record) { return record.name.value() == copy; }));
  }
  std::erase_if(recipients, [this](const InstanceRecord& record) {
    return record.name == registry_.self().name;
  });
  return recipients;
}

void UsagePublisher::AddUnsent(Recipient& recipient,
                               const UsageCounter::CountKeys& changed) {
  recipient.unsent.insert(changed.begin(), changed.end());
  for (const UsageSource& source : counter_.Sources()) {
    const bool sends_itself =
        source != counter_.self() &&
        registry_.IsRegistered(source.instance, source.incarnation);
    if (sends_itself || !recipient.handed_over.insert(source).second) continue;
    recipient.unsent.merge(counter_.KeysOf(source));
  }
}

void UsagePublisher::Step() {
  true_time_.Sample();
  counter_.PlaceStarts();
  const UsageCounter::CountKeys changed = counter_.TakeChanged();
  const std::vector<InstanceRecord> peers = ListRecipients();
  std::erase_if(recipients_, [&](const auto& entry) {
    return std::none_of(peers.begin(), peers.end(), [&](const auto& peer) {
      return peer.name == entry.first &&
             peer.incarnation == entry.second.incarnation;
    });
  });
  for (const InstanceRecord& peer : peers) {
    Recipient& recipient = recipients_[peer.name];
    recipient.incarnation = peer.incarnation;
    AddUnsent(recipient, changed);
    const bool is_clock_due =
        !recipient.sent_at.has_value() ||
        clock_.Now() - *recipient.sent_at >= settings_.clock_interval;
    if (recipient.is_call_in_flight) continue;
    if (!recipient.unsent.empty() || is_clock_due) SendTo(peer, recipient);
  }
}

UsageDigest UsagePublisher::MakeDigest() const {
  UsageDigest digest;
  digest.from = registry_.self().name;
  digest.clock = true_time_.Read();
  digest.first_window = counter_.FirstWindow();
  digest.open_window = counter_.open_window();
  return digest;
}

void UsagePublisher::SendTo(const InstanceRecord& peer, Recipient& recipient) {
  while (!recipient.unsent.empty() &&
         recipient.in_flight.size() < settings_.max_counts_per_message) {
    recipient.in_flight.insert(
        recipient.unsent.extract(recipient.unsent.begin()));
  }
  UsageDigest digest = MakeDigest();
  digest.counts = counter_.Read(recipient.in_flight);
  recipient.is_call_in_flight = true;
  recipient.sent_at = clock_.Now();
  send_(peer, Encode(digest),
        [this, peer, sent_at = clock_.NowWithSuspension()](
            const std::optional<std::string>& answer) {
          OnSent(peer, sent_at, answer);
        });
}

void UsagePublisher::OnSent(const InstanceRecord& peer, TimePoint sent_at,
                            const std::optional<std::string>& answer) {
  std::optional<UsageDigest> digest;
  if (answer.has_value()) digest = ParseUsageDigest(*answer);
  const auto it = recipients_.find(peer.name);
  if (it != recipients_.end() && it->second.incarnation == peer.incarnation) {
    Recipient& recipient = it->second;
    recipient.is_call_in_flight = false;
    if (!digest.has_value()) recipient.unsent.merge(recipient.in_flight);
    recipient.in_flight.clear();
  }
  if (!digest.has_value()) {
    LOG(INFO) << "event=usage_not_sent peer=" << peer.name
              << " answered=" << answer.has_value();
    return;
  }
  const TimePoint now = clock_.NowWithSuspension();
  MergeHead(*digest, sent_at + (now - sent_at) / 2);
}

void UsagePublisher::MergeHead(const UsageDigest& digest, TimePoint taken_at) {
  true_time_.AddReading(digest.from, digest.clock, taken_at);
  counter_.MergeFirstWindow(digest.first_window);
  counter_.CloseBefore(digest.open_window);
}

std::optional<std::string> UsagePublisher::OnMessage(
    const std::string& message) {
  const std::optional<UsageDigest> digest = ParseUsageDigest(message);
  if (!digest.has_value()) {
    LOG(WARNING) << "event=usage_malformed bytes=" << message.size();
    return std::nullopt;
  }
  MergeHead(*digest, clock_.NowWithSuspension());
  for (const SourceCounts& counts : digest->counts) counter_.Merge(counts);
  return Encode(MakeDigest());
}

}  // namespace briarspread::duties
