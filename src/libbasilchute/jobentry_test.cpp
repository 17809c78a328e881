#include "libbasilchute/jobentry.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds AcceptedAt = 1h;
constexpr int RunGap = 64;

/// Returns the last run number before those that an owner gives which reads
/// \p Stored when the job has the age \p Age.
int lastRunAt(milliseconds Age, const JobProgress &Stored) {
  Job Spec{.Id = "a", .AcceptedAt = AcceptedAt};
  Spec.Steps.push_back({.Count = 2});
  JobEntry Entry(Spec, 1, TimePoint{});
  Entry.restore(Stored, RunGap, AcceptedAt + Age);
  CHECK(Entry.Tasks[0].LastRun == Entry.Tasks[1].LastRun);
  return Entry.Tasks[0].LastRun;
}

} // namespace

// Guards against two runs of a task with one number: the stored numbers were
// ahead of the job's age, and an owner that stored nothing was followed by
// another one.
TEST_CASE("Owners that read the same row give their runs different numbers") {
  for (int Highest : {0, 100, 5000}) {
    JobProgress Stored{.Tasks = {{.Position = 0, .Run = Highest},
                                 {.Position = 1, .Run = Highest}},
                       .HighestRun = Highest};
    int Last = Highest;
    for (milliseconds Age = 200ms; Age < 400s; Age += 3100ms) {
      CAPTURE(Highest);
      CAPTURE(Age.count());
      int Run = lastRunAt(Age, Stored);
      CHECK(Run >= Last + 30);
      Last = Run;
    }
  }
}

// Guards against jobs of mixed steps that complete, or go on with the next
// step, because long-running tasks count as done while another shard runs them.
TEST_CASE("Long-running tasks that run elsewhere end neither job nor step") {
  Job Spec{.Id = "job"};
  Spec.Steps = {JobStep{.Count = 1}, JobStep{.Count = 2, .LongRunning = true},
                JobStep{.Count = 1, .Predecessors = {1}}};
  JobEntry Entry(Spec, 1, TimePoint{});
  CHECK(Entry.HasLongRunningStep);
  for (int Position : {0, 1, 2})
    Entry.finish(Position);
  CHECK(!Entry.isReady(3));
  Entry.finish(3);
  CHECK(!Entry.allDone());
}

// Guards against two runs of a task with one number: the second owner of a job
// skips some numbers, and the owner of the shard to which the job is
// transferred then begins below them.
TEST_CASE(
    "The run numbers of a transferred job lie above those of owners before") {
  Job Spec{.Id = "job", .Steps = {JobStep{.Count = 1}}};
  Spec.AcceptedAt = milliseconds(1000000);
  for (milliseconds Takeover : {milliseconds(100), milliseconds(5000)})
    for (milliseconds Transfer : {milliseconds(0), milliseconds(4000)}) {
      CAPTURE(Takeover.count());
      CAPTURE(Transfer.count());
      milliseconds At = Spec.AcceptedAt + Takeover;
      JobEntry Second(Spec, 1, TimePoint{});
      Second.restore(JobProgress{}, RunGap, At);
      JobEntry Elsewhere(Spec, 1, TimePoint{});
      Elsewhere.skipRunNumbers(RunGap, At + Transfer);
      // An owner uses one number for each start that it does not store.
      CHECK(Elsewhere.Tasks[0].LastRun >= Second.Tasks[0].LastRun);
    }
}
