// The replicas of one zone die together while a lookup that many callers send
// in the same form is in flight there. Counts how often that lookup's route,
// which was added later, is served in steady state, beside the first route.
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "review/common-3/lab.h"

namespace briarspread::review {
namespace {

constexpr std::size_t kZones = 6;
constexpr int kReplicasPerZone = 3;
constexpr int kCallersPerEdge = 9;
/// Work of a request at a replica, and the client's deadline.
constexpr milliseconds kWork{500};
constexpr milliseconds kDeadline{2000};
/// All callers look the price list up at the same time, once in this interval.
constexpr milliseconds kInterval{5000};
/// Pause of a client between two quotes.
constexpr milliseconds kQuotePause{200};
/// Times after the start of traffic: the configuration with the later route;
/// the crash, while the third lookup of the price list is in flight; the return
/// of the replicas; the steady state, `StableMs` (4 s) after that; the end.
constexpr milliseconds kConfigurationAt{1000};
constexpr milliseconds kCrashAt{15250};
constexpr milliseconds kCrashTime{4500};
constexpr milliseconds kSteadyAt{24000};
constexpr milliseconds kEnd{45000};

Json RouteTo(const std::string& prefix) {
  return {{"Host", "desk.example"}, {"Prefix", prefix},     {"Type", "safe"},
          {"TimeoutMs", 5000},      {"LatencyGoalMs", 400}, {"Priority", 2},
          {"Service", "orderdesk"}, {"MaxAttempts", 3}};
}

std::string Configuration(int version, const Json& routes) {
  return Json{{"Version", version},
              {"Routes", routes},
              {"Services", {{{"Name", "orderdesk"}, {"HealthPath", "/ok"}}}},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 33554432},
                {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15000}}}}
      .dump();
}

/// How often requests were sent and served in steady state.
struct Counts {
  int sent = 0;
  int served = 0;
};

/// A caller of one machine.
class Caller {
 public:
  Caller(asio::io_context& loop, Recorder& record, const EdgeProcess& edge,
         std::string name)
      : record_(record),
        edge_(edge),
        name_(std::move(name)),
        pool_(loop, {}),
        timer_(loop) {}

  /// Sends quotes, one after the other, each of its own content.
  void Quote(bool& is_steady, Counts& counts) {
    const std::string target = "/quote/" + name_ + std::to_string(sent_);
    Send(target, is_steady ? &counts : nullptr, [&, this] {
      timer_.After(kQuotePause, [&, this] { Quote(is_steady, counts); });
    });
  }
  /// Looks the price list up.
  void LookUp(Counts* counts) {
    Send("/prices/today", counts, [] {});
  }

 private:
  void Send(const std::string& target, Counts* counts,
            std::function<void()> then) {
    const std::string id = name_ + "-" + std::to_string(++sent_);
    proxy::RequestHead head;
    head.method = "GET";
    head.target = target;
    head.headers.Add("Host", "desk.example");
    head.headers.Add("X-Attempt-Id", id);
    head.headers.Add("X-Deadline-Ms", std::to_string(kDeadline.count()));
    proxy::ExchangeRequest request;
    request.to = edge_.frontend();
    request.bytes = proxy::RequestBytes::Make(head, "");
    request.timeout = kDeadline;
    record_.Write("sent request=" + id + " target=" + target +
                  " edge=" + edge_.settings().name);
    if (counts != nullptr) ++counts->sent;
    proxy::StartCall(
        pool_, std::move(request),
        [this, id, counts,
         then = std::move(then)](const proxy::CallResult& result) {
          const auto* answer = std::get_if<proxy::Response>(&result);
          const int status = answer == nullptr ? 0 : answer->head.status;
          if (counts != nullptr && status == 200) ++counts->served;
          record_.Write("answered request=" + id +
                        " status=" + std::to_string(status) +
                        (status == 503 ? " " + answer->body : ""));
          then();
        });
  }

  Recorder& record_;
  const EdgeProcess& edge_;
  const std::string name_;
  proxy::ConnectionPool pool_;
  LoopTimer timer_;
  int sent_ = 0;
};

int Judge(Recorder& record, const Counts& first, const Counts& later) {
  const double first_share =
      first.sent == 0 ? 0 : 1.0 * first.served / first.sent;
  const double later_share =
      later.sent == 0 ? 0 : 1.0 * later.served / later.sent;
  int verdict = kHeld;
  // The rule: 20 or more requests on routes that were added later, served less
  // than a quarter as often as those on the first routes.
  if (later.sent >= 20 && later_share < first_share / 4) verdict = kBroken;
  if (later.sent < 20 || first.served == 0) verdict = kCouldNotRun;
  record.Write("result first_route sent=" + std::to_string(first.sent) +
               " served=" + std::to_string(first.served) +
               " later_route sent=" + std::to_string(later.sent) +
               " served=" + std::to_string(later.served) +
               " exit=" + std::to_string(verdict));
  return verdict;
}

int Run(const std::string& folder, const std::string& record_path) {
  asio::io_context loop;
  Recorder record(record_path);
  Store store(loop, "127.0.0.1");
  store.Put("op/config", Configuration(7, Json::array({RouteTo("/quote/")})));
  std::vector<std::unique_ptr<Replica>> replicas;
  int started = 0;
  const auto start_replica = [&](const std::string& zone) {
    ++started;
    replicas.push_back(std::make_unique<Replica>(
        loop, store, record,
        Replica::Settings{"i-desk-" + std::to_string(started), "orderdesk",
                          zone, "127.0.2." + std::to_string(started), kWork,
                          6}));
  };
  for (const auto& [zone, region] : Zones()) {
    for (int i = 0; i < kReplicasPerZone; ++i) start_replica(zone);
  }
  Fleet fleet(loop, record, store, folder, kZones);
  if (!fleet.Start()) return kCouldNotRun;
  std::vector<std::unique_ptr<Caller>> buyers;
  std::vector<std::unique_ptr<Caller>> screens;
  for (std::size_t e = 0; e < fleet.size(); ++e) {
    const std::string number = std::to_string(e);
    buyers.push_back(
        std::make_unique<Caller>(loop, record, fleet.at(e), "buyer" + number));
    for (int i = 0; i < kCallersPerEdge; ++i) {
      screens.push_back(std::make_unique<Caller>(
          loop, record, fleet.at(e), "screen" + number + std::to_string(i)));
    }
  }
  bool is_steady = false;
  Counts first;
  Counts later;
  LoopTimer configure(loop);
  LoopTimer look_up(loop);
  LoopTimer trouble(loop);
  LoopTimer steady(loop);
  LoopTimer end(loop);
  const std::string zone = Zones().front().first;
  const auto crash = [&] {
    record.Write("trouble begins: all replicas of " + zone + " die");
    for (const auto& replica : replicas) {
      if (replica->settings().zone == zone) replica->Crash();
    }
    trouble.After(kCrashTime, [&] {
      record.Write("trouble ends: replicas are back");
      for (int i = 0; i < kReplicasPerZone; ++i) start_replica(zone);
    });
  };
  int verdict = kCouldNotRun;
  fleet.AwaitReady([&](bool is_ready) {
    if (!is_ready) {
      loop.stop();
      return;
    }
    for (const auto& buyer : buyers) buyer->Quote(is_steady, first);
    configure.After(kConfigurationAt, [&] {
      record.Write("configuration version=9 adds the route /prices/");
      store.Put("op/config",
                Configuration(
                    9, Json::array({RouteTo("/quote/"), RouteTo("/prices/")})));
    });
    look_up.Every(kInterval, [&] {
      for (const auto& screen : screens) {
        screen->LookUp(is_steady ? &later : nullptr);
      }
    });
    if (HasTrouble()) trouble.After(kCrashAt, crash);
    steady.After(kSteadyAt, [&] { is_steady = true; });
    end.After(kEnd, [&] {
      verdict = Judge(record, first, later);
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
    std::cerr << "usage: case-13 FOLDER RECORD\n";
    return briarspread::review::kCouldNotRun;
  }
  return briarspread::review::Run(argv[1], argv[2]);
}
