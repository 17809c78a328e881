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
constexpr milliseconds SampleInterval{100};
constexpr double HarmfulSlope = 7.0;
constexpr double HarmlessSlope = 0.4;

/// The planner under test leaves this headroom to serving tasks.
constexpr PacingOptions Options{.MinHeadroom = 1.2};

/// Returns a headroom without fill tasks that varies periodically, as the load
/// of a group's users does.
double headroomWithoutFill(TimePoint Now) {
  double Seconds =
      std::chrono::duration<double>(Now.time_since_epoch()).count();
  return 2.6 + 0.9 * std::sin(2 * M_PI * Seconds / 14);
}

/// Trains a model with \p Count measurements in which only one of two fill
/// kinds interferes. The tail is rounded to whole milliseconds. Returns the
/// time of the last measurement.
TimePoint train(InterferenceModel &Model, int Count) {
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Share(0, 0.15);
  std::normal_distribution<double> Noise(0, 0.15);
  TimePoint Now{std::chrono::hours(1)};
  for (int Sample = 0; Sample < Count; ++Sample) {
    Now += SampleInterval;
    double HarmfulShare = Share(Random);
    double HarmlessShare = Share(Random);
    double Headroom = headroomWithoutFill(Now) - HarmfulSlope * HarmfulShare -
                      HarmlessSlope * HarmlessShare + Noise(Random);
    double Tail = std::round(static_cast<double>(Target.count()) /
                             std::max(0.1, Headroom));
    Model.observe({.Kind = Serving,
                   .Group = Group,
                   .Tail = milliseconds(static_cast<int64_t>(Tail)),
                   .Target = Target},
                  Now, {{Harmful, HarmfulShare}, {Harmless, HarmlessShare}});
  }
  return Now;
}

} // namespace

namespace {

/// Trains a model with measurements of one group while the share of the fill
/// tasks alternates.
void observeAlternating(InterferenceModel &Model, int Samples, double Slope) {
  TimePoint Now{};
  for (int Sample = 0; Sample < Samples; ++Sample) {
    double Share = Sample % 4 * 0.1;
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

// Guards against fill kinds that share one slope: of the 30 images of fill
// tasks of a large fleet eleven did, so that harmless tasks were paced down
// beside serving tasks and harmful ones worked on.
TEST_CASE("Each of 30 kinds of fill task has a slope of its own") {
  constexpr int FillKinds = 30;
  auto SlopeOf = [](TaskKind Fill) {
    return Fill % 4 == 0 ? HarmfulSlope : HarmlessSlope;
  };
  InterferenceModel Model;
  std::mt19937_64 Random(3);
  std::uniform_real_distribution<double> Share(0, 0.15);
  std::uniform_int_distribution<int> Kind(0, FillKinds - 1);
  std::normal_distribution<double> Noise(0, 0.15);
  TimePoint Now{std::chrono::hours(1)};
  for (int Sample = 0; Sample < 3000; ++Sample) {
    Now += SampleInterval;
    FillShares Shares{{Kind(Random), Share(Random)},
                      {Kind(Random), Share(Random)}};
    double Headroom = headroomWithoutFill(Now) + Noise(Random);
    for (const auto &[Fill, Used] : Shares)
      Headroom -= SlopeOf(Fill) * Used;
    double Tail = std::round(static_cast<double>(Target.count()) /
                             std::max(0.1, Headroom));
    Model.observe({.Kind = Serving,
                   .Group = Group,
                   .Tail = milliseconds(static_cast<int64_t>(Tail)),
                   .Target = Target},
                  Now, Shares);
  }
  for (TaskKind Fill = 0; Fill < FillKinds; ++Fill) {
    CAPTURE(Fill);
    CHECK(std::abs(Model.slope(Serving, Fill) - SlopeOf(Fill)) < 2.5);
  }
}

TEST_CASE("A certain slope of another model outweighs an uncertain own slope") {
  InterferenceModel Trained;
  observeAlternating(Trained, 200, 6.0);
  InterferenceModel Other;
  observeAlternating(Other, 3, 6.0);
  double Before = Other.slope(0, 1);
  Other.setPeerSlopes(7, Trained.pairs());
  CHECK(Other.slope(0, 1) > 5.0);
  CHECK(Other.slope(0, 1) > Before);
}

TEST_CASE("pairs() leaves out the slopes of other models") {
  InterferenceModel Trained;
  observeAlternating(Trained, 200, 6.0);
  InterferenceModel Other;
  observeAlternating(Other, 3, 6.0);
  double Own = Other.pairs().front().Slope;
  Other.setPeerSlopes(7, Trained.pairs());
  CHECK(Other.pairs().front().Slope == doctest::Approx(Own));
  // Adding the same slopes a second time must not raise their weight.
  double Once = Other.slope(0, 1);
  Other.setPeerSlopes(7, Trained.pairs());
  CHECK(Other.slope(0, 1) == doctest::Approx(Once));
}

TEST_CASE("Headroom is estimated by the slopes of other models") {
  InterferenceModel Trained;
  observeAlternating(Trained, 200, 6.0);
  InterferenceModel Other;
  Other.setPeerSlopes(7, Trained.pairs());
  // The group is only observed next to a fill task. The slope tells how much of
  // its headroom the fill task takes.
  TimePoint Now{};
  for (int Sample = 0; Sample < 12; ++Sample) {
    Now += 250ms;
    Other.observe({.Kind = 0, .Group = 3, .Tail = 125ms, .Target = 200ms}, Now,
                  {{1, 0.2}});
  }
  CHECK(Other.headroom(3, Now, 0ms) == doctest::Approx(2.8).epsilon(0.08));
}

TEST_CASE("Harmful and harmless fill kinds get different slopes") {
  InterferenceModel Model;
  train(Model, 300);
  CHECK(Model.slope(Serving, Harmful) > 5.0);
  CHECK(Model.slope(Serving, Harmful) < 9.0);
  CHECK(Model.slope(Serving, Harmless) < 1.5);
}

// The load of serving tasks varies within seconds. Its effect on the tail must
// not be attributed to the fill tasks on the same worker.
TEST_CASE("The headroom of a group is tracked while its load varies") {
  InterferenceModel Model;
  TimePoint Now = train(Model, 300);
  double Forecast = Model.headroom(Group, Now, milliseconds(0));
  CHECK(std::abs(Forecast - headroomWithoutFill(Now)) < 0.4);
  Forecast = Model.headroom(Group, Now, milliseconds(1000));
  double Lowest = std::min(headroomWithoutFill(Now),
                           headroomWithoutFill(Now + milliseconds(1000)));
  CHECK(std::abs(Forecast - Lowest) < 0.6);
}

TEST_CASE("A new group of a known kind uses the known slopes") {
  InterferenceModel Model;
  TimePoint Now = train(Model, 300);
  double WithoutFill = Model.expectedHeadroom(Serving, 9, Now, {});
  double WithFill = Model.expectedHeadroom(Serving, 9, Now, {{Harmful, 0.1}});
  CHECK(WithoutFill - WithFill > 0.5);
  CHECK(WithoutFill - WithFill < 0.9);
}

TEST_CASE("A tail far above its target does not change the slopes") {
  InterferenceModel Model;
  TimePoint Now = train(Model, 300);
  double Before = Model.slope(Serving, Harmful);
  for (int Sample = 0; Sample < 20; ++Sample)
    Model.observe({.Kind = Serving,
                   .Group = Group,
                   .Tail = milliseconds(900),
                   .Target = Target},
                  Now, {{Harmful, 1.0}});
  CHECK(Model.slope(Serving, Harmful) == doctest::Approx(Before));
}

TEST_CASE("A measurement without a tail or a target is ignored") {
  InterferenceModel Model;
  TimePoint Now = train(Model, 300);
  double Before = Model.headroom(Group, Now, milliseconds(0));
  Model.observe({.Kind = Serving, .Group = Group, .Target = Target}, Now, {});
  Model.observe({.Kind = Serving, .Group = Group, .Tail = milliseconds(5)}, Now,
                {});
  CHECK(Model.headroom(Group, Now, milliseconds(0)) == doctest::Approx(Before));
}

TEST_CASE("A pair without measurements is assumed to interfere") {
  InterferenceModel Model;
  CHECK(Model.slope(5, 6) > 0);
}

// In a burst of fill tasks next to serving tasks, most images do not interfere
// and must keep full pace while the others are stopped.
TEST_CASE("Only harmful fill tasks are slowed") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces = planPaces({{.Kind = Serving, .Headroom = 1.2}},
                                     {{.Kind = Harmful, .FullShare = 0.2},
                                      {.Kind = Harmless, .FullShare = 0.01}},
                                     Model, Options);
  CHECK(Paces[0] == 0);
  CHECK(Paces[1] == 100);
}

TEST_CASE("Fill tasks are slowed no more than is necessary") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 1.9}},
                {{.Kind = Harmful, .FullShare = 0.2}}, Model, Options);
  CHECK(Paces[0] > 30);
  CHECK(Paces[0] < 70);
}

TEST_CASE("Fill tasks regain full pace when headroom suffices") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces = planPaces(
      {{.Kind = Serving, .Headroom = 2.5}},
      {{.Kind = Harmful, .Pace = 0, .FullShare = 0.05}}, Model, Options);
  CHECK(Paces[0] == 100);
}

TEST_CASE("All fill tasks stop when the tail stays over the target") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving,
                  .Headroom = 1.5,
                  .TimeOverTarget = milliseconds(2000)}},
                {{.Kind = Harmless, .FullShare = 0.01}}, Model, Options);
  CHECK(Paces[0] == 0);
}

// The load of serving tasks varies without fill tasks, too. Stopping all fill
// tasks at each peak cost a quarter of their throughput.
TEST_CASE(
    "Fill tasks keep their pace if the serving task's load is the cause") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 0.6}},
                {{.Kind = Harmful, .FullShare = 0.05}}, Model, Options);
  CHECK(Paces[0] == 100);
}

// The forecast of a task's own load can be wrong. While its tail stays over the
// target, fill tasks that interfere with it must not run.
TEST_CASE("A task that stays over its target stops harmful fill tasks") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces = planPaces({{.Kind = Serving,
                                       .Headroom = 0.6,
                                       .TimeOverTarget = milliseconds(2000)}},
                                     {{.Kind = Harmful, .FullShare = 0.05},
                                      {.Kind = Harmless, .FullShare = 0.005}},
                                     Model, Options);
  CHECK(Paces[0] == 0);
  CHECK(Paces[1] == 100);
}

// After a loss of capacity the backlog holds jobs that are too late to have any
// value. Any interference by their fill tasks is at the expense of jobs that
// can still end in time. The bound on interference was exceeded where the
// forecast attributed a tail over the target to the task's own load for 4 s.
TEST_CASE("A task that stays over its target for long stops all fill tasks") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces = planPaces({{.Kind = Serving,
                                       .Headroom = 0.6,
                                       .TimeOverTarget = milliseconds(2500)}},
                                     {{.Kind = Harmful, .FullShare = 0.05},
                                      {.Kind = Harmless, .FullShare = 0.005}},
                                     Model, Options);
  CHECK(Paces == std::vector<int>{0, 0});
}

// The backlog of requests keeps the tail long after fill tasks were stopped.
// Fill tasks that regained their pace at once made the backlog grow further.
TEST_CASE("No fill task is sped up while a tail is above its target") {
  InterferenceModel Model;
  train(Model, 300);
  FillLoad Stopped{.Kind = Harmful, .Pace = 0, .FullShare = 0.05};
  ServingLoad Load{
      .Kind = Serving, .Headroom = 0.8, .TimeOverTarget = milliseconds(300)};
  CHECK(planPaces({Load}, {Stopped}, Model, Options)[0] == 0);
  Load = {.Kind = Serving, .Headroom = 2.5};
  CHECK(planPaces({Load}, {Stopped}, Model, Options)[0] == 100);
}

// Fill tasks and short tasks together used a whole worker, and every serving
// task on it exceeded its target although no pair of kinds interferes.
TEST_CASE("Fill tasks together are limited to their part of the worker") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<FillLoad> Fills(4, {.Kind = Harmless, .FullShare = 0.2});
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 3.0}}, Fills, Model,
                {.MinHeadroom = 1.2, .MaxTotalShare = 0.4});
  for (int Pace : Paces)
    CHECK(Pace == 50);
  CHECK(planPaces({}, Fills, Model, {.MaxTotalShare = 0.4})[0] == 100);
  CHECK(planPaces({{.Kind = Serving, .Headroom = 3.0}}, Fills, Model,
                  {.MaxTotalShare = -0.1})[0] == 0);
}

TEST_CASE(
    "Of two equally harmful fill tasks the one with less weight is slowed") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<int> Paces =
      planPaces({{.Kind = Serving, .Headroom = 1.9}},
                {{.Kind = Harmful, .FullShare = 0.1},
                 {.Kind = Harmful, .FullShare = 0.1, .Weight = 0.05}},
                Model, Options);
  CHECK(Paces[0] == 100);
  CHECK(Paces[1] < 50);
}

// Small changes of the forecast must not cause an order for each fill task at
// each poll of the worker.
TEST_CASE("A small change of pace is not ordered") {
  InterferenceModel Model;
  train(Model, 300);
  ServingLoad Load{.Kind = Serving, .Headroom = 1.9};
  FillLoad Fill{.Kind = Harmful, .FullShare = 0.2};
  int First = planPaces({Load}, {Fill}, Model, Options)[0];
  Fill.Pace = First;
  Load.Headroom += 0.05;
  CHECK(planPaces({Load}, {Fill}, Model, Options)[0] == First);
}

// Without the slopes of the previous owner, a new owner of a shard has to learn
// them anew, and the serving tasks suffer meanwhile.
TEST_CASE("A successor takes over the slopes") {
  InterferenceModel Model;
  train(Model, 300);
  InterferenceModel Successor;
  for (const PairSlope &Pair : Model.pairs())
    Successor.restore(Pair);
  CHECK(Successor.slope(Serving, Harmful) ==
        doctest::Approx(Model.slope(Serving, Harmful)));
  CHECK(Successor.slope(Serving, Harmless) ==
        doctest::Approx(Model.slope(Serving, Harmless)));
  Successor.restore(
      {.Serving = Serving, .Fill = Harmful, .Slope = 99, .Variance = 1});
  CHECK(Successor.slope(Serving, Harmful) < 9.0);
  Successor.restore({.Serving = 7, .Fill = 8, .Slope = 99, .Variance = 0});
  CHECK(Successor.slope(7, 8) < 9.0);
}

TEST_CASE("headroomWithFill() ignores serving tasks without interference") {
  InterferenceModel Model;
  train(Model, 300);
  std::vector<ServingLoad> Loads = {{.Kind = Serving, .Headroom = 2.0}};
  double Headroom = headroomWithFill(Loads, Harmful, 0.1, Model);
  CHECK(Headroom > 1.0);
  CHECK(Headroom < 1.5);
  CHECK(headroomWithFill(Loads, Harmless, 0.005, Model) > 100);
}

// Guards against jobs that end late because runs of jobs that are too late to
// have value, or have time left, get the same part of a full worker.
TEST_CASE("Runs of less weight are slowed where processor time is short") {
  InterferenceModel Model;
  std::vector<FillLoad> Fills{{.FullShare = 0.2},
                              {.FullShare = 0.2, .Weight = 0.6},
                              {.FullShare = 0.2, .Weight = 0.05}};
  std::vector<int> Paces = planPaces({}, Fills, Model, {.AvailableShare = 0.2});
  CHECK(Paces[0] == 100);
  CHECK(Paces[1] == 60);
  CHECK(Paces[2] == 5);
  // Nothing is gained by slow runs if there is enough for all.
  for (int Pace : planPaces({}, Fills, Model, {.AvailableShare = 0.5}))
    CHECK(Pace == 100);
  // Runs of equal weight are left to the worker, which divides fairly.
  for (FillLoad &Fill : Fills)
    Fill.Weight = 0.05;
  for (int Pace : planPaces({}, Fills, Model, {.AvailableShare = 0.1}))
    CHECK(Pace == 100);
}
