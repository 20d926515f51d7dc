#include "briarspread/client/caller_client.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "briarspread/core/http_headers.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kMinRetryDelay{20};
/// Time added to the request's deadline for the timeout of an exchange.
constexpr milliseconds kTimeoutMargin{200};

/// Returns the retry time named in the response's JSON body, or zero.
milliseconds RetryAfter(const CallerAnswer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  if (!body.is_object()) return milliseconds(0);
  return milliseconds(body.value("retry_after_ms", std::int64_t{0}));
}

/// Returns whether a retry cannot help: the request was rejected with a 4xx
/// status other than 429, or an instance reports that the request may have run
/// and names no retry time.
bool IsFinal(const CallerAnswer& answer) {
  constexpr int kHttpTooManyRequests = 429;
  const bool is_refused = answer.status >= 400 && answer.status < 500 &&
                          answer.status != kHttpTooManyRequests;
  const bool is_settled =
      FindHeader(answer.headers, headers::kVerdict) == "may-have-run" &&
      RetryAfter(answer).count() == 0;
  return is_refused || is_settled;
}

}  // namespace

CallerClient::CallerClient(std::vector<Endpoint> entries,
                           UpstreamClient& client, const Clock& clock,
                           RandomSource& random)
    : entries_(std::move(entries)),
      client_(client),
      clock_(clock),
      random_(random) {
  assert(!entries_.empty());
}

CallerAnswer CallerClient::SendOnce(const CallerRequest& request,
                                    const Endpoint& entry, Epoch created_in,
                                    milliseconds left) {
  UpstreamRequest sent;
  sent.endpoint = entry;
  sent.method = request.method;
  sent.path = request.path;
  sent.body = request.body;
  sent.timeout = left + kTimeoutMargin;
  sent.may_reuse_connection = request.idempotent;
  sent.headers = {{headers::kCustomer, request.customer.value()},
                  {headers::kRequestClass, request.request_class.value()},
                  {headers::kDeadline, std::to_string(left.count())}};
  if (!request.key.value().empty()) {
    sent.headers.push_back({headers::kIdempotencyKey, request.key.value()});
    sent.headers.push_back(
        {headers::kCreatedIn, std::to_string(created_in.value())});
  }
  ExchangeOutcome outcome = client_.Exchange(sent, nullptr);
  UpdateEpoch(outcome.headers);
  CallerAnswer answer;
  answer.status = outcome.status;
  answer.headers = std::move(outcome.headers);
  answer.body = std::move(outcome.body);
  if (outcome.stage <= ExchangeStage::kConnecting) {
    answer.verdict = Verdict::kNotRun;
  } else if (outcome.stage != ExchangeStage::kEnded) {
    answer.verdict = Verdict::kMayHaveRun;
  } else {
    const std::string named = FindHeader(answer.headers, headers::kVerdict);
    answer.verdict = ParseVerdict(named).value_or(Verdict::kMayHaveRun);
  }
  return answer;
}

void CallerClient::UpdateEpoch(const std::vector<Header>& answer_headers) {
  const std::string text = FindHeader(answer_headers, headers::kCreatedIn);
  std::uint64_t epoch = 0;
  std::from_chars(text.data(), text.data() + text.size(), epoch);
  std::uint64_t known = epoch_.load();
  while (epoch > known && !epoch_.compare_exchange_weak(known, epoch)) {
  }
}

void CallerClient::WaitBeforeRetry(const CallerAnswer& answer,
                                   milliseconds left) {
  const milliseconds jitter(
      static_cast<std::int64_t>(random_.Below(kMinRetryDelay.count())));
  const milliseconds wait = std::max(kMinRetryDelay, RetryAfter(answer));
  std::this_thread::sleep_for(std::min(left, wait + jitter));
}

CallerAnswer CallerClient::Call(const CallerRequest& request) {
  const TimePoint deadline = clock_.Now() + request.deadline;
  const Epoch created_in(epoch_.load());
  CallerAnswer answer;
  Verdict combined = Verdict::kNotRun;
  int send_count = 0;
  while (true) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
    if (left.count() <= 0) break;
    const Endpoint& entry = entries_[next_entry_++ % entries_.size()];
    answer = SendOnce(request, entry, created_in, left);
    ++send_count;
    combined = Combine(combined, answer.verdict);
    // With a key, the service recognizes a retry and does not run it again.
    const bool safe = IsRetryable(
        combined, request.idempotent || !request.key.value().empty());
    if (answer.verdict == Verdict::kAnswered || !safe) break;
    if (IsFinal(answer)) break;
    WaitBeforeRetry(answer, left);
  }
  answer.verdict = combined;
  answer.send_count = send_count;
  return answer;
}

}  // namespace briarspread
