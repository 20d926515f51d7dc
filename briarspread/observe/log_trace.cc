#include "briarspread/observe/log_trace.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace briarspread {
namespace {

using Json = nlohmann::ordered_json;

/// Fields that identify the subject of a line.
constexpr const char* kIdFields[] = {"request", "item", "job", "group",
                                     "upstream"};

/// A change of state up to this many milliseconds before the first line of an
/// id may be the cause of what the lines report.
constexpr std::int64_t kStateLookbackMs = 3000;

std::string FieldOf(const LogLine& line, const char* name) {
  const auto it = line.fields.find(name);
  if (it == line.fields.end() || !it->is_string()) return {};
  return it->get<std::string>();
}

bool IsAboutId(const LogLine& line, const std::string& id) {
  return std::any_of(
      std::begin(kIdFields), std::end(kIdFields),
      [&](const char* field) { return FieldOf(line, field) == id; });
}

/// Whether a line is about a whole job in `jobs`, not about one of its items or
/// groups.
bool IsAboutJob(const LogLine& line, const std::set<std::string>& jobs) {
  return jobs.contains(FieldOf(line, "job")) && FieldOf(line, "item").empty() &&
         FieldOf(line, "group").empty() && FieldOf(line, "upstream").empty();
}

/// Whether a line reports a change of state of one of `instances`, or the death
/// of one of `upstreams`.
bool IsAboutState(const LogLine& line, const std::set<std::string>& upstreams,
                  const std::set<std::string>& instances) {
  static const std::set<std::string> state_events = {
      "started",           "stopping",   "configuration_in_force", "store_lost",
      "store_unreachable", "store_back", "handover_done"};
  if (state_events.contains(line.event)) {
    return instances.contains(line.instance);
  }
  return line.event == "upstream_died" &&
         upstreams.contains(FieldOf(line, "upstream"));
}

bool IsEarlier(const LogLine& a, const LogLine& b) {
  return a.time_ms < b.time_ms;
}

}  // namespace

void ReadLogLines(std::istream& in, CollectedLogs& logs) {
  for (std::string text; std::getline(in, text);) {
    const std::size_t start = text.find('{');
    Json json =
        start == std::string::npos
            ? Json()
            : Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                          text.end(), nullptr, false);
    const bool is_line = json.is_object() && json.contains("time_ms") &&
                         json["time_ms"].is_number_integer();
    if (!is_line) {
      ++logs.skipped;
      continue;
    }
    LogLine line;
    line.time_ms = json["time_ms"].get<std::int64_t>();
    line.fields = std::move(json);
    line.instance = FieldOf(line, "instance");
    line.event = FieldOf(line, "event");
    logs.lines.push_back(std::move(line));
  }
}

std::vector<LogLine> FindRelatedLines(const CollectedLogs& logs,
                                      const std::string& id) {
  std::set<std::string> jobs;
  std::set<std::string> upstreams;
  std::set<std::string> instances;
  std::int64_t first = 0;
  std::int64_t last = -1;
  for (const LogLine& line : logs.lines) {
    if (!IsAboutId(line, id)) continue;
    if (last < 0) first = line.time_ms;
    first = std::min(first, line.time_ms);
    last = std::max(last, line.time_ms);
    instances.insert(line.instance);
    for (auto& [field, found] :
         {std::pair{"job", &jobs}, std::pair{"upstream", &upstreams}}) {
      const std::string value = FieldOf(line, field);
      if (!value.empty()) found->insert(value);
    }
  }
  std::vector<LogLine> related;
  for (const LogLine& line : logs.lines) {
    const bool is_near =
        line.time_ms >= first - kStateLookbackMs && line.time_ms <= last;
    if (IsAboutId(line, id) || IsAboutJob(line, jobs) ||
        (is_near && IsAboutState(line, upstreams, instances))) {
      related.push_back(line);
    }
  }
  std::stable_sort(related.begin(), related.end(), IsEarlier);
  return related;
}

std::string FormatReadable(const LogLine& line, std::int64_t first_ms) {
  static const std::set<std::string> shown_elsewhere = {"time_ms", "instance",
                                                        "event"};
  std::ostringstream out;
  out << "+" << line.time_ms - first_ms << " ms  " << line.instance << "  "
      << line.event;
  for (const auto& [name, value] : line.fields.items()) {
    if (shown_elsewhere.contains(name)) continue;
    out << "  " << name << "="
        << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return out.str();
}

}  // namespace briarspread
