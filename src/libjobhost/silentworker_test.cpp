// Polls of workers that do not answer.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

uint64_t polls(JobTestBed &Bed) {
  uint64_t Out = 0;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Out += Bed.host(Host).Process->counts().Polls;
  return Out;
}

bool completesWithin(JobTestBed &Bed, const std::string &Id,
                     milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      Limit);
}

} // namespace

// Guards against an entry of the worker list that no worker stands behind and
// that is polled at the shortest interval for ever.
TEST_CASE("A worker that never answers is polled less and less") {
  JobTestBed Bed({.Workers = 1});
  Bed.worker(0).IsDown = true;
  Bed.run(5s);
  uint64_t Early = polls(Bed);
  // The takeover of the shard depends on the first polls.
  CHECK(Early >= 4);
  Bed.run(25s);
  uint64_t Before = polls(Bed);
  Bed.run(30s);
  CHECK(polls(Bed) - Before <= 21);
  CHECK(polls(Bed) - Before >= 15);
}

// The wait of a pending poll, the delay before the next one, and the run.
TEST_CASE("A worker that answers again after a long time is used soon") {
  JobTestBed Bed({.Workers = 1});
  Bed.worker(0).IsDown = true;
  Bed.run(60s);
  CHECK(Bed.submit(0, chainJob("a", 1, 1, 100ms)).has_value());
  Bed.worker(0).IsDown = false;
  CHECK(completesWithin(Bed, "a", 2500ms));
}
