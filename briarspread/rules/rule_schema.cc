#include "briarspread/rules/rule_schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace briarspread {
namespace {

constexpr double kBytesInMegabyte = 1e6;
constexpr double kMaxMilliseconds = 3'600'000;
constexpr double kMaxCount = 1'000'000;

ArgumentSpec Selector(std::string name) {
  ArgumentSpec spec;
  spec.name = std::move(name);
  spec.is_selector = true;
  spec.fallback = kAny;
  return spec;
}

ArgumentSpec RequiredSelector(std::string name) {
  ArgumentSpec spec = Selector(std::move(name));
  spec.is_required = true;
  spec.fallback = "";
  return spec;
}

ArgumentSpec Number(std::string name, double min_value, double max_value,
                    std::string unit, std::string fallback) {
  ArgumentSpec spec;
  spec.name = std::move(name);
  spec.type = ArgumentType::kNumber;
  spec.min_value = min_value;
  spec.max_value = max_value;
  spec.unit = std::move(unit);
  spec.fallback = std::move(fallback);
  return spec;
}

ArgumentSpec Integer(std::string name, double min_value, double max_value,
                     std::string unit, std::string fallback) {
  ArgumentSpec spec = Number(std::move(name), min_value, max_value,
                             std::move(unit), std::move(fallback));
  spec.type = ArgumentType::kInteger;
  return spec;
}

ArgumentSpec Choice(std::string name, std::vector<std::string> choices) {
  ArgumentSpec spec;
  spec.name = std::move(name);
  spec.type = ArgumentType::kChoice;
  spec.is_required = true;
  spec.choices = std::move(choices);
  return spec;
}

ArgumentSpec Required(ArgumentSpec spec) {
  spec.is_required = true;
  return spec;
}

/// Returns the value of the argument `name`, or `kAny` if it is absent.
std::string NameOf(const RuleLine& rule, std::string_view name) {
  const RuleArgument* argument = rule.Find(name);
  return argument == nullptr ? kAny : argument->value;
}

/// Returns the value without its unit, or nothing if the unit is missing.
std::optional<std::string_view> WithoutUnit(std::string_view value,
                                            const std::string& unit) {
  if (!value.ends_with(unit)) return std::nullopt;
  value.remove_suffix(unit.size());
  return value;
}

/// Returns the number at the start of an argument that was checked before, or
/// `fallback` if the argument is absent.
template <typename T>
T NumberOf(const RuleLine& rule, std::string_view name, T fallback) {
  const RuleArgument* argument = rule.Find(name);
  if (argument == nullptr) return fallback;
  double number = 0;
  std::from_chars(argument->value.data(),
                  argument->value.data() + argument->value.size(), number);
  return static_cast<T>(number);
}

milliseconds MillisecondsOf(const RuleLine& rule, std::string_view name,
                            milliseconds fallback) {
  return milliseconds(NumberOf(rule, name, fallback.count()));
}

std::vector<std::string> SplitNames(std::string_view text) {
  std::vector<std::string> names;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    names.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
  return names;
}

void AddPriority(const RuleLine& line, RuleSet& rules) {
  PriorityRule rule;
  rule.customer = CustomerId(NameOf(line, "customer"));
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.level = NumberOf(line, "level", rule.level);
  rule.deadline = MillisecondsOf(line, "deadline", rule.deadline);
  rules.priorities.push_back(rule);
}

void AddIdempotent(const RuleLine& line, RuleSet& rules) {
  IdempotencyRule rule;
  rule.service = ServiceName(NameOf(line, "service"));
  rule.method = NameOf(line, "method");
  rule.idempotent = NameOf(line, "value") == "yes";
  rules.idempotency.push_back(rule);
}

void AddTrainer(const RuleLine& line, RuleSet& rules) {
  TrainerRule rule;
  rule.trainer = TrainerId(NameOf(line, "name"));
  rule.weight = NumberOf(line, "weight", rule.weight);
  if (line.Find("staleness") != nullptr) {
    rule.staleness = NumberOf(line, "staleness", std::uint64_t{0});
  }
  rules.trainers.push_back(rule);
}

void AddDrain(const RuleLine& line, RuleSet& rules) {
  rules.drains.push_back({UpstreamId(NameOf(line, "upstream"))});
}

void AddLimit(const RuleLine& line, RuleSet& rules) {
  LimitRule rule;
  rule.customer = CustomerId(NameOf(line, "customer"));
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.rate_per_second = NumberOf(line, "rate", rule.rate_per_second);
  rule.concurrency = NumberOf(line, "concurrency", rule.concurrency);
  rules.limits.push_back(rule);
}

void AddAccess(const RuleLine& line, RuleSet& rules) {
  AccessRule rule;
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.serves = SplitNames(NameOf(line, "serves"));
  rules.access.push_back(rule);
}

void AddLink(const RuleLine& line, RuleSet& rules) {
  LinkRule rule;
  rule.from = RegionId(NameOf(line, "from"));
  rule.to = RegionId(NameOf(line, "to"));
  const double megabytes = NumberOf(line, "budget", 0.0);
  rule.bytes_per_second = ByteCount(
      static_cast<std::uint64_t>(std::llround(megabytes * kBytesInMegabyte)));
  rules.links.push_back(rule);
}

void AddSpill(const RuleLine& line, RuleSet& rules) {
  SpillRule rule;
  rule.serves = NameOf(line, "serves");
  const std::string farthest = NameOf(line, "to");
  if (farthest == "zone") rule.spill = LocalitySpill::kZoneOnly;
  if (farthest == "region") rule.spill = LocalitySpill::kRegion;
  rules.spills.push_back(rule);
}

void AddReserve(const RuleLine& line, RuleSet& rules) {
  ReserveRule rule;
  rule.serves = NameOf(line, "serves");
  rule.share = NumberOf(line, "share", rule.share);
  rules.reserves.push_back(rule);
}

void AddQueue(const RuleLine& line, RuleSet& rules) {
  QueueRule rule;
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.length = NumberOf(line, "length", rule.length);
  rules.queues.push_back(rule);
}

void AddRetry(const RuleLine& line, RuleSet& rules) {
  RetryRule rule;
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.budget = NumberOf(line, "budget", rule.budget);
  rule.max_attempts = NumberOf(line, "attempts", rule.max_attempts);
  rules.retries.push_back(rule);
}

void AddHedge(const RuleLine& line, RuleSet& rules) {
  HedgeRule rule;
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.cost_cap = NumberOf(line, "cost", rule.cost_cap);
  rule.after = MillisecondsOf(line, "after", rule.after);
  rules.hedges.push_back(rule);
}

void AddPin(const RuleLine& line, RuleSet& rules) {
  PinRule rule;
  rule.request_class = RequestClass(NameOf(line, "class"));
  rule.upstream = UpstreamId(NameOf(line, "upstream"));
  rules.pins.push_back(rule);
}

void AddFencing(const RuleLine& line, RuleSet& rules) {
  FencingRule rule;
  rule.serves = NameOf(line, "serves");
  rule.checks = NameOf(line, "checked") == "yes";
  rules.fencing.push_back(rule);
}

void AddObjective(const RuleLine& line, RuleSet& rules) {
  ObjectiveRule rule;
  rule.staleness_weight = NumberOf(line, "staleness", rule.staleness_weight);
  rules.objective = rule;
}

void AddLiveFloor(const RuleLine& line, RuleSet& rules) {
  LiveFloorRule rule;
  rule.serves = NameOf(line, "serves");
  rule.replicas = NumberOf(line, "replicas", rule.replicas);
  rules.live_floors.push_back(rule);
}

/// Returns the kinds of rules about requests of customers and classes.
std::vector<KindSpec> RequestKinds() {
  return {
      {"priority",
       {Selector("customer"), Selector("class"),
        Integer("level", 0, 9, "", "5"),
        Integer("deadline", 1, kMaxMilliseconds, "ms", "30000ms")},
       false,
       &AddPriority},
      {"idempotent",
       {Selector("service"), Selector("method"),
        Choice("value", {"yes", "no"})},
       false,
       &AddIdempotent},
      {"limit",
       {Selector("customer"), Selector("class"),
        Number("rate", 0.001, kMaxCount, "/s", "unlimited"),
        Integer("concurrency", 1, kMaxCount, "", "unlimited")},
       true,
       &AddLimit},
      {"access",
       {Selector("class"),
        Required(
            {"serves", ArgumentType::kNames, false, true, "", 0, 0, "", {}})},
       false,
       &AddAccess},
      {"queue",
       {Selector("class"), Required(Integer("length", 0, kMaxCount, "", ""))},
       false,
       &AddQueue},
      {"retry",
       {Selector("class"), Number("budget", 0, 1, "", "0.1"),
        Integer("attempts", 1, 10, "", "3")},
       true,
       &AddRetry},
      {"hedge",
       {Selector("class"), Number("cost", 0, 1, "", "0.05"),
        Required(Integer("after", 1, kMaxMilliseconds, "ms", ""))},
       false,
       &AddHedge},
      {"pin",
       {Selector("class"),
        Required(
            {"upstream", ArgumentType::kName, false, true, "", 0, 0, "", {}})},
       false,
       &AddPin}};
}

/// Returns the kinds of rules about trainers, upstreams, regions and models.
std::vector<KindSpec> FleetKinds() {
  return {{"trainer",
           {Selector("name"), Number("weight", 0.01, 1000, "", "1"),
            Integer("staleness", 0, 1000, "", "as the step says")},
           false,
           &AddTrainer},
          {"drain", {RequiredSelector("upstream")}, false, &AddDrain},
          {"link",
           {Selector("from"), Selector("to"),
            Required(Number("budget", 0, 100'000, "MB/s", ""))},
           false,
           &AddLink},
          {"spill",
           {Selector("serves"), Choice("to", {"zone", "region", "any"})},
           false,
           &AddSpill},
          {"reserve",
           {Selector("serves"), Required(Number("share", 0, 1, "", ""))},
           false,
           &AddReserve},
          {"fencing",
           {Selector("serves"), Choice("checked", {"yes", "no"})},
           false,
           &AddFencing},
          {"objective",
           {Required(Number("staleness", 0, 1, "", ""))},
           false,
           &AddObjective},
          {"live-floor",
           {Selector("serves"), Required(Integer("replicas", 0, 1000, "", ""))},
           false,
           &AddLiveFloor}};
}

std::string FormatNumber(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) text.pop_back();
  return text;
}

std::string JoinWords(const std::vector<std::string>& words) {
  std::string text;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (i > 0) text += i + 1 == words.size() ? " or " : ", ";
    text += words[i];
  }
  return text;
}

bool IsAllowedNumber(const ArgumentSpec& spec, std::string_view value) {
  const auto digits = WithoutUnit(value, spec.unit);
  if (!digits.has_value() || digits->empty()) return false;
  const char* end = digits->data() + digits->size();
  if (spec.type == ArgumentType::kInteger) {
    const bool all_digits =
        std::all_of(digits->begin(), digits->end(),
                    [](char c) { return c >= '0' && c <= '9'; });
    if (!all_digits) return false;
  }
  double number = 0;
  const auto [stop, ec] = std::from_chars(digits->data(), end, number);
  // Comparisons with NaN are false, so this tests that the number is within the
  // range rather than that it is not outside, which would accept NaN.
  return ec == std::errc() && stop == end && number >= spec.min_value &&
         number <= spec.max_value;
}

bool AreAllowedNames(std::string_view value) {
  const std::vector<std::string> names = SplitNames(value);
  return std::none_of(names.begin(), names.end(),
                      [](const std::string& name) { return name.empty(); });
}

}  // namespace

const std::vector<KindSpec>& RuleKinds() {
  static const auto* kinds = [] {
    auto* all = new std::vector<KindSpec>(RequestKinds());
    for (KindSpec& kind : FleetKinds()) all->push_back(std::move(kind));
    return all;
  }();
  return *kinds;
}

const KindSpec* FindKind(std::string_view name) {
  const std::vector<KindSpec>& kinds = RuleKinds();
  const auto it =
      std::find_if(kinds.begin(), kinds.end(),
                   [&](const KindSpec& kind) { return kind.name == name; });
  return it == kinds.end() ? nullptr : &*it;
}

std::string DescribeAllowed(const ArgumentSpec& spec) {
  switch (spec.type) {
    case ArgumentType::kName:
      return "a name";
    case ArgumentType::kNames:
      return "names with commas between, none empty";
    case ArgumentType::kChoice:
      return JoinWords(spec.choices);
    case ArgumentType::kNumber:
    case ArgumentType::kInteger:
      break;
  }
  const std::string noun =
      spec.type == ArgumentType::kInteger ? "a whole number" : "a number";
  const std::string unit =
      spec.unit.empty() ? "" : " with the unit " + spec.unit;
  return noun + " from " + FormatNumber(spec.min_value) + " to " +
         FormatNumber(spec.max_value) + unit;
}

bool IsAllowed(const ArgumentSpec& spec, std::string_view value) {
  switch (spec.type) {
    case ArgumentType::kName:
      return !value.empty();
    case ArgumentType::kNames:
      return AreAllowedNames(value);
    case ArgumentType::kChoice:
      return std::find(spec.choices.begin(), spec.choices.end(), value) !=
             spec.choices.end();
    case ArgumentType::kNumber:
    case ArgumentType::kInteger:
      return IsAllowedNumber(spec, value);
  }
  return false;
}

}  // namespace briarspread
