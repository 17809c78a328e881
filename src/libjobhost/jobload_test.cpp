// Job hosts under load: many workers, hosts of bounded processor, and more work
// than there is room for.

#include "testing/jobload.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

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
  JobBed Bed({.Workers = 100,
              .WorkerCapacity = {.Millicores = 32000, .MemoryMib = 64000},
              .Way = 40ms});
  Bed.run(4s);
  CHECK(Bed.submit(0, chainJob("a", 1, 3000, 4s)).has_value());
  Bed.run(1500ms);
  CHECK(Bed.Oracle.starts() == 3000);
}
