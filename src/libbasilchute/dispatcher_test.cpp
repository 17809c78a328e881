// The dispatcher: one answer a request, and "not run" only when it is true.

#include "basilchute/dispatcher.h"

#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>
#include <set>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Endpoints that answer when told to.
class FakeEndpoints final : public EndpointPort {
public:
  struct Attempt {
    EndpointRequest Request;
    SendDone Done;
  };
  void send(EndpointRequest Request, SendDone Done) override {
    Open.push_back({std::move(Request), std::move(Done)});
  }
  void finish(Result<EndpointAnswer> With) {
    Attempt Next = std::move(Open.front());
    Open.pop_front();
    Next.Done(std::move(With));
  }
  std::deque<Attempt> Open;
};

/// A dispatcher on two endpoints with two slots each.
struct Rig {
  explicit Rig(DispatcherOptions Options = {})
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
    Routes.update({Shard}, Time.now());
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
  Rig R;
  R.submit(false);
  std::string First = R.Endpoints.Open.front().Request.Address;
  R.Endpoints.finish(fault(ResultCode::Unavailable));
  REQUIRE(R.Endpoints.Open.size() == 1);
  CHECK(R.Endpoints.Open.front().Request.Address != First);
  R.Endpoints.finish(EndpointAnswer{.Status = 200, .Body = "own"});
  REQUIRE(R.Answers.size() == 1);
  CHECK(R.Answers[0].Body == "own");
  CHECK(R.Answers[0].Attempts == 2);
}

TEST_CASE("an open outcome is never repeated unless that does no harm") {
  for (ResultCode Code : {ResultCode::OutcomeUnknown, ResultCode::AnswerCut}) {
    Rig R;
    R.submit(false);
    R.Endpoints.finish(fault(Code));
    CHECK(R.Endpoints.Open.empty());
    REQUIRE(R.Answers.size() == 1);
    CHECK_FALSE(meansNotRun(R.Answers[0].Code));
    R.submit(true);
    R.Endpoints.finish(fault(Code));
    CHECK(R.Endpoints.Open.size() == 1);
  }
}

TEST_CASE("not run is not promised once any attempt may have run") {
  Rig R;
  R.submit(true);
  R.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
  R.Endpoints.finish(fault(ResultCode::Unavailable));
  R.Endpoints.finish(fault(ResultCode::Unavailable));
  REQUIRE(R.Answers.size() == 1);
  CHECK(R.Answers[0].Code == ResultCode::OutcomeUnknown);
}

TEST_CASE("waiting requests start by deadline and late ones are not run") {
  Rig R;
  for (int I = 0; I < 4; ++I)
    R.submit(false);
  R.submit(false, 500ms);
  R.submit(false, 100ms);
  CHECK(R.Sender.queued() == 2);
  R.Time.advance(100ms);
  R.Sender.tick();
  REQUIRE(R.Answers.size() == 1);
  CHECK(R.Answers[0].Code == ResultCode::DeadlineExceeded);
  CHECK(meansNotRun(R.Answers[0].Code));
  R.Endpoints.finish(EndpointAnswer{.Status = 200});
  CHECK(R.Sender.queued() == 0);
  CHECK(R.Endpoints.Open.size() == 4);
}

TEST_CASE("a full queue refuses at once") {
  Rig R({.MaxQueuedPerService = 1});
  for (int I = 0; I < 6; ++I)
    R.submit(false);
  REQUIRE(R.Answers.size() == 1);
  CHECK(R.Answers[0].Code == ResultCode::Overloaded);
}

TEST_CASE("retries stay within the tenant's budget") {
  Rig R({.MaxAttempts = 3, .Retries = {.RetriesPermille = 100, .MaxSaved = 5}});
  size_t Sent = 0;
  for (int I = 0; I < 200; ++I) {
    R.submit(true);
    while (!R.Endpoints.Open.empty()) {
      R.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
      ++Sent;
    }
  }
  CHECK(R.Answers.size() == 200);
  CHECK(Sent <= 200 + 5 + 20);
}

TEST_CASE("random sessions: one answer each, at most one run unless harmless") {
  for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937_64 Random(Seed);
    Rig R;
    std::map<std::string, uint32_t> Runs;
    std::map<std::string, uint32_t> Answered;
    std::set<std::string> Harmless;
    std::set<std::string> PromisedNotRun;
    int Submitted = 0;
    for (int Step = 0; Step < 200; ++Step) {
      if (Random() % 2 == 0) {
        std::string Id = fmt::format("r{}", Submitted++);
        bool Idempotent = Random() % 2 == 0;
        if (Idempotent)
          Harmless.insert(Id);
        R.Sender.submit(
            {.Service = "orders",
             .Method = "POST",
             .Path = "/",
             .Body = Id,
             .Idempotent = Idempotent,
             .Deadline = R.Time.now() + milliseconds(Random() % 300)},
            [&, Id](CallerAnswer Answer) {
              ++Answered[Id];
              if (meansNotRun(Answer.Code))
                PromisedNotRun.insert(Id);
              if (Answer.Code == ResultCode::Ok)
                CHECK(Answer.Body == Id);
            });
      } else if (!R.Endpoints.Open.empty()) {
        std::string Id = R.Endpoints.Open.front().Request.Body;
        uint32_t How = Random() % 5;
        bool Ran = How != 1 && How != 2;
        Runs[Id] += Ran;
        if (How == 1)
          R.Endpoints.finish(fault(ResultCode::Unavailable));
        else if (How == 2)
          R.Endpoints.finish(EndpointAnswer{.Status = 503, .NotRun = true});
        else if (How == 3)
          R.Endpoints.finish(fault(ResultCode::OutcomeUnknown));
        else
          R.Endpoints.finish(EndpointAnswer{.Status = 200, .Body = Id});
      }
      R.Time.advance(milliseconds(Random() % 20));
      R.Sender.tick();
    }
    while (!R.Endpoints.Open.empty())
      R.Endpoints.finish(fault(ResultCode::AnswerCut));
    R.Time.advance(1s);
    R.Sender.tick();
    CAPTURE(Seed);
    CHECK(R.Sender.pending() == 0);
    CHECK(Answered.size() == static_cast<size_t>(Submitted));
    for (const auto &[Id, Times] : Answered)
      CHECK(Times == 1);
    for (const auto &[Id, Times] : Runs) {
      CHECK((Times <= 1 || Harmless.contains(Id)));
      CHECK((Times == 0 || !PromisedNotRun.contains(Id)));
    }
  }
}
