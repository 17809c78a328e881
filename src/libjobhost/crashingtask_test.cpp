// Tests of tasks that crash each worker that starts them, and of workers that
// crash for other reasons.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Largest number of starts that a deadly task may have.
constexpr int MaxDeadlyStarts =
    JobOracle::CrashesUntilLimit + JobOracle::MaxLateStarts;
/// Time from the acceptance of a job with a deadly task until it must be shown
/// as failed. A worker is back 3 s after a crash, and the task crashes two or
/// three workers, one after the other.
constexpr milliseconds GiveUpTime = 20s;
/// The same while owners are replaced.
constexpr milliseconds GiveUpTimeWithoutOwners = 60s;
/// Time within which innocent jobs must complete beside deadly tasks.
constexpr milliseconds InnocentTime = 40s;
/// Time from the start to the crash of a deadly task after which the start was
/// answered.
constexpr milliseconds ShortRun = 10ms;

constexpr CrashStyle AllStyles[] = {CrashStyle::Silent, CrashStyle::Refusing,
                                    CrashStyle::Replaced};

JobTestBedOptions traced(JobTestBedOptions Options) {
  Options.Trace = std::getenv("BASILCHUTE_TRACE") != nullptr;
  return Options;
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

/// Returns the state of the job, as the first host that runs knows it.
Result<JobState> stateOf(JobTestBed &Bed, const std::string &Id) {
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Bed.host(Host).Process)
      return Bed.state(Host, Id);
  return makeError(ResultCode::Unavailable, "no host runs");
}

bool reachesState(JobTestBed &Bed, const std::string &Id, JobState State,
                  milliseconds Limit) {
  TimePoint Until = Bed.now() + Limit;
  while (Bed.now() < Until) {
    Result<JobState> Now = stateOf(Bed, Id);
    if (Now.has_value() && isFinal(Now.value()))
      return Now.value() == State;
    Bed.run(100ms);
  }
  return false;
}

/// Innocent jobs beside which deadly tasks run.
class InnocentJobs {
public:
  explicit InnocentJobs(JobTestBed &Bed) : m_bed(Bed) {
    REQUIRE(Bed.submit(0, m_lasting).has_value());
    for (int Number = 0; Number < 6; ++Number) {
      m_short.push_back(fmt::format("innocent-{}", Number));
      REQUIRE(
          Bed.submit(0, chainJob(m_short.back(), 3, 3, 1500ms)).has_value());
    }
    Bed.run(500ms);
  }

  /// Checks that all short jobs complete and all long-running tasks run.
  void checkUnharmed() {
    for (const std::string &Id : m_short)
      CHECK(reachesState(m_bed, Id, JobState::Completed, InnocentTime));
    CHECK(
        m_bed.runUntil([&] { return lastingRuns(); }, RestartCheck::LostTime));
    Result<JobState> State = stateOf(m_bed, m_lasting.Id);
    CHECK((State.has_value() && !isFinal(State.value())));
  }

private:
  bool lastingRuns() {
    for (int Index = 0; Index < m_lasting.Steps[0].Count; ++Index)
      if (m_bed.Oracle.workerOf({m_lasting.Id, 0, 0, Index}).empty())
        return false;
    return true;
  }

  JobTestBed &m_bed;
  Job m_lasting = longRunningJob("lasting", 4);
  std::vector<std::string> m_short;
};

int startsOf(const JobTestBed &Bed, const TaskName &Task) {
  return Bed.Oracle.deadly(Task)->Starts;
}

/// Runs until the deadly task \p Task has started \p Count times. Returns false
/// if \p Limit passes first.
bool awaitStarts(JobTestBed &Bed, const TaskName &Task, int Count,
                 milliseconds Limit) {
  TimePoint Until = Bed.now() + Limit;
  while (startsOf(Bed, Task) < Count && Bed.now() < Until)
    Bed.run(1ms);
  return startsOf(Bed, Task) >= Count;
}

/// Checks that the deadly task's job is given up in time and that innocent jobs
/// are unharmed.
void checkGivenUp(JobTestBed &Bed, const TaskName &Task, InnocentJobs &Innocent,
                  milliseconds Limit = GiveUpTime) {
  CHECK(reachesState(Bed, Task.Job, JobState::Failed, Limit));
  Innocent.checkUnharmed();
  Bed.run(10s);
  CHECK(startsOf(Bed, Task) <= MaxDeadlyStarts);
  checkNoViolations(Bed);
}

/// Submits \p Value, whose first task is deadly, beside innocent jobs and
/// checks that it is given up.
void checkDeadlyJob(const Job &Value, milliseconds CrashAfter) {
  CAPTURE(CrashAfter.count());
  JobTestBed Bed(traced({}));
  Bed.run(3s);
  InnocentJobs Innocent(Bed);
  TaskName Task{Value.Id, 0, 0, 0};
  Bed.Oracle.setDeadly(Task, CrashAfter);
  REQUIRE(Bed.submit(0, Value).has_value());
  checkGivenUp(Bed, Task, Innocent);
}

using OwnerChange = std::function<void(JobTestBed &, int Owner)>;

/// Lets \p Change befall the owner \p Delay after each of the first \p Count
/// starts of a deadly task, and checks that its job is given up.
void checkOwnerChanges(const Job &Value, CrashStyle Style, int Count,
                       milliseconds Delay, const OwnerChange &Change) {
  CAPTURE(static_cast<int>(Style));
  CAPTURE(Count);
  CAPTURE(Delay.count());
  JobTestBed Bed(traced({.Crashes = Style}));
  Bed.run(12s);
  InnocentJobs Innocent(Bed);
  TaskName Task{Value.Id, 0, 0, 0};
  Bed.Oracle.setDeadly(Task, ShortRun);
  REQUIRE(Bed.submit(0, Value).has_value());
  for (int Number = 1; Number <= Count; ++Number) {
    // A job that is given up sooner is not started as often.
    if (!awaitStarts(Bed, Task, Number, GiveUpTime))
      break;
    Bed.run(Delay);
    if (int Owner = Bed.ownerIndex(); Owner >= 0)
      Change(Bed, Owner);
  }
  checkGivenUp(Bed, Task, Innocent, GiveUpTimeWithoutOwners);
}

/// The same with several delays and all styles. The delays lie before the
/// answer to the start, between it and the crash, after the crash and after the
/// return of the worker.
void checkOwnerChanges(const Job &Value, int Count, const OwnerChange &Change) {
  for (CrashStyle Style : AllStyles)
    for (milliseconds Delay : {1ms, 7ms, 50ms, 2000ms, 3500ms})
      checkOwnerChanges(Value, Style, Count, Delay, Change);
}

void killAndRestart(JobTestBed &Bed, int Owner) {
  Bed.killHost(Owner);
  Bed.later(1s, [&Bed, Owner] {
    if (!Bed.host(Owner).Process)
      Bed.startHost(Owner);
  });
}

void handOver(JobTestBed &Bed, int Owner) {
  Bed.restartHost(Owner, 800ms, 200ms);
}

Job gangJob(const std::string &Id) {
  Job Out = chainJob(Id, 1, 4, 2s);
  Out.Steps[0].Gang = true;
  Out.Steps[0].Demand.Millicores = 4000;
  return Out;
}

Job fillJob(const std::string &Id) {
  Job Out = chainJob(Id, 1, 1, 2s);
  Out.Steps[0].IsFill = true;
  return Out;
}

void checkDeadlyAmongInnocent(CrashStyle Style) {
  CAPTURE(static_cast<int>(Style));
  constexpr int Workers = 12;
  JobTestBed Bed(traced({.Workers = Workers, .Crashes = Style}));
  Bed.run(3s);
  std::vector<std::string> Innocent;
  std::vector<TaskName> Deadly;
  for (int Number = 0; Number < 43; ++Number) {
    bool IsDeadly = Number % 14 == 7;
    std::string Id =
        fmt::format("{}-{}", IsDeadly ? "deadly" : "innocent", Number);
    if (IsDeadly) {
      Deadly.push_back({Id, 0, 0, 0});
      Bed.Oracle.setDeadly(Deadly.back(), ShortRun);
    } else {
      Innocent.push_back(Id);
    }
    REQUIRE(Bed.submit(Number % Bed.hosts(),
                       chainJob(Id, IsDeadly ? 1 : 2, IsDeadly ? 1 : 3, 1s))
                .has_value());
    Bed.run(100ms);
  }
  REQUIRE(Deadly.size() == 3);
  for (const std::string &Id : Innocent)
    CHECK(reachesState(Bed, Id, JobState::Completed, InnocentTime));
  for (const TaskName &Task : Deadly) {
    CHECK(reachesState(Bed, Task.Job, JobState::Failed, 2 * GiveUpTime));
    CHECK(startsOf(Bed, Task) <= MaxDeadlyStarts);
  }
  CHECK(Bed.maxDownByTasks() <= Workers / 4);
  checkNoViolations(Bed);
}

} // namespace

// Guards against a task that crashes one worker after the other until the end
// of the day: a crash counted as no attempt.
TEST_CASE("A short task that crashes its workers is given up") {
  checkDeadlyJob(chainJob("deadly", 1, 1), ShortRun);
}

// Guards against the same if the owner never hears that the task started.
TEST_CASE("A task that crashes its workers before the start is answered is "
          "given up") {
  checkDeadlyJob(chainJob("deadly", 1, 1), 0ms);
}

// Guards against the same if the run was seen at work before the crash.
TEST_CASE("A task that crashes its workers a second after its start is given "
          "up") {
  checkDeadlyJob(chainJob("deadly", 1, 1, 3s), 1s);
}

// Guards against the same for a task that has no limit of attempts.
TEST_CASE("A long-running task that crashes its workers is given up") {
  for (milliseconds CrashAfter : {0ms, 10ms, 1000ms})
    checkDeadlyJob(longRunningJob("deadly", 1), CrashAfter);
}

// Guards against the same for a gang, whose members restart together, and
// against blame for the members beside which only one is deadly.
TEST_CASE("A gang with a member that crashes its workers is given up") {
  checkDeadlyJob(gangJob("deadly"), ShortRun);
}

// Guards against the same for a task that reserves no processor time.
TEST_CASE("A fill task that crashes its workers is given up") {
  checkDeadlyJob(fillJob("deadly"), ShortRun);
}

// Guards against blame for the other tasks of the job's step, each of which
// would crash further workers or be held back.
TEST_CASE("A job with one task among many that crashes its workers is given "
          "up") {
  checkDeadlyJob(chainJob("deadly", 1, 12, 1500ms), ShortRun);
}

// Guards against a count of crashes that the owner takes with it when it
// crashes: the next owner began to count anew.
TEST_CASE("A task that crashes its workers is given up although the owner is "
          "killed after a start") {
  checkOwnerChanges(chainJob("deadly", 1, 1), 1, killAndRestart);
}

// Guards against the same with a series of owners.
TEST_CASE("A task that crashes its workers is given up although owners are "
          "killed after two starts") {
  checkOwnerChanges(chainJob("deadly", 1, 1), 2, killAndRestart);
}

// Guards against the same if no owner has lived to see one of three crashes.
TEST_CASE("A task that crashes its workers is given up although owners are "
          "killed after three starts") {
  checkOwnerChanges(chainJob("deadly", 1, 1), 3, killAndRestart);
}

// Guards against the same for a task that lasts.
TEST_CASE("A long-running task that crashes its workers is given up although "
          "owners are killed after two starts") {
  checkOwnerChanges(longRunningJob("deadly", 1), 2, killAndRestart);
}

// Guards against a handover record that does not name the crashes, nor the run
// whose worker has just gone.
TEST_CASE("A task that crashes its workers is given up across planned "
          "handovers") {
  for (int Count : {1, 3})
    checkOwnerChanges(chainJob("deadly", 1, 1), Count, handOver);
}

// Guards against crashes that are not counted since the worker has left the
// list, and is dropped when its lease is over, before it is back.
TEST_CASE("A task that crashes workers which are back after their lease is "
          "given up") {
  constexpr milliseconds TimeInList = 2500ms;
  JobTestBed Bed(traced(
      {.Workers = 12, .WorkerReturn = 8s, .Crashes = CrashStyle::Replaced}));
  Bed.run(3s);
  InnocentJobs Innocent(Bed);
  TaskName Task{"deadly", 0, 0, 0};
  Bed.Oracle.setDeadly(Task, ShortRun);
  REQUIRE(Bed.submit(0, chainJob("deadly", 1, 1)).has_value());
  std::map<int, TimePoint> DownSince;
  for (TimePoint Until = Bed.now() + GiveUpTimeWithoutOwners; Bed.now() < Until;
       Bed.run(100ms))
    for (int Worker = 0; Worker < Bed.workers(); ++Worker) {
      if (!Bed.worker(Worker).IsDown || !Bed.isWorkerListed(Worker))
        continue;
      TimePoint Since = DownSince.try_emplace(Worker, Bed.now()).first->second;
      if (Bed.now() > Since + TimeInList)
        Bed.setWorkerListed(Worker, false);
    }
  checkGivenUp(Bed, Task, Innocent);
}

// Guards against the harm that retries of several such tasks do to a small
// fleet.
TEST_CASE("Three deadly jobs among many innocent ones take down few workers") {
  for (CrashStyle Style : AllStyles)
    checkDeadlyAmongInnocent(Style);
}

namespace {

/// Lets the worker of the first task crash twice, \p CrashAfter after the
/// start, and checks that the job completes.
void checkUnluckyJob(CrashStyle Style, int Tasks, milliseconds CrashAfter) {
  CAPTURE(static_cast<int>(Style));
  CAPTURE(Tasks);
  CAPTURE(CrashAfter.count());
  JobTestBed Bed(traced({.Crashes = Style}));
  Bed.run(3s);
  REQUIRE(Bed.submit(0, chainJob("innocent", 1, Tasks, 2s)).has_value());
  TaskName Task{"innocent", 0, 0, 0};
  for (int Crashes = 0; Crashes < 2; ++Crashes) {
    REQUIRE(
        Bed.runUntil([&] { return !Bed.Oracle.workerOf(Task).empty(); }, 20s));
    Bed.run(CrashAfter);
    ModelWorker *Worker = Bed.workerById(Bed.Oracle.workerOf(Task));
    REQUIRE(Worker);
    Worker->crashAndReturn();
  }
  CHECK(reachesState(Bed, "innocent", JobState::Completed, InnocentTime));
  checkNoViolations(Bed);
}

/// Lets a third of the workers crash at one moment, twice, and checks that all
/// jobs complete.
void checkHerdCrashes(CrashStyle Style) {
  CAPTURE(static_cast<int>(Style));
  JobTestBed Bed(traced({.Workers = 9, .Crashes = Style}));
  Bed.run(3s);
  InnocentJobs Innocent(Bed);
  std::vector<std::string> Jobs{"gang", "fill"};
  REQUIRE(Bed.submit(0, gangJob("gang")).has_value());
  REQUIRE(Bed.submit(0, fillJob("fill")).has_value());
  for (int Number = 0; Number < 20; ++Number) {
    Jobs.push_back(fmt::format("job-{}", Number));
    REQUIRE(Bed.submit(0, chainJob(Jobs.back(), 2, 3, 1s)).has_value());
  }
  Bed.crashWorkers({0, 3, 6});
  Bed.run(4s);
  // The workers that replaced the first three come last in the list.
  Bed.crashWorkers({Bed.workers() - 1, 4, 8});
  for (const std::string &Id : Jobs)
    CHECK(reachesState(Bed, Id, JobState::Completed, InnocentTime));
  Innocent.checkUnharmed();
  checkNoViolations(Bed);
}

} // namespace

// Guards against a job that is given up because it was unlucky twice.
TEST_CASE("A job whose workers crash twice for another reason completes") {
  for (CrashStyle Style : AllStyles)
    for (int Tasks : {1, 4})
      for (milliseconds CrashAfter : {5ms, 100ms, 1000ms})
        checkUnluckyJob(Style, Tasks, CrashAfter);
}

// Guards against blame for the tasks of workers that crash at the same moment,
// as those of one rack do.
TEST_CASE("No job is failed when a third of the workers crash at one moment, "
          "twice") {
  for (CrashStyle Style : AllStyles)
    checkHerdCrashes(Style);
}

// Guards against a count of workers that were only cut off: their runs end with
// their leases, and the workers come back in the same incarnation.
TEST_CASE("A job whose workers are cut off three times completes") {
  JobTestBed Bed(traced({}));
  Bed.run(3s);
  // Longer than the lease and the cut.
  REQUIRE(Bed.submit(0, chainJob("innocent", 1, 1, 10s)).has_value());
  TaskName Task{"innocent", 0, 0, 0};
  for (int Number = 0; Number < 3; ++Number) {
    REQUIRE(
        Bed.runUntil([&] { return !Bed.Oracle.workerOf(Task).empty(); }, 20s));
    std::string Worker = Bed.Oracle.workerOf(Task);
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      Bed.host(Host).UnreachableWorkers.insert(Worker);
    Bed.later(7s, [&Bed, Worker] {
      for (int Host = 0; Host < Bed.hosts(); ++Host)
        Bed.host(Host).UnreachableWorkers.erase(Worker);
    });
    REQUIRE(
        Bed.runUntil([&] { return Bed.Oracle.workerOf(Task) != Worker; }, 10s));
  }
  CHECK(reachesState(Bed, "innocent", JobState::Completed, InnocentTime));
  checkNoViolations(Bed);
}

// Guards against a log line that says there is no room while trials hold it.
TEST_CASE("A long-running task that waits for workers on trial says so") {
  constexpr int Tasks = 3;
  JobTestBed Bed(
      {.Workers = Tasks, .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
  int TrialLines = 0;
  Bed.OnLogLine = [&](std::string_view Event, std::string_view Fields) {
    auto Has = [&](std::string_view Field) {
      return Fields.find(Field) != std::string_view::npos;
    };
    if (Event != "long_task_waits")
      return;
    TrialLines += Has(" why=trial ") ? 1 : 0;
    if (Has(" why=room ") && !Has(" fitting=0 "))
      FAIL_CHECK(Fields);
  };
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("lasting", Tasks, 6000)).has_value());
  Bed.run(1s);
  for (int Number = 0; Number < Tasks; ++Number) {
    std::string Id = fmt::format("deadly-{}", Number);
    Bed.Oracle.setDeadly({.Job = Id}, 2500ms);
    CHECK(Bed.submit(0, chainJob(Id, 1, 1, 9s)).has_value());
  }
  Bed.run(40s);
  CHECK(TrialLines > 0);
}
