#include "briarspread/batch/job_peer_handler.h"

#include <optional>
#include <utility>

#include "briarspread/batch/engine_load_publisher.h"
#include "briarspread/batch/job_calls.h"
#include "briarspread/batch/job_validation.h"

namespace briarspread::batch {
namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kNoticesPath = "/v1/job-notices";

void SendBytes(proxy::Responder& responder, std::string bytes) {
  proxy::Response response;
  response.head.status = 200;
  response.head.headers.Add("Content-Type", "application/cbor");
  response.body = std::move(bytes);
  responder.Send(response);
}

void SendStatus(proxy::Responder& responder, int status) {
  responder.Send(proxy::MakeResponse(status, "{}"));
}

int StatusOf(const Error& error) {
  if (error.code == ErrorCode::kNotFound) return 404;
  return error.verdict == Verdict::kNotRun ? 503 : 504;
}

void SendOutcome(proxy::Responder& responder,
                 const Result<std::monostate>& result) {
  SendStatus(responder, IsOk(result) ? 200 : StatusOf(ErrorOf(result)));
}

std::uint64_t NumberOf(std::string_view query, std::string_view name) {
  const auto text = proxy::FindParameter(query, name);
  if (!text.has_value()) return 0;
  return proxy::ParseNumber(*text).value_or(0);
}

/// Returns the decoded segment of a path.
std::string DecodeSegment(std::string_view segment) {
  // A segment is encoded in the same way as a parameter value.
  const std::string query = "s=" + std::string(segment);
  return proxy::FindParameter(query, "s").value_or("");
}

}  // namespace

bool JobPeerHandler::TryAnswer(const proxy::Request& request,
                               const ResponderPtr& responder) {
  const auto target = proxy::SplitTarget(request.head.target);
  if (target.path == kIndexPath) {
    if (auto index = gateway_.EncodedIndex()) {
      SendBytes(*responder, std::move(*index));
    } else {
      SendStatus(*responder, 503);
    }
    return true;
  }
  if (target.path == kNoticesPath) {
    HandleNotice(target.query, request.body, responder);
    return true;
  }
  if (target.path == EngineLoadPublisher::kPath) {
    HandleLoads(target.query, request.body, responder);
    return true;
  }
  if (!target.path.starts_with(kJobsPath)) return false;
  std::string_view rest = target.path.substr(kJobsPath.size());
  if (rest.empty()) {
    Accept(request, responder);
    return true;
  }
  rest.remove_prefix(1);
  const std::size_t slash = rest.find('/');
  const JobId id(DecodeSegment(rest.substr(0, slash)));
  const std::string_view what =
      slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  if (what == "results") {
    Read(id, target.query, responder);
  } else if (what == "bodies") {
    ReadBody(id, target.query, responder);
  } else if (what == "adoption") {
    Adopt(id, target.query, request.body, responder);
  } else if (what.empty() && request.head.method == "DELETE") {
    End(id, responder);
  } else {
    return false;
  }
  return true;
}

void JobPeerHandler::Accept(const proxy::Request& request,
                            const ResponderPtr& responder) {
  auto spec = DecodeJobSpec(request.body);
  if (!spec.has_value() || !IsOk(Validate(*spec))) {
    SendStatus(*responder, 400);
    return;
  }
  if (gateway_.is_stopping()) {
    SendStatus(*responder, 503);
    return;
  }
  const JobId id = spec->id;
  const std::string home_key = HomeKeyOf(*spec);
  gateway_.runner().Accept(
      std::move(*spec), home_key,
      [this, id, responder](const Result<std::monostate>& result) {
        if (!IsOk(result)) {
          SendStatus(*responder, StatusOf(ErrorOf(result)));
          return;
        }
        if (!gateway_.runner().Owns(id)) {
          SendStatus(*responder, 200);
          return;
        }
        SendBytes(*responder, Encode(gateway_.runner().RecordOf(id).record));
      });
}

void JobPeerHandler::HandleNotice(std::string_view query,
                                  const std::string& body,
                                  const ResponderPtr& responder) {
  const auto record = DecodeJobRecord(body);
  const auto id = proxy::FindParameter(query, "id");
  if (!record.has_value() || !id.has_value()) {
    SendStatus(*responder, 400);
    return;
  }
  gateway_.OnNotice(
      StoredRecord{JobId(*id), *record, StoreIndex(NumberOf(query, "index"))});
  SendStatus(*responder, 200);
}

void JobPeerHandler::HandleLoads(std::string_view query,
                                 const std::string& body,
                                 const ResponderPtr& responder) {
  const auto peer = proxy::FindParameter(query, "from");
  auto loads = ParseEngineLoads(body);
  if (!peer.has_value() || !loads.has_value()) {
    SendStatus(*responder, 400);
    return;
  }
  gateway_.runner().peer_loads().Put(InstanceId(*peer), std::move(*loads));
  SendStatus(*responder, 200);
}

bool JobPeerHandler::IsHeld(const JobId& id) {
  if (gateway_.runner().Owns(id)) return true;
  gateway_.OnUnheldJobRequested(id);
  return false;
}

void JobPeerHandler::Read(const JobId& id, std::string_view query,
                          const ResponderPtr& responder) {
  if (!IsHeld(id)) {
    SendStatus(*responder, 404);
    return;
  }
  const milliseconds wait(static_cast<std::int64_t>(NumberOf(query, "wait")));
  gateway_.runner().Read(id, NumberOf(query, "after"), wait,
                         [responder](const Result<ResultPage>& page) {
                           if (!IsOk(page)) {
                             SendStatus(*responder, StatusOf(ErrorOf(page)));
                             return;
                           }
                           SendBytes(*responder, Encode(ValueOf(page)));
                         });
}

void JobPeerHandler::ReadBody(const JobId& id, std::string_view query,
                              const ResponderPtr& responder) {
  const auto item = proxy::FindParameter(query, "item");
  if (!IsHeld(id) || !item.has_value()) {
    SendStatus(*responder, 404);
    return;
  }
  const auto body = gateway_.runner().ReadBody(id, ItemId(*item));
  if (!IsOk(body)) {
    SendStatus(*responder, StatusOf(ErrorOf(body)));
    return;
  }
  SendBytes(*responder, ValueOf(body));
}

void JobPeerHandler::End(const JobId& id, const ResponderPtr& responder) {
  if (!IsHeld(id)) {
    SendStatus(*responder, 404);
    return;
  }
  gateway_.runner().End(id, [responder](const Result<std::monostate>& result) {
    SendOutcome(*responder, result);
  });
}

void JobPeerHandler::Adopt(const JobId& id, std::string_view query,
                           const std::string& body,
                           const ResponderPtr& responder) {
  const std::size_t record_bytes = NumberOf(query, "record_bytes");
  const auto record = DecodeJobRecord(body.substr(0, record_bytes));
  const auto handover = record_bytes > body.size()
                            ? std::nullopt
                            : DecodeJobHandover(body.substr(record_bytes));
  if (!record.has_value() || !handover.has_value()) {
    SendStatus(*responder, 400);
    return;
  }
  gateway_.OnHandover(
      StoredRecord{id, *record, StoreIndex(NumberOf(query, "index"))},
      *handover, [responder](const Result<std::monostate>& result) {
        SendOutcome(*responder, result);
      });
}

}  // namespace briarspread::batch
