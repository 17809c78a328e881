// Tests of jobs that a JobShard transfers to another shard and that come back.

#include "basilchute/jobshard.h"
#include "libbasilchute/jobrows.h"
#include "testing/jobtestbed.h"

#include <doctest/doctest.h>
#include <utility>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int Home = 0;
constexpr int Other = 1;
constexpr const char *Id = "job";
constexpr Resources Small{.Millicores = 1000, .MemoryMib = 1000};
constexpr Resources Large{.Millicores = 8000, .MemoryMib = 8000};

/// A store that answers at once, except for commits and feeds if the test holds
/// them.
class HeldStore : public RowStore {
public:
  void commit(RowCommit Commit, CommitDone Done) override {
    Result<uint64_t> Answer = Rows.apply(Commit);
    if (HoldsCommits)
      m_commits.emplace_back(std::move(Done), std::move(Answer));
    else
      Done(std::move(Answer));
  }
  void read(RowRange Range, ReadDone Done) override { Done(Rows.read(Range)); }
  void readChanges(std::string Table, uint64_t Version, milliseconds,
                   ReadDone Done) override {
    m_feed = [this, Table = std::move(Table), Version, Done = std::move(Done)] {
      Done(Rows.changes(Table, Version));
    };
  }

  size_t heldCommits() const { return m_commits.size(); }
  /// Answers the held commits, with \p Instead if it is set.
  void answerCommits(std::optional<Error> Instead = std::nullopt) {
    HoldsCommits = false;
    for (auto &[Done, Answer] : std::exchange(m_commits, {}))
      Done(Instead ? Result<uint64_t>(*Instead) : Answer);
  }
  void answerFeed() {
    if (m_feed)
      std::exchange(m_feed, nullptr)();
  }

  ModelStore Rows{[](milliseconds, std::function<void()>) {}, 1};
  bool HoldsCommits = false;

private:
  std::vector<std::pair<CommitDone, Result<uint64_t>>> m_commits;
  std::function<void()> m_feed;
};

/// A worker without runs, which begins each start.
class IdleWorker : public TaskWorkers {
public:
  void start(const WorkerEntry &, StartOrder Order, StartDone) override {
    Started.push_back(Order.Task);
  }
  void stop(const WorkerEntry &, StopOrder, OrderDone) override {}
  void pace(const WorkerEntry &, PaceOrder, OrderDone) override {}
  void poll(const WorkerEntry &, PollOrder, PollDone Done) override {
    m_poll = std::move(Done);
  }
  void answerPoll(milliseconds Clock) {
    if (m_poll)
      std::exchange(m_poll,
                    nullptr)(PollReply{.Clock = Clock, .Incarnation = 7ms});
  }

  std::vector<TaskName> Started;

private:
  PollDone m_poll;
};

/// The owner of a shard whose worker is too small for the job.
class Owner {
public:
  Owner() {
    Shard.setQueues(std::make_shared<JobQueues>(
        JobQueues{{"queue", {.Name = "queue", .Service = "tasks"}}}));
    listWorker(Small);
    Shard.load();
    run(200ms);
    RowCommit Accepted;
    putJob(Accepted, Home, spec(), {});
    apply(Accepted);
  }

  static Job spec() {
    Job Out = chainJob(Id, 2, 1, 1000ms);
    for (JobStep &Step : Out.Steps)
      Step.Demand.Millicores = 4000;
    Out.Queue = "queue";
    return Out;
  }

  void listWorker(const Resources &Capacity) {
    WorkerEntry Worker{.Id = "w0", .Service = "tasks", .Capacity = Capacity};
    WorkerEntry Elsewhere{.Id = "w1", .Service = "tasks", .Capacity = Large};
    Shard.setWorkers({Worker}, {Worker, Elsewhere});
  }

  void run(milliseconds Span) {
    for (milliseconds Step{0}; Step < Span; Step += 25ms) {
      Time.advance(25ms);
      Workers.answerPoll(std::chrono::duration_cast<milliseconds>(
          Time.now().time_since_epoch()));
      Shard.tick();
    }
  }

  /// Runs until the transfer has taken effect; its answer is still under way.
  void transfer() {
    Store.HoldsCommits = true;
    Store.answerFeed();
    run(1s);
    REQUIRE(Store.heldCommits() == 1);
    REQUIRE(Target == Other);
    Target = -1;
  }

  /// Does what the owner of the other shard does to send the job back.
  void sendBack(const JobProgress &Progress) {
    RowCommit Back;
    for (const RowAddress &Address :
         {jobAddress(Other, Id), progressAddress(Other, Id)})
      Back.Changes.push_back({.Address = Address, .IsRemoval = true});
    Job Moved = spec();
    Moved.WaitedBeforeTransfer = 1s;
    Moved.HadStarted = Progress.State != JobState::Queued;
    putJob(Back, Home, Moved, Progress);
    apply(Back);
  }

  ManualClock Time;
  HeldStore Store;
  IdleWorker Workers;
  int Target = Other;

private:
  static void putJob(RowCommit &Commit, int Shard, const Job &Spec,
                     const JobProgress &Progress) {
    Commit.Changes.push_back(
        {.Address = jobAddress(Shard, Id), .Value = encodeJob(Spec)});
    Commit.Changes.push_back({.Address = progressAddress(Shard, Id),
                              .Value = encodeProgress(Progress)});
    Commit.Changes.push_back(
        {.Address = jobIndexAddress(Id), .Value = encodeJobIndex(Shard)});
  }
  void apply(const RowCommit &Commit) {
    REQUIRE(Store.Rows.apply(Commit).has_value());
  }
  uint64_t claim() {
    RowCommit Claim;
    Claim.Changes.push_back({.Address = shardOwnerAddress(Home),
                             .Value = encodeShardOwner("host")});
    return Store.Rows.apply(Claim).value();
  }

public:
  JobShard Shard{
      {.Shard = Home,
       .Epoch = claim(),
       .ChooseTransferTarget = [this](const Job &) { return Target; }},
      Store,
      Workers,
      nullptr,
      Time};
};

} // namespace

// Guards against a job that no owner knows until the next takeover: the row
// with which it came back was taken for the one that the owner still had.
TEST_CASE("A job that comes back before its transfer is answered runs") {
  Owner Test;
  Test.transfer();
  Test.sendBack({});
  Test.Store.answerFeed();
  Test.Store.answerCommits();
  CHECK(Test.Shard.state(Id) == JobState::Queued);
  Test.listWorker(Large);
  Test.run(300ms);
  CHECK(Test.Workers.Started == std::vector<TaskName>{{Id, 0, 0, 0}});
}

TEST_CASE("A job that comes back after its transfer is answered runs") {
  Owner Test;
  Test.transfer();
  Test.sendBack({});
  Test.Store.answerCommits();
  CHECK(Test.Shard.state(Id) == std::nullopt);
  Test.Store.answerFeed();
  Test.listWorker(Large);
  Test.run(300ms);
  CHECK(Test.Workers.Started == std::vector<TaskName>{{Id, 0, 0, 0}});
}
