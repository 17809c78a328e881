#include "basilchute/progress.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr TaskClass Quote = 0;
constexpr TaskClass Unknown = 3;

const std::vector<milliseconds> Siblings = {700ms, 800ms, 900ms};

ProgressWatch taught() {
  ProgressWatch Watch;
  for (int Each = 0; Each < 20; ++Each)
    Watch.ended(Quote, Each % 2 == 0 ? 600ms : 1000ms);
  return Watch;
}

} // namespace

TEST_CASE("The usual time of a class is the mean of its ends") {
  ProgressWatch Watch = taught();
  REQUIRE(Watch.usual(Quote));
  CHECK(*Watch.usual(Quote) > 750ms);
  CHECK(*Watch.usual(Quote) < 850ms);
  CHECK_FALSE(Watch.usual(Unknown));
}

// Tasks on a worker that turned slow take six times as long.
TEST_CASE("A run at a sixth of the usual speed lags") {
  ProgressWatch Watch = taught();
  CHECK(
      Watch.isLagging({.Class = Quote, .Age = 700ms, .Gained = 14}, Siblings));
}

// Tasks of one class differ by a factor of two or more; that alone is no
// reason to throw work away.
TEST_CASE("A large task does not lag") {
  ProgressWatch Watch = taught();
  CHECK_FALSE(
      Watch.isLagging({.Class = Quote, .Age = 700ms, .Gained = 35}, Siblings));
  CHECK_FALSE(
      Watch.isLagging({.Class = Quote, .Age = 1800ms, .Gained = 75}, Siblings));
}

// Jobs of one queue differ in size; their tasks are alike.
TEST_CASE("A run like the others of its step does not lag") {
  ProgressWatch Watch = taught();
  CHECK_FALSE(Watch.isLagging({.Class = Quote, .Age = 925ms, .Gained = 33},
                              {2600ms, 2900ms, 3100ms}));
  CHECK_FALSE(Watch.isLagging({.Class = Quote, .Age = 1500ms},
                              {2600ms, 2900ms, 3100ms}));
}

TEST_CASE("Without others of its step a run is not judged") {
  ProgressWatch Watch = taught();
  CHECK_FALSE(
      Watch.isLagging({.Class = Quote, .Age = 700ms, .Gained = 14}, {800ms}));
}

TEST_CASE("A run that stands still lags after the usual time") {
  ProgressWatch Watch = taught();
  CHECK_FALSE(Watch.isLagging({.Class = Quote, .Age = 700ms}, Siblings));
  CHECK(Watch.isLagging({.Class = Quote, .Age = 900ms}, Siblings));
}

TEST_CASE("A young run and an unknown class are not judged") {
  ProgressWatch Watch = taught();
  CHECK_FALSE(
      Watch.isLagging({.Class = Quote, .Age = 500ms, .Gained = 1}, Siblings));
  CHECK_FALSE(Watch.isLagging({.Class = Unknown, .Age = 60s}, Siblings));
}

TEST_CASE("A class is not judged by its first ends") {
  ProgressWatch Watch;
  for (int Each = 0; Each < 5; ++Each)
    Watch.ended(Quote, 100ms);
  CHECK_FALSE(
      Watch.isLagging({.Class = Quote, .Age = 5s, .Gained = 10}, Siblings));
}
