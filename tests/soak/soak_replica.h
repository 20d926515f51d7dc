#ifndef TESTS_SOAK_SOAK_REPLICA_H_
#define TESTS_SOAK_SOAK_REPLICA_H_

#include <memory>
#include <string>

#include "briarspread/core/random_source.h"
#include "briarspread/fleet/loop_timer.h"
#include "briarspread/proxy/http_listener.h"
#include "tests/platform/store_stand_in.h"
#include "tests/soak/soak_record.h"

namespace briarspread::soak {

/// Objects shared by all replicas.
struct ReplicaContext {
  asio::io_context& loop;
  const Clock& clock;
  RandomSource& random;
  SoakRecord& record;
  platform::StoreStandIn& store;
};

/// Settings of a replica.
struct ReplicaSettings {
  std::string name;
  std::string service;
  std::string zone;
  /// Port on which the replica listens, and the port of its proxy, which it
  /// registers.
  std::uint16_t port = 0;
  std::uint16_t registered_port = 0;
  std::uint32_t slots = 8;
  milliseconds work{10};
  milliseconds event_interval{15};
  milliseconds load_time{300};
};

/// A replica of a plain service or of a model engine, as specified by the
/// platform. Records all requests that it runs. Used on the loop's thread only.
class SoakReplica final : public proxy::RequestHandler {
 public:
  SoakReplica(ReplicaContext& context, const ReplicaSettings& settings);

  void OnRequest(proxy::Request request,
                 std::shared_ptr<proxy::Responder> responder) override;
  /// Simulates a crash: drops all runs without a response and removes the store
  /// entry. The replica restarts and registers again after `after`.
  void Crash(milliseconds after);
  /// Sets whether requests fail with 503 after they have run, without the
  /// statement that they did not.
  void SetIll(bool is_ill) { is_ill_ = is_ill; }
  /// Writes the replica's entry as another writer would, with another service.
  void OverwriteEntry(const std::string& service) { WriteEntry(service); }
  /// Writes the replica's own entry, unless it is down.
  void RestoreEntry() {
    if (is_up_) Register();
  }
  const std::string& name() const { return settings_.name; }

 private:
  using ResponderPtr = std::shared_ptr<proxy::Responder>;
  /// Event stream of an item.
  struct Stream;

  void Register() { WriteEntry(settings_.service); }
  void WriteEntry(const std::string& service);
  void Refuse(proxy::Responder& responder, int status);
  /// Records a violation if a request carries a key or the wrong account.
  void CheckAccount(const proxy::Request& request);
  void Answer(const proxy::Request& request, const ResponderPtr& responder);
  void StartStream(const proxy::Request& request,
                   const ResponderPtr& responder);
  void SendEvent(const std::shared_ptr<Stream>& stream);
  void HandleOrder(const proxy::Request& request, proxy::Responder& responder);
  void Load(std::size_t model, std::uint64_t version);
  std::string Report() const;
  std::string LoadHeader() const;

  ReplicaContext& context_;
  const ReplicaSettings settings_;
  proxy::HttpListener listener_;
  LoopTimer load_timer_;
  LoopTimer restart_timer_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t orders_ = 0;
  std::uint32_t running_ = 0;
  bool is_loading_ = false;
  bool is_up_ = true;
  bool is_ill_ = false;
  /// Loaded weight versions by model index.
  std::vector<std::uint64_t> versions_ = {1, 1};
};

}  // namespace briarspread::soak

#endif  // TESTS_SOAK_SOAK_REPLICA_H_
