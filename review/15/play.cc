// A request that crashes each replica that runs it comes again and again. Once
// all machines refuse it, they are restarted one after the other. Counts the
// retries that reach replicas after that.
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/common-3/lab.h"

namespace briarspread::review {
namespace {

constexpr std::size_t kEdges = 6;
constexpr int kReplicas = 9;
constexpr milliseconds kWork{50};
constexpr milliseconds kDeadline{2000};
/// Pause of a buyer between two quotes, and of the caller whose request crashes
/// replicas between two attempts.
constexpr milliseconds kQuotePause{250};
constexpr milliseconds kRetryPause{250};
/// How long a request runs before its replica crashes, and when the replica is
/// back, under another id.
constexpr milliseconds kCrashAfter{20};
constexpr milliseconds kBackAfter{3000};
/// When the request is first sent; when its caller stops for a while; when the
/// machines are stopped and started in turn, and how far apart; when the caller
/// goes on, at which time all machines are in touch again; the end.
constexpr milliseconds kFirstSent{5000};
constexpr milliseconds kQuietFrom{25000};
constexpr milliseconds kRollAt{26000};
constexpr milliseconds kRollGap{1300};
constexpr milliseconds kQuietUntil{46000};
constexpr milliseconds kEnd{60000};
/// `StableMs`, and the number of retries that the rule allows.
constexpr std::int64_t kStableMs = 4000;
constexpr int kAllowed = 3;
constexpr char kTarget[] = "/quote/of-death";

std::string Configuration() {
  return Json{{"Version", 7},
              {"Routes",
               {{{"Host", "desk.example"},
                 {"Prefix", "/quote/"},
                 {"Type", "safe"},
                 {"TimeoutMs", 5000},
                 {"LatencyGoalMs", 200},
                 {"Priority", 2},
                 {"Service", "orderdesk"},
                 {"MaxAttempts", 2}}}},
              {"Services", {{{"Name", "orderdesk"}, {"HealthPath", "/ok"}}}},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 33554432},
                {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15000}}}}
      .dump();
}

/// Plays the case: replicas, machines, callers and the platform.
class Play {
 public:
  Play(asio::io_context& loop, Recorder& record, const std::string& folder)
      : loop_(loop),
        record_(record),
        store_(loop, "127.0.0.1"),
        fleet_(loop, record, StoreWithConfiguration(), folder, kEdges),
        retry_(loop),
        roll_(loop),
        end_(loop) {
    for (int i = 0; i < kReplicas; ++i) {
      StartReplica(Zones().at(static_cast<std::size_t>(i) % kEdges).first);
    }
  }

  int Run() {
    if (!fleet_.Start()) return kCouldNotRun;
    fleet_.AwaitReady([this](bool is_ready) {
      if (!is_ready) {
        loop_.stop();
        return;
      }
      up_since_.fill(record_.Now());
      for (std::size_t e = 0; e < kEdges; ++e) Quote(e, 0);
      retry_.After(kFirstSent, [this] { Retry(); });
      After(kQuietFrom, [this] { is_quiet_ = true; });
      After(kQuietUntil, [this] {
        is_quiet_ = false;
        Retry();
      });
      if (HasTrouble()) roll_.After(kRollAt, [this] { StopNext(0); });
      end_.After(kEnd, [this] {
        Judge();
        loop_.stop();
      });
    });
    loop_.run();
    return verdict_;
  }

 private:
  Store& StoreWithConfiguration() {
    store_.Put("op/config", Configuration());
    return store_;
  }

  void StartReplica(const std::string& zone) {
    const int n = ++started_;
    Replica::Settings settings{"i-desk-" + std::to_string(n),
                               "orderdesk",
                               zone,
                               "127.0.2." + std::to_string(n % 250 + 1),
                               kWork,
                               6};
    replicas_.push_back(
        std::make_unique<Replica>(loop_, store_, record_, settings));
    Replica* replica = replicas_.back().get();
    replica->answer = [this, replica](const proxy::Request& request,
                                      const ResponderPtr& responder) {
      const std::string id = *request.head.headers.Find("X-Attempt-Id");
      if (request.head.target == kTarget) {
        OnArrival(id);
        After(kCrashAfter, [this, replica] { Crash(*replica); });
        return;
      }
      proxy::Response response = proxy::MakeResponse(200, "a quote");
      response.head.headers.Add("X-Attempt-Id", id);
      response.head.headers.Add("X-Server-Stamp", "stamp-" + id);
      After(kWork, [responder, response] { responder->Send(response); });
    };
  }

  void After(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<LoopTimer>(loop_);
    timer->After(delay, [timer, action = std::move(action)] { action(); });
  }

  void Crash(Replica& replica) {
    if (replica.is_down()) return;
    replica.Crash();
    crashes_.push_back(record_.Now());
    After(kBackAfter,
          [this, zone = replica.settings().zone] { StartReplica(zone); });
  }

  /// Notes an attempt that has reached a replica.
  void OnArrival(const std::string& id) {
    const std::size_t edge = edge_of_.at(id);
    const std::int64_t now = record_.Now();
    const bool is_late =
        crashes_.size() >= 3 && now > crashes_.at(2) + kStableMs;
    const bool is_in_touch =
        up_since_.at(edge) > 0 && now - up_since_.at(edge) >= kStableMs;
    if (is_late && is_in_touch) reached_[id] = now;
    record_.Write("arrived request=" + id + " edge=" + std::to_string(edge) +
                  " crashes=" + std::to_string(crashes_.size()) +
                  " counts=" + std::to_string(is_late && is_in_touch));
  }

  void Send(std::size_t edge, const std::string& target, const std::string& id,
            std::function<void()> then) {
    proxy::RequestHead head;
    head.method = "POST";
    head.target = target;
    head.headers.Add("Host", "desk.example");
    head.headers.Add("X-Attempt-Id", id);
    head.headers.Add("X-Deadline-Ms", std::to_string(kDeadline.count()));
    proxy::ExchangeRequest request;
    request.to = fleet_.at(edge).frontend();
    request.bytes = proxy::RequestBytes::Make(head, "ten sleeves");
    request.timeout = kDeadline;
    edge_of_[id] = edge;
    record_.Write("sent request=" + id + " edge=" + std::to_string(edge));
    proxy::StartCall(
        pool_, std::move(request),
        [this, id, then = std::move(then)](const proxy::CallResult& result) {
          const auto* answer = std::get_if<proxy::Response>(&result);
          const int status = answer == nullptr ? 0 : answer->head.status;
          answered_ += status == 200;
          record_.Write("answered request=" + id +
                        " status=" + std::to_string(status));
          then();
        });
  }

  /// Sends quotes that crash nothing, one after the other.
  void Quote(std::size_t edge, int n) {
    const std::string id =
        "quote" + std::to_string(edge) + "-" + std::to_string(n);
    Send(edge, "/quote/" + id, id, [this, edge, n] {
      After(kQuotePause, [this, edge, n] { Quote(edge, n + 1); });
    });
  }

  /// Sends the request that crashes replicas, at one machine after the other.
  void Retry() {
    if (is_quiet_) return;
    const std::string id = "death-" + std::to_string(++attempts_);
    Send(static_cast<std::size_t>(attempts_) % kEdges, kTarget, id,
         [this] { retry_.After(kRetryPause, [this] { Retry(); }); });
  }

  /// Stops the machines in turn; each is started again once it has ended.
  void StopNext(std::size_t edge) {
    if (edge == kEdges) return;
    fleet_.at(edge).Signal(SIGTERM);
    up_since_.at(edge) = 0;
    AwaitStart(edge, fleet_.at(edge).starts());
    roll_.After(kRollGap, [this, edge] { StopNext(edge + 1); });
  }
  void AwaitStart(std::size_t edge, int starts) {
    After(milliseconds(20), [this, edge, starts] {
      if (fleet_.at(edge).starts() > starts) {
        up_since_.at(edge) = record_.Now();
      } else {
        AwaitStart(edge, starts);
      }
    });
  }

  void Judge() {
    const int reached = static_cast<int>(reached_.size());
    verdict_ = reached > kAllowed ? kBroken : kHeld;
    if (answered_ == 0 || crashes_.size() < 3) verdict_ = kCouldNotRun;
    record_.Write("result attempts=" + std::to_string(attempts_) +
                  " crashes=" + std::to_string(crashes_.size()) +
                  " retries_that_count=" + std::to_string(reached) +
                  " exit=" + std::to_string(verdict_));
  }

  asio::io_context& loop_;
  Recorder& record_;
  Store store_;
  proxy::ConnectionPool pool_{loop_, {}};
  std::vector<std::unique_ptr<Replica>> replicas_;
  Fleet fleet_;
  LoopTimer retry_;
  LoopTimer roll_;
  LoopTimer end_;
  /// Since when each machine is up; 0 while it is not.
  std::array<std::int64_t, kEdges> up_since_{};
  std::map<std::string, std::size_t> edge_of_;
  /// The attempts that count against the rule, and when they reached a replica.
  std::map<std::string, std::int64_t> reached_;
  std::vector<std::int64_t> crashes_;
  bool is_quiet_ = false;
  int started_ = 0;
  int attempts_ = 0;
  int answered_ = 0;
  int verdict_ = kCouldNotRun;
};

int Run(const std::string& folder, const std::string& record_path) {
  asio::io_context loop;
  Recorder record(record_path);
  Play play(loop, record, folder);
  return play.Run();
}

}  // namespace
}  // namespace briarspread::review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case-15 FOLDER RECORD\n";
    return briarspread::review::kCouldNotRun;
  }
  return briarspread::review::Run(argv[1], argv[2]);
}
