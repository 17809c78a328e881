// Tests of long-running tasks of which few may be on one worker.

#include "testing/jobtestbed.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int Workers = 4;
/// More than a round of placing spends on steps that fit nowhere.
constexpr int LargeJobs = 50;
/// Later than the leases of a crashed worker are over, so that its task is
/// tried while it fits nowhere.
constexpr milliseconds WorkerReturn{12000};

} // namespace

// Guards against a long-running task with a limit per worker that is tried once
// and never again while many other steps wait for room.
TEST_CASE("A task with a limit per worker runs again while many others wait "
          "for room") {
  JobTestBed Bed({.Workers = Workers,
                  .WorkerReturn = WorkerReturn,
                  .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
  Bed.run(3s);
  Job Lasting = longRunningJob("lasting", Workers);
  Lasting.Steps[0].MaxPerWorker = 1;
  Lasting.Steps[0].Demand.MemoryMib = 8000;
  // RestartCheck knows no limits per worker: it would ask for the task while
  // its only worker is down.
  Bed.beginSubmit(0, Lasting, [] {});
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == Workers; }, 3s));
  // Each fits on an empty worker only. The youngest comes first, so that none
  // excludes the next.
  for (int Number = 0; Number < LargeJobs; ++Number) {
    Job Large = chainJob(fmt::format("large-{}", Number), 1, 1);
    Large.Steps[0].Demand.MemoryMib = 9000 + Number;
    CHECK(Bed.submit(0, Large).has_value());
  }
  Bed.crashWorkers({0});
  CHECK(Bed.Oracle.running() < Workers);
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == Workers; },
                     WorkerReturn + RestartCheck::RestartTime));
  Bed.run(10s);
  CHECK(Bed.Oracle.running() == Workers);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}
