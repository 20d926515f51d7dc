#include "tests/soak/soak_replica.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace briarspread::soak {
namespace {

using Json = nlohmann::json;

std::string HeaderOf(const proxy::Request& request, const char* name) {
  const std::string* value = request.head.headers.Find(name);
  return value == nullptr ? "" : *value;
}

}  // namespace

struct SoakReplica::Stream {
  Stream(asio::io_context& loop, ResponderPtr responder)
      : responder(std::move(responder)), timer(loop) {}
  ResponderPtr responder;
  LoopTimer timer;
  std::string item;
  std::size_t model = 0;
  std::uint64_t next = 1;
  /// Version last sent to the caller.
  std::uint64_t sent_version = 0;
  /// Incarnation of the replica that runs the stream.
  std::uint64_t incarnation = 0;
  bool is_over = false;
};

SoakReplica::SoakReplica(ReplicaContext& context,
                         const ReplicaSettings& settings)
    : context_(context),
      settings_(settings),
      listener_(context.loop, *this),
      load_timer_(context.loop),
      restart_timer_(context.loop),
      incarnation_(1 + context.random.Below(1000000)) {
  const Status started = listener_.Start(Endpoint{"127.0.0.1", settings.port});
  if (!IsOk(started)) context.record.Fail("SETUP", ErrorOf(started).message);
  Register();
}

void SoakReplica::WriteEntry(const std::string& service) {
  Json models = Json::array();
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    models.push_back({{"Name", "m" + std::to_string(i)},
                      {"Version", versions_[i]},
                      {"Adapters", Json::array()}});
  }
  const Json entry = {
      {"Service", service},
      {"Address", "127.0.0.1:" + std::to_string(settings_.registered_port)},
      {"Zone", settings_.zone},
      {"Slots", settings_.slots},
      {"State", "ready"},
      {"born", incarnation_},
      {"Models", std::move(models)}};
  context_.store.memory().Write("servers/" + settings_.name, entry.dump());
}

void SoakReplica::Crash(milliseconds after) {
  if (!is_up_) return;
  is_up_ = false;
  ++incarnation_;
  orders_ = 0;
  running_ = 0;
  is_loading_ = false;
  load_timer_.Cancel();
  listener_.Stop();
  context_.record.RecordReplicaRestart(settings_.name);
  context_.store.memory().Erase("servers/" + settings_.name);
  restart_timer_.After(after, [this] {
    const Status started =
        listener_.Start(Endpoint{"127.0.0.1", settings_.port});
    if (!IsOk(started)) context_.record.Fail("SETUP", ErrorOf(started).message);
    is_up_ = true;
    Register();
  });
}

std::string SoakReplica::LoadHeader() const {
  return std::to_string(running_) + ",0," + std::to_string(settings_.slots);
}

void SoakReplica::Refuse(proxy::Responder& responder, int status) {
  proxy::Response response = proxy::MakeResponse(status, "{}");
  response.head.headers.Add("X-Not-Executed", "1");
  response.head.headers.Add("X-Instance-Load", LoadHeader());
  responder.Send(response);
}

void SoakReplica::OnRequest(proxy::Request request, ResponderPtr responder) {
  const std::string expected = HeaderOf(request, "X-Expect-Instance");
  const std::string path(proxy::SplitTarget(request.head.target).path);
  if (!expected.empty() && expected != settings_.name) {
    Refuse(*responder, 421);
    return;
  }
  CheckAccount(request);
  if (path == "/briarspread/report") {
    responder->Send(proxy::MakeResponse(200, Report()));
  } else if (path == "/briarspread/order") {
    HandleOrder(request, *responder);
  } else if (running_ >= settings_.slots) {
    Refuse(*responder, 503);
  } else if (path.starts_with("/roll")) {
    StartStream(request, responder);
  } else {
    Answer(request, responder);
  }
}

void SoakReplica::CheckAccount(const proxy::Request& request) {
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  if (!HeaderOf(request, "Api-Key").empty()) {
    context_.record.Fail("UNASKED", "request " + id + " carries a key");
  }
  // Orders and reports have no id; score calls belong to no account.
  if (id.empty() || id.starts_with("score-")) return;
  if (HeaderOf(request, "X-Tenant") != SoakAccountOf(id)) {
    context_.record.Fail("UNASKED", "request " + id + " runs for account '" +
                                        HeaderOf(request, "X-Tenant") + "'");
  }
}

void SoakReplica::Answer(const proxy::Request& request,
                         const ResponderPtr& responder) {
  const std::string id = HeaderOf(request, "X-Attempt-Id");
  const bool is_score = id.starts_with("score-");
  if (!is_score) context_.record.RecordRun(id);
  ++running_;
  const auto timer = std::make_shared<LoopTimer>(context_.loop);
  timer->After(settings_.work, [this, timer, id, is_score, responder,
                                incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    --running_;
    if (is_ill_) {
      responder->Send(proxy::MakeResponse(503, "{}"));
      return;
    }
    if (is_score) context_.record.RecordScored(id.substr(6));
    proxy::Response response = proxy::MakeResponse(200, SoakRecord::BodyOf(id));
    response.head.headers.Add("X-Attempt-Id", id);
    response.head.headers.Add("X-Server-Stamp", is_score ? id : "sig");
    response.head.headers.Add("X-Instance-Load", LoadHeader());
    responder->Send(response);
  });
}

// --- Items

void SoakReplica::StartStream(const proxy::Request& request,
                              const ResponderPtr& responder) {
  const auto stream = std::make_shared<Stream>(context_.loop, responder);
  stream->item = HeaderOf(request, "X-Attempt-Id");
  stream->model = request.head.target.starts_with("/roll1/") ? 1 : 0;
  if (is_loading_) {
    Refuse(*responder, 503);
    return;
  }
  stream->incarnation = incarnation_;
  stream->next =
      request.head.headers.FindNumber("Last-Event-Id").value_or(0) + 1;
  context_.record.RecordItemRun(stream->item);
  ++running_;
  proxy::ResponseHead head;
  head.status = 200;
  head.headers.Add("Content-Type", "text/event-stream");
  head.headers.Add("X-Attempt-Id", stream->item);
  head.headers.Add("X-Server-Stamp", "sig");
  head.headers.Add("X-Instance-Load", LoadHeader());
  stream->sent_version = versions_[stream->model];
  if (stream->next <= SoakRecord::EventCountOf(stream->item)) {
    head.headers.Add("X-Weight-Versions", std::to_string(stream->sent_version));
  }
  responder->SetOnDisconnect([this, weak = std::weak_ptr<Stream>(stream)] {
    const auto closed = weak.lock();
    if (closed == nullptr || closed->is_over) return;
    closed->is_over = true;
    if (closed->incarnation == incarnation_) --running_;
  });
  responder->Start(head);
  SendEvent(stream);
}

void SoakReplica::SendEvent(const std::shared_ptr<Stream>& stream) {
  if (stream->is_over || stream->incarnation != incarnation_) return;
  if (stream->next > SoakRecord::EventCountOf(stream->item)) {
    stream->is_over = true;
    --running_;
    stream->responder->End();
    return;
  }
  if (!is_loading_) {
    const std::uint64_t version = versions_[stream->model];
    std::string event;
    if (version != stream->sent_version) {
      event = "x-weight-versions: " + std::to_string(version) + "\n";
      stream->sent_version = version;
    }
    context_.record.RecordEvent(stream->item, stream->next, version);
    event += "id: " + std::to_string(stream->next) +
             "\ndata: " + SoakRecord::EventOf(stream->item, stream->next) +
             "\n\n";
    stream->responder->Write(event);
    ++stream->next;
  }
  stream->timer.After(settings_.event_interval,
                      [this, stream] { SendEvent(stream); });
}

// --- Versions

std::string SoakReplica::Report() const {
  Json models = Json::array();
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    models.push_back({{"Name", "m" + std::to_string(i)},
                      {"Version", versions_[i]},
                      {"Adapters", Json::array()}});
  }
  return Json{{"Stage", "both"},     {"Models", std::move(models)},
              {"Busy", is_loading_}, {"Sequence", orders_},
              {"Queued", 0},         {"Active", running_},
              {"KvUsed", 0},         {"KvTotal", 1000000},
              {"Handles", 0}}
      .dump();
}

void SoakReplica::HandleOrder(const proxy::Request& request,
                              proxy::Responder& responder) {
  const Json order = Json::parse(request.body, nullptr, false);
  const auto answer = [&responder](int status) {
    responder.Send(proxy::MakeResponse(status, "{}"));
  };
  if (!order.is_object() || !order.contains("Holder")) {
    answer(400);
    return;
  }
  context_.record.RecordOrder(
      settings_.name,
      ReceivedOrder{order["Holder"].get<std::string>(),
                    order["Fence"].get<std::uint64_t>(), context_.clock.Now()});
  const std::size_t model = order["Model"] == "m1" ? 1 : 0;
  const auto version = order["Version"].get<std::uint64_t>();
  const bool is_counted = !order.contains("Expected") ||
                          order["Expected"].get<std::uint64_t>() == orders_;
  if (is_loading_ || !is_counted) {
    answer(409);
    return;
  }
  if (versions_[model] >= version) {
    answer(200);
    return;
  }
  ++orders_;
  Load(model, version);
  answer(202);
}

void SoakReplica::Load(std::size_t model, std::uint64_t version) {
  is_loading_ = true;
  load_timer_.After(settings_.load_time, [this, model, version] {
    is_loading_ = false;
    versions_[model] = version;
    Register();
  });
}

}  // namespace briarspread::soak
