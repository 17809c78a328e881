// Tests of the choice of workers for fill tasks.

#include "libbasilchute/fillplacement.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

constexpr FillPlacementOptions Measured{.IsMeasured = true};
constexpr FillTask Task{.Millicores = 3500};

/// A worker that leaves \p Left millicores to fill tasks, of which \p Tasks are
/// there.
FillPlace place(double Left, int Tasks, double Load = 0) {
  FillPlace Out{.Load = Load, .Headroom = 2, .Room = FillRoom(Left)};
  for (int Index = 0; Index < Tasks; ++Index)
    Out.Room.add(Task);
  return Out;
}

} // namespace

// Guards against the worker with the least reserved load, whose serving tasks
// use more than others'.
TEST_CASE("A fill task goes where it gets the larger share") {
  FillPlace Reserved = place(16000, 2, 0.9);
  FillPlace Busy = place(6000, 1, 0.5);
  CHECK(fillPlaceCost(Task, Reserved, Measured) <
        fillPlaceCost(Task, Busy, Measured));
  CHECK(fillPlaceCost(Task, Reserved, {}) > fillPlaceCost(Task, Busy, {}));
}

TEST_CASE("A fill task waits where it would get less than two thirds") {
  CHECK(admitsFill(Task, place(7100, 2), Measured));
  CHECK_FALSE(admitsFill(Task, place(6900, 2), Measured));
  CHECK_FALSE(admitsFill(Task, place(0, 0), Measured));
}

TEST_CASE("Harm to serving tasks counts as with reservations") {
  FillPlace Harmed = place(20000, 0);
  Harmed.Headroom = 1.2;
  CHECK(admitsFill(Task, Harmed, Measured));
  CHECK(fillPlaceCost(Task, Harmed, Measured) >
        fillPlaceCost(Task, place(20000, 3), Measured));
  Harmed.Headroom = 1.1;
  CHECK_FALSE(admitsFill(Task, Harmed, Measured));
}

// Guards against new jobs that wait behind jobs whose end is of no value.
TEST_CASE("Tasks of jobs without value take little room from others") {
  FillPlace Place = place(7000, 0);
  for (int Index = 0; Index < 4; ++Index)
    Place.Room.add({.Millicores = 3500, .Weight = fillUrgency(3)});
  CHECK(admitsFill(Task, Place, Measured));
  CHECK(Place.Room.shareFor(Task) == doctest::Approx(1));
  CHECK(Place.Room.shareFor({.Millicores = 3500, .Weight = ValuelessWeight}) <
        0.5);
}

TEST_CASE("A job weighs more until its target, and little without value") {
  CHECK(fillUrgency(0) == doctest::Approx(MinFillUrgency));
  CHECK(fillUrgency(0.9) > fillUrgency(0.5));
  CHECK(fillUrgency(1) == doctest::Approx(1));
  CHECK(fillUrgency(2.9) == doctest::Approx(1));
  CHECK(fillUrgency(3) == doctest::Approx(ValuelessWeight));
}
