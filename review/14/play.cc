// One replica fails a part of its requests after it has begun to run them, with
// status 503 and without the header that says "not run". Counts the requests of
// a route of type unsafe that have run although their clients are told, by 503,
// that they have not.
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "review/common-3/lab.h"

namespace briarspread::review {
namespace {

constexpr int kEdges = 3;
constexpr int kReplicas = 7;
constexpr int kClientsPerEdge = 4;
/// Work of a request at a replica; the client's deadline, and its pause between
/// two requests.
constexpr milliseconds kWork{80};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kPause{40};
/// The disruption: for this time, one of seven replicas (0.143) fails this
/// share of its requests. The dose of `srv_grey` is a share of 0.15 of the
/// replicas, 0.4 of their requests, 5 s.
constexpr milliseconds kTroubleAt{6000};
constexpr milliseconds kTroubleTime{5000};
constexpr double kFailedShare = 0.4;
constexpr milliseconds kEnd{13000};

std::string Configuration() {
  return Json{{"Version", 7},
              {"Routes",
               {{{"Host", "desk.example"},
                 {"Prefix", "/order/"},
                 {"Type", "unsafe"},
                 {"TimeoutMs", 5000},
                 {"LatencyGoalMs", 400},
                 {"Priority", 2},
                 {"Service", "orderdesk"},
                 {"MaxAttempts", 3}}}},
              {"Services", {{{"Name", "orderdesk"}, {"HealthPath", "/ok"}}}},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 33554432},
                {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15000}}}}
      .dump();
}

/// Places orders at a replica.
class OrderDesk {
 public:
  OrderDesk(asio::io_context& loop, Recorder& record, unsigned seed)
      : loop_(loop), record_(record), random_(seed) {}

  void Answer(const proxy::Request& request, const ResponderPtr& responder) {
    const std::string id = *request.head.headers.Find("X-Attempt-Id");
    std::bernoulli_distribution fails(kFailedShare);
    const bool is_failed = has_trouble && fails(random_);
    if (is_failed) record_.Write("failed_after_start request=" + id);
    proxy::Response response = proxy::MakeResponse(
        is_failed ? 503 : 200, is_failed ? "a backend is gone" : "placed");
    response.head.headers.Add("X-Attempt-Id", id);
    response.head.headers.Add("X-Server-Stamp", "stamp-" + id);
    auto timer = std::make_shared<LoopTimer>(loop_);
    timer->After(kWork,
                 [timer, responder, response] { responder->Send(response); });
  }
  bool has_trouble = false;

 private:
  asio::io_context& loop_;
  Recorder& record_;
  std::mt19937 random_;
};

/// A client with one connection, which it keeps for order after order.
class Client {
 public:
  Client(asio::io_context& loop, Recorder& record, const EdgeProcess& edge,
         std::string name)
      : record_(record),
        edge_(edge),
        name_(std::move(name)),
        pool_(loop, {}),
        timer_(loop) {}

  void Send() {
    const std::string id = name_ + "-" + std::to_string(++sent_);
    proxy::RequestHead head;
    head.method = "POST";
    head.target = "/order/" + id;
    head.headers.Add("Host", "desk.example");
    head.headers.Add("X-Attempt-Id", id);
    head.headers.Add("X-Deadline-Ms", std::to_string(kDeadline.count()));
    proxy::ExchangeRequest request;
    request.to = edge_.frontend();
    request.bytes = proxy::RequestBytes::Make(head, "ten sleeves");
    request.timeout = kDeadline;
    record_.Write("sent request=" + id + " edge=" + edge_.settings().name);
    proxy::StartCall(
        pool_, std::move(request),
        [this, id](const proxy::CallResult& result) { OnDone(id, result); });
  }
  const std::set<std::string>& refused() const { return refused_; }
  int answered() const { return answered_; }

 private:
  void OnDone(const std::string& id, const proxy::CallResult& result) {
    const auto* answer = std::get_if<proxy::Response>(&result);
    const int status = answer == nullptr ? 0 : answer->head.status;
    answered_ += status == 200;
    // What promises "not run, and never will be".
    const std::set<int> promises = {408, 421, 429, 503};
    if (promises.contains(status)) refused_.insert(id);
    record_.Write("answered request=" + id +
                  " status=" + std::to_string(status));
    timer_.After(kPause, [this] { Send(); });
  }

  Recorder& record_;
  const EdgeProcess& edge_;
  const std::string name_;
  proxy::ConnectionPool pool_;
  LoopTimer timer_;
  std::set<std::string> refused_;
  int sent_ = 0;
  int answered_ = 0;
};

int Judge(Recorder& record, const std::vector<std::unique_ptr<Client>>& clients,
          const std::vector<std::unique_ptr<Replica>>& replicas) {
  int answered = 0;
  int refused = 0;
  int refused_and_run = 0;
  for (const auto& client : clients) {
    answered += client->answered();
    for (const std::string& id : client->refused()) {
      ++refused;
      for (const auto& replica : replicas) {
        refused_and_run += replica->runs().contains(id);
      }
    }
  }
  int verdict = refused_and_run > 0 ? kBroken : kHeld;
  if (answered == 0) verdict = kCouldNotRun;
  record.Write("result answered=" + std::to_string(answered) +
               " refused=" + std::to_string(refused) +
               " refused_and_run=" + std::to_string(refused_and_run) +
               " exit=" + std::to_string(verdict));
  return verdict;
}

int Run(const std::string& folder, const std::string& record_path) {
  asio::io_context loop;
  Recorder record(record_path);
  Store store(loop, "127.0.0.1");
  store.Put("op/config", Configuration());
  const auto seed = static_cast<unsigned>(NumberFrom("SEED", 1));
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kReplicas);
  std::vector<std::unique_ptr<OrderDesk>> desks;
  desks.reserve(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        loop, store, record,
        Replica::Settings{
            "i-desk-" + std::to_string(i), "orderdesk",
            Zones().at(static_cast<std::size_t>(i) % kEdges).first,
            "127.0.2." + std::to_string(i + 1), kWork, 6}));
    desks.push_back(std::make_unique<OrderDesk>(
        loop, record, seed * kReplicas + static_cast<unsigned>(i)));
    replicas.back()->answer = [desk = desks.back().get()](
                                  const auto& request, const auto& responder) {
      desk->Answer(request, responder);
    };
  }
  Fleet fleet(loop, record, store, folder, kEdges);
  if (!fleet.Start()) return kCouldNotRun;
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t e = 0; e < fleet.size(); ++e) {
    for (int i = 0; i < kClientsPerEdge; ++i) {
      clients.push_back(std::make_unique<Client>(
          loop, record, fleet.at(e),
          "c" + std::to_string(e) + std::to_string(i)));
    }
  }
  const auto set_trouble = [&](bool has_trouble) {
    record.Write(has_trouble ? "trouble begins" : "trouble ends");
    desks.front()->has_trouble = has_trouble;
  };
  LoopTimer trouble(loop);
  LoopTimer end(loop);
  int verdict = kCouldNotRun;
  fleet.AwaitReady([&](bool is_ready) {
    if (!is_ready) {
      loop.stop();
      return;
    }
    for (const auto& client : clients) client->Send();
    if (HasTrouble()) {
      trouble.After(kTroubleAt, [&] {
        set_trouble(true);
        trouble.After(kTroubleTime, [&] { set_trouble(false); });
      });
    }
    end.After(kEnd, [&] {
      verdict = Judge(record, clients, replicas);
      loop.stop();
    });
  });
  loop.run();
  return verdict;
}

}  // namespace
}  // namespace briarspread::review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case-14 FOLDER RECORD\n";
    return briarspread::review::kCouldNotRun;
  }
  return briarspread::review::Run(argv[1], argv[2]);
}
