#include "briarspread/contracts/home_table.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "briarspread/core/rendezvous.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr char kTableKey[] = "briarspread/homes";
constexpr std::size_t kMaxHomes = 1024;

Error Malformed(const std::string& what) {
  return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
               "home table: " + what};
}

Json HomeToJson(const Home& home) {
  return Json{{"name", home.name.value()},
              {"owner", home.owner.instance.value()},
              {"incarnation", home.owner.incarnation.value()},
              {"term", home.term.value()},
              {"standby", home.standby.value()}};
}

Home HomeFromJson(const Json& json) {
  Home home;
  home.name = HomeName(json.at("name").get<std::string>());
  home.owner.instance = InstanceId(json.at("owner").get<std::string>());
  home.owner.incarnation =
      Incarnation(json.at("incarnation").get<std::uint64_t>());
  home.term = Epoch(json.at("term").get<std::uint64_t>());
  home.standby = InstanceId(json.at("standby").get<std::string>());
  return home;
}

}  // namespace

const Home* HomeTable::HomeOf(const RequestKey& key) const {
  const Home* best = nullptr;
  std::uint64_t best_weight = 0;
  const std::uint64_t key_hash = StableHash(key.value());
  for (const Home& home : homes) {
    const std::uint64_t weight = StableHash(home.name.value(), key_hash);
    if (best == nullptr || weight > best_weight) {
      best = &home;
      best_weight = weight;
    }
  }
  return best;
}

const Home* HomeTable::Find(const HomeName& name) const {
  for (const Home& home : homes) {
    if (home.name == name) return &home;
  }
  return nullptr;
}

InstanceId ChooseStandby(const HomeName& home, const StandbyCandidate& owner,
                         const std::vector<StandbyCandidate>& candidates) {
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (const StandbyCandidate& it : candidates) {
    names.push_back(it.instance.value());
  }
  InstanceId same_zone;
  for (const std::size_t i : RendezvousOrder(home.value(), names)) {
    const StandbyCandidate& candidate = candidates[i];
    if (candidate.instance == owner.instance) continue;
    if (candidate.zone != owner.zone) return candidate.instance;
    if (same_zone.value().empty()) same_zone = candidate.instance;
  }
  return same_zone;
}

std::string ToJson(const HomeTable& table) {
  Json homes = Json::array();
  for (const Home& home : table.homes) homes.push_back(HomeToJson(home));
  const Json json{{"epoch", table.epoch.value()},
                  {"operation", table.operation.value()},
                  {"homes", std::move(homes)}};
  return json.dump();
}

Result<HomeTable> ParseHomeTable(std::string_view text) {
  if (text.size() > kMaxStoreValueBytes) return Malformed("too large");
  const Json json = Json::parse(text, nullptr, false);
  HomeTable table;
  try {
    table.epoch = Epoch(json.at("epoch").get<std::uint64_t>());
    table.operation = OperationId(json.at("operation").get<std::string>());
    const Json& homes = json.at("homes");
    if (!homes.is_array() || homes.size() > kMaxHomes) {
      return Malformed("homes is no list of at most 1024");
    }
    std::set<HomeName> names;
    for (const Json& it : homes) {
      table.homes.push_back(HomeFromJson(it));
      if (!names.insert(table.homes.back().name).second) {
        return Malformed("a home is named twice");
      }
    }
  } catch (const Json::exception& e) {
    return Malformed(e.what());
  }
  return table;
}

Result<StoredHomeTable> HomeTableStore::Read() {
  const auto found = store_.Get(kTableKey);
  if (!IsOk(found)) return ErrorOf(found);
  const std::optional<KeyValue>& value = ValueOf(found);
  if (!value.has_value()) return StoredHomeTable{};
  const auto table = ParseHomeTable(value->value);
  if (!IsOk(table)) return ErrorOf(table);
  return StoredHomeTable{ValueOf(table), value->index};
}

Status HomeTableStore::Replace(StoreIndex index, const HomeTable& next) {
  assert(!next.operation.value().empty());
  const auto swapped = store_.CompareAndSwap(kTableKey, ToJson(next), index);
  if (IsOk(swapped) && ValueOf(swapped) == SwapOutcome::kSwapped) {
    return OkStatus();
  }
  if (!IsOk(swapped) && ErrorOf(swapped).verdict == Verdict::kNotRun) {
    return ErrorOf(swapped);
  }
  // Either the response was lost, or the swap failed because an earlier attempt
  // of this change had already been written.
  const auto now = Read();
  if (!IsOk(now)) {
    return Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
                 "home table: the outcome of the change is unknown"};
  }
  if (ValueOf(now).table.operation == next.operation) return OkStatus();
  if (ValueOf(now).index == index) {
    return Error{ErrorCode::kUnavailable, Verdict::kMayHaveRun,
                 "home table: the change has not taken effect yet"};
  }
  return Error{ErrorCode::kConflict, Verdict::kNotRun,
               "home table: another change was written first"};
}

}  // namespace briarspread
