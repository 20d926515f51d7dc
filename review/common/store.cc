#include "review/common/store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr double kAnswerSeconds = 0.004;
constexpr std::size_t kMaxItems = 500;
constexpr std::size_t kMaxListingBytes = 1000000;
constexpr std::size_t kMaxEntries = 32;
constexpr double kBodySeconds = 10;

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::string LastSegment(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

/// Returns the part of the path that names the call.
std::string NameOf(const std::string& path) {
  constexpr char kPrefix[] = "/briarspread/";
  const std::string rest = path.substr(sizeof kPrefix - 1);
  return rest.substr(0, rest.find('/'));
}

}  // namespace

bool StoreCall::Puts(const std::string& prefix) const {
  return std::any_of(puts.begin(), puts.end(), [&prefix](const auto& key) {
    return key.rfind(prefix, 0) == 0;
  });
}

Store::Store(std::size_t value_bytes) : value_bytes_(value_bytes) {
  std::thread([this] {
    while (true) {
      SleepFor(0.05);
      ExpireLeases();
    }
  }).detach();
}

std::string Store::AddressFor(const std::string& caller, const std::string& ip,
                              double delay) {
  servers_.push_back(std::make_unique<Server>(
      ip,
      [this, caller, delay](Connection& connection, const RequestHead& head) {
        return Handle(caller, delay, connection, head);
      }));
  return servers_.back()->address();
}

void Store::SetFault(Fault fault) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = std::move(fault);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  PutItem(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  RemoveItem(key);
  changed_.notify_all();
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) == 0) keys.push_back(key);
  }
  return keys;
}

Json Store::ToJson(const std::string& key, const Item& item) {
  return {{"Key", key},
          {"Value", EncodeBase64(item.value)},
          {"Revision", item.revision},
          {"Created", item.created},
          {"Lease", item.lease}};
}

void Store::PutItem(const std::string& key, std::string value,
                    std::uint64_t lease) {
  Item& item = items_[key];
  if (item.created == 0) item.created = revision_;
  item.value = std::move(value);
  item.revision = revision_;
  item.lease = lease;
  events_.push_back({key, revision_, std::make_shared<Item>(item)});
}

void Store::RemoveItem(const std::string& key) {
  if (items_.erase(key) > 0) events_.push_back({key, revision_, nullptr});
}

void Store::RemoveLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) keys.push_back(key);
  }
  if (!keys.empty()) ++revision_;
  for (const std::string& key : keys) RemoveItem(key);
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::uint64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (Now() > lease.expires) over.push_back(id);
  }
  for (const std::uint64_t id : over) RemoveLease(id);
}

bool Store::Handle(const std::string& caller, double delay,
                   Connection& connection, const RequestHead& head) {
  const auto text = connection.ReadBody(head.headers, Now() + kBodySeconds);
  if (!text.has_value()) return false;
  SleepFor(kAnswerSeconds + delay);
  const Json body = Json::parse(*text, nullptr, false);
  StoreCall call{caller, NameOf(head.path), {}};
  if (call.name == "kv-txn") {
    for (const Json& put : body.at("Put")) {
      call.puts.push_back(put.at("Key").get<std::string>());
    }
  }
  Result result;
  StoreFault fault = StoreFault::kNone;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    if (fault_) fault = fault_(call);
    if (fault == StoreFault::kRefuse) {
      result.status = 503;
    } else {
      result = Execute(call.name, head, body, lock);
    }
  }
  if (fault == StoreFault::kReset) {
    connection.ResetOnClose();
    return false;
  }
  if (fault == StoreFault::kLoseAnswer) {
    while (!connection.IsClosedByPeer()) SleepFor(0.05);
    return false;
  }
  HeaderLines headers;
  headers.Add("Content-Type", "application/json");
  return connection.SendResponse(result.status, headers, result.body.dump());
}

Store::Result Store::Execute(const std::string& name, const RequestHead& head,
                             const Json& body,
                             std::unique_lock<std::mutex>& lock) {
  if (name == "kv-key") return ReadItem(head);
  if (name == "kv-range") return ReadRange(head);
  if (name == "kv-watch") return Watch(head, lock);
  if (name == "kv-txn") return Commit(body);
  if (name == "kv-lease") return GrantLease(body);
  if (name == "kv-keep") return KeepLease(head);
  if (name == "kv-lease-end") return EndLease(head);
  return {404, Json::object()};
}

Store::Result Store::ReadItem(const RequestHead& head) {
  const std::string key = head.Parameter("Key");
  const auto it = items_.find(key);
  if (it == items_.end()) return {404, {{"StoreRevision", revision_}}};
  Json body = ToJson(key, it->second);
  body["StoreRevision"] = revision_;
  return {200, std::move(body)};
}

Store::Result Store::ReadRange(const RequestHead& head) {
  const std::string prefix = head.Parameter("Prefix");
  const std::string after = head.Parameter("After");
  Json items = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    if (items.size() >= kMaxItems ||
        (!items.empty() && bytes + item.value.size() > kMaxListingBytes)) {
      has_more = true;
      break;
    }
    bytes += item.value.size();
    items.push_back(ToJson(key, item));
  }
  return {200,
          {{"Items", std::move(items)},
           {"MorePages", has_more},
           {"StoreRevision", revision_}}};
}

Store::Result Store::Watch(const RequestHead& head,
                           std::unique_lock<std::mutex>& lock) {
  const std::string prefix = head.Parameter("Prefix");
  const std::uint64_t after = ToNumber(head.Parameter("After"));
  const double wait =
      static_cast<double>(ToNumber(head.Parameter("WaitMs"))) / 1000;
  const double deadline = Now() + wait;
  Json found = Json::array();
  while (true) {
    for (auto it = events_.rbegin();
         it != events_.rend() && it->revision > after; ++it) {
      if (it->key.rfind(prefix, 0) != 0) continue;
      if (it->item == nullptr) {
        found.push_back(
            {{"Key", it->key}, {"Revision", it->revision}, {"Removed", true}});
      } else {
        found.push_back(ToJson(it->key, *it->item));
      }
    }
    if (!found.empty() || Now() >= deadline) break;
    changed_.wait_for(lock, std::chrono::milliseconds(200));
  }
  std::reverse(found.begin(), found.end());
  return {200, {{"events", std::move(found)}, {"StoreRevision", revision_}}};
}

Store::Result Store::Commit(const Json& body) {
  if (body.at("Expected").size() + body.at("Put").size() +
          body.at("Remove").size() >
      kMaxEntries) {
    return {400, Json::object()};
  }
  // As the users' store does, the call is checked before its conditions are.
  for (const Json& put : body.at("Put")) {
    const std::string value = put.at("Value");
    if (DecodeBase64(value).size() > value_bytes_) {
      return {400, Json::object()};
    }
  }
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : body.at("Expected")) {
    const std::string key = row.at("Key");
    const auto it = items_.find(key);
    const std::uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    holds = holds && revision == row.at("Revision").get<std::uint64_t>();
    current.push_back(it == items_.end() ? Json{{"Key", key}, {"Revision", 0}}
                                         : ToJson(key, it->second));
  }
  if (!holds) return {412, {{"Items", std::move(current)}}};
  for (const Json& put : body.at("Put")) {
    const std::uint64_t lease = put.value("Lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {404, Json::object()};
    const std::string key = put.at("Key");
    if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
      return {403, Json::object()};
    }
  }
  ++revision_;
  for (const Json& put : body.at("Put")) {
    PutItem(put.at("Key"), DecodeBase64(put.at("Value").get<std::string>()),
            put.value("Lease", std::uint64_t{0}));
  }
  for (const Json& key : body.at("Remove")) RemoveItem(key);
  changed_.notify_all();
  return {200, {{"Revision", revision_}}};
}

Store::Result Store::GrantLease(const Json& body) {
  const std::uint64_t ttl_ms = std::clamp<std::uint64_t>(
      body.at("TtlMs").get<std::uint64_t>(), 1000, 600000);
  const std::uint64_t id = ++revision_;
  const double ttl = static_cast<double>(ttl_ms) / 1000;
  leases_[id] = {ttl, Now() + ttl};
  return {200, {{"Lease", id}, {"TtlMs", ttl_ms}}};
}

Store::Result Store::KeepLease(const RequestHead& head) {
  const auto it = leases_.find(ToNumber(LastSegment(head.path)));
  if (it == leases_.end()) return {404, Json::object()};
  it->second.expires = Now() + it->second.ttl_s;
  return {200,
          {{"TtlMs", static_cast<std::uint64_t>(it->second.ttl_s * 1000)}}};
}

Store::Result Store::EndLease(const RequestHead& head) {
  RemoveLease(ToNumber(LastSegment(head.path)));
  return {200, Json::object()};
}

}  // namespace review
