// Tests of long-running tasks that other shards than that of their job run,
// where tasks of the job run already, or did before.

#include "testing/longjobs.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Two shards of three workers each. A job fills the first shard, and two of
/// its tasks run in the second one since a worker was lost.
struct DividedJob {
  DividedJob() {
    Bed.run(3s);
    REQUIRE(Bed.submit(0, longJob(Id, 6)).has_value());
    REQUIRE(allRunWithin(Bed, 6, 8s));
    Bed.run(10s);
    HomeShard = shardOf(Bed, taskOf(Id));
    loseWorker(Bed, workerOf(Bed, taskOf(Id)));
    REQUIRE(allRunWithin(Bed, 6, RestartBound));
    Bed.run(3s);
  }

  /// Returns a task that runs in \p Shard.
  TaskName taskIn(int Shard) {
    for (int Index = 0; Index < 6; ++Index)
      if (shardOf(Bed, taskOf(Id, Index)) == Shard)
        return taskOf(Id, Index);
    FAIL("no task runs in the shard");
    return {};
  }
  void loseWorkerIn(int Shard) {
    loseWorker(Bed, workerOf(Bed, taskIn(Shard)));
  }
  int delegations() { return Bed.LogLines["tasks_delegated"]; }
  bool delegatesWithin(milliseconds Limit) {
    int Before = delegations();
    return Bed.runUntil([&] { return delegations() > Before; }, Limit);
  }

  std::string Id = idForShard("wide", 0);
  int HomeShard = -1;
  JobTestBed Bed{{.Workers = 6, .MinShards = 2, .WorkerCapacity = TwoTasks}};
};

} // namespace

// Guards against a shard that takes tasks of a job once only: the tasks of the
// second worker that was lost had no other shard left, and each attempt to
// delegate them ended in a conflict.
TEST_CASE("Tasks are added to those of their job that another shard has") {
  DividedJob Divided;
  JobTestBed &Bed = Divided.Bed;
  Divided.loseWorkerIn(Divided.HomeShard);
  CHECK(allRunWithin(Bed, 6, RestartBound));
  Bed.run(12s);
  CHECK(Bed.Oracle.running() == 6);
  CHECK(Bed.cancel(0, Divided.Id).has_value());
  CHECK(allRunWithin(Bed, 0, 4s));
  checkNoViolations(Bed);
}

// Guards against a part that may not send its tasks home, where there is room
// again.
TEST_CASE("Delegated tasks go back to the shard that holds the job") {
  DividedJob Divided;
  JobTestBed &Bed = Divided.Bed;
  int Other = 1 - Divided.HomeShard;
  // Fills the other shard, and brings room to the home shard.
  REQUIRE(Bed.submit(0, longJob("filler", 4)).has_value());
  REQUIRE(allRunWithin(Bed, 10, 8s));
  Bed.addWorker();
  Bed.run(3s);
  Divided.loseWorkerIn(Other);
  CHECK(allRunWithin(Bed, 10, RestartBound));
  CHECK(shardOf(Bed, Divided.taskIn(Divided.HomeShard)) == Divided.HomeShard);
  Bed.run(12s);
  CHECK(Bed.Oracle.running() == 10);
  CHECK(Bed.cancel(0, Divided.Id).has_value());
  CHECK(allRunWithin(Bed, 4, 4s));
  checkNoViolations(Bed);
}

// Guards against tasks that are started twice, or never, by an owner that finds
// the row which adds them, or the progress that has them.
TEST_CASE("Added tasks run once although both owners crash") {
  for (milliseconds Delay = 0ms; Delay <= 80ms; Delay += 10ms) {
    CAPTURE(Delay.count());
    DividedJob Divided;
    JobTestBed &Bed = Divided.Bed;
    Divided.loseWorkerIn(Divided.HomeShard);
    REQUIRE(Divided.delegatesWithin(RestartBound));
    Bed.run(Delay);
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      if (Bed.host(Host).Process->ownedShards() > 0) {
        Bed.killHost(Host);
        Bed.startHost(Host);
      }
    CHECK(allRunWithin(Bed, 6, 15s));
    Bed.run(15s);
    CHECK(Bed.Oracle.running() == 6);
    checkNoViolations(Bed);
  }
}

// Guards against the same if the answers to the commits are lost, before or
// after they take effect.
TEST_CASE("Added tasks run once although the answers of the store are lost") {
  for (bool IsLate : {false, true}) {
    CAPTURE(IsLate);
    DividedJob Divided;
    JobTestBed &Bed = Divided.Bed;
    Divided.loseWorkerIn(Divided.HomeShard);
    Bed.run(LeaseTimes{}.Sole + 1000ms);
    (IsLate ? Bed.Store.DelayedCommitPercent : Bed.Store.LostReplyPercent) =
        100;
    Bed.run(1500ms);
    Bed.Store.DelayedCommitPercent = 0;
    Bed.Store.LostReplyPercent = 0;
    CHECK(allRunWithin(Bed, 6, RestartBound));
    Bed.run(15s);
    CHECK(Bed.Oracle.running() == 6);
    checkNoViolations(Bed);
  }
}

// Guards against tasks that wait for their turn behind others that cannot be
// delegated, or for one delegation after the other. Pattern: a rack of workers
// with long-running tasks of many jobs is lost.
TEST_CASE("Many long-running tasks that lose their workers at once run again "
          "in time") {
  for (int Shards : {2, 3, 24}) {
    CAPTURE(Shards);
    int Workers = Shards * 4;
    JobTestBed Bed(
        {.Workers = Workers, .MinShards = Shards, .WorkerCapacity = TwoTasks});
    Bed.run(4s);
    // A third of the room of the fleet.
    size_t Tasks = 0;
    for (int Number = 0; Tasks < static_cast<size_t>(Workers) * 2 / 3;
         ++Number) {
      REQUIRE(Bed.submit(Number % Bed.hosts(),
                         longJob("job-" + std::to_string(Number), 2))
                  .has_value());
      Tasks += 2;
    }
    REQUIRE(allRunWithin(Bed, Tasks, 20s));
    Bed.run(12s);
    // All workers of the first shard but one, with a quarter of the others.
    int Lost = 0;
    for (int Worker = 0; Worker < Workers; ++Worker) {
      int Shard = Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id);
      bool IsLost = Shard == 0 ? Lost < 3 : Worker % 4 == 0;
      Lost += Shard == 0 && IsLost;
      if (IsLost)
        Bed.drainWorker(Worker, 1500ms);
    }
    Bed.run(1600ms);
    CHECK(allRunWithin(Bed, Tasks, RestartBound));
    Bed.run(5s);
    CHECK(Bed.Oracle.running() == Tasks);
    checkNoViolations(Bed);
  }
}
