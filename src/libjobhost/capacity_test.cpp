// Tests of workers whose capacity shrinks and grows while they run.

#include "testing/jobtestbed.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr Resources Full{.Millicores = 8000, .MemoryMib = 16000};
/// Room for two of the tasks of chainJob().
constexpr Resources TwoTasks{.Millicores = 2000, .MemoryMib = 16000};
constexpr Resources OneTask{.Millicores = 1000, .MemoryMib = 16000};

Job jobWith(const std::string &Id, int Tasks, int64_t Millicores,
            milliseconds Estimate = 400ms) {
  Job Out = chainJob(Id, 1, Tasks, Estimate);
  Out.Steps[0].Demand.Millicores = Millicores;
  return Out;
}

bool reaches(JobTestBed &Bed, const std::string &Id, JobState State,
             milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> Seen = Bed.state(0, Id);
        return Seen.has_value() && Seen.value() == State;
      },
      Limit);
}

bool allRunWithin(JobTestBed &Bed, size_t Tasks, milliseconds Limit) {
  return Bed.runUntil([&] { return Bed.Oracle.running() == Tasks; }, Limit);
}

size_t runsOn(JobTestBed &Bed, int Worker) {
  return Bed.Oracle.tasksOn(Bed.worker(Worker).Entry.Id).size();
}

uint64_t polls(JobTestBed &Bed) {
  uint64_t Out = 0;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Bed.host(Host).Process)
      Out += Bed.host(Host).Process->counts().Polls;
  return Out;
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

} // namespace

// Guards the oracle of these tests.
TEST_CASE("The oracle reports a start above a capacity that has shrunk") {
  JobOracle Oracle;
  ManualClock Time;
  ModelWorker Worker({.Id = "w", .Capacity = Full}, Oracle,
                     [&] { return Time.now(); });
  Oracle.addJob({.Spec = chainJob("a", 1, 6, 60s)});
  auto Start = [&](int Index) {
    (void)Worker.start({.Task = {"a", 0, 0, Index},
                        .Run = 1,
                        .LeaseUntil = milliseconds(600000)});
  };
  Start(0);
  Start(1);
  Start(2);
  Worker.setCapacity(OneTask, 500ms);
  Time.advance(400ms);
  Start(3);
  CHECK(Oracle.violations().empty());
  Time.advance(200ms);
  CHECK(Oracle.violations().empty());
  Start(4);
  CHECK(Oracle.violations().size() == 1);
  Worker.setCapacity(Full, 500ms);
  Start(5);
  CHECK(Oracle.violations().size() == 1);
}

// Guards against starts on a worker whose room is taken, and against runs that
// are ended since their worker has become too small for them.
TEST_CASE(
    "A worker that shrinks below what runs on it keeps its runs and takes "
    "no starts until it grows") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("lasting", 4)).has_value());
  REQUIRE(allRunWithin(Bed, 4, 2s));
  Bed.setCapacity(0, TwoTasks);
  CHECK(Bed.submit(0, chainJob("short", 1, 3)).has_value());
  Bed.run(20s);
  CHECK(Bed.Oracle.starts() == 4);
  CHECK(Bed.Oracle.running() == 4);
  Bed.setCapacity(0, Full);
  CHECK(reaches(Bed, "short", JobState::Completed, 2s));
  CHECK(Bed.Oracle.running() == 4);
  checkNoViolations(Bed);
}

TEST_CASE("Memory and accelerators that shrink stop starts as processors do") {
  Resources WithAccelerators = Full;
  WithAccelerators.Accelerators = 2;
  for (Resources Less :
       {Resources{.Millicores = 8000, .MemoryMib = 2500, .Accelerators = 2},
        Resources{.Millicores = 8000, .MemoryMib = 16000, .Accelerators = 0}}) {
    JobTestBed Bed({.Workers = 1, .WorkerCapacity = WithAccelerators});
    Bed.run(3s);
    Job Value = longRunningJob("lasting", 2);
    Value.Steps[0].Demand.Accelerators = 1;
    CHECK(Bed.submit(0, Value).has_value());
    REQUIRE(allRunWithin(Bed, 2, 2s));
    Bed.setCapacity(0, Less);
    CHECK(Bed.submit(0, chainJob("short", 1, 1)).has_value());
    Bed.run(5s);
    CHECK(Bed.Oracle.starts() == 2);
    Bed.setCapacity(0, WithAccelerators);
    CHECK(reaches(Bed, "short", JobState::Completed, 2s));
    CHECK(Bed.Oracle.running() == 2);
    checkNoViolations(Bed);
  }
}

// Guards against starts that the owner orders from an older capacity after it
// has heard of a lower one.
TEST_CASE("Start orders on their way at a change are the last above the new "
          "capacity") {
  // At several times relative to the orders.
  for (int Time = 0; Time < 8; ++Time) {
    JobTestBed Bed({.Workers = 1, .NetworkDelay = 40ms});
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("a", 1, 60, 900ms)).has_value());
    Bed.run(10ms * Time);
    Bed.setCapacity(0, TwoTasks);
    // Those of before the change end, and no others start in their place.
    Bed.run(1600ms);
    for (int Step = 0; Step < 50; ++Step) {
      Bed.run(100ms);
      CHECK(runsOn(Bed, 0) <= 2);
    }
    CHECK(Bed.runUntil([&] { return runsOn(Bed, 0) == 2; }, 1s));
    Bed.setCapacity(0, Full);
    CHECK(Bed.runUntil([&] { return runsOn(Bed, 0) == 8; }, 2s));
    checkNoViolations(Bed);
  }
}

// A task that is being stopped still takes its room.
TEST_CASE("Tasks that end on a worker that has shrunk make room only below the "
          "new capacity") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 8, 60s)).has_value());
  REQUIRE(allRunWithin(Bed, 8, 2s));
  Bed.setCapacity(0, TwoTasks);
  CHECK(Bed.submit(0, chainJob("b", 1, 8, 500ms)).has_value());
  Bed.run(2s);
  CHECK(Bed.cancel(0, "a").has_value());
  CHECK(Bed.runUntil([&] { return runsOn(Bed, 0) <= 2; }, 2s));
  for (int Step = 0; Step < 40; ++Step) {
    Bed.run(100ms);
    CHECK(runsOn(Bed, 0) <= 2);
  }
  CHECK(reaches(Bed, "b", JobState::Completed, 2s));
  checkNoViolations(Bed);
}

// Guards against a worker without room that counts as gone: its runs would be
// lost.
TEST_CASE("A worker without any room is polled, keeps its runs and takes no "
          "starts") {
  for (Resources None : {Resources{}, Resources{.MemoryMib = 16000},
                         Resources{.Millicores = 8000}}) {
    JobTestBed Bed({.Workers = 1});
    Bed.run(3s);
    CHECK(Bed.submit(0, longRunningJob("lasting", 3)).has_value());
    REQUIRE(allRunWithin(Bed, 3, 2s));
    Bed.setCapacity(0, None);
    CHECK(Bed.submit(0, chainJob("short", 1, 1)).has_value());
    uint64_t Before = polls(Bed);
    Bed.run(20s);
    CHECK(polls(Bed) > Before + 15);
    CHECK(Bed.Oracle.starts() == 3);
    CHECK(Bed.Oracle.running() == 3);
    Bed.setCapacity(0, Full);
    CHECK(reaches(Bed, "short", JobState::Completed, 2s));
    CHECK(Bed.Oracle.starts() == 4);
    checkNoViolations(Bed);
  }
}

// Guards against fill tasks, which reserve no processor time, on a worker that
// has no processors.
TEST_CASE("No fill task starts on a worker without processors") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  Bed.setCapacity(0, {.Millicores = 0, .MemoryMib = 16000});
  Job Value = chainJob("fill", 1, 2);
  Value.Steps[0].IsFill = true;
  CHECK(Bed.submit(0, Value).has_value());
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 0);
  Bed.setCapacity(0, Full);
  CHECK(reaches(Bed, "fill", JobState::Completed, 2s));
  checkNoViolations(Bed);
}

// Guards against a pace that is no number: shares of a worker without
// processors are not finite.
TEST_CASE("Fill tasks beside serving tasks run on while their worker has no "
          "processors") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  Job Serving = longRunningJob("serving", 2);
  Serving.Steps[0].TailTarget = 100ms;
  Job Fill = chainJob("fill", 1, 2, 8s);
  Fill.Steps[0].IsFill = true;
  Fill.Steps[0].Image = "fill";
  CHECK(Bed.submit(0, Serving).has_value());
  CHECK(Bed.submit(0, Fill).has_value());
  REQUIRE(allRunWithin(Bed, 4, 3s));
  Bed.worker(0).AlterAnswer = [](PollReply &Answer) {
    for (RunningTask &Run : Answer.Running)
      Run.Usage = Run.Task.Job == "fill" ? 900 : 30;
  };
  Bed.run(1s);
  Bed.setCapacity(0, {});
  Bed.run(3s);
  CHECK(Bed.Oracle.running() == 4);
  for (int Percent : Bed.worker(0).Paces) {
    CHECK(Percent >= 0);
    CHECK(Percent <= 100);
  }
  Bed.setCapacity(0, Full);
  Bed.run(2s);
  REQUIRE(!Bed.worker(0).Paces.empty());
  CHECK(Bed.worker(0).Paces.back() > 0);
  CHECK(reaches(Bed, "fill", JobState::Completed, 8s));
  checkNoViolations(Bed);
}

// Guards against a job that is given up though it can run once its worker has
// grown again.
TEST_CASE("A job is not failed while the only worker that it fits on has "
          "shrunk") {
  for (Resources Less : {TwoTasks, Resources{}}) {
    JobTestBed Bed({.Workers = 3});
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
    Bed.run(3s);
    Bed.setCapacity(0, Less);
    CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
    for (int Second = 0; Second < 15; ++Second) {
      Bed.run(1s);
      Result<JobState> State = Bed.state(0, "large");
      REQUIRE(State.has_value());
      CHECK(State.value() == JobState::Queued);
    }
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
    CHECK(reaches(Bed, "large", JobState::Completed, 3s));
    checkNoViolations(Bed);
  }
}

// Guards against a job that is accepted although it is known to fit nowhere.
TEST_CASE("A job that never fitted on any worker is refused by each host, also "
          "while workers have shrunk") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  Bed.setCapacity(0, TwoTasks);
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    Status Answer = Bed.submit(Host, jobWith("large", 1, 8001));
    REQUIRE_FALSE(Answer.has_value());
    CHECK(Answer.error().Code == ResultCode::NeverFits);
    Result<JobState> State = Bed.state(Host, "large");
    CHECK((!State.has_value() && State.error().Code == ResultCode::NotFound));
  }
  Bed.run(1s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.submit(0, jobWith("small", 1, 8000)).has_value());
  CHECK(reaches(Bed, "small", JobState::Completed, 3s));
  checkNoViolations(Bed);
}

// Guards against a job that is shown as failed because its only worker has left
// the list, and against a worker that left for good and counts for ever.
TEST_CASE("A job that fits only on a worker that has left waits for it, and is "
          "refused once the worker is gone for good") {
  JobTestBed Bed({.Workers = 3});
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  Bed.run(3s);
  Bed.setCapacity(0, Full);
  Bed.run(1s);
  Bed.loseWorker(0, 500ms);
  Bed.run(1s);
  CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
  for (int Second = 0; Second < 15; ++Second) {
    Bed.run(1s);
    CHECK(Bed.state(0, "large").value() == JobState::Queued);
  }
  Bed.run(600s);
  CHECK(Bed.state(0, "large").value() == JobState::Queued);
  Status Answer = Bed.submit(0, jobWith("late", 1, 20000));
  REQUIRE_FALSE(Answer.has_value());
  CHECK(Answer.error().Code == ResultCode::NeverFits);
}

TEST_CASE("The owner that follows does not fail a job whose only worker has "
          "shrunk") {
  JobTestBed Bed({.Workers = 3});
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  Bed.run(3s);
  Bed.setCapacity(0, TwoTasks);
  CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
  Bed.run(1s);
  Bed.killHost(Bed.ownerIndex());
  Bed.run(15s);
  REQUIRE(Bed.ownerIndex() >= 0);
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("large"); }, 3s));
  checkNoViolations(Bed);
}

// Guards against a job that stays for good in a shard where it fits on no
// worker: no shard had a worker for it when it came, and it is too old to be
// transferred when the worker of another shard grows.
TEST_CASE("A job finds the worker that grows in another shard after a long "
          "time") {
  for (int Number = 0; Number < 6; ++Number) {
    JobTestBed Bed({.Workers = 4, .MinShards = 2});
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
    Bed.run(4s);
    Bed.setCapacity(0, TwoTasks);
    std::string Id = "large-" + std::to_string(Number);
    CHECK(Bed.submit(0, jobWith(Id, 1, 20000)).has_value());
    Bed.run(15s);
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone(Id); }, 5s));
    checkNoViolations(Bed);
  }
}

TEST_CASE("A gang waits as a whole while one of its workers has shrunk") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  Bed.setCapacity(0, OneTask);
  Job Value = jobWith("gang", 4, 4000);
  Value.Steps[0].Gang = true;
  CHECK(Bed.submit(0, Value).has_value());
  Bed.run(10s);
  CHECK(Bed.Oracle.starts() == 0);
  Bed.setCapacity(0, Full);
  CHECK(reaches(Bed, "gang", JobState::Completed, 3s));
  CHECK(Bed.Oracle.starts() == 4);
  checkNoViolations(Bed);
}

// Guards against room that stays reserved on a worker that has become too small
// for the task, and against small tasks that keep a large one out afterwards.
TEST_CASE("A large task reserves room again once its worker has grown") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  // Late jobs, which come after the large one.
  for (int Number = 0; Number < 40; ++Number) {
    std::string Id = "small-" + std::to_string(Number);
    CHECK(Bed.submit(0, chainJob(Id, 1, 2, 700ms)).has_value());
  }
  Bed.setCapacity(0, TwoTasks);
  Bed.run(5s);
  CHECK(Bed.submit(0, jobWith("large", 1, 8000, 20s)).has_value());
  int Before = Bed.Oracle.starts();
  Bed.run(4s);
  CHECK(Bed.Oracle.starts() >= Before + 8);
  Bed.setCapacity(0, Full);
  CHECK(Bed.runUntil(
      [&] {
        return Bed.worker(0).runs({"large", 0, 0, 0});
      },
      2s));
  CHECK(Bed.Oracle.starts() < 80);
  checkNoViolations(Bed);
}

TEST_CASE("A long-running task that ends on a worker that has shrunk starts "
          "again once the worker has grown") {
  JobTestBed Bed({.Workers = 1});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("lasting", 2, 4000)).has_value());
  REQUIRE(allRunWithin(Bed, 2, 2s));
  Bed.setCapacity(0, {.Millicores = 5000, .MemoryMib = 16000});
  CHECK(Bed.failTask({"lasting", 0, 0, 0}));
  Bed.run(10s);
  CHECK(Bed.Oracle.running() == 1);
  CHECK(Bed.Oracle.starts() == 2);
  Bed.setCapacity(0, Full);
  CHECK(allRunWithin(Bed, 2, 2s));
  checkNoViolations(Bed);
}

// Guards against long-running tasks that wait in a shard whose workers have
// shrunk beside one that has room.
TEST_CASE("Long-running tasks find room in another shard while their own has "
          "shrunk") {
  JobTestBed Bed({.Workers = 4, .MinShards = 2});
  Bed.run(4s);
  CHECK(Bed.submit(0, longRunningJob("lasting", 2, 3000)).has_value());
  REQUIRE(allRunWithin(Bed, 2, 2s));
  int Shard = -1;
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).hasRuns())
      Shard = Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id);
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id) == Shard)
      Bed.setCapacity(Worker, OneTask);
  Bed.run(2s);
  CHECK(Bed.Oracle.running() == 2);
  CHECK(Bed.failTask({"lasting", 0, 0, 0}));
  CHECK(allRunWithin(Bed, 2, 9s));
  checkNoViolations(Bed);
}

// Guards against starts above a capacity that the previous owner knew and the
// new one does not.
TEST_CASE("A worker that has shrunk takes no starts from the owner that "
          "follows") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("lasting", 10)).has_value());
  REQUIRE(allRunWithin(Bed, 10, 2s));
  Bed.setCapacity(0, TwoTasks);
  Bed.setCapacity(1, OneTask);
  CHECK(Bed.submit(0, chainJob("short", 1, 6)).has_value());
  Bed.killHost(Bed.ownerIndex());
  Bed.run(30s);
  CHECK(Bed.Oracle.running() == 10);
  CHECK(Bed.Oracle.starts() == 10);
  Bed.setCapacity(0, Full);
  Bed.setCapacity(1, Full);
  CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("short"); }, 3s));
  checkNoViolations(Bed);
}

// Guards against a host that knows only the capacities of the time since its
// start.
TEST_CASE("A host that starts while a worker has shrunk does not fail a job "
          "that fits only there") {
  JobTestBed Bed({.Hosts = 1, .Workers = 3});
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  Bed.run(3s);
  Bed.setCapacity(0, TwoTasks);
  CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
  Bed.run(1s);
  Bed.killHost(0);
  Bed.startHost(0);
  Bed.run(15s);
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("large"); }, 3s));
  checkNoViolations(Bed);
}

// Guards against a capacity that is known only to the owner of the worker's
// shard, or only until the second restart.
TEST_CASE("A job that fits only on a worker of another shard that has shrunk "
          "outlives restarts of all hosts") {
  for (int Large = 0; Large < 4; ++Large) {
    JobTestBed Bed({.Hosts = 2, .Workers = 4, .MinShards = 2});
    Bed.setCapacity(Large, {.Millicores = 32000, .MemoryMib = 16000});
    Bed.run(4s);
    Bed.setCapacity(Large, TwoTasks);
    CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
    Bed.run(1s);
    for (int Restart = 0; Restart < 2; ++Restart) {
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.killHost(Host);
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.startHost(Host);
      Bed.run(15s);
    }
    Bed.setCapacity(Large, {.Millicores = 32000, .MemoryMib = 16000});
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("large"); }, 5s));
    checkNoViolations(Bed);
  }
}

// Guards against a stored capacity that counts for a worker that there is no
// more: one of another kind has its name, or it does not come back. Until that
// is certain a job that is accepted waits.
TEST_CASE("A job that fitted only on a worker that has shrunk and left is "
          "refused after a restart once that is known") {
  for (bool IsReplaced : {false, true}) {
    CAPTURE(IsReplaced);
    JobTestBed Bed({.Hosts = 1, .Workers = 3});
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
    Bed.run(3s);
    Bed.setCapacity(0, TwoTasks);
    Bed.run(1s);
    Bed.killHost(0);
    if (IsReplaced)
      Bed.worker(0).Entry.Labels = {"another-kind"};
    else
      Bed.setWorkerListed(0, false);
    Bed.startHost(0);
    Bed.run(3s);
    if (!IsReplaced) {
      CHECK(Bed.submit(0, jobWith("early", 1, 20000)).has_value());
      Bed.run(600s);
      CHECK(Bed.state(0, "early").value() == JobState::Queued);
    }
    Status Answer = Bed.submit(0, jobWith("large", 1, 20000));
    REQUIRE_FALSE(Answer.has_value());
    CHECK(Answer.error().Code == ResultCode::NeverFits);
  }
}

// Guards against a worker without any capacity that counts as one that never
// had any: nothing tells from what it has shrunk.
TEST_CASE("A job waits while the only worker has shrunk to nothing before the "
          "host started") {
  for (Resources None : {Resources{}, Resources{.MemoryMib = 16000},
                         Resources{.Millicores = 8000}}) {
    JobTestBed Bed({.Hosts = 1, .Workers = 1});
    Bed.run(3s);
    Bed.killHost(0);
    Bed.setCapacity(0, None);
    Bed.startHost(0);
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("short", 1, 1)).has_value());
    Bed.run(15s);
    Bed.setCapacity(0, Full);
    CHECK(reaches(Bed, "short", JobState::Completed, 3s));
    checkNoViolations(Bed);
  }
}

TEST_CASE("A job waits while the only worker that it fits on is back smaller "
          "than it left") {
  JobTestBed Bed({.Workers = 3});
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  Bed.run(3s);
  Bed.setWorkerListed(0, false);
  Bed.run(60s);
  Bed.setCapacity(0, TwoTasks);
  Bed.setWorkerListed(0, true);
  Bed.run(1s);
  CHECK(Bed.submit(0, jobWith("large", 1, 20000)).has_value());
  Bed.run(15s);
  Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 16000});
  CHECK(reaches(Bed, "large", JobState::Completed, 3s));
  checkNoViolations(Bed);
}
