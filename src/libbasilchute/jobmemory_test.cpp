// Tests of the memory that accepted jobs take.

#include "libbasilchute/jobentry.h"
#include "libbasilchute/jobmemory.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int OccurrencesOfDay = 86400;
constexpr milliseconds FirstRun = 1000h;

Job dailySchedule() {
  Job Out{.Id = "schedule", .Queue = "queue"};
  Out.Steps = {JobStep{.Count = 1, .EstimatedRunTime = 100ms}};
  Out.Repetitions = OccurrencesOfDay;
  Out.FirstRun = FirstRun;
  Out.Interval = 1s;
  return Out;
}

Job wideJob(int Tasks) {
  Job Out{.Id = "wide", .Queue = "queue"};
  Out.Steps = {JobStep{.Count = Tasks, .EstimatedRunTime = 100ms}};
  return Out;
}

/// Returns the positions that are ready, and touches their states as a queue
/// does.
std::vector<int> queueAt(JobEntry &Entry, milliseconds WallTime,
                         size_t Limit = MaxQueuedTasks) {
  ReadyTasks Ready = Entry.readyTasks(WallTime, Limit);
  for (int Position : Ready.Positions)
    Entry.Tasks[static_cast<size_t>(Position)].WaitingSince = TimePoint{1s};
  return Ready.Positions;
}

constexpr size_t Megabyte = 1000000;

} // namespace

// Guards against schedules that take memory for each occurrence from the moment
// they are accepted: twelve of them took every owner over its memory.
TEST_CASE("A schedule takes no memory for occurrences that are not due") {
  JobEntry Entry(dailySchedule(), 1, TimePoint{});
  size_t Before = Entry.bytes();
  CHECK(Before < 4000);
  ReadyTasks Ready = Entry.readyTasks(FirstRun - 1s, MaxQueuedTasks);
  CHECK(Ready.Positions.empty());
  CHECK(Ready.NextDue == FirstRun);
  CHECK(Entry.bytes() == Before);
  CHECK(Entry.remainingWork() == 0);
  // After a day of which each occurrence was done in time.
  for (int Occurrence = 0; Occurrence < OccurrencesOfDay; ++Occurrence) {
    std::vector<int> Queued = queueAt(Entry, FirstRun + Occurrence * 1s);
    REQUIRE(Queued == std::vector<int>{Occurrence});
    Entry.finish(Occurrence);
  }
  CHECK(Entry.allDone());
  CHECK(Entry.bytes() < 150000);
}

// Guards against occurrences that are queued in another order, twice or never,
// since only some are held.
TEST_CASE("Late occurrences of a schedule are all queued, the first ones "
          "first") {
  JobEntry Entry(dailySchedule(), 1, TimePoint{});
  std::vector<int> Done;
  while (!Entry.allDone()) {
    std::vector<int> Queued = queueAt(Entry, FirstRun + 48h, 7);
    REQUIRE(!Queued.empty());
    REQUIRE(Queued.size() <= 7);
    // The second one ends before the first one.
    std::reverse(Queued.begin(), Queued.end());
    for (int Position : Queued) {
      Entry.finish(Position);
      Done.push_back(Position);
    }
  }
  std::sort(Done.begin(), Done.end());
  REQUIRE(Done.size() == OccurrencesOfDay);
  for (int Position = 0; Position < OccurrencesOfDay; ++Position)
    REQUIRE(Done[static_cast<size_t>(Position)] == Position);
}

// Guards against the memory of tasks that are done, for good: 390 bytes each.
TEST_CASE("Tasks of a wide job take memory only while they wait or run") {
  JobEntry Entry(wideJob(100000), 1, TimePoint{});
  size_t Most = Entry.bytes();
  while (!Entry.allDone()) {
    std::vector<int> Queued = queueAt(Entry, 0ms);
    REQUIRE(!Queued.empty());
    for (int Position : Queued)
      Entry.finish(Position);
    Most = std::max(Most, Entry.bytes());
  }
  CHECK(Most < Megabyte);
  CHECK(Entry.bytes() < 150000);
}

// Guards against an owner that takes the memory of all tasks again, or starts
// one again that is done, since large jobs store no entries for most tasks.
TEST_CASE("A new owner of a large job knows what is done, in little memory") {
  for (int Done : {0, 100, 5000, 99990}) {
    CAPTURE(Done);
    JobEntry Entry(wideJob(100000), 1, TimePoint{});
    for (int Position = 0; Position < Done; ++Position) {
      Entry.Tasks[static_cast<size_t>(Position)].LastRun = 3;
      Entry.finish(Position);
    }
    std::string Row = encodeProgress(Entry.progress());
    CHECK(Row.size() < MaxProgressBytes);
    JobEntry Next(wideJob(100000), 1, TimePoint{});
    Next.restore(decodeProgress(Row).value(), 64, 0ms);
    CHECK(Next.bytes() < Megabyte);
    std::vector<int> Queued = queueAt(Next, 0ms);
    REQUIRE(!Queued.empty());
    CHECK(Queued.front() == Done);
    CHECK(Next.Tasks[static_cast<size_t>(Done)].LastRun >= 64);
  }
}

// Guards against jobs that no host could hold together, and against ordinary
// ones that are refused with them.
TEST_CASE("Large jobs are refused long before small ones") {
  JobMemoryState State{.MaxBytes = 40 * Megabyte, .Hosts = 30};
  JobMemory Memory;
  size_t Wide = expectedBytes(wideJob(100000));
  size_t Small = expectedBytes(wideJob(20));
  CHECK(!JobMemory::isTooLarge(Wide, State));
  TimePoint Now{100s};
  int Accepted = 0;
  for (int Number = 0; Number < 10000; ++Number) {
    Now += 100ms;
    std::optional<Refusal> Refused =
        Memory.check(std::to_string(Number), Wide, State, Now);
    if (!Refused) {
      Memory.recordAccepted(Wide, Now);
      State.Bytes += Wide;
      ++Accepted;
      continue;
    }
    CHECK(Refused->Reason == "memory");
    CHECK(Refused->RetryAfter >= 1s);
  }
  CHECK(Accepted > 20);
  CHECK(State.Bytes < State.MaxBytes);
  CHECK(!Memory.check("small", Small, State, Now + 10s));
}

// Guards against a crowd of hosts that accept large jobs at one moment, of
// which none knows what the others accept.
TEST_CASE("Hosts that know nothing of each other stay within the memory") {
  constexpr size_t Hosts = 41;
  JobMemoryState State{.MaxBytes = 40 * Megabyte, .Hosts = Hosts};
  size_t Total = 0;
  for (size_t Host = 0; Host < Hosts; ++Host) {
    JobMemory Memory;
    for (int Number = 0; Number < 1000; ++Number) {
      size_t Bytes = expectedBytes(wideJob(100000));
      if (Memory.check(std::to_string(Number), Bytes, State, TimePoint{1s}))
        continue;
      Memory.recordAccepted(Bytes, TimePoint{1s});
      Total += Bytes;
    }
  }
  CHECK(Total <= State.MaxBytes);
}

// Guards against a refusal that asks callers to wait for what never comes.
TEST_CASE(
    "A job that no host can hold beside others is too large at any time") {
  JobMemoryState State{.MaxBytes = Megabyte};
  CHECK(JobMemory::isTooLarge(expectedBytes(wideJob(100000)), State));
  CHECK(!JobMemory::isTooLarge(expectedBytes(wideJob(20)), State));
  CHECK(!JobMemory::isTooLarge(expectedBytes(wideJob(100000)), {}));
}
