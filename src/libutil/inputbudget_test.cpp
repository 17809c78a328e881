// Tests which connections an InputBudget closes at its limits, and that what it
// accounts for always returns to zero.

#include "libutil/inputbudget.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Records why it was closed.
struct Holder : InputHolder {
  void closeFor(CloseReason Reason) override { Closed.push_back(Reason); }
  std::vector<CloseReason> Closed;
};

struct Fixture {
  explicit Fixture(InputBudgetOptions Options) : Budget(std::move(Options)) {}

  /// Adds a connection that holds \p Use; its wait starts at \p Use.
  size_t add(const InputUse &Use) {
    Holders.push_back(std::make_shared<Holder>());
    Ids.push_back(Budget.open(Holders.back(), Use.WaitStart));
    Budget.update(Ids.back(), Use);
    return Ids.size() - 1;
  }
  bool isClosed(size_t Index) const { return !Holders[Index]->Closed.empty(); }

  InputBudget Budget;
  std::vector<std::shared_ptr<Holder>> Holders;
  std::vector<InputBudget::Id> Ids;
};

constexpr TimePoint Start{1000s};

} // namespace

TEST_CASE("the connection with the most unfinished input is closed") {
  std::vector<std::string> Lines;
  Fixture Case(
      {.MaxBytes = 1000, .Log = [&](std::string_view, std::string_view Fields) {
         Lines.emplace_back(Fields);
       }});
  Case.add({.UnfinishedBytes = 300, .WaitStart = Start});
  Case.add({.UnfinishedBytes = 200, .UnwrittenBytes = 200, .WaitStart = Start});
  Case.add({.UnfinishedBytes = 290, .WaitStart = Start});
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(1));
  CHECK(Case.Budget.update(Case.Ids[2],
                           {.UnfinishedBytes = 350, .WaitStart = Start}));
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(0));
  CHECK(Case.Holders[1]->Closed == std::vector{CloseReason::Memory});
  CHECK_FALSE(Case.isClosed(2));
  CHECK(Case.Budget.counts().HeldBytes == 650);
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0].find("unfinished=200 unwritten=200") != std::string::npos);
}

// Closing them would release nothing: their callers wait for responses.
TEST_CASE("requests in progress count, and are not closed for memory") {
  Fixture Case({.MaxBytes = 1000});
  Case.add({.InProgressBytes = 900, .IsInProgress = true, .WaitStart = Start});
  Case.add({.UnfinishedBytes = 200, .WaitStart = Start});
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(0));
  CHECK(Case.isClosed(1));
  CHECK(Case.Budget.counts().HeldBytes == 900);
}

// A caller that disconnects while its request is handled must not make room
// for another such request.
TEST_CASE("a closed connection counts until its request is answered") {
  Fixture Case({.MaxBytes = 1000});
  Case.add({.UnfinishedBytes = 50,
            .InProgressBytes = 900,
            .IsInProgress = true,
            .WaitStart = Start});
  Case.Budget.close(Case.Ids[0], CloseReason::Caller);
  CHECK(Case.Budget.counts().OpenConnections == 0);
  CHECK(Case.Budget.counts().HeldBytes == 900);
  Case.Budget.update(Case.Ids[0], {.UnfinishedBytes = 70});
  CHECK(Case.Budget.counts().HeldBytes == 0);
  Case.Budget.remove(Case.Ids[0]);
  Case.Budget.remove(Case.Ids[0]);
  CHECK(Case.Budget.counts().HeldBytes == 0);
  CHECK(Case.Budget.counts().Closed[size_t(CloseReason::Caller)] == 1);
}

TEST_CASE("the longest wait without a request in progress makes room") {
  Fixture Case({.MaxConnections = 3});
  Case.add({.IsInProgress = true, .WaitStart = Start - 50s});
  Case.add({.WaitStart = Start - 10s});
  Case.add({.WaitStart = Start - 12s});
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(2));
  Case.add({.WaitStart = Start});
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(0));
  CHECK_FALSE(Case.isClosed(1));
  CHECK(Case.Holders[2]->Closed == std::vector{CloseReason::Connections});
  CHECK_FALSE(Case.isClosed(3));
  CHECK(Case.Budget.counts().OpenConnections == 3);
}

TEST_CASE("the new connection is closed if all others have requests") {
  Fixture Case({.MaxConnections = 1});
  Case.add({.IsInProgress = true, .WaitStart = Start});
  Case.add({.WaitStart = Start + 1s});
  Case.Budget.enforce(Start + 1s);
  CHECK_FALSE(Case.isClosed(0));
  CHECK(Case.isClosed(1));
}

// An idle keep-alive connection is worth more than one that has sent a part of
// a head and nothing more.
TEST_CASE("connections beyond the caller time-outs are closed first") {
  Fixture Case({.MaxBytes = 1000, .MaxConnections = 2});
  Case.Budget.setTimeouts(3s, 15s);
  Case.add({.UnfinishedBytes = 10, .WaitStart = Start - 14s});
  Case.add(
      {.UnfinishedBytes = 10, .IsMidRequest = true, .WaitStart = Start - 4s});
  Case.add({.UnfinishedBytes = 900, .WaitStart = Start});
  Case.Budget.enforce(Start);
  CHECK_FALSE(Case.isClosed(0));
  CHECK(Case.isClosed(1));
  CHECK_FALSE(Case.isClosed(2));
}

TEST_CASE("lines about closed connections are bounded") {
  int Lines = 0;
  Fixture Case({.MaxConnections = 1,
                .Log = [&](std::string_view, std::string_view) { ++Lines; }});
  for (int I = 0; I < 1000; ++I) {
    Case.add({.WaitStart = Start});
    Case.Budget.enforce(Start);
  }
  CHECK(Lines == 10);
  CHECK(Case.Budget.counts().Closed[size_t(CloseReason::Connections)] == 999);
}
