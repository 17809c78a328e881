/// \file
/// Choice of a worker for a task, as pure replaceable functions.
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
  /// Empty for batch work.
  std::string_view Service;
  std::string_view WorkKind;
  Resources Demand;
};

/// A worker that may take a task.
struct PlacementWorker {
  std::string_view Id;
  std::string_view Rack;
  Resources Capacity;
  Resources Free;
  /// Latency-critical and batch tasks there.
  uint32_t Services = 0;
  uint32_t Batch = 0;
  /// Replicas of the task's own service there and in the same rack.
  uint32_t SameService = 0;
  uint32_t SameServiceInRack = 0;
};

/// Returns the index of the chosen worker, or none if the task must wait. A
/// policy may only choose a worker whose free room holds the demand; the
/// caller checks it again.
using PlacementPolicy = std::function<std::optional<size_t>(
    const PlacementTask &, std::span<const PlacementWorker>)>;

/// Takes the first worker with room.
PlacementPolicy firstFitPolicy();
/// Takes the worker with the largest free share of its processors.
PlacementPolicy leastLoadedPolicy();
/// Spreads replicas over racks, keeps services away from batch work, and packs
/// batch work tightly.
PlacementPolicy spreadPackPolicy();
/// Returns the policy called \p Name ("first-fit", "least-loaded",
/// "spread-pack"), or none.
std::optional<PlacementPolicy> placementPolicy(std::string_view Name);

/// A running task that may be evicted.
struct EvictionCandidate {
  std::string_view Task;
  Resources Demand;
  /// What the eviction loses, in any unit common to all candidates.
  double Cost = 0;
};

/// Returns a cheap set of \p Candidates, by index, whose eviction makes
/// \p Demand fit into \p Free, or none if even all do not. Candidates are taken
/// greedily by cost, and those that later ones made unnecessary are dropped.
std::optional<std::vector<size_t>>
cheapEviction(const Resources &Demand, const Resources &Free,
              std::span<const EvictionCandidate> Candidates);

BASILCHUTE_NAMESPACE_END
