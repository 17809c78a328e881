// Tests of the refusal of jobs for the load. See also
// libbasilchute/admission_test.cpp.

#include "testing/longjobs.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Room for eight tasks of longJob().
JobTestBedOptions refusing() {
  return {.Workers = 4, .WorkerCapacity = TwoTasks, .RefusesJobs = true};
}

/// Time after which the reports include what was accepted before, and show that
/// no more arrives.
constexpr milliseconds ReportTime{6000};

bool isRefused(const Status &Answer) {
  return !Answer.has_value() && Answer.error().Code == ResultCode::Overloaded;
}

/// Fills all but \p Left of the room.
void fill(JobTestBed &Bed, int Left) {
  Bed.run(5s);
  CHECK(Bed.submit(0, longJob("full", 8 - Left)).has_value());
  REQUIRE(allRunWithin(Bed, static_cast<size_t>(8 - Left), 4s));
  Bed.run(ReportTime);
}

bool doesNotExist(JobTestBed &Bed, const std::string &Id) {
  Result<JobState> State = Bed.state(1, Id);
  return !State.has_value() && State.error().Code == ResultCode::NotFound;
}

} // namespace

// Guards against long-running jobs that are accepted without room for them, and
// against a refusal that is final.
TEST_CASE("A long-running job that is refused never starts, and is accepted "
          "once there is room") {
  JobTestBed Bed(refusing());
  fill(Bed, 1);
  Status Wide = Bed.submit(1, longJob("wide", 2));
  REQUIRE(isRefused(Wide));
  CHECK(Wide.error().RetryAfter >= 1s);
  CHECK(Wide.error().RetryAfter <= 45s);
  CHECK(Bed.submit(2, longJob("narrow", 1)).has_value());
  Bed.run(ReportTime);
  for (int Host = 0; Host < 3; ++Host)
    CHECK(isRefused(Bed.submit(Host, longJob("wide", 2))));
  Bed.run(10s);
  CHECK(doesNotExist(Bed, "wide"));
  CHECK(Bed.Oracle.running() == 8);
  CHECK(Bed.cancel(0, "full").has_value());
  Bed.run(ReportTime + 2s);
  CHECK(Bed.submit(2, longJob("wide", 2)).has_value());
  CHECK(allRunWithin(Bed, 3, 3s));
  checkNoViolations(Bed);
}

// Guards against a caller that is told that a stored job is not stored.
TEST_CASE("A repeated submission of a stored job succeeds in a full fleet") {
  JobTestBed Bed(refusing());
  fill(Bed, 1);
  SUBCASE("the answer reached the caller") {
    CHECK(Bed.submit(0, longJob("last", 1)).has_value());
  }
  SUBCASE("the store's answer was lost") {
    Bed.Store.LostReplyPercent = 100;
    CHECK_FALSE(Bed.submit(0, longJob("last", 1)).has_value());
    Bed.Store.LostReplyPercent = 0;
  }
  Bed.run(ReportTime + 3s);
  CHECK(isRefused(Bed.submit(0, longJob("other", 1))));
  for (int Host = 0; Host < 3; ++Host)
    CHECK(Bed.submit(Host, longJob("last", 1)).has_value());
  CHECK(runsWithin(Bed, taskOf("last"), 3s));
  checkNoViolations(Bed);
}

// Guards against a refused job that starts since the commit of an earlier
// submission, through another host, takes effect later.
TEST_CASE("An earlier submission of a refused job never takes effect") {
  JobTestBed Bed(refusing());
  fill(Bed, 2);
  Bed.Store.DelayedCommitPercent = 100;
  bool IsAccepted = false;
  Bed.beginSubmit(0, longJob("late", 2), [&] { IsAccepted = true; });
  Bed.run(20ms);
  Bed.Store.DelayedCommitPercent = 0;
  // The refusal must reach the store before the delayed commit.
  CHECK(Bed.submit(1, longJob("quick", 2)).has_value());
  Status Answer = Bed.submit(1, longJob("late", 2));
  CHECK(isRefused(Answer));
  Bed.run(12s);
  CHECK_FALSE(IsAccepted);
  CHECK(doesNotExist(Bed, "late"));
  CHECK(workerOf(Bed, taskOf("late")) < 0);
  checkNoViolations(Bed);
}

TEST_CASE("A cancelled job that was refused is not stored later") {
  JobTestBed Bed(refusing());
  fill(Bed, 1);
  CHECK(isRefused(Bed.submit(1, longJob("wide", 2))));
  CHECK_FALSE(Bed.cancel(0, "wide").has_value());
  CHECK(Bed.cancel(0, "full").has_value());
  Bed.run(ReportTime + 2s);
  Status Answer = Bed.submit(2, longJob("wide", 2));
  REQUIRE_FALSE(Answer.has_value());
  CHECK(Answer.error().Code == ResultCode::NotFound);
}

// Guards against answers that are wrong while owners change and answers of the
// store are lost.
TEST_CASE("Refused jobs never start and accepted ones run while owners are "
          "killed") {
  for (uint64_t Seed = 1; Seed <= 4; ++Seed) {
    CAPTURE(Seed);
    JobTestBedOptions Options = refusing();
    Options.Seed = Seed;
    JobTestBed Bed(Options);
    Bed.run(5s);
    Bed.Store.LostReplyPercent = 5;
    std::set<std::string> Accepted;
    std::set<std::string> Refused;
    int Killed = -1;
    for (int Number = 0; Number < 24; ++Number) {
      std::string Id = fmt::format("job-{}", Number);
      int Host = Number % Bed.hosts();
      Status Answer = Bed.submit(Host, longJob(Id, 1));
      if (!Answer.has_value())
        Answer = Bed.submit((Host + 1) % Bed.hosts(), longJob(Id, 1));
      if (Answer.has_value())
        Accepted.insert(Id);
      else if (isRefused(Answer))
        Refused.insert(Id);
      if (Number % 8 == 5) {
        Killed = Bed.ownerIndex();
        Bed.killHost(Killed);
      } else if (Number % 8 == 7 && Killed >= 0) {
        Bed.startHost(Killed);
      }
      Bed.run(400ms);
    }
    Bed.Store.LostReplyPercent = 0;
    CHECK(Accepted.size() >= 8);
    CHECK(Refused.size() >= 4);
    for (size_t Worker = 0; Worker < Accepted.size(); ++Worker)
      Bed.addWorker();
    Bed.run(20s);
    for (const std::string &Id : Accepted)
      CHECK(workerOf(Bed, taskOf(Id)) >= 0);
    for (const std::string &Id : Refused)
      CHECK(doesNotExist(Bed, Id));
    checkNoViolations(Bed);
  }
}

// Guards against jobs that are accepted although the backlog leaves them no
// value, and against refusals after the backlog has drained.
TEST_CASE("Short jobs are refused while the backlog leaves them no value") {
  JobTestBedOptions Options = refusing();
  Options.Workers = 2;
  SUBCASE("refusals are on") {}
  SUBCASE("refusals are off") { Options.RefusesJobs = false; }
  JobTestBed Bed(Options);
  Bed.run(5s);
  for (int Number = 0; Number < 45; ++Number)
    CHECK(
        Bed.submit(Number % 3, chainJob(fmt::format("burst-{}", Number), 1, 16))
            .has_value());
  Bed.run(4s);
  int Refused = 0;
  for (int Number = 0; Number < 8; ++Number) {
    Refused += isRefused(
        Bed.submit(Number % 3, chainJob(fmt::format("late-{}", Number), 1, 1)));
    Bed.run(250ms);
  }
  CHECK((Refused > 0) == Options.RefusesJobs);
  Bed.run(30s);
  CHECK(Bed.submit(0, chainJob("next", 1, 1)).has_value());
  checkNoViolations(Bed);
}

// Guards against an installation that refuses jobs while its store is away.
TEST_CASE("No job is refused while hosts do not hear of the load") {
  JobTestBed Bed(refusing());
  fill(Bed, 0);
  CHECK(isRefused(Bed.submit(1, longJob("a", 1))));
  Bed.Store.IsDown = true;
  Bed.run(8s);
  Status Answer = Bed.submit(1, longJob("a", 1));
  CHECK_FALSE(isRefused(Answer));
  Bed.Store.IsDown = false;
}
