// Measures gossip between entry instances with a simulated clock and network:
// seconds until a change has reached all instances, bytes and messages per
// node, processor time per digest, and suspicions caused by pauses.

#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "tests/membership/gossip_network.h"

DEFINE_string(nodes, "7,410", "fleet sizes, with commas");
DEFINE_uint64(seed, 20261204, "seed of the random numbers");
DEFINE_uint32(rounds, 10, "changes measured of each kind");
DEFINE_double(loss, 0.01, "part of datagrams lost");
DEFINE_string(json, "", "file for the results as JSON");

namespace briarspread {
namespace {

using Json = nlohmann::json;
using testing::GossipNetwork;
using testing::NetworkOptions;

/// Size of the IP and UDP headers of a datagram, in bytes.
constexpr std::uint64_t kHeaderBytes = 28;
constexpr std::size_t kSmallFleet = 20;
constexpr std::size_t kLargeFleetRegions = 9;
constexpr seconds kWarmUp{20};
constexpr seconds kIdleSpan{30};
constexpr seconds kLimit{300};
constexpr seconds kPauseSpan{3};
constexpr seconds kPausesDuration{120};
constexpr seconds kPauseInterval{5};
constexpr seconds kShortPartition{120};
constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double ProcessSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Returns the median and the maximum of times. A change that did not reach all
/// nodes counts with the time limit.
Json Summary(std::vector<double> times) {
  std::sort(times.begin(), times.end());
  return Json{{"p50_s", times[times.size() / 2]},
              {"max_s", times.back()},
              {"changes", times.size()}};
}

/// Runs the measurements for one fleet size.
class FleetBench {
 public:
  explicit FleetBench(std::size_t nodes)
      : network_(MakeOptions(nodes)), random_(FLAGS_seed), nodes_(nodes) {}

  Json Run() {
    Json result = {{"nodes", nodes_}};
    network_.Run(kWarmUp);
    result["idle"] = MeasureIdle();
    result["rules_revision"] = Measure([this](std::size_t i) {
      const Revision revision(++revision_);
      network_.node(i).SetRulesRevision(revision);
      return [this, revision] { return network_.AllHave(revision); };
    });
    result["conviction"] = Measure([this](std::size_t i) {
      const Fingerprint fingerprint(++fingerprint_);
      network_.node(i).AddNotice(
          {{fingerprint, NoticeKind::kConviction, GossipNetwork::IdOf(i)},
           1,
           seconds(600)});
      return [this, fingerprint] { return AllConvict(fingerprint); };
    });
    result["pauses"] = MeasurePauses();
    result["leaving"] = MeasureLeaving();
    result["cut"] = MeasurePartition();
    return result;
  }

 private:
  static NetworkOptions MakeOptions(std::size_t nodes) {
    NetworkOptions options;
    options.seed = FLAGS_seed;
    options.nodes = nodes;
    options.regions = nodes > kSmallFleet ? kLargeFleetRegions : 2;
    options.loss = FLAGS_loss;
    options.node.peer_key = "shared";
    return options;
  }

  template <typename Change>
  Json Measure(const Change& change) {
    std::vector<double> times;
    for (std::uint32_t i = 0; i < FLAGS_rounds; ++i) {
      const auto done = change(random_.Below(nodes_));
      times.push_back(
          Seconds(network_.RunUntil(done, kLimit).value_or(kLimit)));
    }
    return Summary(std::move(times));
  }

  bool AllConvict(Fingerprint fingerprint) {
    for (std::size_t i = 0; i < network_.size(); ++i) {
      const auto& notices = network_.node(i).notices();
      if (notices.Total(fingerprint, NoticeKind::kConviction) == 0) {
        return false;
      }
    }
    return true;
  }

  Json MeasureIdle() {
    const GossipCounts before = network_.Counts();
    std::uint64_t cbor = 0;
    std::uint64_t json = 0;
    std::uint64_t sampled = 0;
    network_.on_deliver = [&](std::size_t to, const std::string& bytes) {
      constexpr std::size_t kSealBytes = 32;
      if (to != 0) return;
      std::string_view text = bytes;
      text.remove_suffix(kSealBytes);
      const auto digest = DecodeDigest(text);
      if (!IsOk(digest)) return;
      cbor += text.size();
      json += Json(ValueOf(digest)).dump().size();
      ++sampled;
    };
    network_.Run(seconds(5));
    network_.on_deliver = nullptr;
    const double start = ProcessSeconds();
    const GossipCounts middle = network_.Counts();
    network_.Run(kIdleSpan);
    const double cpu = ProcessSeconds() - start;
    const GossipCounts after = network_.Counts();
    const std::uint64_t messages = after.digests_sent - middle.digests_sent +
                                   after.digests_received -
                                   middle.digests_received;
    const std::uint64_t bytes = after.bytes_sent - middle.bytes_sent +
                                after.bytes_received - middle.bytes_received +
                                messages * kHeaderBytes;
    const double node_seconds =
        static_cast<double>(nodes_) * Seconds(kIdleSpan);
    return Json{
        {"messages_per_s_node", static_cast<double>(messages) / node_seconds},
        {"bytes_per_s_node", static_cast<double>(bytes) / node_seconds},
        {"cpu_us_per_digest",
         cpu * kMicrosPerSecond / static_cast<double>(messages)},
        {"cpu_share_of_core_node", cpu / node_seconds},
        {"mean_digest_bytes_cbor", cbor / std::max<std::uint64_t>(1, sampled)},
        {"mean_digest_bytes_json", json / std::max<std::uint64_t>(1, sampled)},
        {"suspicions", after.suspicions - before.suspicions},
        {"deaths", after.deaths - before.deaths}};
  }

  /// Pauses a random node every few seconds, for less than the suspicion
  /// timeout.
  Json MeasurePauses() {
    const GossipCounts before = network_.Counts();
    int pauses = 0;
    const auto rounds = kPausesDuration / kPauseInterval;
    for (int i = 0; i < rounds; ++i) {
      network_.Pause(random_.Below(nodes_), kPauseSpan);
      ++pauses;
      network_.Run(kPauseInterval);
    }
    const GossipCounts after = network_.Counts();
    return Json{{"pauses", pauses},
                {"pause_s", kPauseSpan.count()},
                {"suspicions", after.suspicions - before.suspicions},
                {"deaths", after.deaths - before.deaths}};
  }

  Json MeasureLeaving() {
    std::vector<double> times;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, nodes_); ++i) {
      network_.Leave(i);
      const auto done = [&] {
        return network_.AllSee(i, MemberState::kLeaving);
      };
      times.push_back(
          Seconds(network_.RunUntil(done, kLimit).value_or(kLimit)));
    }
    return Summary(std::move(times));
  }

  /// Partitions the network until each side counts the other one as dead, ends
  /// the partition and measures the time until no node counts as dead.
  Json MeasurePartition() {
    const seconds span =
        nodes_ > kSmallFleet
            ? kShortPartition
            : std::chrono::duration_cast<seconds>(std::chrono::hours(1));
    network_.SetPartitioned(true);
    network_.Run(span);
    std::size_t dead =
        network_.node(0).table().InState(MemberState::kDead).size();
    network_.SetPartitioned(false);
    const auto done = [this] {
      for (std::size_t i = 0; i < network_.size(); ++i) {
        const auto& table = network_.node(i).table();
        if (!table.InState(MemberState::kDead).empty()) return false;
      }
      return true;
    };
    const auto healed = network_.RunUntil(done, kLimit);
    return Json{{"cut_s", span.count()},
                {"dead_at_node_0", dead},
                {"healed_s", Seconds(healed.value_or(kLimit))}};
  }

  GossipNetwork network_;
  SeededRandom random_;
  const std::size_t nodes_;
  std::uint64_t revision_ = 0;
  std::uint64_t fingerprint_ = 0;
};

void PrintText(const Json& result) {
  std::cout << "nodes " << result["nodes"] << "\n";
  for (const auto& [part, values] : result.items()) {
    if (!values.is_object()) continue;
    std::cout << "  " << part << ":";
    for (const auto& [name, value] : values.items()) {
      std::cout << " " << name << "=" << value;
    }
    std::cout << "\n";
  }
}

int Run() {
  Json report = {{"seed", FLAGS_seed},
                 {"cores", std::thread::hardware_concurrency()},
                 {"loss", FLAGS_loss},
                 {"fleets", Json::array()}};
  std::cout << "seed " << FLAGS_seed << ", cores "
            << std::thread::hardware_concurrency() << ", loss " << FLAGS_loss
            << "\n";
  std::istringstream sizes(FLAGS_nodes);
  std::string size;
  while (std::getline(sizes, size, ',')) {
    const std::size_t nodes = std::strtoul(size.c_str(), nullptr, 10);
    if (nodes < 2) {
      std::cerr << "membership_bench: --nodes: found '" << size
                << "', allowed: numbers of at least 2, with commas\n";
      return 2;
    }
    const Json result = FleetBench(nodes).Run();
    PrintText(result);
    report["fleets"].push_back(result);
  }
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace briarspread

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures membership under a network model");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return briarspread::Run();
}
