#include "basilchute/jobfrontend.h"
#include "libbasilchute/jobrows.h"
#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

Job validJob() { return chainJob("0123456789abcdef", 2, 2); }

/// A frontend at a store whose rows only the test changes otherwise: there is
/// no host.
class LoneFrontend {
public:
  explicit LoneFrontend(bool CanSpanPartitions, int Shard = 0)
      : m_hasIndex(CanSpanPartitions),
        m_bed(
            {.Hosts = 0, .Workers = 0, .CanSpanPartitions = CanSpanPartitions}),
        m_time(m_bed),
        m_store(m_bed.Store,
                [this](milliseconds Delay, std::function<void()> Action) {
                  m_bed.later(Delay, std::move(Action));
                }),
        m_frontend(
            {.ChooseShard = [Shard](const Job &) { return Shard; },
             .CanSpanPartitions = CanSpanPartitions,
             .RunAfter =
                 [this](milliseconds Delay, std::function<void()> Action) {
                   m_bed.later(Delay, std::move(Action));
                 },
             .WallTime = [] { return 0ms; }},
            m_store, m_time) {}

  /// Begins a submission; submitted() tells how it ended.
  void submit(milliseconds Within = Timeout) {
    m_frontend.submit(validJob(), m_bed.now() + Within, [this](Status Outcome) {
      m_submitted.push_back(Outcome);
    });
  }
  /// Begins a cancellation; cancelled() tells how it ended.
  void cancel() {
    m_frontend.cancel(
        validJob().Id, m_bed.now() + Timeout,
        [this](Status Outcome) { m_cancelled.push_back(Outcome); });
  }
  void run(milliseconds Span) { m_bed.run(Span); }
  void askState(milliseconds Within) {
    m_frontend.state(
        validJob().Id, m_bed.now() + Within,
        [this](const Result<JobState> &State) { m_states.push_back(State); });
  }
  const std::vector<Result<JobState>> &states() const { return m_states; }
  const std::vector<Status> &submitted() const { return m_submitted; }
  const std::vector<Status> &cancelled() const { return m_cancelled; }
  ModelStore &store() { return m_bed.Store; }

  /// Removes the rows of the job from \p From; writes them to \p To, with the
  /// index row if there is one, unless that is negative.
  void move(int From, int To) {
    const std::string Id = validJob().Id;
    RowCommit Commit;
    if (From >= 0)
      Commit.Changes = {
          {.Address = jobAddress(From, Id), .IsRemoval = true},
          {.Address = progressAddress(From, Id), .IsRemoval = true}};
    if (To >= 0) {
      Commit.Changes.push_back(
          {.Address = jobAddress(To, Id), .Value = encodeJob(validJob())});
      Commit.Changes.push_back({.Address = progressAddress(To, Id),
                                .Value = encodeProgress(JobProgress{})});
    }
    if (To >= 0 && m_hasIndex)
      Commit.Changes.push_back(
          {.Address = jobIndexAddress(Id), .Value = encodeJobIndex(To)});
    REQUIRE(store().apply(Commit).has_value());
  }
  bool isCancelledAt(int Shard) {
    RowAddress Address = cancellationAddress(Shard, validJob().Id);
    return !store()
                .read({.Table = Address.Table,
                       .Partition = Address.Partition,
                       .From = Address.Key,
                       .To = Address.Key + '\x01'})
                .Rows.empty();
  }

  static constexpr milliseconds Timeout{2000};

private:
  struct BedClock : Clock {
    explicit BedClock(JobTestBed &Bed) : Bed(Bed) {}
    TimePoint now() const override { return Bed.now(); }
    JobTestBed &Bed;
  };

  bool m_hasIndex;
  JobTestBed m_bed;
  BedClock m_time;
  HostRowStore m_store;
  JobFrontend m_frontend;
  std::vector<Status> m_submitted;
  std::vector<Result<JobState>> m_states;
  std::vector<Status> m_cancelled;
};

} // namespace

TEST_CASE("An invalid job is rejected and the message names the step") {
  Job Value = validJob();
  SUBCASE("a step that depends on itself") {
    Value.Steps[1].Predecessors = {1};
    CHECK(checkJob(Value).error().Message.find("steps[1]") !=
          std::string::npos);
  }
  SUBCASE("a negative count") {
    Value.Steps[0].Count = -1;
    CHECK_FALSE(checkJob(Value).has_value());
  }
  SUBCASE("a payload of 4001 bytes") {
    Value.Payload.assign(4001, 'x');
    CHECK(checkJob(Value).error().Code == ResultCode::TooLarge);
  }
  SUBCASE("no steps") {
    Value.Steps.clear();
    CHECK_FALSE(checkJob(Value).has_value());
  }
  SUBCASE("a negative resource demand") {
    Value.Steps[0].Demand.MemoryMib = -5;
    CHECK_FALSE(checkJob(Value).has_value());
  }
}

// Guards against a job that is accepted and whose row the store refuses.
TEST_CASE(
    "A job whose row would be too large is refused when it is handed in") {
  Job Value = validJob();
  Value.Id.clear();
  Value.Steps.resize(500, Value.Steps[0]);
  CHECK(checkJob(Value).has_value());
  Value.Steps.resize(9000, Value.Steps[0]);
  CHECK(checkJob(Value).error().Code == ResultCode::TooLarge);
}

TEST_CASE("A job submitted to two hosts under one id runs once") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, validJob()).has_value());
  CHECK(Bed.submit(1, validJob()).has_value());
  CHECK(Bed.runUntil(
      [&] {
        Result<JobState> State = Bed.state(2, validJob().Id);
        return State.has_value() && State.value() == JobState::Completed;
      },
      20s));
  CHECK(Bed.Oracle.starts() == 4);
}

TEST_CASE(
    "Accepted jobs complete despite store faults; other outcomes are unknown") {
  JobTestBed Bed({.Seed = 5});
  Bed.run(3s);
  Bed.Store.LostReplyPercent = 40;
  Bed.Store.DelayedCommitPercent = 20;
  std::vector<std::string> Accepted;
  for (int Number = 0; Number < 20; ++Number) {
    Job Value = chainJob("job-" + std::to_string(Number), 1, 1);
    Status Done = Bed.submit(Number % 3, Value);
    if (Done.has_value())
      Accepted.push_back(Value.Id);
    else
      CHECK(Done.error().Code == ResultCode::OutcomeUnknown);
  }
  Bed.Store.LostReplyPercent = 0;
  Bed.Store.DelayedCommitPercent = 0;
  Bed.run(20s);
  CHECK(Accepted.size() > 5);
  for (const std::string &Id : Accepted)
    CHECK(Bed.state(0, Id).value() == JobState::Completed);
}

TEST_CASE("Submissions fail with Unavailable while the store refuses commits "
          "and never run") {
  JobTestBed Bed({});
  Bed.run(3s);
  Bed.host(0).Store->IsCommitRefused = true;
  Status Done = Bed.submit(0, validJob());
  CHECK(Done.error().Code == ResultCode::Unavailable);
  Bed.host(0).Store->IsCommitRefused = false;
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.state(1, validJob().Id).error().Code == ResultCode::NotFound);
}

TEST_CASE("Submissions fail with OutcomeUnknown while the store is down and "
          "never run") {
  JobTestBed Bed({});
  Bed.run(3s);
  Bed.Store.IsDown = true;
  Status Done = Bed.submit(0, validJob());
  CHECK(Done.error().Code == ResultCode::OutcomeUnknown);
  Bed.Store.IsDown = false;
  Bed.run(5s);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.state(1, validJob().Id).error().Code == ResultCode::NotFound);
}

// Guards against a submission that is refused by one host and runs, because
// another host has stored it for an earlier attempt of the caller.
TEST_CASE("A host that cannot store a job does not refuse one that is stored") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.submit(0, validJob()).has_value());
  SUBCASE("the store refuses commits") {
    Bed.host(1).Store->IsCommitRefused = true;
    CHECK(Bed.submit(1, validJob()).has_value());
  }
  SUBCASE("the store refuses all calls") {
    Bed.host(1).Store->IsRefused = true;
    CHECK(Bed.submit(1, validJob()).error().Code == ResultCode::OutcomeUnknown);
  }
}

// Guards against a task that is started after the caller was told that its job
// does not exist: the store carries out the submission only after the DELETE.
TEST_CASE("A cancelled job is not stored by a submission that was on its way") {
  bool CanSpanPartitions = true;
  SUBCASE("with an index") {}
  SUBCASE("in one partition") { CanSpanPartitions = false; }
  JobTestBed Bed({.Hosts = 2, .CanSpanPartitions = CanSpanPartitions});
  Bed.run(5s);
  Job Value = validJob();
  std::optional<Status> First;
  Bed.Store.DelayedCommitPercent = 100;
  Bed.host(0).Process->frontend().submit(
      Value, Bed.now() + 100ms, [&](const Status &Answer) { First = Answer; });
  Bed.run(30ms);
  Bed.Store.DelayedCommitPercent = 0;
  CHECK(Bed.cancel(1, Value.Id).error().Code == ResultCode::NotFound);
  Bed.run(10s);
  CHECK(First->error().Code == ResultCode::OutcomeUnknown);
  CHECK(Bed.Oracle.starts() == 0);
  CHECK(Bed.submit(1, Value).error().Code == ResultCode::NotFound);
  CHECK(Bed.state(0, Value.Id).error().Code == ResultCode::NotFound);
  CHECK(Bed.cancel(0, Value.Id).error().Code == ResultCode::NotFound);
  Bed.run(3s);
  CHECK(Bed.Oracle.starts() == 0);
}

TEST_CASE("Cancelling a job that was never submitted fails with NotFound") {
  JobTestBed Bed({});
  Bed.run(3s);
  CHECK(Bed.cancel(0, "ffffffffffffffff").error().Code == ResultCode::NotFound);
}

// Guards against a host that ends by SIGSEGV: the first of the job's rows was
// looked at although the store had answered with none.
TEST_CASE("A cancellation of a job whose rows are at no shard does not end the "
          "host") {
  for (int Shards : {1, 2}) {
    CAPTURE(Shards);
    LoneFrontend Frontend(true);
    Frontend.submit();
    Frontend.run(100ms);
    REQUIRE(Frontend.submitted().size() == 1);
    Frontend.move(0, -1);
    Frontend.cancel();
    Frontend.run(300ms);
    CHECK(Frontend.cancelled().empty());
    Frontend.move(-1, Shards - 1);
    Frontend.run(LoneFrontend::Timeout);
    REQUIRE(Frontend.cancelled().size() == 1);
    CHECK(Frontend.cancelled()[0].has_value());
    CHECK(Frontend.isCancelledAt(Shards - 1));
  }
}

// Guards against the same if the rows never come back.
TEST_CASE(
    "A cancellation of a job whose rows stay away fails at its deadline") {
  for (int Shard : {0, 1}) {
    CAPTURE(Shard);
    LoneFrontend Frontend(true, Shard);
    Frontend.submit();
    Frontend.run(100ms);
    REQUIRE(Frontend.submitted().size() == 1);
    Frontend.move(Shard, -1);
    Frontend.cancel();
    Frontend.run(LoneFrontend::Timeout * 2);
    REQUIRE(Frontend.cancelled().size() == 1);
    CHECK(Frontend.cancelled()[0].error().Code == ResultCode::Unavailable);
    CHECK_FALSE(Frontend.isCancelledAt(Shard));
  }
}

// Guards against the same in the transfer as it is: one commit moves all rows,
// between the two reads of the cancellation.
TEST_CASE("A cancellation of a job that is transferred between its reads does "
          "not end the host") {
  for (milliseconds MoveAfter = 0ms; MoveAfter <= 40ms; MoveAfter += 1ms) {
    CAPTURE(MoveAfter.count());
    LoneFrontend Frontend(true);
    Frontend.submit();
    Frontend.run(100ms);
    REQUIRE(Frontend.submitted().size() == 1);
    Frontend.cancel();
    Frontend.run(MoveAfter);
    Frontend.move(0, 1);
    Frontend.run(LoneFrontend::Timeout);
    REQUIRE(Frontend.cancelled().size() == 1);
    CHECK(Frontend.cancelled()[0].has_value());
    CHECK((Frontend.isCancelledAt(0) || Frontend.isCancelledAt(1)));
  }
}

TEST_CASE("A cancellation of a job whose rows are gone bars the job if commits "
          "cannot span partitions") {
  LoneFrontend Frontend(false);
  Frontend.submit();
  Frontend.run(100ms);
  REQUIRE(Frontend.submitted().size() == 1);
  Frontend.move(0, -1);
  for (size_t Number = 1; Number <= 2; ++Number) {
    Frontend.cancel();
    Frontend.run(LoneFrontend::Timeout);
    REQUIRE(Frontend.cancelled().size() == Number);
    CHECK(Frontend.cancelled().back().error().Code == ResultCode::NotFound);
    CHECK(Frontend.isCancelledAt(0));
  }
}

// A read and a timer race to end a submission that meets a stored job: the
// timer fires 50 ms after the commit's answer, the read takes twice the delay.
TEST_CASE("A submission is answered once, whether the read or the timer comes "
          "first") {
  for (bool CanSpanPartitions : {true, false})
    for (milliseconds Delay : {1ms, 24ms, 25ms, 26ms, 60ms}) {
      CAPTURE(CanSpanPartitions);
      CAPTURE(Delay.count());
      LoneFrontend Frontend(CanSpanPartitions);
      Frontend.submit();
      Frontend.run(100ms);
      REQUIRE(Frontend.submitted().size() == 1);
      Frontend.store().Delay = Delay;
      Frontend.submit(0ms);
      Frontend.run(LoneFrontend::Timeout);
      REQUIRE(Frontend.submitted().size() == 2);
      if (Delay < 25ms)
        CHECK(Frontend.submitted()[1].has_value());
      if (Delay > 25ms)
        CHECK(Frontend.submitted()[1].error().Code ==
              ResultCode::OutcomeUnknown);
    }
}

// Guards against a stored job that is answered as unknown (410): it was
// transferred between the reads of its rows, and no time was left for others.
TEST_CASE("A query during a transfer near its deadline does not say that the "
          "job is unknown") {
  int Unknown = 0;
  for (milliseconds Within = 5ms; Within <= 100ms; Within += 5ms)
    for (milliseconds MoveAfter = 0ms; MoveAfter <= 40ms; MoveAfter += 1ms) {
      LoneFrontend Frontend(true);
      Frontend.submit();
      Frontend.run(100ms);
      Frontend.askState(Within);
      Frontend.run(MoveAfter);
      Frontend.move(0, 1);
      Frontend.run(LoneFrontend::Timeout);
      REQUIRE(Frontend.states().size() == 1);
      const Result<JobState> &State = Frontend.states().front();
      Unknown +=
          !State.has_value() && State.error().Code == ResultCode::NotFound;
    }
  CHECK(Unknown == 0);
}
