// Answers of a worker that are within their bounds and cannot be true.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>
#include <limits>
#include <random>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr int MaxRun = 1'000'000'000;
constexpr uint64_t MaxCompletion = uint64_t{1} << 53;

/// Makes up answers from the tasks of the job "a" and of a job that does not
/// exist.
class AnswerMaker {
public:
  explicit AnswerMaker(uint64_t Seed) : m_random(Seed) {}

  void operator()(PollReply &Out) {
    if (chance(20))
      Out.Clock = milliseconds(pick({0, 1, 1000, 315'360'000'000}));
    if (chance(5))
      Out.Incarnation = milliseconds(pick({0, 1, 4'099'680'000'000}));
    if (chance(10))
      Out.Running.clear();
    if (chance(10))
      Out.Completions.clear();
    for (int64_t Count = chance(30) ? pick({1, 3, 50}) : 0; Count > 0; --Count)
      Out.Running.push_back({.Task = task(),
                             .Run = run(),
                             .Checkpoint = chance(50) ? "c" : "",
                             .Percent = static_cast<int>(pick({0, 50, 100})),
                             .Usage = pick({0, 500, 100'000'000})});
    for (int64_t Count = chance(30) ? pick({1, 3, 50}) : 0; Count > 0; --Count)
      Out.Completions.push_back(
          {.Number = static_cast<uint64_t>(
               pick({1, 2, 70, 1000, static_cast<int64_t>(MaxCompletion)})),
           .Task = task(),
           .Run = run(),
           .Outcome = static_cast<RunOutcome>(pick({0, 1, 2, 3, 4, 5})),
           .Checkpoint = chance(50) ? "c" : ""});
  }

private:
  bool chance(int Percent) {
    return static_cast<int>(m_random() % 100) < Percent;
  }
  int64_t pick(std::vector<int64_t> Values) {
    return Values[m_random() % Values.size()];
  }
  int run() { return static_cast<int>(pick({0, 1, 2, 65, 1000, MaxRun})); }
  TaskName task() {
    constexpr int MaxInt = std::numeric_limits<int>::max();
    return {.Job = chance(70)   ? "a"
                   : chance(50) ? "unknown"
                                : "",
            .Occurrence = static_cast<int>(pick({0, 0, 0, 1, -1, MaxInt})),
            .Step = static_cast<int>(pick({0, 0, 1, 2, -1, MaxInt})),
            .Index = static_cast<int>(pick({0, 1, 2, 3, -1, MaxInt}))};
  }

  std::mt19937_64 m_random;
};

} // namespace

// Guards against a host that ends, or stops to serve its other workers, because
// of what one worker says. What becomes of the jobs that the worker names is
// not checked: their results may be lost or made up.
TEST_CASE("Impossible answers of one worker leave the others in use") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    JobTestBed Bed({.Workers = 4, .Seed = Seed});
    Bed.worker(0).AlterAnswer = AnswerMaker(Seed);
    Bed.run(3s);
    CHECK(Bed.submit(0, chainJob("a", 2, 4, 2s)).has_value());
    Bed.run(5s);
    if (Seed % 2 == 0)
      Bed.killHost(Bed.ownerIndex());
    Bed.run(15s);
    int Host = Bed.ownerIndex();
    REQUIRE(Host >= 0);
    CHECK(Bed.submit(Host, chainJob("b", 2, 6, 400ms)).has_value());
    CHECK(Bed.runUntil(
        [&] {
          Result<JobState> State = Bed.state(Host, "b");
          return State.has_value() && State.value() == JobState::Completed;
        },
        30s));
  }
}
