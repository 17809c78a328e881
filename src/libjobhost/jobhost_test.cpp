#include "libjobhost/jobhost.h"

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

bool hasState(JobTestBed &Bed, const std::string &Id, JobState Wanted) {
  for (int Host = 0; Host < Bed.hosts(); ++Host) {
    if (!Bed.host(Host).Process || Bed.host(Host).IsPaused)
      continue;
    Result<JobState> State = Bed.state(Host, Id);
    if (State.has_value())
      return State.value() == Wanted;
  }
  return false;
}

bool reachesState(JobTestBed &Bed, const std::string &Id, JobState Wanted,
                  milliseconds Limit = 30s) {
  return Bed.runUntil([&] { return hasState(Bed, Id, Wanted); }, Limit);
}

void checkNoViolations(const JobTestBed &Bed) {
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

int otherHost(const JobTestBed &Bed, int Host) {
  return (Host + 1) % const_cast<JobTestBed &>(Bed).hosts();
}

} // namespace

TEST_CASE("The steps of a job run in order, and each task runs once") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 3, 5)).has_value());
  CHECK(reachesState(Bed, "a", JobState::Completed));
  CHECK(Bed.Oracle.starts() == 15);
  checkNoViolations(Bed);
}

TEST_CASE(
    "After the owner's crash the new owner takes over running tasks without "
    "restarting them") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 8, 4s)).has_value());
  Bed.run(1s);
  Bed.killHost(Bed.ownerIndex());
  CHECK(reachesState(Bed, "a", JobState::Completed));
  CHECK(Bed.Oracle.starts() == 16);
  checkNoViolations(Bed);
}

TEST_CASE("Completions are acknowledged only after they are stored") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 8, 1s)).has_value());
  Bed.run(500ms);
  // The completions arrive while the store is unavailable, then the owner
  // crashes.
  Bed.Store.IsDown = true;
  Bed.run(1500ms);
  Bed.killHost(Bed.ownerIndex());
  Bed.Store.IsDown = false;
  CHECK(reachesState(Bed, "a", JobState::Completed));
  CHECK(Bed.Oracle.starts() == 8);
  checkNoViolations(Bed);
}

TEST_CASE(
    "An owner that resumes after its lease has expired breaks no invariant") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 3, 10, 1s)).has_value());
  Bed.run(600ms);
  int Owner = Bed.ownerIndex();
  Bed.pause(Owner);
  Bed.run(9s);
  Bed.resume(Owner);
  CHECK(reachesState(Bed, "a", JobState::Completed));
  checkNoViolations(Bed);
}

TEST_CASE("Tasks on an unreachable worker continue and are not started twice") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 12, 3s)).has_value());
  Bed.run(500ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.insert("w0");
  Bed.run(4s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(reachesState(Bed, "a", JobState::Completed));
  checkNoViolations(Bed);
}

TEST_CASE(
    "A new owner waits for a worker that only the previous owner can reach") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 12, 5s)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.host(OldOwner).Store->IsRefused = true;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Host != OldOwner)
      Bed.host(Host).UnreachableWorkers.insert("w1");
  CHECK(reachesState(Bed, "a", JobState::Completed, 60s));
  checkNoViolations(Bed);
}

TEST_CASE("The tasks of a crashed worker are restarted on other workers") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 12, 2s)).has_value());
  Bed.run(500ms);
  Bed.worker(0).IsDown = true;
  Bed.worker(0).crash();
  CHECK(reachesState(Bed, "a", JobState::Completed));
  checkNoViolations(Bed);
}

TEST_CASE(
    "A new incarnation of a worker is distinguished from the one before") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 8, 2s)).has_value());
  Bed.run(500ms);
  Bed.worker(0).crash();
  CHECK(reachesState(Bed, "a", JobState::Completed, 10s));
  checkNoViolations(Bed);
}

TEST_CASE("Start orders that are executed late start no task twice") {
  JobTestBed Bed({});
  for (int Worker = 0; Worker < Bed.workers(); ++Worker)
    Bed.worker(Worker).DelayedStartPercent = 30;
  Bed.run(3s);
  for (int Number = 0; Number < 10; ++Number)
    CHECK(Bed.submit(0, chainJob("job-" + std::to_string(Number), 2, 4))
              .has_value());
  Bed.run(20s);
  for (int Number = 0; Number < 10; ++Number)
    CHECK(reachesState(Bed, "job-" + std::to_string(Number),
                       JobState::Completed));
  checkNoViolations(Bed);
}

TEST_CASE("A cancellation survives the owner's crash") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 8, 60s)).has_value());
  Bed.run(500ms);
  int Owner = Bed.ownerIndex();
  int Other = otherHost(Bed, Owner);
  CHECK(Bed.cancel(Other, "a").has_value());
  Bed.killHost(Owner);
  CHECK(reachesState(Bed, "a", JobState::Cancelled));
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 0; }, 10s));
  checkNoViolations(Bed);
}

TEST_CASE(
    "A task fails after its last attempt, also if a takeover lies between "
    "attempts") {
  JobTestBed Bed({.FailPercent = 100, .MaxAttempts = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 1, 2s)).has_value());
  Bed.run(2500ms);
  Bed.killHost(Bed.ownerIndex());
  CHECK(reachesState(Bed, "a", JobState::Failed));
  CHECK(Bed.Oracle.starts() == 2);
  checkNoViolations(Bed);
}

// Guards against a lost failure: if a task was started again while its worker
// was unreachable, the completion of the later run can arrive before that of
// the earlier run. Both failures count as attempts.
TEST_CASE("All failures are counted if they arrive out of order") {
  JobTestBed Bed({.Workers = 2, .FailPercent = 100, .MaxAttempts = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 1, 3s)).has_value());
  Bed.run(500ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers = {"w0"};
  Bed.run(8s);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).UnreachableWorkers.clear();
  CHECK(reachesState(Bed, "a", JobState::Failed));
  checkNoViolations(Bed);
}

TEST_CASE("A job that fits on no worker is refused and reserves no capacity") {
  JobTestBed Bed({});
  Bed.run(3s);
  Job Value = chainJob("a", 1, 1);
  Value.Steps[0].Demand.Millicores = 900000;
  Status Answer = Bed.submit(0, Value);
  REQUIRE_FALSE(Answer.has_value());
  CHECK(Answer.error().Code == ResultCode::NeverFits);
  CHECK(Answer.error().Message.find("steps[0]") != std::string::npos);
  Result<JobState> State = Bed.state(1, "a");
  CHECK((!State.has_value() && State.error().Code == ResultCode::NotFound));
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.LogLines["job_seen"] == 0);
}

TEST_CASE("A long-running task is restarted until its job is cancelled") {
  JobTestBed Bed({});
  Bed.run(3s);
  Job Value = chainJob("a", 1, 3);
  Value.Steps[0].LongRunning = true;
  CHECK(Bed.submit(0, Value).has_value());
  Bed.run(1s);
  Bed.worker(0).crash();
  Bed.worker(1).crash();
  Bed.worker(2).crash();
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 3; }, 5s));
  CHECK(Bed.cancel(1, "a").has_value());
  CHECK(Bed.runUntil([&] { return Bed.Oracle.running() == 0; }, 5s));
  checkNoViolations(Bed);
}

// Guards against starvation of tasks that need many cores: with a steady stream
// of small tasks, one worker never has enough free cores at once unless
// capacity is reserved for the large task.
TEST_CASE("A large long-running task is placed despite many small tasks") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  for (int Number = 0; Number < 30; ++Number)
    CHECK(
        Bed.submit(0, chainJob("small-" + std::to_string(Number), 1, 4, 700ms))
            .has_value());
  Job Large = chainJob("large", 1, 1);
  Large.Steps[0].LongRunning = true;
  Large.Steps[0].Demand.Millicores = 7000;
  CHECK(Bed.submit(0, Large).has_value());
  CHECK(reachesState(Bed, "large", JobState::Running, 3s));
  checkNoViolations(Bed);
}

TEST_CASE("Work continues while the store is unavailable") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 4, 4, 1s)).has_value());
  Bed.run(300ms);
  Bed.Store.IsDown = true;
  Bed.run(4500ms);
  // The time suffices for three of the four steps.
  CHECK(Bed.Oracle.starts() >= 12);
  Bed.Store.IsDown = false;
  CHECK(reachesState(Bed, "a", JobState::Completed, 10s));
  CHECK(Bed.Oracle.starts() == 16);
  checkNoViolations(Bed);
}

TEST_CASE("A host that the store rejects loses its shards to another host") {
  JobTestBed Bed({});
  Bed.run(3s);
  int OldOwner = Bed.ownerIndex();
  Bed.host(OldOwner).Store->IsRefused = true;
  Bed.run(4s);
  CHECK(Bed.submit(otherHost(Bed, OldOwner), chainJob("a", 2, 4)).has_value());
  CHECK(reachesState(Bed, "a", JobState::Completed, 15s));
  checkNoViolations(Bed);
}

TEST_CASE("Jobs are still found after the store has dropped its history") {
  JobTestBed Bed({});
  Bed.run(3s);
  Bed.Store.dropHistory();
  CHECK(Bed.submit(0, chainJob("a", 2, 4)).has_value());
  Bed.Store.dropHistory();
  CHECK(reachesState(Bed, "a", JobState::Completed, 10s));
  checkNoViolations(Bed);
}

TEST_CASE("The number of waiting jobs is unknown while a shard has no owner") {
  JobTestBed Bed({});
  Bed.run(3s);
  int Owner = Bed.ownerIndex();
  int Other = otherHost(Bed, Owner);
  CHECK(Bed.host(Other).Process->pending("queue") == 0);
  Bed.killHost(Owner);
  Bed.run(2200ms);
  CHECK(Bed.runUntil(
      [&] { return Bed.host(Other).Process->pending("queue").has_value(); },
      6s));
}

TEST_CASE("A host that leaves hands its shards over at once") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 4, 4, 1s)).has_value());
  Bed.run(500ms);
  int OldOwner = Bed.ownerIndex();
  Bed.host(OldOwner).Process->leave();
  CHECK(Bed.runUntil(
      [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != OldOwner; },
      1s));
  CHECK(reachesState(Bed, "a", JobState::Completed, 10s));
  CHECK(Bed.Oracle.starts() == 16);
  checkNoViolations(Bed);
}

TEST_CASE(
    "A restarted process on the same host takes over without a time-out") {
  JobTestBed Bed({.Hosts = 1});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 2, 4, 2s)).has_value());
  Bed.run(500ms);
  Bed.killHost(0);
  Bed.startHost(0);
  CHECK(Bed.runUntil([&] { return Bed.ownerIndex() == 0; }, 1800ms));
  CHECK(reachesState(Bed, "a", JobState::Completed, 10s));
  CHECK(Bed.Oracle.starts() == 8);
  checkNoViolations(Bed);
}

TEST_CASE("All tasks of a gang start together or none does") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  Job Gang = chainJob("gang", 1, 4, 2s);
  Gang.Steps[0].Gang = true;
  Gang.Steps[0].Demand.Millicores = 4000;
  Job Blocker = chainJob("blocker", 1, 1, 3s);
  CHECK(Bed.submit(0, Blocker).has_value());
  Bed.run(300ms);
  CHECK(Bed.submit(0, Gang).has_value());
  Bed.run(1500ms);
  // One task of the gang does not fit while the blocker runs, so none starts.
  CHECK(Bed.Oracle.starts() == 1);
  CHECK(reachesState(Bed, "gang", JobState::Completed, 15s));
  CHECK(Bed.Oracle.starts() == 5);
  checkNoViolations(Bed);
}

TEST_CASE("An occurrence of a repeated job does not start before its scheduled "
          "time") {
  JobTestBed Bed({});
  Bed.run(3s);
  Job Timed = chainJob("timed", 1, 1, 100ms);
  Timed.Repetitions = 2;
  Timed.FirstRun =
      std::chrono::duration_cast<milliseconds>(Bed.now().time_since_epoch()) +
      milliseconds(2000);
  Timed.Interval = 3s;
  CHECK(Bed.submit(0, Timed).has_value());
  Bed.run(1500ms);
  CHECK(Bed.Oracle.starts() == 0);
  Bed.run(1s);
  CHECK(Bed.Oracle.starts() == 1);
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 2);
  CHECK(reachesState(Bed, "timed", JobState::Completed, 3s));
}

// Half of the workers are not approved for the queue's steps, and approvals
// expire while the job still has tasks to start.
TEST_CASE("Steps that need approval run only where they are approved") {
  JobTestBed Bed({.ApprovalValidity = 1500ms});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 4, 12, 900ms)).has_value());
  CHECK(reachesState(Bed, "a", JobState::Completed, 30s));
  CHECK(Bed.Oracle.starts() == 48);
  // One call for each step, and additional calls for expired approvals.
  CHECK(Bed.ApprovalCalls >= 4);
  CHECK(Bed.ApprovalCalls <= 24);
  checkNoViolations(Bed);
}

TEST_CASE("A new incarnation of a worker needs a new approval") {
  JobTestBed Bed({.Workers = 2, .ApprovalValidity = 60s});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 3, 2, 2s)).has_value());
  Bed.run(1s);
  // Only worker w0 is approved.
  Bed.worker(0).crash();
  CHECK(reachesState(Bed, "a", JobState::Completed, 40s));
  checkNoViolations(Bed);
}

TEST_CASE("Work waits while the approval service is unavailable and resumes "
          "afterwards") {
  JobTestBed Bed({.ApprovalValidity = 3s});
  Bed.AreApprovalsDown = true;
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 4)).has_value());
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.ApprovalCalls > 3);
  CHECK(Bed.ApprovalCalls < 25);
  Bed.AreApprovalsDown = false;
  CHECK(reachesState(Bed, "a", JobState::Completed, 5s));
  checkNoViolations(Bed);
}

TEST_CASE("Approved work continues after the owner's crash") {
  JobTestBed Bed({.ApprovalValidity = 2s});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 3, 8, 1s)).has_value());
  Bed.run(1200ms);
  Bed.killHost(Bed.ownerIndex());
  CHECK(reachesState(Bed, "a", JobState::Completed, 40s));
  checkNoViolations(Bed);
}

// Guards against start orders that expire in transit: after a takeover hundreds
// of tasks are due. When all start orders were sent at once, they reached the
// workers after their lease had expired, were rejected and had to be sent
// again.
TEST_CASE("Start orders are sent no faster than they are answered") {
  // An order and its reply take 4 ms of the host's processor, so that 125 fit
  // into the lease of a start order.
  JobTestBed Bed({.Workers = 40, .ProcessorTimePerOrder = 2ms});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 300, 2s)).has_value());
  CHECK(reachesState(Bed, "a", JobState::Completed, 20s));
  const HostTaskWorkers &Sender = *Bed.host(Bed.ownerIndex()).Workers;
  CHECK(Sender.maxStartsInFlight() <= 64);
  CHECK(Sender.maxStartsInFlight() >= 16);
  CHECK(Sender.expiredStarts() == 0);
  CHECK(Bed.Oracle.starts() == 300);
  checkNoViolations(Bed);
}

// A round considers a bounded number of steps. Guards against a backlog that
// does not fit and uses up this number in every round, so that tasks that do
// fit wait although cores are idle.
TEST_CASE("A task that fits does not wait behind a backlog that does not fit") {
  JobTestBed Bed({.Workers = 2});
  Bed.run(3s);
  Job Blocker = chainJob("blocker", 1, 2, 20s);
  Blocker.Steps[0].Demand.Millicores = 6000;
  // Long-running, so that no capacity is reserved for the large tasks, which
  // can never fit while the blocker runs.
  Blocker.Steps[0].LongRunning = true;
  CHECK(Bed.submit(0, Blocker).has_value());
  Bed.run(300ms);
  REQUIRE(Bed.Oracle.starts() == 2);
  for (int Number = 0; Number < 60; ++Number) {
    Job Large = chainJob("large" + std::to_string(Number), 1, 1, 4s);
    Large.Steps[0].Demand.Millicores = 4000;
    CHECK(Bed.submit(0, Large).has_value());
  }
  Bed.run(1200ms);
  // Ranked last, since this job is the most work.
  CHECK(Bed.submit(0, chainJob("small", 1, 1, 60s)).has_value());
  Bed.run(1s);
  CHECK(Bed.Oracle.starts() == 3);
}

namespace {

/// Stops and restarts all hosts one after the other, one each two seconds,
/// beginning with \p First. Returns how often the only shard changed its owner.
int ownerChangesInRollingRestart(JobTestBed &Bed, int First) {
  int Changes = 0;
  int Owner = Bed.ownerIndex();
  auto RunAndCount = [&](milliseconds Span) {
    for (milliseconds Passed{0}; Passed < Span; Passed += 20ms) {
      Bed.run(20ms);
      int Now = Bed.ownerIndex();
      Changes += Now >= 0 && Now != Owner;
      Owner = Now >= 0 ? Now : Owner;
    }
  };
  for (int I = 0; I < Bed.hosts(); ++I) {
    int Host = (First + I) % Bed.hosts();
    Bed.host(Host).Process->leave();
    RunAndCount(400ms);
    Bed.host(Host).Process->removeOwnRow();
    RunAndCount(100ms);
    Bed.killHost(Host);
    RunAndCount(100ms);
    Bed.startHost(Host);
    RunAndCount(1400ms);
  }
  RunAndCount(20s);
  return Changes;
}

} // namespace

// Guards against a handover to a host that has its own stop ahead. Two changes
// are needed if the owner stops first.
TEST_CASE("A rolling restart of the hosts changes the owner twice at most") {
  constexpr int Hosts = 7;
  constexpr int Rounds = 4;
  int Sum = 0;
  for (int First = 0; First < Hosts; ++First) {
    JobTestBed Bed({.Hosts = Hosts});
    Bed.run(12s);
    for (int Round = 0; Round < Rounds; ++Round) {
      int Changes = ownerChangesInRollingRestart(Bed, First);
      Sum += Changes;
      CAPTURE(First);
      CAPTURE(Round);
      CHECK(Changes <= 2);
    }
  }
  MESSAGE(Sum << " changes in " << Hosts * Rounds << " rolling restarts");
}

namespace {

/// Lets the store answer slowly from now on. Returns true if the owner is
/// unchanged after ten seconds.
bool keepsOwnerWithSlowStore(JobTestBed &Bed, milliseconds Delay) {
  int Owner = Bed.ownerIndex();
  Bed.Store.Delay = Delay;
  Bed.run(10s);
  return Owner >= 0 && Bed.ownerIndex() == Owner;
}

} // namespace

// Guards against a wait that began anew with each slow read of the hosts' rows,
// so that a shard without an owner stayed without one.
TEST_CASE("A dead owner is replaced while the store is slow") {
  for (milliseconds Delay : {300ms, 550ms, 700ms, 1000ms}) {
    CAPTURE(Delay.count());
    JobTestBed Bed({});
    Bed.run(5s);
    CHECK(keepsOwnerWithSlowStore(Bed, Delay));
    int Owner = Bed.ownerIndex();
    Bed.killHost(Owner);
    // Four reads show that the owner's row does not change; a claim and the
    // read of the shard's rows follow.
    constexpr int RoundTrips = 8;
    CHECK(Bed.runUntil(
        [&] { return Bed.ownerIndex() >= 0 && Bed.ownerIndex() != Owner; },
        2 * Delay * RoundTrips));
  }
}

// Guards against hosts that are considered dead because the store was hung.
TEST_CASE("A store that hangs for a time makes no host look dead") {
  for (milliseconds Hang = 500ms; Hang <= 6s; Hang += 250ms) {
    CAPTURE(Hang.count());
    JobTestBed Bed({});
    Bed.run(5s);
    int Owner = Bed.ownerIndex();
    Bed.Store.Delay = Hang;
    Bed.run(20ms);
    Bed.run(Hang);
    Bed.Store.Delay = 4ms;
    Bed.run(10s);
    CHECK(Bed.ownerIndex() == Owner);
    CHECK(Bed.host(Owner).Process->counts().Polls > 0);
  }
}

// Guards against a new process that does not know a worker which left the list
// between the end of the previous owner and its own start, and still runs
// tasks.
TEST_CASE("A worker that left the list before the owner started runs on "
          "without a second start of its tasks") {
  JobTestBed Bed({.Hosts = 1, .Workers = 2});
  Bed.run(3s);
  CHECK(Bed.submit(0, chainJob("a", 1, 8, 4s)).has_value());
  Bed.run(1s);
  Bed.killHost(0);
  Bed.setWorkerListed(1, false);
  Bed.startHost(0);
  CHECK(reachesState(Bed, "a", JobState::Completed, 30s));
  checkNoViolations(Bed);
}
