// Tests of long-running tasks that lose their worker while short work uses all
// room of the others.

#include "testing/jobload.h"
#include "testing/longjobs.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 10;
constexpr Resources LargeWorker{.Millicores = 32000, .MemoryMib = 128000};
constexpr int Jobs = 12;
constexpr int TasksPerJob = 4;
/// Difference between the tasks of one long-running job and of the next.
constexpr int64_t DemandStep = 200;

struct RestartLoad {
  /// Demand of the tasks of the first long-running job.
  int64_t LeastMillicores;
  milliseconds ShortTaskDuration;
};

/// Without two of the workers, long-running tasks need 88% of the cores in the
/// first case, and 96% in the second one: only few of many ways to place them
/// have room for all.
constexpr RestartLoad RestartLoads[] = {
    {.LeastMillicores = 3600, .ShortTaskDuration = 5000ms},
    {.LeastMillicores = 4000, .ShortTaskDuration = 3000ms}};

void startLongJobs(JobTestBed &Bed, const RestartLoad &Case) {
  for (int Number = 0; Number < Jobs; ++Number)
    CHECK(Bed.submit(0, longJob("job-" + std::to_string(Number), TasksPerJob,
                                Case.LeastMillicores + DemandStep * Number))
              .has_value());
  REQUIRE(allRunWithin(Bed, size_t{Jobs} * TasksPerJob, 4s));
}

/// Returns more short work than there is room for.
JobLoadOptions shortWork(const RestartLoad &Case) {
  return {.JobInterval = 100ms,
          .TasksPerStep = {30},
          .TaskDuration = Case.ShortTaskDuration,
          .Demand = {.Millicores = 900, .MemoryMib = 500}};
}

/// Longest time for which any of the long-running tasks has not run.
class LongestGap {
public:
  explicit LongestGap(JobTestBed &Bed) : m_bed(Bed) {
    for (int Number = 0; Number < Jobs; ++Number)
      for (int Index = 0; Index < TasksPerJob; ++Index)
        m_lastRan[taskOf("job-" + std::to_string(Number), Index)] = Bed.now();
  }

  void update() {
    for (auto &[Task, LastRan] : m_lastRan) {
      if (!m_bed.Oracle.workerOf(Task).empty())
        LastRan = m_bed.now();
      m_longest = std::max(m_longest, m_bed.now() - LastRan);
    }
  }

  nanoseconds longest() const { return m_longest; }

private:
  JobTestBed &m_bed;
  std::map<TaskName, TimePoint> m_lastRan;
  nanoseconds m_longest{0};
};

/// Submits short work for \p Span.
nanoseconds longestGapUnder(JobTestBed &Bed, JobLoad &Load, milliseconds Span) {
  LongestGap Gap(Bed);
  TimePoint Until = Bed.now() + Span;
  while (Bed.now() < Until) {
    Load.submitFor(100ms);
    Gap.update();
  }
  return Gap.longest();
}

} // namespace

// Guards against restarts that wait one behind the other for room, since short
// tasks take what becomes free on all workers but one.
TEST_CASE("All long-running tasks of workers that leave run again beside short "
          "work") {
  for (const RestartLoad &Case : RestartLoads) {
    CAPTURE(Case.LeastMillicores);
    JobTestBed Bed({.Workers = Workers, .WorkerCapacity = LargeWorker});
    Bed.run(3s);
    startLongJobs(Bed, Case);
    JobLoad Load(Bed, shortWork(Case));
    Load.submitFor(4s);
    Bed.drainWorker(0, 5s);
    Bed.drainWorker(1, 5s);
    CHECK(longestGapUnder(Bed, Load, 25s) < RestartBound);
    checkNoViolations(Bed);
  }
}

// Guards against the same after a crash, which gives no notice.
TEST_CASE("All long-running tasks of crashed workers run again beside short "
          "work") {
  for (const RestartLoad &Case : RestartLoads) {
    CAPTURE(Case.LeastMillicores);
    JobTestBed Bed({.Workers = Workers, .WorkerCapacity = LargeWorker});
    Bed.run(3s);
    startLongJobs(Bed, Case);
    JobLoad Load(Bed, shortWork(Case));
    Load.submitFor(4s);
    loseWorker(Bed, 0);
    loseWorker(Bed, 1);
    CHECK(longestGapUnder(Bed, Load, 25s) < RestartBound);
    checkNoViolations(Bed);
  }
}

// Guards against a task that is down for most of the time allowed before its
// owner even looks for room: the lease on a worker that left was long.
TEST_CASE(
    "The tasks of a worker that drained and is silent have ended within 3 s") {
  JobTestBed Bed({.Workers = 3, .WorkerCapacity = TwoTasks});
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("full", 4)).has_value());
  CHECK(Bed.submit(0, longJob("other", 2)).has_value());
  REQUIRE(allRunWithin(Bed, 6, 4s));
  int Leaving = workerOf(Bed, taskOf("full"));
  Bed.worker(Leaving).Entry.IsDraining = true;
  Bed.publishWorkers();
  Bed.run(5s);
  loseWorker(Bed, Leaving);
  CHECK(Bed.cancel(0, "other").has_value());
  auto AllRun = [&] {
    for (int Index = 0; Index < 4; ++Index)
      if (workerOf(Bed, taskOf("full", Index)) < 0)
        return false;
    return true;
  };
  CHECK(Bed.runUntil(AllRun, 3s));
  checkNoViolations(Bed);
}

// Guards against tasks that wait in a full shard while another shard gives the
// room that it gets to long-running tasks which never ran.
TEST_CASE("Restarts of a full shard get the room of another shard before tasks "
          "that never ran") {
  JobTestBed Bed({.Workers = 6, .MinShards = 2, .WorkerCapacity = TwoTasks});
  Bed.run(6s);
  for (int Number = 0; Number < 12; ++Number)
    CHECK(
        Bed.submit(0, longJob("job-" + std::to_string(Number), 1)).has_value());
  REQUIRE(allRunWithin(Bed, 12, 8s));
  for (int Number = 0; Number < 12; ++Number)
    CHECK(
        Bed.submit(0, longJob("new-" + std::to_string(Number), 1)).has_value());
  Bed.run(6s);
  int Lost = workerOf(Bed, taskOf("job-0"));
  int FullShard = shardOf(Bed, taskOf("job-0"));
  std::vector<TaskName> Restarts;
  std::vector<std::string> Others;
  for (int Number = 0; Number < 12; ++Number) {
    TaskName Task = taskOf("job-" + std::to_string(Number));
    if (workerOf(Bed, Task) == Lost)
      Restarts.push_back(Task);
    else if (shardOf(Bed, Task) != FullShard)
      Others.push_back(Task.Job);
  }
  REQUIRE(Restarts.size() == 2);
  REQUIRE(Others.size() == 6);
  loseWorker(Bed, Lost);
  TimePoint LostAt = Bed.now();
  Bed.run(LeaseTimes{}.Sole);
  for (const std::string &Job : Others) {
    CHECK(Bed.cancel(0, Job).has_value());
    Bed.run(600ms);
  }
  for (const TaskName &Task : Restarts)
    CHECK(runsWithin(Bed, Task,
                     std::chrono::duration_cast<milliseconds>(
                         LostAt + RestartBound - Bed.now())));
  checkNoViolations(Bed);
}

// Guards against restarts that change their shard one job at a time, while the
// room stands idle: a rack of workers of a full shard is lost.
TEST_CASE("Restarts of many jobs get the room of another shard within 3 s") {
  JobTestBed Bed(
      {.Workers = 50, .MinShards = 2, .WorkerCapacity = LargeWorker});
  Bed.run(6s);
  // Fills the second shard.
  std::string Filler = idForShard("filler-", 1);
  CHECK(Bed.submit(0, longJob(Filler, 200)).has_value());
  REQUIRE(allRunWithin(Bed, 200, 4s));
  Bed.run(2s);
  for (int Number = 0; Number < 50; ++Number) {
    Job Value = longJob("job-" + std::to_string(Number), 4);
    Value.Steps[0].MaxPerWorker = 1;
    CHECK(Bed.submit(0, Value).has_value());
  }
  REQUIRE(allRunWithin(Bed, 400, 10s));
  std::vector<int> Lost;
  for (int Worker = 0; Worker < Bed.workers() && Lost.size() < 12; ++Worker)
    if (Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id) == 0)
      Lost.push_back(Worker);
  for (int Worker : Lost)
    loseWorker(Bed, Worker);
  Bed.run(LeaseTimes{}.Sole + 2s);
  REQUIRE(Bed.Oracle.running() == 304);
  Bed.Store.CommitDelay = 50ms;
  CHECK(Bed.cancel(0, Filler).has_value());
  REQUIRE(allRunWithin(Bed, 104, 1s));
  CHECK(allRunWithin(Bed, 200, 3s));
  checkNoViolations(Bed);
}

// Guards against short work that is shut out of idle workers: a long-running
// task that never ran was refused there since the room is kept for restarts of
// another shard, and the refusal counted for all tasks with its demand.
TEST_CASE("Short work uses the room that is kept for restarts of another "
          "shard") {
  constexpr Resources Special{
      .Millicores = 8000, .MemoryMib = 16000, .Accelerators = 2};
  JobTestBed Bed({.Workers = 6, .MinShards = 2, .WorkerCapacity = TwoTasks});
  Bed.setCapacity(0, Special);
  Bed.run(6s);
  Job Restarts = longJob("special", 2);
  Restarts.Steps[0].Demand.Accelerators = 1;
  CHECK(Bed.submit(0, Restarts).has_value());
  REQUIRE(runsWithin(Bed, taskOf("special", 1), 4s));
  int Full = shardOf(Bed, taskOf("special"));
  // The restarts find no room anywhere: no other worker has accelerators.
  Bed.loseWorker(0, 60s);
  Bed.run(LeaseTimes{}.Sole + 2s);
  for (int Number = 0; Number < 12; ++Number)
    CHECK(
        Bed.submit(0, longJob("new-" + std::to_string(Number), 1)).has_value());
  Bed.run(4s);
  std::vector<std::string> Short;
  for (int Number = 0; Number < 8; ++Number) {
    Job Value = chainJob("short-" + std::to_string(Number), 1, 1, 300ms);
    Value.Steps[0].Demand.Millicores = 4000;
    CHECK(Bed.submit(0, Value).has_value());
    if (holdsJob(Bed, 1 - Full, Value.Id))
      Short.push_back(Value.Id);
  }
  REQUIRE_FALSE(Short.empty());
  for (const std::string &Id : Short)
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone(Id); }, 3s));
}
