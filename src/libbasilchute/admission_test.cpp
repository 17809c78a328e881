#include "basilchute/admission.h"
#include "libbasilchute/admissionload.h"
#include "libbasilchute/jobrows.h"
#include "libbasilchute/workrates.h"

#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr size_t Hosts = 36;
const std::vector<int> BothShards{0, 1};

TimePoint at(milliseconds Time) { return TimePoint{} + 100s + Time; }

/// Load of a shard of 160 workers with 32 cores, of which \p OpenTasks have
/// room for one task of 6.4 cores and no other has any.
ShardLoad fullShard(size_t OpenTasks) {
  ShardLoad Out{.CapacityMillicores = 160 * 32000, .HasAdmissionLoad = true};
  for (size_t Worker = 0; Worker < 160; ++Worker) {
    int64_t Room = Worker < OpenTasks ? 6400 : 0;
    addOpenWorker(Out, {.Millicores = Room, .MemoryMib = 64000},
                  {.Millicores = Room});
  }
  return Out;
}

/// Load of a shard where \p Waiting core-seconds wait and \p Finished are
/// finished per second.
ShardLoad backlog(double Waiting, double Finished) {
  ShardLoad Out{.CapacityMillicores = 160 * 32000, .HasAdmissionLoad = true};
  Out.WaitingWorkByPriority[0] = Waiting * 1000;
  Out.FinishedWorkPerSecond = Finished * 1000;
  return Out;
}

AdmissionDemand longJob(const std::string &Id, size_t Tasks = 14) {
  return {.JobId = Id,
          .Queue = "contest",
          .Kind = JobKind::LongRunning,
          .LargestTask = {.Millicores = 6400, .MemoryMib = 4000},
          .Tasks = Tasks};
}

/// A job that has no value after 6 s.
AdmissionDemand shortJob(const std::string &Id, int Priority = 0) {
  return {.JobId = Id,
          .Queue = "match",
          .Priority = Priority,
          .Work = 1000,
          .Chain = 1000ms,
          .Objective = 2000ms};
}

/// Two shards with the same reports twice in a row.
class Reports {
public:
  void add(const ShardLoad &First, const ShardLoad &Second,
           milliseconds Time = 0ms, uint64_t Epoch = 1) {
    ++m_number;
    Decision.setReport(0, Epoch, m_number, First, at(Time));
    Decision.setReport(1, Epoch, m_number, Second, at(Time));
  }
  bool accepts(const AdmissionDemand &Demand, milliseconds Time = 0ms) {
    return !Decision.check(Demand, BothShards, Hosts, at(Time));
  }
  /// Returns the number of the \p Jobs that are accepted one after another.
  size_t acceptedOf(size_t Jobs, milliseconds Time) {
    size_t Out = 0;
    for (size_t Number = 0; Number < Jobs; ++Number) {
      AdmissionDemand Demand = longJob(std::to_string(Number));
      if (!accepts(Demand, Time))
        continue;
      Decision.recordAccepted(Demand, at(Time));
      ++Out;
    }
    return Out;
  }

  Admission Decision;

private:
  uint64_t m_number = 0;
};

} // namespace

// Guards against long-running jobs that fill a fleet at nine tenths while short
// jobs arrive: every one was accepted and took the last free room.
TEST_CASE("A long-running job is refused if its tasks do not all fit beside "
          "the long-running tasks") {
  Reports Known;
  Known.add(fullShard(7), fullShard(6));
  CHECK(Known.accepts(longJob("a", 13)));
  CHECK_FALSE(Known.accepts(longJob("a", 14)));
  Known.add(fullShard(7), fullShard(7));
  CHECK(Known.accepts(longJob("a", 14)));
}

// Guards against room that waiting tasks of accepted jobs will take.
TEST_CASE("Long-running tasks that wait count against the open room") {
  ShardLoad Load = fullShard(7);
  CHECK(openTasks(Load, {.Millicores = 6400}, 0) == 7);
  addWaitingTask(Load, {.Demand = {.Millicores = 12800}, .LongRunning = true},
                 0, true);
  CHECK(openTasks(Load, {.Millicores = 6400}, 0) == 5);
}

TEST_CASE("Open room counts whole tasks on each worker, memory and the limit "
          "per worker") {
  ShardLoad Load;
  for (int64_t Room : {32000, 19200, 6399})
    addOpenWorker(Load, {.Millicores = Room, .MemoryMib = 16000}, {});
  CHECK(openTasks(Load, {.Millicores = 6400}, 0) == 8);
  CHECK(openTasks(Load, {.Millicores = 6400}, 2) == 4);
  CHECK(openTasks(Load, {.Millicores = 6400, .MemoryMib = 16000}, 0) == 3);
}

// Guards against an installation whose load is not known and that refuses all
// jobs: the store is away, an owner changes, or an owner is of an earlier
// version.
TEST_CASE("No job is refused while the load of a shard is not known") {
  Reports Known;
  SUBCASE("no report") {}
  SUBCASE("a report is missing") {
    Known.Decision.setReport(0, 1, 1, fullShard(0), at(0ms));
  }
  SUBCASE("a report is old") { Known.add(fullShard(0), fullShard(0), -6000ms); }
  SUBCASE("a report without the fields") {
    Known.add(fullShard(0), ShardLoad{.CapacityMillicores = 1000});
  }
  CHECK(Known.accepts(longJob("a")));
  CHECK(Known.accepts(shortJob("a")));
}

TEST_CASE("The report of a former owner counts until it is old") {
  Reports Known;
  Known.add(fullShard(0), fullShard(0), 0ms);
  CHECK_FALSE(Known.accepts(longJob("a"), 4900ms));
  CHECK(Known.accepts(longJob("a"), 5100ms));
}

// Guards against a burst that all hosts accept by the same reports.
TEST_CASE("All hosts together accept at most twice the open room and one job "
          "each between two reports") {
  size_t Accepted = 0;
  for (size_t Host = 0; Host < Hosts; ++Host) {
    Reports Known;
    Known.add(fullShard(100), fullShard(100));
    Accepted += Known.acceptedOf(50, 500ms);
  }
  CHECK(Accepted * 14 <= 2 * 200 + Hosts * 14);
}

TEST_CASE("Jobs that this host accepted count until a report includes them") {
  Reports Known;
  Known.add(fullShard(10), fullShard(10));
  CHECK(Known.acceptedOf(2, 100ms) == 1);
  Known.add(fullShard(10), fullShard(10), 900ms);
  CHECK_FALSE(Known.accepts(longJob("next"), 900ms));
  Known.add(fullShard(10), fullShard(10), 1200ms);
  CHECK(Known.accepts(longJob("next"), 1200ms));
}

// At 0.6 jobs a second from 36 hosts, about one job arrives between a report
// and its use.
TEST_CASE("Arrivals at other hosts since the reports count") {
  ShardLoad Load = fullShard(10);
  Load.LongRunningArrivals = 0.3 * 14 * 6400;
  Reports Known;
  Known.add(Load, Load);
  CHECK(Known.accepts(longJob("a", 11)));
  CHECK_FALSE(Known.accepts(longJob("a", 14)));
}

// Guards against refusals by one report that was taken in a short burst.
TEST_CASE("A short job is refused only after two reports of a backlog under "
          "one owner") {
  Reports Known;
  Known.add(backlog(1000, 100), backlog(1000, 100));
  CHECK(Known.accepts(shortJob("a")));
  Known.add(backlog(1000, 100), backlog(1000, 100));
  CHECK_FALSE(Known.accepts(shortJob("a")));
  SUBCASE("a new owner") {
    Known.add(backlog(1000, 100), backlog(1000, 100), 0ms, 2);
    CHECK(Known.accepts(shortJob("a")));
  }
  SUBCASE("the backlog drains") {
    Known.add(backlog(400, 100), backlog(1000, 100));
    CHECK(Known.accepts(shortJob("a")));
  }
}

TEST_CASE("A short job is accepted if one shard can end it with value") {
  Reports Known;
  for (int Report = 0; Report < 2; ++Report)
    Known.add(backlog(1000, 100), backlog(490, 100));
  CHECK(Known.accepts(shortJob("a")));
}

TEST_CASE("Only work of the same or a higher priority is ahead") {
  ShardLoad Load = backlog(0, 100);
  Load.WaitingWorkByPriority[5] = 1000 * 1000;
  Reports Known;
  for (int Report = 0; Report < 2; ++Report)
    Known.add(Load, Load);
  CHECK(Known.accepts(shortJob("a", 4)));
  CHECK_FALSE(Known.accepts(shortJob("a", 5)));
}

// Guards against a burst on an idle shard, which has finished little.
TEST_CASE("No short job is refused while the rate of a shard is not known") {
  Reports Known;
  for (int Report = 0; Report < 2; ++Report)
    Known.add(backlog(1000, 100), backlog(1000, 0));
  CHECK(Known.accepts(shortJob("a")));
  WorkRates Rates;
  for (milliseconds Time = 0ms; Time < 10s; Time += 500ms) {
    Rates.addFinished(500, false);
    Rates.update(at(Time), Time % 3s != 0s, false);
  }
  CHECK(Rates.finishedPerSecond() == 0);
}

TEST_CASE("The rate is measured while tasks wait") {
  WorkRates Rates;
  for (milliseconds Time = 0ms; Time <= 4s; Time += 500ms) {
    Rates.addFinished(500, false);
    Rates.update(at(Time), true, false);
  }
  CHECK(Rates.finishedPerSecond() == doctest::Approx(1000).epsilon(0.1));
}

TEST_CASE("Fill jobs are refused if the median one would have no value, "
          "whatever short tasks wait") {
  AdmissionDemand Fill = shortJob("a");
  Fill.Kind = JobKind::Fill;
  ShardLoad Load = backlog(1000, 100);
  Load.FillCapacity["image"] = 0;
  Load.FinishedFillWorkPerSecond = 100 * 1000;
  Load.RemainingFillWork = 900 * 1000;
  Reports Known;
  for (int Report = 0; Report < 2; ++Report)
    Known.add(Load, Load);
  CHECK(Known.accepts(Fill));
  Load.RemainingFillWork = 1100 * 1000;
  for (int Report = 0; Report < 2; ++Report)
    Known.add(Load, Load);
  CHECK_FALSE(Known.accepts(Fill));
  Load.FillCapacity["image"] = 100 * 1000;
  Known.add(Load, Load);
  CHECK(Known.accepts(Fill));
}

// Guards against callers that return all at the same moment.
TEST_CASE("Callers that were refused return over half as much time again") {
  std::set<std::chrono::seconds> Times;
  for (int Number = 0; Number < 200; ++Number) {
    std::chrono::seconds Time = retryAfter(std::to_string(Number), 10);
    CHECK(Time >= 10s);
    CHECK(Time <= 15s);
    Times.insert(Time);
  }
  CHECK(Times.size() == 6);
  CHECK(retryAfter("a", 0) >= 1s);
  CHECK(retryAfter("a", 0) <= 2s);
  CHECK(retryAfter("a", 1e9) <= 45s);
}

TEST_CASE("The room for finite work follows the demand within bounds") {
  ShardLoad Load{.CapacityMillicores = 100000};
  CHECK(roomForFiniteWork(Load) == 6000);
  Load.FiniteDemandMillicores = 10500;
  CHECK(roomForFiniteWork(Load) == 15000);
  Load.FiniteDemandMillicores = 90000;
  CHECK(roomForFiniteWork(Load) == 25000);
}

TEST_CASE("The load for admission is kept in the host's row, and its absence "
          "too") {
  ShardLoad Load = fullShard(2);
  addWaitingTask(Load, {.Demand = {.Millicores = 500}, .LongRunning = true}, 0,
                 true);
  addWaitingTask(Load,
                 {.Demand = {.Millicores = 2000}, .EstimatedRunTime = 500ms}, 3,
                 true);
  Load.LongRunningArrivals = 1;
  Load.FinishedWorkPerSecond = 2;
  Load.RemainingFillWork = 3;
  Load.FinishedFillWorkPerSecond = 4;
  HostRecord Record;
  Record.Shards[0].Load = Load;
  Record.Shards[1].Load.CapacityMillicores = 5;
  Result<HostRecord> Read = decodeHost(encodeHost(Record));
  REQUIRE(Read.has_value());
  const ShardLoad &Out = Read.value().Shards.at(0).Load;
  CHECK(Out.HasAdmissionLoad);
  CHECK(Out.OpenRooms == std::vector<uint32_t>{64, 64});
  CHECK(Out.OpenMemoryMib == 160 * 64000);
  CHECK(Out.WaitingLongRunningMillicores == 500);
  CHECK(Out.FiniteDemandMillicores == 2000);
  CHECK(Out.WaitingWorkByPriority == std::map<int, double>{{3, 1000}});
  CHECK(Out.LongRunningArrivals == 1);
  CHECK(Out.FinishedWorkPerSecond == 2);
  CHECK(Out.RemainingFillWork == 3);
  CHECK(Out.FinishedFillWorkPerSecond == 4);
  CHECK_FALSE(Read.value().Shards.at(1).Load.HasAdmissionLoad);
}
