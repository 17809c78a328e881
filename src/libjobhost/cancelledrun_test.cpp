// Tests of jobs that are cancelled while orders to their workers or the answers
// are late or lost.

#include "basilchute/jobshard.h"
#include "libbasilchute/handover.h"
#include "libbasilchute/jobrows.h"
#include "testing/longjobs.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

const TaskName FirstTask{"lasting", 0, 0, 0};

/// A test bed in which the answers to start orders are late by \p ReplyDelay,
/// and a job with one long-running task that has just begun.
struct BegunTask {
  explicit BegunTask(milliseconds ReplyDelay)
      : Bed({.Hosts = 2,
             .Workers = 7,
             .Trace = std::getenv("BASILCHUTE_TRACE") != nullptr}) {
    Bed.run(3s);
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      Bed.host(Host).StartReplyDelay = ReplyDelay;
    REQUIRE(Bed.submit(0, longRunningJob("lasting", 1)).has_value());
    REQUIRE(Bed.runUntil([&] { return isRunning(); }, 2s));
    Worker = Bed.Oracle.workerOf(FirstTask);
  }
  bool isRunning() const { return !Bed.Oracle.workerOf(FirstTask).empty(); }
  void cut() {
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      Bed.host(Host).UnreachableWorkers.insert(Worker);
  }
  void endCut() {
    for (int Host = 0; Host < Bed.hosts(); ++Host)
      Bed.host(Host).UnreachableWorkers.clear();
  }

  JobTestBed Bed;
  std::string Worker;
};

} // namespace

// Guards against a stop order that is lost while the answer to the start is
// missing: the run was then taken to run as wanted, for good.
TEST_CASE("A task of a cancelled job ends although the answer to its start and "
          "the stop order were lost") {
  for (milliseconds CancelAfter : {0ms, 100ms, 300ms, 450ms, 700ms, 1500ms}) {
    CAPTURE(CancelAfter.count());
    BegunTask Begun(1s);
    JobTestBed &Bed = Begun.Bed;
    Begun.cut();
    Bed.run(CancelAfter);
    REQUIRE(Bed.cancel(0, "lasting").has_value());
    Bed.run(2500ms - CancelAfter);
    Begun.endCut();
    CHECK(Bed.runUntil([&] { return !Begun.isRunning(); }, StopCheck::EndTime));
    Bed.run(15s);
    CHECK_FALSE(Begun.isRunning());
    checkNoViolations(Bed);
  }
}

// Guards against the same if the answer to the start is only late.
TEST_CASE("A task of a cancelled job ends although the answer to its start "
          "arrives after the stop order was lost") {
  for (milliseconds ReplyDelay : {100ms, 200ms, 300ms, 400ms, 480ms}) {
    CAPTURE(ReplyDelay.count());
    BegunTask Begun(ReplyDelay);
    JobTestBed &Bed = Begun.Bed;
    Begun.cut();
    REQUIRE(Bed.cancel(0, "lasting").has_value());
    Bed.run(30ms);
    Begun.endCut();
    CHECK(Bed.runUntil([&] { return !Begun.isRunning(); }, StopCheck::EndTime));
    Bed.run(10s);
    CHECK_FALSE(Begun.isRunning());
    checkNoViolations(Bed);
  }
}

// Guards against the same on a worker that leaves: its task was to move, and
// the stop order was lost.
TEST_CASE("A task moves off a draining worker although the answer to its start "
          "and a stop order were lost") {
  BegunTask Begun(1s);
  JobTestBed &Bed = Begun.Bed;
  Bed.run(700ms);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Bed.host(Host).StartReplyDelay = 0ms;
  ModelWorker &Leaving = *Bed.workerById(Begun.Worker);
  Leaving.Entry.IsDraining = true;
  Begun.cut();
  Bed.publishWorkers();
  Bed.run(1s);
  Begun.endCut();
  CHECK(Bed.runUntil(
      [&] { return Bed.Oracle.workerOf(FirstTask) != Begun.Worker; }, 3s));
  CHECK(Bed.runUntil([&] { return Begun.isRunning(); }, 3s));
  checkNoViolations(Bed);
}

// Guards against a new owner that takes the run of a cancelled job over.
TEST_CASE("A task of a cancelled job ends although its owner was killed when "
          "the stop order was lost") {
  for (milliseconds KillAfter : {0ms, 50ms, 300ms}) {
    CAPTURE(KillAfter.count());
    BegunTask Begun(1s);
    JobTestBed &Bed = Begun.Bed;
    Begun.cut();
    REQUIRE(Bed.cancel(0, "lasting").has_value());
    Bed.run(KillAfter);
    Bed.killHost(Bed.ownerIndex());
    Begun.endCut();
    CHECK(Bed.runUntil([&] { return !Begun.isRunning(); }, 6s));
    Bed.run(5s);
    CHECK_FALSE(Begun.isRunning());
    checkNoViolations(Bed);
  }
}

namespace {

/// A store with one job that has not started; it tells the test of the calls to
/// be answered.
class OneJobStore : public RowStore {
public:
  explicit OneJobStore(const Job &Value) : m_job(Value) {}
  void commit(RowCommit, CommitDone Done) override { Done(++m_version); }
  void read(RowRange Range, ReadDone Done) override {
    RowPage Page{.Version = m_version};
    if (Range.Table == jobTable(0))
      Page.Rows.push_back({.Address = jobAddress(0, m_job.Id),
                           .Value = encodeJob(m_job),
                           .Version = 1});
    if (Range.Table == ProgressTable)
      Page.Rows.push_back({.Address = progressAddress(0, m_job.Id),
                           .Value = encodeProgress({}),
                           .Version = 1});
    Done(Page);
  }
  void readChanges(std::string, uint64_t, milliseconds,
                   ReadDone Done) override {
    m_feed = std::move(Done);
  }
  void cancelJob() {
    RowPage Page{.Version = ++m_version};
    Page.Rows.push_back(
        {.Address = cancellationAddress(0, m_job.Id), .Version = m_version});
    std::exchange(m_feed, nullptr)(Page);
  }

private:
  Job m_job;
  uint64_t m_version = 5;
  ReadDone m_feed;
};

/// A worker that begins every task, and whose polls the test answers.
class OneWorker : public TaskWorkers {
public:
  void start(const WorkerEntry &, StartOrder Order, StartDone Done) override {
    Running.push_back({.Task = Order.Task, .Run = Order.Run, .Percent = 100});
    Done(StartReply{.Clock = Clock});
  }
  void stop(const WorkerEntry &, StopOrder, OrderDone) override { ++Stops; }
  void pace(const WorkerEntry &, PaceOrder, OrderDone) override {}
  void poll(const WorkerEntry &, PollOrder, PollDone Done) override {
    m_done = std::move(Done);
  }
  void answerPoll() {
    std::exchange(m_done, nullptr)(PollReply{
        .Clock = Clock, .Incarnation = milliseconds(7), .Running = Running});
  }

  std::vector<RunningTask> Running;
  milliseconds Clock{0};
  int Stops = 0;

private:
  PollDone m_done;
};

} // namespace

// Guards against a cancellation that is seen while a handover is under way: no
// orders are sent then, and nothing was sent after it had failed.
TEST_CASE("A task of a job that is cancelled during a handover is stopped when "
          "the handover has failed") {
  Job Lasting = longRunningJob("lasting", 1);
  ManualClock Time;
  OneJobStore Store(Lasting);
  OneWorker Worker;
  JobShard Shard({.Epoch = 5}, Store, Worker, nullptr, Time);
  auto Queues = std::make_shared<JobQueues>();
  (*Queues)[Lasting.Queue] = {.Name = Lasting.Queue, .Service = "service"};
  Shard.setQueues(Queues);
  WorkerEntry Entry{.Id = "w0",
                    .Service = "service",
                    .Capacity = {.Millicores = 4000, .MemoryMib = 8000}};
  Shard.setWorkers({Entry}, {Entry});
  Shard.load();
  auto Advance = [&](milliseconds Step) {
    Time.advance(Step);
    Worker.Clock += Step;
    Shard.tick();
  };
  for (int Round = 0; Round < 20 && Worker.Running.empty(); ++Round) {
    Advance(50ms);
    if (Round % 5 == 0)
      Worker.answerPoll();
  }
  REQUIRE(Worker.Running.size() == 1);
  Advance(1s);
  Worker.answerPoll();
  REQUIRE(Shard.handOver().has_value());
  Store.cancelJob();
  CHECK(Worker.Stops == 0);
  Shard.resume();
  Advance(1s);
  Worker.answerPoll();
  CHECK(Worker.Stops == 1);
}
