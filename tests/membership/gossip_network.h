#ifndef TESTS_MEMBERSHIP_GOSSIP_NETWORK_H_
#define TESTS_MEMBERSHIP_GOSSIP_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarspread/membership/gossip_node.h"
#include "tests/support/manual_clock.h"

namespace briarspread::testing {

/// Options of a `GossipNetwork`.
struct NetworkOptions {
  std::uint64_t seed = 1;
  std::size_t nodes = 7;
  std::size_t regions = 2;
  /// Fraction of datagrams that is lost.
  double loss = 0;
  milliseconds latency_within{1};
  milliseconds latency_between{20};
  /// Time that a node takes to fetch rules that a peer reported.
  milliseconds fetch_time{50};
  GossipNodeSettings node;
};

/// Simulates gossip nodes and the network between them with one manual clock.
/// Nodes are assigned to the regions round-robin and tick at random phases.
class GossipNetwork {
 public:
  explicit GossipNetwork(const NetworkOptions& options);

  /// Advances the time by `span` and runs all events within it.
  void Run(Duration span);
  /// Runs until `done` returns true, polled every 10 ms. Returns the elapsed
  /// time, or nothing if `limit` is reached.
  std::optional<Duration> RunUntil(const std::function<bool()>& done,
                                   Duration limit);

  void Kill(std::size_t node) { nodes_[node].is_killed = true; }
  /// Restarts the node's process with `incarnation`.
  void Restart(std::size_t node, std::uint64_t incarnation);
  /// Pauses the node's process for `span`; datagrams are queued in its socket.
  void Pause(std::size_t node, Duration span);
  /// Starts or ends a network partition between region 0 and the others.
  void SetPartitioned(bool cut) { is_partitioned_ = cut; }
  /// Adds a node that has the platform's list but is not in it. Returns its
  /// index.
  std::size_t AddNode();

  GossipNode& node(std::size_t index) { return *nodes_[index].node; }
  std::size_t size() const { return nodes_.size(); }
  bool IsDead(std::size_t index) const { return nodes_[index].is_killed; }
  static InstanceId IdOf(std::size_t index);
  RegionId RegionOf(std::size_t index) const;
  /// Returns the state of `index` in the member table of `viewer`.
  std::optional<MemberState> View(std::size_t viewer, std::size_t index);
  /// Returns whether `index` is in `state` in the tables of all other live
  /// nodes.
  bool AllSee(std::size_t index, MemberState state);
  /// Returns whether all live nodes have rules of at least `revision`.
  bool AllHave(Revision revision);
  /// Calls `Leave` of a node and sends the returned datagrams.
  void Leave(std::size_t index);
  /// Returns the sums of the counters of all live nodes.
  GossipCounts Counts() const;

  /// Called with each datagram before its delivery; may be empty.
  std::function<void(std::size_t to, const std::string& bytes)> on_deliver;
  ManualClock clock;

 private:
  struct Node {
    std::unique_ptr<GossipNode> node;
    TimePoint paused_until;
    bool is_killed = false;
    /// Number of starts of the process; events of earlier starts are dropped.
    std::uint64_t start = 0;
    std::vector<std::string> socket;
  };

  MemberRecord RecordOf(std::size_t index, std::uint64_t incarnation) const;
  std::vector<ListedInstance> List() const;
  void Start(std::size_t index, std::uint64_t incarnation);
  void Tick(std::size_t index, std::uint64_t start);
  void Send(std::size_t from, const std::vector<Datagram>& datagrams);
  void Deliver(std::size_t to, const std::string& bytes);
  void TakeReports(std::size_t index);
  void Schedule(Duration delay, std::function<void()> run);

  const NetworkOptions options_;
  SeededRandom random_;
  std::vector<Node> nodes_;
  std::multimap<TimePoint, std::function<void()>> events_;
  bool is_partitioned_ = false;
};

}  // namespace briarspread::testing

#endif  // TESTS_MEMBERSHIP_GOSSIP_NETWORK_H_
