#ifndef BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_
#define BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/forward/upstream_directory.h"

namespace briarspread::versions {

/// The newest version of a model, which engines are to load.
struct ModelTarget {
  ModelName model;
  WeightVersion version;
  /// Number of items of the model that run at once in its steps; nothing if
  /// unknown.
  std::optional<std::uint64_t> items{};
};

/// The planner's view of an engine.
struct EngineState {
  UpstreamId id;
  std::vector<forward::LoadedModel> loaded;
  /// Whether no order may be sent to the engine now, because one is in progress
  /// or the engine rejected a call or did not answer one.
  bool is_blocked = false;
  /// The model of the order in progress; empty for none.
  ModelName loading;
  /// Whether the engine's streams are much slower than those of other engines.
  bool is_slow = false;
  /// Whether the engine may get orders; false if it is leaving or failing.
  bool is_open = true;
  /// Number of items that the engine runs at once.
  std::uint32_t slots = 1;
  /// Whether the engine's circuit breaker is open. Its versions then serve no
  /// step.
  bool is_failing = false;
};

/// An order to an engine to load a version of a model.
struct VersionOrder {
  UpstreamId engine;
  ModelName model;
  WeightVersion version;

  friend bool operator==(const VersionOrder&, const VersionOrder&) = default;
};

/// Settings of the planner.
struct VersionPlannerSettings {
  /// Largest fraction of the engines that load at the same time, over all
  /// models; more concurrent loads slow each other down.
  double loading_fraction = 0.2;
  /// Slots of the engines that load a version, as a multiple of the items that
  /// run at once: the rest is for engines that fail, that are slow, or that
  /// other work occupies.
  double slots_per_item = 2.0;
  /// Engines that load a version in addition, so that small steps survive the
  /// loss of an engine.
  std::size_t spare_engines = 2;
};

/// Decides which engines load which versions next. Designed for several
/// trainers that each name a version every few seconds, on engines that each
/// have all models but load one version at a time: loading every version on
/// every engine would take longer than the time between two versions. Each
/// version therefore goes to an equal share of the engines only: to those that
/// are furthest behind, and among these to those that are current for the
/// fewest other models. Where the items of a model's steps need fewer engines
/// than that, only as many load it, since each load costs; engines that are
/// lost are replaced. Meanwhile, engines with the previous version continue
/// undisturbed with the step that still allows it, and the steps of two models
/// begin on different engines. Stateless, so a new holder of the order lease
/// decides like the previous one. Thread-safe.
class VersionPlanner final {
 public:
  explicit VersionPlanner(const VersionPlannerSettings& settings)
      : settings_(settings) {}

  /// Returns the orders to send now. `targets` are all targets of one service,
  /// `engines` all of its engines.
  std::vector<VersionOrder> Next(const std::vector<ModelTarget>& targets,
                                 const std::vector<EngineState>& engines) const;

 private:
  const VersionPlannerSettings settings_;
};

/// Returns the loaded version of a model; zero if the model is not loaded.
/// Thread-safe.
WeightVersion VersionOf(const std::vector<forward::LoadedModel>& loaded,
                        const ModelName& model);

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_
