// Tests which lines FeedRecord writes about reads that fail.

#include "libbasilchute/feedrecord.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <vector>

using namespace basilchute;

namespace {

struct Fixture {
  ManualClock Time;
  std::vector<std::string> Lines;
  FeedRecord Record{"t",
                    [this](std::string_view Event, std::string_view Fields) {
                      Lines.push_back(fmt::format("{} {}", Event, Fields));
                    },
                    Time};

  /// A read fails \p Wait after it was sent.
  void fail(milliseconds Wait) {
    TimePoint SentAt = Time.now();
    Time.advance(Wait);
    Record.onFailed(makeError(ResultCode::Unavailable, "no answer"), SentAt);
  }
};

} // namespace

// Guards against a host that serves an old copy of a table for seconds without
// a line that says so.
TEST_CASE_FIXTURE(Fixture, "A read without an answer is logged with the age of "
                           "the copy") {
  Record.onAnswered();
  Time.advance(milliseconds(150));
  fail(milliseconds(2500));
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0] == "feed_failed table=t waited_ms=2500 since_answer_ms=2650 "
                    "result=unavailable message=\"no answer\"");
  CHECK(Record.age() == milliseconds(2650));
  CHECK(Record.failures() == 1);
}

TEST_CASE_FIXTURE(Fixture, "The first answer after failures ends the gap") {
  fail(milliseconds(10));
  fail(milliseconds(2500));
  Record.onAnswered();
  Record.onAnswered();
  REQUIRE(Lines.size() == 3);
  CHECK(Lines[2] == "feed_regained table=t gap_ms=2510 failures=2");
  CHECK(Record.age() == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "Reads that fail in quick succession are logged "
                           "once a second") {
  for (int I = 0; I < 20; ++I)
    fail(milliseconds(100));
  REQUIRE(Lines.size() == 2);
  CHECK(Lines[1].find("lines_left_out=9") != std::string::npos);
  CHECK(Record.failures() == 20);
}
