// Tests of owners that live while the store is slow.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Returns true if the owner is the same at all times of the next \p Duration.
bool keepsOwner(JobTestBed &Bed, milliseconds Duration) {
  int Owner = Bed.ownerIndex();
  uint64_t Takeovers = 0;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    Takeovers += Bed.host(Host).Process->counts().Takeovers;
  return Owner >= 0 &&
         !Bed.runUntil(
             [&] {
               uint64_t Now = 0;
               for (int Host = 0; Host < Bed.hosts(); ++Host)
                 Now += Bed.host(Host).Process->counts().Takeovers;
               return Bed.ownerIndex() != Owner || Now != Takeovers;
             },
             Duration);
}

constexpr auto Delays = {300ms,  550ms,  700ms,  1000ms,
                         1500ms, 2200ms, 3000ms, 4500ms};

} // namespace

// Guards against an owner that loses its shard because its renewals are slow,
// and those of all others as well.
TEST_CASE("A live owner keeps its shard while reads are answered in time and "
          "renewals are not") {
  for (milliseconds Delay : Delays) {
    CAPTURE(Delay.count());
    JobTestBed Bed({});
    Bed.run(5s);
    Bed.Store.CommitDelay = Delay;
    CHECK(keepsOwner(Bed, 20s));
    Bed.Store.CommitDelay.reset();
    CHECK(keepsOwner(Bed, 10s));
  }
}

TEST_CASE("A live owner keeps its shard while renewals are answered in time "
          "and reads are not") {
  for (milliseconds Delay : Delays) {
    CAPTURE(Delay.count());
    JobTestBed Bed({});
    Bed.run(5s);
    Bed.Store.Delay = Delay;
    Bed.Store.CommitDelay = 4ms;
    CHECK(keepsOwner(Bed, 20s));
    Bed.Store.Delay = 4ms;
    CHECK(keepsOwner(Bed, 10s));
  }
}

TEST_CASE(
    "A live owner keeps its shard while reads and renewals take seconds") {
  for (milliseconds Delay : Delays)
    for (milliseconds CommitDelay : Delays) {
      CAPTURE(Delay.count());
      CAPTURE(CommitDelay.count());
      JobTestBed Bed({});
      Bed.run(5s);
      Bed.Store.Delay = Delay;
      Bed.Store.CommitDelay = CommitDelay;
      CHECK(keepsOwner(Bed, 20s));
      Bed.Store.Delay = 4ms;
      Bed.Store.CommitDelay.reset();
      CHECK(keepsOwner(Bed, 10s));
    }
}

// As on the day of a hunt on which owners that lived lost their shards: reads
// take less than a second, renewals up to 9 s, and each another time.
TEST_CASE("A live owner keeps its shard while calls of the store take random "
          "times") {
  for (milliseconds Change : {20ms, 1000ms, 3000ms})
    for (milliseconds MaxDelay : {10ms, 450ms, 1000ms})
      for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
        CAPTURE(Change.count());
        CAPTURE(MaxDelay.count());
        CAPTURE(Seed);
        JobTestBed Bed({.Seed = Seed});
        Bed.run(5s);
        for (milliseconds Time{0}; Time < 20s; Time += Change) {
          Bed.Store.Delay =
              Bed.Store.randomDelay(4, static_cast<int>(MaxDelay.count()));
          Bed.Store.CommitDelay = Bed.Store.randomDelay(50, 4500);
          CHECK(keepsOwner(Bed, Change));
        }
      }
}

// Guards against a timeout that counts the time for which the store hung: the
// owner is in touch with it again a little later than the other hosts.
TEST_CASE("A live owner that renews late after the store hung keeps its "
          "shard") {
  for (milliseconds Usual : {4ms, 700ms})
    for (milliseconds Phase = 0ms; Phase < 1000ms; Phase += 100ms) {
      CAPTURE(Usual.count());
      CAPTURE(Phase.count());
      JobTestBed Bed({});
      Bed.Store.Delay = Usual;
      Bed.run(15s + Phase);
      int Owner = Bed.ownerIndex();
      REQUIRE(Owner >= 0);
      Bed.host(Owner).Store->IsCommitRefused = true;
      Bed.run(700ms);
      Bed.Store.Delay = 6s;
      Bed.run(6s);
      Bed.Store.Delay = Usual;
      CHECK(keepsOwner(Bed, 1s));
      Bed.host(Owner).Store->IsCommitRefused = false;
      CHECK(keepsOwner(Bed, 10s));
    }
}
