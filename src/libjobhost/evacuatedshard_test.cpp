// Tests of the choice between shards of which one has evacuated workers.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const std::string Zone = "evacuated";

/// Two shards of three workers each.
struct TwoShards {
  TwoShards() { Bed.run(5s); }

  /// Puts the first \p Count workers of \p Shard into the evacuated domain.
  void evacuate(int Shard, int Count) {
    for (int Index = 0; Index < Bed.workers() && Count > 0; ++Index) {
      WorkerEntry &Entry = Bed.worker(Index).Entry;
      if (Bed.host(0).Process->shardOf(Entry.Id) != Shard)
        continue;
      Entry.FailureDomain = Zone;
      --Count;
    }
    Bed.publishWorkers();
    Bed.evacuate(Zone);
    Bed.run(2s);
  }
  bool completes(const std::string &Id, milliseconds Limit) {
    return Bed.runUntil(
        [&] {
          Result<JobState> Now = Bed.state(0, Id);
          return Now.has_value() && Now.value() == JobState::Completed;
        },
        Limit);
  }

  JobTestBed Bed{{.Workers = 6,
                  .HasEvacuations = true,
                  .MinShards = 2,
                  .WorkerCapacity = TwoTasks}};
};

} // namespace

// Guards against the reported room of evacuated workers: tasks are delegated to
// a shard whose other workers are full, and wait there.
TEST_CASE_FIXTURE(TwoShards, "Tasks are not delegated into room on evacuated "
                             "workers") {
  evacuate(1, 1);
  std::string Id = idForShard("wide", 0);
  REQUIRE(Bed.submit(0, longJob(Id, 6)).has_value());
  REQUIRE(allRunWithin(Bed, 6, 8s));
  for (int Number = 0; Number < 4; ++Number)
    REQUIRE(Bed.submit(0, longJob(fmt::format("single-{}", Number), 1))
                .has_value());
  REQUIRE(allRunWithin(Bed, 10, 8s));
  Bed.run(8s);
  for (int Index = 0; Index < 6; ++Index)
    REQUIRE(shardOf(Bed, taskOf(Id, Index)) == 0);
  loseWorker(Bed, workerOf(Bed, taskOf(Id)));
  Bed.run(20s);
  CHECK(Bed.LogLines["tasks_delegated"] == 0);
  CHECK(Bed.startsIn(Zone) == 0);
  Bed.endEvacuation(Zone);
  CHECK(allRunWithin(Bed, 10, RestartBound));
  checkNoViolations(Bed);
}

// Guards against jobs that stay for good because they are too old to be
// transferred, though their shard has no worker for them.
TEST_CASE_FIXTURE(TwoShards, "Old jobs leave a shard that is evacuated") {
  for (int Shard : {0, 1}) {
    Job Full =
        chainJob(fmt::format("full-{}", Shard), 1, 24, Shard == 0 ? 13s : 18s);
    REQUIRE(Bed.submit(0, Full).has_value());
  }
  REQUIRE(allRunWithin(Bed, 48, 2s));
  int Emptier = holdsJob(Bed, 0, "full-0") ? 0 : 1;
  std::vector<std::string> Ids;
  for (int Number = 0; Number < 4; ++Number) {
    Ids.push_back(fmt::format("old-{}", Number));
    REQUIRE(Bed.submit(0, chainJob(Ids.back(), 1, 2)).has_value());
  }
  Bed.run(9s);
  for (const std::string &Id : Ids)
    REQUIRE(holdsJob(Bed, Emptier, Id));
  evacuate(Emptier, 3);
  for (const std::string &Id : Ids)
    CHECK(completes(Id, 15s));
  CHECK(Bed.startsIn(Zone) == 0);
  checkNoViolations(Bed);
}

// Guards against a job that waits where its worker will never be.
TEST_CASE_FIXTURE(TwoShards, "A job that fits only evacuated workers waits in "
                             "their shard") {
  WorkerEntry *Special = nullptr;
  for (int Index = 0; Index < Bed.workers() && !Special; ++Index)
    if (Bed.host(0).Process->shardOf(Bed.worker(Index).Entry.Id) == 1)
      Special = &Bed.worker(Index).Entry;
  REQUIRE(Special);
  Special->Labels = {"special"};
  evacuate(1, 1);
  for (int Number = 0; Number < 8; ++Number) {
    Job Value = chainJob(fmt::format("special-{}", Number), 1, 1);
    Value.Steps[0].RequiredLabel = "special";
    CHECK(Bed.submit(Number % Bed.hosts(), Value).has_value());
  }
  Bed.run(12s);
  for (int Number = 0; Number < 8; ++Number)
    CHECK(holdsJob(Bed, 1, fmt::format("special-{}", Number)));
  CHECK(Bed.LogLines["job_moved"] == 0);
  checkNoViolations(Bed);
}

// Guards against a gang that is sent to a shard where it fits only together
// with evacuated workers.
TEST_CASE_FIXTURE(TwoShards, "Gangs go to a shard that holds them without "
                             "evacuated workers") {
  evacuate(1, 1);
  for (int Number = 0; Number < 8; ++Number) {
    Job Value = chainJob(fmt::format("gang-{}", Number), 1, 3, 300ms);
    Value.Steps[0].Gang = true;
    Value.Steps[0].Demand.Millicores = 8000;
    CHECK(Bed.submit(0, Value).has_value());
  }
  for (int Number = 0; Number < 8; ++Number)
    CHECK(completes(fmt::format("gang-{}", Number), 8s));
  CHECK(Bed.LogLines["job_moved"] == 0);
  checkNoViolations(Bed);
}

// Guards against the long-running tasks on evacuated workers in the load of a
// shard, whose capacity is reported without these workers: it counts as full.
TEST_CASE_FIXTURE(TwoShards, "A shard with long-running tasks on evacuated "
                             "workers still gets jobs that fit") {
  std::string Id = idForShard("begun", 1);
  REQUIRE(Bed.submit(0, longJob(Id, 3, 5000)).has_value());
  REQUIRE(allRunWithin(Bed, 3, 8s));
  std::string Other = idForShard("other", 0);
  REQUIRE(Bed.submit(0, longJob(Other, 3, 8000)).has_value());
  REQUIRE(allRunWithin(Bed, 6, 8s));
  REQUIRE(shardOf(Bed, taskOf(Id)) == 1);
  REQUIRE(shardOf(Bed, taskOf(Other)) == 0);
  evacuate(1, 2);
  Bed.run(3s);
  for (int Number = 0; Number < 8; ++Number) {
    std::string New = fmt::format("new-{}", Number);
    REQUIRE(Bed.submit(0, longJob(New, 1, 250)).has_value());
    CHECK(holdsJob(Bed, 1, New));
    CHECK(runsWithin(Bed, taskOf(New), 2s));
  }
  CHECK(Bed.startsIn(Zone) == 0);
  checkNoViolations(Bed);
}
