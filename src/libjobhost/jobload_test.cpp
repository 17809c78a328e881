// Job hosts under load: many workers, hosts of bounded processor, and more work
// than there is room for.

#include "testing/jobload.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Workers of the shard, by the bed's numbers.
std::vector<int> workersOf(JobBed &Bed, int Shard) {
  std::vector<int> Out;
  for (int Each = 0; Each < Bed.workers(); ++Each)
    if (Bed.host(0).Core->shardOf(Bed.worker(Each).Entry.Id) == Shard)
      Out.push_back(Each);
  return Out;
}

bool isCompleted(JobBed &Bed, const std::string &Id) {
  Result<JobState> State = Bed.state(0, Id);
  return State.has_value() && State.value() == JobState::Completed;
}

} // namespace

// Guards against SHORT on a large fleet: one host gave all orders while the
// others stood by, and wide jobs waited beside idle cores. 1000 starts a
// second on 480 workers, by hosts of a quarter of a core.
TEST_CASE("Work of a large fleet is carried by all hosts") {
  JobBed Bed({.Hosts = 8,
              .Workers = 480,
              .WorkerCapacity = {.Millicores = 16000, .MemoryMib = 64000},
              .OrderCost = 800us});
  JobLoad Load(Bed, {.JobsEvery = 40ms, .Steps = 2, .Task = 1700ms});
  Bed.run(4s);
  Load.submitFor(6s);
  Load.settle(12s);
  CHECK(Load.submitted() >= 140);
  CHECK(Load.inTimeShare() >= 0.95);
  for (const std::string &Each : Bed.Oracle.violations())
    FAIL_CHECK(Each);
}

// Guards against SHORT in a shortage: jobs of many tasks were put behind small
// ones until they were worth nothing. Equal shares are asked for: the largest
// tenth of the jobs, and the fifth below it, are served at least half as often
// as all.
TEST_CASE("A shortage does not choose its victims by size") {
  JobBed Bed({.Workers = 10,
              .WorkerCapacity = {.Millicores = 8000, .MemoryMib = 64000}});
  // Twice what 80 cores can do.
  JobLoad Load(Bed, {.JobsEvery = 110ms,
                     .Widths = {2, 3, 4, 6, 8, 10, 12, 16, 24, 40},
                     .Steps = 2,
                     .Task = 700ms});
  Bed.run(3s);
  Load.submitFor(40s);
  Load.settle(20s);
  double All = Load.servedShare();
  CHECK(All > 0.2);
  CHECK(All < 0.9);
  CHECK(Load.servedShare(0.9, 1.0) >= All / 2);
  CHECK(Load.servedShare(0.7, 0.9) >= All / 2);
}

// Guards against SHORT by a limit that does not know the fleet: with 64 orders
// under way for all workers, starts a second fell with the time of an order.
TEST_CASE("Starts under way are not limited where the host is fast") {
  JobBed Bed({.Workers = 60,
              .WorkerCapacity = {.Millicores = 64000, .MemoryMib = 64000},
              .Way = 40ms});
  Bed.run(6s);
  CHECK(Bed.submit(0, chainJob("a", 1, 3000, 4s)).has_value());
  Bed.run(1500ms);
  CHECK(Bed.Oracle.starts() == 3000);
}

TEST_CASE("The number of shards follows the fleet, and workers are spread over "
          "them") {
  JobBed Bed({.Hosts = 4, .Workers = 400});
  Bed.run(6s);
  CHECK(Bed.host(0).Core->shards() == 3);
  for (int Shard = 0; Shard < 3; ++Shard) {
    auto Count = static_cast<int>(workersOf(Bed, Shard).size());
    CHECK(Count >= 130);
    CHECK(Count <= 137);
  }
}

TEST_CASE("Jobs leave a shard whose workers are gone") {
  JobBed Bed({.Workers = 6, .Shards = 2});
  Bed.run(6s);
  for (int Each = 0; Each < 12; ++Each)
    CHECK(
        Bed.submit(Each % 3, chainJob("busy-" + std::to_string(Each), 1, 8, 3s))
            .has_value());
  // More than the room, so that some have not begun when the workers go.
  for (int Each : workersOf(Bed, 1)) {
    Bed.worker(Each).Down = true;
    Bed.worker(Each).crash();
    Bed.list(Each, false);
  }
  for (int Each = 0; Each < 12; ++Each)
    Bed.runUntil(
        [&] { return isCompleted(Bed, "busy-" + std::to_string(Each)); }, 30s);
  int Completed = 0;
  for (int Each = 0; Each < 12; ++Each)
    Completed += isCompleted(Bed, "busy-" + std::to_string(Each));
  CHECK(Completed == 12);
  for (const std::string &Each : Bed.Oracle.violations())
    FAIL_CHECK(Each);
}
