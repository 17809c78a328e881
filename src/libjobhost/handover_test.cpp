#include "libjobhost/jobhost.h"

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Runs until a host other than \p OldOwner owns a shard, and returns its
/// index.
int awaitNewOwner(JobTestBed &Bed, int OldOwner) {
  REQUIRE(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
      10s));
  return Bed.ownerIndex();
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

void leave(JobTestBed &Bed, int Host) { Bed.host(Host).Process->leave(); }

bool completes(JobTestBed &Bed, const std::string &Id) {
  return Bed.runUntil(
      [&] {
        for (int Host = 0; Host < Bed.hosts(); ++Host) {
          Result<JobState> State = Bed.state(Host, Id);
          if (State.has_value())
            return State.value() == JobState::Completed;
        }
        return false;
      },
      40s);
}

/// Returns the index of the first worker that has runs, or has none.
int findWorker(JobTestBed &Bed, bool HasRuns) {
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Bed.worker(Worker).hasRuns() == HasRuns)
      return Worker;
  FAIL("no such worker");
  return -1;
}
int busyWorker(JobTestBed &Bed) { return findWorker(Bed, true); }
int idleWorker(JobTestBed &Bed) { return findWorker(Bed, false); }

} // namespace

// Guards against a wait that on-call cannot see: after a takeover nothing
// showed that ready tasks waited, nor for which worker.
TEST_CASE("A new owner reports the tasks that it holds back for a silent "
          "worker") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 6, 2s)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.worker(0).IsDown = true;
  Bed.killHost(OldOwner);
  int Owner = awaitNewOwner(Bed, OldOwner);
  Bed.run(2500ms);
  JobShardCounts Counts = Bed.host(Owner).Process->counts();
  CHECK(Counts.Takeovers == 1);
  CHECK(Counts.TakeoverSilentWorkers == 1);
  CHECK(Counts.TasksHeldBack >= 1);
  Bed.run(15s);
  CHECK(Bed.host(Owner).Process->counts().TakeoverSilentWorkers == 0);
  CHECK(Bed.host(Owner).Process->counts().TasksHeldBack == 0);
}

// Guards against lost long-running tasks: one failed on a sound worker and did
// not run again for 12 s, because another worker was silent at the takeover.
TEST_CASE("After the owner's crash a long-running task that fails restarts "
          "although another worker is silent") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 2)).has_value());
  Bed.run(500ms);
  REQUIRE(Bed.Oracle.running() == 2);
  int OldOwner = Bed.ownerIndex();
  int Silent = idleWorker(Bed);
  Bed.worker(Silent).IsDown = true;
  Bed.killHost(OldOwner);
  awaitNewOwner(Bed, OldOwner);
  Bed.run(300ms);
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    if (Worker != Silent)
      Bed.worker(Worker).failRuns();
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 2; }, 1s));
  checkNoViolations(Bed);
}

TEST_CASE(
    "After the owner's crash a long-running task leaves a draining worker "
    "although another worker is silent") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 1)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  int Silent = idleWorker(Bed);
  int Busy = busyWorker(Bed);
  Bed.worker(Silent).IsDown = true;
  Bed.killHost(OldOwner);
  awaitNewOwner(Bed, OldOwner);
  Bed.worker(Busy).Entry.IsDraining = true;
  Bed.publishWorkers();
  CHECK(Bed.runUntil(
      [&] { return !Bed.worker(Busy).hasRuns() && Bed.Oracle.running() == 1; },
      2s));
  checkNoViolations(Bed);
}

// Guards against lost tasks after planned work: one worker that did not answer
// held back all tasks of the shard for 12 s after each handover.
TEST_CASE("After a planned handover tasks that never ran on a silent worker "
          "start at once") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  // 24 of the 30 tasks fit at the same time.
  CHECK(Bed.submit(0, chainJob("a", 1, 30, 2s)).has_value());
  Bed.run(1s);
  REQUIRE(Bed.Oracle.starts() == 24);
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  leave(Bed, Bed.ownerIndex());
  // The two other workers are free again 2 s after the tasks started.
  CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 30; }, 1500ms));
  // The eight tasks of the silent worker start when their lease is over.
  CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 38; }, 7s));
  CHECK(completes(Bed, "a"));
  checkNoViolations(Bed);
}

// Guards against a second start of the runs that the outgoing owner left on a
// worker that only the new owner cannot reach.
TEST_CASE(
    "After a planned handover tasks that run on an unreachable worker are "
    "not started twice") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 12, 4s)).has_value());
  Bed.run(500ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  leave(Bed, Bed.ownerIndex());
  Bed.run(3800ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 12);
  checkNoViolations(Bed);
}

// Guards against a second run of a finished task: the outgoing owner had seen
// its completion but not stored it, and no longer counted the run.
TEST_CASE("A completion that the outgoing owner did not store keeps its task "
          "from starting again") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 16, 1s)).has_value());
  Bed.run(500ms);
  int Owner = Bed.ownerIndex();
  REQUIRE(Bed.runUntil([&] { return !Bed.worker(0).hasRuns(); }, 1s));
  REQUIRE(Bed.runUntil(
      [&] { return Bed.host(Owner).Process->counts().RunsSucceeded > 0; }, 1s));
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  leave(Bed, Owner);
  Bed.run(2s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 16);
  checkNoViolations(Bed);
}

// Guards against a wait that each change of owner begins anew.
TEST_CASE("A planned handover during the wait after a crash does not begin the "
          "wait anew") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 30, 2s)).has_value());
  Bed.run(1s);
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  int Crashed = Bed.ownerIndex();
  Bed.killHost(Crashed);
  int Second = awaitNewOwner(Bed, Crashed);
  TimePoint Takeover = Bed.now();
  Bed.run(2s);
  CHECK(Bed.Oracle.starts() == 24);
  leave(Bed, Second);
  Bed.run(1s);
  // The task may have been started by the first owner on the silent worker.
  CHECK(Bed.Oracle.starts() == 24);
  milliseconds Left =
      std::chrono::ceil<milliseconds>(Takeover + 5500ms - Bed.now());
  CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 38; }, Left));
  CHECK(completes(Bed, "a"));
  checkNoViolations(Bed);
}

// Guards against a record that is used after its time: an owner that crashed
// later has started runs that the record does not name.
TEST_CASE("The record of an earlier handover is not used after a crash") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  int First = Bed.ownerIndex();
  CHECK(Bed.submit(0, chainJob("a", 1, 1, 100ms)).has_value());
  leave(Bed, First);
  int Second = awaitNewOwner(Bed, First);
  CHECK(Bed.submit(Second, chainJob("b", 1, 12, 10s)).has_value());
  Bed.run(500ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Host != Second)
      Bed.host(Host).UnreachableWorkers.insert("w0");
  Bed.killHost(Second);
  awaitNewOwner(Bed, Second);
  Bed.run(20s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(completes(Bed, "b"));
  checkNoViolations(Bed);
}

// Guards against a record that is used twice: after a gap in its renewals a
// host can take its shard over again under the same epoch.
TEST_CASE("The record of a handover is not used again under the same epoch") {
  JobTestBed Bed({.Hosts = 2, .Workers = 3});
  Bed.run(3s);
  int First = Bed.ownerIndex();
  leave(Bed, First);
  int Second = awaitNewOwner(Bed, First);
  Bed.killHost(First);
  CHECK(Bed.submit(Second, chainJob("a", 1, 12, 20s)).has_value());
  Bed.run(500ms);
  Bed.Store.IsDown = true;
  Bed.run(6500ms);
  Bed.host(Second).UnreachableWorkers.insert("w0");
  Bed.run(1s);
  Bed.Store.IsDown = false;
  Bed.run(20s);
  Bed.host(Second).UnreachableWorkers.clear();
  CHECK(completes(Bed, "a"));
  checkNoViolations(Bed);
}

// Guards against a shard without an owner: a host released its shards before
// any other host could own them.
TEST_CASE("A leaving host goes on as owner while the store is unavailable") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 4, 4, 1s)).has_value());
  Bed.run(300ms);
  int Owner = Bed.ownerIndex();
  Bed.Store.IsDown = true;
  leave(Bed, Owner);
  Bed.run(4500ms);
  // The time suffices for three of the four steps.
  CHECK(Bed.Oracle.starts() >= 12);
  CHECK(Bed.ownerIndex() == Owner);
  Bed.Store.IsDown = false;
  awaitNewOwner(Bed, Owner);
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 16);
  checkNoViolations(Bed);
}

// Guards against orders after a handover whose answer was lost.
TEST_CASE(
    "An owner sends no orders while the outcome of a handover is unknown") {
  for (bool IsDelayed : {false, true}) {
    CAPTURE(IsDelayed);
    JobTestBed Bed({.Workers = 3});
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("a", 4, 12, 500ms)).has_value());
    Bed.run(300ms);
    int Owner = Bed.ownerIndex();
    Bed.Store.LostReplyPercent = IsDelayed ? 0 : 100;
    Bed.Store.DelayedCommitPercent = IsDelayed ? 100 : 0;
    leave(Bed, Owner);
    Bed.run(20ms);
    const JobHost &Process = *Bed.host(Owner).Process;
    uint64_t Starts = Process.counts().Starts;
    // The answer is given up after 1.5 s; the commit takes effect later.
    for (int Step = 0; Step < 100 && Process.ownedShards() > 0; ++Step) {
      Bed.run(25ms);
      if (Process.ownedShards() > 0)
        REQUIRE(Process.counts().Starts == Starts);
    }
    Bed.Store.LostReplyPercent = 0;
    Bed.Store.DelayedCommitPercent = 0;
    awaitNewOwner(Bed, Owner);
    CHECK(completes(Bed, "a"));
    checkNoViolations(Bed);
  }
}

// Guards against a handover by an owner that does not know yet what its own
// predecessor left.
TEST_CASE(
    "A host that leaves while it reads its shard's rows passes on what it "
    "does not know") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  // The runs end before their leases, which nobody extends on "w0".
  CHECK(Bed.submit(0, chainJob("a", 1, 12, 3500ms)).has_value());
  Bed.run(500ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  int First = Bed.ownerIndex();
  Bed.killHost(First);
  int Second = awaitNewOwner(Bed, First);
  leave(Bed, Second);
  awaitNewOwner(Bed, Second);
  Bed.run(4s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 12);
  checkNoViolations(Bed);
}

// Guards against a record that is lost on its way: a shard was handed to a host
// that had just begun to leave, which gave it away without the record.
TEST_CASE("Hosts that leave at the same time pass the record on") {
  for (int Remaining = 0; Remaining < 4; ++Remaining) {
    CAPTURE(Remaining);
    JobTestBed Bed({.Hosts = 4, .Workers = 3});
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("a", 1, 30, 2s)).has_value());
    Bed.run(1s);
    int Owner = Bed.ownerIndex();
    if (Owner == Remaining)
      continue;
    Bed.worker(0).IsDown = true;
    Bed.worker(0).crash();
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      if (Host != Remaining)
        leave(Bed, Host);
    CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 30; }, 2s));
    CHECK(Bed.ownerIndex() == Remaining);
    CHECK(completes(Bed, "a"));
    checkNoViolations(Bed);
  }
}

namespace {

const TaskName OnlyTask{.Job = "a"};

void setReachable(JobTestBed &Bed, const std::string &Worker, bool Reachable) {
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    if (Reachable)
      Bed.host(Host).UnreachableWorkers.erase(Worker);
    else
      Bed.host(Host).UnreachableWorkers.insert(Worker);
  }
}

} // namespace

// Guards against a second start of a long-running task whose failure was known
// to its owner but not stored when that owner crashed.
TEST_CASE("A long-running task starts again only after its failure is stored") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 1)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.Store.IsDown = true;
  REQUIRE(Bed.failTask(OnlyTask));
  Bed.run(1s);
  CHECK(Bed.Oracle.starts() == 1);
  // If the task had been started again, its second worker would be silent now.
  if (Bed.Oracle.running() > 0)
    setReachable(Bed, Bed.Oracle.workerOf(OnlyTask), false);
  Bed.killHost(OldOwner);
  Bed.Store.IsDown = false;
  CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 2; }, 6s));
  Bed.run(3s);
  checkNoViolations(Bed);
}

// Guards against the conclusion that a failed run was the last one: its worker
// was silent until its lease was over, and the task was started elsewhere.
TEST_CASE("A failure that is reported late does not start a long-running task "
          "twice") {
  JobTestBed Bed({.Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, longRunningJob("a", 1)).has_value());
  Bed.run(500ms);
  std::string First = Bed.Oracle.workerOf(OnlyTask);
  setReachable(Bed, First, false);
  REQUIRE(Bed.failTask(OnlyTask));
  REQUIRE(Bed.runUntil([&] { return Bed.Oracle.starts() == 2; }, 9s));
  Bed.run(500ms);
  std::string Second = Bed.Oracle.workerOf(OnlyTask);
  REQUIRE(Second != First);
  setReachable(Bed, Second, false);
  int OldOwner = Bed.ownerIndex();
  Bed.killHost(OldOwner);
  setReachable(Bed, First, true);
  awaitNewOwner(Bed, OldOwner);
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 2);
  setReachable(Bed, Second, true);
  Bed.run(15s);
  CHECK(Bed.Oracle.running() == 1);
  checkNoViolations(Bed);
}

// Guards against a wait after a restart of the only host: nobody could take its
// shard, and the next process did not know what it had left.
TEST_CASE("A host that leaves while no other host is there gives its record to "
          "the next one") {
  JobTestBed Bed({.Hosts = 1, .Workers = 3});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 30, 3s)).has_value());
  Bed.run(1s);
  REQUIRE(Bed.Oracle.starts() == 24);
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  Bed.restartHost(0, 500ms, 200ms);
  // The two other workers are free again 3 s after the tasks started.
  CHECK(Bed.runUntil([&] { return Bed.Oracle.starts() == 30; }, 3500ms));
  CHECK(completes(Bed, "a"));
  checkNoViolations(Bed);
}

// Guards against a record of a released shard that is used after another owner.
TEST_CASE("The record of a host that left alone is not used by a later owner") {
  JobTestBed Bed({.Hosts = 1, .Workers = 3});
  Bed.run(3s);
  Bed.restartHost(0, 500ms, 200ms);
  Bed.run(4s);
  CHECK(Bed.submit(0, chainJob("a", 1, 12, 4s)).has_value());
  Bed.run(500ms);
  setReachable(Bed, "w0", false);
  Bed.killHost(0);
  Bed.startHost(0);
  Bed.run(3s);
  setReachable(Bed, "w0", true);
  CHECK(completes(Bed, "a"));
  CHECK(Bed.Oracle.starts() == 12);
  checkNoViolations(Bed);
}

// Guards against tasks that a third owner starts again: the second one has
// polled the worker, but the worker's list was cut before their completions, so
// that the handover record must not name the worker as resolved.
TEST_CASE("Tasks whose completions are not listed yet are not started again "
          "after a handover") {
  JobTestBed Bed({.Hosts = 3, .Workers = 1});
  Bed.run(3s);
  Bed.worker(0).MaxListedCompletions = 2;
  int First = Bed.ownerIndex();
  REQUIRE(First >= 0);
  Bed.Store.RefusesCommit = [](const RowCommit &Commit) {
    return std::any_of(Commit.Conditions.begin(), Commit.Conditions.end(),
                       [](const RowCondition &Condition) {
                         return Condition.Address.Table == "progress";
                       });
  };
  REQUIRE(Bed.submit(First, chainJob("a", 1, 6, 300ms)).has_value());
  Bed.run(1500ms);
  REQUIRE(Bed.Oracle.starts() == 6);
  Bed.killHost(First);
  REQUIRE(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != First; }, 5s));
  int Second = Bed.ownerIndex();
  Bed.run(1s);
  Bed.restartHost(Second, 2s, 1s);
  Bed.run(1s);
  Bed.Store.RefusesCommit = nullptr;
  Bed.run(15s);
  CHECK(Bed.Oracle.starts() == 6);
  CHECK(Bed.Oracle.allDone("a"));
  checkNoViolations(Bed);
}
