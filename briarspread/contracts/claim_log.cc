#include "briarspread/contracts/claim_log.h"

#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

namespace briarspread {
namespace {

constexpr int kMaxSealAttempts = 64;

std::string HomePrefix(const HomeName& home) {
  return "briarspread/claims/" + home.value() + "/";
}

std::string LogPrefix(const HomeName& home, Epoch term) {
  return HomePrefix(home) + std::to_string(term.value()) + "/";
}

std::string SegmentKey(const HomeName& home, Epoch term, std::uint64_t number) {
  // Zero-padded, so that the store lists segments in order.
  char digits[24];
  std::snprintf(digits, sizeof digits, "%012llu",
                static_cast<unsigned long long>(number));
  return LogPrefix(home, term) + digits;
}

/// Returns the number at the start of `text`; zero if there is none.
std::uint64_t LeadingNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::uint64_t NumberOf(std::string_view segment_key) {
  return LeadingNumber(segment_key.substr(segment_key.rfind('/') + 1));
}

std::uint64_t TermOf(std::string_view segment_key, std::string_view prefix) {
  return LeadingNumber(segment_key.substr(prefix.size()));
}

}  // namespace

SealedLog Summarize(const std::vector<ClaimSegment>& segments) {
  SealedLog log;
  for (const ClaimSegment& segment : segments) {
    if (segment.is_seal) break;
    log.claims.insert(log.claims.end(), segment.claims.begin(),
                      segment.claims.end());
    log.standby = segment.standby;
    log.has_gap = segment.has_gap;
    log.is_complete = segment.is_complete && !segment.standby.has_value();
  }
  return log;
}

AppendResult ClaimLog::Append(const HomeName& home, Epoch term,
                              std::uint64_t number,
                              const ClaimSegment& segment) {
  const std::string key = SegmentKey(home, term, number);
  const auto swapped =
      store_.CompareAndSwap(key, ToJson(segment), StoreIndex(0));
  if (IsOk(swapped) && ValueOf(swapped) == SwapOutcome::kSwapped) {
    return AppendResult::kAppended;
  }
  if (!IsOk(swapped) && ErrorOf(swapped).verdict == Verdict::kNotRun) {
    return AppendResult::kUnavailable;
  }
  const auto found = store_.Get(key);
  if (!IsOk(found) || !ValueOf(found).has_value()) {
    return AppendResult::kUnknown;
  }
  const auto present = ParseClaimSegment(ValueOf(found)->value);
  const bool is_own =
      IsOk(present) && ValueOf(present).operation == segment.operation;
  return is_own ? AppendResult::kAppended : AppendResult::kSealed;
}

Result<ClaimLog::Stored> ClaimLog::Read(const std::string& prefix) {
  const auto listed = store_.List(prefix);
  if (!IsOk(listed)) return ErrorOf(listed);
  Stored stored;
  for (const KeyValue& it : ValueOf(listed)) {
    auto segment = ParseClaimSegment(it.value);
    if (!IsOk(segment)) return ErrorOf(segment);
    stored.segments.push_back(std::move(ValueOf(segment)));
    stored.next_number = NumberOf(it.key) + 1;
  }
  return stored;
}

Result<SealedLog> ClaimLog::Seal(const HomeName& home, Epoch term,
                                 const OperationId& operation) {
  ClaimSegment seal;
  seal.operation = operation;
  seal.is_seal = true;
  for (int i = 0; i < kMaxSealAttempts; ++i) {
    const auto segments = Read(LogPrefix(home, term));
    if (!IsOk(segments)) return ErrorOf(segments);
    const auto& list = ValueOf(segments).segments;
    if (!list.empty() && list.back().is_seal) return Summarize(list);
    // The result is not needed: the next read shows whether this seal or
    // another segment was written first.
    Append(home, term, ValueOf(segments).next_number, seal);
  }
  return Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
               "claim log of " + home.value() + " could not be sealed"};
}

Result<std::vector<Claim>> ClaimLog::ReadAllTerms(const HomeName& home) {
  const auto segments = Read(HomePrefix(home));
  if (!IsOk(segments)) return ErrorOf(segments);
  std::vector<Claim> claims;
  for (const ClaimSegment& it : ValueOf(segments).segments) {
    claims.insert(claims.end(), it.claims.begin(), it.claims.end());
  }
  return claims;
}

Status ClaimLog::TrimSegment(const HomeName& home, Epoch term,
                             std::uint64_t number) {
  const std::string key = SegmentKey(home, term, number);
  const auto found = store_.Get(key);
  if (!IsOk(found)) return ErrorOf(found);
  if (!ValueOf(found).has_value()) return OkStatus();
  const auto deleted = store_.Delete(key, ValueOf(found)->index);
  if (!IsOk(deleted)) return ErrorOf(deleted);
  return OkStatus();
}

Status ClaimLog::TrimTermsBefore(const HomeName& home, Epoch term) {
  const std::string prefix = HomePrefix(home);
  const auto listed = store_.List(prefix);
  if (!IsOk(listed)) return ErrorOf(listed);
  for (const KeyValue& it : ValueOf(listed)) {
    if (TermOf(it.key, prefix) >= term.value()) continue;
    const auto deleted = store_.Delete(it.key, it.index);
    if (!IsOk(deleted)) return ErrorOf(deleted);
  }
  return OkStatus();
}

}  // namespace briarspread
