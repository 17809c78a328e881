// Tests of what runs on and what starts while the owner of a shard changes and
// workers are silent or leave.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time within which tasks that surely run nowhere start after a planned
/// handover.
constexpr milliseconds HandoverTime = 1s;
/// Longest time for which the store's reply to an owner row is under way.
constexpr milliseconds ReplyTime = 10ms;

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

/// Returns a task of \p Job that runs, but not on \p Worker.
TaskName taskNotOn(const JobTestBed &Bed, const Job &Job,
                   const std::string &Worker) {
  for (int Index = 0; Index < Job.Steps[0].Count; ++Index) {
    TaskName Task{Job.Id, 0, 0, Index};
    if (isRunning(Bed, Task) && Bed.Oracle.workerOf(Task) != Worker)
      return Task;
  }
  FAIL("no task runs on another worker");
  return {};
}

bool allRun(const JobTestBed &Bed, const Job &Job) {
  for (int Index = 0; Index < Job.Steps[0].Count; ++Index)
    if (!isRunning(Bed, {Job.Id, 0, 0, Index}))
      return false;
  return true;
}

bool runsAgain(JobTestBed &Bed, const TaskName &Task, milliseconds Limit) {
  return Bed.runUntil([&] { return isRunning(Bed, Task); }, Limit);
}

/// Lets the owner hand its shard over, and returns the new owner once it has
/// the shard.
int handOver(JobTestBed &Bed) {
  int OldOwner = Bed.ownerIndex();
  REQUIRE(OldOwner >= 0);
  Bed.restartHost(OldOwner, 800ms, 200ms);
  REQUIRE(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
      1s));
  return Bed.ownerIndex();
}

void cutWorker(JobTestBed &Bed, const std::string &Worker) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert(Worker);
}

void endCuts(JobTestBed &Bed) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
}

/// A test bed with a job of long-running tasks on all workers.
struct BusyBed {
  explicit BusyBed(JobTestBedOptions Options) : Bed(traced(Options)) {
    Bed.run(3s);
    REQUIRE(Bed.submit(0, Lasting).has_value());
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
    Bed.run(500ms);
  }

  Job Lasting = longRunningJob("lasting", 12);
  JobTestBed Bed;
};

} // namespace

// Guards against a standstill while hosts and workers are replaced one by one:
// each new owner waited for workers that had just left, and the next handover
// began that wait anew, so that failed long-running tasks stayed down.
TEST_CASE("Failed long-running tasks run again while hosts and workers are "
          "replaced one by one") {
  JobTestBed Bed(traced({.Hosts = 6, .Workers = 12}));
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", 24);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.later(2s * (Host + 1),
              [&Bed, Host] { Bed.restartHost(Host, 1s, 500ms); });
  for (int Number = 0; Number < 24; ++Number) {
    Bed.later(700ms * Number, [&Bed] { Bed.addWorker(); });
    Bed.later(700ms * Number + 300ms,
              [&Bed, Number] { Bed.drainWorker(Number, 1500ms); });
    Bed.later(900ms * Number, [&Bed, Number] {
      Bed.failTask({"lasting", 0, 0, Number});
    });
  }
  Bed.run(40s);
  CHECK(allRun(Bed, Lasting));
  checkNoViolations(Bed);
}

// Guards against a takeover that waits for one silent worker with the tasks of
// all others.
TEST_CASE("After a planned handover tasks that never ran on the silent worker "
          "start at once") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  TaskName Failing = taskNotOn(Bed, Busy.Lasting, "w0");
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  Bed.run(200ms);
  handOver(Bed);
  REQUIRE(Bed.failTask(Failing));
  CHECK(runsAgain(Bed, Failing, HandoverTime));
  checkNoViolations(Bed);
}

// Guards against a wait that each handover begins anew: the tasks of the silent
// worker stayed down for as long as hosts were replaced.
TEST_CASE("A second planned handover does not begin the wait for a silent "
          "worker anew") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  TimePoint CrashedAt = Bed.now();
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  Bed.run(1s);
  handOver(Bed);
  Bed.run(3s);
  handOver(Bed);
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); },
                     std::chrono::ceil<milliseconds>(
                         CrashedAt + RestartCheck::LostTime - Bed.now())));
  checkNoViolations(Bed);
}

// Guards against a wait after a crash of the owner that keeps tasks down which
// cannot run on the silent worker.
TEST_CASE("After the owner's crash a failed long-running task of another "
          "worker than the silent one runs again") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  TaskName Failing = taskNotOn(Bed, Busy.Lasting, "w0");
  cutWorker(Bed, "w0");
  Bed.killHost(Bed.ownerIndex());
  REQUIRE(Bed.failTask(Failing));
  CHECK(runsAgain(Bed, Failing, RestartCheck::LostTime));
  checkNoViolations(Bed);
}

// Guards against a second start of a task that runs on a worker which the new
// owner cannot reach.
TEST_CASE(
    "After the owner's crash the tasks of a silent worker are not started "
    "twice") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  TaskName Failing = taskNotOn(Bed, Busy.Lasting, "w0");
  cutWorker(Bed, "w0");
  Bed.killHost(Bed.ownerIndex());
  REQUIRE(Bed.failTask(Failing));
  Bed.run(4s);
  endCuts(Bed);
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 10s));
  checkNoViolations(Bed);
}

// Guards against a handover that is lost if the outgoing owner is killed before
// it has the store's reply.
TEST_CASE("An owner that is killed while it hands over leaves no task down") {
  for (milliseconds Delay = 1ms; Delay < ReplyTime; Delay += 2ms) {
    CAPTURE(Delay.count());
    BusyBed Busy({});
    JobTestBed &Bed = Busy.Bed;
    int Owner = Bed.ownerIndex();
    TaskName Failing = taskNotOn(Bed, Busy.Lasting, "");
    REQUIRE(Bed.failTask(Failing));
    Bed.host(Owner).Process->leave();
    Bed.run(Delay);
    Bed.killHost(Owner);
    CHECK(runsAgain(Bed, Failing, RestartCheck::LostTime));
    Bed.run(15s);
    CHECK(Bed.Oracle.starts() == 13);
    checkNoViolations(Bed);
  }
}

// Guards against an outgoing owner that goes on with its orders when it resumes
// after the shard was handed over.
TEST_CASE("An owner that is paused while it hands over leaves no task down and "
          "starts none twice") {
  for (milliseconds Delay = 1ms; Delay < ReplyTime; Delay += 2ms) {
    CAPTURE(Delay.count());
    BusyBed Busy({});
    JobTestBed &Bed = Busy.Bed;
    int Owner = Bed.ownerIndex();
    TaskName Failing = taskNotOn(Bed, Busy.Lasting, "");
    REQUIRE(Bed.failTask(Failing));
    Bed.host(Owner).Process->leave();
    Bed.run(Delay);
    Bed.pause(Owner);
    CHECK(runsAgain(Bed, Failing, RestartCheck::LostTime));
    Bed.resume(Owner);
    Bed.run(15s);
    CHECK(Bed.Oracle.starts() == 13);
    checkNoViolations(Bed);
  }
}

// Guards against a release that nobody can follow: the owner stopped extending
// the leases before it knew whether the store had taken the handover.
TEST_CASE("An owner that leaves while the store is unavailable keeps its tasks "
          "running") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  Bed.Store.IsDown = true;
  Bed.restartHost(Bed.ownerIndex(), 9s, 500ms);
  Bed.run(6500ms);
  Bed.Store.IsDown = false;
  Bed.run(15s);
  CHECK(allRun(Bed, Busy.Lasting));
  CHECK(Bed.Oracle.starts() == 12);
  checkNoViolations(Bed);
}

// Guards against the same if the store takes the handover and its reply is
// lost.
TEST_CASE("A handover whose reply is lost leaves no task down") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  TaskName Failing = taskNotOn(Bed, Busy.Lasting, "");
  REQUIRE(Bed.failTask(Failing));
  Bed.Store.LostReplyPercent = 100;
  Bed.restartHost(Bed.ownerIndex(), 3s, 500ms);
  Bed.run(ReplyTime);
  Bed.Store.LostReplyPercent = 0;
  CHECK(runsAgain(Bed, Failing, RestartCheck::LostTime));
  Bed.run(15s);
  CHECK(Bed.Oracle.starts() == 13);
  checkNoViolations(Bed);
}

// Guards against the conclusion that a draining worker which is no longer
// listed has ended its tasks: a worker that is cut off leaves the list too.
TEST_CASE("The tasks of a draining worker that is cut off and leaves the list "
          "are not started twice") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  cutWorker(Bed, "w0");
  Bed.worker(0).Entry.IsDraining = true;
  Bed.publishWorkers();
  Bed.run(3s);
  Bed.setWorkerListed(0, false);
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 15s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against the same after a planned handover, whose new owner never
// reached the worker.
TEST_CASE(
    "The tasks of a draining worker that is cut off are not started twice "
    "after a planned handover") {
  BusyBed Busy({});
  JobTestBed &Bed = Busy.Bed;
  cutWorker(Bed, "w0");
  Bed.worker(0).Entry.IsDraining = true;
  Bed.publishWorkers();
  Bed.run(1s);
  handOver(Bed);
  Bed.run(2s);
  Bed.setWorkerListed(0, false);
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 15s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against a new owner that takes the list of workers for complete: it
// started after a worker that is cut off had left the list, so it never saw it.
TEST_CASE("The tasks of a worker that left the list before the new owner "
          "started are not started twice after a planned handover") {
  BusyBed Busy({.Hosts = 2});
  JobTestBed &Bed = Busy.Bed;
  int Owner = Bed.ownerIndex();
  Bed.restartHost(1 - Owner, 500ms, 2800ms);
  cutWorker(Bed, "w0");
  Bed.run(3s);
  Bed.setWorkerListed(0, false);
  Bed.run(2s);
  CHECK(handOver(Bed) == 1 - Owner);
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 15s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against a handover record that names the workers which answered, but
// not those that are waited for: the new process never saw the cut worker.
TEST_CASE("The tasks of a worker that left the list are not started twice by a "
          "new process that is handed the shard during the wait after a "
          "crash") {
  int Handovers = 0;
  for (milliseconds Boot = 800ms; Boot <= 2400ms; Boot += 400ms) {
    CAPTURE(Boot.count());
    BusyBed Busy({});
    JobTestBed &Bed = Busy.Bed;
    // The host that is not restarted then counts as settled and takes over.
    Bed.run(12s);
    int Owner = Bed.ownerIndex();
    int Booting = (Owner + 1) % Bed.hosts();
    Bed.restartHost(Booting, 10ms, 60s);
    Bed.run(200ms);
    cutWorker(Bed, "w0");
    Bed.killHost(Owner);
    Bed.run(600ms);
    Bed.setWorkerListed(0, false);
    Bed.run(Boot - 600ms);
    Bed.startHost(Booting);
    cutWorker(Bed, "w0");
    REQUIRE(Bed.runUntil([&] { return Bed.ownerIndex() >= 0; }, 6s));
    int Successor = Bed.ownerIndex();
    Bed.run(2s);
    Bed.restartHost(Successor, 800ms, 60s);
    Bed.run(900ms);
    Handovers += Successor != Booting && Bed.ownerIndex() == Booting;
    CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 20s));
    checkNoViolations(Bed);
  }
  CHECK(Handovers > 0);
}

// Guards against a restart that counts as a new task for the next owner: other
// tasks took its room.
TEST_CASE("A long-running task that fails around a handover gets its room back "
          "before short tasks") {
  for (milliseconds FailAfter : {0ms, 4ms, 12ms, 30ms}) {
    CAPTURE(FailAfter.count());
    JobTestBed Bed(
        traced({.Workers = 2,
                .WorkerCapacity = {.Millicores = 2000, .MemoryMib = 16000}}));
    Bed.run(3s);
    Job Lasting = longRunningJob("lasting", 4);
    REQUIRE(Bed.submit(0, Lasting).has_value());
    REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 2s));
    for (int Number = 0; Number < 3; ++Number)
      REQUIRE(
          Bed.submit(0, chainJob("short-" + std::to_string(Number), 1, 4, 8s))
              .has_value());
    Bed.run(1s);
    Bed.host(Bed.ownerIndex()).Process->leave();
    Bed.run(FailAfter);
    TaskName Failing = {"lasting", 0, 0, 1};
    REQUIRE(Bed.failTask(Failing));
    CHECK(runsAgain(Bed, Failing, HandoverTime));
    checkNoViolations(Bed);
  }
}

// Guards against the same after a crash, when no previous owner can say what it
// had started.
TEST_CASE("The tasks of a worker that left the list before the new owner "
          "started are not started twice after a crash") {
  BusyBed Busy({.Hosts = 1});
  JobTestBed &Bed = Busy.Bed;
  cutWorker(Bed, "w0");
  Bed.run(3s);
  Bed.killHost(0);
  Bed.setWorkerListed(0, false);
  Bed.startHost(0);
  Bed.host(0).UnreachableWorkers.insert("w0");
  CHECK(Bed.runUntil([&] { return allRun(Bed, Busy.Lasting); }, 20s));
  Bed.run(5s);
  checkNoViolations(Bed);
}

// Guards against a shard that keeps its long-running job although it has no
// room left for the job's restarts, while other shards are idle.
TEST_CASE("A long-running task that fails on a full shard runs again where "
          "there is room") {
  JobTestBed Bed(
      traced({.Workers = 6,
              .MinShards = 3,
              .WorkerCapacity = {.Millicores = 4000, .MemoryMib = 16000}}));
  Bed.run(5s);
  // The tasks fill both workers of the shard.
  Job Lasting = longRunningJob("lasting", 8);
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(Bed.runUntil([&] { return allRun(Bed, Lasting); }, 6s));
  ModelWorker *Leaving =
      Bed.workerById(Bed.Oracle.workerOf({"lasting", 0, 0, 0}));
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (&Bed.worker(Worker) == Leaving)
      Bed.drainWorker(Worker, 2s);
  Bed.run(2s + RestartCheck::LostTime);
  CHECK(allRun(Bed, Lasting));
  checkNoViolations(Bed);
}

// Guards against two runs of a task with one number: neither of two owners in a
// row stored a start, so that the second gave the number of the first again. A
// run of the first that had ended as done was taken for the one of the second.
TEST_CASE("Owners that store no start give their runs different numbers") {
  JobTestBed Bed(traced({.Workers = 2}));
  Bed.run(3s);
  auto SetReachable = [&](bool IsReachable) {
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      for (int Worker = 0; Worker < Bed.workers(); ++Worker)
        if (IsReachable)
          Bed.host(Host).UnreachableWorkers.clear();
        else
          Bed.host(Host).UnreachableWorkers.insert(Bed.worker(Worker).Entry.Id);
  };
  SetReachable(false);
  Bed.run(2s);
  REQUIRE(Bed.submit(0, chainJob("job", 1, 1, 200ms)).has_value());
  // The second owner reads the job's progress, and starts the task.
  Bed.killHost(Bed.ownerIndex());
  SetReachable(true);
  TaskName Task{"job", 0, 0, 0};
  REQUIRE(Bed.runUntil([&] { return isRunning(Bed, Task); }, 15s));
  int Worker = Bed.worker(0).runs(Task) ? 0 : 1;
  Bed.killHost(Bed.ownerIndex());
  Bed.run(300ms);
  REQUIRE_FALSE(isRunning(Bed, Task));
  Bed.loseWorker(Worker, 0ms);
  CHECK(Bed.runUntil([&] { return isRunning(Bed, Task); }, 20s));
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 2);
  Result<JobState> State = Bed.state(Bed.ownerIndex(), "job");
  CHECK((State.has_value() && State.value() == JobState::Completed));
  checkNoViolations(Bed);
}

// Guards against the same number if the second owner is that of another shard:
// the job was transferred, and no start in the first shard had been stored.
TEST_CASE("A transferred job whose starts were not stored gives its runs "
          "different numbers") {
  JobTestBed Bed(traced({.Workers = 2, .MinShards = 2}));
  Bed.run(6s);
  Bed.Store.RefusesCommit = [](const RowCommit &Commit) {
    return std::any_of(Commit.Conditions.begin(), Commit.Conditions.end(),
                       [](const RowCondition &Condition) {
                         return Condition.Address.Table == "progress";
                       });
  };
  REQUIRE(Bed.submit(0, chainJob("job", 1, 1, 200ms)).has_value());
  TaskName Task{"job", 0, 0, 0};
  REQUIRE(Bed.runUntil([&] { return isRunning(Bed, Task); }, 2s));
  int Worker = Bed.worker(0).runs(Task) ? 0 : 1;
  Bed.run(1s);
  REQUIRE(Bed.Oracle.allDone("job"));
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    Bed.host(Host).UnreachableWorkers.insert(Bed.worker(Worker).Entry.Id);
    Bed.killHost(Host);
    Bed.startHost(Host);
  }
  Bed.Store.RefusesCommit = nullptr;
  Bed.setWorkerListed(Worker, false);
  CHECK(Bed.runUntil([&] { return isRunning(Bed, Task); }, 30s));
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 2);
  CHECK(Bed.LogLines["job_moved"] == 1);
  checkNoViolations(Bed);
}
