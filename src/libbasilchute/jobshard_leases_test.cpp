// Tests of the leases that the polls of a JobShard give.

#include "basilchute/jobshard.h"
#include "libbasilchute/workerslot.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr LeaseTimes Times;
constexpr milliseconds Incarnation{7};

/// A store without rows, whose feeds stay silent.
class EmptyStore : public RowStore {
public:
  void commit(RowCommit, CommitDone Done) override {
    if (IsAway)
      Done(makeError(ResultCode::Unavailable, "the store is away"));
    else
      Done(uint64_t{1});
  }
  void read(RowRange, ReadDone Done) override { Done(RowPage{.Version = 1}); }
  void readChanges(std::string, uint64_t, milliseconds, ReadDone) override {}

  bool IsAway = false;
};

/// One worker, whose polls the test answers.
class HeldPolls : public TaskWorkers {
public:
  void start(const WorkerEntry &, StartOrder, StartDone) override {}
  void stop(const WorkerEntry &, StopOrder, OrderDone) override {}
  void pace(const WorkerEntry &, PaceOrder, OrderDone) override {}
  void poll(const WorkerEntry &, PollOrder Order, PollDone Done) override {
    Last = Order;
    m_done = std::move(Done);
  }
  void answer(milliseconds Clock, milliseconds Born = Incarnation) {
    std::exchange(m_done,
                  nullptr)(PollReply{.Clock = Clock, .Incarnation = Born});
  }

  PollOrder Last;

private:
  PollDone m_done;
};

/// The owner of a shard with one worker.
class Owner {
public:
  explicit Owner(bool IsStoreAway = false) {
    Store.IsAway = IsStoreAway;
    Shard.setWorkers({Worker}, {Worker});
    Shard.load();
    answerAfter(10ms);
    answerAfter(200ms);
  }

  /// Answers the pending poll after \p Delay and has the next one sent.
  void answerAfter(milliseconds Delay, milliseconds Born = Incarnation) {
    Time.advance(Delay);
    Workers.answer(clock(), Born);
  }
  /// Returns the lease that the pending poll gives, if any.
  std::optional<milliseconds> lease() const {
    if (!Workers.Last.LeaseUntil)
      return std::nullopt;
    return *Workers.Last.LeaseUntil - clock();
  }
  milliseconds clock() const {
    return std::chrono::duration_cast<milliseconds>(Time.now() - TimePoint(1h));
  }

  bool IsSole = true;
  size_t Published = 1;
  WorkerEntry Worker{.Id = "w0"};
  ManualClock Time;
  EmptyStore Store;
  HeldPolls Workers;
  JobShard Shard{{.Epoch = 5,
                  .IsSoleOwner = [this] { return IsSole; },
                  .PublishedWorkers = [this] { return Published; }},
                 Store,
                 Workers,
                 nullptr,
                 Time};
};

} // namespace

TEST_CASE("A sole owner gives long leases, and another one short leases") {
  Owner Test;
  CHECK(Test.lease() == Times.Sole);
  Test.IsSole = false;
  Test.answerAfter(300ms);
  CHECK(Test.lease() == Times.OnEvidence);
  Test.IsSole = true;
  Test.answerAfter(300ms);
  CHECK(Test.lease() == Times.Sole);
}

// Guards against evidence that counts from the arrival of the answer: the
// worker may have accepted the epoch at any time since the poll was sent.
TEST_CASE("A poll that is answered late is no evidence") {
  Owner Test;
  Test.IsSole = false;
  Test.answerAfter(Times.MaxEvidenceAge + 1ms);
  CHECK_FALSE(Test.lease());
  Test.answerAfter(300ms);
  CHECK(Test.lease() == Times.OnEvidence);
}

// Guards against leases on a worker that restarted and does not know of the new
// owner.
TEST_CASE("The answer of a new incarnation is no evidence") {
  Owner Test;
  Test.IsSole = false;
  Test.answerAfter(300ms, Incarnation + 1ms);
  CHECK_FALSE(Test.lease());
}

TEST_CASE("An owner that no other host can have read of gives no leases on "
          "evidence") {
  Owner Test;
  Test.IsSole = false;
  Test.Published = 0;
  Test.answerAfter(300ms);
  CHECK_FALSE(Test.lease());
}

// Guards against evidence of fewer workers than a new owner counts.
TEST_CASE("Evidence is compared with the number of workers that was "
          "published") {
  Owner Test;
  Test.IsSole = false;
  Test.Published = 2;
  Test.answerAfter(300ms);
  CHECK_FALSE(Test.lease());
}

// Guards against evidence of a worker that joined while the store was away: the
// next owner may never hear of it.
TEST_CASE("A worker whose name can't be stored is no evidence") {
  Owner Test(true);
  CHECK(Test.lease() == Times.Sole);
  Test.IsSole = false;
  Test.answerAfter(300ms);
  CHECK_FALSE(Test.lease());
}
