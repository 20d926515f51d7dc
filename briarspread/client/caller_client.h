#ifndef BRIARSPREAD_CLIENT_CALLER_CLIENT_H_
#define BRIARSPREAD_CLIENT_CALLER_CLIENT_H_

#include <atomic>
#include <string>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/core/random_source.h"
#include "briarspread/core/result.h"
#include "briarspread/core/upstream_client.h"

namespace briarspread {

/// A request of a live caller.
struct CallerRequest {
  std::string method = "POST";
  /// The path of the URL, such as `/v1/completions`.
  std::string path;
  std::string body;
  /// The client account (customer) and the class that the request belongs to.
  CustomerId customer;
  RequestClass request_class;
  /// Identifies the request across retries; may be empty. With a key, the
  /// service recognizes a retry of a request that has run.
  RequestKey key;
  /// Whether the request may run more than once.
  bool idempotent = false;
  /// Maximum duration of the call, including all retries.
  milliseconds deadline{5000};
};

/// The outcome of a call after all its retries.
struct CallerAnswer {
  /// Whether the request ran, combined over all sends.
  Verdict verdict = Verdict::kNotRun;
  /// HTTP status of the last response; zero if none was received.
  int status = 0;
  std::string body;
  std::vector<Header> headers;
  /// Number of times that the request was sent.
  int send_count = 0;
};

/// Calls the entry instances as a live caller does. Retries at the next
/// instance if the verdict permits a retry, after the retry time that the
/// response names. Thread-safe.
class CallerClient {
 public:
  /// Preconditions: `entries` is not empty; the other arguments outlive this
  /// object.
  CallerClient(std::vector<Endpoint> entries, UpstreamClient& client,
               const Clock& clock, RandomSource& random);

  /// Sends a request and retries it until its deadline. Blocks until a final
  /// response or the deadline.
  CallerAnswer Call(const CallerRequest& request);

 private:
  CallerAnswer SendOnce(const CallerRequest& request, const Endpoint& entry,
                        Epoch created_in, milliseconds left);
  /// Raises `epoch_` to the epoch that the response headers name, if higher.
  void UpdateEpoch(const std::vector<Header>& answer_headers);
  /// Sleeps before a retry for the retry time that the answer names, but at
  /// least for a minimum delay, plus jitter, and at most for `left`.
  void WaitBeforeRetry(const CallerAnswer& answer, milliseconds left);

  const std::vector<Endpoint> entries_;
  UpstreamClient& client_;
  const Clock& clock_;
  RandomSource& random_;
  /// Selects the instance of the next send, round robin.
  std::atomic<std::size_t> next_entry_{0};
  /// The highest epoch of the homes that a response has named. A key created
  /// now cannot have run under an earlier epoch.
  std::atomic<std::uint64_t> epoch_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_CALLER_CLIENT_H_
