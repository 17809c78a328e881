// Tests of job hosts under load: many workers, hosts with limited processor
// time, and more work than the workers have capacity for.

#include "testing/jobload.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Returns the workers of \p Shard, by their index in \p Bed.
std::vector<int> workersOf(JobTestBed &Bed, int Shard) {
  std::vector<int> Out;
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id) == Shard)
      Out.push_back(Worker);
  return Out;
}

bool isCompleted(JobTestBed &Bed, const std::string &Id) {
  Result<JobState> State = Bed.state(0, Id);
  return State.has_value() && State.value() == JobState::Completed;
}

} // namespace

// Guards against a bottleneck on a large fleet: one host sent all orders while
// the others were idle, and jobs with many tasks were not served in time
// although cores were idle.
// The load is 1000 starts per second on 480 workers, with a quarter of a core
// for each host.
TEST_CASE("All hosts share the work for a large fleet") {
  JobTestBed Bed({.Hosts = 8,
                  .Workers = 480,
                  .WorkerCapacity = {.Millicores = 16000, .MemoryMib = 64000},
                  .ProcessorTimePerOrder = 800us});
  JobLoad Load(Bed, {.JobInterval = 40ms, .Steps = 2, .TaskDuration = 1700ms});
  Bed.run(4s);
  Load.submitFor(6s);
  Load.settle(12s);
  CHECK(Load.submitted() >= 140);
  CHECK(Load.onTimeFraction() >= 0.95);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

// Guards against shards by the number of workers alone: on a fleet without
// large hosts one small host owned all workers and started a quarter of what
// was asked, while cores and the other hosts were idle. The load is 320 starts
// per second on 120 workers, with 18 hosts of 0.069 of a core. An order or
// reply takes 0.2 ms of a whole core.
TEST_CASE("A fleet of small hosts alone serves its share") {
  JobTestBed Bed({.Hosts = 18,
                  .Workers = 120,
                  .HostWeight = 7,
                  .WorkersPerWeight = 3,
                  .WorkerCapacity = {.Millicores = 32000, .MemoryMib = 128000},
                  .ProcessorTimePerOrder = 3ms});
  JobLoad Load(Bed, {.JobInterval = 50ms,
                     .TasksPerStep = {2, 4, 6, 8, 20},
                     .Steps = 2,
                     .TaskDuration = 1700ms});
  Bed.run(6s);
  int MostShards = 0;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    MostShards = std::max(MostShards, Bed.host(Host).Process->ownedShards());
  CHECK(MostShards == 1);
  Load.submitFor(8s);
  Load.settle(12s);
  CHECK(Load.onTimeFraction() >= 0.95);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

// Guards against a layout by the workers that happen to be listed first: the
// workers of a starting fleet register over several seconds, and the first ones
// fixed the number of shards for all.
TEST_CASE("The number of shards waits for the workers of a starting fleet") {
  JobTestBed Bed(
      {.Hosts = 18, .Workers = 120, .HostWeight = 7, .WorkersPerWeight = 3});
  for (int Worker = 10; Worker < Bed.workers(); ++Worker)
    Bed.setWorkerListed(Worker, false);
  Bed.run(1500ms);
  for (int Worker = 10; Worker < Bed.workers(); ++Worker) {
    Bed.run(Worker < 20 ? 150ms : 20ms);
    Bed.setWorkerListed(Worker, true);
  }
  Bed.run(3s);
  CHECK(Bed.host(0).Process->shards() >= 6);
  for (int Shard = 0; Shard < Bed.host(0).Process->shards(); ++Shard)
    CHECK(workersOf(Bed, Shard).size() <= 21);
}

// Guards against starvation under overload: jobs with many tasks were ranked
// behind small jobs until their results were of no use. The requirement is
// equal shares: the largest tenth of the jobs, and the fifth below, must be
// served at least half as often as all jobs.
TEST_CASE("Under overload large jobs are not starved by small ones") {
  JobTestBed Bed({.Workers = 10,
                  .WorkerCapacity = {.Millicores = 8000, .MemoryMib = 64000}});
  // Twice the work that 80 cores can do.
  JobLoad Load(Bed, {.JobInterval = 110ms,
                     .TasksPerStep = {2, 3, 4, 6, 8, 10, 12, 16, 24, 40},
                     .Steps = 2,
                     .TaskDuration = 700ms});
  Bed.run(3s);
  Load.submitFor(40s);
  Load.settle(20s);
  double All = Load.servedFraction();
  CHECK(All > 0.2);
  CHECK(All < 0.9);
  CHECK(Load.servedFraction(0.9, 1.0) >= All / 2);
  CHECK(Load.servedFraction(0.7, 0.9) >= All / 2);
}

// Guards against a limit that is independent of the size of the fleet: with at
// most 64 orders in flight to all workers together, the number of starts per
// second decreased as the latency of an order grew, and jobs with many tasks
// were not served in time while cores were idle.
TEST_CASE("Start orders in flight are not limited if the host is fast") {
  JobTestBed Bed({.Workers = 60,
                  .WorkerCapacity = {.Millicores = 64000, .MemoryMib = 64000},
                  .NetworkDelay = 40ms});
  Bed.run(6s);
  CHECK(Bed.submit(0, chainJob("a", 1, 3000, 4s)).has_value());
  Bed.run(1500ms);
  CHECK(Bed.Oracle.starts() == 3000);
}

TEST_CASE("The number of shards follows the size of the fleet, and workers are "
          "spread evenly over the shards") {
  JobTestBed Bed({.Hosts = 4, .Workers = 400});
  Bed.run(6s);
  CHECK(Bed.host(0).Process->shards() == 3);
  for (int Shard = 0; Shard < 3; ++Shard) {
    auto Count = static_cast<int>(workersOf(Bed, Shard).size());
    CHECK(Count >= 130);
    CHECK(Count <= 137);
  }
}

TEST_CASE("Jobs move away from a shard that has lost its workers") {
  JobTestBed Bed({.Workers = 6, .MinShards = 2});
  Bed.run(6s);
  for (int Number = 0; Number < 12; ++Number)
    CHECK(Bed.submit(Number % 3,
                     chainJob("busy-" + std::to_string(Number), 1, 8, 3s))
              .has_value());
  // The jobs exceed the capacity, so that some have not started when the
  // workers are removed.
  for (int Worker : workersOf(Bed, 1)) {
    Bed.worker(Worker).IsDown = true;
    Bed.worker(Worker).crash();
    Bed.setWorkerListed(Worker, false);
  }
  for (int Number = 0; Number < 12; ++Number)
    Bed.runUntil(
        [&] { return isCompleted(Bed, "busy-" + std::to_string(Number)); },
        30s);
  int Completed = 0;
  for (int Number = 0; Number < 12; ++Number)
    Completed += isCompleted(Bed, "busy-" + std::to_string(Number));
  CHECK(Completed == 12);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}
