// Tests of the choice of fill runs that move to another worker.

#include "libbasilchute/fillmoves.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A run of 3500 millicores that has 1.9 s of work left at full pace.
FillMoveRun run(double Usage, double LaterUsage = 0) {
  return {.Millicores = 3500,
          .Usage = Usage,
          .LaterUsage = LaterUsage,
          .RemainingWork = 6650,
          .WorkSinceCheckpoint = 500,
          .ObservedFor = 2s};
}

} // namespace

TEST_CASE("A starved run ends later here than elsewhere") {
  CHECK(secondsHere(run(350)) == doctest::Approx(19));
  CHECK(secondsElsewhere(run(350), 1) == doctest::Approx(0.4 + 7150 / 3500.));
  CHECK(secondsElsewhere(run(350), 0.5) == doctest::Approx(0.4 + 7150 / 1750.));
  CHECK(isWorthMoving(run(350), 0.5));
}

// Guards against restarts at the peak of a serving load that is about to fall.
TEST_CASE("A run is not moved for a small or passing loss") {
  CHECK_FALSE(isWorthMoving(run(2400), 1));
  CHECK_FALSE(isWorthMoving(run(1400, 3500), 1));
  CHECK(isWorthMoving(run(1400, 1400), 1));
}

TEST_CASE("A run that is nearly done stays") {
  FillMoveRun Run = run(700);
  Run.RemainingWork = 300;
  CHECK_FALSE(isWorthMoving(Run, 1));
}

// Guards against moves that lose work without ending any step earlier.
TEST_CASE("Only the runs that hold up their step are moved") {
  FillMoveRun Last = run(200);
  FillMoveRun Other = run(900);
  CHECK(runsToMove({Other, Last}) == std::vector<size_t>{1});
  Other.Step = 1;
  CHECK(runsToMove({Other, Last}) == std::vector<size_t>{1, 0});
  Other.Weight = 1;
  Last.Weight = 0.05;
  CHECK(runsToMove({Other, Last}) == std::vector<size_t>{0});
}

TEST_CASE("A run is moved at most twice, and not before it was observed") {
  FillMoveRun Run = run(200);
  Run.Moves = 1;
  CHECK(runsToMove({Run}).size() == 1);
  Run.Moves = 2;
  CHECK(runsToMove({Run}).empty());
  Run.Moves = 0;
  Run.ObservedFor = 900ms;
  CHECK(runsToMove({Run}).empty());
  Run.ObservedFor = 2s;
  Run.CanMove = false;
  CHECK(runsToMove({Run}).empty());
}

TEST_CASE("Moves are bounded per second") {
  FillMoveBudget Budget;
  TimePoint Now{1h};
  CHECK(Budget.available(Now) == 20);
  for (int Move = 0; Move < 20; ++Move)
    Budget.spend();
  CHECK(Budget.available(Now) == 0);
  CHECK(Budget.available(Now + 100ms) == 2);
}

// Guards against estimates that are off by up to 90%: a run's own progress
// tells how much work it needs.
TEST_CASE("Remaining work follows from progress, or from the estimate") {
  FillRunMeter Meter;
  TimePoint Now{1h};
  for (int Report = 0; Report <= 8; ++Report)
    Meter.onReport(2000, 10 + 2 * Report, Report == 4, Now + Report * 250ms);
  CHECK(Meter.observedFor() == 2s);
  CHECK(Meter.usage() == doctest::Approx(2000));
  // 16% took 4000 millicore-seconds.
  CHECK(Meter.remainingWork(1000) == doctest::Approx(4000 * 74 / 16.));
  CHECK(Meter.workSinceCheckpoint() == doctest::Approx(2000));
  // Reservations weigh like 2.5 s, the measurement lasted 2 s.
  CHECK(Meter.laterUsage(3500) == doctest::Approx((3500 * 2.5 + 4000) / 4.5));
  FillRunMeter New;
  New.onReport(0, 0, false, Now);
  CHECK(New.remainingWork(1000) == doctest::Approx(1000));
}
