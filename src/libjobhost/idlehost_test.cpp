// Tests of hosts that own no shard: what they cost the store, and that they are
// there when they are needed.

#include "testing/jobtestbed.h"

#include <doctest/doctest.h>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

/// Time after which a host may be idle.
constexpr milliseconds SettleTime = 14s;

std::vector<int> idleHosts(JobTestBed &Bed) {
  std::vector<int> Out;
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (Bed.host(Host).Process && Bed.host(Host).Process->isIdle())
      Out.push_back(Host);
  return Out;
}

/// Returns the largest number of calls that an idle host makes in 20 s.
int callsOfIdleHost(int Hosts, int Shards) {
  JobTestBed Bed({.Hosts = Hosts, .Workers = 4 * Shards, .MinShards = Shards});
  Bed.run(SettleTime);
  std::vector<int> Idle = idleHosts(Bed);
  REQUIRE(!Idle.empty());
  for (int Host : Idle)
    Bed.host(Host).Store->Calls = 0;
  Bed.run(20s);
  int Out = 0;
  for (int Host : Idle)
    Out = std::max(Out, Bed.host(Host).Store->Calls);
  return Out;
}

Job longJob(const std::string &Id, int Width) {
  Job Out = chainJob(Id, 1, Width);
  Out.Steps[0].LongRunning = true;
  return Out;
}

} // namespace

// Guards against a load on the store that grows with hosts times shards: each
// host without a shard made nine calls a second.
TEST_CASE("What an idle host costs the store grows neither with the hosts nor "
          "with the shards") {
  int Calls = callsOfIdleHost(8, 1);
  CHECK(callsOfIdleHost(40, 1) <= Calls);
  CHECK(callsOfIdleHost(40, 8) <= Calls);
}

TEST_CASE("Most hosts of a large fleet are idle, and owners and standbys are "
          "not") {
  JobTestBed Bed({.Hosts = 40, .Workers = 8, .MinShards = 4});
  Bed.run(SettleTime);
  CHECK(idleHosts(Bed).size() >= 30);
  for (int Host : idleHosts(Bed))
    CHECK(Bed.host(Host).Process->ownedShards() == 0);
}

// Guards against idle hosts that notice late that all owners and standbys are
// gone: the leases of what runs would end.
TEST_CASE("Idle hosts take over before the leases end when all others crash") {
  JobTestBed Bed({.Hosts = 12, .Workers = 6, .MinShards = 2});
  Bed.run(SettleTime);
  CHECK(Bed.submit(0, longJob("a", 12)).has_value());
  REQUIRE(Bed.runUntil([&] { return Bed.Oracle.running() == 12; }, 5s));
  Bed.run(3s);
  int Starts = Bed.Oracle.starts();
  std::vector<int> Idle = idleHosts(Bed);
  CHECK(Idle.size() >= 4);
  for (int Host = 0; Host < Bed.hosts(); ++Host)
    if (std::find(Idle.begin(), Idle.end(), Host) == Idle.end())
      Bed.killHost(Host);
  CHECK(Bed.runUntil([&] { return Bed.ownerIndex() >= 0; }, 4s));
  Bed.run(15s);
  CHECK(Bed.Oracle.running() == 12);
  CHECK(Bed.Oracle.starts() == Starts);
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}

// Guards against a shard that is handed to an idle host, which must become a
// sole owner at once.
TEST_CASE("A shard that is handed to an idle host starts work at once") {
  JobTestBed Bed({.Hosts = 12, .Workers = 6});
  Bed.run(SettleTime);
  for (int Round = 0; Round < 4; ++Round) {
    int Owner = Bed.ownerIndex();
    REQUIRE(Owner >= 0);
    Bed.restartHost(Owner, 2s, 1s);
    Bed.run(1s);
    std::string Id = "job-" + std::to_string(Round);
    CHECK(Bed.submit(Bed.ownerIndex(), chainJob(Id, 1, 4)).has_value());
    CHECK(Bed.runUntil([&] { return Bed.Oracle.allDone(Id); }, 2s));
  }
  for (const std::string &Violation : Bed.Oracle.violations())
    FAIL_CHECK(Violation);
}
