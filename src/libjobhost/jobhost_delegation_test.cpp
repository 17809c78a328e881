// Tests of long-running tasks that other shards than that of their job run,
// where tasks of the job run already, or did before.

#include "libbasilchute/jobrows.h"
#include "testing/longjobs.h"

#include <algorithm>
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

/// Two shards of four workers each. Two jobs of four tasks fill the first one,
/// and eight jobs of one task the second one.
struct FullShards {
  FullShards() {
    Bed.run(6s);
    // Through two hosts, none of which knows yet what the other has sent.
    for (int Number = 0; Number < 2; ++Number)
      REQUIRE(Bed.submit(Number, longJob(Jobs[static_cast<size_t>(Number)], 4))
                  .has_value());
    REQUIRE(allRunWithin(Bed, 8, 4s));
    Bed.run(3s);
    for (int Number = 0; Number < 8; ++Number) {
      Fillers.push_back("filler-" + std::to_string(Number));
      REQUIRE(Bed.submit(0, longJob(Fillers.back(), 1)).has_value());
    }
    REQUIRE(allRunWithin(Bed, 16, 12s));
    Bed.run(10s);
    for (const TaskName &Task : tasks())
      REQUIRE(shardOf(Bed, Task) == 0);
  }

  std::vector<TaskName> tasks() const {
    std::vector<TaskName> Out;
    for (const std::string &Job : Jobs)
      for (int Index = 0; Index < 4; ++Index)
        Out.push_back(taskOf(Job, Index));
    return Out;
  }
  /// Loses the worker of \p Task. Returns the tasks that it ran.
  std::vector<TaskName> loseWorkerOf(const TaskName &Task) {
    int Worker = workerOf(Bed, Task);
    std::vector<TaskName> Out;
    for (const TaskName &Other : tasks())
      if (workerOf(Bed, Other) == Worker)
        Out.push_back(Other);
    loseWorker(Bed, Worker);
    return Out;
  }
  /// Loses \p Count workers of the first shard, with \p Pause after each.
  /// Returns their tasks in the order of the loss.
  std::vector<TaskName> loseWorkers(int Count, milliseconds Pause) {
    std::vector<TaskName> Out;
    for (int Number = 0; Number < Count; ++Number) {
      std::vector<TaskName> Left = tasks();
      std::erase_if(
          Left, [&](const TaskName &Task) { return workerOf(Bed, Task) < 0; });
      // The last tasks of a job come first.
      std::vector<TaskName> Lost = loseWorkerOf(Left.back());
      Out.insert(Out.end(), Lost.begin(), Lost.end());
      Bed.run(Pause);
    }
    return Out;
  }
  bool allRun(const std::vector<TaskName> &Tasks) {
    return std::all_of(Tasks.begin(), Tasks.end(), [&](const TaskName &Task) {
      return workerOf(Bed, Task) >= 0;
    });
  }
  /// Cuts \p Count workers of the first shard off from all hosts.
  void cutWorkers(int Count) {
    for (int Worker = 0; Worker < Bed.workers() && Count > 0; ++Worker) {
      const std::string &Id = Bed.worker(Worker).Entry.Id;
      if (Bed.worker(Worker).IsDown || Bed.host(0).Process->shardOf(Id) != 0)
        continue;
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.host(Host).UnreachableWorkers.insert(Id);
      --Count;
    }
  }
  /// Makes room for one task in the second shard, \p Pause after the last.
  void makeRoom(milliseconds Pause) {
    REQUIRE(Bed.cancel(0, Fillers.back()).has_value());
    Fillers.pop_back();
    Bed.run(Pause);
  }

  std::vector<std::string> Jobs{idForShard("first-", 0),
                                idForShard("second-", 0)};
  std::vector<std::string> Fillers;
  JobTestBed Bed{{.Workers = 8, .MinShards = 2, .WorkerCapacity = TwoTasks}};
};

/// Kills all hosts that own shards. They start again at once.
void killOwners(JobTestBed &Bed) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Bed.host(Host).Process->ownedShards() > 0) {
      Bed.killHost(Host);
      Bed.startHost(Host);
    }
}

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
    killOwners(Bed);
    CHECK(allRunWithin(Bed, 6, 15s));
    Bed.run(15s);
    CHECK(Bed.Oracle.running() == 6);
    checkNoViolations(Bed);
  }
}

// Guards against tasks that wait in a full shard beside room in another one
// until all possible runs of other tasks have ended: their own place is stored.
TEST_CASE("After a crash of the owners tasks that surely run nowhere go to "
          "another shard at once") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  std::vector<TaskName> Lost = Full.loseWorkers(1, 0s);
  REQUIRE(Lost.size() == 2);
  Bed.run(LeaseTimes{}.Sole + 2s);
  Full.cutWorkers(2);
  Full.makeRoom(0s);
  Full.makeRoom(0s);
  killOwners(Bed);
  CHECK(Bed.runUntil([&] { return Full.allRun(Lost); }, RestartBound));
  Bed.run(15s);
  checkNoViolations(Bed);
}

// Guards against a second run of a task whose worker is cut off and runs on: it
// went to another shard before its run had ended.
TEST_CASE(
    "After a crash of the owners tasks that may run on a silent worker go "
    "to no other shard") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  Full.cutWorkers(2);
  for (int Number = 0; Number < 5; ++Number)
    Full.makeRoom(0s);
  killOwners(Bed);
  Bed.run(20s);
  CHECK(Bed.LogLines["tasks_delegated"] > 0);
  CHECK(Full.allRun(Full.tasks()));
  checkNoViolations(Bed);
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

// Guards against a cancelled job that runs on: it had not started, and counted
// as running once its delegation was found to have taken effect.
TEST_CASE("A job that is cancelled while its first delegation is pending does "
          "not run") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  std::string Id = idForShard("new-", 0);
  REQUIRE(Bed.submit(0, longJob(Id, 2)).has_value());
  REQUIRE(holdsJob(Bed, 0, Id));
  Full.makeRoom(0s);
  Bed.run(1s);
  Bed.Store.LostReplyPercent = 100;
  REQUIRE(Bed.runUntil([&] { return holdsJob(Bed, 1, Id + ".part"); }, 4s));
  Bed.beginCancel(0, Id);
  Bed.run(200ms);
  Bed.Store.LostReplyPercent = 0;
  // Makes room for all tasks of the job in its shard.
  Bed.beginCancel(0, Full.Jobs.front());
  Bed.run(6s);
  for (int Index = 0; Index < 2; ++Index)
    CHECK(workerOf(Bed, taskOf(Id, Index)) < 0);
  Result<JobState> State = Bed.state(0, Id);
  CHECK((State.has_value() && State.value() == JobState::Cancelled));
  checkNoViolations(Bed);
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

// Guards against tasks of a job that begin to wait anew whenever another one of
// the job is delegated: room that comes one task at a time goes to tasks that
// lost their worker later.
TEST_CASE("Tasks that are delegated one by one run again in time") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  TimePoint LostAt = Bed.now();
  std::vector<TaskName> Lost = Full.loseWorkers(2, 0s);
  Bed.run(1s);
  REQUIRE(Full.loseWorkers(1, 0s).size() == 2);
  // The first delegation follows 1.2 s after the end of the leases.
  Bed.run(LeaseTimes{}.Sole);
  for (int Number = 0; Number < 4; ++Number)
    Full.makeRoom(500ms);
  auto Left = std::chrono::duration_cast<milliseconds>(LostAt + RestartBound -
                                                       Bed.now());
  bool AllRun = Bed.runUntil(
      [&] {
        return std::all_of(Lost.begin(), Lost.end(), [&](const TaskName &Task) {
          return workerOf(Bed, Task) >= 0;
        });
      },
      Left);
  CHECK(AllRun);
  checkNoViolations(Bed);
}

// Guards against tasks that wait behind others which lost their worker later:
// those of jobs that delegated nothing yet, and those with a lower index.
TEST_CASE("Tasks are delegated in the order of how long they have waited") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  std::vector<TaskName> Lost = Full.loseWorkers(3, 1s);
  REQUIRE(Lost.size() == 6);
  Bed.run(LeaseTimes{}.Sole + 2s);
  for (size_t Number = 0; Number < 6; Number += 2) {
    CAPTURE(Number);
    Full.makeRoom(400ms);
    Full.makeRoom(1500ms);
    for (size_t Index = 0; Index < 6; ++Index) {
      CAPTURE(Index);
      CHECK((workerOf(Bed, Lost[Index]) >= 0) == (Index < Number + 2));
    }
  }
  checkNoViolations(Bed);
}

// Guards against tasks that wait for as long as others of their job come from
// other shards: each of these held all of them back for 1.2 s.
TEST_CASE("Tasks that are added keep no other task of their job waiting") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  std::vector<TaskName> Lost = Full.loseWorkers(1, 0s);
  Bed.run(LeaseTimes{}.Sole + 500ms);
  REQUIRE_FALSE(Full.allRun(Lost));
  for (int Number = 0; Number < 4; ++Number)
    Full.makeRoom(0s);
  uint64_t Version = 1;
  auto AddRow = [&] {
    const std::string &Id = Lost.front().Job;
    JobPart Part{.Spec = longJob(Id, 4),
                 .HomeShard = 0,
                 .Added = JobProgress{.State = JobState::Running}};
    RowCommit Commit;
    Commit.Changes = {{.Address = addedTasksAddress(0, Id, 1, Version++),
                       .Value = encodePart(Part)}};
    CHECK(Bed.Store.apply(Commit).has_value());
  };
  for (int Number = 0; Number < 6 && !Full.allRun(Lost); ++Number) {
    AddRow();
    Bed.run(500ms);
  }
  CHECK(Bed.LogLines["tasks_added"] > 0);
  CHECK(Full.allRun(Lost));
  checkNoViolations(Bed);
}

// Guards against a job whose delegations fail and that takes every turn since
// its tasks have waited longest: the tasks of other jobs waited for ever.
TEST_CASE("A job whose delegations fail keeps no other job waiting") {
  FullShards Full;
  JobTestBed &Bed = Full.Bed;
  std::vector<TaskName> Lost = Full.loseWorkers(2, 1s);
  const std::string Refused = Lost.front().Job;
  std::erase_if(Lost,
                [&](const TaskName &Task) { return Task.Job == Refused; });
  REQUIRE_FALSE(Lost.empty());
  int Refusals = 0;
  Bed.Store.RefusesCommit = [&](const RowCommit &Commit) {
    bool IsDelegation =
        std::any_of(Commit.Changes.begin(), Commit.Changes.end(),
                    [&](const RowChange &Change) {
                      return Change.Address.Table == "jobs-1" &&
                             Change.Address.Key.rfind(Refused + ".", 0) == 0;
                    });
    Refusals += IsDelegation;
    return IsDelegation;
  };
  for (int Number = 0; Number < 4; ++Number)
    Full.makeRoom(0s);
  CHECK(Bed.runUntil([&] { return Full.allRun(Lost); }, RestartBound));
  CHECK(Refusals > 0);
  Bed.Store.RefusesCommit = nullptr;
  CHECK(allRunWithin(Bed, 12, 3s));
  checkNoViolations(Bed);
}
