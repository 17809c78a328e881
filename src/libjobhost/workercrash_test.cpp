// Tests of tasks that crash the workers that run them.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A task may start twice more after three workers have crashed under it.
constexpr int MaxDeadlyStarts = 5;

TaskName taskOf(const std::string &Id, int Index = 0) {
  return {.Job = Id, .Occurrence = 0, .Step = 0, .Index = Index};
}

/// Returns the state that the first host with an answer reports.
JobState stateOf(JobTestBed &Bed, const std::string &Id) {
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    Result<JobState> State = Bed.state(Host, Id);
    if (State.has_value())
      return State.value();
  }
  return JobState::Queued;
}

bool reaches(JobTestBed &Bed, const std::string &Id, JobState State,
             milliseconds Limit) {
  TimePoint Until = Bed.now() + Limit;
  while (stateOf(Bed, Id) != State) {
    if (Bed.now() >= Until)
      return false;
    Bed.run(100ms);
  }
  return true;
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

JobShardCounts countsOf(JobTestBed &Bed) {
  return Bed.host(Bed.ownerIndex()).Process->counts();
}

void startAllHosts(JobTestBed &Bed) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (!Bed.host(Host).Process)
      Bed.startHost(Host);
}

/// Restarts the owner as planned, or kills it, \p Delay after each start of a
/// deadly task.
void changeOwnerAfterStarts(JobTestBed &Bed, milliseconds Delay, bool IsKill) {
  Bed.Oracle.OnDeadlyStart = [&Bed, Delay, IsKill] {
    Bed.later(Delay, [&Bed, IsKill] {
      int Owner = Bed.ownerIndex();
      if (Owner < 0)
        return;
      if (!IsKill)
        return Bed.restartHost(Owner, 1s, 500ms);
      Bed.killHost(Owner);
      Bed.later(1s, [&Bed] { startAllHosts(Bed); });
    });
  };
}

} // namespace

// Guards against decisions that on-call cannot see.
TEST_CASE("Each decision on a deadly task is logged and counted") {
  JobTestBed Bed(
      {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
  Bed.run(3s);
  Bed.Oracle.setDeadly(taskOf("deadly"));
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 30s));
  CHECK(countsOf(Bed).WorkerCrashes == 3);
  CHECK(countsOf(Bed).CrashTrials == 2);
  CHECK(countsOf(Bed).CrashTrialsSurvived == 0);
  CHECK(countsOf(Bed).CrashJobsGivenUp == 1);
  CHECK(Bed.LogLines["worker_crashed"] == 3);
  CHECK(Bed.LogLines["trial_begins"] == 2);
  CHECK(Bed.LogLines["trial_ends"] == 2);
  CHECK(Bed.LogLines["task_given_up"] == 1);
  Bed.run(10s);
  CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts == 3);
  checkNoViolations(Bed);
}

// Guards against innocent tasks that are given up: two workers and more crashed
// under them, each time beside a deadly one.
TEST_CASE("A task that was beside deadly ones again and again completes") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("innocent", 1, 8, 4s)).has_value());
  for (int Number = 0; Number < 3; ++Number) {
    std::string Id = fmt::format("deadly-{}", Number);
    Bed.Oracle.setDeadly(taskOf(Id));
    CHECK(Bed.submit(0, chainJob(Id, 1, 1)).has_value());
    Bed.run(1500ms);
  }
  CHECK(reaches(Bed, "innocent", JobState::Completed, 120s));
  for (int Number = 0; Number < 3; ++Number)
    CHECK(
        reaches(Bed, fmt::format("deadly-{}", Number), JobState::Failed, 60s));
  checkNoViolations(Bed);
}

// Guards against long-running tasks that wait for trials since a new owner took
// their runs, of which it only knew that they were there, for young ones.
TEST_CASE("A new owner holds no long-running task back that it has adopted") {
  for (milliseconds SinceKill : {4000ms, 4400ms, 4800ms}) {
    CAPTURE(SinceKill.count());
    JobTestBed Bed({.Workers = 13});
    Bed.run(3s);
    const Job Lasting = longRunningJob("lasting", 39, 1000);
    CHECK(Bed.submit(0, Lasting).has_value());
    Bed.run(10s);
    CHECK(Bed.Oracle.running() == 39);
    Bed.killHost(Bed.ownerIndex());
    Bed.run(SinceKill);
    Bed.crashWorkers({0, 1, 2, 3, 4});
    CHECK(Bed.Oracle.running() < 30);
    CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 39; },
                       RestartCheck::RestartTime));
    CHECK(countsOf(Bed).CrashTrials == 0);
    checkNoViolations(Bed);
  }
}

// Guards against jobs that fail because many workers went down at one moment,
// again and again.
TEST_CASE("Crashes of a third of the workers fail no job, four times") {
  JobTestBed Bed({.Workers = 9});
  Bed.run(3s);
  std::vector<std::string> Jobs;
  for (int Number = 0; Number < 12; ++Number) {
    Jobs.push_back(fmt::format("job-{}", Number));
    CHECK(Bed.submit(0, chainJob(Jobs.back(), 6, 4, 900ms)).has_value());
  }
  for (int Herd = 0; Herd < 4; ++Herd) {
    Bed.crashWorkers({Herd * 2 % 9, (Herd * 2 + 1) % 9, (Herd * 2 + 2) % 9});
    Bed.run(4500ms);
  }
  for (const std::string &Id : Jobs)
    CHECK(reaches(Bed, Id, JobState::Completed, 60s));
  CHECK(countsOf(Bed).CrashJobsGivenUp == 0);
  checkNoViolations(Bed);
}

// Guards against a count that begins anew with each planned change of owner.
TEST_CASE("Crashes stay counted if the owner changes as planned after each") {
  // At several times relative to the crash and to the worker's return.
  for (milliseconds Delay : {50ms, 700ms, 2000ms, 3300ms, 3700ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed(
        {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
    Bed.run(3s);
    Bed.Oracle.setDeadly(taskOf("deadly"));
    changeOwnerAfterStarts(Bed, Delay, false);
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    checkNoViolations(Bed);
  }
}

// Guards against trials that end with a planned change of the owner, so that
// the crash is no proof and does not count as one of a trial.
TEST_CASE("A trial goes on if the owner changes as planned during it") {
  for (milliseconds Delay : {500ms, 700ms, 1000ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed(
        {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
    Bed.run(3s);
    Bed.Oracle.setDeadly(taskOf("deadly"), 1400ms);
    changeOwnerAfterStarts(Bed, Delay, false);
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1, 9s)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    checkNoViolations(Bed);
  }
}

// Guards against a planned change of the owner after which the crash of a
// silent worker counts for none of its runs that an answer had shown.
TEST_CASE("A crash that follows a planned change of the owner counts for young "
          "runs") {
  for (milliseconds Delay : {1500ms, 1700ms, 2000ms, 2500ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed(
        {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
    Bed.run(3s);
    Bed.Oracle.setDeadly(taskOf("deadly"), 1400ms);
    changeOwnerAfterStarts(Bed, Delay, false);
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1, 9s)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    checkNoViolations(Bed);
  }
}

// Guards against long-running tasks that wait for their trials one after the
// other, though most suspects of a crash are innocent.
TEST_CASE("Many long-running suspects run again in time") {
  for (milliseconds Age : {50ms, 150ms, 250ms}) {
    CAPTURE(Age.count());
    JobTestBed Bed({.Workers = 6});
    Bed.run(3s);
    Job Lasting = longRunningJob("lasting", 30);
    CHECK(Bed.submit(0, Lasting).has_value());
    auto CountRunning = [&] {
      int Out = 0;
      for (int Index = 0; Index < 30; ++Index)
        Out += Bed.Oracle.workerOf({"lasting", 0, 0, Index}).empty() ? 0 : 1;
      return Out;
    };
    REQUIRE(Bed.runUntil([&] { return CountRunning() == 30; }, 2s));
    Bed.run(Age);
    Bed.crashWorkers({0, 1});
    CHECK(Bed.runUntil([&] { return CountRunning() == 30; }, 6s));
    checkNoViolations(Bed);
  }
}

// Guards against a count that begins anew whenever the owner is killed, also
// before the worker is back, so that no owner has counted the crash.
TEST_CASE("Crashes stay counted if the owner is killed after each") {
  for (milliseconds Delay : {1700ms, 2500ms, 3300ms, 3700ms, 5000ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed(
        {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
    Bed.run(3s);
    Bed.Oracle.setDeadly(taskOf("deadly"));
    changeOwnerAfterStarts(Bed, Delay, true);
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 200s));
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    checkNoViolations(Bed);
  }
}

// Guards against tasks that crash their worker some time after the start: they
// look like those that have survived.
TEST_CASE("A task that crashes its worker later is found beside others") {
  for (milliseconds RunTime : {200ms, 400ms, 1000ms, 2000ms}) {
    CAPTURE(RunTime.count());
    JobTestBed Bed({.Workers = 6});
    Bed.run(3s);
    Bed.Oracle.setDeadly(taskOf("deadly"), RunTime);
    CHECK(Bed.submit(0, chainJob("innocent", 20, 8, 900ms)).has_value());
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1, 9s)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    CHECK(reaches(Bed, "innocent", JobState::Completed, 90s));
    checkNoViolations(Bed);
  }
}

// Guards against trials that a deadly task survives, so that its next start is
// none: they were shorter than the run that had crashed a worker.
TEST_CASE("A task survives no trial if it crashes each worker") {
  for (uint64_t Seed = 1; Seed <= 24; ++Seed) {
    CAPTURE(Seed);
    JobTestBed Bed({.Workers = 8, .Seed = Seed});
    Bed.run(3s);
    CHECK(Bed.submit(0, longRunningJob("lasting", 8)).has_value());
    Bed.run(1s + Seed * 37ms);
    Bed.Oracle.setDeadly(taskOf("deadly"), 400ms);
    bool IsFirst = true;
    Bed.Oracle.OnDeadlyStart = [&] {
      if (IsFirst)
        Bed.later(400ms, [&] { Bed.crashWorkers({6, 7}); });
      IsFirst = false;
    };
    CHECK(Bed.submit(0, longRunningJob("deadly", 1)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(countsOf(Bed).CrashTrialsSurvived == 0);
    CHECK(Bed.Oracle.deadly(taskOf("deadly"))->Starts <= MaxDeadlyStarts);
    checkNoViolations(Bed);
  }
}

// Guards against an innocent job that is given up after two crashes, since an
// owner was killed that had seen the task start for the first time.
TEST_CASE("Two crashes under a task fail no job if the killed owner had stored "
          "the first") {
  JobTestBed Bed(
      {.Workers = 4, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("innocent", 1, 1, 9s)).has_value());
  auto CrashItsWorker = [&] {
    auto WorkerOf = [&] { return Bed.Oracle.workerOf(taskOf("innocent")); };
    CHECK(Bed.runUntil([&] { return !WorkerOf().empty(); }, 20s));
    Bed.run(10ms);
    for (int Index = 0; Index < Bed.workers(); ++Index)
      if (Bed.worker(Index).Entry.Id == WorkerOf())
        return Bed.crashWorkers({Index});
  };
  CrashItsWorker();
  Bed.run(1500ms);
  Bed.killHost(Bed.ownerIndex());
  Bed.later(1s, [&] { startAllHosts(Bed); });
  CrashItsWorker();
  CHECK(reaches(Bed, "innocent", JobState::Completed, 60s));
  checkNoViolations(Bed);
}

// Guards against trials that take down many workers at a time.
TEST_CASE("Among many innocent tasks deadly ones take down few workers at a "
          "time") {
  JobTestBed Bed({.Workers = 24});
  Bed.run(3s);
  std::vector<std::string> Jobs;
  std::vector<std::string> DeadlyJobs;
  for (int Number = 0; Number < 60; ++Number) {
    bool IsDeadly = Number % 10 == 4;
    std::string Id = fmt::format("{}-{}", IsDeadly ? "deadly" : "job", Number);
    (IsDeadly ? DeadlyJobs : Jobs).push_back(Id);
    if (IsDeadly)
      Bed.Oracle.setDeadly(taskOf(Id));
    CHECK(Bed.submit(0, chainJob(Id, IsDeadly ? 1 : 4, IsDeadly ? 1 : 6, 700ms))
              .has_value());
    Bed.run(300ms);
  }
  for (const std::string &Id : DeadlyJobs) {
    CHECK(reaches(Bed, Id, JobState::Failed, 60s));
    CHECK(Bed.Oracle.deadly(taskOf(Id))->Crashes <= 4);
  }
  for (const std::string &Id : Jobs)
    CHECK(reaches(Bed, Id, JobState::Completed, 60s));
  CHECK(Bed.maxDownByTasks() <= 4);
  CHECK(countsOf(Bed).CrashJobsGivenUp == DeadlyJobs.size());
  checkNoViolations(Bed);
}

// Guards against long-running tasks that a trial ends beside them.
TEST_CASE("A suspect is tried on a worker without long-running tasks") {
  JobTestBed Bed({.Workers = 6});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("serving", 3, 4000)).has_value());
  Bed.run(2s);
  Bed.Oracle.setDeadly(taskOf("deadly"));
  int Starts = 0;
  int HarmfulTrials = 0;
  Bed.Oracle.OnDeadlyStart = [&] {
    Bed.later(20ms, [&] {
      size_t Running = 0;
      for (int Index = 0; Index < 3; ++Index)
        Running +=
            Bed.Oracle.workerOf(taskOf("serving", Index)).empty() ? 0 : 1;
      HarmfulTrials += ++Starts > 1 && Running < 3 ? 1 : 0;
    });
  };
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 30s));
  CHECK(HarmfulTrials == 0);
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 3; }, 9s));
  checkNoViolations(Bed);
}

namespace {

/// Cuts \p Worker off from all hosts, takes it off the list and lets it return
/// \p After.
void cutOff(JobTestBed &Bed, const std::string &Worker, milliseconds After) {
  int Index = 0;
  while (Bed.worker(Index).Entry.Id != Worker)
    ++Index;
  auto SetCut = [&Bed, Worker, Index](bool IsCut) {
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      if (IsCut)
        Bed.host(Host).UnreachableWorkers.insert(Worker);
      else
        Bed.host(Host).UnreachableWorkers.erase(Worker);
    Bed.setWorkerListed(Index, !IsCut);
  };
  SetCut(true);
  Bed.later(After, [SetCut] { SetCut(false); });
}

/// Lets one of seven workers crash by itself, up for \p Up and down for
/// \p Down, and checks that all jobs complete.
void checkDefectiveWorker(CrashStyle Style, milliseconds Up,
                          milliseconds Down) {
  CAPTURE(static_cast<int>(Style));
  CAPTURE(Up.count());
  JobTestBed Bed({.Workers = 7,
                  .WorkerCapacity = {.Millicores = 32000, .MemoryMib = 64000},
                  .WorkerReturn = Down,
                  .Crashes = Style});
  Bed.run(3s);
  for (int Crash = 0; Crash < 16; ++Crash)
    Bed.later(2s + Crash * (Up + Down), [&Bed] { Bed.crashWorkers({0}); });
  std::vector<std::string> Jobs;
  for (int Number = 0; Number < 100; ++Number) {
    Jobs.push_back(fmt::format("job-{}", Number));
    Job Value = chainJob(Jobs.back(), 1, 4, 2s);
    Value.Steps[0].Demand.Millicores = 4000;
    REQUIRE(Bed.submit(0, Value).has_value());
    Bed.run(240ms);
  }
  CHECK(countsOf(Bed).CrashJobsGivenUp == 0);
  for (const std::string &Id : Jobs) {
    CAPTURE(Id);
    CHECK(reaches(Bed, Id, JobState::Completed, 10s));
  }
  checkNoViolations(Bed);
}

} // namespace

// Guards against jobs that fail since one worker crashes by itself again and
// again, and returns empty, so that all trials go to it.
TEST_CASE("Crashes of one worker fail no job") {
  for (CrashStyle Style : {CrashStyle::Silent, CrashStyle::Refusing})
    for (milliseconds Up : {500ms, 700ms, 1000ms, 1500ms})
      checkDefectiveWorker(Style, Up, 600ms);
}

// Guards against jobs that fail since their workers were cut off: the runs only
// lost their leases, and the workers return in the same incarnation.
TEST_CASE("Cuts after each start of a task fail no job") {
  JobTestBed Bed({});
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("innocent", 1, 1, 10s)).has_value());
  for (int Number = 0; Number < 7; ++Number) {
    CAPTURE(Number);
    std::string Worker;
    REQUIRE(Bed.runUntil(
        [&] {
          Worker = Bed.Oracle.workerOf(taskOf("innocent"));
          return !Worker.empty();
        },
        30s));
    Bed.run(1ms);
    cutOff(Bed, Worker, 8s);
    Bed.run(5s);
    REQUIRE(Bed.runUntil(
        [&] { return Bed.Oracle.workerOf(taskOf("innocent")) != Worker; },
        10s));
  }
  CHECK(countsOf(Bed).CrashJobsGivenUp == 0);
  CHECK(Bed.LogLines["crash_refuted"] > 0);
  CHECK(reaches(Bed, "innocent", JobState::Completed, 40s));
  checkNoViolations(Bed);
}

// Guards against a deadly task that takes down one worker after the other since
// none of them returns, so that no crash is confirmed.
TEST_CASE("A task whose workers never return is given up") {
  JobTestBed Bed({.Workers = 12, .WorkerReturn = 1h});
  Bed.run(3s);
  TaskName Task = taskOf("deadly");
  Bed.Oracle.setDeadly(Task, 10ms);
  REQUIRE(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  for (TimePoint Until = Bed.now() + 240s; Bed.now() < Until; Bed.run(2500ms))
    for (int Worker = 0; Worker < Bed.workers(); ++Worker)
      if (Bed.worker(Worker).IsDown && Bed.isWorkerListed(Worker))
        Bed.setWorkerListed(Worker, false);
  CHECK(stateOf(Bed, "deadly") == JobState::Failed);
  CHECK(Bed.Oracle.deadly(Task)->Starts <= MaxDeadlyStarts);
  checkNoViolations(Bed);
}

// Guards against jobs that fail after two crashes, since workers on which their
// runs had lapsed restarted later.
TEST_CASE("Restarts of workers after their leases are over count as no crash") {
  JobTestBed Bed({.Workers = 9});
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("innocent", 1, 1, 40s)).has_value());
  for (int Number = 0; Number < 4; ++Number) {
    CAPTURE(Number);
    std::string Worker;
    REQUIRE(Bed.runUntil(
        [&] {
          Worker = Bed.Oracle.workerOf(taskOf("innocent"));
          return !Worker.empty();
        },
        30s));
    Bed.run(1ms);
    if (Number >= 2) {
      Bed.workerById(Worker)->crashAndReturn();
      Bed.run(100ms);
      continue;
    }
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      Bed.host(Host).UnreachableWorkers.insert(Worker);
    Bed.later(12s,
              [&Bed, Worker] { Bed.workerById(Worker)->crashAndReturn(); });
    Bed.later(13s, [&Bed, Worker] {
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.host(Host).UnreachableWorkers.erase(Worker);
    });
    REQUIRE(Bed.runUntil(
        [&] { return Bed.Oracle.workerOf(taskOf("innocent")) != Worker; },
        10s));
    if (Number == 1) {
      Bed.run(20s);
      std::string Next = Bed.Oracle.workerOf(taskOf("innocent"));
      REQUIRE_FALSE(Next.empty());
      Bed.workerById(Next)->crashAndReturn();
      Bed.run(100ms);
    }
  }
  CHECK(reaches(Bed, "innocent", JobState::Completed, 90s));
  CHECK(countsOf(Bed).CrashJobsGivenUp == 0);
  checkNoViolations(Bed);
}
