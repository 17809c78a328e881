// Tests of jobs whose workers are away for a while.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr const char *Rack = "rack";
constexpr milliseconds RackDown{4500};

/// Six workers, of which the first two have the label of a rack, and the first
/// one is larger than all others.
struct Racks {
  explicit Racks(JobTestBedOptions Options = {.Workers = 6}) : Bed(Options) {
    Bed.AlterEntry = [](WorkerEntry &Entry) {
      if (Entry.Id == "w0" || Entry.Id == "w1")
        Entry.Labels = {Rack};
    };
    Bed.setCapacity(0, {.Millicores = 32000, .MemoryMib = 32000});
    Bed.run(4s);
  }

  void takeRackDown() {
    for (int Worker : {0, 1})
      loseWorker(Bed, Worker);
  }
  void bringRackBack() {
    for (int Worker : {0, 1}) {
      Bed.worker(Worker).IsDown = false;
      Bed.setWorkerListed(Worker, true);
    }
  }
  bool completes(const std::string &Id, milliseconds Limit) {
    return Bed.runUntil(
        [&] {
          Result<JobState> State = Bed.state(1, Id);
          return State.has_value() && State.value() == JobState::Completed;
        },
        Limit);
  }

  JobTestBed Bed;
};

Job onRack(const std::string &Id, int Tasks) {
  Job Out = chainJob(Id, 1, Tasks);
  Out.Steps[0].RequiredLabel = Rack;
  return Out;
}

} // namespace

// Guards against jobs that are shown as failed while the only workers that can
// run them are down for some seconds.
TEST_CASE("Jobs wait for the workers of a rack that is down for some seconds") {
  for (bool IsOwnerKilled : {false, true}) {
    CAPTURE(IsOwnerKilled);
    Racks Site;
    JobTestBed &Bed = Site.Bed;
    // The second step needs the rack.
    Job Early = chainJob("early", 2, 2, 2500ms);
    Early.Steps[1].RequiredLabel = Rack;
    REQUIRE(Bed.submit(0, Early).has_value());
    Job Lasting = longJob("lasting", 2, 500);
    Lasting.Steps[0].RequiredLabel = Rack;
    REQUIRE(Bed.submit(0, Lasting).has_value());
    Bed.run(1s);
    Site.takeRackDown();
    Bed.run(1s);
    if (IsOwnerKilled) {
      int Owner = Bed.ownerIndex();
      Bed.killHost(Owner);
      Bed.startHost(Owner);
    }
    // Through each host, also one that has never seen the rack.
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      REQUIRE(Bed.submit(Host, onRack(fmt::format("late-{}", Host), 2))
                  .has_value());
    Job Gang = onRack("gang", 2);
    Gang.Steps[0].Gang = true;
    REQUIRE(Bed.submit(1, Gang).has_value());
    Job Large = chainJob("large", 1, 1);
    Large.Steps[0].Demand.Millicores = 20000;
    REQUIRE(Bed.submit(1, Large).has_value());
    Bed.run(RackDown);
    CHECK(Bed.LogLines["job_ended"] == 0);
    Site.bringRackBack();
    for (const char *Id :
         {"early", "late-0", "late-1", "late-2", "gang", "large"}) {
      CAPTURE(Id);
      CHECK(Site.completes(Id, 20s));
    }
    CHECK(runsWithin(Bed, taskOf("lasting", 0), RestartBound));
    CHECK(runsWithin(Bed, taskOf("lasting", 1), RestartBound));
    checkNoViolations(Bed);
  }
}

// Guards against an owner that fails a job because it has never seen the
// workers that can run it: all processes began while these were down.
TEST_CASE("Hosts that start while a rack is down fail and refuse nothing") {
  Racks Site;
  JobTestBed &Bed = Site.Bed;
  REQUIRE(Bed.submit(0, onRack("before", 2)).has_value());
  Site.takeRackDown();
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.killHost(Host);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.startHost(Host);
  Bed.run(10s);
  REQUIRE(Bed.submit(0, onRack("after", 2)).has_value());
  Bed.run(5s);
  Site.bringRackBack();
  CHECK(Site.completes("before", 20s));
  CHECK(Site.completes("after", 20s));
  checkNoViolations(Bed);
}

// Guards against a worker that counts as gone for good as soon as it leaves,
// since the list had not changed for a long time before.
TEST_CASE("A rack that goes down after a long time without changes is not "
          "forgotten") {
  Racks Site;
  JobTestBed &Bed = Site.Bed;
  Bed.run(700s);
  Site.takeRackDown();
  Bed.run(1s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    REQUIRE(
        Bed.submit(Host, onRack(fmt::format("late-{}", Host), 1)).has_value());
  Bed.run(RackDown);
  Site.bringRackBack();
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    CHECK(Site.completes(fmt::format("late-{}", Host), 20s));
  checkNoViolations(Bed);
}

// Guards against jobs that wait for an absent worker and use up the rounds of
// placing, in which each of them has a label of its own.
TEST_CASE("Other jobs start at once beside many that wait for absent workers") {
  Racks Site;
  JobTestBed &Bed = Site.Bed;
  Bed.AlterEntry = [](WorkerEntry &Entry) {
    if (Entry.Id == "w0")
      for (int Label = 0; Label < 200; ++Label)
        Entry.Labels.push_back(fmt::format("label-{}", Label));
  };
  Bed.publishWorkers();
  Bed.run(1s);
  // Fills the worker, so that the jobs wait before it goes.
  REQUIRE(Bed.submit(0, longJob("filler", 1, 32000)).has_value());
  REQUIRE(allRunWithin(Bed, 1, 5s));
  for (int Label = 0; Label < 200; ++Label) {
    Job Value = chainJob(fmt::format("waiting-{}", Label), 1, 1);
    Value.Steps[0].RequiredLabel = fmt::format("label-{}", Label);
    Value.Steps[0].LongRunning = Label % 2 == 0;
    REQUIRE(Bed.submit(Label % 3, Value).has_value());
    Bed.Restarts.onCancelling(Value.Id);
  }
  Bed.Restarts.onCancelling("filler");
  loseWorker(Bed, 0);
  Bed.run(5s);
  for (int Number = 0; Number < 5; ++Number) {
    std::string Id = fmt::format("ordinary-{}", Number);
    REQUIRE(Bed.submit(0, chainJob(Id, 1, 4)).has_value());
    CHECK(Site.completes(Id, 2s));
  }
  checkNoViolations(Bed);
}

// Guards against a wait whose reason nobody can see.
TEST_CASE("The log tells that a long-running task waits for a worker") {
  Racks Site;
  JobTestBed &Bed = Site.Bed;
  Job Lasting = longJob("lasting", 1, 500);
  Lasting.Steps[0].RequiredLabel = Rack;
  REQUIRE(Bed.submit(0, Lasting).has_value());
  REQUIRE(allRunWithin(Bed, 1, 5s));
  // Runs that are seen to last are not under suspicion after the loss.
  Bed.run(8s);
  Bed.Restarts.onCancelling("lasting");
  std::string Reasons;
  Bed.OnLogLine = [&](std::string_view Event, std::string_view Fields) {
    if (Event == "long_task_waits" || Event == "worker_missing")
      Reasons += fmt::format("{} {}\n", Event, Fields);
  };
  Site.takeRackDown();
  REQUIRE(Bed.submit(0, onRack("finite", 1)).has_value());
  Bed.run(8s);
  CAPTURE(Reasons);
  CHECK(Reasons.find("why=no_worker") != std::string::npos);
  CHECK(Reasons.find("worker_missing") != std::string::npos);
  CHECK(Reasons.find("label=\"rack\"") != std::string::npos);
}
