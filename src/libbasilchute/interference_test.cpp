#include "basilchute/interference.h"
#include "basilchute/pacing.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr TaskKind Serving = 0;
constexpr TaskKind Harmful = 1;
constexpr TaskKind Harmless = 2;
constexpr LoadGroup Group = 0;
constexpr milliseconds Target{45};
constexpr milliseconds Every{100};
constexpr double HarmfulSlope = 7.0;
constexpr double HarmlessSlope = 0.4;

/// The headroom that these cases leave.
constexpr PacingOptions Options{.Floor = 1.2};

/// Headroom without fill tasks: the users of a group come in waves.
double ownHeadroom(TimePoint At) {
  double Seconds = std::chrono::duration<double>(At.time_since_epoch()).count();
  return 2.6 + 0.9 * std::sin(2 * M_PI * Seconds / 14);
}

/// Measurements in which only one of two fill kinds does harm. The tail comes
/// in whole milliseconds.
TimePoint teach(InterferenceModel &Model, int Count) {
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Share(0, 0.15);
  std::normal_distribution<double> Noise(0, 0.15);
  TimePoint Now{std::chrono::hours(1)};
  for (int Each = 0; Each < Count; ++Each) {
    Now += Every;
    double Bad = Share(Random);
    double Good = Share(Random);
    double Headroom = ownHeadroom(Now) - HarmfulSlope * Bad -
                      HarmlessSlope * Good + Noise(Random);
    double Tail = std::round(static_cast<double>(Target.count()) /
                             std::max(0.1, Headroom));
    Model.observe({.Kind = Serving,
                   .Group = Group,
                   .Tail = milliseconds(static_cast<int64_t>(Tail)),
                   .Target = Target},
                  Now, {{Harmful, Bad}, {Harmless, Good}});
  }
  return Now;
}

} // namespace

namespace {

/// Feeds a model with tails of one group beside alternating fill tasks.
void watch(InterferenceModel &Model, int Samples, double Slope) {
  TimePoint Now{};
  for (int Each = 0; Each < Samples; ++Each) {
    double Share = Each % 4 * 0.1;
    double Headroom = 2.5 - Slope * Share;
    Now += 250ms;
    Model.observe({.Kind = 0,
                   .Group = 0,
                   .Tail = milliseconds(static_cast<int>(200 / Headroom)),
                   .Target = 200ms},
                  Now, {{1, Share}});
  }
}

} // namespace

TEST_CASE("What another model is certain of counts more than a first guess") {
  InterferenceModel Seasoned;
  watch(Seasoned, 200, 6.0);
  InterferenceModel Fresh;
  watch(Fresh, 3, 6.0);
  double Alone = Fresh.slope(0, 1);
  Fresh.learnFrom(7, Seasoned.pairs());
  CHECK(Fresh.slope(0, 1) > 5.0);
  CHECK(Fresh.slope(0, 1) > Alone);
}

TEST_CASE("A model tells others only what it measured itself") {
  InterferenceModel Seasoned;
  watch(Seasoned, 200, 6.0);
  InterferenceModel Fresh;
  watch(Fresh, 3, 6.0);
  double Own = Fresh.pairs().front().Slope;
  Fresh.learnFrom(7, Seasoned.pairs());
  CHECK(Fresh.pairs().front().Slope == doctest::Approx(Own));
  // The same news twice does not make it surer.
  double Once = Fresh.slope(0, 1);
  Fresh.learnFrom(7, Seasoned.pairs());
  CHECK(Fresh.slope(0, 1) == doctest::Approx(Once));
}

TEST_CASE("Headroom follows the shared slopes") {
  InterferenceModel Seasoned;
  watch(Seasoned, 200, 6.0);
  InterferenceModel Fresh;
  Fresh.learnFrom(7, Seasoned.pairs());
  // Only ever seen beside a fill task: the slope says what is left without it.
  TimePoint Now{};
  for (int Each = 0; Each < 12; ++Each) {
    Now += 250ms;
    Fresh.observe({.Kind = 0, .Group = 3, .Tail = 125ms, .Target = 200ms}, Now,
                  {{1, 0.2}});
  }
  CHECK(Fresh.headroom(3, Now, 0ms) == doctest::Approx(2.8).epsilon(0.08));
}

TEST_CASE("The model tells harmful fill tasks from harmless ones") {
  InterferenceModel Model;
  teach(Model, 300);
  CHECK(Model.slope(Serving, Harmful) > 5.0);
  CHECK(Model.slope(Serving, Harmful) < 9.0);
  CHECK(Model.slope(Serving, Harmless) < 1.5);
}

// The load of watched tasks swings within seconds; what it does must not be
// taken for the doing of the fill tasks beside them.
TEST_CASE("The headroom of a group is followed through its swings") {
  InterferenceModel Model;
  TimePoint Now = teach(Model, 300);
  double Seen = Model.headroom(Group, Now, milliseconds(0));
  CHECK(std::abs(Seen - ownHeadroom(Now)) < 0.4);
  Seen = Model.headroom(Group, Now, milliseconds(1000));
  double Least =
      std::min(ownHeadroom(Now), ownHeadroom(Now + milliseconds(1000)));
  CHECK(std::abs(Seen - Least) < 0.6);
}

TEST_CASE("A new group of a known kind needs no new slopes") {
  InterferenceModel Model;
  TimePoint Now = teach(Model, 300);
  double Alone = Model.expected(Serving, 9, Now, {});
  double Beside = Model.expected(Serving, 9, Now, {{Harmful, 0.1}});
  CHECK(Alone - Beside > 0.5);
  CHECK(Alone - Beside < 0.9);
}

TEST_CASE("A tail far above its target does not change the slopes") {
  InterferenceModel Model;
  TimePoint Now = teach(Model, 300);
  double Before = Model.slope(Serving, Harmful);
  for (int Each = 0; Each < 20; ++Each)
    Model.observe({.Kind = Serving,
                   .Group = Group,
                   .Tail = milliseconds(900),
                   .Target = Target},
                  Now, {{Harmful, 1.0}});
  CHECK(Model.slope(Serving, Harmful) == doctest::Approx(Before));
}

TEST_CASE("A measurement without a tail or a target is ignored") {
  InterferenceModel Model;
  TimePoint Now = teach(Model, 300);
  double Before = Model.headroom(Group, Now, milliseconds(0));
  Model.observe({.Kind = Serving, .Group = Group, .Target = Target}, Now, {});
  Model.observe({.Kind = Serving, .Group = Group, .Tail = milliseconds(5)}, Now,
                {});
  CHECK(Model.headroom(Group, Now, milliseconds(0)) == doctest::Approx(Before));
}

TEST_CASE("A kind that was never seen is assumed to do some harm") {
  InterferenceModel Model;
  CHECK(Model.slope(5, 6) > 0);
}

// A burst of proposals beside watched tasks: most images harm nobody and must
// go on at full pace while the others stop.
TEST_CASE("Only the fill tasks that harm are slowed") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces({{.Kind = Serving, .Headroom = 1.2}},
                                     {{.Kind = Harmful, .FullShare = 0.2},
                                      {.Kind = Harmless, .FullShare = 0.01}},
                                     Model, Options);
  CHECK(Paces[0] == 0);
  CHECK(Paces[1] == 100);
}

TEST_CASE("Fill tasks are slowed no more than is needed") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 1.9}},
                {{.Kind = Harmful, .FullShare = 0.2}}, Model, Options);
  CHECK(Paces[0] > 30);
  CHECK(Paces[0] < 70);
}

TEST_CASE("Slowed fill tasks come back when the tail has room") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces(
      {{.Kind = Serving, .Headroom = 2.5}},
      {{.Kind = Harmful, .Pace = 0, .FullShare = 0.05}}, Model, Options);
  CHECK(Paces[0] == 100);
}

TEST_CASE("After some time over the target all fill tasks stop") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces(
      {{.Kind = Serving, .Headroom = 1.5, .Over = milliseconds(2000)}},
      {{.Kind = Harmless, .FullShare = 0.01}}, Model, Options);
  CHECK(Paces[0] == 0);
}

// Watched tasks swing by themselves; stopping all proposals at each swing cost
// a quarter of their throughput.
TEST_CASE("Fill tasks go on where the serving task's own load is the cause") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 0.6}},
                {{.Kind = Harmful, .FullShare = 0.05}}, Model, Options);
  CHECK(Paces[0] == 100);
}

// The forecast of a task's own load can be wrong: beside a task that stays over
// its target nothing that harms it goes on.
TEST_CASE("A task that stays over its target stops what harms it") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces(
      {{.Kind = Serving, .Headroom = 0.6, .Over = milliseconds(2000)}},
      {{.Kind = Harmful, .FullShare = 0.05},
       {.Kind = Harmless, .FullShare = 0.005}},
      Model, Options);
  CHECK(Paces[0] == 0);
  CHECK(Paces[1] == 100);
}

// After a loss the backlog holds jobs that are worth nothing any more; what
// they do beside a watched task is taken from those that can still end in time.
// HARM broke where the forecast blamed the task's own load for 4 s.
TEST_CASE("Beside a task that stays over its target for long nothing goes on") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces = planPaces(
      {{.Kind = Serving, .Headroom = 0.6, .Over = milliseconds(2500)}},
      {{.Kind = Harmful, .FullShare = 0.05},
       {.Kind = Harmless, .FullShare = 0.005}},
      Model, Options);
  CHECK(Paces == std::vector<int>{0, 0});
}

// What has piled up keeps the tail long after the fill tasks were stopped; they
// came back at once and piled up more.
TEST_CASE("Nothing is sped up while a tail is above its target") {
  InterferenceModel Model;
  teach(Model, 300);
  FillLoad Stopped{.Kind = Harmful, .Pace = 0, .FullShare = 0.05};
  ServingLoad Load{.Kind = Serving, .Headroom = 0.8, .Over = milliseconds(300)};
  CHECK(planPaces({Load}, {Stopped}, Model, Options)[0] == 0);
  Load = {.Kind = Serving, .Headroom = 2.5};
  CHECK(planPaces({Load}, {Stopped}, Model, Options)[0] == 100);
}

// Fill tasks and short tasks together took a whole worker, and every serving
// task on it went over its target although no pair of kinds is harmful.
TEST_CASE("Fill tasks share the room that is left beside serving tasks") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<FillLoad> Fills(4, {.Kind = Harmless, .FullShare = 0.2});
  std::vector<int> Paces = planPaces({{.Kind = Serving, .Headroom = 3.0}},
                                     Fills, Model, {.Floor = 1.2, .Room = 0.4});
  for (int Each : Paces)
    CHECK(Each == 50);
  CHECK(planPaces({}, Fills, Model, {.Room = 0.4})[0] == 100);
  CHECK(planPaces({{.Kind = Serving, .Headroom = 3.0}}, Fills, Model,
                  {.Room = -0.1})[0] == 0);
}

TEST_CASE("Of two fill tasks that harm alike the one worth less is slowed") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 1.9}},
                {{.Kind = Harmful, .FullShare = 0.1},
                 {.Kind = Harmful, .FullShare = 0.1, .Weight = 0.05}},
                Model, Options);
  CHECK(Paces[0] == 100);
  CHECK(Paces[1] < 50);
}

// Small changes of the forecast must not cost an order for each fill task at
// each look.
TEST_CASE("A small change of pace is not ordered") {
  InterferenceModel Model;
  teach(Model, 300);
  ServingLoad Load{.Kind = Serving, .Headroom = 1.9};
  FillLoad Fill{.Kind = Harmful, .FullShare = 0.2};
  int First = planPaces({Load}, {Fill}, Model, Options)[0];
  Fill.Pace = First;
  Load.Headroom += 0.05;
  CHECK(planPaces({Load}, {Fill}, Model, Options)[0] == First);
}

// A new owner of a shard would else learn from the start, at the cost of the
// tasks that it serves.
TEST_CASE("What was learned is handed to a successor") {
  InterferenceModel Model;
  teach(Model, 300);
  InterferenceModel Next;
  for (const PairSlope &Each : Model.pairs())
    Next.restore(Each);
  CHECK(Next.slope(Serving, Harmful) ==
        doctest::Approx(Model.slope(Serving, Harmful)));
  CHECK(Next.slope(Serving, Harmless) ==
        doctest::Approx(Model.slope(Serving, Harmless)));
  Next.restore(
      {.Serving = Serving, .Fill = Harmful, .Slope = 99, .Variance = 1});
  CHECK(Next.slope(Serving, Harmful) < 9.0);
  Next.restore({.Serving = 7, .Fill = 8, .Slope = 99, .Variance = 0});
  CHECK(Next.slope(7, 8) < 9.0);
}

TEST_CASE("A worker is weighed by the serving tasks that the task harms") {
  InterferenceModel Model;
  teach(Model, 300);
  std::vector<ServingLoad> Loads = {{.Kind = Serving, .Headroom = 2.0}};
  double Beside = headroomBeside(Loads, Harmful, 0.1, Model);
  CHECK(Beside > 1.0);
  CHECK(Beside < 1.5);
  CHECK(headroomBeside(Loads, Harmless, 0.005, Model) > 100);
}
