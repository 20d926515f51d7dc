#include "briarspread/rules/rule_store.h"

#include <optional>
#include <utility>

namespace briarspread {
namespace {

/// Maximum number of reads when a snapshot is deleted between the read of the
/// head and that of the snapshot.
constexpr int kMaxStaleReads = 3;

Error NoSuchRevision(Revision asked, Revision last) {
  return Error{ErrorCode::kNotFound, Verdict::kNotRun,
               "there is no revision " + std::to_string(asked.value()) +
                   ": the last one is " + std::to_string(last.value())};
}

/// What the changes since a proposal's base show.
struct BaseState {
  /// The text at the base revision; unspecified if `accepted` is set.
  std::string text;
  /// The revision that an earlier try of the proposal created, if any.
  std::optional<Revision> accepted;
};

/// Reverts the changes from the text at the head's revision back to `base`, and
/// looks for `operation` among them: if the proposal was accepted, its revision
/// is above its base.
Result<BaseState> ReconstructBase(RuleLog& log, const RuleHead& head,
                                  const std::string& text, Revision base,
                                  const OperationId& operation) {
  if (base > head.revision) return NoSuchRevision(base, head.revision);
  BaseState since{text, std::nullopt};
  bool fits = true;
  const Status walked =
      log.VisitNewestFirst(head, base, [&](const RuleChange& change) {
        if (change.operation == operation) since.accepted = change.revision;
        auto undone = ApplyEdit(since.text, InverseOf(change.edit));
        fits = undone.has_value();
        if (fits) since.text = std::move(*undone);
        return fits && !since.accepted.has_value();
      });
  if (!IsOk(walked)) return ErrorOf(walked);
  if (!fits) {
    return Error{ErrorCode::kInternal, Verdict::kNotRun,
                 "a change of the rules in the store does not fit its text"};
  }
  return since;
}

}  // namespace

/// Applies one proposal, with retries after conflicts and lost answers.
class RuleStore::ProposalApplier {
 public:
  ProposalApplier(RuleStore& store, const RuleProposal& proposal)
      : store_(store), proposal_(proposal) {}

  ApplyOutcome Run() {
    auto ours = ParseDocument(proposal_.text);
    if (auto* errors = std::get_if<std::vector<RuleError>>(&ours)) {
      return std::move(*errors);
    }
    ours_ = std::get<RuleDocument>(std::move(ours));
    for (int i = 0; i < store_.settings_.max_attempts; ++i) {
      auto outcome = TryOnce();
      if (outcome.has_value()) return std::move(*outcome);
    }
    return Fail(Error{ErrorCode::kUnavailable, Verdict::kNotRun,
                      "other operators' changes were faster each time"});
  }

 private:
  /// Returns `error`, with the verdict `kMayHaveRun` if the answer of an
  /// earlier try was lost.
  ApplyOutcome Fail(Error error) const {
    if (may_have_run_) error.verdict = Verdict::kMayHaveRun;
    return error;
  }

  /// Returns the outcome of one try, or nothing if it has to be repeated.
  std::optional<ApplyOutcome> TryOnce() {
    const auto read = store_.log_.ReadHead();
    if (!IsOk(read)) return Fail(ErrorOf(read));
    const StoredHead& stored = ValueOf(read);
    auto current = store_.log_.ReadText(stored.head, {});
    if (!IsOk(current)) {
      if (ErrorOf(current).code == ErrorCode::kStale) return std::nullopt;
      return Fail(ErrorOf(current));
    }
    const RuleText& in_force = ValueOf(current);
    const auto since = ReconstructBase(store_.log_, stored.head, in_force.text,
                                       proposal_.base, proposal_.operation);
    if (!IsOk(since)) return Fail(ErrorOf(since));
    if (ValueOf(since).accepted.has_value()) {
      return RuleAcceptance{in_force, true,
                            WasMerged(*ValueOf(since).accepted)};
    }
    // At this head no earlier try has been accepted. A delayed write of an
    // earlier try can only succeed if this try's write fails, since both
    // compare-and-swap the same key.
    return Propose(stored, in_force, ValueOf(since).text);
  }

  bool WasMerged(Revision accepted) const {
    return accepted.value() > proposal_.base.value() + 1;
  }

  std::optional<ApplyOutcome> Propose(const StoredHead& stored,
                                      const RuleText& in_force,
                                      const std::string& base) {
    auto merged = Merge(in_force, base);
    if (auto* refused = std::get_if<ApplyOutcome>(&merged)) {
      return std::move(*refused);
    }
    const std::string& text = std::get<std::string>(merged);
    if (text == in_force.text && stored.head.revision > Revision(0)) {
      return RuleAcceptance{in_force, false, false};
    }
    RuleChange change;
    change.revision = Revision(in_force.revision.value() + 1);
    change.operation = proposal_.operation;
    change.who = proposal_.who;
    change.when = std::chrono::duration_cast<milliseconds>(
        store_.clock_.WallNow().time_since_epoch());
    change.edit = EditBetween(in_force.text, text);
    return Write(stored, in_force, text, change);
  }

  std::variant<std::string, ApplyOutcome> Merge(const RuleText& in_force,
                                                const std::string& base) const {
    if (proposal_.base == in_force.revision) return FormatDocument(ours_);
    const auto base_parsed = ParseDocument(base);
    const auto theirs_parsed = ParseDocument(in_force.text);
    const auto* base_document = std::get_if<RuleDocument>(&base_parsed);
    const auto* theirs = std::get_if<RuleDocument>(&theirs_parsed);
    if (base_document == nullptr || theirs == nullptr) {
      return Fail(Error{ErrorCode::kInternal, Verdict::kNotRun,
                        "the rules in the store do not parse"});
    }
    auto merged = MergeRules(*base_document, *theirs, ours_);
    if (auto* clashes = std::get_if<std::vector<RuleClash>>(&merged)) {
      return ApplyOutcome(std::move(*clashes));
    }
    std::string text = FormatDocument(std::get<RuleDocument>(merged));
    auto checked = ParseDocument(text);
    if (auto* errors = std::get_if<std::vector<RuleError>>(&checked)) {
      return ApplyOutcome(std::move(*errors));
    }
    return text;
  }

  std::optional<ApplyOutcome> Write(const StoredHead& stored,
                                    const RuleText& in_force,
                                    const std::string& text,
                                    const RuleChange& change) {
    const auto next = store_.log_.Append(stored.head, in_force.text, change);
    if (!IsOk(next)) return Fail(ErrorOf(next));
    const auto swapped = store_.log_.WriteHead(ValueOf(next), stored.index);
    if (IsOk(swapped)) {
      if (ValueOf(swapped) == SwapOutcome::kConflict) return std::nullopt;
      return RuleAcceptance{
          {change.revision, text}, true, WasMerged(change.revision)};
    }
    if (ErrorOf(swapped).verdict != Verdict::kMayHaveRun) {
      return Fail(ErrorOf(swapped));
    }
    // The answer was lost: the next try looks for the operation id in the
    // store.
    may_have_run_ = true;
    return std::nullopt;
  }

  /// The store to which the proposal is applied.
  RuleStore& store_;
  /// The proposal.
  const RuleProposal& proposal_;
  /// The parsed text of the proposal.
  RuleDocument ours_;
  /// Whether the answer of a write was lost.
  bool may_have_run_ = false;
};

RuleStore::RuleStore(const RuleStoreSettings& settings, KeyValueStore& store,
                     const Clock& clock)
    : settings_(settings), log_(settings.log, store), clock_(clock) {}

Result<StoredRules> RuleStore::Resolve(const Result<StoredHead>& read,
                                       const RuleText& known) {
  if (!IsOk(read)) return ErrorOf(read);
  StoredHead stored = ValueOf(read);
  for (int i = 0; i < kMaxStaleReads; ++i) {
    auto text = log_.ReadText(stored.head, known);
    if (IsOk(text)) return StoredRules{std::move(ValueOf(text)), stored.index};
    if (ErrorOf(text).code != ErrorCode::kStale) return ErrorOf(text);
    auto again = log_.ReadHead();
    if (!IsOk(again)) return ErrorOf(again);
    stored = std::move(ValueOf(again));
  }
  return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
               "the rules changed faster than they could be read"};
}

Result<StoredRules> RuleStore::Read(const RuleText& known) {
  return Resolve(log_.ReadHead(), known);
}

Result<StoredRules> RuleStore::Watch(const StoredRules& known,
                                     milliseconds wait) {
  return Resolve(log_.WatchHead(known.index, wait), known.rules);
}

ApplyOutcome RuleStore::Apply(const RuleProposal& proposal) {
  return ProposalApplier(*this, proposal).Run();
}

Result<std::string> RuleStore::TextAt(Revision revision) {
  const auto read = log_.ReadHead();
  if (!IsOk(read)) return ErrorOf(read);
  const RuleHead& head = ValueOf(read).head;
  const auto current = log_.ReadText(head, {});
  if (!IsOk(current)) return ErrorOf(current);
  auto since = ReconstructBase(log_, head, ValueOf(current).text, revision,
                               OperationId("none"));
  if (!IsOk(since)) return ErrorOf(since);
  return std::move(ValueOf(since).text);
}

Result<std::vector<RuleChange>> RuleStore::History(std::size_t most) {
  const auto read = log_.ReadHead();
  if (!IsOk(read)) return ErrorOf(read);
  std::vector<RuleChange> changes;
  const Status walked = log_.VisitNewestFirst(ValueOf(read).head, Revision(0),
                                              [&](const RuleChange& change) {
                                                if (changes.size() >= most) {
                                                  return false;
                                                }
                                                changes.push_back(change);
                                                return true;
                                              });
  const bool is_truncated =
      !IsOk(walked) && ErrorOf(walked).code == ErrorCode::kNotFound;
  if (!IsOk(walked) && !is_truncated) return ErrorOf(walked);
  return changes;
}

}  // namespace briarspread
