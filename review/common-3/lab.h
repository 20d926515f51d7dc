#ifndef REVIEW_COMMON_3_LAB_H_
#define REVIEW_COMMON_3_LAB_H_

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarspread/fleet/loop_timer.h"
#include "briarspread/proxy/http_call.h"
#include "briarspread/proxy/http_listener.h"

namespace briarspread::review {

using Json = nlohmann::json;
using ResponderPtr = std::shared_ptr<proxy::Responder>;

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Writes what was sent, answered and run, with the time since the start.
class Recorder {
 public:
  explicit Recorder(const std::string& path);
  void Write(const std::string& line);
  /// Milliseconds since the start.
  std::int64_t Now() const;

 private:
  std::ofstream out_;
  const TimePoint start_;
};

/// Stand-in of the platform's store, as its page tells it: keys with revisions,
/// conditional transactions, watches, leases. A call takes 4 ms.
class Store final : public proxy::RequestHandler {
 public:
  Store(asio::io_context& loop, const std::string& host);

  void OnRequest(proxy::Request request, ResponderPtr responder) override;
  /// Writes or removes a key as the operator or a replica does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string address() const;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<Item> item;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    TimePoint deadline{};
    ResponderPtr responder;
  };
  struct Lease {
    milliseconds ttl{0};
    TimePoint until{};
  };

  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease, std::uint64_t revision);
  void Erase(const std::string& key, std::uint64_t revision);
  Json Commit(const Json& call, int& status);
  void EndLease(std::uint64_t id);
  /// Carries a call out and answers it.
  void Serve(const proxy::Request& request, const ResponderPtr& responder);
  void Read(const proxy::Request& request, const ResponderPtr& responder);
  Json ItemJson(const std::string& key) const;
  bool TryAnswer(const Watch& watch, bool is_due);
  void AnswerWatches();
  void Tick();

  asio::io_context& loop_;
  const std::string host_;
  proxy::HttpListener listener_;
  LoopTimer timer_;
  std::map<std::string, Item> items_;
  std::deque<Change> history_;
  std::vector<Watch> watches_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t next_lease_ = 1;
};

/// Stand-in of a replica of a plain service: echoes the id of the request,
/// signs its answers and tells its load.
class Replica final : public proxy::RequestHandler {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string zone;
    std::string host;
    milliseconds work{400};
    int slots = 6;
  };
  Replica(asio::io_context& loop, Store& store, Recorder& record,
          Settings settings);
  /// If set, answers a request instead of the replica; called once the request
  /// counts as run.
  std::function<void(const proxy::Request&, const ResponderPtr&)> answer;

  void OnRequest(proxy::Request request, ResponderPtr responder) override;
  /// Ends at once, as a crashed replica does: its connections close, and it
  /// sends nothing any more. Its entry is removed after three heartbeats.
  void Crash();
  bool is_down() const { return is_down_; }
  /// Returns its entry in the list of replicas.
  Json Entry() const;
  void Register();
  const Settings& settings() const { return settings_; }
  /// Ids of the requests that it began to run, with the number of times.
  const std::map<std::string, int>& runs() const { return runs_; }

 private:
  asio::io_context& loop_;
  Store& store_;
  Recorder& record_;
  const Settings settings_;
  proxy::HttpListener listener_;
  LoopTimer heartbeat_;
  std::list<std::unique_ptr<LoopTimer>> work_;
  std::map<std::string, int> runs_;
  int active_ = 0;
  bool is_down_ = false;
  std::uint64_t sequence_ = 0;
  const std::int64_t born_;
};

/// An edge process, started with the command of the deploy file. If it ends, it
/// is started again after half a second, as the platform does.
class EdgeProcess {
 public:
  struct Settings {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    std::string seeds;
    std::string folder;
    std::uint16_t frontend = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
  };
  EdgeProcess(asio::io_context& loop, Recorder& record, const Store& store,
              Settings settings);
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  bool Start();
  void Signal(int signal) const;
  const Settings& settings() const { return settings_; }
  Endpoint frontend() const { return {settings_.ip, settings_.frontend}; }
  Endpoint ready() const { return {settings_.ip, settings_.ready}; }
  /// How often it was started.
  int starts() const { return starts_; }
  /// How often it has ended by itself.
  int own_ends() const { return own_ends_; }

 private:
  void Reap();

  Recorder& record_;
  const std::string store_;
  const Settings settings_;
  LoopTimer reaper_;
  LoopTimer restart_;
  pid_t pid_ = 0;
  int own_ends_ = 0;
  int starts_ = 0;
};

/// Returns a free port of an address.
std::uint16_t FreePort(const std::string& ip);

/// The zones of the deployment, with the region of each.
const std::vector<std::pair<std::string, std::string>>& Zones();

/// The edge processes of a small deployment, in the first `count` zones.
class Fleet {
 public:
  Fleet(asio::io_context& loop, Recorder& record, const Store& store,
        const std::string& folder, int count);
  bool Start();
  EdgeProcess& at(std::size_t i) { return *edges_.at(i); }
  std::size_t size() const { return edges_.size(); }
  /// Calls `done` with true once all are ready, or with false after 20 s.
  void AwaitReady(std::function<void(bool)> done);

 private:
  void AskNext();

  proxy::ConnectionPool pool_;
  std::vector<std::unique_ptr<EdgeProcess>> edges_;
  std::function<void(bool)> done_;
  LoopTimer timer_;
  TimePoint give_up_{};
  std::size_t next_ = 0;
};

/// Whether the disruption is to take place: the variable `TROUBLE` is not 0.
bool HasTrouble();
/// Returns the number of the variable `name`, or `otherwise`.
std::int64_t NumberFrom(const char* name, std::int64_t otherwise);

}  // namespace briarspread::review

#endif  // REVIEW_COMMON_3_LAB_H_
