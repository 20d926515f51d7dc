#include "tests/platform/store_stand_in.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>

#include "briarspread/core/base64.h"

namespace briarspread::platform {
namespace {

using Json = nlohmann::json;

Json ToJson(const KeyValue& item) {
  return {{"Key", item.key},
          {"Value", EncodeBase64(item.value)},
          {"Revision", item.index.value()},
          {"Created", item.index.value()},
          {"Lease", 0}};
}

Json ToJson(const StoreChange& change) {
  if (change.value.has_value()) {
    return ToJson(KeyValue{change.key, *change.value, change.index});
  }
  return {{"Key", change.key},
          {"Revision", change.index.value()},
          {"Removed", true}};
}

void Send(proxy::Responder& responder, int status, const Json& body) {
  responder.Send(proxy::MakeResponse(status, body.dump()));
}

/// Answers an error as the store does. Sends nothing if the verdict is
/// `kMayHaveRun`, which simulates a lost call or answer. Returns whether
/// `result` is an error.
template <typename T>
bool SendError(proxy::Responder& responder, const Result<T>& result) {
  if (IsOk(result)) return false;
  const Error& error = ErrorOf(result);
  if (error.code == ErrorCode::kNotFound) {
    Send(responder, 404, Json::object());
  } else if (error.code == ErrorCode::kStale) {
    Send(responder, 410, Json::object());
  } else if (error.verdict == Verdict::kNotRun) {
    Send(responder, 503, Json::object());
  }
  return true;
}

std::string Parameter(std::string_view query, std::string_view name) {
  return proxy::FindParameter(query, name).value_or("");
}

}  // namespace

StoreStandIn::StoreStandIn(asio::io_context& loop, std::uint16_t port)
    : listener_(loop, *this) {
  CHECK(IsOk(listener_.Start(Endpoint{"127.0.0.1", port})));
}

void StoreStandIn::Tick(TimePoint now) {
  now_ = now;
  std::vector<StoreLeaseId> over;
  for (auto& [id, lease] : leases_) {
    if (lease.renewed == TimePoint{}) lease.renewed = now;
    if (now - lease.renewed > lease.time_to_live) over.push_back(id);
  }
  for (const StoreLeaseId id : over) {
    memory_.ExpireLease(id);
    leases_.erase(id);
  }
  memory_.Deliver();
}

void StoreStandIn::OnRequest(proxy::Request request, ResponderPtr responder) {
  if (refusal_ != 0) {
    Send(*responder, refusal_, Json::object());
    return;
  }
  const auto target = proxy::SplitTarget(request.head.target);
  const std::string path(target.path);
  if (path == "/briarspread/kv-txn") {
    Commit(request.body, responder);
  } else if (path == "/briarspread/kv-lease") {
    const milliseconds ttl(
        Json::parse(request.body).at("TtlMs").get<std::int64_t>());
    memory_.GrantLease(ttl,
                       [this, ttl, responder](const Result<StoreLease>& lease) {
                         if (SendError(*responder, lease)) return;
                         leases_[ValueOf(lease).id] = LeaseState{ttl, now_};
                         Send(*responder, 200,
                              {{"Lease", ValueOf(lease).id.value()},
                               {"TtlMs", ValueOf(lease).time_to_live.count()}});
                       });
  } else if (path.starts_with("/briarspread/kv-keep/")) {
    const StoreLeaseId id(
        *proxy::ParseNumber(path.substr(path.rfind('/') + 1)));
    memory_.RenewLease(id,
                       [this, id, responder](const Result<StoreLease>& kept) {
                         if (SendError(*responder, kept)) return;
                         leases_[id].renewed = now_;
                         Send(*responder, 200, {{"TtlMs", 1000}});
                       });
  } else if (path.starts_with("/briarspread/kv-lease-end/")) {
    const StoreLeaseId id(
        *proxy::ParseNumber(path.substr(path.rfind('/') + 1)));
    memory_.EndLease(id, [responder](const Result<std::monostate>& ended) {
      if (SendError(*responder, ended)) return;
      Send(*responder, 200, Json::object());
    });
  } else {
    Read(path, target.query, responder);
  }
  memory_.Deliver();
}

void StoreStandIn::Read(const std::string& what, std::string_view query,
                        const ResponderPtr& responder) {
  if (what == "/briarspread/kv-key") {
    memory_.Get(Parameter(query, "Key"),
                [responder](const Result<std::optional<KeyValue>>& read) {
                  if (SendError(*responder, read)) return;
                  if (!ValueOf(read).has_value()) {
                    Send(*responder, 404, Json::object());
                  } else {
                    Send(*responder, 200, ToJson(*ValueOf(read)));
                  }
                });
    return;
  }
  const std::string prefix = Parameter(query, "Prefix");
  if (what == "/briarspread/kv-watch") {
    const StoreIndex after(*proxy::ParseNumber(Parameter(query, "After")));
    memory_.Watch(
        prefix, after, milliseconds(0),
        [responder](const Result<StoreChanges>& changes) {
          if (SendError(*responder, changes)) return;
          Json events = Json::array();
          for (const auto& change : ValueOf(changes).changes) {
            events.push_back(ToJson(change));
          }
          Send(*responder, 200,
               {{"events", events},
                {"StoreRevision", ValueOf(changes).store_index.value()}});
        });
    return;
  }
  const std::string after = Parameter(query, "After");
  memory_.List(prefix, [page = page_size_, responder,
                        after](const Result<StoreListing>& all) {
    if (SendError(*responder, all)) return;
    Json items = Json::array();
    bool has_more = false;
    for (const KeyValue& item : ValueOf(all).items) {
      if (item.key <= after) continue;
      has_more = items.size() == page;
      if (has_more) break;
      items.push_back(ToJson(item));
    }
    Send(*responder, 200,
         {{"Items", items},
          {"MorePages", has_more},
          {"StoreRevision", ValueOf(all).store_index.value()}});
  });
}

void StoreStandIn::Commit(const std::string& body,
                          const ResponderPtr& responder) {
  const Json json = Json::parse(body);
  StoreTransaction transaction;
  for (const Json& row : json.at("Expected")) {
    transaction.conditions.push_back(
        {row.at("Key"), StoreIndex(row.at("Revision").get<std::uint64_t>())});
  }
  for (const Json& put : json.at("Put")) {
    transaction.writes.push_back(
        {put.at("Key"), *DecodeBase64(put.at("Value").get<std::string>()),
         StoreLeaseId(put.value("Lease", std::uint64_t{0}))});
  }
  for (const Json& key : json.at("Remove")) {
    transaction.removals.push_back(key);
  }
  memory_.Commit(
      std::move(transaction), [responder](const Result<StoreOutcome>& outcome) {
        if (SendError(*responder, outcome)) return;
        const auto* ok = std::get_if<StoreCommitted>(&ValueOf(outcome));
        if (ok != nullptr) {
          Send(*responder, 200, {{"Revision", ok->index.value()}});
          return;
        }
        Json items = Json::array();
        for (const KeyValue& item :
             std::get<StoreConflict>(ValueOf(outcome)).current) {
          items.push_back(ToJson(item));
        }
        Send(*responder, 412, {{"Items", items}});
      });
}

}  // namespace briarspread::platform
