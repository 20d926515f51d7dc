#include "briarspread/rules/rule_record.h"

#include <nlohmann/json.hpp>

namespace briarspread {

using Json = nlohmann::json;

namespace {

/// The version of the record format.
constexpr int kFormat = 1;

}  // namespace

// The templates of nlohmann::json find these by argument-dependent lookup.
static void to_json(Json& json, const LineEdit& edit) {
  json = Json{{"at", edit.first_line},
              {"removed", edit.removed},
              {"added", edit.added}};
}

static void from_json(const Json& json, LineEdit& edit) {
  json.at("at").get_to(edit.first_line);
  json.at("removed").get_to(edit.removed);
  json.at("added").get_to(edit.added);
}

static void to_json(Json& json, const RuleChange& change) {
  json = Json{{"revision", change.revision.value()},
              {"operation_id", change.operation.value()},
              {"who", change.who},
              {"when_ms", change.when.count()},
              {"edit", change.edit}};
}

static void from_json(const Json& json, RuleChange& change) {
  change.revision = Revision(json.at("revision").get<std::uint64_t>());
  change.operation = OperationId(json.at("operation_id").get<std::string>());
  json.at("who").get_to(change.who);
  change.when = milliseconds(json.at("when_ms").get<std::int64_t>());
  json.at("edit").get_to(change.edit);
}

namespace {

/// Returns whether the revisions of the changes run from `after` + 1 to `last`
/// without a gap.
bool AreConsecutive(const std::vector<RuleChange>& changes, Revision after,
                    Revision last) {
  std::uint64_t n = after.value();
  for (const RuleChange& change : changes) {
    if (change.revision.value() != ++n) return false;
  }
  return n == last.value();
}

/// Parses JSON text with `read`, which reports a malformed record by returning
/// false or by throwing the library's exceptions.
template <typename Record, typename Reader>
Result<Record> ParseRecord(const std::string& text, Reader read) {
  const Error malformed{ErrorCode::kInternal, Verdict::kNotRun,
                        "a record of the rules in the store is malformed"};
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return malformed;
  try {
    if (json.at("format").get<int>() != kFormat) return malformed;
    Record record;
    if (!read(json, record)) return malformed;
    return record;
  } catch (const Json::exception&) {
    return malformed;
  }
}

}  // namespace

std::string FormatRecord(const RuleHead& head) {
  return Json{{"format", kFormat},
              {"revision", head.revision.value()},
              {"snapshot", head.snapshot.value()},
              {"changes", head.changes}}
      .dump();
}

std::string FormatRecord(const RuleSnapshot& snapshot) {
  return Json{{"format", kFormat},
              {"revision", snapshot.revision.value()},
              {"text", snapshot.text}}
      .dump();
}

std::string FormatRecord(const RuleSegment& segment) {
  std::vector<std::uint64_t> older;
  for (const Revision& revision : segment.older) {
    older.push_back(revision.value());
  }
  return Json{{"format", kFormat},
              {"last", segment.last.value()},
              {"older", older},
              {"changes", segment.changes}}
      .dump();
}

Result<RuleHead> ParseRuleHead(const std::string& text) {
  return ParseRecord<RuleHead>(text, [](const Json& json, RuleHead& head) {
    head.revision = Revision(json.at("revision").get<std::uint64_t>());
    head.snapshot = Revision(json.at("snapshot").get<std::uint64_t>());
    json.at("changes").get_to(head.changes);
    return head.revision.value() > 0 &&
           AreConsecutive(head.changes, head.snapshot, head.revision);
  });
}

Result<RuleSnapshot> ParseRuleSnapshot(const std::string& text) {
  return ParseRecord<RuleSnapshot>(
      text, [](const Json& json, RuleSnapshot& out) {
        out.revision = Revision(json.at("revision").get<std::uint64_t>());
        json.at("text").get_to(out.text);
        return true;
      });
}

Result<RuleSegment> ParseRuleSegment(const std::string& text) {
  return ParseRecord<RuleSegment>(text, [](const Json& json, RuleSegment& out) {
    out.last = Revision(json.at("last").get<std::uint64_t>());
    for (const auto revision :
         json.at("older").get<std::vector<std::uint64_t>>()) {
      out.older.emplace_back(revision);
    }
    json.at("changes").get_to(out.changes);
    if (out.changes.empty()) return false;
    const Revision after(out.changes.front().revision.value() - 1);
    return AreConsecutive(out.changes, after, out.last);
  });
}

}  // namespace briarspread
