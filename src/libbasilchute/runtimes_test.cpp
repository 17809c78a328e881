#include "libbasilchute/jobrows.h"
#include "libbasilchute/runtimes.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const RunTimeKey Key{.Queue = "contact-match", .Image = "match", .Step = 1};

const RunTimeKey Unknown{.Queue = "other", .Image = "x", .Step = 0};

/// Adds \p Count runs of about 700 ms whose estimates are \p EstimateFactor too
/// high. Three of a hundred take seven times as long.
void addRuns(RunTimes &Times, int Count, double EstimateFactor) {
  std::mt19937_64 Random(5);
  std::lognormal_distribution<double> Duration(std::log(700), 0.2);
  for (int Run = 0; Run < Count; ++Run) {
    double Ms = Duration(Random) * (Run % 33 == 32 ? 7 : 1);
    Times.add(Key, milliseconds(static_cast<int>(700 * EstimateFactor)),
              milliseconds(static_cast<int>(Ms)));
  }
}

} // namespace

// Guards against a median or late bound that follows the few long runs: a late
// bound of several times the usual duration would allow no backfill.
TEST_CASE("run times are learned although 3 of 100 runs take 7 times as long") {
  RunTimes Times;
  addRuns(Times, 300, 1.9);
  RunTime Found = Times.expected(Key, 1330ms);
  CHECK(Found.Median.count() == doctest::Approx(700).epsilon(0.12));
  CHECK(Found.Late.count() == doctest::Approx(905).epsilon(0.25));
  CHECK(Found.Late > Found.Median);
}

// Guards against a use of raw estimates for the first runs of a step.
TEST_CASE("estimates of a queue are corrected for steps without runs") {
  RunTimes Times;
  CHECK(Times.expected(Key, 1000ms).Median == 1000ms);
  addRuns(Times, 100, 1.9);
  RunTimeKey Other = Key;
  Other.Step = 3;
  CHECK(Times.expected(Other, 1900ms).Median.count() ==
        doctest::Approx(1000).epsilon(0.15));
  CHECK(Times.expected(Unknown, 500ms).Median == 500ms);
  CHECK(Times.expected(Unknown, 0ms).Median > 0ms);
}

// Guards against one duration for all jobs of a queue whose jobs differ in
// size.
TEST_CASE("estimates decide where jobs of a queue differ in size") {
  RunTimes Times;
  for (int Run = 0; Run < 60; ++Run) {
    milliseconds Size(400 * (1 + Run % 9));
    Times.add(Key, Size, Size / 2);
  }
  CHECK(Times.expected(Key, 3000ms).Median.count() ==
        doctest::Approx(1500).epsilon(0.05));
  CHECK(Times.expected(Key, 600ms).Median.count() ==
        doctest::Approx(300).epsilon(0.05));
}

// Guards against a next owner that begins without knowledge, and against
// damage by a row with values out of range.
TEST_CASE("run times are restored by the next owner") {
  RunTimes Times;
  addRuns(Times, 100, 1.9);
  CHECK(Times.hasChanged());
  std::vector<StoredRunTime> Stored = Times.stored();
  CHECK_FALSE(Times.hasChanged());
  Stored.push_back({.Key = Unknown,
                    .Duration = {.Count = 9, .Mean = std::nan(""), .Spread = 1},
                    .Ratio = {}});
  RunTimes Next;
  Next.restore(Stored);
  CHECK(Next.expected(Key, 1330ms).Median ==
        Times.expected(Key, 1330ms).Median);
  CHECK(Next.stored().size() == 1);
}

// Guards against a row of an earlier version that cannot be read, and against
// run times that are lost in the row.
TEST_CASE("run times are stored in the row of the interference model") {
  std::vector<ImagePair> Pairs{
      {.Serving = "s", .Fill = "f", .Slope = 2, .Variance = 1}};
  std::string Old = encodeInterference(Pairs);
  CHECK(decodeRunTimes(Old).empty());
  RunTimes Times;
  addRuns(Times, 20, 1.9);
  std::string Row = encodeInterference(Pairs, Times.stored());
  REQUIRE(decodeInterference(Row).has_value());
  CHECK(decodeInterference(Row).value().size() == 1);
  RunTimes Next;
  Next.restore(decodeRunTimes(Row));
  CHECK(Next.expected(Key, 1330ms).Late == Times.expected(Key, 1330ms).Late);
  CHECK(decodeRunTimes("\x1a\xff").empty());
}

// Guards against a row that grows with the number of images that callers name.
TEST_CASE("the number of learned keys is bounded") {
  RunTimes Times;
  for (int Step = 0; Step < 2000; ++Step)
    Times.add({.Queue = "q", .Image = "i", .Step = Step}, 0ms, 5ms);
  CHECK(Times.stored().size() == RunTimes::MaxKeys);
}

// Guards against a reservation whose time has passed because of a run that
// takes longer than usual.
TEST_CASE("a run that is older than its late bound moves its expected end") {
  TimePoint Start{1h};
  RunTime Expected{.Median = 700ms, .Late = 900ms};
  CHECK(expectedEnd(Start, Expected, Start + 100ms) == Start + 700ms);
  CHECK(expectedEnd(Start, Expected, Start + 800ms) == Start + 900ms);
  CHECK(expectedEnd(Start, Expected, Start + 2s) == Start + 4s);
}
