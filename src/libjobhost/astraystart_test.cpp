// Start orders that reach the next process of their worker.

#include "testing/longjobs.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time in which the former processes get a clock that is far ahead of that of
/// the next ones.
constexpr milliseconds LongLife{10000};

/// A bed whose first worker is started again while start orders for it are held
/// up.
struct HeldStartsBed {
  explicit HeldStartsBed(milliseconds StartDelay, milliseconds MaxLease = 6s)
      : Bed({.Hosts = 1, .Workers = 3, .MaxWorkerLease = MaxLease}) {
    for (int Worker = 0; Worker < Bed.workers(); ++Worker)
      Bed.worker(Worker).MaxLease = MaxLease;
    Bed.run(LongLife);
    first().DelayedStartPercent = 100;
    first().StartDelay = StartDelay;
    first().DelayedStartsOutliveRestart = true;
  }

  ModelWorker &first() { return Bed.worker(0); }
  /// Sends orders for the tasks of the job, and restarts the worker.
  void startAndRestart(const Job &Spec, milliseconds RestartAfter) {
    int Starts = Bed.Oracle.starts();
    REQUIRE(Bed.submit(0, Spec).has_value());
    REQUIRE(Bed.runUntil([&] { return Bed.Oracle.starts() > Starts; }, 1000ms));
    Bed.run(RestartAfter);
    REQUIRE(Bed.Oracle.tasksOn(first().Entry.Id).empty());
    first().crash();
    first().DelayedStartPercent = 0;
  }

  JobTestBed Bed;
};

} // namespace

// Guards against tasks that start elsewhere while the order for their first run
// is on its way to a worker that was started again, whose next process carries
// it out.
TEST_CASE("A start order that reaches the next process of its worker starts no "
          "task twice") {
  for (milliseconds StartDelay : {150ms, 300ms, 600ms, 1500ms, 4000ms})
    for (milliseconds RestartAfter : {0ms, 50ms, 100ms}) {
      CAPTURE(StartDelay.count());
      CAPTURE(RestartAfter.count());
      HeldStartsBed Test(StartDelay);
      Test.startAndRestart(chainJob("a", 1, 12, 6s), RestartAfter);
      CHECK(
          Test.Bed.runUntil([&] { return Test.Bed.Oracle.allDone("a"); }, 12s));
      Test.Bed.run(2s);
      CHECK(Test.Bed.state(0, "a").value() == JobState::Completed);
      checkNoViolations(Test.Bed);
    }
}

// Guards against orders whose time was over on the clock of the former process
// only.
TEST_CASE("A start order that was void at the former process of its worker is "
          "not carried out by the next one") {
  for (milliseconds RestartAfter : {700ms, 1500ms, 3000ms}) {
    CAPTURE(RestartAfter.count());
    HeldStartsBed Test(4000ms);
    Test.startAndRestart(chainJob("a", 1, 12, 6s), RestartAfter);
    CHECK(Test.Bed.runUntil([&] { return Test.Bed.Oracle.allDone("a"); }, 12s));
    Test.Bed.run(2s);
    checkNoViolations(Test.Bed);
  }
}

// Guards against tasks that wait for ever for a worker that answers polls and
// loses stop orders.
TEST_CASE("The wait for a start order that may reach the next process of its "
          "worker is bounded") {
  HeldStartsBed Test(4000ms);
  Test.first().LosesStops = true;
  Test.startAndRestart(chainJob("a", 1, 12, 1s), 50ms);
  CHECK(Test.Bed.runUntil([&] { return Test.Bed.Oracle.allDone("a"); }, 20s));
  checkNoViolations(Test.Bed);
}

// Guards against members of a gang that wait for one whose order is on its way
// to a former process.
TEST_CASE("A gang starts again after an order for a member was on its way to a "
          "worker that was started again") {
  for (milliseconds StartDelay : {150ms, 600ms, 4000ms}) {
    CAPTURE(StartDelay.count());
    HeldStartsBed Test(StartDelay);
    Job Gang = chainJob("a", 1, 20, 2s);
    Gang.Steps[0].Gang = true;
    Test.startAndRestart(Gang, 50ms);
    CHECK(Test.Bed.runUntil([&] { return Test.Bed.Oracle.allDone("a"); }, 12s));
    checkNoViolations(Test.Bed);
  }
}

// Guards against an answer at a former address that releases the runs whose
// orders are on their way to the present one: the list came between the poll
// and its answer.
TEST_CASE("An answer at the former address of a worker releases no run that "
          "was ordered at the present one") {
  for (milliseconds ListDelay : {4ms, 5ms, 6ms})
    for (milliseconds MoveAt = 210ms; MoveAt < 240ms; MoveAt += 1ms) {
      CAPTURE(ListDelay.count());
      CAPTURE(MoveAt.count());
      JobTestBed Bed({.Hosts = 1, .Workers = 3, .MaxListDelay = ListDelay});
      Bed.run(LongLife);
      REQUIRE(Bed.submit(0, chainJob("before", 3, 8, 100ms)).has_value());
      Bed.run(MoveAt);
      Bed.moveWorker(0);
      for (const char *Id : {"a", "b", "c", "d", "e", "f"}) {
        REQUIRE(Bed.submit(0, chainJob(Id, 1, 2, 3s)).has_value());
        Bed.run(1ms);
      }
      CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone("f"); }, 10s));
      checkNoViolations(Bed);
    }
}

// Guards against an owner that counts on the end of its own leases, although an
// order with a time on the former process's clock has extended them.
TEST_CASE("The lease of a start order that reached the next process of its "
          "worker is over before its task starts elsewhere") {
  for (milliseconds MaxLease : {6000ms, 10000ms})
    for (milliseconds CutOffAfter :
         {0ms, 50ms, 150ms, 300ms, 350ms, 400ms, 500ms, 600ms, 800ms}) {
      CAPTURE(MaxLease.count());
      CAPTURE(CutOffAfter.count());
      HeldStartsBed Test(120ms, MaxLease);
      Test.startAndRestart(longJob("a", 6, 1000), 50ms);
      Test.Bed.run(CutOffAfter);
      Test.Bed.host(0).UnreachableWorkers = {Test.first().Entry.Id};
      Test.Bed.run(MaxLease + 6s);
      CHECK(Test.Bed.Oracle.running() == 6);
      checkNoViolations(Test.Bed);
    }
}

// Guards against a member that runs twice. The late answer to the first order
// for a member is taken for that to the second one, which has the same number
// and may be for the same worker. Before the orders waited for probes, an order
// ended after 0.5 s, which is the time that a start is valid.
TEST_CASE("A late refusal of a start does not end the next start of the same "
          "member of a gang") {
  int Violations = 0;
  for (milliseconds Delay : {600ms, 800ms, 950ms})
    for (milliseconds Offset = 0ms; Offset < 1000ms; Offset += 50ms) {
      CAPTURE(Delay.count());
      CAPTURE(Offset.count());
      JobTestBed Bed({.Hosts = 1, .Workers = 2});
      Bed.run(2s);
      REQUIRE(Bed.submit(0, longJob("b", 1, 8000)).has_value());
      Bed.run(3s + Offset);
      int Loaded = workerOf(Bed, taskOf("b"));
      REQUIRE(Loaded >= 0);
      Bed.host(0).AnswersLateStarts = true;
      Bed.host(0).StartReplyDelay = Delay;
      Bed.worker(1 - Loaded).RefusedStarts = 1;
      Job Gang = chainJob("a", 1, 2, 3s);
      Gang.Steps[0].Gang = true;
      REQUIRE(Bed.submit(0, Gang).has_value());
      // The second start has arrived; another worker becomes free.
      bool IsThere = Bed.runUntil(
          [&] { return Bed.worker(1 - Loaded).runs(taskOf("a", 0)); }, 2s);
      REQUIRE(IsThere);
      CHECK(Bed.cancel(0, "b").has_value());
      Bed.run(4s);
      if (!Bed.Oracle.violations().empty() && Violations++ == 0)
        checkNoViolations(Bed);
    }
  CHECK(Violations == 0);
}
