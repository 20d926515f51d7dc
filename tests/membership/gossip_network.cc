#include "tests/membership/gossip_network.h"

#include <utility>

namespace briarspread::testing {
namespace {

constexpr milliseconds kPollInterval{10};

}  // namespace

GossipNetwork::GossipNetwork(const NetworkOptions& options)
    : options_(options), random_(options.seed) {
  nodes_.resize(options_.nodes);
  for (std::size_t i = 0; i < options_.nodes; ++i) Start(i, 1);
}

InstanceId GossipNetwork::IdOf(std::size_t index) {
  return InstanceId("entry-" + std::to_string(1000 + index));
}

RegionId GossipNetwork::RegionOf(std::size_t index) const {
  return RegionId("region-" + std::to_string(index % options_.regions));
}

MemberRecord GossipNetwork::RecordOf(std::size_t index,
                                     std::uint64_t incarnation) const {
  MemberRecord record;
  record.id = IdOf(index);
  record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(index)};
  record.locality = {
      RegionOf(index),
      ZoneId("zone-" + std::to_string(index % options_.regions) + "-a")};
  // Has as many digits as an incarnation made from the wall clock, so that the
  // encoded size is realistic.
  record.version.incarnation = Incarnation(1'700'000'000'000 + incarnation);
  return record;
}

std::vector<ListedInstance> GossipNetwork::List() const {
  std::vector<ListedInstance> list;
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    const MemberRecord record = RecordOf(i, 0);
    ListedInstance row;
    row.name = record.id.value();
    row.endpoint = record.endpoint;
    row.locality = record.locality;
    list.push_back(row);
  }
  return list;
}

void GossipNetwork::Start(std::size_t index, std::uint64_t incarnation) {
  Node& node = nodes_[index];
  node.node = std::make_unique<GossipNode>(
      options_.node, RecordOf(index, incarnation), clock, random_);
  node.node->ApplyList(List());
  node.is_killed = false;
  node.paused_until = clock.Now();
  node.socket.clear();
  const std::uint64_t start = ++node.start;
  const auto interval =
      static_cast<std::uint64_t>(Duration(options_.node.interval).count());
  Schedule(Duration(random_.Below(interval)),
           [this, index, start] { Tick(index, start); });
}

void GossipNetwork::Restart(std::size_t node, std::uint64_t incarnation) {
  Start(node, incarnation);
}

std::size_t GossipNetwork::AddNode() {
  nodes_.emplace_back();
  Start(nodes_.size() - 1, 1);
  return nodes_.size() - 1;
}

void GossipNetwork::Pause(std::size_t node, Duration span) {
  nodes_[node].paused_until = clock.Now() + span;
}

void GossipNetwork::Tick(std::size_t index, std::uint64_t start) {
  Node& node = nodes_[index];
  if (node.is_killed || node.start != start) return;
  if (clock.Now() < node.paused_until) {
    Schedule(node.paused_until - clock.Now(),
             [this, index, start] { Tick(index, start); });
    return;
  }
  // A process that resumes may handle its timer before its socket.
  Send(index, node.node->Tick());
  for (const std::string& bytes : std::exchange(node.socket, {})) {
    Deliver(index, bytes);
  }
  Schedule(options_.node.interval,
           [this, index, start] { Tick(index, start); });
}

void GossipNetwork::Send(std::size_t from,
                         const std::vector<Datagram>& datagrams) {
  for (const Datagram& datagram : datagrams) {
    const std::size_t to = datagram.to.port;
    const bool between = RegionOf(from) != RegionOf(to);
    const bool crosses_partition =
        (from % options_.regions == 0) != (to % options_.regions == 0);
    if (is_partitioned_ && crosses_partition) continue;
    if (random_.Fraction() < options_.loss) continue;
    Schedule(between ? options_.latency_between : options_.latency_within,
             [this, to, bytes = datagram.bytes] { Deliver(to, bytes); });
  }
}

void GossipNetwork::Deliver(std::size_t to, const std::string& bytes) {
  Node& node = nodes_[to];
  if (node.is_killed) return;
  if (clock.Now() < node.paused_until) {
    node.socket.push_back(bytes);
    return;
  }
  if (on_deliver) on_deliver(to, bytes);
  Send(to, node.node->Receive(bytes));
  TakeReports(to);
}

void GossipNetwork::TakeReports(std::size_t index) {
  GossipNode& node = *nodes_[index].node;
  const std::uint64_t start = nodes_[index].start;
  for (const PeerReport& report : node.TakeReports()) {
    const Revision revision = report.rules_revision;
    if (revision <= node.table().self().rules_revision) continue;
    Schedule(options_.fetch_time, [this, index, start, revision] {
      if (nodes_[index].is_killed || nodes_[index].start != start) return;
      nodes_[index].node->SetRulesRevision(revision);
    });
  }
}

void GossipNetwork::Leave(std::size_t index) {
  Send(index, nodes_[index].node->Leave());
}

void GossipNetwork::Schedule(Duration delay, std::function<void()> run) {
  events_.emplace(clock.Now() + delay, std::move(run));
}

void GossipNetwork::Run(Duration span) {
  const TimePoint end = clock.Now() + span;
  while (!events_.empty() && events_.begin()->first <= end) {
    clock.Advance(events_.begin()->first - clock.Now());
    const auto run = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    run();
  }
  clock.Advance(end - clock.Now());
}

std::optional<Duration> GossipNetwork::RunUntil(
    const std::function<bool()>& done, Duration limit) {
  const TimePoint start = clock.Now();
  while (!done()) {
    if (clock.Now() - start >= limit) return std::nullopt;
    Run(kPollInterval);
  }
  return clock.Now() - start;
}

std::optional<MemberState> GossipNetwork::View(std::size_t viewer,
                                               std::size_t index) {
  return node(viewer).table().State(IdOf(index));
}

bool GossipNetwork::AllSee(std::size_t index, MemberState state) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i == index || nodes_[i].is_killed) continue;
    if (View(i, index) != state) return false;
  }
  return true;
}

bool GossipNetwork::AllHave(Revision revision) {
  for (const Node& it : nodes_) {
    if (!it.is_killed && it.node->table().self().rules_revision < revision) {
      return false;
    }
  }
  return true;
}

GossipCounts GossipNetwork::Counts() const {
  GossipCounts sum;
  for (const Node& it : nodes_) {
    if (it.is_killed) continue;
    const GossipCounts& counts = it.node->counts();
    sum.digests_sent += counts.digests_sent;
    sum.bytes_sent += counts.bytes_sent;
    sum.digests_received += counts.digests_received;
    sum.bytes_received += counts.bytes_received;
    sum.refused += counts.refused;
    sum.suspicions += counts.suspicions;
    sum.deaths += counts.deaths;
    sum.refutations += counts.refutations;
  }
  return sum;
}

}  // namespace briarspread::testing
