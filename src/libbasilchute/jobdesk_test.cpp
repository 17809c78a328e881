#include "basilchute/jobdesk.h"
#include "testing/jobbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

Job validJob() { return chainJob("0123456789abcdef", 2, 2); }

} // namespace

TEST_CASE("A bad job is refused with the field at fault") {
  Job Value = validJob();
  SUBCASE("a step after itself") {
    Value.Steps[1].After = {1};
    CHECK(checkJob(Value).error().Message.find("steps[1]") !=
          std::string::npos);
  }
  SUBCASE("a negative count") {
    Value.Steps[0].Count = -1;
    CHECK_FALSE(checkJob(Value).has_value());
  }
  SUBCASE("a payload of 4001 bytes") {
    Value.Payload.assign(4001, 'x');
    CHECK(checkJob(Value).error().Code == ResultCode::TooLarge);
  }
  SUBCASE("no steps") {
    Value.Steps.clear();
    CHECK_FALSE(checkJob(Value).has_value());
  }
  SUBCASE("a negative amount") {
    Value.Steps[0].Demand.MemoryMib = -5;
    CHECK_FALSE(checkJob(Value).has_value());
  }
}

TEST_CASE("One id is one job, whichever host takes it") {
  JobBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, validJob()).has_value());
  CHECK(Bed.submit(1, validJob()).has_value());
  CHECK(Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(2, validJob().Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      20s));
  CHECK(Bed.Oracle.starts() == 4);
}

TEST_CASE("A refused submission never runs, an accepted one always does") {
  JobBed Bed({.Seed = 5});
  Bed.run(3s);
  Bed.Store.LostPercent = 40;
  Bed.Store.LatePercent = 20;
  std::vector<std::string> Accepted;
  for (int Each = 0; Each < 20; ++Each) {
    Job Value = chainJob("job-" + std::to_string(Each), 1, 1);
    Status Done = Bed.submit(Each % 3, Value);
    if (Done.has_value())
      Accepted.push_back(Value.Id);
    else
      CHECK(Done.error().Code == ResultCode::OutcomeUnknown);
  }
  Bed.Store.LostPercent = 0;
  Bed.Store.LatePercent = 0;
  Bed.run(20s);
  CHECK(Accepted.size() > 5);
  for (const std::string &Id : Accepted)
    CHECK(Bed.state(0, Id).value() == JobState::Completed);
}

TEST_CASE("While the store is away submissions are refused as not accepted") {
  JobBed Bed({});
  Bed.run(3s);
  Bed.Store.Down = true;
  Status Done = Bed.submit(0, validJob());
  CHECK(Done.error().Code == ResultCode::Unavailable);
  Bed.Store.Down = false;
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.state(1, validJob().Id).error().Code == ResultCode::NotFound);
}

TEST_CASE("A job that nobody submitted cannot be cancelled") {
  JobBed Bed({});
  Bed.run(3s);
  CHECK(Bed.cancel(0, "ffffffffffffffff").error().Code == ResultCode::NotFound);
}
