#include "libbasilchute/fitchoice.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

WorkerSlot workerOf(int64_t Millicores) {
  return WorkerSlot({.Id = "w", .Capacity = {.Millicores = Millicores}});
}

PlacementCandidate candidateOf(WorkerSlot &Slot, int64_t Room,
                               int64_t Eventual) {
  Resources Free{.Millicores = Room};
  return {.Slot = &Slot,
          .Room = Free,
          .Load = 0.5,
          .Later = {.Free = Free, .Eventual = {.Millicores = Eventual}}};
}

} // namespace

// Guards against finite tasks that break up the room of large workers, and
// against a change of choice while the plan is off.
TEST_CASE("planned tasks go where they leave the least room") {
  WorkerSlot Large = workerOf(48000);
  WorkerSlot Small = workerOf(32000);
  PlacementCandidate Empty = candidateOf(Large, 48000, 48000);
  PlacementCandidate Fragment = candidateOf(Small, 5000, 9000);
  Fragment.Load = 0.9;
  JobStep Step{.Demand = {.Millicores = 4000}};
  FitOptions Planned{.IsPlanned = true, .IsLightlyLoaded = false};
  CHECK(placementCost(Fragment, Step, {}, Planned) <
        placementCost(Empty, Step, {}, Planned));
  CHECK(placementCost(Fragment, Step, {}, {}) >
        placementCost(Empty, Step, {}, {}));
  // A long-running task counts what is left beside long-running tasks, and
  // takes a kept worker last.
  Step.LongRunning = true;
  PlacementCandidate Kept = candidateOf(Small, 4000, 4000);
  Kept.IsKeptForFinite = true;
  CHECK(placementCost(Fragment, Step, {}, Planned) <
        placementCost(Empty, Step, {}, Planned));
  CHECK(placementCost(Empty, Step, {}, Planned) <
        placementCost(Kept, Step, {}, Planned));
}
