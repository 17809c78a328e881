// Tests of long-running tasks that run nowhere while owners of their shard
// crash and another worker is silent.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TaskName FirstTask{"lasting", 0, 0, 0};

JobTestBedOptions traced(JobTestBedOptions Options) {
  Options.Trace = std::getenv("BASILCHUTE_TRACE") != nullptr;
  return Options;
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

bool isRunning(const JobTestBed &Bed, const TaskName &Task) {
  return !Bed.Oracle.workerOf(Task).empty();
}

bool allRun(const JobTestBed &Bed, const Job &Job) {
  for (int Index = 0; Index < Job.Steps[0].Count; ++Index)
    if (!isRunning(Bed, {Job.Id, 0, 0, Index}))
      return false;
  return true;
}

int workerIndexOf(JobTestBed &Bed, const TaskName &Task) {
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).runs(Task))
      return Worker;
  FAIL("the task does not run");
  return -1;
}

/// The worker does not answer any more, but stays in the list.
void silence(JobTestBed &Bed, int Worker) {
  Bed.worker(Worker).IsDown = true;
  Bed.worker(Worker).crash();
}

void crashOwner(JobTestBed &Bed, milliseconds Pause) {
  int Owner = Bed.ownerIndex();
  REQUIRE(Owner >= 0);
  Bed.killHost(Owner);
  Bed.later(Pause, [&Bed, Owner] { Bed.startHost(Owner); });
}

/// Time left until the task counts as lost if its last run ended at \p End.
milliseconds timeLeft(const JobTestBed &Bed, TimePoint End) {
  return std::chrono::ceil<milliseconds>(End + RestartCheck::LostTime -
                                         Bed.now());
}

/// Drains the worker of \p Task until its owner has stopped the task there;
/// returns the time of the stop.
TimePoint stopByDraining(JobTestBed &Bed, const TaskName &Task) {
  Bed.drainWorker(workerIndexOf(Bed, Task), 1500ms);
  REQUIRE(Bed.runUntil([&] { return !isRunning(Bed, Task); }, 1s));
  return Bed.now();
}

/// A test bed with a job of long-running tasks and a worker that has been
/// silent for so long that all tasks run on the others.
struct SilentBed {
  explicit SilentBed(JobTestBedOptions Options) : Bed(traced(Options)) {
    Bed.run(3s);
    REQUIRE(Bed.submit(0, Lasting).has_value());
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
    silence(Bed, 0);
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 10s));
    Bed.run(500ms);
  }

  Job Lasting = longRunningJob("lasting", 12);
  JobTestBed Bed;
};

} // namespace

// Guards against a wait of 12 s for a worker on which the task never ran: its
// owner crashed when it had just stopped the task on a worker that leaves.
TEST_CASE("After the owner's crash a long-running task that was just stopped "
          "does not wait for another silent worker") {
  for (milliseconds Delay = 0ms; Delay <= 100ms; Delay += 10ms) {
    CAPTURE(Delay.count());
    SilentBed Silent({});
    JobTestBed &Bed = Silent.Bed;
    TimePoint End = stopByDraining(Bed, FirstTask);
    Bed.run(Delay);
    crashOwner(Bed, 1s);
    CHECK(Bed.runUntil([&] { return isRunning(Bed, FirstTask); },
                       timeLeft(Bed, End)));
    Bed.run(15s);
    CHECK(allRun(Bed, Silent.Lasting));
    checkNoViolations(Bed);
  }
}

// Guards against the same wait of tasks for which there was no room when the
// owner crashed, whether they ran before or not.
TEST_CASE("After the owner's crash long-running tasks that waited for room do "
          "not wait for a silent worker") {
  JobTestBed Bed(
      traced({.Workers = 4,
              .WorkerCapacity = {.Millicores = 2000, .MemoryMib = 16000}}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 8);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
  silence(Bed, 0);
  Bed.run(8s);
  Job Late = longRunningJob("late", 2);
  REQUIRE(Bed.submit(0, Late).has_value());
  Bed.run(2s);
  REQUIRE(Bed.Oracle.running() == 6);
  crashOwner(Bed, 1s);
  TimePoint RoomSince = Bed.now();
  Bed.addWorker();
  Bed.addWorker();
  CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting) && allRun(Bed, Late); },
                     timeLeft(Bed, RoomSince)));
  Bed.run(15s);
  CHECK(allRun(Bed, Lasting));
  CHECK(allRun(Bed, Late));
  checkNoViolations(Bed);
}

// Guards against the same wait of a task that the new owner had found running,
// and whose worker then left.
TEST_CASE("A long-running task that was found running after the owner's crash "
          "restarts when its worker is gone although another is silent") {
  for (milliseconds Delay : {50ms, 500ms, 2000ms}) {
    CAPTURE(Delay.count());
    SilentBed Silent({});
    JobTestBed &Bed = Silent.Bed;
    int Worker = workerIndexOf(Bed, FirstTask);
    int OldOwner = Bed.ownerIndex();
    crashOwner(Bed, 1s);
    REQUIRE(Bed.runUntil(
        [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
        6s));
    Bed.run(Delay);
    REQUIRE(Bed.worker(Worker).runs(FirstTask));
    // The notice is too short for the tasks to be moved.
    Bed.worker(Worker).Entry.IsDraining = true;
    Bed.worker(Worker).leave();
    TimePoint End = Bed.now();
    Bed.setWorkerListed(Worker, false);
    CHECK(Bed.runUntil([&] { return allRun(Bed, Silent.Lasting); },
                       timeLeft(Bed, End)));
    Bed.run(15s);
    CHECK(allRun(Bed, Silent.Lasting));
    checkNoViolations(Bed);
  }
}

// Guards against a wait that each further crash begins anew.
TEST_CASE("Crashes of one owner after the other do not keep a long-running "
          "task from running beside a silent worker") {
  for (int Crashes : {2, 3})
    for (milliseconds Gap : {4000ms, 4500ms, 5000ms, 5500ms, 6000ms}) {
      CAPTURE(Crashes);
      CAPTURE(Gap.count());
      SilentBed Silent({.Hosts = 5});
      JobTestBed &Bed = Silent.Bed;
      TimePoint End = stopByDraining(Bed, FirstTask);
      for (int Crash = 0; Crash < Crashes; ++Crash)
        Bed.later(Gap * Crash + 20ms, [&Bed] {
          if (int Owner = Bed.ownerIndex(); Owner >= 0)
            Bed.killHost(Owner);
        });
      CHECK(Bed.runUntil([&] { return isRunning(Bed, FirstTask); },
                         timeLeft(Bed, End)));
      Bed.run(Gap * Crashes + 15s);
      CHECK(allRun(Bed, Silent.Lasting));
      checkNoViolations(Bed);
    }
}

// Guards against a process that concludes from the list of workers where tasks
// can run: it started after the worker that runs some of them had left the
// list. Other tasks do not wait for that worker.
TEST_CASE("After the owner's crash only the tasks of a worker that the new "
          "process has never seen wait for it") {
  JobTestBed Bed(traced({.Hosts = 1}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 12);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
  Bed.run(500ms);
  std::vector<TaskName> OnSilent = Bed.Oracle.tasksOn("w0");
  REQUIRE(!OnSilent.empty());
  TaskName Moving{"lasting", 0, 0, 0};
  while (Bed.Oracle.workerOf(Moving) == "w0")
    ++Moving.Index;
  Bed.host(0).UnreachableWorkers.insert("w0");
  // The owner must see that the worker is silent, or it may start tasks there.
  Bed.run(2500ms);
  TimePoint End = stopByDraining(Bed, Moving);
  Bed.run(20ms);
  Bed.killHost(0);
  Bed.setWorkerListed(0, false);
  Bed.run(300ms);
  Bed.startHost(0);
  CHECK(
      Bed.runUntil([&] { return isRunning(Bed, Moving); }, timeLeft(Bed, End)));
  CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 20s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against a start whose worker no row names, and against room that stays
// reserved for a start that was given up.
TEST_CASE("A long-running task whose worker cannot be stored does not start, "
          "and leaves the worker that drains meanwhile") {
  JobTestBed Bed(traced({.Workers = 2}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 8);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
  Bed.run(500ms);
  int Failing = workerIndexOf(Bed, FirstTask);
  Bed.Store.IsDown = true;
  REQUIRE(Bed.failTask(FirstTask));
  Bed.run(1s);
  CHECK(Bed.Oracle.starts() == 8);
  // The task is placed on the other worker than that of its last run.
  Bed.worker(1 - Failing).Entry.IsDraining = true;
  Bed.publishWorkers();
  Bed.Store.IsDown = false;
  CHECK(Bed.runUntil([&] { return isRunning(Bed, FirstTask); }, 1s));
  CHECK(workerIndexOf(Bed, FirstTask) == Failing);
  checkNoViolations(Bed);
}

// Guards against the same if the job is cancelled meanwhile.
TEST_CASE("A long-running job that is cancelled while a worker is being stored "
          "starts nothing and frees its room") {
  JobTestBed Bed(traced({.Hosts = 1, .Workers = 2}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 16);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
  Bed.run(500ms);
  Bed.Store.DelayedCommitPercent = 100;
  REQUIRE(Bed.failTask(FirstTask));
  Bed.run(300ms);
  Bed.Store.DelayedCommitPercent = 0;
  REQUIRE(Bed.cancel(0, "lasting").has_value());
  Job Next = longRunningJob("next", 16);
  REQUIRE(Bed.submit(0, Next).has_value());
  CHECK(Bed.runUntil([&] { return allRun(Bed, Next); }, 5s));
  CHECK(Bed.Oracle.starts() == 32);
  checkNoViolations(Bed);
}

// Guards against a row that says that a task has no run while its worker is
// silent: the owner after the next crash starts the task a second time.
TEST_CASE("A second crash of the owner does not start the tasks of a silent "
          "worker twice") {
  JobTestBed Bed(traced({}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 12);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
  Bed.run(500ms);
  REQUIRE(!Bed.Oracle.tasksOn("w0").empty());
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  Bed.killHost(Bed.ownerIndex());
  REQUIRE(Bed.runUntil([&] { return Bed.ownerIndex() >= 0; }, 5s));
  Bed.run(500ms);
  Bed.killHost(Bed.ownerIndex());
  CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 20s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against a wait for the whole horizon for a worker that is named by
// rows only, when all workers in the list have answered.
TEST_CASE("After a crash of all hosts the tasks of a worker that has left the "
          "list run again in time") {
  for (int Hosts : {1, 3}) {
    CAPTURE(Hosts);
    JobTestBed Bed(traced({.Hosts = Hosts}));
    Job Lasting = longRunningJob("lasting", 12);
    Bed.run(3s);
    REQUIRE(Bed.submit(0, Lasting).has_value());
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
    Bed.run(12s);
    TimePoint CrashedAt = Bed.now();
    silence(Bed, 0);
    for (int Host = 0; Host < Hosts; ++Host)
      Bed.killHost(Host);
    Bed.run(1s);
    Bed.setWorkerListed(0, false);
    for (int Host = 0; Host < Hosts; ++Host)
      Bed.startHost(Host);
    CHECK(Bed.runUntil([&] { return allRun(Bed, Lasting); },
                       timeLeft(Bed, CrashedAt)));
    checkNoViolations(Bed);
  }
}
