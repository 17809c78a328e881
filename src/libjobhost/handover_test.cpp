#include "libjobhost/jobhost.h"

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Runs until a host other than \p OldOwner owns a shard, and returns its
/// index.
int awaitNewOwner(JobTestBed &Bed, int OldOwner) {
  REQUIRE(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
      10s));
  return Bed.ownerIndex();
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

/// Returns the index of the first worker that has runs, or has none.
int findWorker(JobTestBed &Bed, bool HasRuns) {
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).hasRuns() == HasRuns)
      return Worker;
  FAIL("no such worker");
  return -1;
}
int busyWorker(JobTestBed &Bed) { return findWorker(Bed, true); }
int idleWorker(JobTestBed &Bed) { return findWorker(Bed, false); }

} // namespace

// Guards against a wait that on-call cannot see: after a takeover nothing
// showed that ready tasks waited, nor for which worker.
TEST_CASE("A new owner reports the tasks that it holds back for a silent "
          "worker") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 6, 2s)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.worker(0).IsDown = true;
  Bed.killHost(OldOwner);
  int Owner = awaitNewOwner(Bed, OldOwner);
  Bed.run(2500ms);
  JobShardCounts Counts = Bed.host(Owner).Process->counts();
  CHECK(Counts.Takeovers == 1);
  CHECK(Counts.TakeoverSilentWorkers == 1);
  CHECK(Counts.TasksHeldBack >= 1);
  Bed.run(15s);
  CHECK(Bed.host(Owner).Process->counts().TakeoverSilentWorkers == 0);
  CHECK(Bed.host(Owner).Process->counts().TasksHeldBack == 0);
}

// Guards against lost long-running tasks: one failed on a sound worker and did
// not run again for 12 s, because another worker was silent at the takeover.
TEST_CASE("After the owner's crash a long-running task that fails restarts "
          "although another worker is silent") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 2)).has_value());
  Bed.run(500ms);
  REQUIRE(Bed.Oracle.running() == 2);
  int OldOwner = Bed.ownerIndex();
  int Silent = idleWorker(Bed);
  Bed.worker(Silent).IsDown = true;
  Bed.killHost(OldOwner);
  awaitNewOwner(Bed, OldOwner);
  Bed.run(300ms);
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Worker != Silent)
      Bed.worker(Worker).failRuns();
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 2; }, 1s));
  checkNoViolations(Bed);
}

TEST_CASE(
    "After the owner's crash a long-running task leaves a draining worker "
    "although another worker is silent") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 1)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  int Silent = idleWorker(Bed);
  int Busy = busyWorker(Bed);
  Bed.worker(Silent).IsDown = true;
  Bed.killHost(OldOwner);
  awaitNewOwner(Bed, OldOwner);
  Bed.worker(Busy).Entry.IsDraining = true;
  Bed.publishWorkers();
  CHECK(Bed.runUntil(
      [&] { return !Bed.worker(Busy).hasRuns() && Bed.Oracle.running() == 1; },
      2s));
  checkNoViolations(Bed);
}
