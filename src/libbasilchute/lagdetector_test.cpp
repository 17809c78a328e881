#include "basilchute/lagdetector.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr TaskClass Quote = 0;
constexpr TaskClass Unknown = 3;

const std::vector<milliseconds> Siblings = {700ms, 800ms, 900ms};

LagDetector trainedDetector() {
  LagDetector Detector;
  for (int Count = 0; Count < 20; ++Count)
    Detector.addCompletion(Quote, Count % 2 == 0 ? 600ms : 1000ms);
  return Detector;
}

} // namespace

TEST_CASE("The usual duration of a class is the mean over its completions") {
  LagDetector Detector = trainedDetector();
  REQUIRE(Detector.usualDuration(Quote));
  CHECK(*Detector.usualDuration(Quote) > 750ms);
  CHECK(*Detector.usualDuration(Quote) < 850ms);
  CHECK_FALSE(Detector.usualDuration(Unknown));
}

// Tasks on a worker that has become slow take six times as long.
TEST_CASE("A run at a sixth of the usual speed lags") {
  LagDetector Detector = trainedDetector();
  CHECK(Detector.isLagging({.Class = Quote, .Age = 700ms, .PercentGained = 14},
                           Siblings));
}

// The sizes of tasks of one class differ by a factor of two or more. Stopping a
// run only because its task is large would discard its work for nothing.
TEST_CASE("A run of a large task does not lag") {
  LagDetector Detector = trainedDetector();
  CHECK_FALSE(Detector.isLagging(
      {.Class = Quote, .Age = 700ms, .PercentGained = 35}, Siblings));
  CHECK_FALSE(Detector.isLagging(
      {.Class = Quote, .Age = 1800ms, .PercentGained = 75}, Siblings));
}

// Jobs of one queue differ in size, while the tasks of one step are alike.
TEST_CASE("A run that is as slow as its siblings does not lag") {
  LagDetector Detector = trainedDetector();
  CHECK_FALSE(
      Detector.isLagging({.Class = Quote, .Age = 925ms, .PercentGained = 33},
                         {2600ms, 2900ms, 3100ms}));
  CHECK_FALSE(Detector.isLagging({.Class = Quote, .Age = 1500ms},
                                 {2600ms, 2900ms, 3100ms}));
}

TEST_CASE("A run with too few siblings does not lag") {
  LagDetector Detector = trainedDetector();
  CHECK_FALSE(Detector.isLagging(
      {.Class = Quote, .Age = 700ms, .PercentGained = 14}, {800ms}));
}

TEST_CASE("A run without progress lags after the usual duration") {
  LagDetector Detector = trainedDetector();
  CHECK_FALSE(Detector.isLagging({.Class = Quote, .Age = 700ms}, Siblings));
  CHECK(Detector.isLagging({.Class = Quote, .Age = 900ms}, Siblings));
}

TEST_CASE("A young run and a run of an unknown class do not lag") {
  LagDetector Detector = trainedDetector();
  CHECK_FALSE(Detector.isLagging(
      {.Class = Quote, .Age = 500ms, .PercentGained = 1}, Siblings));
  CHECK_FALSE(Detector.isLagging({.Class = Unknown, .Age = 60s}, Siblings));
}

TEST_CASE("A run does not lag until its class has enough completions") {
  LagDetector Detector;
  for (int Count = 0; Count < 5; ++Count)
    Detector.addCompletion(Quote, 100ms);
  CHECK_FALSE(Detector.isLagging(
      {.Class = Quote, .Age = 5s, .PercentGained = 10}, Siblings));
}
