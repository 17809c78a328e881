// Credits: the sum lent never passes the limit, and demand moves them.

#include "basilchute/credits.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>
#include <vector>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// An entry as the lender sees it, with what it may use by its own clock.
struct Borrower {
  std::string Name;
  uint32_t Granted = 0;
  uint32_t InUse = 0;
  TimePoint LeaseEnd{};
  /// Ends of the requests under way.
  std::vector<TimePoint> Ends;

  void finish(TimePoint Now) {
    std::erase_if(Ends, [&](TimePoint Each) { return Each <= Now; });
    InUse = static_cast<uint32_t>(Ends.size());
  }
  bool take(TimePoint Now, nanoseconds Length) {
    if (Now >= LeaseEnd || InUse >= Granted)
      return false;
    Ends.push_back(Now + Length);
    ++InUse;
    return true;
  }
};

} // namespace

TEST_CASE("slots in use never pass the limit, whatever is lost or late") {
  constexpr uint32_t Slots = 8;
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937_64 Random(Seed);
    ManualClock Time;
    CreditLenderOptions Options{.Slots = Slots, .Lease = 2s, .MaxUse = 1s};
    auto Lender = std::make_unique<CreditLender>(Options, TimePoint{});
    std::vector<Borrower> All;
    std::set<std::string> Names;
    for (int I = 0; I < 4; ++I) {
      All.push_back({.Name = fmt::format("e{}", I)});
      Names.insert(All.back().Name);
    }
    Lender->setPossibleHolders(Names);
    std::vector<bool> Cut(All.size());
    for (int Step = 0; Step < 400; ++Step) {
      Time.advance(50ms);
      TimePoint Now = Time.now();
      for (Borrower &Each : All)
        Each.finish(Now);
      size_t Who = Random() % All.size();
      Borrower &One = All[Who];
      if (Random() % 40 == 0)
        Cut[Who] = !Cut[Who];
      if (Random() % 100 == 0) {
        // Takeover: the new owner waits out what the old one may have lent.
        Lender = std::make_unique<CreditLender>(Options, Now + Options.Lease +
                                                             Options.MaxUse);
        Lender->setPossibleHolders(Names);
      }
      if (!Cut[Who]) {
        uint32_t Held = std::max(One.Granted, One.InUse);
        if (Now >= One.LeaseEnd)
          Held = One.InUse;
        uint32_t Slots = Lender->lend(One.Name, Held, Random() % 9, Now);
        bool ReplyLost = Random() % 10 == 0;
        if (!ReplyLost) {
          One.Granted = Slots;
          One.LeaseEnd = Now + Options.Lease;
        }
      }
      for (Borrower &Each : All)
        for (uint32_t I = 0; I < Random() % 4; ++I)
          Each.take(Now, milliseconds(50 * (1 + Random() % 19)));
      uint32_t Sum = 0;
      for (const Borrower &Each : All)
        Sum += Each.InUse;
      CAPTURE(Seed);
      CAPTURE(Step);
      REQUIRE(Sum <= Slots);
    }
  }
}

TEST_CASE("the first to ask does not take what others will want") {
  CreditLender Lender({.Slots = 8}, {});
  Lender.setPossibleHolders({"a", "b"});
  ManualClock Time;
  CHECK(Lender.lend("a", 0, 64, Time.now()) == 4);
  CHECK(Lender.lend("b", 0, 64, Time.now()) == 4);
}

TEST_CASE("demand moves slots within two questions") {
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

TEST_CASE("a silent borrower's slots come back after lease and use") {
  CreditLender Lender({.Slots = 8, .Lease = 2s, .MaxUse = 1s}, {});
  Lender.setPossibleHolders({"a", "b"});
  ManualClock Time;
  Lender.lend("a", 0, 8, Time.now());
  Time.advance(2900ms);
  CHECK(Lender.lend("b", 0, 8, Time.now()) == 4);
  Time.advance(200ms);
  CHECK(Lender.lend("b", 4, 8, Time.now()) == 8);
}

TEST_CASE("a purse gives no slot beyond its grant or its lease") {
  CreditPurse Purse;
  ManualClock Time;
  CHECK_FALSE(Purse.take(Time.now()));
  Purse.grant(2, Time.now(), 1000ms);
  CHECK(Purse.take(Time.now()));
  CHECK(Purse.take(Time.now()));
  CHECK_FALSE(Purse.take(Time.now()));
  Purse.giveBack();
  Time.advance(1s);
  CHECK_FALSE(Purse.take(Time.now()));
  CHECK(Purse.held() == 2);
}
