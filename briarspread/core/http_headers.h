#ifndef BRIARSPREAD_CORE_HTTP_HEADERS_H_
#define BRIARSPREAD_CORE_HTTP_HEADERS_H_

namespace briarspread::headers {

/// Names of the HTTP headers that callers, instances and upstreams exchange.
inline constexpr char kIdempotencyKey[] = "Idempotency-Key";
inline constexpr char kToken[] = "Briarspread-Token";
/// Remaining time, in milliseconds, for which the caller waits.
inline constexpr char kDeadline[] = "Briarspread-Deadline";
inline constexpr char kCustomer[] = "Briarspread-Customer";
inline constexpr char kRequestClass[] = "Briarspread-Class";
inline constexpr char kVerdict[] = "Briarspread-Verdict";
inline constexpr char kWeightVersions[] = "Briarspread-Weight-Versions";
/// The instance that answered, for reports.
inline constexpr char kInstance[] = "Briarspread-Instance";
/// The upstream that ran the request, for reports.
inline constexpr char kUpstream[] = "Briarspread-Upstream";
/// The instance that forwards a request to its key's home.
inline constexpr char kForwardedBy[] = "Briarspread-Forwarded-By";
/// In responses, the epoch of the table of homes. In requests, the epoch that
/// the caller knew when it created its idempotency key.
inline constexpr char kCreatedIn[] = "Briarspread-Created-In";
/// Authenticates calls between instances.
inline constexpr char kPeerSignature[] = "Briarspread-Peer-Signature";
/// The id of the exchange. Upstreams that support it echo it.
inline constexpr char kExchange[] = "Briarspread-Exchange";
inline constexpr char kTraceParent[] = "traceparent";
inline constexpr char kRetryAfter[] = "Retry-After";

}  // namespace briarspread::headers

#endif  // BRIARSPREAD_CORE_HTTP_HEADERS_H_
