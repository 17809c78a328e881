#include "basilchute/shardchoice.h"

#include "basilchute/admission.h"
#include "libbasilchute/admissionload.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

std::vector<ShardCandidate> equalShards(int Count) {
  std::vector<ShardCandidate> Out;
  for (int Shard = 0; Shard < Count; ++Shard)
    Out.push_back({.Shard = Shard, .Load = {.CapacityMillicores = 960000}});
  return Out;
}

ShardDemand shortJob(int Number) {
  return {.JobId = "job-" + std::to_string(Number),
          .Amount = 60000,
          .CriticalPath = 2s};
}

} // namespace

TEST_CASE("Workers with room for a task are counted, and never too many") {
  ShardLoad Load;
  CHECK_FALSE(workersWithRoom(Load, 1000).has_value());
  for (int64_t Room : {0, 900, 4000, 5700, 8000, 28000})
    addRoomyWorker(Load, {.Millicores = Room, .MemoryMib = 64000});
  CHECK(workersWithRoom(Load, 500) == 4);
  CHECK(workersWithRoom(Load, 4000) == 4);
  CHECK(workersWithRoom(Load, 5600) == 3);
  CHECK(workersWithRoom(Load, 5800) == 2);
  CHECK(workersWithRoom(Load, 16000) == 1);
  CHECK(workersWithRoom(Load, 32000) == 0);
  CHECK_FALSE(workersWithRoom(Load, 40000).has_value());
}

// Guards against tasks that are sent to wait in a shard whose only worker with
// enough processors has no memory left.
TEST_CASE("A worker without memory counts as room only for tasks that need "
          "little") {
  std::vector<ShardCandidate> Shards = equalShards(2);
  for (ShardCandidate &Candidate : Shards) {
    Candidate.Load.LargestRoomMillicores = 10000;
    addRoomyWorker(Candidate.Load, {.Millicores = 10000, .MemoryMib = 500});
  }
  addRoomyWorker(Shards[1].Load, {.Millicores = 3000, .MemoryMib = 9000});
  ShardDemand Demand{.JobId = "job",
                     .IsLongRunning = true,
                     .LargestTaskMillicores = 4000,
                     .LargestTaskMemoryMib = 8000};
  CHECK(shardWithRoom(Shards, Demand) == -1);
  Demand.LargestTaskMillicores = 2000;
  CHECK(shardWithRoom(Shards, Demand) == 1);
  Demand.LargestTaskMemoryMib = 500;
  CHECK(shardWithRoom(Shards, Demand) == 0);
}

TEST_CASE("Restarts of several shards add up, and the smallest one counts") {
  RestartDemand All;
  All.add(RestartDemand{});
  CHECK(All.Millicores == 0);
  RestartDemand One;
  One.add(Resources{.Millicores = 4000, .MemoryMib = 100});
  One.add(Resources{.Millicores = 3000, .MemoryMib = 300});
  All.add(One);
  All.add(RestartDemand{});
  CHECK(All.Millicores == 7000);
  CHECK(All.Smallest == Resources{.Millicores = 3000, .MemoryMib = 100});
}

TEST_CASE("Tasks are counted that fit into the rooms, and never too many") {
  ShardLoad Load;
  CHECK_FALSE(tasksInLargestRooms(Load, 1000).has_value());
  for (int64_t Room : {900, 4000, 5700, 8000, 28000}) {
    addRoomyWorker(Load, {.Millicores = Room, .MemoryMib = 64000});
    Load.LargestRoomMillicores = std::max(Load.LargestRoomMillicores, Room);
  }
  // The first worker takes no task. The last class that 28 cores reach counts
  // 22.6 of them.
  CHECK(tasksInLargestRooms(Load, 4000) == 1 + 1 + 2 + 5);
  CHECK(tasksInLargestRooms(Load, 8000) == 1 + 2);
  // The largest room takes a task, also if it lies between two counts.
  CHECK(tasksInLargestRooms(Load, 27000) == 1);
  CHECK(tasksInLargestRooms(Load, 29000) == 0);
}

TEST_CASE("Short jobs are spread evenly over equally loaded shards") {
  std::vector<ShardCandidate> Shards = equalShards(8);
  std::map<int, int> Counts;
  for (int Number = 0; Number < 800; ++Number)
    ++Counts[chooseShard(Shards, shortJob(Number))];
  for (const auto &[Shard, Count] : Counts)
    CHECK(Count > 60);
  CHECK(Counts.size() == 8);
}

TEST_CASE("A loaded shard gets fewer jobs, an idle shard is not overloaded") {
  std::vector<ShardCandidate> Shards = equalShards(8);
  for (ShardCandidate &Shard : Shards)
    Shard.Load.RemainingWork = 2e6;
  Shards[3].Load.RemainingWork = 8e6;
  Shards[5].Load.RemainingWork = 0;
  std::map<int, int> Counts;
  for (int Number = 0; Number < 800; ++Number)
    ++Counts[chooseShard(Shards, shortJob(Number))];
  CHECK(Counts[3] < 10);
  CHECK(Counts[5] > 100);
  CHECK(Counts[5] < 260);
}

TEST_CASE(
    "Long-running jobs go to shards where such jobs leave the most capacity") {
  std::vector<ShardCandidate> Shards = equalShards(3);
  Shards[0].Load.LongRunningMillicores = 860000;
  Shards[1].Load.LongRunningMillicores = 480000;
  Shards[2].Load.LongRunningMillicores = 480000;
  std::map<int, int> Counts;
  for (int Number = 0; Number < 600; ++Number)
    ++Counts[chooseShard(Shards, {.JobId = "watch-" + std::to_string(Number),
                                  .IsLongRunning = true,
                                  .Amount = 20000})];
  CHECK(Counts[0] < 30);
  CHECK(Counts[1] > 230);
  CHECK(Counts[2] > 230);
}

TEST_CASE(
    "A long-running job moves from a shard where it does not fit to one where "
    "it fits") {
  std::vector<ShardCandidate> Shards = equalShards(3);
  Shards[0].Load.LongRunningMillicores = 900000;
  Shards[1].Load.LongRunningMillicores = 950000;
  Shards[2].Load.LongRunningMillicores = 800000;
  ShardDemand Job{.JobId = "watch", .IsLongRunning = true, .Amount = 40000};
  CHECK(chooseTransferTarget(Shards[0], {Shards[1], Shards[2]}, Job) == 2);
  Shards[2].Load.LongRunningMillicores = 930000;
  CHECK(chooseTransferTarget(Shards[0], {Shards[1], Shards[2]}, Job) == -1);
}

TEST_CASE(
    "A job stays with its data unless the delay there exceeds the cost of "
    "remote data") {
  std::vector<ShardCandidate> Shards = equalShards(2);
  Shards[1].HasData = false;
  Shards[0].Load.RemainingWork = 1e6;
  CHECK(chooseShard(Shards, shortJob(1)) == 0);
  Shards[0].Load.RemainingWork = 9e6;
  CHECK(chooseShard(Shards, shortJob(1)) == 1);
}

TEST_CASE("Waiting jobs move only to a clearly less loaded shard") {
  std::vector<ShardCandidate> Shards = equalShards(3);
  Shards[0].Load.RemainingWork = 1e6;
  Shards[1].Load.RemainingWork = 0.9e6;
  Shards[2].Load.RemainingWork = 0.8e6;
  std::vector<ShardCandidate> Others = {Shards[1], Shards[2]};
  CHECK(chooseTransferTarget(Shards[0], Others, shortJob(1)) == -1);
  Shards[0].Load.RemainingWork = 3e6;
  CHECK(chooseTransferTarget(Shards[0], Others, shortJob(1)) == 2);
  CHECK(chooseTransferTarget(Shards[0], {}, shortJob(1)) == -1);
  // On a shard without workers the job would never start.
  Shards[0].Load = {.CapacityMillicores = 0, .RemainingWork = 1e6};
  CHECK(chooseTransferTarget(Shards[0], Others, shortJob(1)) == 2);
}

// Guards against transfers between shards that have enough room in all, but on
// no worker enough for one task.
TEST_CASE("A long-running job is sent only where a worker has room for its "
          "largest task") {
  ShardDemand Demand{
      .JobId = "watch", .IsLongRunning = true, .LargestTaskMillicores = 4000};
  std::vector<ShardCandidate> Shards = equalShards(3);
  Shards[1].Load.LargestRoomMillicores = 3000;
  Shards[2].Load.LargestRoomMillicores = 4000;
  Shards[2].Load.LongRunningMillicores = 480000;
  ShardCandidate Full{
      .Shard = 0,
      .Load = {.CapacityMillicores = 960000, .LongRunningMillicores = 960000}};
  CHECK(chooseTransferTarget(Full, {Shards[1], Shards[2]}, Demand) == 2);
  CHECK(chooseTransferTarget(Full, {Shards[1]}, Demand) == -1);
  // The owner of the first shard does not report its largest room.
  CHECK(chooseTransferTarget(Full, {Shards[0], Shards[2]}, Demand) == 0);
  std::map<int, int> Counts;
  for (int Number = 0; Number < 600; ++Number) {
    Demand.JobId = "watch-" + std::to_string(Number);
    ++Counts[chooseShard({Shards[1], Shards[2]}, Demand)];
  }
  CHECK(Counts[1] < 10);
}

TEST_CASE("The shard with the largest room is found only if the task fits") {
  std::vector<ShardCandidate> Shards = equalShards(3);
  Shards[1].Load.LargestRoomMillicores = 3000;
  Shards[2].Load.LargestRoomMillicores = 5000;
  ShardDemand Demand{.IsLongRunning = true, .LargestTaskMillicores = 2000};
  CHECK(shardWithRoom(Shards, Demand) == 2);
  Demand.LargestTaskMillicores = 6000;
  CHECK(shardWithRoom(Shards, Demand) == -1);
  // An unknown room is no room here.
  CHECK(shardWithRoom({Shards[0]}, {.LargestTaskMillicores = 0}) == -1);
}

// Guards against short jobs that go to the shard with more waiting short work
// because the other one has more fill work, which reserves no processors.
TEST_CASE("Only work of a job's own kind counts as backlog") {
  ShardLoad Load{.CapacityMillicores = 960000,
                 .RemainingWork = 5e6,
                 .RemainingFillWork = 4.8e6,
                 .FillMillicores = 300000};
  ShardLoad Other{.CapacityMillicores = 960000,
                  .RemainingWork = 2e6,
                  .RemainingFillWork = 1e6,
                  .FillMillicores = 20000};
  ShardDemand Short = shortJob(1);
  CHECK(placementCost(Load, Short) > placementCost(Other, Short));
  Short.CountsOwnKind = true;
  CHECK(placementCost(Load, Short) < placementCost(Other, Short));
  ShardDemand Fill{.JobId = "fill",
                   .Amount = 60000,
                   .FillMillicores = 70000,
                   .FillWork = 60000,
                   .CountsOwnKind = true};
  CHECK(placementCost(Load, Fill) == doctest::Approx(4.86e6 / 300000));
  CHECK(placementCost(Load, Fill) < placementCost(Other, Fill));
  // An owner of an earlier version does not report what fill tasks can use.
  Other.FillMillicores = 0;
  CHECK(placementCost(Other, Fill) < 1);
}

// Guards against jobs of mixed steps that are counted as finite work: their
// long-running tasks keep the room that they take.
TEST_CASE("Long-running steps decide what a job of mixed steps demands") {
  Job Mixed{.Id = "mixed"};
  Mixed.Steps = {JobStep{.Count = 3,
                         .Demand = {.Millicores = 8000},
                         .EstimatedRunTime = std::chrono::seconds(2)},
                 JobStep{.Count = 2,
                         .Demand = {.Millicores = 500},
                         .Predecessors = {0},
                         .LongRunning = true}};
  ShardDemand Demand = demandOf(Mixed);
  CHECK(Demand.IsLongRunning);
  CHECK(Demand.Amount == 1000);
  AdmissionDemand Admission = admissionDemandOf(Mixed, JobQueue{});
  CHECK(Admission.Kind == JobKind::LongRunning);
  CHECK(Admission.Tasks == 2);
  CHECK(Admission.LargestTask.Millicores == 500);
  ShardLoad Load;
  addRemainingWork(Load, JobEntry(Mixed, 1, TimePoint{}),
                   [](const TaskState &) { return true; });
  CHECK(Load.LongRunningMillicores == 1000);
  CHECK(Load.RemainingWork == doctest::Approx(48000));
}
