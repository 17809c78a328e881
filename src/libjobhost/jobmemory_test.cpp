// Tests of the memory that a host holds for the jobs of its shards.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr size_t Megabyte = 1000000;

bool completesWithin(JobTestBed &Bed, const std::string &Id,
                     milliseconds Limit) {
  return Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(0, Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      Limit);
}

size_t bytesOfOwner(JobTestBed &Bed) {
  return Bed.host(Bed.ownerIndex()).Process->jobMemory().Bytes;
}

void replaceOwner(JobTestBed &Bed) {
  int Owner = Bed.ownerIndex();
  Bed.killHost(Owner);
  Bed.run(8s);
  Bed.startHost(Owner);
}

Job schedule(const std::string &Id, milliseconds FirstRun) {
  Job Out = chainJob(Id, 1, 1, 100ms);
  Out.Steps[0].Demand.Millicores = 10;
  Out.Repetitions = 86400;
  Out.FirstRun = FirstRun;
  Out.Interval = 1s;
  return Out;
}

} // namespace

// Guards against a dozen short requests that take every owner over its memory,
// one after the other.
TEST_CASE("Schedules of a day take little memory in each owner, and ordinary "
          "jobs run beside them") {
  JobTestBed Bed({.Workers = 4, .MaxJobBytes = 65 * Megabyte});
  Bed.run(3s);
  for (int Number = 0; Number < 12; ++Number)
    REQUIRE(Bed.submit(Number % 3, schedule(fmt::format("schedule-{}", Number),
                                            Bed.wallTime() + 1h))
                .has_value());
  Bed.run(2s);
  CHECK(bytesOfOwner(Bed) < Megabyte);
  CHECK(Bed.submit(0, chainJob("ordinary", 1, 4)).has_value());
  CHECK(completesWithin(Bed, "ordinary", 5s));
  replaceOwner(Bed);
  CHECK(bytesOfOwner(Bed) < Megabyte);
  CHECK(Bed.submit(0, chainJob("after", 1, 4)).has_value());
  CHECK(completesWithin(Bed, "after", 5s));
  checkNoViolations(Bed);
}

// Guards against occurrences that are forgotten, or come early or late, since
// they are queued only when they are due.
TEST_CASE("The occurrences of a schedule start when they are due, also under a "
          "new owner") {
  JobTestBed Bed({.Workers = 4, .MaxJobBytes = 65 * Megabyte});
  Bed.run(3s);
  Job Value = schedule("schedule", Bed.wallTime() + 5s);
  Value.Repetitions = 20;
  REQUIRE(Bed.submit(0, Value).has_value());
  Bed.run(4900ms);
  CHECK(Bed.Oracle.starts() == 0);
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == 5);
  replaceOwner(Bed);
  Bed.run(500ms);
  CHECK(Bed.Oracle.starts() >= 13);
  CHECK(completesWithin(Bed, "schedule", 15s));
  checkNoViolations(Bed);
}

// Guards against wide jobs that take each owner over its memory, and against
// their refusal for ordinary jobs too.
TEST_CASE("Wide jobs are refused before they fill the memory, and ordinary "
          "ones are not") {
  constexpr size_t MaxBytes = 8 * Megabyte;
  JobTestBed Bed({.Workers = 4, .MaxJobBytes = MaxBytes});
  Bed.run(3s);
  int Accepted = 0;
  for (int Number = 0; Number < 100; ++Number) {
    Status Answer = Bed.submit(
        Number % 3, chainJob(fmt::format("wide-{}", Number), 1, 100000, 10s));
    Accepted += Answer.has_value();
    if (Answer.has_value())
      continue;
    CHECK(Answer.error().Code == ResultCode::Overloaded);
    CHECK(Answer.error().RetryAfter >= 1s);
  }
  CHECK(Accepted >= 5);
  CHECK(Accepted < 50);
  Bed.run(3s);
  CHECK(bytesOfOwner(Bed) < MaxBytes);
  CHECK(Bed.submit(0, chainJob("ordinary", 1, 4)).has_value());
  replaceOwner(Bed);
  CHECK(bytesOfOwner(Bed) < MaxBytes);
  checkNoViolations(Bed);
}

// Guards against rows that an earlier version has accepted and that no host can
// hold.
TEST_CASE("A host stays within its memory with more jobs than it accepts") {
  constexpr size_t MaxBytes = 20 * Megabyte;
  JobTestBed Bed({.Workers = 4});
  Bed.run(3s);
  for (int Number = 0; Number < 300; ++Number)
    REQUIRE(Bed.submit(Number % 3,
                       chainJob(fmt::format("wide-{}", Number), 1, 1000, 60s))
                .has_value());
  CHECK(bytesOfOwner(Bed) > MaxBytes);
  Bed.setMaxJobBytes(MaxBytes);
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    Bed.killHost(Host);
    Bed.startHost(Host);
  }
  Bed.run(15s);
  REQUIRE(Bed.ownerIndex() >= 0);
  CHECK(bytesOfOwner(Bed) < MaxBytes);
  checkNoViolations(Bed);
}

// Guards against the memory of jobs that have ended, which an owner kept for
// good, and against their tasks being started again.
TEST_CASE("Jobs that have ended give their memory back") {
  JobTestBed Bed({.Workers = 4});
  Bed.run(3s);
  for (int Number = 0; Number < 60; ++Number) {
    std::string Id = fmt::format("job-{}", Number);
    REQUIRE(Bed.submit(0, chainJob(Id, 1, 100, 20s)).has_value());
    if (Number % 2 == 0)
      REQUIRE(Bed.cancel(1, Id).has_value());
  }
  Bed.run(2s);
  size_t Full = bytesOfOwner(Bed);
  for (int Number = 1; Number < 60; Number += 2)
    REQUIRE(Bed.cancel(1, fmt::format("job-{}", Number)).has_value());
  Bed.run(5s);
  CHECK(bytesOfOwner(Bed) < Full / 20);
  int Starts = Bed.Oracle.starts();
  Bed.Store.dropHistory();
  Bed.run(5s);
  replaceOwner(Bed);
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == Starts);
  CHECK(Bed.state(0, "job-1").value() == JobState::Cancelled);
  CHECK(bytesOfOwner(Bed) < Full / 20);
  checkNoViolations(Bed);
}
