// Tests of gangs that are wider than a shard.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Returns a job of one gang whose members each take a worker.
Job gangOf(const std::string &Id, int Members) {
  Job Out = chainJob(Id, 1, Members, 500ms);
  Out.Steps[0].Gang = true;
  Out.Steps[0].Demand.Millicores = 8000;
  return Out;
}

bool completes(JobTestBed &Bed, const std::string &Id, milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      Limit);
}

} // namespace

// Guards against a gang that is accepted and never starts, because its members
// fit only on the workers of several shards.
TEST_CASE(
    "A gang that fits the fleet but no shard is refused, with the reason") {
  JobTestBed Bed({.Workers = 8, .MinShards = 2});
  Bed.run(5s);
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    std::string Id = fmt::format("wide-{}", Host);
    Status Answer = Bed.submit(Host, gangOf(Id, 6));
    REQUIRE_FALSE(Answer.has_value());
    CHECK(Answer.error().Code == ResultCode::NeverFits);
    CHECK(Answer.error().Message.find("steps[0]") != std::string::npos);
    Result<JobState> State = Bed.state(Host, Id);
    CHECK((!State.has_value() && State.error().Code == ResultCode::NotFound));
  }
  Bed.run(10s);
  CHECK(Bed.Oracle.starts() == 0);
  checkNoViolations(Bed);
}

// Guards against a second gang of a job that nobody looks at.
TEST_CASE("A job is refused for a later step whose gang fits no shard") {
  JobTestBed Bed({.Workers = 8, .MinShards = 2});
  Bed.run(5s);
  Job Value = chainJob("late", 2, 6, 500ms);
  Value.Steps[1].Gang = true;
  Value.Steps[1].Demand.Millicores = 8000;
  Status Answer = Bed.submit(0, Value);
  REQUIRE_FALSE(Answer.has_value());
  CHECK(Answer.error().Message.find("steps[1]") != std::string::npos);
  // Tasks that need not start together run wherever there is room.
  Value.Id = "apart";
  Value.Steps[1].Gang = false;
  CHECK(Bed.submit(0, Value).has_value());
  CHECK(completes(Bed, "apart", 20s));
  checkNoViolations(Bed);
}

// Guards against gangs on a shard that never holds them while another does.
TEST_CASE("A gang that fits only the larger one of two shards runs there") {
  JobTestBed Bed({.Workers = 9, .MinShards = 2});
  Bed.run(5s);
  for (int Number = 0; Number < 8; ++Number) {
    std::string Id = fmt::format("large-{}", Number);
    CHECK(Bed.submit(Number % Bed.hosts(), gangOf(Id, 5)).has_value());
  }
  for (int Number = 0; Number < 8; ++Number)
    CHECK(completes(Bed, fmt::format("large-{}", Number), 20s));
  checkNoViolations(Bed);
}

// Guards against the refusal of a gang whose earlier copy was accepted: it
// runs as soon as there are workers for it.
TEST_CASE(
    "A gang that was accepted is not refused when it is handed in again") {
  JobTestBed Bed({.Workers = 8, .MinShards = 2});
  Bed.run(5s);
  CHECK(Bed.submit(0, gangOf("again", 4)).has_value());
  CHECK(completes(Bed, "again", 10s));
  for (int Worker = 0; Worker < 3; ++Worker)
    Bed.loseWorker(Worker, 1s);
  // Longer than hosts remember workers that have left.
  Bed.run(14s);
  CHECK(Bed.submit(1, gangOf("again", 4)).has_value());
  CHECK_FALSE(Bed.submit(1, gangOf("other", 4)).has_value());
  checkNoViolations(Bed);
}

// Guards against a refusal that is due to workers that are away for a moment,
// or that have shrunk.
TEST_CASE("A gang is accepted while workers that it needs are away shortly") {
  JobTestBed Bed({.Workers = 8, .MinShards = 2});
  Bed.run(5s);
  SUBCASE("shrunk") {
    for (int Worker = 0; Worker < 8; ++Worker)
      Bed.setCapacity(Worker, {.Millicores = 4000, .MemoryMib = 16000});
  }
  SUBCASE("not listed") {
    for (int Worker = 0; Worker < 4; ++Worker)
      Bed.setWorkerListed(Worker, false);
  }
  Bed.run(2s);
  CHECK(Bed.submit(0, gangOf("short", 4)).has_value());
  for (int Worker = 0; Worker < 8; ++Worker) {
    Bed.setCapacity(Worker, {.Millicores = 8000, .MemoryMib = 16000});
    Bed.setWorkerListed(Worker, true);
  }
  CHECK(completes(Bed, "short", 20s));
  checkNoViolations(Bed);
}

// Guards against a gang that waits while its shard is full, and has fewer
// workers after more shards were made.
TEST_CASE("A gang that was accepted runs after the shards have become more") {
  JobTestBed Bed({.Workers = 6});
  Bed.run(5s);
  REQUIRE(Bed.submit(0, chainJob("blocker", 1, 48, 12s)).has_value());
  Bed.run(500ms);
  REQUIRE(Bed.submit(0, gangOf("waits", 6)).has_value());
  for (int Worker = 6; Worker < 250; ++Worker)
    Bed.addWorker();
  Bed.run(8s);
  REQUIRE(Bed.host(0).Process->shards() == 2);
  CHECK(completes(Bed, "waits", 20s));
  checkNoViolations(Bed);
}

// Guards against a gang that stays in a shard that has lost a worker which the
// gang needs, because it has waited too long to be moved.
TEST_CASE(
    "A gang that has waited long moves to the shard that still holds it") {
  JobTestBed Bed({.Workers = 10, .MinShards = 2});
  Bed.run(5s);
  // Fill all workers.
  for (int Number = 0; Number < 4; ++Number)
    REQUIRE(
        Bed.submit(0, chainJob(fmt::format("blocker-{}", Number), 1, 20, 14s))
            .has_value());
  Bed.run(1s);
  REQUIRE(Bed.submit(0, gangOf("waits", 5)).has_value());
  Bed.run(9s);
  REQUIRE(holdsJob(Bed, 0, "waits") != holdsJob(Bed, 1, "waits"));
  int Shard = holdsJob(Bed, 0, "waits") ? 0 : 1;
  int Worker = 0;
  while (Bed.host(0).Process->shardOf(Bed.worker(Worker).Entry.Id) != Shard)
    ++Worker;
  Bed.loseWorker(Worker, 1s);
  CHECK(completes(Bed, "waits", 40s));
  CHECK(holdsJob(Bed, 1 - Shard, "waits"));
  checkNoViolations(Bed);
}
