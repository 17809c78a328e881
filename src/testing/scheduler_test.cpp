// Failure tests of the scheduler core on fake ports and a virtual clock.

#include "testing/testbed.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

void checkNoViolations(TestBed &Bed) {
  for (const std::string &Violation : Bed.oracle().violations())
    FAIL_CHECK(Violation);
}

} // namespace

TEST_CASE("a job's tasks run once each and finish") {
  TestBed Bed({});
  TestJob Job{.Name = "cut", .Shard = "a.0", .Tasks = 30};
  Bed.submit(Job);
  CHECK(Bed.runUntil([&] { return Bed.jobFinished(Job); }, 40s));
  CHECK(Bed.oracle().starts().size() == 30);
  CHECK(Bed.tables().scan("task/").empty());
  checkNoViolations(Bed);
}

TEST_CASE("a service's replicas run in several failure domains") {
  TestBed Bed({});
  Bed.configure(1,
                {{.Name = "orders",
                  .Replicas = 3,
                  .Demand = {.Millicores = 1000, .MemoryMib = 500}}},
                {});
  CHECK(Bed.runUntil([&] { return Bed.runningReplicas("orders") == 3; }, 20s));
  Bed.run(3s);
  std::set<std::string> Domains;
  for (TestNode &Node : Bed.nodes())
    for (const ReplicaRoute &Route : Node.Core->routes())
      Domains.insert(Route.FailureDomain);
  CHECK(Domains.size() == 3);
  checkNoViolations(Bed);
}

namespace {

/// Pauses a node after it committed a placement and before it sends the start
/// order. Its shard is then taken over, and all workers restart with empty
/// state, before the node resumes.
void resumePreviousOwnerWithPendingStart(TestBed &Bed) {
  TestJob Job{.Name = "cut", .Shard = "a.0", .Work = 60s};
  size_t Owner = 0;
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    for (const std::string &Shard : Bed.nodes()[I].Core->ownedShards())
      if (Shard == Job.Shard)
        Owner = I;
  Bed.submit(Job);
  Bed.runUntil([&] { return !Bed.tables().scan("task/a.0/").empty(); }, 5s);
  Bed.pauseNode(Owner);
  Bed.runUntil([&] { return Bed.oracle().starts().contains("cut/0"); }, 30s);
  Bed.nodes()[Owner].IsCutFromStore = true;
  for (const std::string &Worker : Bed.workerNames())
    Bed.restartWorker(Worker);
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    if (I != Owner)
      Bed.pauseNode(I);
  Bed.resumeNode(Owner);
  Bed.run(6s);
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    if (I != Owner)
      Bed.resumeNode(I);
  Bed.run(6s);
}

} // namespace

TEST_CASE("a resumed previous owner does not send its pending start order") {
  TestBed Bed({});
  Bed.run(3s);
  resumePreviousOwnerWithPendingStart(Bed);
  checkNoViolations(Bed);
}

namespace {

bool allFinished(const TestBed &Bed, const std::vector<TestJob> &Jobs) {
  return std::all_of(Jobs.begin(), Jobs.end(),
                     [&](const TestJob &Job) { return Bed.jobFinished(Job); });
}

/// Submits one job of long tasks to every shard.
std::vector<TestJob> longJobs(TestBed &Bed, uint32_t Tasks, milliseconds Work) {
  std::vector<TestJob> Jobs;
  for (const std::string &Shard : Bed.layout().shards())
    Jobs.push_back({.Name = fmt::format("long-{}", Jobs.size()),
                    .Shard = Shard,
                    .Tasks = Tasks,
                    .Work = Work});
  for (const TestJob &Job : Jobs)
    Bed.submit(Job);
  return Jobs;
}

} // namespace

TEST_CASE("the loss of the reply to any single commit is tolerated") {
  // The first run counts the commits; each further run loses the reply to one
  // of them.
  uint64_t Commits = 0;
  for (uint64_t Lost = 0; Lost <= Commits; ++Lost) {
    TestBed Bed({.Schedulers = 2, .Domains = 2, .WorkersPerDomain = 2});
    Bed.LoseReplyOfCommit = Lost;
    std::vector<TestJob> Jobs = longJobs(Bed, 4, 2s);
    Bed.run(4s);
    Bed.configure(1,
                  {{.Name = "orders",
                    .Replicas = 2,
                    .Demand = {.Millicores = 1000, .MemoryMib = 500}}},
                  {});
    Bed.run(4s);
    Bed.restartNode(0);
    CAPTURE(Lost);
    CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 40s));
    CHECK(
        Bed.runUntil([&] { return Bed.runningReplicas("orders") == 2; }, 40s));
    checkNoViolations(Bed);
    for (const auto &[Task, Starts] : Bed.oracle().starts())
      CHECK(Starts == 1);
    // A write that took effect must not be mistaken for a lost race.
    for (TestNode &Node : Bed.nodes())
      CHECK(Node.Core->counters().LostShards == 0);
    if (Lost == 0)
      Commits = Bed.commits();
  }
  CHECK(Commits > 10);
}

TEST_CASE("jobs survive a store outage of 30 minutes in which owners and "
          "workers die") {
  TestBed Bed({.GrantHorizon = std::chrono::hours(1)});
  std::vector<TestJob> Jobs = longJobs(Bed, 3, std::chrono::minutes(40));
  Bed.run(6s);
  Bed.IsStoreDown = true;
  Bed.run(10min);
  Bed.killNode(0);
  Bed.run(5min);
  Bed.setWorkerDead("a-w0", true);
  Bed.run(15min);
  // Tasks of live owners kept running during the outage; the leases of tasks
  // of the dead owner expired.
  Bed.IsStoreDown = false;
  Bed.startNode(0);
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 3h));
  checkNoViolations(Bed);
}

TEST_CASE("the tasks of a lost rack run again on other workers") {
  TestBed Bed({.WorkersPerDomain = 10});
  std::vector<TestJob> Jobs = longJobs(Bed, 30, 20s);
  Bed.run(6s);
  // A rack has eight workers.
  for (int I = 0; I < 8; ++I)
    Bed.setWorkerDead(fmt::format("b-w{}", I), true);
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 120s));
  checkNoViolations(Bed);
}

TEST_CASE("services survive the loss of a failure domain and its scheduler") {
  TestBed Bed({});
  Bed.configure(1,
                {{.Name = "orders",
                  .Replicas = 6,
                  .Demand = {.Millicores = 1000, .MemoryMib = 500}}},
                {});
  CHECK(Bed.runUntil([&] { return Bed.runningReplicas("orders") == 6; }, 20s));
  for (const std::string &Worker : Bed.workerNames())
    if (Worker.starts_with("c-"))
      Bed.setWorkerDead(Worker, true);
  Bed.killNode(2);
  Bed.run(8s);
  CHECK(Bed.runningReplicas("orders") == 4);
  CHECK(Bed.ownedShards() == 3);
  for (const std::string &Worker : Bed.workerNames())
    Bed.setWorkerDead(Worker, false);
  CHECK(Bed.runUntil([&] { return Bed.runningReplicas("orders") == 6; }, 90s));
  checkNoViolations(Bed);
}

TEST_CASE("a rolling restart of all schedulers interrupts no task") {
  TestBed Bed({});
  std::vector<TestJob> Jobs = longJobs(Bed, 4, 90s);
  Bed.run(6s);
  for (size_t I = 0; I < Bed.nodes().size(); ++I) {
    Bed.restartNode(I);
    Bed.run(20s);
  }
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 120s));
  checkNoViolations(Bed);
  // Every task ran without interruption.
  for (const auto &[Task, Starts] : Bed.oracle().starts())
    CHECK(Starts == 1);
}

TEST_CASE("5000 jobs cancelled at once end within a minute") {
  TestBed Bed({.WorkersPerDomain = 10});
  Bed.run(3s);
  std::vector<TestJob> Jobs;
  std::vector<std::string> Shards = Bed.layout().shards();
  for (int I = 0; I < 5000; ++I)
    Jobs.push_back({.Name = fmt::format("j{}", I),
                    .Shard = Shards[I % Shards.size()],
                    .Tasks = 2,
                    .Work = 600s});
  for (const TestJob &Job : Jobs)
    Bed.submit(Job);
  Bed.run(5s);
  for (const TestJob &Job : Jobs)
    Bed.cancel(Job);
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 60s));
  uint32_t Running = 0;
  for (auto &[Name, Model] : Bed.workers())
    Running += Model.used().Millicores > 0;
  CHECK(Running == 0);
  checkNoViolations(Bed);
}

TEST_CASE(
    "jobs finish although the host list has dead workers and omits live ones") {
  TestBed Bed({});
  std::vector<TestJob> Jobs = longJobs(Bed, 6, 15s);
  Bed.run(6s);
  Bed.setWorkerDead("a-w1", true);
  Bed.HiddenHosts = {"b-w0", "b-w1"};
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 90s));
  checkNoViolations(Bed);
}

TEST_CASE(
    "tasks on a worker unreachable for its new owner run until the horizon") {
  TestBed Bed({.GrantHorizon = 40s});
  TestJob Job{.Name = "cut", .Shard = "a.0", .Tasks = 1, .Work = 300s};
  Bed.run(3s);
  Bed.submit(Job);
  Bed.run(3s);
  size_t Owner = 0;
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    for (const std::string &Shard : Bed.nodes()[I].Core->ownedShards())
      if (Shard == "a.0")
        Owner = I;
  // The previous owner reaches the workers but not the store. The other nodes
  // reach the store but not the workers.
  Bed.nodes()[Owner].IsCutFromStore = true;
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    if (I != Owner)
      for (const std::string &Worker : Bed.workerNames())
        if (Worker.starts_with("a-"))
          Bed.nodes()[I].CutWorkers.insert(Worker);
  Bed.run(30s);
  CHECK(Bed.oracle().starts().at("cut/0") == 1);
  uint32_t Running = 0;
  for (auto &[Name, Model] : Bed.workers())
    Running += Model.used().Millicores > 0;
  CHECK(Running == 1);
  Bed.run(60s);
  checkNoViolations(Bed);
}

TEST_CASE("waiting and interrupted tasks move to a shard with free capacity") {
  TestBed Bed({});
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "a.0", .Tasks = 40, .Work = 20s};
  Bed.submit(Job);
  Bed.run(5s);
  // Domain a is lost permanently; the owner of its shard stays alive.
  for (const std::string &Worker : Bed.workerNames())
    if (Worker.starts_with("a-"))
      Bed.setWorkerDead(Worker, true);
  CHECK(Bed.runUntil([&] { return Bed.jobFinished(Job); }, 120s));
  CHECK(Bed.tables().scan("share/a.0/").empty());
  // The new owners knew the versions of the rows that moved with the tasks.
  for (TestNode &Node : Bed.nodes())
    CHECK(Node.Core->counters().LostShards == 0);
  checkNoViolations(Bed);
}

TEST_CASE("cancelling a job also ends its shares that moved to other shards") {
  TestBed Bed({});
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "a.0", .Tasks = 60, .Work = 600s};
  Bed.submit(Job);
  Bed.run(25s);
  CHECK(Bed.tables().scan("share/").size() > 1);
  Bed.cancel(Job);
  CHECK(Bed.runUntil([&] { return Bed.jobFinished(Job); }, 30s));
  checkNoViolations(Bed);
}

TEST_CASE("a cancelled job stays cancelled through a takeover") {
  TestBed Bed({});
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "a.0", .Tasks = 3, .Work = 600s};
  Bed.submit(Job);
  Bed.run(3s);
  // The cancellation is written while no scheduler runs.
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    Bed.killNode(I);
  Bed.cancel(Job);
  for (const std::string &Worker : Bed.workerNames())
    Bed.restartWorker(Worker);
  for (size_t I = 0; I < Bed.nodes().size(); ++I)
    Bed.startNode(I);
  CHECK(Bed.runUntil([&] { return Bed.jobFinished(Job); }, 120s));
  for (const auto &[Task, Starts] : Bed.oracle().starts())
    CHECK(Starts == 1);
  checkNoViolations(Bed);
}

namespace {

size_t ownedBy(const TestNode &Node) {
  return Node.Core ? Node.Core->ownedShards().size() : 0;
}

/// Lets node 0 own all shards and run long tasks in each, then starts the other
/// nodes. Five seconds later node 0 has shards to hand over.
std::vector<TestJob> startWithRebalancingAhead(TestBed &Bed) {
  for (size_t I = 1; I < Bed.nodes().size(); ++I)
    Bed.killNode(I);
  REQUIRE(Bed.runUntil(
      [&] { return ownedBy(Bed.nodes()[0]) == Bed.layout().shards().size(); },
      20s));
  std::vector<TestJob> Jobs = longJobs(Bed, 3, std::chrono::minutes(4));
  Bed.run(3s);
  REQUIRE(Bed.oracle().starts().size() == 3 * Jobs.size());
  for (size_t I = 1; I < Bed.nodes().size(); ++I)
    Bed.startNode(I);
  return Jobs;
}

/// Ends an outage of a minute: no task may have been stopped, and the shards
/// are distributed afterwards.
void checkOutageStoppedNoTask(TestBed &Bed, const std::vector<TestJob> &Jobs) {
  Bed.IsStoreDown = true;
  Bed.run(60s);
  uint32_t Stopped = 0;
  for (auto &[Name, Model] : Bed.workers())
    for (const auto &[Id, Task] : Model.tasks())
      Stopped += Task.State != AttemptState::Running;
  CHECK(Stopped == 0);
  Bed.LostReplyPercent = 0;
  Bed.LateCommitDelay = 0ms;
  Bed.IsStoreDown = false;
  CHECK(Bed.runUntil(
      [&] {
        return std::all_of(
            Bed.nodes().begin(), Bed.nodes().end(),
            [](const TestNode &Node) { return ownedBy(Node) == 1; });
      },
      40s));
  CHECK(Bed.runUntil([&] { return allFinished(Bed, Jobs); }, 400s));
  for (const auto &[Task, Starts] : Bed.oracle().starts())
    CHECK(Starts == 1);
  checkNoViolations(Bed);
}

} // namespace

// Guards against a shard that its owner released while no other process could
// claim it: nobody extended the leases of its tasks.
TEST_CASE("an outage of the store stops no task when a rebalancing is due") {
  for (milliseconds Wait = 5s; Wait < 8s; Wait += 20ms) {
    TestBed Bed({});
    std::vector<TestJob> Jobs = startWithRebalancingAhead(Bed);
    Bed.run(Wait);
    CAPTURE(Wait.count());
    checkOutageStoppedNoTask(Bed, Jobs);
  }
}

// Guards against a release that took effect although its reply was lost in an
// outage: neither the previous owner nor a new one extended the leases.
TEST_CASE("a release whose reply is lost in an outage stops no task") {
  for (milliseconds Wait = 5s; Wait < 8s; Wait += 40ms) {
    TestBed Bed({});
    std::vector<TestJob> Jobs = startWithRebalancingAhead(Bed);
    Bed.run(Wait);
    Bed.LostReplyPercent = 100;
    Bed.run(60ms);
    CAPTURE(Wait.count());
    checkOutageStoppedNoTask(Bed, Jobs);
  }
}

// Guards against a release that takes effect long after it was sent, when its
// sender still cannot know the outcome.
TEST_CASE("a release that takes effect late in an outage stops no task") {
  for (milliseconds Delay : {1s, 20s, 59s})
    for (milliseconds Wait = 5s; Wait < 8s; Wait += 60ms) {
      TestBed Bed({});
      std::vector<TestJob> Jobs = startWithRebalancingAhead(Bed);
      Bed.run(Wait);
      Bed.LateCommitDelay = Delay;
      Bed.run(60ms);
      CAPTURE(Wait.count());
      CAPTURE(Delay.count());
      checkOutageStoppedNoTask(Bed, Jobs);
    }
}

// Guards against a claim that was decided before its sender was cut from the
// store and takes effect after the cut: the owner renewed its row in the
// meantime, so that its horizon had not ended.
TEST_CASE("a claim is not repeated after a cut from the store") {
  for (milliseconds Wait = 5s; Wait < 8s; Wait += 20ms) {
    TestBed Bed({.Schedulers = 2, .Domains = 1, .GrantHorizon = 20s});
    Bed.run(6s);
    TestJob Job{.Name = "cut", .Shard = "a.0", .Work = 300s};
    Bed.submit(Job);
    REQUIRE(Bed.runUntil(
        [&] { return Bed.oracle().starts().contains("cut/0"); }, 10s));
    size_t Owner = ownedBy(Bed.nodes()[0]) == 1 ? 0 : 1;
    TestNode &Other = Bed.nodes()[1 - Owner];
    for (auto &[Name, Model] : Bed.workers())
      if (Model.used().Millicores > 0)
        Other.CutWorkers.insert(Name);
    Bed.run(3s);
    // The other process comes to consider the owner dead, and is cut from the
    // store when it claims the shard.
    Bed.nodes()[Owner].IsCutFromStore = true;
    Bed.run(Wait);
    Other.IsCutFromStore = true;
    Bed.run(100ms);
    Bed.nodes()[Owner].IsCutFromStore = false;
    Bed.run(60s);
    Other.IsCutFromStore = false;
    Bed.run(10s);
    CAPTURE(Wait.count());
    checkNoViolations(Bed);
  }
}

// Guards against one task that does not end after its stop order: no other task
// of the shard was evicted as long as it ran.
TEST_CASE("a task that does not stop holds up no other eviction") {
  TestBed Bed({.Schedulers = 1, .Domains = 1, .WorkersPerDomain = 2});
  Bed.run(6s);
  TestJob Heavy{.Name = "heavy",
                .Shard = "a.0",
                .Tasks = 2,
                .Demand = {.Millicores = 7000, .MemoryMib = 9000},
                .Work = 300s};
  Bed.submit(Heavy);
  REQUIRE(Bed.runUntil([&] { return Bed.oracle().starts().size() == 2; }, 10s));
  Bed.run(3s);
  for (auto &[Id, Task] : Bed.workers().at("a-w0").tasks())
    Task.InFlight = 1;
  TestJob Urgent{.Name = "urgent",
                 .Shard = "a.0",
                 .Demand = {.Millicores = 4000, .MemoryMib = 2000},
                 .Work = 2s,
                 .Urgent = true};
  Bed.submit(Urgent);
  CHECK(Bed.runUntil([&] { return Bed.jobFinished(Urgent); }, 60s));
  checkNoViolations(Bed);
}
