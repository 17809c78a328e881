#include "libbasilchute/workerslot.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

constexpr Resources Full{.Millicores = 8000, .MemoryMib = 16000};
constexpr Resources Half{.Millicores = 4000, .MemoryMib = 8000};

RunKey runOf(int Index) {
  return {{.Job = "a", .Occurrence = 0, .Step = 0, .Index = Index}, 1};
}

} // namespace

TEST_CASE(
    "A worker that has shrunk below its reservations has no room until it "
    "grows") {
  WorkerSlot Slot({.Id = "w", .Capacity = Full});
  for (int Index = 0; Index < 6; ++Index)
    Slot.Runs.emplace(
        runOf(Index),
        ReservedRun{.Reserved = {.Millicores = 1000, .MemoryMib = 1000}});
  Resources Demand{.Millicores = 1, .MemoryMib = 1};
  CHECK(Demand.fits(Slot.freeCapacity()));
  Slot.Entry.Capacity = Half;
  CHECK_FALSE(Demand.fits(Slot.freeCapacity()));
  Slot.Runs.erase(runOf(0));
  Slot.Runs.erase(runOf(1));
  CHECK_FALSE(Demand.fits(Slot.freeCapacity()));
  Slot.Runs.erase(runOf(2));
  CHECK(Demand.fits(Slot.freeCapacity()));
  Slot.Entry.Capacity = {};
  CHECK_FALSE(Demand.fits(Slot.freeCapacity()));
  CHECK(Slot.load() > 1);
  Slot.Entry.Capacity = Full;
  CHECK(Slot.freeCapacity().Millicores == 5000);
}

// Guards against starts beside a run of unknown size on a worker that was small
// when the run was first reported.
TEST_CASE("A run of unknown demand reserves the whole worker also after the "
          "worker has grown") {
  WorkerSlot Slot({.Id = "w", .Capacity = Half});
  Slot.Runs.emplace(runOf(0), ReservedRun{.ReservesAll = true});
  for (const Resources &Capacity : {Half, Full, Half}) {
    Slot.Entry.Capacity = Capacity;
    CHECK(Slot.freeCapacity() == Resources{});
    CHECK(Slot.load() == 1);
  }
}

// Guards against fill runs that go on at full pace on a worker without
// processors, since they used more before it has shrunk.
TEST_CASE("Fill tasks can use no more than the capacity that a worker has") {
  TimePoint Now{std::chrono::hours(1)};
  WorkerSlot Slot({.Id = "w", .Capacity = Full});
  Slot.Runs.emplace(runOf(0), ReservedRun{.Phase = RunPhase::Running,
                                          .FullPaceMillicores = 6000,
                                          .Usage = 6000});
  FillUsePeaks Peaks;
  Slot.observeFillRuns(Peaks, Now);
  CHECK(Slot.fillRoom(Now).left() == doctest::Approx(8000));
  Slot.Entry.Capacity.Millicores = 1000;
  Slot.observeFillRuns(Peaks, Now);
  CHECK(Slot.fillRoom(Now).left() == doctest::Approx(1000));
}
