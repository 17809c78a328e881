// Tests of workers that leave the platform's list, cut off or for good, around
// crashes of all hosts. The processes that start then have never seen them.

#include "testing/longjobs.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

JobTestBedOptions traced(JobTestBedOptions Options) {
  Options.Trace = std::getenv("BASILCHUTE_TRACE") != nullptr;
  return Options;
}

void killAllHosts(JobTestBed &Bed) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.killHost(Host);
}

void startAllHosts(JobTestBed &Bed) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.startHost(Host);
}

bool completes(JobTestBed &Bed, const std::string &Id, milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      Limit);
}

/// Hosts, and workers with room for twice the tasks that the tests submit, so
/// that all tasks of one worker can run on the others.
JobTestBedOptions roomy() {
  return traced({.Hosts = 2,
                 .Workers = 7,
                 .WorkerCapacity = {.Millicores = 16000, .MemoryMib = 32000}});
}

/// Time within which hosts that have just started own the shard and have
/// polled all workers.
constexpr milliseconds TakeoverTime{4000};

} // namespace

// Guards against a takeover that counts as complete once all listed workers
// have answered: another one, cut off from the platform, still runs tasks.
TEST_CASE("The short tasks of a worker that left the list before all hosts "
          "were killed do not start twice") {
  for (bool IsReachable : {true, false})
    for (milliseconds Delay : {0ms, 20ms, 300ms, 1000ms, 3000ms}) {
      CAPTURE(IsReachable);
      CAPTURE(Delay.count());
      JobTestBed Bed(roomy());
      Bed.run(3s);
      REQUIRE(Bed.submit(0, chainJob("a", 1, 56, 12s)).has_value());
      Bed.run(1s);
      REQUIRE(!Bed.Oracle.tasksOn("w0").empty());
      Bed.setWorkerListed(0, false);
      for (int Host = 0; !IsReachable && Host < Bed.hosts(); ++Host)
        Bed.host(Host).UnreachableWorkers.insert("w0");
      Bed.run(Delay);
      killAllHosts(Bed);
      Bed.run(200ms);
      startAllHosts(Bed);
      Bed.run(3s);
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.host(Host).UnreachableWorkers.clear();
      Bed.setWorkerListed(0, true);
      CHECK(completes(Bed, "a", 40s));
      checkNoViolations(Bed);
    }
}

// Guards against the same if the worker never comes back to the list.
TEST_CASE("The short tasks of a worker that stays out of the list run again "
          "when its leases are over") {
  JobTestBed Bed(roomy());
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("a", 1, 56, 12s)).has_value());
  Bed.run(1s);
  Bed.setWorkerListed(0, false);
  Bed.run(100ms);
  killAllHosts(Bed);
  startAllHosts(Bed);
  CHECK(completes(Bed, "a", 40s));
  checkNoViolations(Bed);
}

// Guards against the opposite fault: tasks that wait for each worker that was
// ever there.
TEST_CASE("A worker that left long ago does not delay the starts of a new "
          "process") {
  JobTestBed Bed(roomy());
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("early", 1, 28, 1s)).has_value());
  REQUIRE(completes(Bed, "early", 10s));
  Bed.drainWorker(0, 1500ms);
  Bed.loseWorker(1, 500ms);
  Bed.run(10s);
  REQUIRE(Bed.submit(0, chainJob("a", 3, 10, 500ms)).has_value());
  Bed.run(100ms);
  killAllHosts(Bed);
  startAllHosts(Bed);
  CHECK(completes(Bed, "a", TakeoverTime + 3 * 500ms));
  checkNoViolations(Bed);
}

// Guards against a second process that starts within the wait of the first one
// and begins it anew, or does not know of it.
TEST_CASE("The short tasks of a worker that left the list do not start twice "
          "if all hosts are killed again") {
  JobTestBed Bed(roomy());
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("a", 1, 56, 20s)).has_value());
  Bed.run(1s);
  Bed.setWorkerListed(0, false);
  Bed.run(100ms);
  killAllHosts(Bed);
  startAllHosts(Bed);
  Bed.run(2500ms);
  killAllHosts(Bed);
  startAllHosts(Bed);
  Bed.run(2s);
  Bed.setWorkerListed(0, true);
  CHECK(completes(Bed, "a", 60s));
  checkNoViolations(Bed);
}

// Guards against a planned handover that forgets the workers which the outgoing
// owner knows only by name.
TEST_CASE("The short tasks of a worker that left the list do not start twice "
          "if the shard is handed over within the wait") {
  JobTestBed Bed(roomy());
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("a", 1, 56, 20s)).has_value());
  Bed.run(1s);
  Bed.setWorkerListed(0, false);
  Bed.run(100ms);
  killAllHosts(Bed);
  startAllHosts(Bed);
  Bed.run(1500ms);
  int Owner = Bed.ownerIndex();
  REQUIRE(Owner >= 0);
  Bed.restartHost(Owner, 800ms, 200ms);
  Bed.run(1500ms);
  Bed.setWorkerListed(0, true);
  CHECK(completes(Bed, "a", 60s));
  checkNoViolations(Bed);
}

// Guards against a worker that is of no use any more once its name was removed.
TEST_CASE("A worker that comes back after its leases are over takes tasks "
          "again") {
  JobTestBed Bed(traced({.Hosts = 2, .Workers = 2}));
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("a", 1, 16, 2s)).has_value());
  Bed.run(1s);
  Bed.setWorkerListed(0, false);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  Bed.run(20s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  Bed.setWorkerListed(0, true);
  Bed.run(2s);
  REQUIRE(Bed.submit(0, chainJob("b", 1, 16, 2s)).has_value());
  Bed.run(1s);
  CHECK(!Bed.Oracle.tasksOn("w0").empty());
  CHECK(completes(Bed, "b", 10s));
  checkNoViolations(Bed);
}

namespace {

/// Two hosts. The first worker has moved to another address and runs tasks of
/// the owner there; the other host has a list from before.
struct MovedWorkerBed {
  MovedWorkerBed() {
    Bed.run(3s);
    Owner = Bed.ownerIndex();
    REQUIRE(Owner >= 0);
    next().IsFleetStale = true;
    Bed.moveWorker(0);
    Bed.run(1s);
    REQUIRE(Bed.submit(Owner, chainJob("a", 1, 56, 12s)).has_value());
    REQUIRE(!Bed.Oracle.tasksOn("w0").empty());
  }

  TestJobHost &next() { return Bed.host(1 - Owner); }
  /// Kills the owner, and waits until the other host owns the shard.
  void changeOwner() {
    Bed.killHost(Owner);
    CHECK(Bed.runUntil([&] { return Bed.ownerIndex() == 1 - Owner; }, 5s));
  }
  /// Lets the new owner have the present list, and all tasks end.
  void finish() {
    next().IsFleetStale = false;
    Bed.publishWorkers();
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("a"); }, 40s));
    checkNoViolations(Bed);
  }

  JobTestBed Bed{roomy()};
  int Owner = -1;
};

} // namespace

// Guards against a new owner that calls a former address of a worker, since its
// list is old, and takes the answer of another worker there for proof that the
// runs which the previous owner started at the new address are gone.
TEST_CASE("The tasks of a worker that moved do not start twice if the new "
          "owner's list names its former address") {
  for (milliseconds ListDelay : {100ms, 1000ms, 3000ms}) {
    CAPTURE(ListDelay.count());
    MovedWorkerBed Moved;
    Moved.Bed.run(1s);
    Moved.changeOwner();
    Moved.Bed.run(ListDelay);
    Moved.finish();
  }
}

// Guards against the same if the list, when it comes, does not have the worker
// any more, so that this owner never learns its present address.
TEST_CASE("The tasks of a worker that moved and left the list unseen do not "
          "start twice") {
  for (milliseconds ListDelay : {50ms, 300ms, 1000ms}) {
    CAPTURE(ListDelay.count());
    MovedWorkerBed Moved;
    Moved.Bed.run(1s);
    Moved.Bed.setWorkerListed(0, false);
    Moved.Bed.run(500ms);
    Moved.changeOwner();
    Moved.Bed.run(ListDelay);
    Moved.finish();
  }
}

// Guards against a crash that is counted against a task since a new owner calls
// a former address of its worker, which lives.
TEST_CASE("A worker that is called at its former address has not crashed under "
          "its tasks") {
  MovedWorkerBed Moved;
  JobTestBed &Bed = Moved.Bed;
  // The owner stores that it has not seen the runs to last.
  Bed.host(Moved.Owner).UnreachableWorkers.insert("w0");
  Bed.run(2s);
  int Crashes = Bed.LogLines["worker_crashed"];
  Moved.changeOwner();
  Bed.run(1s);
  CHECK(Bed.LogLines["former_address_called"] > 0);
  CHECK(Bed.LogLines["worker_crashed"] == Crashes);
  Moved.finish();
}
