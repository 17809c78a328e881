#include "libbasilchute/orderwindow.h"

#include <doctest/doctest.h>
#include <queue>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// A host that serves one order after the other, over a way of fixed length.
struct Host {
  nanoseconds Cost;
  nanoseconds Way;
  OrderWindow Window{};
  ManualClock Time;
  std::queue<std::pair<TimePoint, TimePoint>> Answers;
  TimePoint FreeAt{};
  int Answered = 0;

  void sendAll() {
    while (Window.isOpen()) {
      Window.sent();
      FreeAt = std::max(FreeAt, Time.now()) + Cost;
      Answers.push({Time.now(), FreeAt + Way});
    }
  }

  void run(nanoseconds Span) {
    TimePoint Until = Time.now() + Span;
    for (sendAll(); Answers.front().second <= Until; sendAll()) {
      auto [Sent, At] = Answers.front();
      Answers.pop();
      Time.advance(At - Time.now());
      Window.answered(At - Sent, At);
      ++Answered;
    }
    Time.advance(Until - Time.now());
  }
};

} // namespace

TEST_CASE("Over a long way a fast host has as many orders under way as it can "
          "send") {
  Host Fast{.Cost = 100us, .Way = 80ms};
  Fast.run(3s);
  int Before = Fast.Answered;
  Fast.run(1s);
  // 10000 orders a second is all that it can do.
  CHECK(Fast.Answered - Before >= 9000);
}

TEST_CASE("Orders of a slow host do not wait long for one another") {
  Host Slow{.Cost = 5ms, .Way = 6ms};
  Slow.run(3s);
  CHECK(Slow.Window.limit() * 5ms <= 150ms);
  int Before = Slow.Answered;
  Slow.run(1s);
  CHECK(Slow.Answered - Before >= 195);
}

TEST_CASE("A host that turns slow sends less, and more when it recovers") {
  Host One{.Cost = 200us, .Way = 6ms};
  One.run(5s);
  size_t Before = One.Window.limit();
  One.Cost = 10ms;
  One.run(20s);
  CHECK(One.Window.limit() * 10ms <= 300ms);
  One.Cost = 200us;
  One.run(5s);
  CHECK(One.Window.limit() * 2 >= Before);
}

TEST_CASE("Orders without an answer do not close the window for good") {
  OrderWindow Window;
  ManualClock Time;
  for (int Each = 0; Each < 1000; ++Each) {
    while (Window.isOpen())
      Window.sent();
    Window.lost();
  }
  CHECK(Window.isOpen());
  CHECK(Window.limit() >= 8);
}
