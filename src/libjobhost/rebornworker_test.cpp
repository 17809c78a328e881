// Workers that return under their id as another kind.

#include "testing/longjobs.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr const char *Large = "large";
constexpr Resources SmallCapacity{.Millicores = 1000, .MemoryMib = 16000};

Job largeJob(const std::string &Id, int Tasks, bool IsLongRunning = false) {
  Job Out = IsLongRunning ? longRunningJob(Id, Tasks) : chainJob(Id, 1, Tasks);
  Out.Steps[0].RequiredLabel = Large;
  return Out;
}

/// A bed with one worker of the kind "large" and one without a kind. The list
/// goes on naming the first incarnation of the large one while IsListOld.
struct RebornBed {
  explicit RebornBed(milliseconds ListDelay = 0ms)
      : Bed({.Hosts = 1, .Workers = 2, .MaxListDelay = ListDelay}) {
    Bed.worker(0).Entry.Labels = {Large};
    Bed.AlterEntry = [this](WorkerEntry &Entry) {
      if (IsListOld && Entry.Id == Old.Id)
        Entry = Old;
      if (IsWithoutIncarnation)
        Entry.Incarnation = 0ms;
    };
    Bed.publishWorkers();
    Bed.run(ListDelay + 5s);
    Old = Bed.worker(0).Entry;
  }

  /// Lets the large worker return as a small one while the list is old.
  void rebear() {
    IsListOld = true;
    Bed.worker(0).crash();
    Bed.worker(0).Entry.Labels = {"small"};
    Bed.worker(0).Entry.Capacity = SmallCapacity;
    Bed.run(3s);
  }

  size_t tasksOnLarge() {
    return Bed.Oracle.tasksOn(Bed.worker(0).Entry.Id).size();
  }
  bool runsOnLargeWithin(size_t Tasks, milliseconds Limit) {
    return Bed.runUntil([&] { return tasksOnLarge() >= Tasks; }, Limit);
  }

  JobTestBed Bed;
  WorkerEntry Old;
  bool IsListOld = false;
  bool IsWithoutIncarnation = false;
};

} // namespace

// Guards against starts that need the kind or the capacity that the worker had
// before it was started again.
TEST_CASE("Nothing starts on a new incarnation whose entry is old") {
  for (bool IsLongRunning : {false, true}) {
    CAPTURE(IsLongRunning);
    RebornBed Test;
    Test.rebear();
    CHECK(Test.Bed.submit(0, largeJob("a", 4, IsLongRunning)).has_value());
    CHECK_FALSE(Test.runsOnLargeWithin(1, 5s));
    Test.Bed.worker(0).Entry.Labels = {Large};
    Test.IsListOld = false;
    Test.Bed.publishWorkers();
    CHECK(Test.runsOnLargeWithin(1, 2s));
    Test.Bed.run(2s);
    CHECK(Test.Bed.Oracle.violations().empty());
  }
}

// Guards against gangs that are placed by the entry of a former incarnation.
TEST_CASE("No gang starts on a new incarnation whose entry is old") {
  RebornBed Test;
  Test.rebear();
  Job Gang = largeJob("a", 2);
  Gang.Steps[0].Gang = true;
  CHECK(Test.Bed.submit(0, Gang).has_value());
  CHECK_FALSE(Test.runsOnLargeWithin(1, 5s));
}

// Guards against a worker that is kept out until the list happens to change.
TEST_CASE("The list is read when a poll shows a new incarnation") {
  RebornBed Test(60s);
  Test.Bed.worker(0).crash();
  Test.Bed.run(1s);
  CHECK(Test.Bed.submit(0, largeJob("a", 4)).has_value());
  CHECK(Test.runsOnLargeWithin(4, 2s));
}

// Guards against a worker that is kept out for ever since the list was read
// once before it named the new incarnation.
TEST_CASE("The list is read again until it names the incarnation") {
  RebornBed Test(60s);
  Test.IsListOld = true;
  Test.Bed.worker(0).crash();
  Test.Bed.run(5s);
  CHECK(Test.Bed.submit(0, largeJob("a", 4)).has_value());
  CHECK_FALSE(Test.runsOnLargeWithin(1, 3s));
  Test.IsListOld = false;
  CHECK(Test.runsOnLargeWithin(4, 3s));
}

// Guards against entries without an incarnation that name no worker to use.
TEST_CASE("A new incarnation is used if its entry names none") {
  RebornBed Test;
  Test.IsWithoutIncarnation = true;
  Test.Bed.publishWorkers();
  Test.Bed.run(1s);
  Test.Bed.worker(0).crash();
  Test.Bed.run(1s);
  CHECK(Test.Bed.submit(0, largeJob("a", 4)).has_value());
  CHECK(Test.runsOnLargeWithin(4, 2s));
}

// Guards against an owner that starts tasks by an entry that was old already
// when it took over.
TEST_CASE("A new owner starts nothing on a worker whose entry is old") {
  RebornBed Test;
  Test.rebear();
  Test.Bed.killHost(0);
  Test.Bed.startHost(0);
  Test.Bed.run(15s);
  CHECK(Test.Bed.submit(0, largeJob("a", 4)).has_value());
  CHECK_FALSE(Test.runsOnLargeWithin(1, 5s));
}

// Guards against ends that a worker forgets unread: it was started again under
// its id between two polls, and the second one acknowledges by the count of the
// former process. Their tasks are then started again.
TEST_CASE("A worker that is started again between two polls forgets no end "
          "unread") {
  for (milliseconds After : {0ms, 30ms, 60ms, 100ms, 500ms}) {
    CAPTURE(After.count());
    JobTestBed Bed({.Hosts = 1, .Workers = 1});
    Bed.run(3s);
    REQUIRE(Bed.submit(0, chainJob("before", 3, 8, 100ms)).has_value());
    Bed.run(3s + After);
    REQUIRE(Bed.Oracle.allDone("before"));
    Bed.worker(0).crash();
    REQUIRE(Bed.submit(0, chainJob("after", 3, 8, 30ms)).has_value());
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("after"); }, 5s));
    Bed.run(2s);
    CHECK(Bed.state(0, "after").value() == JobState::Completed);
    checkNoViolations(Bed);
  }
}

// Guards against a start order for a process of a worker that is carried out by
// the next one, with a lease by the clock of the former. The owner takes the
// run to have ended with the leases that it knows.
TEST_CASE("A start order for a process of a worker reaches no later one") {
  for (milliseconds After : {0ms, 5ms, 10ms, 15ms, 20ms}) {
    CAPTURE(After.count());
    JobTestBed Bed({.Hosts = 1, .Workers = 2});
    Bed.run(20s);
    Bed.beginSubmit(0, chainJob("a", 1, 8, 12s), [] {});
    Bed.run(After);
    Bed.worker(0).crash();
    Bed.run(15ms);
    Bed.host(0).UnreachableWorkers.insert("w0");
    Bed.run(8s);
    Bed.host(0).UnreachableWorkers.clear();
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("a"); }, 40s));
    Bed.run(2s);
    checkNoViolations(Bed);
  }
}
