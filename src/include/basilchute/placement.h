/// \file
/// Policies that choose a worker for a task, as pure, replaceable functions.
#pragma once

#include "basilchute/resources.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

BASILCHUTE_NAMESPACE_BEGIN

/// A task that needs a worker.
struct PlacementTask {
  std::string_view Id;
  /// Service of which the task is a replica; empty for a batch task.
  std::string_view Service;
  std::string_view WorkKind;
  Resources Demand;
};

/// A candidate worker for a task.
struct PlacementWorker {
  std::string_view Id;
  std::string_view Rack;
  Resources Capacity;
  Resources Free;
  /// Number of latency-critical tasks on the worker.
  uint32_t ServingTasks = 0;
  /// Number of batch tasks on the worker.
  uint32_t BatchTasks = 0;
  /// Number of replicas of the task's service on the worker.
  uint32_t Replicas = 0;
  /// Number of replicas of the task's service in the worker's rack.
  uint32_t ReplicasInRack = 0;
};

/// Returns the index of the chosen worker, or none if the task must wait. A
/// policy may only choose a worker whose free resources cover the demand; the
/// caller checks this again.
using PlacementPolicy = std::function<std::optional<size_t>(
    const PlacementTask &, std::span<const PlacementWorker>)>;

/// Chooses the first worker with enough free resources.
PlacementPolicy firstFitPolicy();
/// Chooses the worker with the largest free fraction of its processor capacity.
PlacementPolicy leastLoadedPolicy();
/// Spreads the replicas of a service over racks, keeps services apart from
/// batch tasks, and packs batch tasks tightly.
PlacementPolicy spreadPackPolicy();
/// Returns the policy named \p Name ("first-fit", "least-loaded",
/// "spread-pack"), or none.
std::optional<PlacementPolicy> placementPolicy(std::string_view Name);

/// A running task that may be evicted.
struct EvictionCandidate {
  std::string_view Task;
  Resources Demand;
  /// Loss caused by the eviction, in any unit common to all candidates.
  double Cost = 0;
};

/// Returns the indexes of a low-cost set of \p Candidates whose eviction makes
/// \p Demand fit into \p Free, or none if even the eviction of all candidates
/// does not suffice. Candidates are selected greedily by cost; those that later
/// selections made unnecessary are dropped.
std::optional<std::vector<size_t>>
chooseEvictions(const Resources &Demand, const Resources &Free,
                std::span<const EvictionCandidate> Candidates);

BASILCHUTE_NAMESPACE_END
