// Tests of failure domains that the operator evacuates.

#include "testing/longjobs.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Workers 0 and 3 of six workers in three domains.
const std::string Zone = "zone-0";
constexpr int Domains = 3;

JobTestBedOptions evacuationOptions(int Workers = 6) {
  return {.Workers = Workers,
          .FailureDomains = Domains,
          .HasEvacuations = true,
          .WorkerCapacity = TwoTasks};
}

bool isIn(JobTestBed &Bed, const std::string &Domain, const TaskName &Task) {
  int Worker = workerOf(Bed, Task);
  return Worker >= 0 && Bed.worker(Worker).Entry.FailureDomain == Domain;
}

bool reaches(JobTestBed &Bed, const std::string &Id, JobState State,
             milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> Now = Bed.state(0, Id);
        return Now.has_value() && Now.value() == State;
      },
      Limit);
}

/// Submits a job of short tasks each 200 ms for \p Span. Returns their ids.
std::vector<std::string>
submitShortJobs(JobTestBed &Bed, const std::string &Prefix, milliseconds Span) {
  std::vector<std::string> Out;
  for (TimePoint Until = Bed.now() + Span; Bed.now() < Until;) {
    Out.push_back(fmt::format("{}-{}", Prefix, Out.size()));
    CHECK(Bed.submit(0, chainJob(Out.back(), 1, 4)).has_value());
    Bed.run(200ms);
  }
  return Out;
}

/// Puts the workers of each shard into a domain of its own, and returns that
/// of \p Shard.
std::string domainOfShard(JobTestBed &Bed, int Shard) {
  for (int Index = 0; Index < Bed.workers(); ++Index) {
    WorkerEntry &Entry = Bed.worker(Index).Entry;
    Entry.FailureDomain =
        fmt::format("of-shard-{}", Bed.host(0).Process->shardOf(Entry.Id));
  }
  Bed.publishWorkers();
  return fmt::format("of-shard-{}", Shard);
}

/// Returns a job of one gang whose members each take a worker.
Job gangOf(const std::string &Id, int Members) {
  Job Out = chainJob(Id, 1, Members, 500ms);
  Out.Steps[0].Gang = true;
  Out.Steps[0].Demand.Millicores = 8000;
  return Out;
}

} // namespace

// Guards against starts in the domain, against work elsewhere that stands
// still, and against a domain that stays empty after it is back.
TEST_CASE("Nothing starts in an evacuated domain, and work elsewhere goes on") {
  JobTestBed Bed(evacuationOptions());
  Bed.run(3s);
  submitShortJobs(Bed, "before", 3s);
  CHECK(Bed.startsIn(Zone) > 0);
  Bed.evacuate(Zone);
  Bed.run(500ms);
  int StartsThere = Bed.startsIn(Zone);
  for (const std::string &Id : submitShortJobs(Bed, "during", 15s))
    CHECK(reaches(Bed, Id, JobState::Completed, 3s));
  CHECK(Bed.startsIn(Zone) == StartsThere);
  Bed.endEvacuation(Zone);
  submitShortJobs(Bed, "after", 3s);
  CHECK(Bed.startsIn(Zone) > StartsThere);
  CHECK(Bed.LogLines["evacuation_changed"] == 2 * Bed.hosts());
  checkNoViolations(Bed);
}

// Guards against a second evacuation that takes the place of the first.
TEST_CASE("Several domains are evacuated at once, and each comes back alone") {
  JobTestBed Bed(evacuationOptions());
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(1s);
  Bed.evacuate("zone-1");
  Bed.run(1s);
  submitShortJobs(Bed, "during", 6s);
  CHECK(Bed.startsIn(Zone) == 0);
  CHECK(Bed.startsIn("zone-1") == 0);
  Bed.endEvacuation(Zone);
  Bed.run(500ms);
  submitShortJobs(Bed, "after", 3s);
  CHECK(Bed.startsIn(Zone) > 0);
  CHECK(Bed.startsIn("zone-1") == 0);
  checkNoViolations(Bed);
}

// Guards against runs that are stopped, or whose leases end, since nothing may
// start beside them.
TEST_CASE("Runs in an evacuated domain go on and their ends are recorded") {
  JobTestBed Bed(evacuationOptions(3));
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("lasting", 3)).has_value());
  CHECK(Bed.submit(0, chainJob("finite", 1, 12, 14s)).has_value());
  REQUIRE(allRunWithin(Bed, 15, 4s));
  int Starts = Bed.Oracle.starts();
  REQUIRE(Bed.startsIn(Zone) > 0);
  for (const char *Domain : {"zone-0", "zone-1", "zone-2"})
    Bed.evacuate(Domain);
  CHECK(reaches(Bed, "finite", JobState::Completed, 20s));
  Bed.run(20s);
  CHECK(Bed.Oracle.running() == 3);
  CHECK(Bed.Oracle.starts() == Starts);
  CHECK(Bed.cancel(0, "lasting").has_value());
  Bed.run(2s);
  CHECK(Bed.Oracle.running() == 0);
  checkNoViolations(Bed);
}

// Guards against a job that is failed since no worker takes it now, and
// against a wait without a word.
TEST_CASE("A job that fits only in an evacuated domain waits and then runs") {
  for (int MinShards : {1, 2}) {
    CAPTURE(MinShards);
    JobTestBedOptions Options = evacuationOptions();
    Options.MinShards = MinShards;
    JobTestBed Bed(Options);
    Bed.worker(0).Entry.Labels = {"special"};
    Bed.publishWorkers();
    Bed.run(3s);
    Bed.evacuate(Zone);
    Bed.run(1s);
    for (int Number = 0; Number < 4; ++Number) {
      Job Value = chainJob(fmt::format("only-there-{}", Number), 1, 2);
      Value.Steps[0].RequiredLabel = "special";
      CHECK(Bed.submit(0, Value).has_value());
    }
    Bed.run(20s);
    CHECK(Bed.Oracle.starts() == 0);
    CHECK(Bed.state(0, "only-there-0").value() == JobState::Queued);
    CHECK(Bed.LogLines["evacuation_waits"] >= 10);
    CHECK(Bed.LogLines["evacuation_waits"] <= 25 * MinShards);
    Bed.endEvacuation(Zone);
    for (int Number = 0; Number < 4; ++Number)
      CHECK(reaches(Bed, fmt::format("only-there-{}", Number),
                    JobState::Completed, 3s));
    checkNoViolations(Bed);
  }
}

// Guards against a gang that is failed or refused, and one that starts in part.
TEST_CASE("A gang that needs an evacuated domain waits for it") {
  JobTestBed Bed(evacuationOptions());
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(1s);
  CHECK(Bed.submit(0, gangOf("whole", 6)).has_value());
  CHECK(Bed.submit(0, gangOf("small", 4)).has_value());
  CHECK(reaches(Bed, "small", JobState::Completed, 5s));
  Bed.run(12s);
  CHECK(Bed.startsIn(Zone) == 0);
  CHECK(Bed.Oracle.starts() == 4);
  Bed.endEvacuation(Zone);
  CHECK(reaches(Bed, "whole", JobState::Completed, 5s));
  checkNoViolations(Bed);
}

// Guards against a restart that waits for its worker's domain, and against one
// that goes there.
TEST_CASE("A long-running task that fails in an evacuated domain runs again "
          "elsewhere within its bound") {
  JobTestBed Bed(evacuationOptions());
  Bed.run(3s);
  CHECK(Bed.submit(0, longJob("lasting", 6)).has_value());
  REQUIRE(allRunWithin(Bed, 6, 4s));
  Bed.run(5s);
  Bed.evacuate(Zone);
  Bed.run(6s);
  TaskName Failed;
  for (int Index = 0; Index < 6; ++Index)
    if (isIn(Bed, Zone, taskOf("lasting", Index)))
      Failed = taskOf("lasting", Index);
  REQUIRE(!Failed.Job.empty());
  REQUIRE(Bed.failTask(Failed));
  CHECK(runsWithin(Bed, Failed, 3s));
  CHECK_FALSE(isIn(Bed, Zone, Failed));
  checkNoViolations(Bed);
}

// Guards against an order that was prepared before the evacuation, whose place
// is stored by a slow store after it.
TEST_CASE("A start whose place is being stored is not sent to an evacuated "
          "domain") {
  JobTestBed Bed(evacuationOptions(3));
  Bed.run(3s);
  Bed.evacuate("zone-1");
  Bed.evacuate("zone-2");
  Bed.run(1s);
  Bed.Store.CommitDelay = 1200ms;
  bool IsAccepted = false;
  Bed.beginSubmit(0, longJob("stored", 2), [&] { IsAccepted = true; });
  REQUIRE(Bed.runUntil([&] { return Bed.LogLines["job_started"] > 0; }, 8s));
  CHECK(Bed.Oracle.starts() == 0);
  Bed.evacuate(Zone);
  Bed.endEvacuation("zone-1");
  Bed.endEvacuation("zone-2");
  CHECK(allRunWithin(Bed, 2, 10s));
  CHECK(IsAccepted);
  CHECK(Bed.startsIn(Zone) == 0);
  checkNoViolations(Bed);
}

// Guards against reported room on workers that take no tasks: jobs and tasks
// would go there and wait.
TEST_CASE("No job or task goes to a shard whose workers are all evacuated") {
  JobTestBedOptions Options = evacuationOptions();
  Options.MinShards = 2;
  JobTestBed Bed(Options);
  Bed.run(5s);
  std::string Domain = domainOfShard(Bed, 1);
  Bed.evacuate(Domain);
  Bed.run(2s);
  int Room = 0;
  for (int Index = 0; Index < Bed.workers(); ++Index)
    Room += Bed.worker(Index).Entry.FailureDomain == Domain ? 0 : 2;
  // Two tasks more than there is room for, so that some wait and look for
  // another shard.
  CHECK(Bed.submit(0, longJob("first", Room)).has_value());
  CHECK(allRunWithin(Bed, static_cast<size_t>(Room), 8s));
  CHECK(Bed.submit(0, longJob("waiting", 2)).has_value());
  for (int Number = 0; Number < 6; ++Number)
    CHECK(Bed.submit(0, chainJob(fmt::format("short-{}", Number), 1, 2))
              .has_value());
  Bed.run(15s);
  CHECK(Bed.startsIn(Domain) == 0);
  CHECK(Bed.LogLines["tasks_delegated"] == 0);
  CHECK(Bed.LogLines["job_moved"] == 0);
  CHECK(holdsJob(Bed, 0, "waiting"));
  for (int Number = 0; Number < 6; ++Number)
    CHECK(holdsJob(Bed, 0, fmt::format("short-{}", Number)));
  Bed.endEvacuation(Domain);
  CHECK(allRunWithin(Bed, static_cast<size_t>(Room) + 2, RestartBound));
  checkNoViolations(Bed);
}

// Guards against jobs that wait for a domain though another shard has room.
TEST_CASE("Jobs leave a shard whose workers are evacuated") {
  JobTestBedOptions Options = evacuationOptions();
  Options.MinShards = 2;
  JobTestBed Bed(Options);
  Bed.run(5s);
  std::string Domain = domainOfShard(Bed, 0);
  std::string Id = idForShard("moving", 0);
  // All workers are full, so that the job waits in its shard.
  CHECK(Bed.submit(0, chainJob("full-0", 1, 24, 3s)).has_value());
  CHECK(Bed.submit(0, chainJob("full-1", 1, 24, 3s)).has_value());
  REQUIRE(allRunWithin(Bed, 48, 1s));
  CHECK(Bed.submit(0, longJob(Id, 2)).has_value());
  REQUIRE(holdsJob(Bed, 0, Id));
  Bed.evacuate(Domain);
  CHECK(runsWithin(Bed, taskOf(Id), 15s));
  CHECK_FALSE(isIn(Bed, Domain, taskOf(Id)));
  CHECK(Bed.startsIn(Domain) == 24);
  CHECK(holdsJob(Bed, 1, Id));
  checkNoViolations(Bed);
}

// Guards against a task that waits in its shard, since that has workers of its
// size, though another shard has room.
TEST_CASE("Long-running tasks are delegated out of an evacuated domain") {
  JobTestBedOptions Options = evacuationOptions();
  Options.MinShards = 2;
  JobTestBed Bed(Options);
  Bed.run(5s);
  std::string Domain = domainOfShard(Bed, 0);
  std::string Id = idForShard("wide", 0);
  CHECK(Bed.submit(0, longJob(Id, 4)).has_value());
  REQUIRE(allRunWithin(Bed, 4, 8s));
  Bed.run(5s);
  REQUIRE(isIn(Bed, Domain, taskOf(Id)));
  Bed.evacuate(Domain);
  Bed.run(6s);
  REQUIRE(Bed.failTask(taskOf(Id)));
  CHECK(runsWithin(Bed, taskOf(Id), RestartBound));
  CHECK_FALSE(isIn(Bed, Domain, taskOf(Id)));
  checkNoViolations(Bed);
}
