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

/// One call of a live caller.
struct CallerRequest {
  /// HTTP method and path, such as `/v1/completions`.
  std::string method = "POST";
  std::string path;
  std::string body;
  /// Who calls, and which class of request it is.
  CustomerId customer;
  RequestClass request_class;
  /// Names the request over all its re-sends; may be empty.
  RequestKey key;
  /// Whether it may run more than once.
  bool idempotent = false;
  /// How long the caller waits in all.
  milliseconds deadline{5000};
};

/// What a caller got.
struct CallerAnswer {
  /// Whether the request ran.
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string body;
  std::vector<Header> headers;
  /// Times the request was sent.
  int sends = 0;
};

/// Calls the entry instances as a live caller does: tries another instance
/// where the verdict allows, and waits as long as `Retry-After` says.
/// Thread-safe.
class CallerClient {
 public:
  /// Preconditions: `entries` is not empty; the rest outlives this object.
  CallerClient(std::vector<Endpoint> entries, UpstreamClient& client,
               const Clock& clock, RandomSource& random);

  /// Performs one call, with re-sends, within its deadline. Blocks.
  CallerAnswer Call(const CallerRequest& request);

 private:
  CallerAnswer SendOnce(const CallerRequest& request, const Endpoint& entry,
                        Epoch created_in, milliseconds left);
  void NoteEpoch(const std::vector<Header>& answer_headers);
  /// Waits before a re-send: `Retry-After` if given, else a jittered pause.
  void Pause(const CallerAnswer& answer, milliseconds left);

  const std::vector<Endpoint> entries_;
  UpstreamClient& client_;
  const Clock& clock_;
  RandomSource& random_;
  /// Spreads calls over the instances in turn.
  std::atomic<std::size_t> next_entry_{0};
  /// The highest epoch of the homes that an answer named. A key made now can't
  /// have run under an earlier one.
  std::atomic<std::uint64_t> epoch_{0};
};

}  // namespace briarspread

#endif  // BRIARSPREAD_CLIENT_CALLER_CLIENT_H_
