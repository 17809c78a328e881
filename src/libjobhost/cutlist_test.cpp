// Tests of workers that have ended more tasks than they list in one answer.

#include "testing/longjobs.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

bool completes(JobTestBed &Bed, const std::string &Id, milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      Limit);
}

/// Workers that list few completions, and a job whose tasks end while the store
/// is away, so that none of them can be stored.
struct ManyEnds {
  ManyEnds() {
    for (int Worker = 0; Worker < Bed.workers(); ++Worker)
      Bed.worker(Worker).MaxListedCompletions = 5;
    Bed.run(3s);
    REQUIRE(Bed.submit(0, chainJob("a", 1, 48, 1s)).has_value());
    Bed.run(300ms);
    Bed.Store.IsDown = true;
  }

  JobTestBed Bed{{.Workers = 3,
                  .WorkerCapacity = {.Millicores = 16000, .MemoryMib = 64000}}};
};

} // namespace

// Guards against a run that counts as lost because the worker's answer names
// neither the run nor its completion, which comes after those that are listed.
TEST_CASE("Tasks whose completions are not listed yet are not started again "
          "while the store is away") {
  for (milliseconds Outage : {2000ms, 4500ms, 6000ms}) {
    CAPTURE(Outage.count());
    ManyEnds Ends;
    JobTestBed &Bed = Ends.Bed;
    Bed.run(Outage);
    Bed.Store.IsDown = false;
    CHECK(completes(Bed, "a", 20s));
    CHECK(Bed.Oracle.starts() == 48);
    checkNoViolations(Bed);
  }
}

// Guards against the same after a change of owner: the answers to the first
// polls of the new owner do not name all that has ended.
TEST_CASE("Tasks whose completions are not listed yet are not started again by "
          "a new owner") {
  for (milliseconds Kill : {1500ms, 2500ms}) {
    CAPTURE(Kill.count());
    ManyEnds Ends;
    JobTestBed &Bed = Ends.Bed;
    Bed.run(Kill);
    int Owner = Bed.ownerIndex();
    Bed.killHost(Owner);
    Bed.startHost(Owner);
    Bed.Store.IsDown = false;
    CHECK(completes(Bed, "a", 30s));
    CHECK(Bed.Oracle.starts() == 48);
    checkNoViolations(Bed);
  }
}
