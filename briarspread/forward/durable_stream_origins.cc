#include "briarspread/forward/durable_stream_origins.h"

#include <glog/logging.h>

#include <algorithm>

namespace briarspread::forward {
namespace {

constexpr char kPrefix[] = "stream-origins/";

}  // namespace

DurableStreamOrigins::DurableStreamOrigins(
    asio::io_context& loop, StreamOrigins& shared, AsyncStore& store,
    const InstanceRecord& self, const Clock& clock,
    InstanceCount count_instances, const DurableStreamOriginsSettings& settings)
    : shared_(shared),
      store_(store),
      self_(self),
      clock_(clock),
      count_instances_(std::move(count_instances)),
      settings_(settings),
      write_timer_(loop),
      stored_(settings.local, clock) {}

void DurableStreamOrigins::Record(const AttemptId& attempt,
                                  const SoftwareVersion& software) {
  shared_.Record(attempt, software);
  unwritten_.push_back({attempt, software});
  if (unwritten_.size() > settings_.max_unwritten && !is_calling_) {
    LOG_EVERY_N(WARNING, 1000) << "event=origin_not_kept";
    unwritten_.pop_front();
  }
  ScheduleWrite();
}

std::size_t DurableStreamOrigins::CountForOneWrite() const {
  std::size_t n = 0;
  std::size_t bytes = 0;
  while (n < unwritten_.size()) {
    bytes += unwritten_[n].attempt.value().size() +
             unwritten_[n].software.value().size();
    if (n > 0 && bytes > settings_.max_write_bytes) break;
    ++n;
  }
  return n;
}

void DurableStreamOrigins::ScheduleWrite() {
  if (unwritten_.empty() || is_calling_ || write_timer_.is_set()) return;
  const milliseconds interval = std::max(
      settings_.min_write_interval,
      static_cast<int>(count_instances_()) * settings_.interval_per_instance);
  const Duration since_last = clock_.Now() - last_write_;
  write_timer_.After(std::max<Duration>(interval - since_last, Duration(0)),
                     [this] { Write(); });
}

void DurableStreamOrigins::RequestLease() {
  is_calling_ = true;
  const TimePoint asked_at = clock_.Now();
  store_.GrantLease(settings_.retention,
                    [this, asked_at](const Result<StoreLease>& granted) {
                      is_calling_ = false;
                      last_write_ = clock_.Now();
                      if (!IsOk(granted)) {
                        LOG(WARNING) << "event=origins_not_written origins="
                                     << unwritten_.size();
                        ScheduleWrite();
                        return;
                      }
                      lease_ = ValueOf(granted).id;
                      lease_granted_ = asked_at;
                      Write();
                    });
}

void DurableStreamOrigins::Write() {
  const TimePoint now = clock_.Now();
  if (lease_.value() == 0 || now - lease_granted_ >= settings_.lease_use) {
    RequestLease();
    return;
  }
  is_calling_ = true;
  last_write_ = now;
  const std::size_t written = CountForOneWrite();
  const std::vector<StreamOrigin> together(
      unwritten_.begin(),
      unwritten_.begin() + static_cast<std::ptrdiff_t>(written));
  StoreTransaction put;
  put.writes.push_back({kPrefix + self_.name.value() + "/" +
                            std::to_string(self_.incarnation.value()) + "-" +
                            std::to_string(writes_++),
                        EncodeStreamOrigins(together), lease_});
  store_.Commit(
      std::move(put), [this, written](const Result<StoreOutcome>& outcome) {
        is_calling_ = false;
        if (IsOk(outcome)) {
          unwritten_.erase(
              unwritten_.begin(),
              unwritten_.begin() + static_cast<std::ptrdiff_t>(written));
        } else {
          // Written again under the next key: the lost write may still come.
          LOG(WARNING) << "event=origins_not_written origins=" << written;
          if (ErrorOf(outcome).code == ErrorCode::kNotFound) lease_ = {};
        }
        ScheduleWrite();
      });
}

void DurableStreamOrigins::Find(const AttemptId& attempt, Done done) {
  shared_.Find(attempt, [this, attempt, done = std::move(done)](
                            const std::optional<SoftwareVersion>& found) {
    const auto known = found.has_value() ? found : stored_.Lookup(attempt);
    const bool was_read =
        last_read_.has_value() &&
        clock_.Now() - *last_read_ < settings_.min_read_interval;
    if (known.has_value() || (was_read && !is_reading_)) {
      done(known);
      return;
    }
    pending_.emplace_back(attempt, done);
    if (!is_reading_) Read();
  });
}

void DurableStreamOrigins::Read() {
  is_reading_ = true;
  last_read_ = clock_.Now();
  store_.List(kPrefix, [this](const Result<StoreListing>& listing) {
    is_reading_ = false;
    OnRead(listing);
    AnswerPending();
  });
}

void DurableStreamOrigins::OnRead(const Result<StoreListing>& listing) {
  if (!IsOk(listing)) {
    LOG(WARNING) << "event=origins_not_read";
    last_read_.reset();
    return;
  }
  for (const KeyValue& item : ValueOf(listing).items) {
    const auto origins = ParseStreamOrigins(item.value);
    if (!origins.has_value()) {
      LOG(WARNING) << "event=origins_malformed key=" << item.key;
      continue;
    }
    for (const StreamOrigin& origin : *origins) {
      stored_.Record(origin.attempt, origin.software);
    }
  }
  LOG(INFO) << "event=origins_read keys=" << ValueOf(listing).items.size()
            << " known=" << stored_.size();
}

void DurableStreamOrigins::AnswerPending() {
  const auto pending = std::exchange(pending_, {});
  for (const auto& [attempt, done] : pending) done(stored_.Lookup(attempt));
}

}  // namespace briarspread::forward
