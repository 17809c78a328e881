#include "basilchute/placement.h"

#include <algorithm>
#include <numeric>
#include <tuple>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

/// Returns the worker with room that has the least \p Cost.
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

double freeShare(const PlacementWorker &Of) {
  return static_cast<double>(Of.Free.Millicores) /
         static_cast<double>(std::max<int64_t>(Of.Capacity.Millicores, 1));
}

} // namespace

PlacementPolicy firstFitPolicy() {
  return [](const PlacementTask &Task, std::span<const PlacementWorker> All) {
    return cheapest(Task, All, [](const PlacementWorker &) { return 0; });
  };
}

PlacementPolicy leastLoadedPolicy() {
  return [](const PlacementTask &Task, std::span<const PlacementWorker> All) {
    return cheapest(Task, All, [](const PlacementWorker &Each) {
      return -freeShare(Each);
    });
  };
}

PlacementPolicy spreadPackPolicy() {
  return [](const PlacementTask &Task, std::span<const PlacementWorker> All) {
    if (Task.Service.empty())
      return cheapest(Task, All, [](const PlacementWorker &Each) {
        return std::tuple(Each.Services, freeShare(Each));
      });
    return cheapest(Task, All, [](const PlacementWorker &Each) {
      return std::tuple(Each.SameService, Each.SameServiceInRack, Each.Batch,
                        -freeShare(Each));
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
cheapEviction(const Resources &Demand, const Resources &Free,
              std::span<const EvictionCandidate> Candidates) {
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  std::stable_sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return Candidates[A].Cost < Candidates[B].Cost;
  });
  Resources Room = Free;
  std::vector<size_t> Chosen;
  for (size_t Index : Order) {
    if (Demand.fits(Room))
      break;
    Room += Candidates[Index].Demand;
    Chosen.push_back(Index);
  }
  if (!Demand.fits(Room))
    return std::nullopt;
  // Drops what the later choices made unnecessary, dearest first.
  for (size_t Back = Chosen.size(); Back-- > 0;) {
    Resources Without = Room - Candidates[Chosen[Back]].Demand;
    if (!Demand.fits(Without))
      continue;
    Room = Without;
    Chosen.erase(Chosen.begin() + static_cast<std::ptrdiff_t>(Back));
  }
  return Chosen;
}

BASILCHUTE_NAMESPACE_END
