// Tests of the oracle's rules on tasks that crash workers, and of the workers
// that they crash.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TaskName Deadly{"a", 0, 0, 0};

/// Starts the deadly task and lets it crash its worker.
void crashOnce(JobOracle &Oracle, int Run) {
  Oracle.onStart("w0", Deadly, Run, TimePoint{});
  Oracle.onCrash({Deadly}, &Deadly);
  Oracle.onEnd("w0", Deadly, Run, RunOutcome::LeaseExpired);
}

struct OracleWithJob {
  OracleWithJob() {
    Oracle.addJob({.Spec = chainJob("a", 1, 2), .MaxAttempts = 2});
    Oracle.setDeadly(Deadly);
  }
  JobOracle Oracle;
};

/// Returns the number of violations after the job was reported as failed.
size_t violationsIfFailed(JobOracle Oracle) {
  Oracle.onState("a", JobState::Failed);
  return Oracle.violations().size();
}

} // namespace

TEST_CASE("The oracle reports the third start after three crashes") {
  OracleWithJob Test;
  for (int Run = 1; Run <= 5; ++Run)
    crashOnce(Test.Oracle, Run);
  CHECK(Test.Oracle.violations().empty());
  crashOnce(Test.Oracle, 6);
  CHECK(Test.Oracle.violations().size() == 1);
}

TEST_CASE(
    "The oracle reports a job that is failed before two workers crashed") {
  OracleWithJob Test;
  CHECK(violationsIfFailed(Test.Oracle) == 1);
  crashOnce(Test.Oracle, 1);
  CHECK(violationsIfFailed(Test.Oracle) == 1);
  crashOnce(Test.Oracle, 2);
  CHECK(violationsIfFailed(Test.Oracle) == 0);
}

TEST_CASE("The oracle reports an innocent job that is failed after crashes") {
  JobOracle Oracle;
  Oracle.addJob({.Spec = chainJob("a", 1, 2), .MaxAttempts = 2});
  for (int Run = 1; Run <= 3; ++Run) {
    Oracle.onStart("w0", Deadly, Run, TimePoint{});
    Oracle.onCrash({Deadly}, nullptr);
    Oracle.onEnd("w0", Deadly, Run, RunOutcome::LeaseExpired);
  }
  CHECK(violationsIfFailed(Oracle) == 1);
}

TEST_CASE("The oracle accepts a job that is failed after all attempts") {
  JobOracle Oracle;
  Oracle.addJob({.Spec = chainJob("a", 1, 2), .MaxAttempts = 2});
  for (int Index = 0; Index < 2; ++Index)
    Oracle.onEnd("w0", {"a", 0, 0, Index}, 1, RunOutcome::Failed);
  CHECK(violationsIfFailed(Oracle) == 1);
  Oracle.onEnd("w0", {"a", 0, 0, 1}, 2, RunOutcome::Failed);
  CHECK(violationsIfFailed(Oracle) == 0);
}

TEST_CASE("A worker that a deadly task crashes comes back as a new "
          "incarnation") {
  JobTestBed Bed({.Hosts = 1, .Workers = 1, .WorkerReturn = 2s});
  Bed.run(3s);
  Bed.Oracle.setDeadly(Deadly, 10ms);
  REQUIRE(Bed.submit(0, chainJob("a", 1, 2, 5s)).has_value());
  REQUIRE(Bed.runUntil([&] { return Bed.worker(0).IsDown; }, 3s));
  TimePoint Before = Bed.worker(0).incarnation();
  CHECK(Bed.worker(0).isDownByTask());
  CHECK(Bed.Oracle.running() == 0);
  CHECK(Bed.Oracle.deadly(Deadly)->Crashes == 1);
  Bed.run(1900ms);
  CHECK(Bed.worker(0).IsDown);
  CHECK(Bed.isWorkerListed(0));
  Bed.run(100ms);
  CHECK(!Bed.worker(0).IsDown);
  CHECK(Bed.worker(0).incarnation() > Before);
  CHECK(!Bed.worker(0).hasUnacknowledged());
  CHECK(Bed.maxDownByTasks() == 1);
}

TEST_CASE("A worker that is lost after a crash does not come back") {
  JobTestBed Bed({.Hosts = 1, .Workers = 2});
  Bed.run(3s);
  Bed.crashWorkers({0, 1});
  Bed.run(1s);
  Bed.loseWorker(0, 1s);
  Bed.run(5s);
  CHECK(Bed.worker(0).IsDown);
  CHECK(!Bed.worker(1).IsDown);
  CHECK(Bed.maxDownByTasks() == 0);
}

// Guards against an emulator that is kinder than a fleet: there, another worker
// with a new id is at the address of the crashed one.
TEST_CASE("A worker that is replaced after a crash does not come back") {
  JobTestBed Bed({.Hosts = 1, .Workers = 2, .Crashes = CrashStyle::Replaced});
  Bed.run(3s);
  Bed.crashWorkers({0});
  CHECK(Bed.worker(0).isRefusing());
  Bed.run(3s);
  CHECK(Bed.worker(0).IsDown);
  CHECK(!Bed.isWorkerListed(0));
  REQUIRE(Bed.workers() == 3);
  CHECK(Bed.worker(2).Entry.Address == Bed.worker(0).Entry.Address);
  CHECK(Bed.isWorkerUsable(2));
  REQUIRE(Bed.submit(0, chainJob("a", 1, 16, 1s)).has_value());
  CHECK(Bed.runUntil([&] { return Bed.worker(2).hasRuns(); }, 3s));
}
