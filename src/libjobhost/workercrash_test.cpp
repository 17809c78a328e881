// Tests of tasks that crash the workers that run them.

#include "testing/jobtestbed.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time after which a crashed worker answers again, as a new incarnation.
constexpr milliseconds WorkerRestartTime{3000};
/// Starts that a task may have after three workers have crashed under it.
constexpr int MaxStartsAfterThirdCrash = 2;
constexpr int MaxCrashes = 3 + MaxStartsAfterThirdCrash;

/// Lets workers crash under some tasks.
class DeadlyTasks {
public:
  using Filter = std::function<bool(const TaskName &)>;

  /// Workers crash \p RunTime after the start of a task that \p IsDeadly
  /// selects, give or take 5 ms.
  DeadlyTasks(JobTestBed &Bed, Filter IsDeadly, milliseconds RunTime = 10ms)
      : m_bed(Bed), m_isDeadly(std::move(IsDeadly)), m_runTime(RunTime),
        m_alive(std::make_shared<bool>(true)) {
    check();
  }
  ~DeadlyTasks() { *m_alive = false; }
  DeadlyTasks(const DeadlyTasks &) = delete;
  DeadlyTasks &operator=(const DeadlyTasks &) = delete;

  /// Workers that crashed under \p Task, and under all.
  int crashes(const TaskName &Task) const {
    auto It = m_crashes.find(Task);
    return It == m_crashes.end() ? 0 : It->second;
  }
  int crashes() const {
    int Out = 0;
    for (const auto &[Task, Count] : m_crashes)
      Out += Count;
    return Out;
  }
  /// Most workers that were down at one time.
  int maxDown() const { return m_maxDown; }
  void resetMaxDown() { m_maxDown = 0; }
  /// Called after each crash.
  std::function<void()> OnCrash;

  void crash(int Worker) {
    ModelWorker &Crashed = m_bed.worker(Worker);
    Crashed.IsDown = true;
    Crashed.crash();
    ++m_down;
    m_maxDown = std::max(m_maxDown, m_down);
    m_bed.later(WorkerRestartTime, [this, Worker, Alive = m_alive] {
      if (!*Alive)
        return;
      m_bed.worker(Worker).IsDown = false;
      --m_down;
    });
  }

private:
  void check() {
    for (int Worker = 0; Worker < m_bed.workers(); ++Worker)
      checkWorker(Worker);
    m_bed.later(5ms, [this, Alive = m_alive] {
      if (*Alive)
        check();
    });
  }

  void checkWorker(int Worker) {
    const std::string &Id = m_bed.worker(Worker).Entry.Id;
    for (const TaskName &Task : m_bed.Oracle.tasksOn(Id)) {
      if (!m_isDeadly(Task))
        continue;
      auto [Since, Added] = m_since.try_emplace(Task, m_bed.now());
      if (m_bed.now() < Since->second + m_runTime)
        continue;
      m_since.erase(Since);
      ++m_crashes[Task];
      crash(Worker);
      if (OnCrash)
        OnCrash();
      return;
    }
  }

  JobTestBed &m_bed;
  Filter m_isDeadly;
  milliseconds m_runTime;
  std::shared_ptr<bool> m_alive;
  std::map<TaskName, TimePoint> m_since;
  std::map<TaskName, int> m_crashes;
  int m_down = 0;
  int m_maxDown = 0;
};

DeadlyTasks::Filter ofJob(const std::string &Id) {
  return [Id](const TaskName &Task) { return Task.Job == Id; };
}

DeadlyTasks::Filter isTask(const TaskName &Deadly) {
  return [Deadly](const TaskName &Task) { return Task == Deadly; };
}

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

} // namespace

// Guards against a task that crashes workers until the end of the day: each run
// on a crashed worker went back to waiting, and nothing was counted.
TEST_CASE("A job whose task crashes two workers fails, with the reason") {
  JobTestBed Bed({.Workers = 4});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, ofJob("deadly"));
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 20s));
  CHECK(Deadly.crashes() == 2);
  CHECK(countsOf(Bed).WorkerCrashes == 2);
  CHECK(countsOf(Bed).CrashTrials == 1);
  CHECK(countsOf(Bed).CrashTrialsSurvived == 0);
  CHECK(countsOf(Bed).CrashJobsGivenUp == 1);
  CHECK(Bed.LogLines["worker_crashed"] == 2);
  CHECK(Bed.LogLines["trial_begins"] == 1);
  CHECK(Bed.LogLines["trial_ends"] == 1);
  CHECK(Bed.LogLines["task_given_up"] == 1);
  Bed.run(10s);
  CHECK(Deadly.crashes() == 2);
  checkNoViolations(Bed);
}

// Guards against jobs that fail because a task of theirs was started beside a
// deadly one.
TEST_CASE("Innocent tasks beside a deadly one complete") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, ofJob("deadly"));
  for (int Number = 0; Number < 4; ++Number)
    CHECK(Bed.submit(0, chainJob(fmt::format("innocent-{}", Number), 3, 4, 2s))
              .has_value());
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 20s));
  CHECK(Deadly.crashes() <= 3);
  for (int Number = 0; Number < 4; ++Number)
    CHECK(reaches(Bed, fmt::format("innocent-{}", Number), JobState::Completed,
                  40s));
  checkNoViolations(Bed);
}

// Guards against innocent tasks that are given up: two workers crashed under
// the task, both times beside a deadly one.
TEST_CASE("A task that was twice beside a deadly one completes") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, [](const TaskName &Task) {
    return Task.Job.rfind("deadly", 0) == 0;
  });
  CHECK(Bed.submit(0, chainJob("innocent", 1, 8, 4s)).has_value());
  for (int Number = 0; Number < 3; ++Number) {
    CHECK(Bed.submit(0, chainJob(fmt::format("deadly-{}", Number), 1, 1))
              .has_value());
    Bed.run(1500ms);
  }
  CHECK(reaches(Bed, "innocent", JobState::Completed, 120s));
  for (int Number = 0; Number < 3; ++Number) {
    std::string Id = fmt::format("deadly-{}", Number);
    CHECK(reaches(Bed, Id, JobState::Failed, 60s));
    CHECK(Deadly.crashes(taskOf(Id)) <= MaxCrashes);
  }
  checkNoViolations(Bed);
}

// Guards against jobs that fail because many workers went down at one moment,
// again and again.
TEST_CASE("Crashes of a third of the workers at one moment fail no job") {
  JobTestBed Bed({.Workers = 9});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, [](const TaskName &) { return false; });
  std::vector<std::string> Jobs;
  for (int Number = 0; Number < 12; ++Number) {
    Jobs.push_back(fmt::format("job-{}", Number));
    CHECK(Bed.submit(0, chainJob(Jobs.back(), 6, 4, 900ms)).has_value());
  }
  for (int Herd = 0; Herd < 4; ++Herd) {
    for (int Worker = 0; Worker < 3; ++Worker)
      Deadly.crash((Herd * 2 + Worker) % 9);
    Bed.run(4500ms);
  }
  for (const std::string &Id : Jobs)
    CHECK(reaches(Bed, Id, JobState::Completed, 60s));
  CHECK(countsOf(Bed).CrashJobsGivenUp == 0);
  checkNoViolations(Bed);
}

// Guards against a count that begins anew with each planned change of owner.
TEST_CASE("Crashes stay counted after planned handovers") {
  // At several times relative to the crash and to the worker's return.
  for (milliseconds Delay : {50ms, 700ms, 2000ms, 3300ms, 3700ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed({.Workers = 4});
    Bed.run(3s);
    DeadlyTasks Deadly(Bed, ofJob("deadly"));
    Deadly.OnCrash = [&] {
      Bed.later(Delay, [&] {
        int Owner = Bed.ownerIndex();
        if (Owner >= 0)
          Bed.restartHost(Owner, 1s, 500ms);
      });
    };
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Deadly.crashes() <= MaxCrashes);
    checkNoViolations(Bed);
  }
}

// Guards against a count that begins anew when the owner is killed.
TEST_CASE("Crashes stay counted when the owner is killed after each") {
  // Also before the worker is back, so that no owner has counted the crash.
  for (milliseconds Delay : {1700ms, 2500ms, 3300ms, 3700ms, 5000ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed({.Workers = 4});
    Bed.run(3s);
    DeadlyTasks Deadly(Bed, ofJob("deadly"));
    Deadly.OnCrash = [&] {
      Bed.later(Delay, [&] {
        int Owner = Bed.ownerIndex();
        if (Owner < 0)
          return;
        Bed.killHost(Owner);
        Bed.later(1s, [&] { startAllHosts(Bed); });
      });
    };
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 200s));
    CHECK(Deadly.crashes() <= MaxCrashes);
    checkNoViolations(Bed);
  }
}

// Guards against the same if the owner is killed with the worker: nobody but
// the stored trial tells which task it was.
TEST_CASE("A trial whose owner is killed at once is counted by the next") {
  JobTestBed Bed({.Workers = 4});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, ofJob("deadly"));
  int Crashes = 0;
  Deadly.OnCrash = [&] {
    if (++Crashes == 1)
      return;
    int Owner = Bed.ownerIndex();
    if (Owner < 0)
      return;
    Bed.killHost(Owner);
    Bed.later(1s, [&] { startAllHosts(Bed); });
  };
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 200s));
  CHECK(Deadly.crashes() <= MaxCrashes);
  checkNoViolations(Bed);
}

// Guards against tasks that crash their worker some time after the start: they
// look like those that have survived.
TEST_CASE("A task that crashes its worker later is found too") {
  for (milliseconds RunTime : {200ms, 400ms, 1000ms, 2000ms}) {
    CAPTURE(RunTime.count());
    JobTestBed Bed({.Workers = 6});
    Bed.run(3s);
    DeadlyTasks Deadly(Bed, ofJob("deadly"), RunTime);
    CHECK(Bed.submit(0, chainJob("innocent", 20, 8, 900ms)).has_value());
    CHECK(Bed.submit(0, chainJob("deadly", 1, 1, 9s)).has_value());
    CHECK(reaches(Bed, "deadly", JobState::Failed, 90s));
    CHECK(Deadly.crashes() <= MaxCrashes);
    CHECK(reaches(Bed, "innocent", JobState::Completed, 90s));
    checkNoViolations(Bed);
  }
}

TEST_CASE("A job with a deadly long-running task fails and others run on") {
  JobTestBed Bed({.Workers = 5});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, isTask(taskOf("deadly", 1)));
  CHECK(Bed.submit(0, longRunningJob("innocent", 5, 2000)).has_value());
  Bed.run(2s);
  CHECK(Bed.submit(0, longRunningJob("deadly", 3)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 30s));
  CHECK(Deadly.crashes() <= 3);
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 5; }, 9s));
  checkNoViolations(Bed);
}

// Guards against trials that take down many workers at a time.
TEST_CASE("Among many innocent tasks deadly ones take down few workers at a "
          "time") {
  JobTestBed Bed({.Workers = 24});
  Bed.run(3s);
  DeadlyTasks Deadly(Bed, [](const TaskName &Task) {
    return Task.Job.rfind("deadly", 0) == 0;
  });
  std::vector<std::string> Jobs;
  std::vector<std::string> DeadlyJobs;
  for (int Number = 0; Number < 60; ++Number) {
    bool IsDeadly = Number % 10 == 4;
    std::string Id = fmt::format("{}-{}", IsDeadly ? "deadly" : "job", Number);
    (IsDeadly ? DeadlyJobs : Jobs).push_back(Id);
    CHECK(Bed.submit(0, chainJob(Id, IsDeadly ? 1 : 4, IsDeadly ? 1 : 6, 700ms))
              .has_value());
    Bed.run(300ms);
  }
  for (const std::string &Id : DeadlyJobs) {
    CHECK(reaches(Bed, Id, JobState::Failed, 60s));
    CHECK(Deadly.crashes(taskOf(Id)) <= 3);
  }
  for (const std::string &Id : Jobs)
    CHECK(reaches(Bed, Id, JobState::Completed, 60s));
  CHECK(Deadly.maxDown() <= 4);
  CHECK(countsOf(Bed).CrashJobsGivenUp == DeadlyJobs.size());
  checkNoViolations(Bed);
}

// Guards against long-running tasks that a trial ends beside them.
TEST_CASE("A suspect is tried on a worker without long-running tasks") {
  JobTestBed Bed({.Workers = 6});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("serving", 3, 4000)).has_value());
  Bed.run(2s);
  std::set<std::string> Used;
  for (int Index = 0; Index < 3; ++Index)
    Used.insert(Bed.Oracle.workerOf(taskOf("serving", Index)));
  DeadlyTasks Deadly(Bed, ofJob("deadly"));
  int Crashes = 0;
  int HarmfulTrials = 0;
  Deadly.OnCrash = [&] {
    ++Crashes;
    size_t Running = 0;
    for (int Index = 0; Index < 3; ++Index)
      Running += Bed.Oracle.workerOf(taskOf("serving", Index)).empty() ? 0 : 1;
    if (Crashes > 1 && Running < 3)
      ++HarmfulTrials;
  };
  CHECK(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  CHECK(reaches(Bed, "deadly", JobState::Failed, 30s));
  CHECK(HarmfulTrials == 0);
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 3; }, 9s));
  checkNoViolations(Bed);
}
