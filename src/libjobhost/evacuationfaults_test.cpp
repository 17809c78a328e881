// Tests of faults while a failure domain is evacuated.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const std::string Zone = "zone-0";

JobTestBedOptions faultOptions(int Hosts = 3) {
  return {.Hosts = Hosts,
          .Workers = 6,
          .FailureDomains = 3,
          .HasEvacuations = true,
          .WorkerCapacity = TwoTasks};
}

/// Keeps more tasks waiting than the workers can run.
void submitBacklog(JobTestBed &Bed, int Host) {
  for (int Number = 0; Number < 20; ++Number)
    CHECK(Bed.submit(Host,
                     chainJob(fmt::format("backlog-{}", Number), 4, 12, 400ms))
              .has_value());
}

int otherHost(const JobTestBed &Bed) {
  return (Bed.ownerIndex() + 1) % Bed.hosts();
}

bool awaitNewOwner(JobTestBed &Bed, int Former) {
  return Bed.runUntil(
      [&] {
        int Owner = Bed.ownerIndex();
        return Owner >= 0 && Owner != Former &&
               Bed.host(Owner).Process->counts().Starts > 0;
      },
      15s);
}

} // namespace

// Guards against an owner that places before it knows the evacuation, or that
// takes the runs there for lost.
TEST_CASE("A new owner keeps to an evacuation and adopts the runs there") {
  for (bool IsPlanned : {false, true}) {
    CAPTURE(IsPlanned);
    JobTestBed Bed(faultOptions());
    Bed.run(3s);
    CHECK(Bed.submit(0, longJob("lasting", 6)).has_value());
    REQUIRE(allRunWithin(Bed, 6, 4s));
    Bed.run(2s);
    int StartsThere = Bed.startsIn(Zone);
    REQUIRE(StartsThere > 0);
    Bed.evacuate(Zone);
    Bed.run(500ms);
    submitBacklog(Bed, otherHost(Bed));
    int Owner = Bed.ownerIndex();
    if (IsPlanned)
      Bed.restartHost(Owner, 800ms, 200ms);
    else
      Bed.killHost(Owner);
    REQUIRE(awaitNewOwner(Bed, Owner));
    int Starts = Bed.Oracle.starts();
    Bed.run(8s);
    CHECK(Bed.Oracle.starts() > Starts);
    CHECK(Bed.startsIn(Zone) == StartsThere);
    for (int Index = 0; Index < 6; ++Index)
      CHECK(workerOf(Bed, taskOf("lasting", Index)) >= 0);
    Bed.endEvacuation(Zone);
    Bed.run(3s);
    CHECK(Bed.startsIn(Zone) > StartsThere);
    checkNoViolations(Bed);
  }
}

// Guards against a process that starts anew without the evacuation.
TEST_CASE("A process that starts during an evacuation keeps to it") {
  JobTestBed Bed(faultOptions(1));
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(500ms);
  submitBacklog(Bed, 0);
  int StartsThere = Bed.startsIn(Zone);
  Bed.killHost(0);
  Bed.run(1s);
  Bed.startHost(0);
  Bed.run(20s);
  CHECK(Bed.Oracle.starts() > 100);
  CHECK(Bed.startsIn(Zone) == StartsThere);
  checkNoViolations(Bed);
}

// Guards against a state that is dropped, or taken for ended, while the store
// does not answer.
TEST_CASE("While the store is unavailable the last known state holds") {
  JobTestBed Bed(faultOptions());
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(500ms);
  submitBacklog(Bed, 0);
  int Starts = Bed.Oracle.starts();
  Bed.Store.IsDown = true;
  Bed.run(4s);
  CHECK(Bed.Oracle.starts() > Starts);
  // The store has confirmed the removal before it was lost to the hosts.
  Bed.endEvacuation(Zone);
  Bed.run(4s);
  CHECK(Bed.startsIn(Zone) == 0);
  Bed.Store.IsDown = false;
  CHECK(Bed.runUntil([&] { return Bed.startsIn(Zone) > 0; }, 8s));
  checkNoViolations(Bed);
}

// Guards against a takeover in which the store's delays let the new owner place
// first.
TEST_CASE("An owner that takes over from a slow store keeps to an evacuation") {
  JobTestBed Bed(faultOptions());
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(500ms);
  submitBacklog(Bed, otherHost(Bed));
  Bed.Store.Delay = 300ms;
  int Owner = Bed.ownerIndex();
  Bed.killHost(Owner);
  REQUIRE(awaitNewOwner(Bed, Owner));
  Bed.run(5s);
  CHECK(Bed.startsIn(Zone) == 0);
  Bed.endEvacuation(Zone);
  CHECK(Bed.runUntil([&] { return Bed.startsIn(Zone) > 0; }, 5s));
  checkNoViolations(Bed);
}

// Guards against starts by a process that was paused while the evacuation
// began: it wakes with answers that lead to starts, and reads the request later
// than these.
TEST_CASE("A host that was paused starts nothing before it knows of an "
          "evacuation") {
  for (milliseconds Pause : {5500ms, 7000ms}) {
    CAPTURE(Pause.count());
    JobTestBedOptions Options = faultOptions(1);
    Options.EvacuationDelay = 400ms;
    JobTestBed Bed(Options);
    Bed.run(3s);
    submitBacklog(Bed, 0);
    REQUIRE(Bed.startsIn(Zone) > 0);
    Bed.pause(0);
    Bed.evacuate(Zone);
    Bed.run(Pause);
    int StartsThere = Bed.startsIn(Zone);
    Bed.resume(0);
    Bed.run(10s);
    CHECK(Bed.startsIn(Zone) == StartsThere);
    CHECK(Bed.LogLines["starts_held"] == 1);
    checkNoViolations(Bed);
  }
}

// Guards against a host that starts nothing any more since the store does not
// tell of evacuations after a pause.
TEST_CASE("After a pause the last known state holds if the store is silent") {
  JobTestBed Bed(faultOptions());
  Bed.run(3s);
  Bed.evacuate(Zone);
  Bed.run(500ms);
  submitBacklog(Bed, 0);
  int Owner = Bed.ownerIndex();
  Bed.pause(Owner);
  Bed.run(1300ms);
  Bed.Store.IsDown = true;
  Bed.resume(Owner);
  int Starts = Bed.Oracle.starts();
  Bed.run(3500ms);
  CHECK(Bed.Oracle.starts() > Starts);
  CHECK(Bed.startsIn(Zone) == 0);
  Bed.Store.IsDown = false;
  Bed.run(3s);
  checkNoViolations(Bed);
}

// Guards against a trial that begins on an evacuated worker, and against a
// suspect that waits for one.
TEST_CASE("Trials begin outside of evacuated domains") {
  JobTestBed Bed(faultOptions());
  Bed.run(3s);
  Bed.Oracle.setDeadly(taskOf("deadly"), 100ms);
  CHECK(Bed.submit(0, longJob("deadly", 1)).has_value());
  REQUIRE(Bed.runUntil([&] { return Bed.Oracle.starts() == 1; }, 2s));
  for (const char *Domain : {"zone-0", "zone-1"})
    Bed.evacuate(Domain);
  Bed.run(100ms);
  int StartsThere = Bed.startsIn("zone-0") + Bed.startsIn("zone-1");
  Bed.run(20s);
  CHECK(Bed.LogLines["trial_begins"] > 0);
  CHECK(Bed.startsIn("zone-0") + Bed.startsIn("zone-1") == StartsThere);
  checkNoViolations(Bed);
}
