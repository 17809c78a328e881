#include "basilchute/shardplan.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace basilchute;

namespace {

long countOwned(const std::vector<std::string> &Plan, const std::string &Host) {
  return std::count(Plan.begin(), Plan.end(), Host);
}

} // namespace

TEST_CASE("Shards without an owner are distributed by host weight") {
  std::vector<std::string> Plan = planShards({{"a", 10}, {"b", 10}, {"c", 40}},
                                             std::vector<std::string>(12));
  CHECK(countOwned(Plan, "a") == 2);
  CHECK(countOwned(Plan, "b") == 2);
  CHECK(countOwned(Plan, "c") == 8);
}

TEST_CASE("A live owner keeps its shards") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "b", "b"});
  CHECK(Plan == std::vector<std::string>{"a", "b", "b"});
}

TEST_CASE("A new host gets a shard from a host with at least two more shards") {
  std::vector<std::string> Plan =
      planShards({{"a", 1}, {"b", 1}}, {"a", "a", "a"});
  CHECK(countOwned(Plan, "b") == 1);
}

TEST_CASE("All hosts compute the same plan") {
  std::vector<std::string> Owners = {"gone", "a", "gone", "b"};
  CHECK(planShards({{"a", 1}, {"b", 1}, {"c", 1}}, Owners) ==
        planShards({{"c", 1}, {"b", 1}, {"a", 1}}, Owners));
}

TEST_CASE("The plan is empty if there are no hosts") {
  CHECK(planShards({}, {"a"}).empty());
}

namespace {

/// Renewals of a host's row in the interval between two stops of a rolling
/// restart, and between the stop of a host and its next start.
constexpr uint64_t RenewalsPerStop = 4;
constexpr int DownRenewals = 1;
/// Renewals after a rolling restart in which the plan must have settled.
constexpr uint64_t RenewalsAfterwards = 200;

/// Hosts and owners that follow the plan at once.
struct PlannedFleet {
  std::vector<PlanHost> Hosts;
  std::vector<std::string> Owners;
  /// Number of changes of owner, by shard.
  std::vector<int> Changes;

  void applyPlan() {
    std::vector<std::string> Plan = planShards(Hosts, Owners);
    for (size_t Shard = 0; Shard < Plan.size(); ++Shard)
      Changes[Shard] += Plan[Shard] != Owners[Shard];
    Owners = Plan;
  }

  void run(uint64_t Renewals) {
    for (uint64_t I = 0; I < Renewals; ++I) {
      for (PlanHost &Host : Hosts)
        ++Host.RenewalCount;
      applyPlan();
    }
  }

  /// Stops the host at \p Index and starts it again under a new id.
  void restart(size_t Index) {
    PlanHost Old = Hosts[Index];
    Hosts[Index].IsLeaving = true;
    applyPlan();
    Hosts.erase(Hosts.begin() + static_cast<long>(Index));
    applyPlan();
    run(DownRenewals);
    Hosts.insert(
        Hosts.begin() + static_cast<long>(Index),
        PlanHost{.Id = Old.Id + "+", .Weight = Old.Weight, .RenewalCount = 0});
  }
};

/// A rolling restart of \p NumHosts hosts whose weights alternate. The shards
/// belong to the hosts from \p FirstOwner on when it begins.
struct RollingRestart {
  size_t NumHosts;
  size_t NumShards;
  std::vector<int> Weights = {50};
  size_t FirstOwner = 0;
  /// Part of the hosts' ids.
  int Trial = 0;
};

/// Returns the changes of owner by shard.
std::vector<int> changesIn(const RollingRestart &Restart) {
  constexpr uint64_t OldRenewalCount = 20;
  PlannedFleet Fleet;
  for (size_t I = 0; I < Restart.NumHosts; ++I)
    Fleet.Hosts.push_back(
        {.Id = fmt::format("h{}~{}", I, Restart.Trial),
         .Weight = Restart.Weights[I % Restart.Weights.size()],
         .RenewalCount = OldRenewalCount});
  for (size_t I = 0; I < Restart.NumShards; ++I)
    Fleet.Owners.push_back(
        Fleet.Hosts[(Restart.FirstOwner + I) % Restart.NumHosts].Id);
  Fleet.Changes.resize(Restart.NumShards);
  for (size_t I = 0; I < Restart.NumHosts; ++I) {
    Fleet.restart(I);
    Fleet.run(RenewalsPerStop - DownRenewals);
  }
  Fleet.run(RenewalsAfterwards);
  return Fleet.Changes;
}

/// Returns the largest number of changes of a shard over all first owners and
/// several sets of ids, and prints it with the mean.
int maxChangesIn(RollingRestart Restart) {
  constexpr int Trials = 20;
  int Max = 0;
  int Sum = 0;
  for (Restart.Trial = 0; Restart.Trial < Trials; ++Restart.Trial)
    for (Restart.FirstOwner = 0; Restart.FirstOwner < Restart.NumHosts;
         ++Restart.FirstOwner)
      for (int Changes : changesIn(Restart)) {
        Max = std::max(Max, Changes);
        Sum += Changes;
      }
  MESSAGE(
      Restart.NumHosts << " hosts, " << Restart.NumShards << " shards, "
                       << Restart.Weights.size() << " weights: at most " << Max
                       << ", mean "
                       << static_cast<double>(Sum) /
                              static_cast<double>(Trials * Restart.NumHosts *
                                                  Restart.NumShards));
  return Max;
}

} // namespace

// Guards against a handover to a host that has its own stop ahead in the same
// rolling restart. Two changes are needed if no host has been restarted when
// the owner stops.
TEST_CASE("A shard changes its owner twice at most in a rolling restart") {
  for (size_t NumHosts : {7, 30})
    for (size_t NumShards : {1, 3})
      CHECK(maxChangesIn({.NumHosts = NumHosts, .NumShards = NumShards}) <= 2);
}

// Guards against heavier hosts that take shards back in the same restart; once
// it is over, one more change evens out the load.
TEST_CASE("Hosts of different weights add one change to a rolling restart") {
  for (size_t NumHosts : {7, 30})
    for (size_t NumShards : {1, 3})
      CHECK(maxChangesIn({.NumHosts = NumHosts,
                          .NumShards = NumShards,
                          .Weights = {50, 70, 50, 100}}) <= 3);
}

// Guards against a host that takes its shards back as soon as it has started
// again, so that each of its restarts moves them twice.
TEST_CASE("A heavier host gets no shard from a live owner right after start") {
  std::vector<PlanHost> Hosts = {
      {.Id = "a", .Weight = 50, .RenewalCount = 1000},
      {.Id = "b", .Weight = 100, .RenewalCount = 3}};
  CHECK(planShards(Hosts, {"a"}) == std::vector<std::string>{"a"});
  Hosts[1].RenewalCount = SettledRenewals;
  CHECK(planShards(Hosts, {"a"}) == std::vector<std::string>{"b"});
}

TEST_CASE("A slightly heavier host gets no shard from a live owner") {
  CHECK(planShards({{"a", 100}, {"b", 110}}, {"a"}) ==
        std::vector<std::string>{"a"});
}

TEST_CASE("A host that restarts again and again attracts no shard") {
  std::vector<PlanHost> Hosts = {
      {.Id = "a", .Weight = 50, .RenewalCount = 1000},
      {.Id = "b", .Weight = 50, .RenewalCount = 1}};
  CHECK(planShards(Hosts, {"gone"}) == std::vector<std::string>{"a"});
  Hosts.push_back({.Id = "leaver", .Weight = 50, .IsLeaving = true});
  CHECK(planShards(Hosts, {"leaver"}) == std::vector<std::string>{"a"});
  Hosts.pop_back();
  // It gets shards if all hosts have just started.
  Hosts[0].RenewalCount = 1;
  std::vector<std::string> Plan = planShards(Hosts, {"", ""});
  CHECK(countOwned(Plan, "a") == 1);
  CHECK(countOwned(Plan, "b") == 1);
}

TEST_CASE("A young host is not preferred to a host with half the load") {
  std::vector<PlanHost> Hosts = {
      {.Id = "a", .Weight = 50, .RenewalCount = 1000},
      {.Id = "b", .Weight = 50, .RenewalCount = 8},
      {.Id = "leaver", .Weight = 50, .IsLeaving = true}};
  std::vector<std::string> Plan = planShards(Hosts, {"b", "leaver"});
  CHECK(Plan == std::vector<std::string>{"b", "a"});
}

// Guards against a new owner that does not know which workers left the fleet
// shortly before it started, and may still run tasks.
TEST_CASE("A shard whose owner is gone goes to a host that started long ago") {
  std::vector<PlanHost> Hosts = {
      {.Id = "a", .Weight = 50, .RenewalCount = 1000},
      {.Id = "b", .Weight = 50, .RenewalCount = SettledRenewals - 1}};
  CHECK(planShards(Hosts, {"gone"}) == std::vector<std::string>{"a"});
  std::swap(Hosts[0].RenewalCount, Hosts[1].RenewalCount);
  CHECK(planShards(Hosts, {"gone"}) == std::vector<std::string>{"b"});
}
