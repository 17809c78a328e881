// Tests of failure domains whose workers crash together again and again.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int Domains = 3;
constexpr int Workers = 24;
constexpr int LongJobs = 15;
constexpr int TasksPerJob = 10;
constexpr int LongTasks = LongJobs * TasksPerJob;
/// A task may start twice more after three workers have crashed under it.
constexpr int MaxDeadlyStarts = 5;

JobTestBedOptions domainOptions() {
  return {.Workers = Workers,
          .FailureDomains = Domains,
          .WorkerReturn = 600ms,
          .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr};
}

/// Returns the workers of the first failure domain.
std::vector<int> workersOfDomain(JobTestBed &Bed) {
  std::vector<int> Out;
  for (int Index = 0; Index < Bed.workers(); ++Index)
    if (Bed.worker(Index).Entry.FailureDomain ==
        Bed.worker(0).Entry.FailureDomain)
      Out.push_back(Index);
  return Out;
}

std::string longJob(int Number) { return fmt::format("lasting-{}", Number); }

/// Submits long-running tasks that need four fifths of the workers.
void submitLongJobs(JobTestBed &Bed) {
  for (int Number = 0; Number < LongJobs; ++Number)
    CHECK(Bed.submit(0, longRunningJob(longJob(Number), TasksPerJob, 1000))
              .has_value());
}

/// Lets the first failure domain crash three times, \p Pause apart, so that the
/// runs on it are young.
void crashDomainThreeTimes(JobTestBed &Bed, milliseconds Pause) {
  for (int Number = 0; Number < 3; ++Number) {
    Bed.crashWorkers(workersOfDomain(Bed));
    if (Number < 2)
      Bed.run(Pause);
  }
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

} // namespace

// Guards against long-running tasks that wait for trials, or never run again,
// since each crash of their failure domain counts as evidence against them.
TEST_CASE("All tasks run again after a failure domain has crashed three "
          "times") {
  for (milliseconds Pause : {1800ms, 2500ms, 3500ms, 5000ms}) {
    CAPTURE(Pause.count());
    JobTestBed Bed(domainOptions());
    Bed.run(3s);
    submitLongJobs(Bed);
    CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == LongTasks; }, 10s));
    crashDomainThreeTimes(Bed, Pause);
    CHECK(Bed.Oracle.running() < LongTasks);
    CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == LongTasks; },
                       RestartCheck::RestartTime));
    CHECK(Bed.LogLines["trial_begins"] == 0);
    CHECK(Bed.LogLines["task_given_up"] == 0);
    checkNoViolations(Bed);
  }
}

// Guards against a deadly task that is never found, since the crashes under it
// are taken for crashes of its failure domain.
TEST_CASE("A deadly task is given up while its failure domain crashes") {
  for (milliseconds Pause : {1800ms, 2500ms, 3500ms, 5000ms})
    for (milliseconds RunTime : {0ms, 1400ms}) {
      CAPTURE(Pause.count());
      CAPTURE(RunTime.count());
      JobTestBed Bed(domainOptions());
      Bed.run(3s);
      submitLongJobs(Bed);
      Bed.run(3s);
      const TaskName Deadly{.Job = "deadly"};
      Bed.Oracle.setDeadly(Deadly, RunTime);
      CHECK(Bed.submit(0, longRunningJob("deadly", 1, 1000)).has_value());
      crashDomainThreeTimes(Bed, Pause);
      CHECK(
          Bed.runUntil([&] { return Bed.LogLines["task_given_up"] > 0; }, 30s));
      Bed.run(10s);
      CHECK(Bed.LogLines["task_given_up"] == 1);
      CHECK(Bed.Oracle.deadly(Deadly)->Starts <= MaxDeadlyStarts);
      CHECK(Bed.Oracle.running() == LongTasks);
      checkNoViolations(Bed);
    }
}
