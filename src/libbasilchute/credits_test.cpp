// Tests of the credits: slots in use never exceed the worker's limit, and slots
// follow the demand.

#include "basilchute/credits.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>
#include <vector>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A simulated entry process that borrows slots.
struct Borrower {
  std::string Name;
  uint32_t Granted = 0;
  uint32_t InUse = 0;
  TimePoint LeaseEnd{};
  /// When each of the running requests ends.
  std::vector<TimePoint> RequestEnds;

  /// Ends the requests that are due.
  void finish(TimePoint Now) {
    std::erase_if(RequestEnds, [&](TimePoint End) { return End <= Now; });
    InUse = static_cast<uint32_t>(RequestEnds.size());
  }
  /// Starts a request if a slot is free; returns false otherwise.
  bool take(TimePoint Now, nanoseconds Duration) {
    if (Now >= LeaseEnd || InUse >= Granted)
      return false;
    RequestEnds.push_back(Now + Duration);
    ++InUse;
    return true;
  }
};

} // namespace

TEST_CASE("slots in use never exceed the limit despite lost replies and "
          "takeovers") {
  constexpr uint32_t Slots = 8;
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    ManualClock Time;
    CreditLenderOptions Options{.Slots = Slots, .Lease = 2s, .MaxUse = 1s};
    auto Lender = std::make_unique<CreditLender>(Options, TimePoint{});
    std::vector<Borrower> Borrowers;
    std::set<std::string> Names;
    for (int I = 0; I < 4; ++I) {
      Borrowers.push_back({.Name = fmt::format("e{}", I)});
      Names.insert(Borrowers.back().Name);
    }
    Lender->setPossibleHolders(Names);
    std::vector<bool> IsPartitioned(Borrowers.size());
    for (int Step = 0; Step < 400; ++Step) {
      Time.advance(50ms);
      TimePoint Now = Time.now();
      for (Borrower &Entry : Borrowers)
        Entry.finish(Now);
      size_t Index = Random() % Borrowers.size();
      Borrower &Reporter = Borrowers[Index];
      if (Random() % 40 == 0)
        IsPartitioned[Index] = !IsPartitioned[Index];
      if (Random() % 100 == 0) {
        // Takeover: the new owner waits until all grants of the previous owner
        // have expired.
        Lender = std::make_unique<CreditLender>(Options, Now + Options.Lease +
                                                             Options.MaxUse);
        Lender->setPossibleHolders(Names);
      }
      if (!IsPartitioned[Index]) {
        uint32_t Held = std::max(Reporter.Granted, Reporter.InUse);
        if (Now >= Reporter.LeaseEnd)
          Held = Reporter.InUse;
        uint32_t Granted = Lender->lend(Reporter.Name, Held, Random() % 9, Now);
        bool IsReplyLost = Random() % 10 == 0;
        if (!IsReplyLost) {
          Reporter.Granted = Granted;
          Reporter.LeaseEnd = Now + Options.Lease;
        }
      }
      for (Borrower &Entry : Borrowers)
        for (uint32_t I = 0; I < Random() % 4; ++I)
          Entry.take(Now, milliseconds(50 * (1 + Random() % 19)));
      uint32_t Sum = 0;
      for (const Borrower &Entry : Borrowers)
        Sum += Entry.InUse;
      CAPTURE(Seed);
      CAPTURE(Step);
      REQUIRE(Sum <= Slots);
    }
  }
}

TEST_CASE("the first borrower does not get the share of other known "
          "borrowers") {
  CreditLender Lender({.Slots = 8}, {});
  Lender.setPossibleHolders({"a", "b"});
  ManualClock Time;
  CHECK(Lender.lend("a", 0, 64, Time.now()) == 4);
  CHECK(Lender.lend("b", 0, 64, Time.now()) == 4);
}

TEST_CASE("slots move to the borrower with demand within two reports") {
  CreditLender Lender({.Slots = 8}, {});
  Lender.setPossibleHolders({"a", "b"});
  ManualClock Time;
  uint32_t A = Lender.lend("a", 0, 1, Time.now());
  uint32_t B = Lender.lend("b", 0, 1, Time.now());
  A = Lender.lend("a", A, 1, Time.now());
  CHECK(A == 4);
  CHECK(B == 4);
  B = Lender.lend("b", B, 7, Time.now());
  A = Lender.lend("a", A, 1, Time.now());
  CHECK(A == 1);
  Lender.lend("a", A, 1, Time.now());
  CHECK(Lender.lend("b", B, 7, Time.now()) == 7);
}

TEST_CASE("slots of a silent borrower are free after Lease and MaxUse") {
  CreditLender Lender({.Slots = 8, .Lease = 2s, .MaxUse = 1s}, {});
  Lender.setPossibleHolders({"a", "b"});
  ManualClock Time;
  Lender.lend("a", 0, 8, Time.now());
  Time.advance(2900ms);
  CHECK(Lender.lend("b", 0, 8, Time.now()) == 4);
  Time.advance(200ms);
  CHECK(Lender.lend("b", 4, 8, Time.now()) == 8);
}

TEST_CASE("no slot is taken beyond the grant or after its lease") {
  WorkerCredits Credits;
  ManualClock Time;
  CHECK_FALSE(Credits.take(Time.now()));
  Credits.grant(2, Time.now(), 1000ms);
  CHECK(Credits.take(Time.now()));
  CHECK(Credits.take(Time.now()));
  CHECK_FALSE(Credits.take(Time.now()));
  Credits.release();
  Time.advance(1s);
  CHECK_FALSE(Credits.take(Time.now()));
  CHECK(Credits.held() == 2);
}
