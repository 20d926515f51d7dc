#ifndef BRIARSPREAD_MEMBERSHIP_NOTICE_H_
#define BRIARSPREAD_MEMBERSHIP_NOTICE_H_

#include <compare>
#include <cstdint>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"

namespace briarspread {

/// What a notice says of a request.
enum class NoticeKind {
  /// The request was in flight on an upstream that died.
  kSuspicion,
  /// An upstream died that ran the request alone.
  kConviction,
};

/// Names one count that one instance keeps.
struct NoticeKey {
  /// The request's body.
  Fingerprint fingerprint;
  /// What is counted.
  NoticeKind kind = NoticeKind::kSuspicion;
  /// The instance that counts.
  InstanceId origin;

  friend auto operator<=>(const NoticeKey&, const NoticeKey&) = default;
};

/// One instance's count of upstreams lost to a request. Each origin's count
/// only grows, so a total over origins counts each loss once whatever way the
/// notices take.
struct Notice {
  /// Which count.
  NoticeKey key;
  /// The count.
  std::uint32_t count = 0;
  /// How long it still holds.
  seconds remaining{0};

  friend bool operator==(const Notice&, const Notice&) = default;
};

}  // namespace briarspread

#endif  // BRIARSPREAD_MEMBERSHIP_NOTICE_H_
