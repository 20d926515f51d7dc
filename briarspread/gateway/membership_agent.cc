#include "briarspread/gateway/membership_agent.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <string_view>
#include <thread>
#include <utility>

namespace briarspread {

using asio::ip::udp;

/// The node, its socket and its timer. Private methods and posted functions run
/// on the agent's thread, except for the first calls made by `Start`.
class MembershipAgent::Impl {
 public:
  Impl(const MembershipAgentSettings& settings, const MemberRecord& self,
       const Clock& clock, RandomSource& random, MembershipObserver* observer)
      : settings_(settings),
        observer_(observer),
        socket_(io_),
        timer_(io_),
        node_(settings.node, self, clock, random),
        members_(std::make_unique<const MemberSnapshot>(MakeSnapshot())) {}

  Status Start() {
    std::error_code ec;
    const auto address = asio::ip::make_address(settings_.listen.host, ec);
    const udp::endpoint endpoint(address, settings_.listen.port);
    if (!ec) socket_.open(endpoint.protocol(), ec);
    if (!ec) socket_.bind(endpoint, ec);
    if (ec) {
      return Error{ErrorCode::kUnavailable, Verdict::kNotRun,
                   "cannot listen for digests on " + settings_.listen.host +
                       ":" + std::to_string(settings_.listen.port) + ": " +
                       ec.message()};
    }
    // A digest is dropped if the send buffer is full. The protocol tolerates
    // lost datagrams.
    socket_.non_blocking(true, ec);
    StartReceive();
    Tick();
    thread_ = std::thread([this] { io_.run(); });
    return OkStatus();
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
    std::error_code ec;
    socket_.close(ec);
  }

  /// Runs `change` on the agent's thread. Thread-safe.
  template <typename Change>
  void Post(Change change) {
    asio::post(io_,
               [this, change = std::move(change)]() mutable { change(node_); });
  }

  void Leave() {
    asio::post(io_, [this] {
      Send(node_.Leave());
      Publish();
    });
  }

  const RcuCell<MemberSnapshot>& members() const { return members_; }

 private:
  void Tick() {
    Send(node_.Tick());
    Publish();
    timer_.expires_after(settings_.node.interval);
    timer_.async_wait([this](const std::error_code& ec) {
      if (!ec) Tick();
    });
  }

  void StartReceive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](const std::error_code& ec, std::size_t n) {
          if (ec == asio::error::operation_aborted) return;
          // Other errors, such as a closed port of a peer, affect only one
          // datagram.
          if (!ec) HandleDatagram(std::string_view(buffer_.data(), n));
          StartReceive();
        });
  }

  void HandleDatagram(std::string_view datagram) {
    Send(node_.Receive(datagram));
    const auto reports = node_.TakeReports();
    const auto notices = node_.TakeNewNotices();
    if (observer_ == nullptr) return;
    for (const PeerReport& report : reports) observer_->OnPeerReport(report);
    for (const Notice& notice : notices) observer_->OnNotice(notice);
  }

  void Send(const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      std::error_code ec;
      const auto address = asio::ip::make_address(datagram.to.host, ec);
      if (ec) continue;
      socket_.send_to(asio::buffer(datagram.bytes),
                      udp::endpoint(address, datagram.to.port), 0, ec);
    }
  }

  MemberSnapshot MakeSnapshot() const {
    MemberSnapshot snapshot;
    const MemberTable& table = node_.table();
    snapshot.members.push_back({table.self(), StateOf(table.self())});
    for (MemberRecord& record : table.Others()) {
      const auto state = table.State(record.id).value_or(MemberState::kDead);
      snapshot.members.push_back({std::move(record), state});
    }
    std::sort(
        snapshot.members.begin(), snapshot.members.end(),
        [](const auto& a, const auto& b) { return a.record.id < b.record.id; });
    snapshot.superseded = table.is_superseded();
    snapshot.counts = node_.counts();
    return snapshot;
  }

  void Publish() {
    auto snapshot = std::make_unique<const MemberSnapshot>(MakeSnapshot());
    if (snapshot->superseded && !was_superseded_) {
      was_superseded_ = true;
      LOG(ERROR) << "event=superseded instance=" << node_.table().self().id
                 << ": another process runs under this instance's name";
    }
    members_.Publish(std::move(snapshot));
  }

  const MembershipAgentSettings settings_;
  MembershipObserver* const observer_;
  asio::io_context io_;
  udp::socket socket_;
  asio::steady_timer timer_;
  GossipNode node_;
  RcuCell<MemberSnapshot> members_;
  bool was_superseded_ = false;
  /// One byte larger than a digest, so that oversized datagrams are detected.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
  /// The source address of the datagram in `buffer_`. Not trusted; the digest
  /// names its sender.
  udp::endpoint sender_;
  std::thread thread_;
};

MembershipAgent::MembershipAgent(const MembershipAgentSettings& settings,
                                 const MemberRecord& self, const Clock& clock,
                                 RandomSource& random,
                                 MembershipObserver* observer)
    : impl_(std::make_unique<Impl>(settings, self, clock, random, observer)) {}

MembershipAgent::~MembershipAgent() { Stop(); }

Status MembershipAgent::Start() { return impl_->Start(); }

void MembershipAgent::Stop() { impl_->Stop(); }

void MembershipAgent::ApplyList(std::vector<ListedInstance> listed) {
  impl_->Post([listed = std::move(listed)](GossipNode& node) {
    node.ApplyList(listed);
  });
}

void MembershipAgent::SetRulesRevision(Revision revision) {
  impl_->Post(
      [revision](GossipNode& node) { node.SetRulesRevision(revision); });
}

void MembershipAgent::SetEpoch(Epoch epoch) {
  impl_->Post([epoch](GossipNode& node) { node.SetEpoch(epoch); });
}

void MembershipAgent::SetLoad(const LoadHint& load) {
  impl_->Post([load](GossipNode& node) { node.SetLoad(load); });
}

void MembershipAgent::Leave() { impl_->Leave(); }

void MembershipAgent::AddNotice(const Notice& notice) {
  impl_->Post([notice](GossipNode& node) { node.AddNotice(notice); });
}

const RcuCell<MemberSnapshot>& MembershipAgent::members() const {
  return impl_->members();
}

}  // namespace briarspread
