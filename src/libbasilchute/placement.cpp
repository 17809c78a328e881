#include "basilchute/placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns the index of the worker with the lowest \p Cost among those with
/// enough free resources.
template <typename CostFunction>
std::optional<size_t> cheapest(const PlacementTask &Task,
                               std::span<const PlacementWorker> Workers,
                               CostFunction Cost) {
  std::optional<size_t> Best;
  for (size_t Index = 0; Index < Workers.size(); ++Index) {
    if (!Task.Demand.fits(Workers[Index].Free))
      continue;
    if (!Best || Cost(Workers[Index]) < Cost(Workers[*Best]))
      Best = Index;
  }
  return Best;
}

/// Returns the free fraction of the worker's processor capacity.
double freeShare(const PlacementWorker &Worker) {
  return static_cast<double>(Worker.Free.Millicores) /
         static_cast<double>(std::max<int64_t>(Worker.Capacity.Millicores, 1));
}

} // namespace

PlacementPolicy firstFitPolicy() {
  return [](const PlacementTask &Task,
            std::span<const PlacementWorker> Workers) {
    return cheapest(Task, Workers, [](const PlacementWorker &) { return 0; });
  };
}

PlacementPolicy leastLoadedPolicy() {
  return
      [](const PlacementTask &Task, std::span<const PlacementWorker> Workers) {
        return cheapest(Task, Workers, [](const PlacementWorker &Worker) {
          return -freeShare(Worker);
        });
      };
}

PlacementPolicy spreadPackPolicy() {
  return
      [](const PlacementTask &Task, std::span<const PlacementWorker> Workers) {
        if (Task.Service.empty())
          return cheapest(Task, Workers, [](const PlacementWorker &Worker) {
            return std::tuple(Worker.ServingTasks, freeShare(Worker));
          });
        return cheapest(Task, Workers, [](const PlacementWorker &Worker) {
          return std::tuple(Worker.Replicas, Worker.ReplicasInRack,
                            Worker.BatchTasks, -freeShare(Worker));
        });
      };
}

std::optional<PlacementPolicy> placementPolicy(std::string_view Name) {
  if (Name == "first-fit")
    return firstFitPolicy();
  if (Name == "least-loaded")
    return leastLoadedPolicy();
  if (Name == "spread-pack")
    return spreadPackPolicy();
  return std::nullopt;
}

std::optional<std::vector<size_t>>
chooseEvictions(const Resources &Demand, const Resources &Free,
                std::span<const EvictionCandidate> Candidates) {
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Candidates[A].Cost < Candidates[B].Cost;
  });
  Resources Available = Free;
  std::vector<size_t> Chosen;
  for (size_t Index : Order) {
    if (Demand.fits(Available))
      break;
    Available += Candidates[Index].Demand;
    Chosen.push_back(Index);
  }
  if (!Demand.fits(Available))
    return std::nullopt;
  // Drops candidates that later choices made unnecessary, most expensive first.
  for (size_t Position = Chosen.size(); Position-- > 0;) {
    Resources Without = Available - Candidates[Chosen[Position]].Demand;
    if (!Demand.fits(Without))
      continue;
    Available = Without;
    Chosen.erase(Chosen.begin() + static_cast<std::ptrdiff_t>(Position));
  }
  return Chosen;
}

BASILCHUTE_NAMESPACE_END
