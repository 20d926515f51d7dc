#ifndef TESTS_FORWARD_LOAD_REPLAY_H_
#define TESTS_FORWARD_LOAD_REPLAY_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/forward/upstream_directory.h"
#include "briarspread/routing/load_estimate.h"
#include "briarspread/routing/split_mix_random.h"
#include "briarspread/routing/two_choices_router.h"
#include "tests/support/manual_clock.h"

namespace briarspread::forward {

/// Replays requests of several instances to upstreams that work on `slots`
/// requests at a time, in simulated time and with the product's directory and
/// router in each instance.
class LoadReplay final {
 public:
  /// Ratio of the work time of upstream `i` to its usual one at a time.
  using SlownessFunction = std::function<double(std::size_t i, Duration at)>;

  struct Settings {
    std::size_t instances = 1;
    std::size_t upstreams = 8;
    std::uint32_t slots = 8;
    milliseconds service_time{100};
    /// Requests a second of all instances together.
    double rate = 400;
    bool sends_slowness = true;
    bool has_slow_start = false;
    /// Number of instances that have callers; zero for all.
    std::size_t active_instances = 0;
    /// Zone of an upstream, and of an instance.
    std::function<std::string(std::size_t)> zone_of_upstream = [](std::size_t) {
      return "lim-a";
    };
    std::function<std::string(std::size_t)> zone_of_instance = [](std::size_t) {
      return "lim-a";
    };
  };
  /// A request that an upstream began to run.
  struct Run {
    std::size_t instance = 0;
    std::size_t upstream = 0;
    Duration sent{};
    Duration began{};
    Duration ended{};
  };

  explicit LoadReplay(const Settings& settings)
      : settings_(settings), servers_(settings.upstreams) {
    for (std::size_t i = 0; i < settings.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>(
          Locality{RegionId("lim"), ZoneId(settings.zone_of_instance(i))}, i,
          clock_));
      std::vector<DiscoveredUpstream> listed;
      for (std::size_t u = 0; u < servers_.size(); ++u) {
        listed.push_back(Listed(u));
      }
      UpstreamDirectory& directory = instances_[i]->directory;
      directory.SetSlowStart(settings.has_slow_start);
      std::vector<std::string> names;
      for (std::size_t k = 0; k < settings.instances; ++k) {
        names.push_back("i" + std::to_string(k));
      }
      directory.SetInstances(InstanceId(names[i]), names);
      directory.ReplaceAll(listed);
    }
  }

  DiscoveredUpstream Listed(std::size_t u) const {
    DiscoveredUpstream listed;
    listed.id = UpstreamId("u" + std::to_string(u));
    listed.service = ServiceName("s");
    listed.locality = {RegionId("lim"), ZoneId(settings_.zone_of_upstream(u))};
    listed.slots = settings_.slots;
    listed.start_id = servers_[u].start_id;
    return listed;
  }

  /// Runs requests that arrive at random, until `end` since the start.
  void RunUntil(Duration end) {
    constexpr milliseconds kHousekeepingInterval{200};
    while (true) {
      if (elapsed() >= next_housekeeping_) {
        for (const auto& it : instances_) it->directory.DropExpired();
        next_housekeeping_ = elapsed() + kHousekeepingInterval;
      }
      const Duration next = Duration(static_cast<std::int64_t>(
          -std::log(1.0 - Uniform()) * 1e9 / settings_.rate));
      const Duration arrives = elapsed() + next;
      FinishUntil(std::min(arrives, end));
      if (arrives >= end) return;
      Send(random_.Below(settings_.active_instances == 0
                             ? instances_.size()
                             : settings_.active_instances));
    }
  }

  /// Restarts an upstream: it fails what it holds, and registers again.
  void Restart(std::size_t u) {
    Server& server = servers_[u];
    lost += server.held();
    ++server.start_id;
    server.running = 0;
    server.queue.clear();
    for (const auto& it : instances_) it->directory.Put(Listed(u));
  }

  Duration elapsed() const { return clock_.Now() - start_; }
  UpstreamDirectory& directory(std::size_t i) {
    return instances_[i]->directory;
  }

  SlownessFunction slowness = [](std::size_t, Duration) { return 1.0; };
  std::vector<Run> runs;
  /// Largest number of requests that each upstream held since last cleared.
  std::map<std::size_t, std::uint32_t> peaks;
  /// Requests that upstreams held when they restarted.
  std::size_t lost = 0;
  /// Requests that found no upstream.
  std::size_t unplaced = 0;

  /// Returns the number of runs at upstreams matched by `matches` that were
  /// sent in a span of time.
  std::size_t Sent(Duration from, Duration to,
                   const std::function<bool(const Run&)>& matches) const {
    return static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const Run& run) {
          return run.sent >= from && run.sent < to && matches(run);
        }));
  }
  /// Returns a quantile of the time from sending to the end, in milliseconds.
  double LatencyMs(double quantile, Duration from = Duration{0}) const {
    std::vector<double> ms;
    for (const Run& run : runs) {
      if (run.sent >= from) ms.push_back(SecondsOf(run.ended - run.sent) * 1e3);
    }
    std::sort(ms.begin(), ms.end());
    return ms[static_cast<std::size_t>(quantile *
                                       static_cast<double>(ms.size() - 1))];
  }
  double MeanLatencyMs() const {
    double sum = 0;
    for (const Run& run : runs) sum += SecondsOf(run.ended - run.sent);
    return sum * 1e3 / static_cast<double>(runs.size());
  }

 private:
  struct Instance {
    Instance(const Locality& self, std::size_t seed, const Clock& clock)
        : directory(UpstreamDirectorySettings{}, self, clock),
          random(seed + 1),
          router(TwoChoicesSettings{}, random, clock) {}
    UpstreamDirectory directory;
    SplitMixRandom random;
    TwoChoicesRouter router;
  };
  struct Pending {
    Run run;
    std::shared_ptr<UpstreamCounters> counters;
  };
  struct Server {
    std::uint64_t start_id = 1;
    std::uint32_t running = 0;
    std::deque<Pending> queue;
    std::uint32_t held() const {
      return running + static_cast<std::uint32_t>(queue.size());
    }
  };
  struct End {
    Duration at{};
    std::uint64_t start_id = 0;
    Pending pending;
    bool operator>(const End& other) const { return at > other.at; }
  };

  double Uniform() {
    return static_cast<double>(random_.Next() >> 11U) * 0x1.0p-53;
  }

  void Send(std::size_t i) {
    Instance& instance = *instances_[i];
    RouteRequest request;
    request.kind = InstanceKind::kPlainService;
    request.serves = "s";
    const RoutingTable& table = instance.directory.table();
    const auto at = instance.router.Choose(request, table, RuleSet{});
    if (!at.has_value()) {
      ++unplaced;
      return;
    }
    const UpstreamView& view = table.upstreams[*at];
    const std::size_t u = std::stoul(view.listed.name.substr(1));
    Pending pending{{i, u, elapsed(), {}, {}}, view.counters};
    pending.counters->in_flight.fetch_add(1);
    servers_[u].queue.push_back(std::move(pending));
    peaks[u] = std::max(peaks[u], servers_[u].held());
    Begin(u);
  }

  void Begin(std::size_t u) {
    Server& server = servers_[u];
    while (server.running < settings_.slots && !server.queue.empty()) {
      End end{{}, server.start_id, std::move(server.queue.front())};
      server.queue.pop_front();
      ++server.running;
      end.pending.run.began = elapsed();
      const double ns =
          static_cast<double>(Duration(settings_.service_time).count()) *
          slowness(u, elapsed()) * (0.5 + Uniform());
      end.at = elapsed() + Duration(static_cast<std::int64_t>(ns));
      ends_.push(std::move(end));
    }
  }

  void FinishUntil(Duration time) {
    while (!ends_.empty() && ends_.top().at <= time) {
      const End end = ends_.top();
      ends_.pop();
      clock_.Advance(end.at - elapsed());
      Finish(end);
    }
    clock_.Advance(time - elapsed());
  }

  void Finish(const End& end) {
    Run run = end.pending.run;
    const std::size_t u = run.upstream;
    Server& server = servers_[u];
    if (end.start_id != server.start_id) {
      end.pending.counters->in_flight.fetch_sub(1);
      return;
    }
    run.ended = elapsed();
    std::string load = std::to_string(server.running) + "," +
                       std::to_string(server.queue.size()) + "," +
                       std::to_string(settings_.slots);
    if (settings_.sends_slowness) {
      load += "," + std::to_string(std::lround(slowness(u, elapsed()) * 100));
    }
    const UpstreamId id("u" + std::to_string(u));
    UpstreamDirectory& directory = instances_[run.instance]->directory;
    directory.UpdateLoad(id, load);
    end.pending.counters->in_flight.fetch_sub(1);
    --server.running;
    Begin(u);
    directory.RecordSuccess(id);
    KnownUpstream* known = directory.Find(id);
    RecordServiceTime(*known->counters, run.ended - run.sent,
                      known->load.slowness.At(clock_.Now()));
    runs.push_back(run);
  }

  const Settings settings_;
  briarspread::testing::ManualClock clock_;
  const TimePoint start_ = clock_.Now();
  SplitMixRandom random_{20261206};
  Duration next_housekeeping_{0};
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Server> servers_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
};

}  // namespace briarspread::forward

#endif  // TESTS_FORWARD_LOAD_REPLAY_H_
