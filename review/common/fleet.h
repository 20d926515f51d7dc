#ifndef REVIEW_COMMON_FLEET_H_
#define REVIEW_COMMON_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "review/common/http.h"
#include "review/common/store.h"

namespace review {

/// Writes what was sent, answered and run to `record.txt`. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  /// Writes a line with the time in front.
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Loopback addresses that this run uses alone.
class Addresses {
 public:
  Addresses();
  /// Returns a loopback address with the metrics' ports free.
  std::string Next();

 private:
  int block_ = 0;
  int next_ = 0;
};

struct NodeSpec {
  std::string name;
  std::string zone;
  std::string region;
  /// Role of the deploy file: `edge` or `storage`.
  std::string role = "edge";
  /// Seconds that each answer of the store takes longer to this machine.
  double store_delay = 0;
};

/// A machine of the system with its process.
class Node {
 public:
  Node(NodeSpec spec, std::string ip);

  const NodeSpec& spec() const { return spec_; }
  const std::string& name() const { return spec_.name; }
  std::string frontend() const { return ip_ + ":" + Port(0); }
  std::string ready() const { return ip_ + ":" + Port(1); }
  std::string control() const { return ip_ + ":" + Port(2); }

  void WriteSettings(const std::string& folder, const std::string& store,
                     const std::map<std::string, std::string>& zones,
                     const std::vector<std::string>& seeds);
  /// Starts the process with the command of the deploy file.
  void Start();
  void Signal(int signal) const;
  /// Whether the process still runs. Collects it if it has ended.
  bool IsRunning();
  /// Waits for the end of the process; returns false at `deadline`.
  bool AwaitEnd(double deadline);
  /// How the last process ended, in words; empty while it runs.
  std::string LastEnd() const { return last_end_; }

 private:
  std::string Port(std::size_t i) const { return std::to_string(ports_[i]); }

  const NodeSpec spec_;
  const std::string ip_;
  std::vector<int> ports_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
  std::string last_end_;
};

/// A run of a request or an item at a replica, or an order to it.
struct Run {
  double time = 0;
  std::string replica;
  std::string id;
  std::string target;
  /// The first event of a resumed item's run, or 1.
  std::uint64_t first_event = 1;
  std::string body;
};

struct ReplicaSpec {
  std::string id;
  std::string service;
  std::string zone;
  std::size_t slots = 12;
  /// Models of an engine; empty for a plain service.
  std::vector<std::string> models;
  /// Seconds that a plain request takes.
  double work_s = 0.02;
  /// Seconds between two events of an item.
  double event_s = 0.03;
  /// Bytes of an event's data.
  std::size_t event_bytes = 40;
  /// Seconds that the load of a version takes.
  double load_s = 0.9;
};

/// Stand-in of a replica, as PROTOCOL.md describes it: a plain service, or an
/// engine with items as event streams, reports and orders. Thread-safe.
class Replica {
 public:
  /// Handles a request instead of the replica, after the check of the expected
  /// instance; returns nothing to leave it to the replica, and otherwise
  /// whether the connection is kept.
  using Hook =
      std::function<std::optional<bool>(Connection&, const RequestHead&)>;
  /// An order as it arrived.
  struct Order {
    double time = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    int status = 0;
  };

  Replica(ReplicaSpec spec, const std::string& ip, Store& store,
          Record& record);

  const ReplicaSpec& spec() const { return spec_; }
  std::string address() const { return server_->address(); }
  void SetHook(Hook hook);
  std::vector<Run> runs();
  std::vector<Order> orders();
  /// Ids of the items whose last event was made, or that were answered with a
  /// failure.
  std::set<std::string> finished();
  /// When the item was last at this replica; zero for never.
  double LastAt(const std::string& id);
  /// Number of running requests.
  std::size_t active() const { return active_.load(); }
  HeaderLines AnswerHeaders(const RequestHead& head);
  void RecordRun(const RequestHead& head, std::uint64_t first_event,
                 const std::string& body);

 private:
  bool Handle(Connection& connection, const RequestHead& head);
  bool HandleOrder(Connection& connection, const RequestHead& head);
  bool SendReport(Connection& connection);
  bool RunItem(Connection& connection, const RequestHead& head,
               const std::string& body);
  bool RunPlain(Connection& connection, const RequestHead& head,
                const std::string& body);
  void Register();
  void NoteAt(const std::string& id);
  Json Models();

  const ReplicaSpec spec_;
  Store& store_;
  Record& record_;
  const std::int64_t born_;
  std::mutex mutex_;
  Hook hook_;
  std::map<std::string, std::uint64_t> versions_;
  bool is_busy_ = false;
  std::uint64_t orders_accepted_ = 0;
  std::vector<Run> runs_;
  std::vector<Order> orders_;
  std::set<std::string> finished_;
  std::map<std::string, double> last_at_;
  std::atomic<std::size_t> active_{0};
  std::unique_ptr<Server> server_;
};

/// Returns the data of an event of an item.
std::string EventData(const std::string& item, std::uint64_t event,
                      std::size_t bytes);

/// The platform's ingress: checks each edge once a second, and takes it out
/// after two misses. Thread-safe.
class Ingress {
 public:
  explicit Ingress(const std::vector<Node*>& edges);
  /// Returns the frontend to which a client of the zone is sent; `retry` counts
  /// its further attempts, which reach other nodes.
  Node* NodeFor(const std::string& zone, std::size_t client,
                std::size_t retry = 0);
  bool IsReady(const Node* node);
  /// Waits until all edges are ready.
  bool AwaitAll(double deadline);

 private:
  void Check();

  const std::vector<Node*> edges_;
  std::mutex mutex_;
  std::map<const Node*, int> misses_;
};

/// A small deployment: store, replicas, machines of the system and ingress.
class Deployment {
 public:
  /// Reads the command line: the folder of the case. Exits with 2 if the
  /// programs were not built.
  Deployment(int argc, char** argv);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Whether the disruption is on: false with TROUBLE=0.
  bool has_trouble() const { return has_trouble_; }
  Record& record() { return record_; }
  Store& store() { return *store_; }
  Ingress& ingress() { return *ingress_; }
  std::vector<Node*> edges();
  Node* FindEdge(const std::string& name);
  Replica& AddReplica(ReplicaSpec spec);
  std::vector<std::unique_ptr<Replica>>& replicas() { return replicas_; }

  /// Makes the store, with the configuration.
  void MakeStore(const Json& configuration, std::size_t value_bytes = 1048576);
  /// Starts the machines and waits until all edges are ready. Exits with 2 if
  /// they are not.
  void StartNodes(const std::vector<NodeSpec>& specs);
  /// Writes the verdict, ends all processes and exits: 1 if the rule was
  /// broken, 0 if it held, 2 if the case couldn't run.
  [[noreturn]] void Finish(int code, const std::string& verdict);
  /// Ends with 2 if an event that the case needs did not happen.
  [[noreturn]] void CannotRun(const std::string& why);

 private:
  void EndAll();

  bool has_trouble_ = true;
  std::string folder_;
  Record record_;
  Addresses addresses_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unique_ptr<Ingress> ingress_;
};

/// Returns the configuration of one service of engines with a `rollout` route
/// and one plain service with a `safe` route.
Json MakeConfiguration(std::uint64_t version,
                       const std::vector<std::string>& models);

/// Names that `MakeConfiguration` uses.
inline constexpr char kHost[] = "ficu95.example";
inline constexpr char kRolloutPrefix[] = "/pule252/";
inline constexpr char kPlainPrefix[] = "/pufi791/";
inline constexpr char kEngineService[] = "huvo11a";
inline constexpr char kPlainService[] = "wuno96b";

/// A batch job of a trainer.
struct JobSpec {
  std::string id;
  std::string model;
  std::uint64_t step = 0;
  std::size_t groups = 4;
  std::size_t items_per_group = 4;
  std::uint64_t events_per_item = 20;
  std::uint64_t min_version = 1;
  bool has_scorers = false;
};

std::string ItemId(const JobSpec& job, std::size_t item);
/// Returns the body of the submission.
Json MakeJob(const JobSpec& job);
HeaderLines ClientHeaders(const std::string& attempt);

/// Submits a job as a client does: up to `attempts` times, each time at another
/// node, after the time that the answer names. Returns the status of each
/// attempt; 0 where no answer came.
std::vector<int> SubmitJob(Deployment& deployment, const std::string& zone,
                           const std::string& id, const std::string& body,
                           std::size_t client, std::size_t attempts,
                           double deadline);

/// Returns the text of an item that has all of its events.
std::string WholeText(const std::string& item, std::uint64_t events,
                      std::size_t bytes);

}  // namespace review

#endif  // REVIEW_COMMON_FLEET_H_
