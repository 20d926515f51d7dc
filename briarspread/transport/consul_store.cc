#include "briarspread/transport/consul_store.h"

#include <nlohmann/json.hpp>

#include "briarspread/core/base64.h"

namespace briarspread {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpTooManyRequests = 429;

/// Returns the error of a call that did not return 200. The verdict is
/// `kNotRun` if the call was not sent or was answered with 429.
Error UnavailableError(const ExchangeOutcome& outcome) {
  const bool sent = outcome.stage > ExchangeStage::kConnecting;
  const bool refused = outcome.stage == ExchangeStage::kEnded &&
                       outcome.status == kHttpTooManyRequests;
  const Verdict verdict =
      sent && !refused ? Verdict::kMayHaveRun : Verdict::kNotRun;
  const std::string reason = outcome.stage == ExchangeStage::kEnded
                                 ? "status " + std::to_string(outcome.status)
                                 : outcome.failure;
  return Error{ErrorCode::kUnavailable, verdict,
               "key-value service: " + reason};
}

Error MalformedAnswer() {
  return Error{ErrorCode::kInternal, Verdict::kMayHaveRun,
               "key-value service: malformed answer"};
}

std::optional<KeyValue> ParseRow(const Json& row) {
  if (!row.is_object() || !row.contains("Key") ||
      !row.contains("ModifyIndex")) {
    return std::nullopt;
  }
  KeyValue parsed;
  parsed.key = row["Key"].get<std::string>();
  parsed.index = StoreIndex(row["ModifyIndex"].get<std::uint64_t>());
  if (row.contains("Value") && row["Value"].is_string()) {
    auto value = DecodeBase64(row["Value"].get<std::string>());
    if (!value.has_value()) return std::nullopt;
    parsed.value = std::move(*value);
  }
  return parsed;
}

Result<std::vector<KeyValue>> ParseRows(const ExchangeOutcome& outcome) {
  if (outcome.stage != ExchangeStage::kEnded) return UnavailableError(outcome);
  if (outcome.status == kHttpNotFound) return std::vector<KeyValue>{};
  if (outcome.status != kHttpOk) return UnavailableError(outcome);
  const Json parsed = Json::parse(outcome.body, nullptr, false);
  if (!parsed.is_array()) return MalformedAnswer();
  std::vector<KeyValue> rows;
  for (const Json& row : parsed) {
    auto key_value = ParseRow(row);
    if (!key_value.has_value()) return MalformedAnswer();
    rows.push_back(std::move(*key_value));
  }
  return rows;
}

InstanceKind ParseKind(const std::string& kind) {
  if (kind == "engine") return InstanceKind::kModelEngine;
  if (kind == "service") return InstanceKind::kPlainService;
  return InstanceKind::kEntry;
}

ListedInstance ParseInstance(const Json& row) {
  const Json meta = row.value("ServiceMeta", Json::object());
  ListedInstance parsed;
  parsed.name = row.value("ServiceID", "");
  parsed.kind = ParseKind(meta.value("kind", "entry"));
  parsed.serves = meta.value("serves", "");
  parsed.endpoint.host = row.value("ServiceAddress", "");
  parsed.endpoint.port = row.value("ServicePort", std::uint16_t{0});
  parsed.locality.region = RegionId(meta.value("region", ""));
  parsed.locality.zone = ZoneId(meta.value("zone", ""));
  parsed.state = meta.value("state", "live") == "leaving"
                     ? ListedState::kLeaving
                     : ListedState::kLive;
  return parsed;
}

}  // namespace

ConsulStore::ConsulStore(const ConsulSettings& settings, UpstreamClient& client)
    : settings_(settings), client_(client) {}

ExchangeOutcome ConsulStore::Call(const std::string& method,
                                  const std::string& path,
                                  const std::string& body,
                                  milliseconds extra_wait) {
  UpstreamRequest request;
  request.endpoint = settings_.endpoint;
  request.method = method;
  request.path = path;
  request.body = body;
  request.content_type = "application/octet-stream";
  request.connect_timeout = settings_.timeout;
  request.timeout = settings_.timeout + extra_wait;
  return client_.Exchange(request, nullptr);
}

Result<std::optional<KeyValue>> ConsulStore::ReadOne(const std::string& path,
                                                     milliseconds extra_wait) {
  auto rows = ParseRows(Call("GET", path, "", extra_wait));
  if (!IsOk(rows)) return ErrorOf(rows);
  if (ValueOf(rows).empty()) return std::optional<KeyValue>{};
  return std::optional<KeyValue>(std::move(ValueOf(rows).front()));
}

Result<std::optional<KeyValue>> ConsulStore::Get(const std::string& key) {
  return ReadOne("/v1/kv/" + key, milliseconds(0));
}

Result<std::vector<KeyValue>> ConsulStore::List(const std::string& prefix) {
  return ParseRows(
      Call("GET", "/v1/kv/" + prefix + "?recurse=1", "", milliseconds(0)));
}

Result<SwapOutcome> ConsulStore::Write(const std::string& method,
                                       const std::string& path,
                                       const std::string& body) {
  const ExchangeOutcome outcome = Call(method, path, body, milliseconds(0));
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return UnavailableError(outcome);
  }
  if (outcome.body.starts_with("true")) return SwapOutcome::kSwapped;
  if (outcome.body.starts_with("false")) return SwapOutcome::kConflict;
  return MalformedAnswer();
}

Result<SwapOutcome> ConsulStore::CompareAndSwap(const std::string& key,
                                                const std::string& value,
                                                StoreIndex expected) {
  if (value.size() > kMaxStoreValueBytes) {
    return Error{ErrorCode::kInvalidArgument, Verdict::kNotRun,
                 "value of " + key + " is larger than the store holds"};
  }
  return Write("PUT",
               "/v1/kv/" + key + "?cas=" + std::to_string(expected.value()),
               value);
}

Result<SwapOutcome> ConsulStore::Delete(const std::string& key,
                                        StoreIndex expected) {
  return Write("DELETE",
               "/v1/kv/" + key + "?cas=" + std::to_string(expected.value()),
               "");
}

Result<std::optional<KeyValue>> ConsulStore::Watch(const std::string& key,
                                                   StoreIndex after,
                                                   milliseconds wait) {
  return ReadOne("/v1/kv/" + key + "?index=" + std::to_string(after.value()) +
                     "&wait=" + std::to_string(wait.count()) + "ms",
                 wait);
}

ConsulInstanceList::ConsulInstanceList(const ConsulSettings& settings,
                                       UpstreamClient& client)
    : settings_(settings), client_(client) {}

Result<std::vector<ListedInstance>> ConsulInstanceList::Read() {
  UpstreamRequest request;
  request.endpoint = settings_.endpoint;
  request.method = "GET";
  request.path = "/v1/catalog/service/" + settings_.service;
  request.connect_timeout = settings_.timeout;
  request.timeout = settings_.timeout;
  const ExchangeOutcome outcome = client_.Exchange(request, nullptr);
  if (outcome.stage != ExchangeStage::kEnded || outcome.status != kHttpOk) {
    return UnavailableError(outcome);
  }
  const Json rows = Json::parse(outcome.body, nullptr, false);
  if (!rows.is_array()) return MalformedAnswer();
  std::vector<ListedInstance> instances;
  for (const Json& row : rows) {
    if (row.is_object()) instances.push_back(ParseInstance(row));
  }
  return instances;
}

}  // namespace briarspread
