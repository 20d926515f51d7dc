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

/// What a `GossipNetwork` is made of.
struct NetworkOptions {
  std::uint64_t seed = 1;
  std::size_t nodes = 7;
  std::size_t regions = 2;
  /// The part of datagrams that is lost.
  double loss = 0;
  milliseconds latency_within{1};
  milliseconds latency_between{20};
  /// How long a node takes to fetch rules that a peer reported.
  milliseconds fetch_time{50};
  GossipNodeSettings node;
};

/// Gossip nodes and a network between them under one clock. Nodes are spread
/// over the regions by turns and tick at random phases.
class GossipNetwork {
 public:
  explicit GossipNetwork(const NetworkOptions& options);

  /// Runs all that happens within `span`.
  void Run(Duration span);
  /// Runs until `done`, asked every 10 ms; returns the time it took, or
  /// nothing if that is above `limit`.
  std::optional<Duration> RunUntil(const std::function<bool()>& done,
                                   Duration limit);

  void Kill(std::size_t node) { nodes_[node].dead = true; }
  /// The node's process starts again; `incarnation` is its new one.
  void Restart(std::size_t node, std::uint64_t incarnation);
  /// The process stands still for `span`; datagrams wait in its socket.
  void Pause(std::size_t node, Duration span);
  /// Cuts region 0 from the others, or heals the cut.
  void SetCut(bool cut) { cut_ = cut; }
  /// Adds a node that knows the platform's list; no list names it yet.
  std::size_t Join();

  GossipNode& node(std::size_t index) { return *nodes_[index].node; }
  std::size_t size() const { return nodes_.size(); }
  bool IsDead(std::size_t index) const { return nodes_[index].dead; }
  static InstanceId IdOf(std::size_t index);
  RegionId RegionOf(std::size_t index) const;
  /// What `viewer` thinks of `index`.
  std::optional<MemberState> View(std::size_t viewer, std::size_t index);
  /// Whether all living nodes other than it see `index` as `state`.
  bool AllSee(std::size_t index, MemberState state);
  /// Whether all living nodes have rules of `revision`.
  bool AllHave(Revision revision);
  /// Sends what `Leave` returns.
  void Leave(std::size_t index);
  /// Sums over living nodes.
  GossipCounts Counts() const;

  /// Called with each datagram that is delivered.
  std::function<void(std::size_t to, const std::string& bytes)> on_deliver;
  ManualClock clock;

 private:
  struct Node {
    std::unique_ptr<GossipNode> node;
    TimePoint paused_until;
    bool dead = false;
    /// Counts the process's starts; events of earlier ones are dropped.
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
  void Later(Duration delay, std::function<void()> run);

  const NetworkOptions options_;
  SeededRandom random_;
  std::vector<Node> nodes_;
  std::multimap<TimePoint, std::function<void()>> events_;
  bool cut_ = false;
};

}  // namespace briarspread::testing

#endif  // TESTS_MEMBERSHIP_GOSSIP_NETWORK_H_
