#include "libbasilchute/unplacedsteps.h"

#include <doctest/doctest.h>

using namespace basilchute;

namespace {

/// Plays a round in which no step of \p Jobs jobs can be placed. Returns the
/// jobs that were tried.
std::set<std::string> tryAll(UnplacedSteps &Steps, int Jobs) {
  std::set<std::string> Out;
  Steps.beginRound();
  for (int Number = 0; Number < Jobs; ++Number) {
    std::string Job = std::to_string(Number);
    if (!Steps.mayTry(Job, 0))
      continue;
    Out.insert(Job);
    Steps.addLimited(Job, 0);
  }
  return Out;
}

} // namespace

TEST_CASE("Few steps that cannot be placed are all tried in each round") {
  UnplacedSteps Steps;
  for (int Round = 0; Round < 3; ++Round) {
    CHECK(tryAll(Steps, 39).size() == 39);
    CHECK(Steps.any());
    CHECK_FALSE(Steps.isRoundOver());
  }
}

// Guards against steps that are never tried behind others that cannot be
// placed.
TEST_CASE("Many steps that cannot be placed have turns") {
  UnplacedSteps Steps;
  std::set<std::string> Tried;
  for (int Round = 0; Round < 3; ++Round) {
    std::set<std::string> InRound = tryAll(Steps, 100);
    CHECK(InRound.size() <= UnplacedSteps::MaxPerRound);
    CHECK_FALSE(Steps.isRoundOver());
    Tried.merge(InRound);
  }
  CHECK(Tried.size() == 100);
  CHECK(tryAll(Steps, 100).size() == UnplacedSteps::MaxPerRound);
}

TEST_CASE("A round ends after many steps that exclude others") {
  UnplacedSteps Steps;
  Steps.beginRound();
  for (size_t Count = 0; Count < UnplacedSteps::MaxPerRound; ++Count) {
    CHECK_FALSE(Steps.isRoundOver());
    Steps.addPlain();
  }
  CHECK(Steps.isRoundOver());
  Steps.beginRound();
  CHECK_FALSE(Steps.isRoundOver());
  CHECK_FALSE(Steps.any());
}

// Guards against a step with a limit per worker that is never tried again while
// each round ends at the limit of the other kind.
TEST_CASE("A step with a limit per worker is tried in each round that ends "
          "early") {
  UnplacedSteps Steps;
  for (int Round = 0; Round < 3; ++Round) {
    CHECK(tryAll(Steps, 3).size() == 3);
    for (size_t Count = 0; Count < UnplacedSteps::MaxPerRound; ++Count)
      Steps.addPlain();
    CHECK(Steps.isRoundOver());
  }
}
