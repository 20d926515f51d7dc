#include "briarspread/transport/pending_exchange.h"

#include <utility>

namespace briarspread {
namespace {

/// Number of bytes not yet fetched above which reading is paused.
constexpr std::size_t kMaxUnfetchedBytes = std::size_t{256} * 1024;

bool HasProgress(const ResponseProgress& progress) {
  return progress.head.has_value() || !progress.data.empty() ||
         progress.has_ended || progress.failure.has_value();
}

}  // namespace

void PendingExchange::Start(proxy::ConnectionPool& pool,
                            proxy::ExchangeRequest request) {
  self_ = shared_from_this();
  exchange_ = pool.Start(std::move(request), *this);
}

void PendingExchange::Resume() {
  if (exchange_ != nullptr) exchange_->SetPaused(false);
}

void PendingExchange::Cancel() {
  if (exchange_ != nullptr) exchange_->Cancel();
  Release();
}

ResponseProgress PendingExchange::Wait() {
  std::unique_lock lock(mutex_);
  has_progress_.wait(lock, [this] { return HasProgress(progress_); });
  return std::exchange(progress_, {});
}

void PendingExchange::OnHead(const proxy::ResponseHead& head) {
  const std::lock_guard lock(mutex_);
  progress_.head = head;
  has_progress_.notify_one();
}

void PendingExchange::OnBody(std::string_view data) {
  const std::lock_guard lock(mutex_);
  progress_.data.append(data);
  if (progress_.data.size() > kMaxUnfetchedBytes) exchange_->SetPaused(true);
  has_progress_.notify_one();
}

void PendingExchange::OnEnd() {
  const auto keep = shared_from_this();
  Release();
  const std::lock_guard lock(mutex_);
  progress_.has_ended = true;
  has_progress_.notify_one();
}

void PendingExchange::OnFailure(const proxy::ExchangeFailure& failure) {
  const auto keep = shared_from_this();
  Release();
  const std::lock_guard lock(mutex_);
  progress_.failure = failure;
  has_progress_.notify_one();
}

void PendingExchange::Release() {
  exchange_.reset();
  self_.reset();
}

}  // namespace briarspread
