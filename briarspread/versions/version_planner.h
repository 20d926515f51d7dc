#ifndef BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_
#define BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_

#include <vector>

#include "briarspread/core/clock.h"
#include "briarspread/core/ids.h"
#include "briarspread/forward/upstream_directory.h"

namespace briarspread::versions {

/// The version that a model is to have.
struct ModelTarget {
  ModelName model;
  WeightVersion version;
};

/// An engine as the planner sees it.
struct EngineState {
  UpstreamId id;
  std::vector<forward::LoadedModel> loaded;
  /// Whether it takes no order now: one is under way, or it did not answer.
  bool is_blocked = false;
  /// The model that an order under way concerns; empty for none.
  ModelName loading;
  /// Whether its streams are much slower than those of others.
  bool is_slow = false;
  /// Whether it takes orders: not leaving, not failing.
  bool is_open = true;
};

/// One load to order.
struct VersionOrder {
  UpstreamId engine;
  ModelName model;
  WeightVersion version;

  friend bool operator==(const VersionOrder&, const VersionOrder&) = default;
};

/// Settings of the planner.
struct VersionPlannerSettings {
  /// The part of the engines that load at once, over all models; more slow each
  /// other down.
  double loading_fraction = 0.2;
};

/// Decides which engines load which version next. Answers the load of several
/// trainers that each name a version every few seconds, on engines that each
/// have all models but load one version at a time: loading every version
/// everywhere takes longer than the time between two versions. So each version
/// goes to an equal share of the engines only, to those that are furthest
/// behind, and of these to those that are current for the fewest other models:
/// while they load it, those that have the version before go on with the step
/// that it allows, undisturbed, and two models' steps begin on different ones.
/// Holds no state: a new holder decides as the one before did. Thread-safe.
class VersionPlanner final {
 public:
  explicit VersionPlanner(const VersionPlannerSettings& settings)
      : settings_(settings) {}

  /// Loads to order now. All targets of one service.
  std::vector<VersionOrder> Next(const std::vector<ModelTarget>& targets,
                                 const std::vector<EngineState>& engines) const;

 private:
  const VersionPlannerSettings settings_;
};

/// The version of a model among those loaded; zero where it is not.
/// Thread-safe.
WeightVersion VersionOf(const std::vector<forward::LoadedModel>& loaded,
                        const ModelName& model);

}  // namespace briarspread::versions

#endif  // BRIARSPREAD_VERSIONS_VERSION_PLANNER_H_
