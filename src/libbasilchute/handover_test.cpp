#include "libbasilchute/handover.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <limits>

using namespace basilchute;

namespace {

HandoverRecord recordOf(int Workers, int Jobs, int TasksPerJob) {
  HandoverRecord Out;
  for (int Worker = 0; Worker < Workers; ++Worker) {
    HandoverRecord::Runs &Runs = Out.Workers[fmt::format("worker-{}", Worker)];
    Runs.Remaining = milliseconds(1000 + Worker);
    Runs.Incarnation = milliseconds(1700000000000 + Worker);
    for (int Job = 0; Job < Jobs; ++Job)
      for (int Index = 0; Index < TasksPerJob; ++Index)
        Runs.Tasks.insert({.Job = fmt::format("{:016x}", Worker * Jobs + Job),
                           .Occurrence = 2,
                           .Step = 1,
                           .Index = Index});
    Runs.Unseen.insert(*Runs.Tasks.rbegin());
    Runs.Young[*Runs.Tasks.begin()] = milliseconds(700 + Worker);
  }
  return Out;
}

void checkSame(const HandoverRecord &Read, const HandoverRecord &Written) {
  REQUIRE(Read.Workers.size() == Written.Workers.size());
  for (const auto &[Worker, Runs] : Written.Workers) {
    CHECK(Read.Workers.at(Worker).Tasks == Runs.Tasks);
    CHECK(Read.Workers.at(Worker).Remaining == Runs.Remaining);
    CHECK(Read.Workers.at(Worker).Unseen == Runs.Unseen);
    CHECK(Read.Workers.at(Worker).Young == Runs.Young);
    CHECK(Read.Workers.at(Worker).Incarnation == Runs.Incarnation);
  }
  CHECK(Read.UnknownRemaining == Written.UnknownRemaining);
  CHECK(Read.UnknownVersion == Written.UnknownVersion);
  CHECK(Read.ResolvedWorkers == Written.ResolvedWorkers);
  CHECK(Read.SilentWorkers == Written.SilentWorkers);
}

} // namespace

TEST_CASE("A handover record is read as it was written") {
  HandoverRecord Record = recordOf(3, 2, 4);
  Record.UnknownRemaining = milliseconds(4500);
  Record.UnknownVersion = 17;
  Record.ResolvedWorkers = {"worker-0", "worker-1"};
  Record.SilentWorkers = {"worker-9"};
  std::vector<std::string> Rows = encodeHandover(Record);
  REQUIRE(Rows.size() == 1);
  Result<HandoverRecord> Read = decodeHandover(Rows);
  REQUIRE(Read.has_value());
  checkSame(Read.value(), Record);
}

// Guards against a record that is mistaken for none: without any run it still
// says that there are none.
TEST_CASE("An empty handover record has a row") {
  std::vector<std::string> Rows = encodeHandover({});
  REQUIRE(Rows.size() == 1);
  CHECK_FALSE(Rows[0].empty());
  CHECK(decodeHandover(Rows).has_value());
}

TEST_CASE("A long handover record is divided into rows within the limits") {
  for (const HandoverRecord &Record :
       {recordOf(200, 40, 1), recordOf(1, 2, 9000), recordOf(1, 9000, 1)}) {
    std::vector<std::string> Rows = encodeHandover(Record);
    REQUIRE(Rows.size() > 1);
    size_t Bytes = 0;
    for (const std::string &Row : Rows) {
      CHECK(Row.size() <= MaxRowBytes);
      Bytes += Row.size();
    }
    CHECK(Bytes <= MaxCommitBytes);
    Result<HandoverRecord> Read = decodeHandover(Rows);
    REQUIRE(Read.has_value());
    checkSame(Read.value(), Record);
  }
}

// Guards against a record that names only a part of the runs.
TEST_CASE("An incomplete handover record is refused") {
  std::vector<std::string> Rows = encodeHandover(recordOf(200, 40, 1));
  Rows.pop_back();
  CHECK_FALSE(decodeHandover(Rows).has_value());
  CHECK_FALSE(decodeHandover({"not a record"}).has_value());
}

// Guards against an overflow, and against a wait without an end.
TEST_CASE("A handover record with an impossible time is refused") {
  for (int64_t Time : {int64_t(-1), std::numeric_limits<int64_t>::max()}) {
    HandoverRecord Record = recordOf(1, 1, 1);
    Record.UnknownRemaining = milliseconds(Time);
    CHECK_FALSE(decodeHandover(encodeHandover(Record)).has_value());
    Record = recordOf(1, 1, 1);
    Record.Workers.begin()->second.Remaining = milliseconds(Time);
    CHECK_FALSE(decodeHandover(encodeHandover(Record)).has_value());
  }
}

// Ids come from callers and workers and need not be text.
TEST_CASE("A handover record keeps ids that are not valid UTF-8") {
  HandoverRecord Record;
  Record.Workers["w\xff"].Tasks.insert({.Job = "j\xfe"});
  Record.UnknownRemaining = milliseconds(1);
  Record.ResolvedWorkers = {"w\xfd"};
  Result<HandoverRecord> Read = decodeHandover(encodeHandover(Record));
  REQUIRE(Read.has_value());
  checkSame(Read.value(), Record);
}

TEST_CASE("A handover record that does not fit into a commit has no rows") {
  CHECK(encodeHandover(recordOf(400, 400, 1)).empty());
}
