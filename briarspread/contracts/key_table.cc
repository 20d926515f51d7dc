#include "briarspread/contracts/key_table.h"

#include <string>
#include <utility>

namespace briarspread {

void KeyTable::AddClaims(const std::vector<Claim>& claims, TimePoint now) {
  for (const Claim& claim : claims) {
    keys_.insert_or_assign(
        claim.key, Entry{claim.fingerprint, State::kMayHaveRun, now, {}});
  }
}

void KeyTable::AddMissingClaims(const std::vector<Claim>& claims,
                                TimePoint now) {
  for (const Claim& claim : claims) {
    keys_.try_emplace(claim.key,
                      Entry{claim.fingerprint, State::kMayHaveRun, now, {}});
  }
}

void KeyTable::SetGap(Epoch term, TimePoint now) {
  gap_term_ = term;
  gap_end_ = now + settings_.resend_window;
}

KeyAction KeyTable::Begin(const Claim& claim, Epoch created_in, TimePoint now) {
  const auto it = keys_.find(claim.key);
  if (it == keys_.end()) {
    if (now < gap_end_ && created_in < gap_term_) return KeyAction::kMayHaveRun;
    if (keys_.size() >= settings_.max_keys) return KeyAction::kFull;
    keys_.emplace(claim.key,
                  Entry{claim.fingerprint, State::kClaiming, now, {}});
    return KeyAction::kClaim;
  }
  Entry& entry = it->second;
  if (entry.fingerprint != claim.fingerprint) return KeyAction::kMismatch;
  switch (entry.state) {
    case State::kClaiming:
    case State::kRunning:
      return KeyAction::kWait;
    case State::kReleased:
      entry.state = State::kRunning;
      return KeyAction::kRun;
    case State::kAnswered:
      return KeyAction::kAnswered;
    case State::kMayHaveRun:
      return KeyAction::kMayHaveRun;
  }
  return KeyAction::kMayHaveRun;
}

void KeyTable::OnCommitted(const RequestKey& key) {
  Entry& entry = keys_.at(key);
  assert(entry.state == State::kClaiming);
  entry.state = State::kRunning;
}

void KeyTable::OnRefused(const RequestKey& key) {
  assert(keys_.at(key).state == State::kClaiming);
  keys_.erase(key);
}

void KeyTable::Finish(const RequestKey& key, KeyedOutcome outcome,
                      TimePoint now) {
  const auto it = keys_.find(key);
  if (it == keys_.end() || it->second.state != State::kRunning) return;
  Entry& entry = it->second;
  entry.changed = now;
  switch (outcome.verdict) {
    case Verdict::kNotRun:
      entry.state = State::kReleased;
      return;
    case Verdict::kMayHaveRun:
      entry.state = State::kMayHaveRun;
      return;
    case Verdict::kAnswered:
      break;
  }
  entry.state = State::kAnswered;
  entry.outcome = std::move(outcome);
  response_bytes_ += entry.outcome.body.size();
  keys_with_response_.push_back(key);
  EvictOldResponses();
}

void KeyTable::EvictOldResponses() {
  while (response_bytes_ > settings_.max_response_bytes.value() &&
         !keys_with_response_.empty()) {
    const auto it = keys_.find(keys_with_response_.front());
    keys_with_response_.pop_front();
    if (it == keys_.end()) continue;
    response_bytes_ -= it->second.outcome.body.size();
    it->second.outcome = KeyedOutcome{};
    it->second.state = State::kMayHaveRun;
  }
}

const KeyedOutcome* KeyTable::ResponseOf(const RequestKey& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end() || it->second.state != State::kAnswered) {
    return nullptr;
  }
  return &it->second.outcome;
}

void KeyTable::Expire(TimePoint now) {
  const TimePoint oldest = now - settings_.resend_window;
  while (!keys_with_response_.empty()) {
    const auto it = keys_.find(keys_with_response_.front());
    if (it != keys_.end() && it->second.changed >= oldest) break;
    if (it != keys_.end()) {
      response_bytes_ -= it->second.outcome.body.size();
      keys_.erase(it);
    }
    keys_with_response_.pop_front();
  }
  std::erase_if(keys_, [oldest](const auto& item) {
    const Entry& entry = item.second;
    const bool is_busy =
        entry.state == State::kClaiming || entry.state == State::kRunning;
    return !is_busy && entry.changed < oldest;
  });
}

std::vector<Claim> KeyTable::CommittedClaims() const {
  std::vector<Claim> claims;
  for (const auto& [key, entry] : keys_) {
    if (entry.state == State::kClaiming) continue;
    claims.push_back({key, entry.fingerprint});
  }
  return claims;
}

std::string KeyTable::DebugString() const {
  std::string out;
  for (const auto& [key, entry] : keys_) {
    out += key.value();
    out += '=';
    out += std::to_string(static_cast<int>(entry.state));
    out += ' ';
  }
  out += std::to_string(gap_term_.value());
  return out;
}

}  // namespace briarspread
