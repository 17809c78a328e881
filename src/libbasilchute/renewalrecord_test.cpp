#include "libbasilchute/renewalrecord.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds MaxUnclaimedAge = 1600ms;
constexpr TimePoint Start{100s};

} // namespace

TEST_CASE("The first renewal follows no gap") {
  RenewalRecord Record(MaxUnclaimedAge);
  CHECK_FALSE(Record.hasGap(Start));
  CHECK_FALSE(Record.isYoungerThan(1s, Start));
  Record.add(Start);
  CHECK(Record.isYoungerThan(1s, Start + 999ms));
  CHECK_FALSE(Record.isYoungerThan(1s, Start + 1s));
}

// Guards against a renewal that was sent in time and took effect only after
// another host had claimed the shard.
TEST_CASE("A gap counts from the last renewal to the answer of the next") {
  RenewalRecord Record(MaxUnclaimedAge);
  Record.add(Start);
  CHECK_FALSE(Record.hasGap(Start + MaxUnclaimedAge));
  CHECK(Record.hasGap(Start + MaxUnclaimedAge + 1ms));
  CHECK(Record.sinceLast(Start + 500ms) == 500ms);
  CHECK(Record.isNewer(Start + 1ms));
  CHECK_FALSE(Record.isNewer(Start));
}

// Guards against orders on the strength of renewals that do not show who owns
// the shard.
TEST_CASE("Renewals after a gap count once the owner rows were read") {
  RenewalRecord Record(MaxUnclaimedAge);
  Record.add(Start);
  TimePoint Gap = Start + 3s;
  Record.setUnverified(1, Gap);
  Record.setUnverified(2, Gap);
  Record.add(Gap);
  Record.add(Gap + 500ms);
  CHECK_FALSE(Record.isCertain());
  CHECK_FALSE(Record.isYoungerThan(3s, Gap));
  Record.onOwnerRead(1, Gap);
  CHECK_FALSE(Record.isCertain());
  Record.onOwnerRead(2, Gap);
  CHECK(Record.isCertain());
  CHECK(Record.isYoungerThan(1s, Gap + 1400ms));
}

// Guards against a read that shows the owner from before the gap.
TEST_CASE("A read of the owner row that was sent before a gap ended does not "
          "count") {
  RenewalRecord Record(MaxUnclaimedAge);
  Record.add(Start);
  Record.setUnverified(1, Start + 3s);
  Record.add(Start + 3s);
  Record.onOwnerRead(1, Start + 2999ms);
  CHECK_FALSE(Record.isCertain());
  CHECK_FALSE(Record.isYoungerThan(1s, Start + 3s));
}
