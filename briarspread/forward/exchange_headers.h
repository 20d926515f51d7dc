#ifndef BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_
#define BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_

#include <string>

namespace briarspread::forward {

/// Names of the headers that briarspread sets or reads in exchanges with
/// callers and upstreams. The defaults are its own names.
struct ExchangeHeaders {
  /// Id of one attempt of a caller; upstreams echo it.
  std::string attempt_id = "Briarspread-Exchange";
  /// Milliseconds left until the request times out.
  std::string deadline = "Briarspread-Deadline";
  /// Id of the upstream that may run the request; any other upstream refuses
  /// it.
  std::string expected_upstream = "Briarspread-Expected-Upstream";
  /// Signature that shows that an upstream made the response. Forwarding checks
  /// its presence only, and nothing where this name is empty.
  std::string signature = "Briarspread-Signature";
  /// Present in a response if the upstream did not run the request.
  std::string not_run = "Briarspread-Not-Run";
  /// Number of running requests, of queued requests and of slots of the
  /// upstream, separated by commas. A fourth figure may follow: how long work
  /// takes on its machine now, in percent of the usual time.
  std::string load = "Briarspread-Load";
  /// Set to "1" by an upstream that is leaving and must receive no new
  /// requests.
  std::string leaving = "Briarspread-Leaving";
  /// Requests per second that the upstream accepts from all instances together,
  /// in decimal notation; present for as long as that limit holds.
  std::string limit = "Briarspread-Limit";
  /// Version of the weights that generate the events that follow.
  std::string weight_version = "Briarspread-Weight-Versions";
  /// Rank of a request at an engine; 0 is the most urgent.
  std::string urgency = "Briarspread-Urgency";
  /// API key of a caller's client account. Never sent to an upstream.
  std::string api_key = "Briarspread-Key";
  /// Name of the client account that a request to an upstream belongs to.
  std::string account = "Briarspread-Account";
  /// Id of the last event that the receiver of a resumed stream already has.
  std::string last_event_id = "Last-Event-Id";
  /// Id of the caller's attempt that brought the first event of the stream that
  /// a caller resumes.
  std::string resumed_attempt = "Briarspread-Resumes";
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_
