#include "libbasilchute/orderwindow.h"

#include <doctest/doctest.h>
#include <queue>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A host that handles one order after the other, over a network path of
/// constant delay.
struct Host {
  nanoseconds OrderCost;
  nanoseconds PathDelay;
  OrderWindow Window{};
  ManualClock Time;
  /// Times at which each order in flight was sent and its answer arrives.
  std::queue<std::pair<TimePoint, TimePoint>> Answers;
  TimePoint FreeAt{};
  int Answered = 0;

  void sendAll() {
    while (Window.isOpen()) {
      Window.onSent();
      FreeAt = std::max(FreeAt, Time.now()) + OrderCost;
      Answers.push({Time.now(), FreeAt + PathDelay});
    }
  }

  void run(nanoseconds Duration) {
    TimePoint Until = Time.now() + Duration;
    for (sendAll(); Answers.front().second <= Until; sendAll()) {
      auto [SentAt, ArrivesAt] = Answers.front();
      Answers.pop();
      Time.advance(ArrivesAt - Time.now());
      Window.onAnswered(ArrivesAt - SentAt, ArrivesAt);
      ++Answered;
    }
    Time.advance(Until - Time.now());
  }
};

} // namespace

TEST_CASE(
    "The order window lets a fast host use its full rate over a path with "
    "a long delay") {
  Host Fast{.OrderCost = 100us, .PathDelay = 80ms};
  Fast.run(3s);
  int Before = Fast.Answered;
  Fast.run(1s);
  // The host can handle at most 10000 orders per second.
  CHECK(Fast.Answered - Before >= 9000);
}

TEST_CASE("The order window limits the queueing delay on a slow host") {
  Host Slow{.OrderCost = 5ms, .PathDelay = 6ms};
  Slow.run(3s);
  CHECK(Slow.Window.limit() * 5ms <= 150ms);
  int Before = Slow.Answered;
  Slow.run(1s);
  CHECK(Slow.Answered - Before >= 195);
}

TEST_CASE("The order window shrinks when a host becomes slow and grows again "
          "when it recovers") {
  Host Varying{.OrderCost = 200us, .PathDelay = 6ms};
  Varying.run(5s);
  size_t Before = Varying.Window.limit();
  Varying.OrderCost = 10ms;
  Varying.run(20s);
  CHECK(Varying.Window.limit() * 10ms <= 300ms);
  Varying.OrderCost = 200us;
  Varying.run(5s);
  CHECK(Varying.Window.limit() * 2 >= Before);
}

TEST_CASE("Unanswered orders do not close the order window permanently") {
  OrderWindow Window;
  ManualClock Time;
  for (int Round = 0; Round < 1000; ++Round) {
    while (Window.isOpen())
      Window.onSent();
    Window.onUnanswered();
  }
  CHECK(Window.isOpen());
  CHECK(Window.limit() >= 8);
}
