#include "basilchute/job.h"
#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr Resources SmallWorker{.Millicores = 8000, .MemoryMib = 16000};

/// Returns a job with one task that takes about \p Estimate.
Job finiteJob(const std::string &Id, int64_t Millicores,
              milliseconds Estimate = 700ms) {
  Job Out = chainJob(Id, 1, 1, Estimate);
  Out.Steps[0].Demand = {.Millicores = Millicores, .MemoryMib = 100};
  return Out;
}

JobShardCounts countsOf(JobTestBed &Bed) {
  return Bed.host(Bed.ownerIndex()).Process->counts();
}

bool hasEnded(JobTestBed &Bed, const std::string &Id) {
  Result<JobState> State = Bed.state(0, Id);
  return State.has_value() && State.value() == JobState::Completed;
}

} // namespace

// Guards against small tasks that keep a large one waiting: as soon as one
// ends, the next takes its room. Without the plan, the large one has not
// started after 20 s.
TEST_CASE("a task that needs a worker starts under a stream of small ones") {
  JobTestBed Bed({.Hosts = 1,
                  .Workers = 2,
                  .WorkerCapacity = SmallWorker,
                  .Placement = {.IsPlanned = true},
                  .Seed = 3});
  Bed.run(2s);
  int Number = 0;
  auto Small = [&] {
    for (int Task = 0; Task < 3; ++Task)
      Bed.beginSubmit(0, finiteJob(fmt::format("small-{}", Number++), 2000),
                      [] {});
    Bed.run(200ms);
  };
  for (int Round = 0; Round < 40; ++Round)
    Small();
  REQUIRE(Bed.submit(0, finiteJob("large", 8000)).has_value());
  for (int Round = 0; Round < 30 && !hasEnded(Bed, "large"); ++Round)
    Small();
  CHECK(hasEnded(Bed, "large"));
  JobShardCounts Counts = countsOf(Bed);
  CHECK(Counts.ReservationsMet > Counts.ReservationsMissed);
  CHECK(Counts.RunsPredicted > 50);
  CHECK(Counts.RunsOverLateBound * 5 < Counts.RunsPredicted);
  checkNoViolations(Bed);
}

// Guards against long-running tasks that take the workers that are kept for
// finite ones, and against accepted ones that then do not run.
TEST_CASE("long-running tasks take kept workers last, but run") {
  JobTestBed Bed({.Hosts = 1,
                  .Workers = 10,
                  .WorkerCapacity = SmallWorker,
                  .Placement = {.IsPlanned = true}});
  Bed.run(2s);
  REQUIRE(Bed.submit(0, finiteJob("finite", 1000)).has_value());
  REQUIRE(Bed.runUntil([&] { return hasEnded(Bed, "finite"); }, 20s));
  CHECK(countsOf(Bed).KeptWorkers == 1);
  CHECK(countsOf(Bed).KeptMillicores == 8000);
  REQUIRE(Bed.submit(0, longJob("open", 18)).has_value());
  CHECK(allRunWithin(Bed, 18, 900ms));
  CHECK(countsOf(Bed).KeptMillicores == 8000);
  REQUIRE(Bed.submit(0, longJob("more", 1)).has_value());
  Bed.run(600ms);
  CHECK(workerOf(Bed, taskOf("more")) == -1);
  CHECK(runsWithin(Bed, taskOf("more"), 3s));
  checkNoViolations(Bed);
}

// Guards against violations of the scheduler's rules by planned placement while
// hosts and workers fail.
TEST_CASE("planned placement keeps the rules while hosts and workers fail") {
  for (uint64_t Seed = 1; Seed <= 12; ++Seed) {
    CAPTURE(Seed);
    JobTestBed Bed({.Hosts = 3,
                    .Workers = 8,
                    .MinShards = Seed % 2 ? 1 : 2,
                    .FailPercent = 5,
                    .Placement = {.IsPlanned = true},
                    .Seed = Seed});
    std::mt19937_64 Random(Seed);
    auto Draw = [&](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(Random);
    };
    Bed.run(3s);
    for (int Step = 0; Step < 60; ++Step) {
      std::string Id = fmt::format("job-{}", Step);
      Job Value = Step % 6 == 0 ? longJob(Id, Draw(1, 3), Draw(2, 6) * 1000)
                                : chainJob(Id, Draw(1, 2), Draw(1, 4));
      if (Step % 6 != 0)
        for (JobStep &Part : Value.Steps)
          Part.Demand = {.Millicores = Draw(1, 8) * 1000, .MemoryMib = 100};
      Bed.beginSubmit(Draw(0, 2), Value, [] {});
      if (Step % 12 == 0 && Bed.ownerIndex() >= 0) {
        int Owner = Bed.ownerIndex();
        Bed.killHost(Owner);
        Bed.run(500ms);
        Bed.startHost(Owner);
      }
      if (Step % 17 == 0)
        Bed.crashWorkers({Draw(0, 7)});
      Bed.run(milliseconds(Draw(50, 600)));
    }
    Bed.run(20s);
    checkNoViolations(Bed);
  }
}
