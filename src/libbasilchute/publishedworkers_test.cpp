#include "libbasilchute/publishedworkers.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds MaxAge{10000};
constexpr TimePoint Start{100s};

std::map<int, ShardReport> reportOf(uint64_t Epoch, uint32_t Workers) {
  return {{0, {.Epoch = Epoch, .Workers = Workers}}};
}

} // namespace

TEST_CASE("No number of workers is published before a certain renewal") {
  PublishedWorkers Published(MaxAge);
  Published.onSent(Start, reportOf(5, 9));
  Published.onAnswered(Start, true);
  CHECK(Published.most(0, 5) == 0);
  Published.onCertain(std::nullopt);
  CHECK(Published.most(0, 5) == 0);
  Published.onCertain(Start);
  CHECK(Published.most(0, 5) == 9);
  CHECK(Published.most(0, 6) == 0);
  CHECK(Published.most(1, 5) == 0);
}

// Guards against evidence that counts fewer workers than another host may have
// read in a row whose renewal was not answered.
TEST_CASE("The largest number that other hosts may read counts") {
  PublishedWorkers Published(MaxAge);
  Published.onSent(Start, reportOf(5, 9));
  Published.onAnswered(Start, true);
  Published.onCertain(Start);
  Published.onSent(Start + 1s, reportOf(5, 12));
  Published.onSent(Start + 2s, reportOf(5, 3));
  CHECK(Published.most(0, 5) == 12);
  Published.onAnswered(Start + 2s, true);
  Published.onCertain(Start + 2s);
  // The renewal without an answer may take effect later.
  CHECK(Published.most(0, 5) == 12);
  Published.onAnswered(Start + 1s, false);
  CHECK(Published.most(0, 5) == 3);
}

// Guards against evidence under an epoch that another host may read nothing of,
// which then takes this host for one that gives no orders on evidence.
TEST_CASE("A shard is published once every row that may be read reports it") {
  PublishedWorkers Published(MaxAge);
  Published.onSent(Start, {});
  Published.onAnswered(Start, true);
  Published.onCertain(Start);
  Published.onSent(Start + 1s, reportOf(5, 9));
  CHECK(Published.most(0, 5) == 0);
  Published.onAnswered(Start + 1s, true);
  Published.onCertain(Start + 1s);
  CHECK(Published.most(0, 5) == 9);
  Published.onSent(Start + 2s, {});
  CHECK(Published.most(0, 5) == 0);
}

TEST_CASE("Renewals without an answer are forgotten after a time") {
  PublishedWorkers Published(MaxAge);
  Published.onSent(Start, {});
  Published.onSent(Start + 1s, reportOf(5, 9));
  Published.onAnswered(Start + 1s, true);
  Published.onCertain(Start + 1s);
  CHECK(Published.most(0, 5) == 0);
  Published.onSent(Start + MaxAge + 1ms, reportOf(5, 3));
  CHECK(Published.most(0, 5) == 9);
}
