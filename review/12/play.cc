// Replicas break off a few of their answers on a route of streams that may be
// resumed. They send their answers with a length. Counts the answers that look
// complete although pieces are missing.
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/common-3/lab.h"

namespace briarspread::review {
namespace {

constexpr int kEdges = 3;
constexpr int kReplicas = 6;
constexpr int kClientsPerEdge = 8;
/// Pieces of each stream, and the longest text of one.
constexpr std::uint64_t kPieces = 6;
constexpr int kMaxWords = 12;
/// The deadline of a client, and its pause between two requests.
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kPause{40};
/// The disruption: for this time, these of the replicas break off this share of
/// their answers. The site's dose of `garble` without a variant is 0.35 of the
/// replicas, 0.02 of their answers, 5.5 s.
constexpr milliseconds kTroubleAt{6000};
constexpr milliseconds kTroubleTime{5500};
constexpr int kFaultyReplicas = 2;
constexpr double kBrokenShare = 0.02;
constexpr milliseconds kEnd{14000};

std::string Configuration() {
  return Json{{"Version", 7},
              {"Routes",
               {{{"Host", "desk.example"},
                 {"Prefix", "/follow/"},
                 {"Type", "stream"},
                 {"Resumable", true},
                 {"TimeoutMs", 5000},
                 {"LatencyGoalMs", 200},
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

/// Answers streams: generates the pieces that the caller lacks, then sends them
/// with their length. No two runs generate the same words.
class Generator {
 public:
  Generator(asio::io_context& loop, Recorder& record, bool is_faulty,
            unsigned seed)
      : loop_(loop), record_(record), is_faulty_(is_faulty), random_(seed) {}

  void Answer(const proxy::Request& request, const ResponderPtr& responder) {
    const std::string id = *request.head.headers.Find("X-Attempt-Id");
    const auto last = request.head.headers.FindNumber("Last-Event-Id");
    std::string body;
    for (std::uint64_t n = last.value_or(0) + 1; n <= kPieces; ++n) {
      body += "id: " + std::to_string(n) + "\ndata:";
      const int words = std::uniform_int_distribution(1, kMaxWords)(random_);
      for (int i = 0; i < words; ++i) body += " word";
      body += "\n\n";
    }
    proxy::ResponseHead head;
    head.status = 200;
    head.headers.Add("Content-Type", "text/event-stream");
    head.headers.Add("X-Attempt-Id", id);
    head.headers.Add("X-Server-Stamp", "stamp-" + id);
    head.headers.Add("Content-Length", std::to_string(body.size()));
    std::bernoulli_distribution breaks(kBrokenShare);
    const bool is_broken = has_trouble && is_faulty_ && breaks(random_);
    if (is_broken) {
      const auto cut = std::uniform_int_distribution<std::size_t>(
          1, body.size() - 1)(random_);
      record_.Write("broken_off request=" + id + " sent=" +
                    std::to_string(cut) + " of=" + std::to_string(body.size()));
      body.resize(cut);
    }
    responder->Start(head);
    responder->Write(body);
    if (!is_broken) {
      responder->End();
      return;
    }
    auto timer = std::make_shared<LoopTimer>(loop_);
    timer->After(milliseconds(5), [timer, responder] { responder->Abort(); });
  }
  bool has_trouble = false;

 private:
  asio::io_context& loop_;
  Recorder& record_;
  const bool is_faulty_;
  std::mt19937 random_;
};

/// A client with one connection, which it keeps for request after request.
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
    head.target = "/follow/" + id;
    head.headers.Add("Host", "desk.example");
    head.headers.Add("X-Attempt-Id", id);
    head.headers.Add("X-Deadline-Ms", std::to_string(kDeadline.count()));
    proxy::ExchangeRequest request;
    request.to = edge_.frontend();
    request.bytes = proxy::RequestBytes::Make(head, "follow my order");
    request.timeout = kDeadline;
    record_.Write("sent request=" + id + " edge=" + edge_.settings().name);
    proxy::StartCall(
        pool_, std::move(request),
        [this, id](const proxy::CallResult& result) { OnDone(id, result); });
  }
  int complete() const { return complete_; }
  int short_count() const { return short_count_; }
  int without_end() const { return without_end_; }

 private:
  /// Returns whether an answer has all pieces, in order, and nothing else.
  static bool HasAllPieces(const std::string& body) {
    std::uint64_t next = 1;
    std::size_t at = 0;
    while (at < body.size()) {
      const std::size_t end = body.find("\n\n", at);
      const std::string begin = "id: " + std::to_string(next) + "\ndata:";
      if (end == std::string::npos || !body.substr(at).starts_with(begin)) {
        return false;
      }
      ++next;
      at = end + 2;
    }
    return next == kPieces + 1;
  }

  void OnDone(const std::string& id, const proxy::CallResult& result) {
    const auto* answer = std::get_if<proxy::Response>(&result);
    if (answer == nullptr) {
      const auto fault = std::get<proxy::ExchangeFailure>(result).fault;
      without_end_ += fault == proxy::ExchangeFault::kTimedOut;
      record_.Write("not_complete request=" + id +
                    " why=" + std::string(proxy::ToString(fault)));
    } else if (answer->head.status != 200) {
      record_.Write("answered request=" + id +
                    " status=" + std::to_string(answer->head.status));
    } else if (HasAllPieces(answer->body)) {
      ++complete_;
      record_.Write("answered request=" + id + " status=200 pieces=all");
    } else {
      ++short_count_;
      record_.Write("answered request=" + id +
                    " status=200 looks complete, but pieces are missing: " +
                    Json(answer->body).dump());
    }
    timer_.After(kPause, [this] { Send(); });
  }

  Recorder& record_;
  const EdgeProcess& edge_;
  const std::string name_;
  proxy::ConnectionPool pool_;
  LoopTimer timer_;
  int sent_ = 0;
  int complete_ = 0;
  int short_count_ = 0;
  int without_end_ = 0;
};

int Judge(Recorder& record,
          const std::vector<std::unique_ptr<Client>>& clients) {
  int complete = 0;
  int short_count = 0;
  int without_end = 0;
  for (const auto& client : clients) {
    complete += client->complete();
    short_count += client->short_count();
    without_end += client->without_end();
  }
  int verdict = short_count > 0 ? kBroken : kHeld;
  if (complete == 0) verdict = kCouldNotRun;
  record.Write(
      "result complete=" + std::to_string(complete) +
      " look_complete_with_pieces_missing=" + std::to_string(short_count) +
      " never_ended=" + std::to_string(without_end) +
      " exit=" + std::to_string(verdict));
  return verdict;
}

int Run(const std::string& folder, const std::string& record_path) {
  asio::io_context loop;
  Recorder record(record_path);
  Store store(loop, "127.0.0.1");
  store.Put("op/config", Configuration());
  const std::vector<std::string> zones = {"lim-a", "lim-b", "lim-c"};
  const auto seed = static_cast<unsigned>(NumberFrom("SEED", 1));
  std::vector<std::unique_ptr<Replica>> replicas;
  replicas.reserve(kReplicas);
  std::vector<std::unique_ptr<Generator>> generators;
  generators.reserve(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        loop, store, record,
        Replica::Settings{"i-desk-" + std::to_string(i), "orderdesk",
                          zones.at(static_cast<std::size_t>(i) % zones.size()),
                          "127.0.2." + std::to_string(i + 1), milliseconds(0),
                          6}));
    generators.push_back(std::make_unique<Generator>(
        loop, record, i < kFaultyReplicas, seed * kReplicas + i));
    replicas.back()->answer = [generator = generators.back().get()](
                                  const auto& request, const auto& responder) {
      generator->Answer(request, responder);
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
    for (const auto& generator : generators) {
      generator->has_trouble = has_trouble;
    }
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
      verdict = Judge(record, clients);
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
    std::cerr << "usage: case-12 FOLDER RECORD\n";
    return briarspread::review::kCouldNotRun;
  }
  return briarspread::review::Run(argv[1], argv[2]);
}
