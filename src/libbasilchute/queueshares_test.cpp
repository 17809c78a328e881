#include "libbasilchute/queueshares.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

RankedJob job(const std::string &Id, const std::string &Queue,
              int64_t Millicores, double Age, int Lateness = 0, int Kind = 0) {
  return {.Rank = {Kind, Lateness, 0, 1, Age},
          .Id = Id,
          .Queue = Queue,
          .Demand = {.Millicores = Millicores}};
}

std::string idsOf(const std::vector<RankedJob> &Jobs) {
  std::string Out;
  for (const RankedJob &Job : Jobs)
    Out += Job.Id;
  return Out;
}

const Resources Capacity{.Millicores = 100000, .MemoryMib = 100000};

} // namespace

// Guards against a burst of one queue that takes the room of another.
TEST_CASE("A queue below its share goes first, and queues take turns") {
  JobQueues Queues;
  QueueShares Shares(Capacity, Queues);
  Shares.add("burst", {.Millicores = 20000});
  std::vector<RankedJob> Jobs{
      job("a", "burst", 10000, 1), job("b", "burst", 10000, 2),
      job("c", "burst", 10000, 3), job("x", "calm", 15000, 4),
      job("y", "calm", 15000, 5)};
  Shares.order(Jobs);
  CHECK(idsOf(Jobs) == "xyabc");
  QueueShares Even(Capacity, Queues);
  std::vector<RankedJob> Others{
      job("a", "burst", 10000, 1), job("b", "burst", 10000, 2),
      job("x", "calm", 10000, 3), job("y", "calm", 10000, 4)};
  Even.order(Others);
  CHECK(idsOf(Others) == "axby");
}

// Guards against wide jobs that take the room of narrow ones.
TEST_CASE("Narrow jobs of one queue pass wide jobs of another") {
  JobQueues Queues;
  QueueShares Shares(Capacity, Queues);
  Shares.add("wide", {.Millicores = 40000});
  std::vector<RankedJob> Jobs{
      job("A", "wide", 40000, 1), job("B", "wide", 40000, 2),
      job("x", "narrow", 4000, 3), job("y", "narrow", 4000, 4),
      job("z", "narrow", 4000, 5)};
  Shares.order(Jobs);
  CHECK(idsOf(Jobs) == "xyzAB");
}

TEST_CASE("A queue with twice the weight gets twice the share") {
  JobQueues Queues;
  Queues["heavy"].Weight = 2;
  QueueShares Shares(Capacity, Queues);
  Shares.add("heavy", {.Millicores = 30000});
  Shares.add("light", {.MemoryMib = 20000});
  CHECK(Shares.shareOf("heavy") == doctest::Approx(0.15));
  CHECK(Shares.shareOf("light") == doctest::Approx(0.2));
  CHECK(Shares.shareOf("none") == 0);
}

TEST_CASE("Lateness and kinds go before shares, and other kinds keep their "
          "order") {
  JobQueues Queues;
  QueueShares Shares(Capacity, Queues);
  Shares.add("p", {.Millicores = 50000});
  std::vector<RankedJob> Jobs{
      job("r", "p", 1, 0, 0, -1),   job("a", "p", 1000, 1),
      job("b", "q", 1000, 2),       job("c", "p", 1000, 1, 1),
      job("d", "p", 1000, 1, 0, 2), job("e", "q", 1000, 2, 0, 2)};
  CHECK(QueueShares::areNeeded(Jobs));
  Shares.order(Jobs);
  CHECK(idsOf(Jobs) == "rbacde");
}

// Guards against a change of the order within a queue by its move out of the
// shard's owner.
TEST_CASE("Started jobs go before others, and of these the youngest") {
  WaitingJob Started{.HasStarted = true,
                     .Age = 9s,
                     .MeanWork = 10,
                     .TotalWork = 10,
                     .RemainingWork = 5};
  WaitingJob Nearly = Started;
  Nearly.RemainingWork = 1;
  WaitingJob Young{.Age = 1s};
  WaitingJob Old{.Age = 2s};
  WaitingJob Late{.Lateness = 1, .Age = 1s};
  WaitingJob Long{.IsLongRunning = true};
  WaitingJob Starving{.IsLongRunning = true, .HasWaitedLong = true};
  WaitingJob Fill{.IsFill = true};
  std::vector<WaitingJob> InOrder{Starving, Nearly, Started, Young,
                                  Old,      Late,   Long,    Fill};
  for (size_t Index = 1; Index < InOrder.size(); ++Index)
    CHECK(queueRank(InOrder[Index - 1]) < queueRank(InOrder[Index]));
}
