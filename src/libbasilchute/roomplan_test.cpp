#include "libbasilchute/roomplan.h"

#include <doctest/doctest.h>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr milliseconds RoundInterval{15};
const TaskName Wide{.Job = "wide", .Occurrence = 0, .Step = 0, .Index = 0};

Resources cores(int64_t Count) {
  return {.Millicores = Count * 1000, .MemoryMib = Count * 1000};
}

bool onAny(size_t) { return true; }

} // namespace

// Guards against room that is reserved on a worker without regard to time.
TEST_CASE("room is reserved where runs end first") {
  RoomPlan Plan;
  Plan.beginRound(
      {{"a", cores(2), {{Start + 4s, cores(6)}}},
       {"b", cores(1), {{Start + 2s, cores(3)}, {Start + 1s, cores(4)}}},
       {"c", cores(3), {}}},
      Start);
  auto Found = Plan.reserve(Wide, cores(8), onAny);
  REQUIRE(Found);
  CHECK(Found->first == 1);
  CHECK(Found->second.At == Start + 2s);
  CHECK(Found->second.Beside == Resources{});
  CHECK(Found->second.admits(cores(1), Start + 2s));
  CHECK_FALSE(Found->second.admits(cores(1), Start + 2001ms));
  // The next task gets another worker, and a third none.
  TaskName Next = Wide;
  Next.Index = 1;
  REQUIRE(Plan.reserve(Next, cores(8), onAny));
  Next.Index = 2;
  CHECK_FALSE(Plan.reserve(Next, cores(8), onAny));
}

// Guards against a reservation that waits for a run that takes longer than its
// late bound, as three of a hundred do.
TEST_CASE("a run over its late bound moves the reservation to another worker") {
  RoomPlan Plan;
  auto Round = [&](TimePoint EndOnA, TimePoint Now) {
    Plan.beginRound({{"a", cores(0), {{EndOnA, cores(8)}}},
                     {"b", cores(0), {{Start + 2s, cores(8)}}}},
                    Now);
    auto Found = Plan.reserve(Wide, cores(8), onAny);
    Plan.endRound();
    return Found ? Found->first : size_t{99};
  };
  CHECK(Round(Start + 1s, Start) == 0);
  // A little later than on the other worker is no reason to move.
  CHECK(Round(Start + 2050ms, Start + 1s) == 0);
  CHECK(Round(Start + 3s, Start + 1500ms) == 1);
  CHECK(Plan.counts().Made == 1);
  CHECK(Plan.counts().Moved == 1);
  Plan.onStarted(Wide, Start + 2s);
  CHECK(Plan.counts().Missed == 1);
  CHECK(Plan.reservations() == 0);
}

namespace {

/// A worker on which runs end at times that are drawn when they start.
struct VirtualWorker {
  struct Run {
    Resources Reserved;
    TimePoint ExpectedEnd;
    TimePoint End;
  };
  Resources Free;
  std::vector<Run> Runs;

  PlannedWorker planned(const std::string &Id) const {
    PlannedWorker Out{.Id = Id, .Free = Free, .Releases = {}};
    for (const Run &Value : Runs)
      Out.Releases.push_back({Value.ExpectedEnd, Value.Reserved});
    return Out;
  }
  void start(const Run &Value) {
    Free -= Value.Reserved;
    Runs.push_back(Value);
  }
  void endRuns(TimePoint Now) {
    std::erase_if(Runs, [&](const Run &Value) {
      if (Value.End > Now)
        return false;
      Free += Value.Reserved;
      return true;
    });
  }
};

} // namespace

// Guards against small tasks that take the room for which a large one waits,
// one after the other.
TEST_CASE(
    "backfilled tasks that end by their late bound delay no waiting task") {
  for (unsigned Seed = 0; Seed < 200; ++Seed) {
    std::mt19937 Random(Seed);
    auto Draw = [&](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    std::vector<VirtualWorker> Workers(3);
    for (VirtualWorker &Worker : Workers) {
      Worker.Free = cores(16);
      for (int Run = 0; Run < 4; ++Run) {
        TimePoint End = Start + milliseconds(Draw(200, 2000));
        Worker.start({cores(4), End, End});
      }
    }
    RoomPlan Plan;
    std::optional<TimePoint> Promised;
    int Backfilled = 0;
    TimePoint Now = Start;
    for (;; Now += RoundInterval) {
      std::vector<PlannedWorker> Planned;
      for (VirtualWorker &Worker : Workers) {
        Worker.endRuns(Now);
        Planned.push_back(Worker.planned(std::to_string(Planned.size())));
      }
      Plan.beginRound(std::move(Planned), Now);
      auto Found = Plan.reserve(Wide, cores(12), onAny);
      REQUIRE(Found);
      auto &[Index, Room] = *Found;
      if (!Promised)
        Promised = Room.At;
      // The end of a run is seen by the next round.
      REQUIRE(Room.At < *Promised + RoundInterval);
      if (cores(12).fits(Workers[Index].Free))
        break;
      // Small tasks arrive all the time and end by their late bounds.
      for (size_t Worker = 0; Worker < Workers.size(); ++Worker) {
        Resources Demand = cores(Draw(1, 4));
        TimePoint Late = Now + milliseconds(Draw(100, 1500));
        bool MayStart = Demand.fits(Workers[Worker].Free) &&
                        (Worker != Index || Room.admits(Demand, Late));
        if (!MayStart)
          continue;
        if (Worker == Index) {
          Room.take(Demand, Late);
          ++Backfilled;
        }
        milliseconds Early(Draw(0, 90));
        Workers[Worker].start({Demand, Late - Early, Late - Early});
      }
      Plan.endRound();
    }
    CHECK(Now < *Promised + RoundInterval);
    if (Seed == 0)
      CHECK(Backfilled > 0);
  }
}
