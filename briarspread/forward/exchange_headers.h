#ifndef BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_
#define BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_

#include <string>

namespace briarspread::forward {

/// The names of the headers that this system sets or reads in exchanges with
/// callers and upstreams. The defaults are the product's own.
struct ExchangeHeaders {
  /// The id of one attempt of a caller; upstreams echo it.
  std::string attempt_id = "Briarspread-Exchange";
  /// Milliseconds that are left.
  std::string deadline = "Briarspread-Deadline";
  /// The upstream that may run the request; any other refuses it.
  std::string expected_upstream = "Briarspread-Expected-Upstream";
  /// Proves that an upstream made the response.
  std::string signature = "Briarspread-Signature";
  /// Says that the upstream did not run the request.
  std::string not_run = "Briarspread-Not-Run";
  /// Running, waiting and slots of the upstream, separated by commas.
  std::string load = "Briarspread-Load";
  /// Said by an upstream that leaves: it is to be sent nothing new.
  std::string leaving = "Briarspread-Leaving";
  /// The version of the weights that makes the events that follow.
  std::string weight_version = "Briarspread-Weight-Versions";
  /// Rank of a request at an engine; 0 goes first.
  std::string urgency = "Briarspread-Urgency";
  /// The last event that a resumed stream has.
  std::string last_event_id = "Last-Event-Id";
};

}  // namespace briarspread::forward

#endif  // BRIARSPREAD_FORWARD_EXCHANGE_HEADERS_H_
