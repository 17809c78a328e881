// Tests of shards that long-running tasks have filled.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time after the end of its last run within which a long-running task must run
/// again while there is capacity for it anywhere.
constexpr milliseconds RestartBound{9000};
/// Capacity of a worker in these tests: two tasks of longJob().
constexpr Resources TwoTasks{.Millicores = 8000, .MemoryMib = 16000};

/// Returns a job with one step of \p Width long-running tasks.
Job longJob(const std::string &Id, int Width, int64_t Millicores = 4000) {
  Job Out = chainJob(Id, 1, Width);
  Out.Steps[0].LongRunning = true;
  Out.Steps[0].Demand.Millicores = Millicores;
  return Out;
}

TaskName taskOf(const std::string &Id, int Index = 0) {
  return {.Job = Id, .Occurrence = 0, .Step = 0, .Index = Index};
}

/// Returns the index of the worker that runs \p Task, or -1 if none does.
int workerOf(JobTestBed &Bed, const TaskName &Task) {
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).runs(Task))
      return Worker;
  return -1;
}

bool runsWithin(JobTestBed &Bed, const TaskName &Task, milliseconds Limit) {
  return Bed.runUntil([&] { return workerOf(Bed, Task) >= 0; }, Limit);
}

bool allRunWithin(JobTestBed &Bed, size_t Tasks, milliseconds Limit) {
  return Bed.runUntil([&] { return Bed.Oracle.running() == Tasks; }, Limit);
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

} // namespace

// Guards against a failed long-running task that loses its room to jobs that
// have not begun: they waited longer and took the room before the restart was
// due.
TEST_CASE("A failed long-running task gets its room back before new jobs") {
  JobTestBed Bed({.Workers = 2, .WorkerCapacity = TwoTasks});
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("full", 4)).has_value());
  REQUIRE(allRunWithin(Bed, 4, 2s));
  for (int Number = 0; Number < 3; ++Number)
    CHECK(
        Bed.submit(0, longJob("new-" + std::to_string(Number), 1)).has_value());
  Bed.run(4s);
  for (int Index = 0; Index < 4; ++Index) {
    Bed.worker(workerOf(Bed, taskOf("full", Index)))
        .fail(taskOf("full", Index));
    CHECK(runsWithin(Bed, taskOf("full", Index), RestartBound));
  }
  checkNoViolations(Bed);
}

// Guards against a failed long-running task that loses its room to a task of
// another begun job that never ran.
TEST_CASE("A failed long-running task gets its room back before tasks of begun "
          "jobs that never ran") {
  JobTestBed Bed({.Workers = 2, .WorkerCapacity = TwoTasks});
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("b", 2)).has_value());
  CHECK(Bed.submit(0, longJob("a", 3)).has_value());
  REQUIRE(allRunWithin(Bed, 4, 2s));
  Bed.run(3s);
  for (const char *Id : {"a", "b"})
    Bed.worker(workerOf(Bed, taskOf(Id))).fail(taskOf(Id));
  CHECK(runsWithin(Bed, taskOf("a"), RestartBound));
  CHECK(runsWithin(Bed, taskOf("b"), RestartBound));
  checkNoViolations(Bed);
}

// Guards against a failed long-running task that loses its room to short tasks
// which run longer than the time within which it must run again.
TEST_CASE("A failed long-running task gets its room back before short tasks") {
  JobTestBed Bed({.Workers = 2, .WorkerCapacity = TwoTasks});
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("full", 4)).has_value());
  REQUIRE(allRunWithin(Bed, 4, 2s));
  CHECK(Bed.submit(0, chainJob("short", 1, 40, 20s)).has_value());
  Bed.run(1s);
  Bed.worker(workerOf(Bed, taskOf("full", 1))).fail(taskOf("full", 1));
  CHECK(runsWithin(Bed, taskOf("full", 1), RestartBound));
  checkNoViolations(Bed);
}
