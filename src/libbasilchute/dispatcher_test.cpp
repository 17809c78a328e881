// Tests of the dispatcher: each request gets exactly one answer, and the answer
// says "not run" only if no attempt ran.

#include "basilchute/dispatcher.h"

#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Keeps attempts open until the test finishes them.
class FakeEndpoints final : public EndpointPort {
public:
  struct Attempt {
    EndpointRequest Request;
    SendDone Done;
  };
  void send(EndpointRequest Request, SendDone Done) override {
    OpenAttempts.push_back({std::move(Request), std::move(Done)});
  }
  /// Finishes the oldest open attempt.
  void finish(Result<EndpointAnswer> Answer) {
    Attempt Oldest = std::move(OpenAttempts.front());
    OpenAttempts.pop_front();
    Oldest.Done(std::move(Answer));
  }
  std::deque<Attempt> OpenAttempts;
};

/// A dispatcher with two endpoints of two slots each.
struct Fixture {
  explicit Fixture(DispatcherOptions Options = {})
      : Routes({.FailureDomain = "a"}, Time),
        Sender(Options, Routes, Endpoints, Time) {
    ShardRoutes Shard{.Shard = "a.0", .Epoch = 1, .Version = 1};
    for (int I = 0; I < 2; ++I) {
      std::string Worker = fmt::format("w{}", I);
      Shard.Routes.push_back({.Service = "orders",
                              .Task = fmt::format("svc.orders/{}", I),
                              .Worker = Worker,
                              .Address = Worker,
                              .FailureDomain = "a"});
      Shard.Grants.push_back({.Worker = Worker, .Slots = 2, .Lease = 60s});
    }
    Routes.applyRoutes({Shard}, Time.now());
  }

  void submit(bool Idempotent, milliseconds Deadline = 1000ms) {
    Sender.submit(
        {.Service = "orders",
         .Method = "POST",
         .Path = "/",
         .Idempotent = Idempotent,
         .Deadline = Time.now() + Deadline},
        [this](CallerAnswer Answer) { Answers.push_back(std::move(Answer)); });
  }

  ManualClock Time;
  FakeEndpoints Endpoints;
  Router Routes;
  Dispatcher Sender;
  std::vector<CallerAnswer> Answers;
};

Error fault(ResultCode Code) { return makeError(Code, "fault"); }

} // namespace

TEST_CASE("a request that was not sent is tried at another endpoint") {
  Fixture F;
  F.submit(false);
  std::string First = F.Endpoints.OpenAttempts.front().Request.Address;
  F.Endpoints.finish(fault(ResultCode::Unavailable));
  REQUIRE(F.Endpoints.OpenAttempts.size() == 1);
  CHECK(F.Endpoints.OpenAttempts.front().Request.Address != First);
  F.Endpoints.finish(EndpointAnswer{.Status = 200, .Body = "own"});
  REQUIRE(F.Answers.size() == 1);
  CHECK(F.Answers[0].Body == "own");
  CHECK(F.Answers[0].Attempts == 2);
}

TEST_CASE("after an unknown outcome only an idempotent request is retried") {
  for (ResultCode Code : {ResultCode::OutcomeUnknown, ResultCode::AnswerCut}) {
    Fixture F;
    F.submit(false);
    F.Endpoints.finish(fault(Code));
    CHECK(F.Endpoints.OpenAttempts.empty());
    REQUIRE(F.Answers.size() == 1);
    CHECK_FALSE(meansNotRun(F.Answers[0].Code));
    F.submit(true);
    F.Endpoints.finish(fault(Code));
    CHECK(F.Endpoints.OpenAttempts.size() == 1);
  }
}

TEST_CASE("no code means not run once any attempt may have run") {
  Fixture F;
  F.submit(true);
  F.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
  F.Endpoints.finish(fault(ResultCode::Unavailable));
  F.Endpoints.finish(fault(ResultCode::Unavailable));
  REQUIRE(F.Answers.size() == 1);
  CHECK(F.Answers[0].Code == ResultCode::OutcomeUnknown);
}

TEST_CASE("queued requests start in deadline order and expired ones do not "
          "run") {
  Fixture F;
  for (int I = 0; I < 4; ++I)
    F.submit(false);
  F.submit(false, 500ms);
  F.submit(false, 100ms);
  CHECK(F.Sender.queued() == 2);
  F.Time.advance(100ms);
  F.Sender.tick();
  REQUIRE(F.Answers.size() == 1);
  CHECK(F.Answers[0].Code == ResultCode::DeadlineExceeded);
  CHECK(meansNotRun(F.Answers[0].Code));
  F.Endpoints.finish(EndpointAnswer{.Status = 200});
  CHECK(F.Sender.queued() == 0);
  CHECK(F.Endpoints.OpenAttempts.size() == 4);
}

TEST_CASE("a request is refused at once if the queue is full") {
  Fixture F({.MaxQueuedPerService = 1});
  for (int I = 0; I < 6; ++I)
    F.submit(false);
  REQUIRE(F.Answers.size() == 1);
  CHECK(F.Answers[0].Code == ResultCode::Overloaded);
}

TEST_CASE("retries stay within the tenant's budget") {
  Fixture F(
      {.MaxAttempts = 3, .Retries = {.RetriesPermille = 100, .MaxSaved = 5}});
  size_t Sent = 0;
  for (int I = 0; I < 200; ++I) {
    F.submit(true);
    while (!F.Endpoints.OpenAttempts.empty()) {
      F.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
      ++Sent;
    }
  }
  CHECK(F.Answers.size() == 200);
  CHECK(Sent <= 200 + 5 + 20);
}

TEST_CASE("random sessions: one answer per request, at most one run unless "
          "idempotent") {
  for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937_64 Random(Seed);
    Fixture F;
    std::map<std::string, uint32_t> Runs;
    std::map<std::string, uint32_t> AnswerCounts;
    std::set<std::string> IdempotentIds;
    std::set<std::string> AnsweredNotRun;
    int Submitted = 0;
    for (int Step = 0; Step < 200; ++Step) {
      if (Random() % 2 == 0) {
        std::string Id = fmt::format("r{}", Submitted++);
        bool Idempotent = Random() % 2 == 0;
        if (Idempotent)
          IdempotentIds.insert(Id);
        F.Sender.submit(
            {.Service = "orders",
             .Method = "POST",
             .Path = "/",
             .Body = Id,
             .Idempotent = Idempotent,
             .Deadline = F.Time.now() + milliseconds(Random() % 300)},
            [&, Id](CallerAnswer Answer) {
              ++AnswerCounts[Id];
              if (meansNotRun(Answer.Code))
                AnsweredNotRun.insert(Id);
              if (Answer.Code == ResultCode::Ok)
                CHECK(Answer.Body == Id);
            });
      } else if (!F.Endpoints.OpenAttempts.empty()) {
        std::string Id = F.Endpoints.OpenAttempts.front().Request.Body;
        uint32_t Outcome = Random() % 5;
        bool HasRun = Outcome != 1 && Outcome != 2;
        Runs[Id] += HasRun;
        if (Outcome == 1)
          F.Endpoints.finish(fault(ResultCode::Unavailable));
        else if (Outcome == 2)
          F.Endpoints.finish(EndpointAnswer{.Status = 503, .IsNotRun = true});
        else if (Outcome == 3)
          F.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
        else
          F.Endpoints.finish(EndpointAnswer{.Status = 200, .Body = Id});
      }
      F.Time.advance(milliseconds(Random() % 20));
      F.Sender.tick();
    }
    while (!F.Endpoints.OpenAttempts.empty())
      F.Endpoints.finish(fault(ResultCode::AnswerCut));
    F.Time.advance(1s);
    F.Sender.tick();
    CAPTURE(Seed);
    CHECK(F.Sender.pending() == 0);
    CHECK(AnswerCounts.size() == static_cast<size_t>(Submitted));
    for (const auto &[Id, Count] : AnswerCounts)
      CHECK(Count == 1);
    for (const auto &[Id, Count] : Runs) {
      CHECK((Count <= 1 || IdempotentIds.contains(Id)));
      CHECK((Count == 0 || !AnsweredNotRun.contains(Id)));
    }
  }
}
