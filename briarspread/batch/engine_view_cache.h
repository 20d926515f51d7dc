#ifndef BRIARSPREAD_BATCH_ENGINE_VIEW_CACHE_H_
#define BRIARSPREAD_BATCH_ENGINE_VIEW_CACHE_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "briarspread/batch/engine_placement.h"
#include "briarspread/batch/peer_engine_loads.h"
#include "briarspread/fleet/instance_record.h"
#include "briarspread/forward/forward_context.h"

namespace briarspread::batch {

/// The views of engines that a round of placements decides by. They are built
/// once for each service and model in a round, and updated as items start and
/// end, since building the views of thousands of engines for each item costs
/// more than all else. A round is short and nothing else changes within it.
/// Loop's thread only.
class EngineViewCache final {
 public:
  using EngineViews = std::vector<EngineView>;
  /// Estimated memory, in tokens, that own items use on each engine.
  using EngineTokens = std::map<UpstreamId, std::int64_t>;

  /// Precondition: references outlive this object.
  EngineViewCache(forward::ForwardContext& context,
                  const PeerEngineLoads& peer_loads, const InstanceRecord& self)
      : context_(context), peer_loads_(peer_loads), self_(self) {}

  /// Starts a round: drops all views.
  void Start(EngineTokens own_tokens);
  /// Returns the views of a service's engines with respect to a model, in the
  /// order of their ids. Precondition: the configuration is known. Valid until
  /// the next call of `Start`.
  const EngineViews& Of(const ServiceName& service, const ModelName& model);
  /// Updates the views of an engine after an own item of this size started
  /// there, or, if `tokens` is negative, ended.
  void Update(const UpstreamId& engine, std::int64_t tokens);

 private:
  using Key = std::pair<ServiceName, ModelName>;

  /// Sets what is used only where there are many engines.
  void SetConnection(const forward::KnownUpstream& engine,
                     EngineView& view) const;
  /// Returns the limits of an engine that is in slow start.
  PacedSlots PacedSlotsOf(const forward::KnownUpstream& engine) const;
  EngineView MakeView(const forward::KnownUpstream& engine,
                      const ModelName& model,
                      const forward::Service* service) const;

  forward::ForwardContext& context_;
  const PeerEngineLoads& peer_loads_;
  const InstanceRecord& self_;
  TimePoint now_{};
  EngineTokens own_tokens_;
  std::map<Key, EngineViews> views_;
};

}  // namespace briarspread::batch

#endif  // BRIARSPREAD_BATCH_ENGINE_VIEW_CACHE_H_
