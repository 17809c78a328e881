#include "libjobhost/jobhost.h"

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Runs until a host other than \p OldOwner owns a shard, and returns its
/// index.
int awaitNewOwner(JobTestBed &Bed, int OldOwner) {
  REQUIRE(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
      10s));
  return Bed.ownerIndex();
}

} // namespace

// Guards against a wait that on-call cannot see: after a takeover nothing
// showed that ready tasks waited, nor for which worker.
TEST_CASE("A new owner reports the tasks that it holds back for a silent "
          "worker") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 6, 2s)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.worker(0).IsDown = true;
  Bed.killHost(OldOwner);
  int Owner = awaitNewOwner(Bed, OldOwner);
  Bed.run(2500ms);
  JobShardCounts Counts = Bed.host(Owner).Process->counts();
  CHECK(Counts.Takeovers == 1);
  CHECK(Counts.TakeoverSilentWorkers == 1);
  CHECK(Counts.TasksHeldBack >= 1);
  Bed.run(15s);
  CHECK(Bed.host(Owner).Process->counts().TakeoverSilentWorkers == 0);
  CHECK(Bed.host(Owner).Process->counts().TasksHeldBack == 0);
}
