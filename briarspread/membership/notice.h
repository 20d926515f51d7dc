#ifndef BRIARSPREAD_MEMBERSHIP_NOTICE_H_
#define BRIARSPREAD_MEMBERSHIP_NOTICE_H_

#include <compare>
#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// What a notice counts about a request.
enum class NoticeKind {
  /// Crashes of upstreams on which the request was in flight.
  kSuspicion,
  /// Crashes of upstreams on which only this request was in flight.
  kConviction,
};

/// Identifies one counter of one instance.
struct NoticeKey {
  /// The fingerprint of the request's body.
  Fingerprint fingerprint;
  /// The kind of crashes counted.
  NoticeKind kind = NoticeKind::kSuspicion;
  /// The instance that counts the crashes.
  InstanceId origin;

  friend auto operator<=>(const NoticeKey&, const NoticeKey&) = default;
};

/// One instance's count of upstreams that crashed with a request. The count of
/// an origin never decreases, so the total over all origins counts each crash
/// once on whatever paths the notices arrive.
struct Notice {
  /// The identity of the counter.
  NoticeKey key;
  /// Number of crashes counted.
  std::uint32_t count = 0;
  /// Time until the notice expires.
  seconds remaining{0};

  friend bool operator==(const Notice&, const Notice&) = default;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_NOTICE_H_
