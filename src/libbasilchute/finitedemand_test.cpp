#include "libbasilchute/finitedemand.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

// Guards against a demand that is measured too low under a steady load, or that
// stays after the load has ended.
TEST_CASE("finite demand follows the work that becomes ready per second") {
  FiniteDemand Demand;
  TimePoint Now{1h};
  CHECK(Demand.isInUse("s", Now));
  for (int Task = 0; Task < 400; ++Task, Now += 100ms)
    Demand.addReady("s", 2800, Now);
  CHECK(Demand.millicores("s", Now) == doctest::Approx(28000).epsilon(0.05));
  CHECK(Demand.millicores("other", Now) == 0);
  CHECK(Demand.millicores(Now) == Demand.millicores("s", Now));
  CHECK(Demand.millicores("s", Now + 30s) < 2000);
  CHECK(Demand.isInUse("s", Now + 59s));
  CHECK_FALSE(Demand.isInUse("s", Now + 61s));
}

// Guards against room that is kept in a shard with long-running jobs only.
TEST_CASE("a service whose jobs all run on has no finite demand") {
  FiniteDemand Demand;
  Demand.addJob("s");
  CHECK_FALSE(Demand.isInUse("s", TimePoint{1h}));
}
