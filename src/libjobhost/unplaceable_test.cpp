// Tests of work that waits behind tasks which no worker may take.

#include "testing/longjobs.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Longest time to the first start of work that fits, on idle workers.
constexpr milliseconds StartBound{1000};

/// \p Jobs jobs with a task on each worker and a limit of one task per worker,
/// of which one worker was lost. So each job has a task that cannot run.
struct BlockedJobs {
  explicit BlockedJobs(int Jobs, int Workers) {
    Bed = std::make_unique<JobTestBed>(JobTestBedOptions{
        .Hosts = 2,
        .Workers = Workers,
        .WorkerCapacity = {.Millicores = 64000, .MemoryMib = 2000000},
        .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr});
    Bed->run(3s);
    for (int Number = 0; Number < Jobs; ++Number) {
      Job Value = longJob("limited-" + std::to_string(Number), Workers, 50);
      Value.Steps[0].MaxPerWorker = 1;
      REQUIRE(Bed->submit(0, Value).has_value());
      // The check knows room, but no limits per worker.
      Bed->Restarts.onCancelling(Value.Id);
    }
    REQUIRE(allRunWithin(*Bed, static_cast<size_t>(Jobs * Workers), 30s));
    // Runs that are seen to last are not under suspicion after the loss.
    Bed->run(8s);
    loseWorker(*Bed, 0);
    Bed->run(10s);
    REQUIRE(Bed->Oracle.running() == static_cast<size_t>(Jobs * (Workers - 1)));
  }

  std::unique_ptr<JobTestBed> Bed;
};

} // namespace

// Guards against a round of placing that ends at tasks which no worker may
// take, and which come first in each round. Pattern: a worker is lost while
// many long-running jobs ask for a worker for each of their tasks.
TEST_CASE("Short tasks start behind many restarts that no worker may take") {
  for (int Jobs : {39, 45, 500}) {
    CAPTURE(Jobs);
    BlockedJobs Blocked(Jobs, 4);
    JobTestBed &Bed = *Blocked.Bed;
    size_t Running = Bed.Oracle.running();
    REQUIRE(Bed.submit(0, chainJob("short", 1, 2, 10s)).has_value());
    CHECK(allRunWithin(Bed, Running + 2, StartBound));
    checkNoViolations(Bed);
  }
}

// Guards against the same for a task that could take the place of a lost one.
TEST_CASE("Restarts that a worker may take start behind many that none may "
          "take") {
  BlockedJobs Blocked(120, 4);
  JobTestBed &Bed = *Blocked.Bed;
  size_t Running = Bed.Oracle.running();
  Bed.addWorker();
  // The worker must be assigned to the shard and polled first.
  CHECK(allRunWithin(Bed, Running + 120, 3s + StartBound));
  checkNoViolations(Bed);
}
