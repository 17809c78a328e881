// Deterministic sessions on the test bed; the output is compared with golden
// files.

#include "testing/testbed.h"

#include <fmt/format.h>
#include <map>

using namespace basilchute;
using namespace std::chrono_literals;

namespace {

constexpr Resources SmallReplica{.Millicores = 2000, .MemoryMib = 1000};

void finishAndReport(TestBed &Bed, const std::vector<TestJob> &Jobs) {
  bool AllFinished = Bed.runUntil(
      [&] {
        return std::all_of(Jobs.begin(), Jobs.end(), [&](const TestJob &Job) {
          return Bed.jobFinished(Job);
        });
      },
      200s);
  fmt::print("{:>8} all jobs finished: {}\n", Bed.now().count(), AllFinished);
  fmt::print("{:>8} commits {}, violations {}\n", Bed.now().count(),
             Bed.commits(), Bed.oracle().violations().size());
}

void printHeading(const TestBed &Bed, std::string_view Text) {
  fmt::print("{:>8} --- {}\n", Bed.now().count(), Text);
}

size_t ownerOf(TestBed &Bed, const std::string &Shard) {
  for (size_t I = 0; I < Bed.nodes().size(); ++I) {
    if (!Bed.nodes()[I].Core)
      continue;
    for (const std::string &Owned : Bed.nodes()[I].Core->ownedShards())
      if (Owned == Shard)
        return I;
  }
  return 0;
}

void regularOperation(TestBed &Bed) {
  Bed.run(3s);
  printHeading(Bed, "a service and two jobs are added");
  Bed.configure(1, {{.Name = "orders", .Replicas = 3, .Demand = SmallReplica}},
                {});
  std::vector<TestJob> Jobs = {
      {.Name = "cuts", .Shard = "a.0", .Tasks = 4, .Work = 2s},
      {.Name = "proposals", .Shard = "b.0", .Tasks = 2, .Work = 3s}};
  for (const TestJob &Job : Jobs)
    Bed.submit(Job);
  Bed.run(6s);
  printHeading(Bed, "worker b-w0 leaves");
  Bed.LeavingHosts.insert("b-w0");
  Bed.run(10s);
  printHeading(Bed, "the service is deleted");
  Bed.configure(2, {}, {});
  Bed.run(8s);
  finishAndReport(Bed, Jobs);
}

void takeover(TestBed &Bed) {
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "a.0", .Tasks = 3, .Work = 20s};
  Bed.submit(Job);
  Bed.run(3s);
  size_t Owner = ownerOf(Bed, "a.0");
  printHeading(Bed, "the owner of a.0 dies");
  Bed.killNode(Owner);
  Bed.run(10s);
  printHeading(Bed, "the previous owner restarts");
  Bed.startNode(Owner);
  finishAndReport(Bed, {Job});
}

void storeOutage(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs = {
      {.Name = "long", .Shard = "a.0", .Tasks = 3, .Work = 40s}};
  Bed.submit(Jobs[0]);
  Bed.run(3s);
  printHeading(Bed, "the store goes down");
  Bed.IsStoreDown = true;
  Bed.run(30s);
  printHeading(Bed, "the owner of b.0 dies during the outage");
  Bed.killNode(ownerOf(Bed, "b.0"));
  Bed.run(15s);
  printHeading(Bed, "the store comes back");
  Bed.IsStoreDown = false;
  Jobs.push_back({.Name = "after", .Shard = "b.0", .Tasks = 2, .Work = 2s});
  Bed.submit(Jobs[1]);
  finishAndReport(Bed, Jobs);
}

void eviction(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs = {
      {.Name = "heavy",
       .Shard = "a.0",
       .Tasks = 3,
       .Demand = {.Millicores = 7000, .MemoryMib = 9000},
       .Work = 15s}};
  Bed.submit(Jobs[0]);
  Bed.run(4s);
  printHeading(Bed, "an urgent job is submitted while every worker is full");
  Jobs.push_back({.Name = "urgent",
                  .Shard = "a.0",
                  .Demand = {.Millicores = 4000, .MemoryMib = 2000},
                  .Work = 3s,
                  .Urgent = true});
  Bed.submit(Jobs[1]);
  finishAndReport(Bed, Jobs);
}

void cancelWave(TestBed &Bed) {
  Bed.run(3s);
  std::vector<TestJob> Jobs;
  for (int I = 0; I < 12; ++I)
    Jobs.push_back({.Name = fmt::format("wave{:02}", I),
                    .Shard = I % 2 ? "a.0" : "b.0",
                    .Tasks = 5,
                    .Work = 30s});
  for (const TestJob &Job : Jobs)
    Bed.submit(Job);
  Bed.run(4s);
  printHeading(Bed, "all jobs are cancelled");
  for (const TestJob &Job : Jobs)
    Bed.cancel(Job);
  finishAndReport(Bed, Jobs);
}

void ownerRace(TestBed &Bed) {
  Bed.run(3s);
  TestJob Job{.Name = "cuts", .Shard = "c.0", .Tasks = 2, .Work = 25s};
  Bed.submit(Job);
  Bed.run(3s);
  size_t Owner = ownerOf(Bed, "c.0");
  printHeading(Bed, "the owner of c.0 loses its connection to the store only");
  Bed.nodes()[Owner].IsCutFromStore = true;
  Bed.run(12s);
  printHeading(Bed, "the connection to the store is restored");
  Bed.nodes()[Owner].IsCutFromStore = false;
  finishAndReport(Bed, {Job});
}

} // namespace

int main(int ArgCount, char **Args) {
  const std::map<std::string, void (*)(TestBed &)> Sessions = {
      {"normal-day", regularOperation}, {"takeover", takeover},
      {"store-outage", storeOutage},    {"eviction", eviction},
      {"cancel-wave", cancelWave},      {"owner-race", ownerRace}};
  auto It = ArgCount == 2 ? Sessions.find(Args[1]) : Sessions.end();
  if (It == Sessions.end()) {
    for (const auto &[Name, Run] : Sessions)
      fmt::print("{}\n", Name);
    return 2;
  }
  TestBed Bed({});
  Bed.OnEventLine = [](const std::string &Line) { fmt::print("{}\n", Line); };
  It->second(Bed);
  return Bed.oracle().violations().empty() ? 0 : 1;
}
