#include "bench/admission_bench/load_model.h"

#include <algorithm>
#include <cmath>

namespace briarspread::bench {
namespace {

constexpr double kWarmUpFraction = 0.1;
/// Every third live request is a quote; the others are stock checks.
constexpr std::uint64_t kQuoteEvery = 3;

TimePoint At(double seconds_in) {
  return TimePoint(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(seconds_in * 1e9));
}

}  // namespace

LoadModel::LoadModel(std::uint64_t seed, const LoadSettings& settings,
                     Policy& policy)
    : settings_(settings), policy_(policy), random_(seed) {}

double LoadModel::Exponential(double mean) {
  return -mean * std::log(1.0 - Uniform());
}

LoadResult LoadModel::Run() {
  events_.push({0, EventKind::kLiveArrival});
  events_.push({0, EventKind::kRolloutArrival});
  while (!events_.empty() && events_.top().at < settings_.duration_s) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    time_ = At(now_);
    switch (event.kind) {
      case EventKind::kLiveArrival:
        HandleLiveArrival();
        break;
      case EventKind::kRolloutArrival:
        HandleRolloutArrival();
        break;
      case EventKind::kRetry:
        --waiting_retries_;
        Offer(event.id);
        break;
      case EventKind::kEnd:
        HandleEnd(event.id);
        break;
    }
    StartReady();
  }
  std::sort(live_latencies_s_.begin(), live_latencies_s_.end());
  const auto last = static_cast<double>(live_latencies_s_.size() - 1);
  const auto latency_at = [&](double fraction) {
    return 1000 * live_latencies_s_[static_cast<std::size_t>(fraction * last)];
  };
  result_.live_p50_ms = latency_at(0.5);
  result_.live_p99_ms = latency_at(0.99);
  result_.live_max_ms = latency_at(1.0);
  result_.rollouts_per_s = static_cast<double>(rollouts_ended_) /
                           (settings_.duration_s * (1 - kWarmUpFraction));
  if (retries_ > 0) {
    result_.taken_on_return =
        static_cast<double>(accepted_retries_) / static_cast<double>(retries_);
  }
  return result_;
}

void LoadModel::HandleLiveArrival() {
  const double rate =
      settings_.live_load * settings_.slots / settings_.live_service_s;
  events_.push({now_ + Exponential(1 / rate), EventKind::kLiveArrival});
  const std::uint64_t id = requests_.size();
  const bool is_quote = id % kQuoteEvery == 0;
  Request request;
  request.admission.request_class = RequestClass(is_quote ? "quote" : "stock");
  request.admission.level = is_quote ? 0 : 2;
  request.admission.queue_length = settings_.queue_length;
  request.arrived = now_;
  request.deadline = now_ + (is_quote ? settings_.quote_deadline_s
                                      : settings_.stock_deadline_s);
  request.service = settings_.live_service_s * (0.5 + Uniform());
  requests_.push_back(request);
  if (IsCounted(request)) ++result_.live;
  Offer(id);
}

void LoadModel::HandleRolloutArrival() {
  const double offered = settings_.load - settings_.live_load;
  const double rate = offered * settings_.slots / settings_.rollout_service_s;
  events_.push({now_ + Exponential(1 / rate), EventKind::kRolloutArrival});
  if (waiting_retries_ >= settings_.max_waiting_retries) return;
  Request request;
  request.admission.request_class = RequestClass("rollout");
  request.admission.level = 5;
  request.admission.is_rollout = true;
  request.admission.queue_length = settings_.queue_length;
  request.arrived = now_;
  request.service = settings_.rollout_service_s * (0.5 + Uniform());
  requests_.push_back(request);
  Offer(requests_.size() - 1);
}

void LoadModel::Offer(std::uint64_t id) {
  Request& request = requests_[id];
  const bool is_rollout = request.admission.is_rollout;
  // The deadline of a rollout starts again with each retry.
  if (is_rollout) request.deadline = now_ + settings_.rollout_deadline_s;
  const Status status =
      policy_.Offer(id, request.admission, At(request.deadline), time_);
  if (request.is_retry && IsCounted(request)) {
    ++retries_;
    if (IsOk(status)) ++accepted_retries_;
  }
  if (IsOk(status)) return;
  if (!is_rollout) {
    if (IsCounted(request)) {
      ++result_.live_refused;
      ++result_.live_missed;
    }
    return;
  }
  if (IsCounted(request)) ++result_.rollout_refusals;
  request.is_retry = true;
  ++waiting_retries_;
  const milliseconds wait =
      ErrorOf(status).retry_after.value_or(milliseconds(1000));
  events_.push(
      {now_ + static_cast<double>(wait.count()) / 1000, EventKind::kRetry, id});
}

void LoadModel::StartReady() {
  while (const auto id = policy_.PopReady(time_)) {
    events_.push({now_ + requests_[*id].service, EventKind::kEnd, *id});
  }
  while (const auto id = policy_.PopExpired(time_)) {
    const Request& request = requests_[*id];
    if (request.admission.is_rollout || !IsCounted(request)) continue;
    ++result_.live_refused;
    ++result_.live_missed;
  }
}

void LoadModel::HandleEnd(std::uint64_t id) {
  policy_.Finish(id, time_);
  const Request& request = requests_[id];
  if (request.admission.is_rollout) {
    if (now_ >= kWarmUpFraction * settings_.duration_s) ++rollouts_ended_;
    return;
  }
  if (!IsCounted(request)) return;
  live_latencies_s_.push_back(now_ - request.arrived);
  if (now_ > request.deadline) ++result_.live_missed;
}

bool LoadModel::IsCounted(const Request& request) const {
  return request.arrived >= kWarmUpFraction * settings_.duration_s;
}

}  // namespace briarspread::bench
